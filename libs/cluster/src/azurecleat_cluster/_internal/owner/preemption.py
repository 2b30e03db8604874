"""Chooses which running tasks to stop so that urgent tasks can start. No I/O, no clock.

A stopped task that saves checkpoints goes on later from the one that the stop produces, so a stop
costs little more than the restore. The work since the last known checkpoint is lost as well if the
target ends before it reports the run's end.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from itertools import islice
from typing import NamedTuple

from azurecleat_base import ZERO, Resources

from azurecleat_cluster._internal.owner.model import Run, RunState, StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import max_starts

URGENT_PRIORITY = 0
"""Priority number of the queues whose tasks may take the place of others."""

STOP_S = 0.4
"""Longest time that a target takes to stop a task."""

RESTORE_S = 0.45
"""Expected time to restore a checkpoint: 0.25 to 0.6 s."""

LATE_STOP_S = 1.0
"""Time from a stop after which the capacity is no longer expected: the stop, two more attempts to
send it, and the poll that lists the end."""

MIN_REMAINING_S = STOP_S + 0.1
"""A run that ends sooner than this frees its capacity before a stop would, as the stop has to be
sent first."""

PAUSE_S = 5.0
"""Time for which a task that was preempted is left alone."""

MAX_PREEMPTIONS = 3
"""How often one task may be preempted, so that it makes progress in a long overload as well."""

MAX_STOPPING_SHARE = 1 / 8
"""Share of a pool's capacity that may be stopping at one time."""

MAX_CHOICES_PER_ROUND = 4
"""Most steps for which one dispatch round chooses runs to stop."""

MAX_FAILED_CHOICES_PER_ROUND = 16
"""Most steps for which one dispatch round looks for runs to stop and finds none. They must not keep
the steps behind them from a choice."""

MAX_CLAIMS_PER_ROUND = 40
"""Most steps with tickets for which one dispatch round counts what is being freed, as each examines
all its targets."""

MAX_TARGETS_PER_CHOICE = 64
"""Most targets examined for one step: at ten runs each, a choice takes about a millisecond."""

MAX_RUNS_PER_TASK = 4
"""Most runs stopped on one target so that one task can start."""

SHORTEST_RUN_SHARE = 0.5
"""Ratio of a task's duration to its estimate below which it is unlikely to be: estimates are off by
up to 90%. A job counts as late only if it would be late even with such short tasks, because a stop
in vain costs less than an urgent job that was given up too early."""


class Choice(NamedTuple):
    """Runs to stop for one step.

    :param runs: The runs, in the order in which they were chosen.
    :param starts: Number of tasks of the step that can start in their place.
    :param lost_core_s: Work that is lost at most, in core-seconds.
    """

    runs: tuple[Run, ...] = ()
    starts: int = 0
    lost_core_s: float = 0.0


class _Option(NamedTuple):
    """Runs of one target whose end lets tasks start."""

    cost: float
    """Core-seconds lost per task that can start."""
    percent: float
    name: str
    target: TargetInfo
    runs: tuple[Run, ...]
    starts: int


class FreeingCapacity:
    """Capacity of one pool that is being freed, and what urgent steps claim of it.

    Made anew from the runs in each dispatch round, so that lost ends and late ones need no
    bookkeeping.
    """

    def __init__(self, targets: Iterable[TargetInfo], now: float) -> None:
        self._now = now
        self.limit = ZERO
        """Most capacity that may be stopping at one time."""
        self.stopping = ZERO
        self._expected: dict[str, Resources] = {}
        self._victims: dict[str, list[Run]] = {}
        total = ZERO
        for target in targets:
            total = total.plus(target.entry.capacity)
            for run in target.runs.values():
                if run.state is RunState.STOPPING:
                    self.stopping = self.stopping.plus(run.allocation)
        self.limit = Resources(*(int(value * MAX_STOPPING_SHARE) for value in total))

    def _expected_on(self, target: TargetInfo) -> Resources:
        """Returns the capacity of a target that is being freed and that no step has claimed."""
        if target.id not in self._expected:
            ending = (run for run in target.runs.values() if _ends_soon(run, self._now))
            self._expected[target.id] = _total(ending)
        return self._expected[target.id]

    def may_stop(self, allocation: Resources) -> bool:
        return self.stopping.plus(allocation).fits_in(self.limit)

    def claim(self, step: StepInfo, count: int, targets: Iterable[TargetInfo]) -> int:
        """Assigns expected capacity to a step.

        :param count: Tasks of the step that found no capacity.
        :returns: The number of these tasks that can start when the stopping runs have ended.
        """
        claimed = 0
        for target in targets:
            if claimed == count:
                break
            if self._expected_on(target) == ZERO:
                continue
            starts = min(count - claimed, self.starts_after(step, target, ZERO))
            if starts:
                self._claim(step, target, starts)
                claimed += starts
        return claimed

    def stop(self, step: StepInfo, target: TargetInfo, runs: Iterable[Run], starts: int) -> None:
        """Notes that runs are to be stopped for a step."""
        for run in runs:
            self.stopping = self.stopping.plus(run.allocation)
            self._expected[target.id] = self._expected_on(target).plus(run.allocation)
            self.victims_on(target).remove(run)
        self._claim(step, target, starts)

    def _claim(self, step: StepInfo, target: TargetInfo, starts: int) -> None:
        self._expected[target.id] = self._expected_on(target).plus(step.spec.allocation, -starts)

    def starts_after(self, step: StepInfo, target: TargetInfo, freed: Resources) -> int:
        """Returns how many more tasks fit on a target once further capacity is freed there."""
        free = target.free.plus(self._expected_on(target)).plus(freed)
        fitting = max_starts(step, target)
        for need, value in zip(step.spec.allocation, free, strict=True):
            if need:
                fitting = min(fitting, value // need)
        return max(0, fitting)

    def victims_on(self, target: TargetInfo) -> list[Run]:
        """Returns the runs of a target that may be preempted, least loss first."""
        if target.id not in self._victims:
            is_excluded = target.on_probation or target.is_isolated
            runs = () if is_excluded else target.runs.values()
            victims = [run for run in runs if may_preempt(run, self._now)]
            victims.sort(key=lambda run: (lost_core_s(run, self._now), run.percent, run.task))
            self._victims[target.id] = victims
        return self._victims[target.id]


def _ends_soon(run: Run, now: float) -> bool:
    """Whether a run's capacity is expected to be free about as soon as that of one stopped now."""
    if run.state is RunState.STOPPING:
        return now - run.stopped_at <= LATE_STOP_S
    if not run.is_rate_known:
        return False
    return -STOP_S <= run.remaining_s(now) < MIN_REMAINING_S


def may_preempt(run: Run, now: float) -> bool:
    """Whether a run may be stopped for urgent work, as far as its own state tells."""
    step, index = run.step, run.task.index
    spec = step.spec
    if not (spec.checkpointing or spec.fills) or spec.gang or spec.long_running:
        return False
    if step.job.queue.priority <= URGENT_PRIORITY or step.active.get(index) is not run:
        return False
    if run.state is not RunState.RUNNING or not run.has_survived_start:
        return False
    preempted_at = step.preempted_at.get(index, ())
    if len(preempted_at) >= MAX_PREEMPTIONS:
        return False
    if preempted_at and now - preempted_at[-1] < PAUSE_S:
        return False
    return run.remaining_s(now) >= MIN_REMAINING_S


def lost_core_s(run: Run, now: float) -> float:
    """Returns the work that a stop costs at most, in core-seconds."""
    since_s = now - (run.checkpointed_at or run.began_at or run.commanded_at)
    return (max(0.0, since_s) + RESTORE_S) * run.step.spec.need.cpu_milli / 1000.0


def can_be_on_time(step: StepInfo, now: float) -> bool:
    """Whether a step's job can be done within its objective if runs are stopped for it now.

    A queue without an objective has no time by which its jobs are late.
    """
    job = step.job
    if job.objective_s <= 0:
        return True
    return now + STOP_S + SHORTEST_RUN_SHARE * _chain_s(step) <= job.seen_at + job.objective_s


def _chain_s(step: StepInfo) -> float:
    """Returns the expected time of the longest chain of steps that begins with a step."""
    steps = step.job.submission.spec.steps
    chains: dict[int, float] = {}
    for index in range(len(steps) - 1, step.index - 1, -1):
        after = [chains[later] for later in chains if index in steps[later].depends_on]
        expected_s = step.job.steps[step.occurrence, index].expected_s
        chains[index] = expected_s + max(after, default=0.0)
    return chains[step.index]


def choose(
    step: StepInfo,
    count: int,
    targets: Sequence[TargetInfo],
    freeing: FreeingCapacity,
    now: float,
) -> Choice:
    """Chooses runs to stop so that tasks of a step can start, least loss per task first.

    :param count: Tasks of the step that found no capacity and that no expected capacity is for.
    :param targets: Targets that the step may use. Of those with runs that may be preempted, the
        first ``MAX_TARGETS_PER_CHOICE`` are examined.
    :param freeing: What is being freed; the runs chosen are added.
    """
    options: list[_Option] = []
    with_victims = (target for target in targets if freeing.victims_on(target))
    for target in islice(with_victims, MAX_TARGETS_PER_CHOICE):
        option = _best_option(step, count, target, freeing, now)
        if option is not None:
            options.append(option)
    heapq.heapify(options)
    runs: list[Run] = []
    starts, lost = 0, 0.0
    while options and starts < count:
        option = heapq.heappop(options)
        if not freeing.may_stop(_total(option.runs)):
            continue
        if option.starts <= count - starts:
            freeing.stop(step, option.target, option.runs, option.starts)
            runs.extend(option.runs)
            starts += option.starts
            lost += sum(lost_core_s(run, now) for run in option.runs)
        # Another option of the target may be better now, as there is less left to start.
        following = _best_option(step, count - starts, option.target, freeing, now)
        if following is not None:
            heapq.heappush(options, following)
    return Choice(tuple(runs), starts, lost)


def _best_option(
    step: StepInfo, count: int, target: TargetInfo, freeing: FreeingCapacity, now: float
) -> _Option | None:
    """Returns the runs of a target to stop next; None if no task could start in their place."""
    victims = freeing.victims_on(target)
    if not victims or count <= 0:
        return None
    before = freeing.starts_after(step, target, ZERO)
    best: _Option | None = None
    seen: set[Resources] = set()
    for run in victims:
        # Of runs with the same allocation only the one with the least loss matters.
        if run.allocation in seen:
            continue
        seen.add(run.allocation)
        option = _option(step, count, target, (run,), freeing, before, now)
        if option is not None and (best is None or option[:2] < best[:2]):
            best = option
    if best is None:
        best = _best_group(step, count, target, freeing, before, now)
    return best


def _best_group(
    step: StepInfo,
    count: int,
    target: TargetInfo,
    freeing: FreeingCapacity,
    before: int,
    now: float,
) -> _Option | None:
    """Returns the first few runs of a target that together let a task start."""
    victims = freeing.victims_on(target)
    for size in range(2, min(MAX_RUNS_PER_TASK, len(victims)) + 1):
        chosen = tuple(victims[:size])
        if _option(step, count, target, chosen, freeing, before, now) is None:
            continue
        for run in chosen:
            fewer = tuple(other for other in chosen if other is not run)
            if _option(step, count, target, fewer, freeing, before, now) is not None:
                chosen = fewer
        return _option(step, count, target, chosen, freeing, before, now)
    return None


def _option(
    step: StepInfo,
    count: int,
    target: TargetInfo,
    runs: tuple[Run, ...],
    freeing: FreeingCapacity,
    before: int,
    now: float,
) -> _Option | None:
    starts = min(count, freeing.starts_after(step, target, _total(runs)) - before)
    if starts <= 0:
        return None
    lost = sum(lost_core_s(run, now) for run in runs)
    return _Option(lost / starts, runs[0].percent, target.id, target, runs, starts)


def _total(runs: Iterable[Run]) -> Resources:
    total = ZERO
    for run in runs:
        total = total.plus(run.allocation)
    return total
