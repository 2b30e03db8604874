"""Inputs and decisions of the scheduler."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from azurecleat_model import Quota, Resources


class TaskResult(str, Enum):
    """How an attempt of a task ended.

    ``STOPPED`` and ``CHECKPOINTED`` are ends that this system or the platform brought about;
    ``NOT_STARTED`` says the attempt never ran; ``LOST`` says nobody knows.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    NOT_STARTED = "not-started"
    LOST = "lost"


class ReclaimMethod(str, Enum):
    """How capacity is taken back from a running task."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Start:
    """Start a task on a worker."""

    job_id: str
    index: int
    worker: str
    size: Resources


@dataclass(frozen=True, slots=True)
class Reclaim:
    """Take capacity back from a running task."""

    job_id: str
    index: int
    worker: str
    how: ReclaimMethod


@dataclass(frozen=True, slots=True)
class Expire:
    """Tasks whose deadline passed before they could start; they never start."""

    job_id: str
    indexes: tuple[int, ...]


Decision = Start | Reclaim | Expire


class Refused(NamedTuple):
    """Why a job is not taken. ``code`` is stable, ``detail`` names the binding constraint."""

    code: str
    detail: str
    retry_after_s: float | None = None


class TeamPolicy(NamedTuple):
    """A team as the scheduler sees it.

    ``limit`` is the part of the limit allotted to this partition, ``fleet_limit`` the whole; a
    job that fits only the whole waits until more is allotted.
    """

    name: str
    share: float
    limit: Quota
    queue_limit: int
    fleet_limit: Quota = Quota()


class WorkerPolicy(NamedTuple):
    """A worker as the scheduler sees it."""

    name: str
    rack: str
    capacity: Resources


class AttemptEnd(NamedTuple):
    """What became of a task after an attempt ended.

    ``final`` is the result to record, or None if the task waits for another attempt.
    """

    job_id: str
    index: int
    final: TaskResult | None


class LimitNeed(NamedTuple):
    """What a team's oldest job needs that only the team's limit keeps back."""

    quota: Quota
    waiting_tasks: int
    waited_s: float


class Wait(NamedTuple):
    """Why a job waits, for operators."""

    job_id: str
    waiting_tasks: int
    running_tasks: int
    reason: str
    detail: str
