"""Paces filling tasks, so that serving tasks beside them keep their response times.

Filling tasks use what others leave of a target's processor, and disturb others by amounts that
differ by image and change within seconds; only the tail of the serving tasks tells. So the pace
falls by half when a tail comes near its bound, to nothing when it is beyond, and rises slowly.
"""

from __future__ import annotations

from typing import NamedTuple

from azurecleat_cluster._internal.owner.work import FULL_PACE, Run, RunState, TargetWork

NEAR_SHARE = 0.85
"""Tail of a serving task, as a share of its bound, from which filling tasks are slowed down."""

EASY_SHARE = 0.6
"""The same share below which they may work faster again."""

FASTER = 20
"""Points by which the pace rises at a time: a fifth, since a tail rises steeply near the end."""

LOOK_S = 0.6
"""Time that a tail needs to show a change: it covers half a second, and a pace takes 0.1 s."""

MOVE_S = 1.5
"""Time at a standstill after which a filling task goes on elsewhere: half the time for which a
tail may stay beyond its bound is left then."""


class Pacing(NamedTuple):
    """What is to be done on one target."""

    paces: tuple[tuple[Run, int], ...] = ()
    moves: tuple[Run, ...] = ()
    worst_share: float = 0.0


def pace_target(work: TargetWork, now: float) -> Pacing:
    """Decides the pace of a target's filling tasks; all of them get the same."""
    filling = [run for run in _at_work(work) if run.step.spec.fills]
    if not filling:
        work.pace = FULL_PACE
        return Pacing()
    worst = max((_tail_share(run) for run in _at_work(work)), default=0.0)
    if now - work.paced_at >= LOOK_S:
        wanted = _next_pace(work.pace, worst)
        if wanted != work.pace:
            work.pace, work.paced_at = wanted, now
    moves = tuple(
        run
        for run in filling
        if run.pace == 0 and now - work.paced_at >= MOVE_S and run.step.spec.checkpointing
    )
    paces = tuple((run, work.pace) for run in filling if run.pace != work.pace and run not in moves)
    return Pacing(paces, moves, worst)


def _next_pace(pace: int, worst_share: float) -> int:
    if worst_share > 1.0:
        return 0
    if worst_share > NEAR_SHARE:
        return pace // 2
    if worst_share < EASY_SHARE:
        return min(FULL_PACE, pace + FASTER)
    return pace


def _at_work(work: TargetWork) -> list[Run]:
    return [run for run in work.runs.values() if run.state is RunState.RUNNING]


def _tail_share(run: Run) -> float:
    """Tail of a serving task as a share of its bound; 0 for any other task."""
    bound_ms = run.step.spec.target_ms
    return run.load / bound_ms if bound_ms else 0.0
