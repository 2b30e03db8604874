"""Throttles filling tasks, so that serving tasks on the same target keep their response times.

Filling tasks use the processor time that other tasks leave idle. How much they slow the other tasks
down differs by image and changes within seconds, so only the tail latency of the serving tasks
shows it. The throttle percent is halved when a tail latency gets near its bound, set to 0 when it
exceeds the bound, and raised slowly when it is well below the bound. Between these, it stays as it
is, but for 0 percent: a tail latency that is not near its bound without the filling tasks is no
reason to keep them stopped for good.
"""

from __future__ import annotations

from typing import NamedTuple

from azurecleat_cluster._internal.owner.model import UNTHROTTLED_PERCENT, Run, RunState, TargetInfo

SLOW_DOWN_SHARE = 0.85
"""Tail latency of a serving task, as a share of its bound, above which filling tasks are slowed
down."""

SPEED_UP_SHARE = 0.6
"""Tail latency, as a share of its bound, below which filling tasks are sped up again."""

INCREASE_PERCENT = 20
"""Percentage points by which the throttle percent rises at a time: a fifth of the range, because
tail latency rises steeply near saturation."""

RETRY_AFTER_S = 3.0
"""Time at 0 percent after which filling tasks are tried again at ``RETRY_PERCENT``."""

RETRY_PERCENT = 5

SETTLE_S = 0.6
"""Time until a tail latency reflects a change: it covers half a second, and a throttle command
takes 0.1 s."""

MOVE_AFTER_S = 1.5
"""Time at 0 percent after which a filling task that writes checkpoints is moved elsewhere: half of
the time for which a tail latency may exceed its bound is left then."""


class ThrottleDecision(NamedTuple):
    """What to change on one target.

    :param changes: Runs with their new throttle percent.
    :param moves: Runs to move elsewhere.
    :param worst_tail_share: Highest tail latency of a serving task, as a share of its bound.
    """

    changes: tuple[tuple[Run, int], ...] = ()
    moves: tuple[Run, ...] = ()
    worst_tail_share: float = 0.0


def throttle_target(target: TargetInfo, now: float) -> ThrottleDecision:
    """Decides the throttle percent of a target's filling tasks; all get the same."""
    filling = [run for run in _running_runs(target) if run.step.spec.fills]
    if not filling:
        target.throttle_percent = UNTHROTTLED_PERCENT
        return ThrottleDecision()
    worst = max((_tail_share(run) for run in _running_runs(target)), default=0.0)
    settled_s = now - target.throttled_at
    if settled_s >= SETTLE_S:
        wanted = _next_percent(target.throttle_percent, worst, settled_s)
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


def _next_percent(percent: int, worst_tail_share: float, settled_s: float) -> int:
    if worst_tail_share > 1.0:
        return 0
    if worst_tail_share > SLOW_DOWN_SHARE:
        return percent // 2
    if worst_tail_share < SPEED_UP_SHARE:
        return min(UNTHROTTLED_PERCENT, percent + INCREASE_PERCENT)
    if percent == 0 and settled_s >= RETRY_AFTER_S:
        return RETRY_PERCENT
    return percent


def _running_runs(target: TargetInfo) -> list[Run]:
    return [run for run in target.runs.values() if run.state is RunState.RUNNING]


def _tail_share(run: Run) -> float:
    """Returns a serving task's tail latency as a share of its bound; 0 for any other task."""
    bound_ms = run.step.spec.target_ms
    return run.load / bound_ms if bound_ms else 0.0
