"""Recognises targets that fail, stall or slow down what they run.

Declared run times are far off and tell nothing. One job that fails everywhere says nothing of a
target; several unlike jobs that fail on one target do. Progress of a run is even, so that its pace
is compared with its own before, or with that of its step's runs on other targets.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from statistics import median

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.owner.placement import Preferences
from azurecleat_cluster._internal.owner.work import Run, RunState, StepWork, TargetWork
from azurecleat_cluster._internal.values import EndKind

WINDOW_S = 6.0
"""How long an end counts: about ten short tasks."""

FAILED_JOBS = 2
"""Unlike jobs that must have failed on a target before it is left alone."""

PAUSE_S = 4.0
"""How long a suspect target gets nothing new before it is tried again."""

MAX_SUSPECT_SHARE = 0.25
"""Share of the targets that may be left alone at one time."""

STALL_S = 1.2
"""Time without any progress of a run after which it stands still: two looks."""

MIN_AGE_S = 0.35
"""Age from which a run's pace says something: one look."""

SLOW_SHARE = 0.4
"""Pace against other targets below which a target is slow. Kinds of targets differ by less."""

MIN_PEERS = 2
"""Runs on other targets that a run is compared with at least."""

MIN_PACE = 0.001
"""Pace of a run that stands still, in shares of its work a second."""

MIN_SAMPLES = 2
"""Runs of a target from which the bound is ``SLOW_SHARE``."""

SINGLE_SHARE = 0.25
"""The same bound for a single run: of a step's tasks one in fifty takes twice as long."""

MAX_MOVES = 2
"""Targets that a task leaves for being slow there."""

MOVE_COST_S = 0.5
"""Time that a stop and a new start take."""


class Suspicions:
    """Judges targets. Guarded by the lock of the owner's term."""

    def __init__(self, events: EventLog, preferences: Preferences) -> None:
        self._events = events
        self._preferences = preferences
        self._until: dict[str, float] = {}
        self._targets = 0

    def note_end(self, work: TargetWork, run: Run, kind: EndKind, now: float) -> None:
        """Takes in an end; one that is done ends a target's probation."""
        if kind is EndKind.DONE:
            work.on_probation = False
            if run.first_percent == 0 and run.began_at and not run.checkpoint:
                run.step.took_s.append((work.id, now - run.began_at))
                run.step.kinds.append((work.entry.kind, now - run.began_at))
                if run.step.is_nearly_done:
                    self._preferences.note_durations(run.step.kinds)
        elif kind is not EndKind.FAILED:
            return
        work.outcomes = [each for each in work.outcomes if now - each[0] < WINDOW_S]
        work.outcomes.append((now, run.task.job, kind is EndKind.DONE))
        failed = {job for _, job, done in work.outcomes if not done}
        failures = sum(not done for _, _, done in work.outcomes)
        if len(failed) >= FAILED_JOBS and failures * 2 > len(work.outcomes):
            self._suspect(work, f"{failures} of {len(work.outcomes)} runs failed", now)

    def note_refusal(self, work: TargetWork, reason: str, now: float) -> None:
        """Notes a start that an unhealthy target turned away."""
        self._suspect(work, f"refused: {reason}", now)

    def judge(self, targets: Iterable[TargetWork], now: float) -> list[Run]:
        """Returns runs that had better go on elsewhere, and suspects their targets."""
        targets = list(targets)
        self._targets = len(targets)
        paces = _paces_by_step(targets)
        hopeless: list[Run] = []
        for work in targets:
            runs = [run for run in work.runs.values() if _is_measured(run)]
            if not runs or not work.answering:
                continue
            stalled = [run for run in runs if run.looked_at - run.progressed_at >= STALL_S]
            if len(stalled) == len(runs):
                if self._suspect(work, f"{len(runs)} runs stand still", now):
                    hopeless.extend(stalled)
                continue
            shares = [share for run in runs if (share := _share(run, paces)) is not None]
            if shares and median(shares) < (
                SLOW_SHARE if len(shares) >= MIN_SAMPLES else SINGLE_SHARE
            ):
                pace = median(shares)
                reason = f"{len(shares)} runs at {pace:.2f} of the usual pace"
                if self._suspect(work, reason, now):
                    hopeless.extend(run for run in runs if _is_better_moved(run, pace))
        return hopeless

    def _suspect(self, work: TargetWork, reason: str, now: float) -> bool:
        """Leaves a target alone for a while, unless too many are: what most do is usual."""
        self._until = {name: until for name, until in self._until.items() if until > now}
        others = len(self._until) - (work.id in self._until)
        if others + 1 > max(1, MAX_SUSPECT_SHARE * self._targets):
            return False
        if work.suspect_until <= now:
            self._events.write(
                eventlog.TARGET_SUSPECT, target=work.id, reason=reason, for_s=PAUSE_S
            )
        self._until[work.id] = work.suspect_until = now + PAUSE_S
        work.on_probation = True
        return True


def _is_measured(run: Run) -> bool:
    """Whether a run's percentages tell its pace."""
    return (
        run.state is RunState.RUNNING
        and not run.step.spec.gang
        and not run.step.spec.fills
        and run.percent < 100
        and run.looked_at - run.began_at >= MIN_AGE_S
    )


def _pace(run: Run) -> float:
    """Share of the work done in a second, from where the run began."""
    return (run.percent - run.first_percent) / 100.0 / (run.looked_at - run.began_at)


Paces = dict[StepWork, list[tuple[str, float]]]


def _paces_by_step(targets: list[TargetWork]) -> Paces:
    paces: Paces = defaultdict(list)
    steps = set()
    for work in targets:
        for run in work.runs.values():
            steps.add(run.step)
            if _is_measured(run):
                paces[run.step].append((work.id, _pace(run)))
    for step in steps:
        paces[step].extend((target, 1.0 / max(took_s, 0.01)) for target, took_s in step.took_s)
    return paces


def _share(run: Run, paces: Paces) -> float | None:
    """A run's pace against what is usual, None if nothing tells that.

    Usual is what the run itself made before, for progress is even; or else what its step's runs
    make on other targets.
    """
    if run.pace_before > 0:
        return run.pace_now / run.pace_before
    others = [pace for target, pace in paces[run.step] if target != run.target.id]
    if len(others) < MIN_PEERS:
        return None
    return _pace(run) / max(median(others), MIN_PACE)


def _is_better_moved(run: Run, share: float) -> bool:
    """Whether a run would end sooner if it were started anew on a target of the usual pace.

    A task that was slow on several targets is a long one, whatever its step's others are.
    """
    if len(run.step.avoid.get(run.task.index, ())) >= MAX_MOVES:
        return False
    pace = max(run.pace_now or _pace(run), MIN_PACE)
    left_s = (100.0 - run.percent) / 100.0 / pace
    elsewhere_s = share / pace
    return left_s > elsewhere_s + MOVE_COST_S
