"""What an owner knows of jobs, runs and targets. Guarded by the lock of the owner's term.

Times are on the owner's monotonic clock unless stated otherwise.
"""

from __future__ import annotations

from enum import Enum
from statistics import median
from typing import NamedTuple

from azurecleat_base import ZERO, Resources

from azurecleat_cluster._internal.objectives import objective_of
from azurecleat_cluster._internal.owner.crash_history import CrashHistory
from azurecleat_cluster._internal.owner.durations import Expectation, LearnedDurations, WorkKey
from azurecleat_cluster._internal.replica.records import Progress, Submission, TaskProgress
from azurecleat_cluster._internal.values import Queue, Step, TargetEntry, TaskId


class RunState(Enum):
    STARTING = "starting"
    """The start command may be in flight; its outcome is unknown."""
    RUNNING = "running"
    STOPPING = "stopping"
    """The run is no longer needed; its resources stay allocated until its end is known."""


UNTHROTTLED_PERCENT = 100
UNKNOWN_THROTTLE_PERCENT = -1
"""Throttle percent of a run if the value on its target is unknown; it is then sent again."""


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
        "_window_at",
        "_window_percent",
        "start_answered_at",
        "is_start_uncertain",
        "is_reported",
        "has_survived_start",
        "stopped_at",
        "checkpointed_at",
        "preempted_for",
        "is_resumed",
        "has_known_start",
        "slowness",
        "expectation",
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
        """When an answer of the target confirmed the start or the stop of the run; None before.

        If a poll sent later does not report the run, the run is over.
        """
        self.percent = 0.0
        self.load = 0.0
        """For a serving task, its tail latency in milliseconds; otherwise its processor usage."""
        self.throttle_percent = UNTHROTTLED_PERCENT
        """Throttle percent last sent; ``UNKNOWN_THROTTLE_PERCENT`` if the target's is unknown."""
        self.valid_until = 0.0
        """After this time the run can't begin, nor go on without a later lease renewal."""
        self.checkpoint = ""
        self.start_answered_at: float | None = None
        """When the start was answered; None while it may be sent again."""
        self.is_start_uncertain = False
        """Whether an attempt to start the run got no answer: it may be executed at any time."""
        self.is_reported = False
        """Whether the answer to a poll that was sent after the answered start contained the run.

        The start had then reached the incarnation that answers the polls, and no later one.
        """
        self.has_survived_start = False
        """Whether a report has shown the run some time after its start."""
        self.progressed_at = 0.0
        self.reported_at = 0.0
        """When ``percent`` was last updated: at most once per ``MIN_RATE_INTERVAL_S``."""
        self.began_at = 0.0
        """When the run was first known to be running, with ``first_percent`` of it done."""
        self.first_percent = 0.0
        self.is_resumed = False
        """Whether the run was started from a checkpoint, with a part of the work done."""
        self.has_known_start = False
        """Whether the target answered the only attempt to start the run."""
        self.slowness = 1.0
        """How many times longer tasks take on the target's kind than on average, if learned."""
        self.expectation: Expectation | None = None
        """What was expected of the run when it was started; None if durations aren't learned."""
        self.previous_rate = 0.0
        """Share of the work done per second until the current window began; 0 if unknown."""
        self.current_rate = 0.0
        """The same in the newest window in which ``MIN_POINTS`` points were due."""
        self._window_at = 0.0
        self._window_percent = 0.0
        """When the window began in which the next rate is measured, and the percentage then."""
        self.stopped_at = 0.0
        """When a stop was sent."""
        self.checkpointed_at = 0.0
        """When the newest checkpoint was first reported; 0 if none was."""
        self.preempted_for: StepInfo | None = None
        """The urgent step for which the run is being stopped."""

    def note_checkpoint(self, checkpoint: str, now: float) -> None:
        """Records the checkpoint that a report gives for the run."""
        if checkpoint and checkpoint != self.checkpoint:
            self.checkpoint, self.checkpointed_at = checkpoint, now

    def update_progress(self, percent: float, now: float) -> None:
        """Records the percentage that a report gives for the run."""
        if not self.began_at or (self.is_resumed and not self.progressed_at):
            # The answer to a start does not tell how much of a resumed run is done.
            self.began_at, self.first_percent = now, percent
        if percent != self.percent or not self.progressed_at:
            self.progressed_at = now
        if now - self.reported_at >= MIN_RATE_INTERVAL_S or not self.reported_at:
            self.reported_at, self.percent = now, percent
            self._measure_rate()

    def _measure_rate(self) -> None:
        """Compares the progress in the current window with that before it, if both are known.

        Percentages are whole numbers: over fewer than ``MIN_POINTS`` points, even progress looks
        uneven.
        """
        before_s = self._window_at - self.began_at
        before_points = self._window_percent - self.first_percent
        since_s = self.reported_at - self._window_at
        if before_s >= MIN_RATE_INTERVAL_S and before_points >= MIN_POINTS:
            if since_s < MIN_RATE_INTERVAL_S or before_points / before_s * since_s < MIN_POINTS:
                return
            if self._window_percent < 100:
                self.previous_rate = before_points / 100.0 / before_s
                self.current_rate = (self.percent - self._window_percent) / 100.0 / since_s
        self._window_at, self._window_percent = self.reported_at, self.percent

    @property
    def max_point_s(self) -> float | None:
        """The longest time that one percentage point can have taken so far, on average.

        None while the reports show too few points.
        """
        if self.has_known_start and not self.is_resumed:
            began_at, points = self.commanded_at, self.percent
        else:
            began_at, points = self.began_at, self.percent - self.first_percent - 1.0
        return (self.progressed_at - began_at) / points if points >= 1.0 else None

    def remaining_s(self, now: float) -> float:
        """Estimates the time until the run is done, from its progress if there is any, else from
        the expected duration."""
        if self.is_rate_known:
            at_work_s = self.reported_at - self.began_at
            progress = self.percent - self.first_percent
            return (100.0 - self.percent) / progress * at_work_s - (now - self.reported_at)
        return self.step.expected_s * self.slowness - (now - self.commanded_at)

    @property
    def is_rate_known(self) -> bool:
        """Whether the reports show how fast the run proceeds."""
        at_work_s = self.reported_at - self.began_at
        return at_work_s >= MIN_RATE_INTERVAL_S and self.percent > self.first_percent

    @property
    def key(self) -> tuple[TaskId, int]:
        return self.task, self.number


MIN_RATE_INTERVAL_S = 0.35
"""Shortest time over which a progress rate is measured: reports are late by varying times."""

MIN_POINTS = 4.0
"""Fewest percentage points over which a progress rate is measured: percentages are whole numbers,
so that a difference is off by up to one point."""


class Advice(NamedTuple):
    """An answer of the advice service.

    :param targets: Targets that the request named.
    :param tickets: Tickets of the allowed targets, by target.
    :param valid_until: Time until which the tickets may be used.
    """

    targets: tuple[str, ...]
    tickets: dict[str, str]
    valid_until: float


class StepAdvice:
    """The advice received for one step. A target that was allowed once always is."""

    def __init__(self) -> None:
        self._tickets: dict[str, tuple[str, float]] = {}
        self.denied: set[str] = set()
        self.requested: set[str] = set()
        """Targets named by requests that have no answer yet."""
        self.requested_at = float("-inf")
        """When advice was last requested."""
        self.checked_at = float("-inf")
        """When the step was last checked for missing advice."""
        self.attended_at = float("-inf")
        """When the step last had its turn: it made a request, got the answer, or needed none."""

    @property
    def has_answers(self) -> bool:
        """Whether any answer has been received."""
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

    def is_unknown(self, target: str) -> bool:
        """Whether no answer has been received for the target."""
        return target not in self._tickets and target not in self.denied

    def is_valid(self, target: str, now: float) -> bool:
        """Whether the target's ticket can still be used at time ``now``."""
        return target in self._tickets and now < self._tickets[target][1]

    def valid_until(self, target: str) -> float:
        """Returns until when the target's ticket can be used."""
        return self._tickets.get(target, ("", float("-inf")))[1]

    def ticket(self, target: str) -> str:
        return self._tickets.get(target, ("", 0.0))[0]

    def invalidate_ticket(self, target: str) -> None:
        """Drops a ticket that the target refused, so that it is renewed."""
        if target in self._tickets:
            self._tickets[target] = ("", float("-inf"))

    def allowed_targets(self) -> list[str]:
        return list(self._tickets)

    def valid_targets(self, now: float) -> list[str]:
        return [target for target, (_, until) in self._tickets.items() if now < until]


MIN_SIBLINGS = 3
"""Fewest runs of a step from which the duration of its other tasks is taken."""

MAX_SIBLINGS = 64
"""Most runs of a step, the last ones, from which it is taken; bounds the cost in large steps."""


class StepInfo:
    """One step of one occurrence of a job."""

    def __init__(self, job: JobInfo, occurrence: int, index: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.index = index
        self.spec: Step = job.submission.spec.steps[index]
        self.pending: set[int] = set(range(self.spec.count))
        self.uncertain: set[int] = set(self.pending) if job.before_claim else set()
        """Tasks that a previous owner may have started on a target that is not reached yet."""
        self.active: dict[int, Run] = {}
        self.done: set[int] = set()
        self.failures: dict[int, set[str]] = {}
        """Failed runs of each task; a gang's failures are all under its first task."""
        self.checkpoints: dict[int, str] = {}
        self.crash_history = CrashHistory()
        self.last_run = 0
        self.avoided: dict[int, set[str]] = {}
        """Targets on which each task failed, was slow, or was not started."""
        self.slow_on: dict[int, list[str]] = {}
        """Targets from which each task was moved because it was slow there, one for each move."""
        self.backup_runs: dict[int, set[Run]] = {}
        """Earlier runs of speculative tasks that were started again; their end still counts."""
        self.preempted_at: dict[int, list[float]] = {}
        """When each task was preempted under this epoch."""
        self.durations_by_target: list[tuple[str, float]] = []
        """Target and duration of each run that was done."""
        self.durations_by_kind: list[tuple[str, float]] = []
        """Kind of target and duration of the same runs."""
        self.average_durations: list[float] = []
        """Durations of runs that were done, at the average speed of the target kinds.

        Empty if durations aren't learned.
        """
        self.considered_at = float("-inf")
        """When the dispatcher last considered starting tasks of the step."""
        self._expected_s = self._expected_p90_s = 0.0
        self._expected_for: tuple[int, int] | None = None
        """Generation of the learned durations, and number of runs, behind these values."""
        self.advice = StepAdvice()
        self.returned_at: dict[int, float] = {}
        """When each pending task that has run before became pending again."""
        self.ready_at: float | None = None
        self.started_at = float("-inf")
        """When a task of the step was last started."""
        self.stall_reported_at = float("-inf")
        """When the step was last reported as stalled."""
        self.not_before = 0.0
        """Time before which no task of the step is started.

        Set when a long-running task ends, so that one that ends quickly is not restarted at once.
        """

    @property
    def name(self) -> str:
        return f"{self.job.id}.{self.occurrence}.{self.index}"

    @property
    def estimate_s(self) -> float:
        """The caller's estimate of a task's duration; 0 if there is none."""
        return self.spec.estimate_ms / 1000.0

    @property
    def work_key(self) -> WorkKey:
        return WorkKey(self.job.queue.name, self.spec.image, self.index, self.job.team)

    @property
    def duration_weight(self) -> float:
        """Weight of one run as evidence: the tasks of a step resemble each other.

        Of a gang, whose tasks end together, only one run counts.
        """
        return 1.0 if self.spec.gang else self.spec.count**-0.5

    @property
    def has_learnable_duration(self) -> bool:
        """Whether a run's duration depends on its work, and not on other work or on a stop."""
        return not self.spec.long_running and not self.spec.fills

    @property
    def expected_s(self) -> float:
        """Expected duration of a task at the average speed of the target kinds.

        The median of the step's own runs if there are enough of them, else learned from earlier
        steps; the caller's estimate if durations aren't learned.
        """
        if self.job.durations is None or not self.has_learnable_duration:
            return self.estimate_s
        self._update_expected(self.job.durations)
        return self._expected_s

    @property
    def expected_p90_s(self) -> float:
        """Time within which nine of ten tasks are expected to be done, where ``expected_s`` is that
        of half of them."""
        if self.job.durations is None or not self.has_learnable_duration:
            return self.estimate_s
        self._update_expected(self.job.durations)
        return self._expected_p90_s

    def _update_expected(self, learned: LearnedDurations) -> None:
        state = learned.generation, len(self.average_durations)
        if state == self._expected_for:
            return
        self._expected_for = state
        expected = learned.expect(self.work_key, self.estimate_s)
        self._expected_s, self._expected_p90_s = expected.p50_s, expected.p90_s
        if len(self.average_durations) >= MIN_SIBLINGS:
            self._expected_s = median(self.average_durations[-MAX_SIBLINGS:])
            self._expected_p90_s *= self._expected_s / max(expected.p50_s, 0.001)

    def add_duration(self, took_s: float) -> None:
        """Adds the duration of a run that was done, at the average speed of the target kinds."""
        self.average_durations.append(took_s)
        self.job.note_changed_expectation()

    @property
    def is_done(self) -> bool:
        return len(self.done) == self.spec.count

    @property
    def is_nearly_done(self) -> bool:
        """Whether all tasks but one are done, so that their durations are known."""
        return len(self.done) + 1 == self.spec.count

    @property
    def is_ready(self) -> bool:
        """Whether all steps that this one depends on are done."""
        steps = self.job.steps
        return all(steps[self.occurrence, index].is_done for index in self.spec.depends_on)

    def return_task(self, index: int, now: float) -> None:
        """Makes a task pending again whose run is over, or that may run elsewhere as well."""
        self.pending.add(index)
        self.returned_at[index] = now

    def take_task(self, index: int) -> None:
        """Makes a task not pending any more."""
        self.pending.discard(index)
        self.returned_at.pop(index, None)

    def waiting_since(self, now: float) -> float:
        """Returns since when the pending task that has waited longest could be started."""
        ready_at = now if self.ready_at is None else self.ready_at
        if len(self.returned_at) < len(self.pending):
            return ready_at
        return max(ready_at, min(self.returned_at.values(), default=now))

    def startable(self, is_takeover_complete: bool) -> set[int]:
        """Returns the pending tasks that no previous owner can have running, and whose crashes are
        recorded.

        :param is_takeover_complete: Whether every run of the previous owner is known or over.
        """
        waiting = self.crash_history.unrecorded
        if not is_takeover_complete:
            waiting = waiting | self.uncertain
        if not waiting:
            return self.pending
        if self.spec.gang:
            return set()
        return self.pending - waiting

    def suspects_among(self, indices: set[int]) -> set[int]:
        """Returns the tasks to start isolated, as a target crashed when they were last started.

        The tasks of a gang can only start together.
        """
        return set() if self.spec.gang else indices & self.crash_history.suspects

    def may_run_ahead(self, index: int) -> bool:
        """Whether a speculative task may start again while the outcome of its start is unknown.

        The start may have crashed its target. A task that did so before waits for the outcome, and
        so does one that runs ahead already.
        """
        backups = self.backup_runs.get(index, ())
        has_crashed = index in self.crash_history.tasks
        return not has_crashed and all(run.has_survived_start for run in backups)

    def task(self, index: int) -> TaskId:
        return TaskId(self.job.id, self.occurrence, self.index, index)

    def restore(self, progress: TaskProgress) -> None:
        """Restores the step's progress from the log."""
        self.done = set(progress.done)
        self.pending -= self.done
        self.failures = {index: set(runs) for index, runs in progress.failures.items()}
        self.checkpoints = dict(progress.checkpoints)
        self.crash_history.restore(progress.crashes)
        self.last_run = progress.last_run

    def progress(self) -> TaskProgress:
        failures = {index: tuple(sorted(runs)) for index, runs in self.failures.items()}
        crashes = self.crash_history.progress()
        return TaskProgress(
            tuple(self.done), failures, dict(self.checkpoints), self.last_run, crashes
        )

    @property
    def has_progress(self) -> bool:
        """Whether there is anything that the next owner has to know."""
        return bool(
            self.done
            or self.failures
            or self.checkpoints
            or self.last_run
            or self.crash_history.tasks
        )


class JobInfo:
    """One accepted job."""

    def __init__(
        self,
        submission: Submission,
        seen_at: float,
        before_claim: bool,
        offset: int = 0,
        durations: LearnedDurations | None = None,
    ) -> None:
        self.id = submission.job
        self.offset = offset
        """Highest offset in the jobs stream that the first submission may have."""
        self.submission = submission
        self.seen_at = seen_at
        self.total_estimate_s = sum(step.estimate_ms for step in submission.spec.steps) / 1000.0
        """Sum of the steps' estimates."""
        self.durations = durations
        """Learned durations; None if the callers' estimates are used."""
        self._changes = 0
        """Number of changes by which the expected duration of the job may have changed."""
        self._expected_for: tuple[int, int] | None = None
        """Generation of the learned durations, and ``_changes``, behind the next two values."""
        self._expected_total_s = 0.0
        self._expected_chain_s = 0.0
        self.before_claim = before_claim
        """Whether a previous owner may have started tasks of the job."""
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
        """Whether tasks of the job may still be started."""
        return not self.cancelled and not self.outcome

    @property
    def expected_total_s(self) -> float:
        """Expected duration of the whole job: of its longest path of steps.

        The sum of the callers' estimates if durations aren't learned.
        """
        if self.durations is None:
            return self.total_estimate_s
        self._update_expected()
        return self._expected_total_s

    @property
    def expected_chain_s(self) -> float:
        """Expected duration of the longest path of the steps that are not done.

        Of a job that repeats, the newest occurrence that is not done counts.
        """
        self._update_expected()
        return self._expected_chain_s

    @property
    def objective_s(self) -> float:
        """Time after its submission by which the job should be done."""
        return objective_of(self.queue, self.expected_total_s)

    def note_changed_expectation(self) -> None:
        """Notes that a run of the job has ended, so that it may be expected to take longer or
        shorter."""
        self._changes += 1

    def _update_expected(self) -> None:
        generation = 0 if self.durations is None else self.durations.generation
        if self._expected_for == (generation, self._changes):
            return
        self._expected_for = generation, self._changes
        total_s = chain_s = 0.0
        for occurrence in reversed(range(self.occurrences_open)):
            total_s, chain_s = self._longest_paths_s(occurrence)
            if chain_s:
                break
        self._expected_total_s = total_s or self.total_estimate_s
        self._expected_chain_s = chain_s

    def _longest_paths_s(self, occurrence: int) -> tuple[float, float]:
        """Returns the duration of the longest path of all steps, and of those not done."""
        totals: list[float] = []
        chains: list[float] = []
        for index, spec in enumerate(self.submission.spec.steps):
            step = self.steps[occurrence, index]
            expected_s = step.expected_s
            left_s = 0.0 if step.is_done else expected_s
            totals.append(max((totals[each] for each in spec.depends_on), default=0.0) + expected_s)
            chains.append(max((chains[each] for each in spec.depends_on), default=0.0) + left_s)
        return max(totals, default=0.0), max(chains, default=0.0)

    def open_occurrences(self, count: int) -> None:
        """Creates the steps of the first ``count`` occurrences, except those that are open."""
        if count > self.occurrences_open:
            self.note_changed_expectation()
        for occurrence in range(self.occurrences_open, count):
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
        """Restores the job's progress from the log."""
        self.begun = progress.begun
        self.outcome = progress.outcome
        for (occurrence, index), task in progress.steps.items():
            # Occurrences need not begin in order: those before a recorded one may have no record.
            self.open_occurrences(occurrence + 1)
            self.steps[occurrence, index].restore(task)

    def progress(self) -> Progress:
        steps = {key: step.progress() for key, step in self.steps.items() if step.has_progress}
        return Progress(self.begun, self.outcome, steps)


LATE_COMMAND_S = 10.0
"""How long after its release a run may still be started by a command that is late."""


class TargetInfo:
    """One incarnation of a target, its runs and its state."""

    def __init__(self, entry: TargetEntry) -> None:
        self.entry = entry
        self.runs: dict[tuple[TaskId, int], Run] = {}
        self.used = ZERO
        self.free = entry.capacity
        """Capacity for further runs: neither used nor held, and nothing while it is isolated."""
        self._held = ZERO
        self._listed_capacity: Resources | None = None
        """Capacity that the directory lists; None if it lists none."""
        self._isolated_run: Run | None = None
        self.lapsed_runs: tuple[Run, ...] = ()
        """Runs that were released because the target's lease was over; it may have crashed."""
        self.reached = False
        """Whether the target has answered a poll under the current epoch."""
        self.responsive = False
        self.registered = True
        self.unregistered_at = 0.0
        self.suspect_until = 0.0
        self.refused_until = 0.0
        """Until when no task is started after the target refused one, however long it waits."""
        self._probation_began_at: float | None = None
        self.probes: set[Run] = set()
        """Runs started on probation that keep all further starts away until they end, or have been
        at work for some time."""
        self.failed_jobs: set[str] = set()
        """Jobs of which runs failed here, while or just before the target was put on probation."""
        self.is_evacuated = False
        """Whether the operator has requested that the target's zone gets no tasks."""
        self.throttle_percent = UNTHROTTLED_PERCENT
        """Throttle percent of the target's filling tasks."""
        self.throttled_at = float("-inf")
        self._uncertain_runs: list[tuple[float, Run]] = []
        """Released runs that a late start may still begin on a later incarnation, and when they
        were released."""
        self.outcomes: list[tuple[float, str, bool]] = []
        """Recent run ends: time, job, whether the run was done."""

    @property
    def id(self) -> str:
        return self.entry.id

    @property
    def on_probation(self) -> bool:
        """Whether the target gets one run at a time until there is evidence that it is sound."""
        return self._probation_began_at is not None

    @property
    def probation_began_at(self) -> float | None:
        """When the target last became suspect; None while it is not on probation."""
        return self._probation_began_at

    @property
    def isolated_run(self) -> Run | None:
        """The run beside which the target starts no other; None if there is none."""
        return self._isolated_run

    @property
    def is_isolated(self) -> bool:
        return self._isolated_run is not None

    def begin_probation(self, now: float) -> None:
        """Begins probation, or begins it anew: the runs started until now are no evidence.

        Those started on probation keep further starts away as before.
        """
        self._probation_began_at = now

    def end_probation(self) -> None:
        """Lets the target get any number of runs again."""
        self._probation_began_at = None
        self.probes.clear()
        self.failed_jobs.clear()

    def isolate(self, run: Run) -> None:
        """Keeps all other tasks away until :meth:`end_isolation` or the end of the run."""
        self._isolated_run = run
        self._update_free()

    def end_isolation(self, run: Run) -> None:
        """Accepts other tasks again if the target is isolated for this run."""
        if self._isolated_run is run:
            self._isolated_run = None
            self._update_free()

    def update_entry(self, entry: TargetEntry) -> None:
        """Replaces the registry entry by a newer one of the same incarnation.

        The start time stays known if the newer entry, which may come from another writer, has none.
        """
        self.entry = entry._replace(started_at_ms=entry.started_at_ms or self.entry.started_at_ms)
        self._update_free()

    def set_listed_capacity(self, capacity: Resources | None) -> None:
        """Notes the capacity that the directory lists for this incarnation."""
        if capacity != self._listed_capacity:
            self._listed_capacity = capacity
            self._update_free()

    def note_released(self, run: Run, now: float) -> None:
        """Remembers a released run of which a start may still be on its way."""
        if run.is_start_uncertain:
            self._uncertain_runs = [(now, run), *self._recently_released(now)]

    def unconfirmed_runs(self, now: float) -> list[Run]:
        """Returns the runs that a later incarnation under the same id may have been told to start.

        These are runs that no report shows to have begun here, and runs of which an attempt to
        start them had no answer.
        """
        runs = [run for run in self.runs.values() if not run.is_reported or run.is_start_uncertain]
        return runs + [run for _, run in self._recently_released(now)]

    def _recently_released(self, now: float) -> list[tuple[float, Run]]:
        return [each for each in self._uncertain_runs if now - each[0] < LATE_COMMAND_S]

    def add(self, run: Run) -> None:
        self.runs[run.key] = run
        self._use(run.allocation, 1)

    def remove(self, run: Run) -> None:
        if self.runs.pop(run.key, None) is not None:
            self._use(run.allocation, -1)
        self.probes.discard(run)
        self.end_isolation(run)

    def hold(self, allocation: Resources) -> None:
        """Keeps capacity free for one task until :meth:`release_holds`."""
        self._held = self._held.plus(allocation)
        self._update_free()

    def release_hold(self, allocation: Resources) -> None:
        """Takes back one :meth:`hold`."""
        self._held = self._held.plus(allocation, -1)
        self._update_free()

    def release_holds(self) -> None:
        self._held = ZERO
        self._update_free()

    def _use(self, allocation: Resources, times: int) -> None:
        self.used = self.used.plus(allocation, times)
        self._update_free()

    def _update_free(self) -> None:
        capacity = ZERO if self.is_isolated else self.entry.capacity
        if self._listed_capacity is not None:
            capacity = Resources(*map(min, capacity, self._listed_capacity))
        self.free = capacity.plus(self.used, -1).plus(self._held, -1)


class TeamUsage:
    """Resources that each team uses, from the start command to the known end of a run."""

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}

    def of(self, team: str) -> Resources:
        return self._used.get(team, ZERO)

    def add(self, run: Run, times: int = 1) -> None:
        team = run.step.job.team
        self._used[team] = self.of(team).plus(run.step.spec.need, times)
