"""What an owner knows of jobs, runs and targets. Guarded by the lock of the owner's term."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from azurecleat_base import ZERO, Resources

from azurecleat_cluster._internal.replica.records import Progress, Submission, TaskProgress
from azurecleat_cluster._internal.values import Queue, Step, TargetEntry, TaskId


class RunState(Enum):
    STARTING = "starting"
    """The order may be on its way; nothing is known of its effect."""
    RUNNING = "running"
    STOPPING = "stopping"
    """The run is no longer wanted; its room is taken until its end is known."""


UNTHROTTLED_PERCENT = 100
UNKNOWN_THROTTLE_PERCENT = -1


class Run:
    """One run of a task on one target."""

    __slots__ = (
        "task",
        "step",
        "number",
        "target",
        "allocation",
        "state",
        "commanded_at",
        "confirmed_at",
        "percent",
        "load",
        "throttle_percent",
        "valid_until",
        "checkpoint",
        "progressed_at",
        "reported_at",
        "began_at",
        "first_percent",
        "previous_rate",
        "current_rate",
        "is_reported",
    )

    def __init__(self, task: TaskId, step: StepInfo, number: int, target: TargetInfo) -> None:
        self.task = task
        self.step = step
        self.number = number
        self.target = target
        self.allocation: Resources = step.spec.allocation
        self.state = RunState.STARTING
        self.commanded_at = 0.0
        self.confirmed_at: float | None = None
        """When a target's answer settled that the run is there, or never will be."""
        self.percent = 0.0
        self.load = 0.0
        self.throttle_percent = UNTHROTTLED_PERCENT
        """Percent at which a filling task was told to work; ``UNKNOWN_PACE`` if not known."""
        self.valid_until = 0.0
        """Own clock: the run cannot begin, or go on without a later renewal, after this."""
        self.checkpoint = ""
        self.is_reported = False
        """Whether a report of its target's present life has shown it."""
        self.progressed_at = 0.0
        self.reported_at = 0.0
        self.began_at = 0.0
        """When the run was first known to be at work, with ``first_percent`` of it done."""
        self.first_percent = 0.0
        self.previous_rate = 0.0
        """Share of the work done in a second until the look before the last; 0 if unknown."""
        self.current_rate = 0.0

    def update_progress(self, percent: float, now: float) -> None:
        """Takes in how far the run is."""
        if not self.began_at:
            self.began_at, self.first_percent = now, percent
        if percent != self.percent or not self.progressed_at:
            self.progressed_at = now
        since_s = now - self.reported_at
        before_s = self.reported_at - self.began_at
        if (
            before_s >= MIN_RATE_INTERVAL_S
            and since_s >= MIN_RATE_INTERVAL_S
            and self.percent < 100
        ):
            self.previous_rate = (self.percent - self.first_percent) / 100.0 / before_s
            self.current_rate = (percent - self.percent) / 100.0 / since_s
        if since_s >= MIN_RATE_INTERVAL_S or not self.reported_at:
            self.reported_at, self.percent = now, percent

    def remaining_s(self, now: float) -> float:
        """Estimates the time until the run is done: by its progress, or else as was declared."""
        at_work_s = self.reported_at - self.began_at
        progress = self.percent - self.first_percent
        if at_work_s >= MIN_RATE_INTERVAL_S and progress > 0:
            return (100.0 - self.percent) / progress * at_work_s - (now - self.reported_at)
        return self.step.spec.estimate_ms / 1000.0 - (now - self.commanded_at)

    @property
    def key(self) -> tuple[TaskId, int]:
        return self.task, self.number


MIN_RATE_INTERVAL_S = 0.35
"""Time over which a pace is measured at least; percentages are whole numbers."""


class Advice(NamedTuple):
    """An answer: targets that were named, tickets by target, own time until which they are used."""

    targets: tuple[str, ...]
    tickets: dict[str, str]
    valid_until: float


class StepAdvice:
    """What answers have told of one step. A target that was allowed once always is."""

    def __init__(self) -> None:
        self._tickets: dict[str, tuple[str, float]] = {}
        self.denied: set[str] = set()
        self.requested: set[str] = set()
        """Targets that questions on their way name."""

    @property
    def has_answers(self) -> bool:
        """Whether any answer is there."""
        return bool(self._tickets or self.denied)

    def add(self, advice: Advice) -> None:
        self.requested.difference_update(advice.targets)
        for target in advice.targets:
            if target in advice.tickets:
                self._tickets[target] = (advice.tickets[target], advice.valid_until)
            else:
                self.denied.add(target)

    def is_allowed(self, target: str) -> bool:
        return target in self._tickets

    def is_valid(self, target: str, now: float) -> bool:
        """Whether the target's ticket can still be used at a time."""
        return target in self._tickets and now < self._tickets[target][1]

    def ticket(self, target: str) -> str:
        return self._tickets.get(target, ("", 0.0))[0]

    def invalidate_ticket(self, target: str) -> None:
        """Notes that a target took its ticket no more; it is to be renewed."""
        if target in self._tickets:
            self._tickets[target] = ("", float("-inf"))

    def valid_targets(self, now: float) -> list[str]:
        return [target for target, (_, until) in self._tickets.items() if now < until]


class StepInfo:
    """One step of one occurrence of a job."""

    def __init__(self, job: JobInfo, occurrence: int, index: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.index = index
        self.spec: Step = job.submission.spec.steps[index]
        self.pending: set[int] = set(range(self.spec.count))
        self.active: dict[int, Run] = {}
        self.done: set[int] = set()
        self.failures: dict[int, set[str]] = {}
        """Failed runs of each task; of a gang, all under its first task."""
        self.checkpoints: dict[int, str] = {}
        self.last_run = 0
        self.avoided: dict[int, set[str]] = {}
        self.backup_runs: dict[int, set[Run]] = {}
        """Runs that no longer count on: copies of speculative tasks, whose end still counts."""
        self.durations_by_target: list[tuple[str, float]] = []
        """Target and duration of runs that were done."""
        self.durations_by_kind: list[tuple[str, float]] = []
        """Kind of target and duration of the same runs."""
        self.advice = StepAdvice()
        self.advice_requested_at = float("-inf")
        """Own time when advice was last asked for."""
        self.advice_checked_at = float("-inf")
        """Own time when it was last looked whether advice is missing."""
        self.ready_at: float | None = None
        self.not_before = 0.0
        """Own time before which no task is started again after quick failures."""

    @property
    def name(self) -> str:
        return f"{self.job.id}.{self.occurrence}.{self.index}"

    @property
    def is_done(self) -> bool:
        return len(self.done) == self.spec.count

    @property
    def is_nearly_done(self) -> bool:
        """Whether the last task is about to be done: durations of the others are in."""
        return len(self.done) + 1 == self.spec.count

    @property
    def is_ready(self) -> bool:
        """Whether all steps that this one depends on are done."""
        steps = self.job.steps
        return all(steps[self.occurrence, index].is_done for index in self.spec.depends_on)

    def task(self, index: int) -> TaskId:
        return TaskId(self.job.id, self.occurrence, self.index, index)

    def restore(self, progress: TaskProgress) -> None:
        """Takes over what the log says of this step."""
        self.done = set(progress.done)
        self.pending -= self.done
        self.failures = {index: set(runs) for index, runs in progress.failures.items()}
        self.checkpoints = dict(progress.checkpoints)
        self.last_run = progress.last_run

    def progress(self) -> TaskProgress:
        failures = {index: tuple(sorted(runs)) for index, runs in self.failures.items()}
        return TaskProgress(tuple(self.done), failures, dict(self.checkpoints), self.last_run)


class JobInfo:
    """One accepted job."""

    def __init__(self, submission: Submission, seen_at: float, before_claim: bool) -> None:
        self.id = submission.job
        self.submission = submission
        self.seen_at = seen_at
        self.before_claim = before_claim
        """Whether a former owner may have started tasks of it."""
        self.steps: dict[tuple[int, int], StepInfo] = {}
        self.cancelled = False
        self.outcome = ""
        self.begun = False
        self.is_over_share = False
        self.finished_at: float | None = None

    @property
    def queue(self) -> Queue:
        return self.submission.queue

    @property
    def team(self) -> str:
        return self.submission.team

    @property
    def is_open(self) -> bool:
        """Whether tasks of it may still be started."""
        return not self.cancelled and not self.outcome

    def open_occurrence(self, occurrence: int) -> None:
        """Creates the steps of an occurrence that is due."""
        for index in range(len(self.submission.spec.steps)):
            self.steps[occurrence, index] = StepInfo(self, occurrence, index)

    @property
    def occurrences_open(self) -> int:
        return len(self.steps) // max(1, len(self.submission.spec.steps))

    @property
    def is_done(self) -> bool:
        spec = self.submission.spec
        return self.occurrences_open == spec.occurrences and all(
            step.is_done for step in self.steps.values()
        )

    def restore(self, progress: Progress) -> None:
        """Takes over what the log says of this job."""
        self.begun = progress.begun
        self.outcome = progress.outcome
        for (occurrence, index), task in progress.steps.items():
            if (occurrence, index) not in self.steps:
                self.open_occurrence(occurrence)
            self.steps[occurrence, index].restore(task)

    def progress(self) -> Progress:
        steps = {
            key: step.progress()
            for key, step in self.steps.items()
            if step.done or step.failures or step.checkpoints or step.last_run
        }
        return Progress(self.begun, self.outcome, steps)


class TargetInfo:
    """One life of a target and what it has to do."""

    def __init__(self, entry: TargetEntry) -> None:
        self.entry = entry
        self.runs: dict[tuple[TaskId, int], Run] = {}
        self.used = ZERO
        self.free = entry.capacity
        self.reached = False
        """Whether it has answered a hold under the present fence."""
        self.responsive = False
        self.registered = True
        self.unregistered_at = 0.0
        self.suspect_until = 0.0
        self.on_probation = False
        """Whether it gets one run at a time until one is done."""
        self.throttle_percent = UNTHROTTLED_PERCENT
        """Percent at which its filling tasks work."""
        self.throttled_at = float("-inf")
        self.outcomes: list[tuple[float, str, bool]] = []
        """Recent ends: own time, job, whether it was done."""

    @property
    def id(self) -> str:
        return self.entry.id

    def update_entry(self, entry: TargetEntry) -> None:
        """Takes in what the same life says of itself now."""
        self.entry = entry
        self.free = entry.capacity.plus(self.used, -1)

    def add(self, run: Run) -> None:
        self.runs[run.key] = run
        self._use(run.allocation, 1)

    def remove(self, run: Run) -> None:
        if self.runs.pop(run.key, None) is not None:
            self._use(run.allocation, -1)

    def _use(self, allocation: Resources, times: int) -> None:
        self.used = self.used.plus(allocation, times)
        self.free = self.entry.capacity.plus(self.used, -1)


class TeamUsage:
    """What teams have running; counted from the order to the known end."""

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}

    def of(self, team: str) -> Resources:
        return self._used.get(team, ZERO)

    def add(self, run: Run, times: int = 1) -> None:
        team = run.step.job.team
        self._used[team] = self.of(team).plus(run.step.spec.need, times)
