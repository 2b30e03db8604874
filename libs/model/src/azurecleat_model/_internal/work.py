"""Requests and jobs as callers submit them."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NamedTuple

from azurecleat_base import Resources, task_quota
from pydantic import Field

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
"""Name of a team, job, worker or instance: short, lower case, safe in URLs and logs."""

MAX_TASKS_PER_JOB = 10_000
MAX_DURATION_S = 30 * 24 * 3600.0


class JobKind(str, Enum):
    """How the tasks of a job are placed: spread, packed, or all at the same time."""

    SERVICE = "service"
    BATCH = "batch"
    ALL_AT_ONCE = "all-at-once"


class TaskSize(NamedTuple):
    """Declared need of one task, within plausible bounds."""

    cpu_milli: Annotated[int, Field(ge=1, le=1_000_000)]
    memory_mb: Annotated[int, Field(ge=1, le=16_000_000)]
    accelerators: Annotated[int, Field(ge=0, le=64)] = 0


class JobSpec(NamedTuple):
    """A job as submitted.

    ``run_s`` is the expected duration of a task in seconds. ``deadline_s`` is the time in seconds
    from submission within which a task has to start; a task that has not started by then never
    starts.
    """

    name: Name
    kind: JobKind
    size: TaskSize
    tasks: Annotated[int, Field(ge=1, le=MAX_TASKS_PER_JOB)] = 1
    run_s: Annotated[float, Field(gt=0, le=MAX_DURATION_S)] = 60.0
    deadline_s: Annotated[float, Field(gt=0, le=MAX_DURATION_S)] | None = None
    urgent: bool = False
    preemptible: bool = True
    repeatable: bool = True
    command: Annotated[str, Field(max_length=4096)] = ""


class Job(NamedTuple):
    """An accepted job."""

    job_id: str
    team: str
    spec: JobSpec
    submitted_at: float

    @property
    def resources(self) -> Resources:
        return Resources(*self.spec.size)

    @property
    def quota(self):
        """Quota that one running task takes from the team's limit."""
        return task_quota(self.resources)


class RequestSpec(NamedTuple):
    """A request to a service's runners.

    ``idempotency_key`` identifies the request when its caller retries it. A request that is not
    repeatable needs one.
    """

    team: str
    body: bytes
    deadline_s: float
    repeatable: bool = True
    idempotency_key: str = ""


class ExecutionStatus(str, Enum):
    """Whether a request or task ran, as far as is known."""

    NOT_RUN = "not-run"
    DONE = "done"
    UNKNOWN = "unknown"
