"""Jobs with their waiting and running tasks, and the lanes in which jobs wait."""

from __future__ import annotations

import heapq
from typing import NamedTuple

from azurecleat_model import Job, JobKind, Quota, Resources, task_quota

from azurecleat_policy._internal.placement import AllOrNone, Placement, placement_for


class Shape(NamedTuple):
    """What a job needs from workers. Lanes of equal shape are blocked and unblocked together.

    ``gang_size`` is the number of tasks that one decision has to place.
    """

    urgent: bool
    kind: JobKind
    size: Resources
    gang_size: int
    run_s: float


class RunningTask:
    """One attempt of a task.

    ``worker`` is the slot of its worker, ``size`` the size it was placed with, and ``held`` the
    larger of ``size`` and the reported usage.
    """

    __slots__ = (
        "job",
        "index",
        "worker",
        "size",
        "held",
        "started_at",
        "reclaimed_at",
        "is_reported",
    )

    def __init__(self, job: PolicyJob, index: int, worker: int, now: float) -> None:
        self.job = job
        self.index = index
        self.worker = worker
        self.size = job.shape.size
        self.held = job.shape.size
        self.started_at = now
        self.reclaimed_at: float | None = None
        self.is_reported = False
        """Whether its worker has reported the attempt as running."""

    @property
    def expected_end(self) -> float:
        if self.job.kind is JobKind.SERVICE:
            return float("inf")
        return self.started_at + self.job.shape.run_s


class PolicyJob:
    """A queued job: its waiting task indexes, its running tasks and its failed attempts."""

    __slots__ = (
        "job",
        "sequence",
        "shape",
        "placement",
        "waiting",
        "running",
        "attempts",
        "lost_starts",
        "live",
        "lane",
        "virtual_time",
        "_quota_key",
        "_quota",
    )

    def __init__(self, job: Job, sequence: int, shape: Shape, waiting: list[int]) -> None:
        self.job = job
        self.sequence = sequence
        self.shape = shape
        self.placement: Placement = placement_for(job.spec.kind)
        self.waiting = waiting
        self.running: dict[int, RunningTask] = {}
        self.attempts: dict[int, int] = {}
        self.lost_starts: dict[int, int] = {}
        """Consecutive attempts of each task that were lost before any report showed them."""
        self.live = True
        self.lane: Lane | None = None
        self.virtual_time = 0.0
        self._quota_key: tuple[Resources, int] | None = None
        self._quota: Quota | None = None

    def __lt__(self, other: PolicyJob) -> bool:
        # Heaps compare jobs when a job is in them twice under the same key.
        return self.sequence < other.sequence

    @property
    def kind(self) -> JobKind:
        return self.job.spec.kind

    @property
    def gang_size(self) -> int:
        """Number of tasks that the next decision has to place."""
        return len(self.waiting) if isinstance(self.placement, AllOrNone) else 1

    @property
    def submission_order(self) -> tuple[float, int]:
        return (self.job.submitted_at, self.sequence)

    @property
    def next_start_quota(self) -> Quota:
        """Quota that the next decision takes from the team's limit."""
        key = (self.shape.size, self.gang_size)
        if self._quota_key != key:
            self._quota_key = key
            self._quota = task_quota(*key)
        return self._quota


class Lane:
    """Jobs of one team and shape, oldest first. Only the head is considered for placement.

    ``stamp`` counts the updates of the lane in a :class:`LaneIndex`.
    """

    __slots__ = ("team", "shape", "stamp", "_heap")

    def __init__(self, team: str, shape: Shape) -> None:
        self.team = team
        self.shape = shape
        self.stamp = 0
        self._heap: list[tuple[float, int, PolicyJob]] = []

    def push(self, job: PolicyJob) -> None:
        """Adds a job, or adds it again when one of its tasks has to run again."""
        job.lane = self
        heapq.heappush(self._heap, (*job.submission_order, job))

    def jobs(self) -> list[PolicyJob]:
        """Returns the jobs with waiting tasks, oldest first."""
        jobs = {entry[2]: None for entry in sorted(self._heap)}
        return [job for job in jobs if job.lane is self and job.live and job.waiting]

    def head(self) -> PolicyJob | None:
        """Returns the oldest job with waiting tasks; drops jobs that have none or left the lane."""
        while self._heap:
            job = self._heap[0][2]
            if job.lane is self and job.live and job.waiting:
                return job
            heapq.heappop(self._heap)
            if job.lane is self:
                job.lane = None
        return None
