"""Detects targets that fail, stall or slow down their runs.

Declared run times are too inaccurate to detect slow targets. The progress of a run is even, so its
rate is compared with its own earlier rate, or with the rates of the same step's runs on other
targets. Percentages are whole numbers, so that a long task shows the same one for seconds: what
its reports can show depends on the time that it takes for one point. A job that fails everywhere
does not point to a faulty target; several different jobs that fail on one target do.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from statistics import median

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.owner.model import (
    MIN_POINTS,
    Run,
    RunState,
    StepInfo,
    TargetInfo,
)
from azurecleat_cluster._internal.owner.placement import Preferences
from azurecleat_cluster._internal.values import EndKind

OUTCOME_WINDOW_S = 6.0
"""How long the end of a run counts: about the duration of ten short tasks."""

MIN_FAILED_JOBS = 2
"""Number of different jobs that must have failed on a target before it becomes suspect."""

SUSPECT_S = 4.0
"""How long a suspect target gets no new tasks before it is tried again."""

PROBE_S = 2.0
"""Longest time for which one run on probation keeps further starts away: a run of a task of some
seconds that stalls has been detected by then. A lasting run that is at work ends that sooner."""

MAX_SUSPECT_SHARE = 0.25
"""Share of a pool's targets that may be suspect at one time; one may be in any pool."""

STALL_S = 1.2
"""Shortest time without progress after which a run counts as stalled: two reports."""

STALL_POINTS = 3.0
"""The same in multiples of the time that the run takes for one percentage point: one is even
progress."""

UNKNOWN_STALL_POINTS = 10.0
"""The same while that time is known from the expected duration alone, which is off by up to ten
times."""

MIN_AGE_S = 0.35
"""Age from which a run's progress rate is meaningful: one report."""

SLOW_RATIO = 0.4
"""Ratio to the expected progress rate below which a target is slow. Kinds of targets differ by
less."""

MIN_PEERS = 2
"""Fewest runs on other targets that a run is compared with."""

MIN_RATE = 0.001
"""Progress rate from which the rest of a stalled run is estimated, in shares of its work per
second."""

MIN_SAMPLES = 2
"""Number of a target's runs from which ``SLOW_RATIO`` applies."""

SINGLE_RUN_SLOW_RATIO = 0.25
"""The same ratio for a single run; lower, as one task in fifty of a step takes twice as long."""

MAX_MOVES = 2
"""Number of moves from which a task that was slow each time is taken to be long in itself."""

MOVE_COST_S = 0.5
"""Duration of a stop and a new start."""


class HealthMonitor:
    """Decides which targets are suspect. Guarded by the lock of the owner's term."""

    def __init__(self, events: EventLog, preferences: Preferences) -> None:
        self._events = events
        self._preferences = preferences
        self._suspects: dict[str, TargetInfo] = {}
        self._pool_sizes: Counter[str] = Counter()

    def note_end(self, target: TargetInfo, run: Run, kind: EndKind, now: float) -> None:
        """Counts the end of a run; a run that is done ends the target's probation.

        While the target is suspect, only a run that was started on probation does.
        """
        if kind is EndKind.DONE:
            if _is_started_on_probation(run):
                target.suspect_until = min(target.suspect_until, now)
            if target.suspect_until <= now:
                self._end_probation(target, "a run is done", now)
            if run.first_percent == 0 and run.began_at and not run.checkpoint:
                run.step.durations_by_target.append((target.id, now - run.began_at))
                run.step.durations_by_kind.append((target.entry.kind, now - run.began_at))
                if run.step.is_nearly_done:
                    is_balanced = run.step.job.durations is not None
                    self._preferences.add_durations(run.step.durations_by_kind, is_balanced)
        elif kind is not EndKind.FAILED:
            return
        elif _is_started_on_probation(run) and run.task.job not in target.failed_jobs:
            # A job that has failed here before says nothing new: it may fail by its own fault.
            target.failed_jobs.add(run.task.job)
            self._suspect(target, "a run on probation failed", now)
        target.outcomes = [each for each in target.outcomes if now - each[0] < OUTCOME_WINDOW_S]
        target.outcomes.append((now, run.task.job, kind is EndKind.DONE))
        failed = {job for _, job, done in target.outcomes if not done}
        failures = sum(not done for _, _, done in target.outcomes)
        is_faulty = len(failed) >= MIN_FAILED_JOBS and failures * 2 > len(target.outcomes)
        reason = f"{failures} of {len(target.outcomes)} runs failed"
        if is_faulty and self._suspect(target, reason, now):
            target.failed_jobs |= failed
            target.outcomes.clear()  # The next suspicion needs evidence of its own.

    def note_refusal(self, target: TargetInfo, reason: str, now: float) -> None:
        """Makes a target suspect that refused a start because it is unhealthy."""
        self._suspect(target, f"refused: {reason}", now)

    def evaluate(self, targets: Iterable[TargetInfo], now: float) -> list[Run]:
        """Marks slow and stalled targets as suspect, and returns the runs to move elsewhere."""
        targets = list(targets)
        self._pool_sizes = Counter(target.entry.pool for target in targets)
        rates = _rates_by_step(targets)
        runs_to_move: list[Run] = []
        for target in targets:
            if target.on_probation:
                self._judge_probes(target, now)
            runs = [run for run in target.runs.values() if _has_measured_rate(run)]
            if not runs or not target.responsive:
                continue
            stalled = _stalled_runs(runs, rates)
            if stalled:
                reason = f"{len(stalled)} of {len(runs)} runs have stalled"
                if self._suspect(target, reason, now):
                    runs_to_move.extend(stalled)
                continue
            ratios = [ratio for run in runs if (ratio := _relative_rate(run, rates)) is not None]
            if ratios and median(ratios) < (
                SLOW_RATIO if len(ratios) >= MIN_SAMPLES else SINGLE_RUN_SLOW_RATIO
            ):
                median_ratio = median(ratios)
                reason = f"{len(ratios)} runs at {median_ratio:.2f} of the expected progress rate"
                if self._suspect(target, reason, now):
                    runs_to_move.extend(run for run in runs if _should_move(run, median_ratio))
        return runs_to_move

    def _suspect(self, target: TargetInfo, reason: str, now: float) -> bool:
        """Makes a target suspect for ``SUSPECT_S``, unless too many others of its pool are.

        What affects most targets is not the fault of one of them. Returns whether it is suspect.
        """
        self._suspects = {
            name: each for name, each in self._suspects.items() if each.suspect_until > now
        }
        pool = target.entry.pool
        others = sum(
            each.entry.pool == pool and each.id != target.id for each in self._suspects.values()
        )
        if others + 1 > max(1, MAX_SUSPECT_SHARE * self._pool_sizes[pool]):
            return False
        if target.suspect_until <= now:
            self._events.write(
                eventlog.TARGET_SUSPECT, target=target.id, reason=reason, for_s=SUSPECT_S
            )
        self._suspects[target.id] = target
        target.suspect_until = now + SUSPECT_S
        target.begin_probation(now)
        return True

    def _judge_probes(self, target: TargetInfo, now: float) -> None:
        """Ends the probation of a target on which a run has been at work for long enough.

        Lasting runs never end as done, and other runs may take hours.
        """
        for run in list(target.probes):
            is_at_work = run.step.spec.long_running and run.percent >= 100
            if is_at_work or now - run.commanded_at >= PROBE_S:
                target.probes.discard(run)
        if any(_is_evidence(run, now) for run in target.runs.values()):
            self._end_probation(target, "a run has been at work", now)

    def _end_probation(self, target: TargetInfo, reason: str, now: float) -> None:
        if target.probation_began_at is None:
            return
        self._events.write(
            eventlog.TARGET_PROBATION_ENDED,
            target=target.id,
            reason=reason,
            after_s=round(now - target.probation_began_at, 3),
        )
        target.end_probation()


def _is_started_on_probation(run: Run) -> bool:
    began_at = run.target.probation_began_at
    return began_at is not None and run.commanded_at > began_at


def _is_evidence(run: Run, now: float) -> bool:
    """Whether a run that has not ended yet shows that its target is sound.

    It was started on probation, and has been at work for as long as the end of a run counts. Runs
    that were started before are no evidence: a target may fail all that it starts while they go on.
    """
    if not _is_started_on_probation(run) or run.state is not RunState.RUNNING:
        return False
    if not run.began_at or now - run.began_at < OUTCOME_WINDOW_S:
        return False
    if run.step.spec.long_running:
        return run.percent >= 100
    return run.percent > run.first_percent and run.reported_at - run.progressed_at < STALL_S


def _has_measured_rate(run: Run) -> bool:
    """Whether a run's percentages allow its progress rate to be measured."""
    return (
        run.state is RunState.RUNNING
        and not run.step.spec.gang
        and not run.step.spec.fills
        and run.percent < 100
        and run.reported_at - run.began_at >= MIN_AGE_S
    )


def _rate(run: Run) -> float:
    """Returns the share of the work done per second since the run began."""
    return (run.percent - run.first_percent) / 100.0 / (run.reported_at - run.began_at)


RatesByStep = dict[StepInfo, list[tuple[str, float]]]
"""Target and progress rate of the runs of each step that are over or measured well enough."""


def _rates_by_step(targets: list[TargetInfo]) -> RatesByStep:
    runs: dict[StepInfo, list[Run]] = defaultdict(list)
    for target in targets:
        for run in target.runs.values():
            measured = runs[run.step]
            if _has_measured_rate(run):
                measured.append(run)
    rates: RatesByStep = defaultdict(list)
    for step, measured in runs.items():
        rates[step] = [(name, 1.0 / max(took_s, 0.01)) for name, took_s in step.durations_by_target]
        known = [run for run in measured if _has_points(run)]
        rates[step].extend((run.target.id, _rate(run)) for run in known)
        if len(known) < len(measured) and rates[step]:
            # Runs that should have as many points by now are slow, and count as well.
            usual = median(rate for _, rate in rates[step])
            late = [run for run in measured if not _has_points(run) and _is_resolved(run, usual)]
            rates[step].extend((run.target.id, _rate(run)) for run in late)
    return rates


def _has_points(run: Run) -> bool:
    """Whether a run has made enough progress for its rate to be measured."""
    return run.percent - run.first_percent >= MIN_POINTS


def _is_resolved(run: Run, rate: float) -> bool:
    """Whether a run at this rate would show enough progress by now."""
    return rate * (run.reported_at - run.began_at) * 100.0 >= MIN_POINTS


def _rate_elsewhere(run: Run, rates: RatesByStep) -> float | None:
    """Returns the median rate of the step's runs on other targets, None if there are too few."""
    others = [rate for name, rate in rates[run.step] if name != run.target.id]
    return median(others) if len(others) >= MIN_PEERS else None


def _relative_rate(run: Run, rates: RatesByStep) -> float | None:
    """Returns the ratio of a run's progress rate to the expected one, None if that is unknown.

    Expected is the run's own earlier rate, as progress is even, or else the median rate of its
    step's runs on other targets.
    """
    if run.previous_rate > 0:
        return run.current_rate / run.previous_rate
    expected = _rate_elsewhere(run, rates)
    if expected is None or not _is_resolved(run, expected):
        return None
    return _rate(run) / expected


def _still_s(run: Run) -> float:
    """Returns for how long a run has reported the same percentage."""
    return run.reported_at - run.progressed_at


def _stalled_runs(runs: list[Run], rates: RatesByStep) -> list[Run]:
    """Returns the stalled ones of a target's runs; none if any of them proceeds.

    A long task that stands still beside a stalled one may be between two points.
    """
    if any(_still_s(run) < STALL_S for run in runs):
        return []
    return [run for run in runs if _still_s(run) >= _stall_s(run, rates)]


def _stall_s(run: Run, rates: RatesByStep) -> float:
    """Returns the time without progress after which a run counts as stalled.

    It follows from the time for one percentage point: that of the run itself, of its step on other
    targets, or as expected. The time doubles with each move after the first ``MAX_MOVES``: a task
    of which too little is known then stays where it is for long enough to show a point.
    """
    point_s = run.max_point_s
    if point_s is not None:
        allowed_s = STALL_POINTS * point_s
    elif rate := _rate_elsewhere(run, rates):
        allowed_s = STALL_POINTS / 100.0 / rate
    else:
        allowed_s = UNKNOWN_STALL_POINTS * run.step.expected_s / 100.0
    moves = len(run.step.slow_on.get(run.task.index, ()))
    return max(STALL_S, allowed_s) * 2.0 ** max(0, moves - MAX_MOVES + 1)


def _should_move(run: Run, ratio: float) -> bool:
    """Whether a run would end sooner if it were started again at the expected progress rate.

    A task that was moved ``MAX_MOVES`` times is long in itself and is not moved again.
    """
    if len(run.step.slow_on.get(run.task.index, ())) >= MAX_MOVES:
        return False
    rate = max(run.current_rate or _rate(run), MIN_RATE)
    left_s = (100.0 - run.percent) / 100.0 / rate
    elsewhere_s = ratio / rate
    return left_s > elsewhere_s + MOVE_COST_S
