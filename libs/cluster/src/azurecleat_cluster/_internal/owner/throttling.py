"""Paces filling tasks, so that serving tasks beside them keep their response times.

Filling tasks use what others leave of a target's processor, and disturb others by amounts that
differ by image and change within seconds; only the tail of the serving tasks tells. So the pace
falls by half when a tail comes near its bound, to nothing when it is beyond, and rises slowly.
"""

from __future__ import annotations

from typing import NamedTuple

from azurecleat_cluster._internal.owner.model import UNTHROTTLED_PERCENT, Run, RunState, TargetInfo

SLOW_DOWN_SHARE = 0.85
"""Tail of a serving task, as a share of its bound, from which filling tasks are slowed down."""

SPEED_UP_SHARE = 0.6
"""The same share below which they may work faster again."""

INCREASE_PERCENT = 20
"""Points by which the pace rises at a time: a fifth, since a tail rises steeply near the end."""

SETTLE_S = 0.6
"""Time that a tail needs to show a change: it covers half a second, and a pace takes 0.1 s."""

MOVE_AFTER_S = 1.5
"""Time at a standstill after which a filling task goes on elsewhere: half the time for which a
tail may stay beyond its bound is left then."""


class ThrottleDecision(NamedTuple):
    """What is to be done on one target."""

    changes: tuple[tuple[Run, int], ...] = ()
    moves: tuple[Run, ...] = ()
    worst_tail_share: float = 0.0


def throttle_target(target: TargetInfo, now: float) -> ThrottleDecision:
    """Decides the pace of a target's filling tasks; all of them get the same."""
    filling = [run for run in _running_runs(target) if run.step.spec.fills]
    if not filling:
        target.throttle_percent = UNTHROTTLED_PERCENT
        return ThrottleDecision()
    worst = max((_tail_share(run) for run in _running_runs(target)), default=0.0)
    if now - target.throttled_at >= SETTLE_S:
        wanted = _next_percent(target.throttle_percent, worst)
        if wanted != target.throttle_percent:
            target.throttle_percent, target.throttled_at = wanted, now
    moves = tuple(
        run
        for run in filling
        if run.throttle_percent == 0
        and now - target.throttled_at >= MOVE_AFTER_S
        and run.step.spec.checkpointing
    )
    changes = tuple(
        (run, target.throttle_percent)
        for run in filling
        if run.throttle_percent != target.throttle_percent and run not in moves
    )
    return ThrottleDecision(changes, moves, worst)


def _next_percent(percent: int, worst_tail_share: float) -> int:
    if worst_tail_share > 1.0:
        return 0
    if worst_tail_share > SLOW_DOWN_SHARE:
        return percent // 2
    if worst_tail_share < SPEED_UP_SHARE:
        return min(UNTHROTTLED_PERCENT, percent + INCREASE_PERCENT)
    return percent


def _running_runs(target: TargetInfo) -> list[Run]:
    return [run for run in target.runs.values() if run.state is RunState.RUNNING]


def _tail_share(run: Run) -> float:
    """Tail of a serving task as a share of its bound; 0 for any other task."""
    bound_ms = run.step.spec.target_ms
    return run.load / bound_ms if bound_ms else 0.0
