"""Reports steps that wait for long although the pool has free capacity, with what they lack."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice_queue import RequestState
from azurecleat_cluster._internal.owner.model import StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import capacity_for, has_label, is_usable

STALLED_AFTER_S = 3.0
"""Time without a start after which a ready step is examined, and the pause between two reports."""

MAX_REPORTS_PER_ROUND = 4
"""Most steps examined in one dispatch round: each examination scans the targets of a pool."""


class MissingCondition(Enum):
    """What a ready step lacks to start, in the order in which it is looked for."""

    TEAM_LIMIT = "room within the team limit"
    LABEL = "a target with the label"
    USABLE_TARGET = "a usable target"
    """No target with the label may be given tasks: each is suspect, on probation or draining, its
    zone is evacuated, or it is out of reach."""
    CAPACITY = "capacity"
    ALLOWED_TARGETS = "capacity on allowed targets"
    TICKETS = "tickets"
    PLACEMENT = "a placement"
    """Capacity and tickets are there, but no placement of the tasks was found."""


class Stall(NamedTuple):
    """What a ready step lacks, and how many of its tasks the targets have capacity for.

    :param free: Tasks that fit on all targets with the step's label.
    :param allowed: Tasks that fit on the targets that the advice service allows.
    :param unknown: Tasks that fit on the targets that the step has no answer for.
    :param valid: Tasks that fit on allowed targets with a valid ticket.
    :param suspect: Targets with the label that are suspect.
    :param on_probation: Targets with the label that are on probation and no longer suspect.
    """

    missing: MissingCondition
    free: int
    allowed: int
    valid: int
    unknown: int
    suspect: int
    on_probation: int


class StallReporter:
    """Finds stalled steps, and writes a log line for each every few seconds.

    :param advice_state: Returns the state of a step's request for advice.
    """

    def __init__(
        self,
        events: EventLog,
        metrics: Metrics,
        advice_state: Callable[[StepInfo], RequestState],
    ) -> None:
        self._events = events
        self._metrics = metrics
        self._advice_state = advice_state
        self._reports_left = 0

    def begin_round(self) -> None:
        self._reports_left = MAX_REPORTS_PER_ROUND

    def is_due(self, step: StepInfo, now: float) -> bool:
        """Whether a step with pending tasks has waited for so long that it is to be reported."""
        waiting_since = max(step.waiting_since(now), step.started_at, step.stall_reported_at)
        return self._reports_left > 0 and now - waiting_since >= STALLED_AFTER_S

    def report(
        self, step: StepInfo, targets: Iterable[TargetInfo], within_limit: int, now: float
    ) -> None:
        """Logs and counts what a step lacks.

        :param targets: All targets of the step's pool.
        :param within_limit: Number of tasks that the team's resource limit allows.
        """
        self._reports_left -= 1
        step.stall_reported_at = now
        stall = examine(step, targets, within_limit, now)
        self._metrics.stalled_steps.labels(stall.missing.value).inc()
        self._events.write(
            eventlog.STEP_STALLED,
            step=step.name,
            missing=stall.missing.value,
            pending=len(step.pending),
            free=stall.free,
            allowed=stall.allowed,
            valid=stall.valid,
            unknown=stall.unknown,
            suspect=stall.suspect,
            on_probation=stall.on_probation,
            advice=self._advice_state(step).value,
            over_share=step.job.is_over_share,
            waited_s=round(now - step.waiting_since(now), 3),
        )


def examine(step: StepInfo, targets: Iterable[TargetInfo], within_limit: int, now: float) -> Stall:
    """Returns what a ready step lacks to start."""
    wanted = len(step.pending) if step.spec.gang else 1
    matching = [target for target in targets if has_label(step, target)]
    usable = [target for target in matching if is_usable(target, now)]
    suspect = sum(target.suspect_until > now for target in matching)
    on_probation = sum(target.on_probation and target.suspect_until <= now for target in matching)
    free = allowed = valid = unknown = 0
    for target in usable:
        capacity = capacity_for(step, target)
        is_advised = step.job.queue.advice is not None
        free += capacity
        allowed += capacity * (not is_advised or step.advice.is_allowed(target.id))
        valid += capacity * (not is_advised or step.advice.is_valid(target.id, now))
        unknown += capacity * (is_advised and step.advice.is_unknown(target.id))
    conditions = (
        (within_limit < wanted, MissingCondition.TEAM_LIMIT),
        (not matching, MissingCondition.LABEL),
        (not usable, MissingCondition.USABLE_TARGET),
        (free < wanted, MissingCondition.CAPACITY),
        (allowed < wanted, MissingCondition.ALLOWED_TARGETS),
        (valid < wanted, MissingCondition.TICKETS),
    )
    missing = next((each for lacks, each in conditions if lacks), MissingCondition.PLACEMENT)
    return Stall(missing, free, allowed, valid, unknown, suspect, on_probation)
