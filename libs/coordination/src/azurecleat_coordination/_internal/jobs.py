"""Part of the fleet state: live and recently finished jobs of one partition."""

from __future__ import annotations

from collections import deque
from typing import Any

from azurecleat_model import Job, JobKind, JobSpec, TaskSize, to_plain

from azurecleat_coordination._internal.records import (
    AcceptJob,
    BeginTask,
    CancelJob,
    Claim,
    EndTasks,
)
from azurecleat_coordination._internal.result import ACCEPTED, ApplyResult, rejected

MAX_FINISHED_JOBS = 1000


class JobState:
    """One accepted job and the recorded state of its tasks."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.begun: set[int] = set()
        self.done: set[int] = set()
        self.failed: set[int] = set()
        self.unknown: set[int] = set()
        self.expired: set[int] = set()
        self.cancelled = False

    @property
    def ended(self) -> int:
        return sum(len(ended) for ended in self.results.values())

    @property
    def results(self) -> dict[str, set[int]]:
        """Indexes of ended tasks by result."""
        return {
            "done": self.done,
            "failed": self.failed,
            "unknown": self.unknown,
            "expired": self.expired,
        }

    @property
    def is_finished(self) -> bool:
        return self.cancelled or self.ended >= self.job.spec.tasks

    def has_ended(self, index: int) -> bool:
        """Returns whether a final result of the task is recorded."""
        return any(index in ended for ended in self.results.values())

    def summary(self) -> dict[str, Any]:
        """Returns the job and its task counts for status reports."""
        return {
            "job": self.job.job_id,
            "team": self.job.team,
            "name": self.job.spec.name,
            "kind": self.job.spec.kind.value,
            "tasks": self.job.spec.tasks,
            **{result: len(ended) for result, ended in self.results.items()},
            "cancelled": self.cancelled,
            "finished": self.is_finished,
        }


class PartitionJobs:
    """Live jobs by id, and summaries of the last finished ones."""

    def __init__(self) -> None:
        self._epoch = 0
        self._live: dict[str, JobState] = {}
        self._finished: dict[str, dict[str, Any]] = {}
        self._feeds: list[deque[str]] = []

    @property
    def live(self) -> dict[str, JobState]:
        return self._live

    def summary(self, job_id: str) -> dict[str, Any] | None:
        """Returns the summary of a live or recently finished job, or None."""
        state = self._live.get(job_id)
        return state.summary() if state else self._finished.get(job_id)

    def subscribe(self) -> deque[str]:
        """Returns a queue that receives the id of each job accepted or cancelled from now on."""
        feed: deque[str] = deque()
        self._feeds.append(feed)
        return feed

    def unsubscribe(self, feed: deque[str]) -> None:
        """Stops filling a queue."""
        self._feeds = [other for other in self._feeds if other is not feed]

    def claim(self, event: Claim) -> ApplyResult:
        """Records the partition's epoch, so that records of previous owners are rejected."""
        if event.epoch != self._epoch + 1:
            return rejected("not the next epoch of the partition")
        self._epoch = event.epoch
        return ACCEPTED

    def accept(self, event: AcceptJob) -> ApplyResult:
        """Adds a job; a job id that is already known is ignored."""
        job_id = event.job.job_id
        if job_id not in self._live and job_id not in self._finished:
            self._live[job_id] = JobState(event.job)
            self._notify(job_id)
        return ACCEPTED

    def cancel(self, event: CancelJob) -> ApplyResult:
        """Cancels a live job."""
        state = self._live.get(event.job_id)
        if state is None:
            return rejected("the job is unknown or has finished")
        state.cancelled = True
        self._move_to_finished(state)
        self._notify(event.job_id)
        return ACCEPTED

    def begin(self, event: BeginTask) -> ApplyResult:
        """Reserves the single run of a task that is not repeatable."""
        if event.epoch != self._epoch:
            return rejected("the epoch is not that of the partition's owner")
        state = self._live.get(event.job_id)
        if state is None or event.index in state.begun or state.has_ended(event.index):
            return rejected("the task has begun or ended already, or the job is not live")
        state.begun.add(event.index)
        return ACCEPTED

    def end(self, event: EndTasks) -> ApplyResult:
        """Records results of tasks; the first result of each task counts."""
        if event.epoch != self._epoch:
            return rejected("the epoch is not that of the partition's owner")
        state = self._live.get(event.job_id)
        if state is None:
            return rejected("the job is unknown or has finished")
        for result, ended in state.results.items():
            for first, last in getattr(event, result):
                ended.update(i for i in range(first, last + 1) if not state.has_ended(i))
        if state.is_finished:
            self._move_to_finished(state)
        return ACCEPTED

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        live = [
            [
                to_plain(state.job),
                to_ranges(state.begun),
                {result: to_ranges(ended) for result, ended in state.results.items()},
            ]
            for state in self._live.values()
        ]
        return {
            "epoch": self._epoch,
            "live": live,
            "finished": list(self._finished.values()),
        }

    def load(self, value: dict[str, Any]) -> None:
        """Replaces this state by a dumped one."""
        self._epoch = value["epoch"]
        self._live = {}
        for job, begun, results in value["live"]:
            state = JobState(job_from_plain(job))
            state.begun = from_ranges(begun)
            for result, ended in state.results.items():
                ended.update(from_ranges(results[result]))
            self._live[state.job.job_id] = state
        self._finished = {summary["job"]: summary for summary in value["finished"]}

    def _notify(self, job_id: str) -> None:
        for feed in self._feeds:
            feed.append(job_id)

    def _move_to_finished(self, state: JobState) -> None:
        del self._live[state.job.job_id]
        self._finished[state.job.job_id] = state.summary()
        if len(self._finished) > MAX_FINISHED_JOBS:
            del self._finished[next(iter(self._finished))]


def to_ranges(indexes: set[int]) -> tuple[tuple[int, int], ...]:
    """Returns sorted inclusive ranges that cover exactly ``indexes``."""
    ranges: list[tuple[int, int]] = []
    for index in sorted(indexes):
        if ranges and index == ranges[-1][1] + 1:
            ranges[-1] = (ranges[-1][0], index)
        else:
            ranges.append((index, index))
    return tuple(ranges)


def from_ranges(ranges: Any) -> set[int]:
    """Returns the indexes covered by inclusive ranges."""
    return {index for first, last in ranges for index in range(first, last + 1)}


def job_from_plain(value: dict[str, Any]) -> Job:
    """Returns a job from its JSON value."""
    spec = dict(value["spec"])
    spec["size"] = TaskSize(**spec["size"])
    spec["kind"] = JobKind(spec["kind"])
    return Job(value["job_id"], value["team"], JobSpec(**spec), value["submitted_at"])
