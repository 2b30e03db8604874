"""Inputs, decisions and results of the scheduler."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from azurecleat_model import Quota, Resources


class TaskResult(str, Enum):
    """How an attempt of a task ended.

    ``STOPPED`` and ``CHECKPOINTED`` mean that the scheduler or the platform ended it,
    ``NOT_STARTED`` that it never ran, and ``LOST`` that its outcome is unknown.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    NOT_STARTED = "not-started"
    LOST = "lost"


class ReclaimMethod(str, Enum):
    """How capacity is reclaimed from a running task."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Start:
    """Starts a task on a worker."""

    job_id: str
    index: int
    worker: str
    size: Resources


@dataclass(frozen=True, slots=True)
class Reclaim:
    """Reclaims capacity from a running task."""

    job_id: str
    index: int
    worker: str
    how: ReclaimMethod


@dataclass(frozen=True, slots=True)
class Expire:
    """Drops tasks whose deadline passed before they could start."""

    job_id: str
    indexes: tuple[int, ...]


Decision = Start | Reclaim | Expire


class Refused(NamedTuple):
    """Why a job is refused: a stable ``code``, and a ``detail`` that names the constraint."""

    code: str
    detail: str
    retry_after_s: float | None = None


class TeamPolicy(NamedTuple):
    """Share and limits of a team.

    ``limit`` is the part of the team's limit that is allotted to this partition, ``fleet_limit``
    the whole limit. A job that exceeds only ``limit`` waits until more is allotted.
    """

    name: str
    share: float
    limit: Quota
    queue_limit: int
    fleet_limit: Quota = Quota()


class WorkerPolicy(NamedTuple):
    """Name, rack and capacity of a worker."""

    name: str
    rack: str
    capacity: Resources


class AttemptEnd(NamedTuple):
    """Result of ending an attempt of a task.

    ``final`` is the task's result to record, or None if there is none to record, such as when the
    task waits for another attempt.
    """

    job_id: str
    index: int
    final: TaskResult | None


class LimitNeed(NamedTuple):
    """What the oldest job blocked by its team's limit needs, and how long it has waited.

    ``quota`` is what its next start takes from the limit; ``waiting_tasks`` counts all waiting
    tasks of the team.
    """

    quota: Quota
    waiting_tasks: int
    waited_s: float


class Wait(NamedTuple):
    """Why a job waits, as shown to operators."""

    job_id: str
    waiting_tasks: int
    running_tasks: int
    reason: str
    detail: str
