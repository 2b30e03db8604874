"""Which steps may use targets that are kept back because they may be faulty. No I/O, no clock."""

from __future__ import annotations

from azurecleat_cluster._internal.owner.model import StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import has_label
from azurecleat_cluster._internal.owner.usable_pools import UsablePools

OVERDUE_S = 1.0
"""Wait after which a step asks for advice before others with a better rank, and may use targets
that are kept back: a third of the time within which tasks that last have to run again."""

MAX_FULLNESS_FOR_KEPT_BACK = 0.5
"""Used part of a pool up to which tasks that do not last may use targets that are kept back."""


def is_overdue(step: StepInfo, now: float) -> bool:
    """Whether a task of a step has waited for too long."""
    return now - step.waiting_since(now) >= OVERDUE_S


def last_resorts(
    step: StepInfo, kept_back: list[TargetInfo], pools: UsablePools, pool: str, now: float
) -> list[TargetInfo]:
    """Returns the targets kept back that a step may use, as it has waited for long.

    The users want a task to run that has room somewhere, and the advice may leave a step no
    other target. For a task with a limited number of attempts this holds only while its job has no
    run and half of the pool is free, and not for its last attempt: it could fail on such a target.

    :param kept_back: Available targets of the pool that are kept back.
    """
    if not kept_back or not step.pending or not is_overdue(step, now):
        return []
    if not step.spec.long_running:
        is_busy = pools.fullness(pool) > MAX_FULLNESS_FOR_KEPT_BACK
        if is_busy or _is_last_attempt(step):
            return []
        if any(each.active for each in step.job.steps.values()):
            return []
    return [
        target
        for target in kept_back
        if target.id not in step.advice.denied
        and has_label(step, target)
        and step.spec.allocation.fits_in(target.free)
    ]


def begin_probation(target: TargetInfo, now: float) -> None:
    """Puts a target that is kept back on probation, so that it starts one run at a time."""
    if not target.on_probation:
        target.begin_probation(now)


def _is_last_attempt(step: StepInfo) -> bool:
    """Whether a pending task of a step fails its job if it fails once more."""
    failures = max((len(step.failures.get(index, ())) for index in step.pending), default=0)
    return failures + 1 >= max(1, step.job.queue.attempts)
