"""Chooses which targets a request to the advice service names. No I/O, no clock.

The service takes longer the more targets a request names, and its answer for a step and a target
never changes. A request therefore names as many targets as are likely to be enough, best placement
first, and beside them as many as cost little more: most of the service's time does not depend on
their number, and a step with tickets for its full targets starts as soon as one of them has room.
Denied targets are not named again.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from azurecleat_cluster._internal.owner.advice_queue import SHORT_REQUEST_S
from azurecleat_cluster._internal.owner.model import StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import (
    Preferences,
    capacity_for,
    has_label,
    rank_targets,
)

MAX_TARGETS = 100
"""Most targets that the service accepts in one request."""

MIN_FIRST_TARGETS = 30
"""Fewest targets that a step's first request names, if there are as many: most of the service's
time does not depend on their number."""

CAPACITY_FACTOR = 2.5
"""Ratio of the expected capacity of the named targets to the capacity needed: other steps use some
of it in the meantime."""

TARGETS_PER_REQUEST = 30
"""Most targets named by one request: requests are sent in parallel, and smaller ones are answered
sooner."""

MAX_EXTRA_COST = 0.25
"""Most that the targets named beside those needed may add to a request's cost, as a share of it."""

RENEW_MARGIN_S = 0.15
"""Tickets with less validity left than this count as lapsed."""

ANSWER_MARGIN_S = 0.25
"""Time that a request is expected to take beyond its cost: others may be served first."""

GANG_CAPACITY_FACTOR = 1.5
"""Ratio of the capacity of the allowed targets that a gang's request names to the capacity needed:
a few of the targets may be lost or full by the time of the answer."""

PRIOR_ALLOWED = 3.0
PRIOR_REQUESTED = 10.0
"""Counts that a queue starts with before its first answer."""


class AllowedShareEstimator:
    """Estimates by queue which share of the named targets is allowed."""

    def __init__(self) -> None:
        self._counts: dict[str, tuple[float, float]] = {}

    def of(self, queue: str) -> float:
        allowed, requested = self._counts.get(queue, (PRIOR_ALLOWED, PRIOR_REQUESTED))
        return allowed / requested

    def note(self, queue: str, requested: int, allowed: int) -> None:
        before = self._counts.get(queue, (PRIOR_ALLOWED, PRIOR_REQUESTED))
        self._counts[queue] = (before[0] + allowed, before[1] + requested)


def select_targets(
    step: StepInfo,
    targets: Iterable[TargetInfo],
    now: float,
    allowed_share: float,
    preferences: Preferences,
    include_full: bool = False,
) -> list[str]:
    """Returns the targets that the next requests of a step name; none if no request is useful.

    :param targets: Usable targets of the step's pool.
    :param allowed_share: Share of the named targets that is expected to be allowed.
    :param include_full: Also renews tickets for full targets, so that a task starts as soon as one
        of them has capacity.
    """
    needed_at = now + (_expected_answer_s(step) if step.spec.gang else 0.0)
    valid_capacity = 0
    lapsed: list[tuple[TargetInfo, int]] = []
    unknown: list[tuple[TargetInfo, int]] = []
    for target in targets:
        if not has_label(step, target) or target.id in step.advice.denied:
            continue
        capacity = capacity_for(step, target)
        if step.advice.is_valid(target.id, needed_at + RENEW_MARGIN_S):
            valid_capacity += capacity
        elif not step.advice.is_allowed(target.id):
            unknown.append((target, capacity))
        elif capacity or include_full:
            lapsed.append((target, capacity))
    lapsed_capacity = sum(capacity for _, capacity in lapsed)
    if step.spec.gang and step.advice.has_answers and not include_full:
        max_capacity = valid_capacity + lapsed_capacity + sum(capacity for _, capacity in unknown)
        if max_capacity < step.spec.count:
            return []
    # After a failure the tasks of a gang become pending one by one, but start only together.
    missing = (step.spec.count if step.spec.gang else len(step.pending)) - valid_capacity
    if missing <= 0:
        return []
    lapsed.sort(key=lambda each: -each[1])
    if step.spec.gang:
        names = list(_take_until(missing * GANG_CAPACITY_FACTOR, lapsed))
    else:
        names = list(_take_until(missing, lapsed))[:TARGETS_PER_REQUEST]
    missing -= lapsed_capacity
    if missing > 0:
        selected = _select_unknown(
            step, unknown, missing * CAPACITY_FACTOR / allowed_share, preferences
        )
        names.extend(selected[: MAX_TARGETS - len(names)])
    return names[:MAX_TARGETS]


def add_cheap_targets(step: StepInfo, names: list[str], targets: Iterable[TargetInfo]) -> list[str]:
    """Returns the names with those of further targets that add little to the request's cost.

    Allowed targets come first, that with the shortest validity before the others, then targets
    without an answer. Full targets count: they may have room when the answer comes.

    :param names: Targets that the request has to name.
    :param targets: Targets of the step's pool that may be given tasks, full ones included.
    """
    terms, advice = step.job.queue.advice, step.advice
    cost_s = terms.cost_s(len(names))
    max_cost_s = cost_s * (1.0 + MAX_EXTRA_COST)
    if cost_s <= SHORT_REQUEST_S:
        max_cost_s = min(max_cost_s, SHORT_REQUEST_S)
    max_count = MAX_TARGETS if step.spec.gang else TARGETS_PER_REQUEST
    if len(names) >= max_count or terms.cost_s(len(names) + 1) > max_cost_s:
        return names
    named = set(names)
    candidates = [
        target
        for target in targets
        if target.id not in named and target.id not in advice.denied and has_label(step, target)
    ]
    # Targets without an answer are unknown and have no validity at all.
    candidates.sort(
        key=lambda target: (
            not advice.is_allowed(target.id),
            advice.valid_until(target.id),
            -capacity_for(step, target),
        )
    )
    result = list(names)
    for target in candidates:
        if len(result) >= max_count or terms.cost_s(len(result) + 1) > max_cost_s:
            break
        result.append(target.id)
    return result


def split_into_requests(step: StepInfo, names: list[str]) -> list[list[str]]:
    """Splits the names for a step into requests that can be sent in parallel.

    A gang's names stay together: its tickets have to be valid at the same time.
    """
    if step.spec.gang:
        return [names]
    count = math.ceil(len(names) / TARGETS_PER_REQUEST)
    size = math.ceil(len(names) / count)
    return [names[first : first + size] for first in range(0, len(names), size)]


def _expected_answer_s(step: StepInfo) -> float:
    """Returns the expected time until a request of a step is answered."""
    return step.job.queue.advice.cost_s(TARGETS_PER_REQUEST) + ANSWER_MARGIN_S


def _take_until(wanted: float, candidates: Iterable[tuple[TargetInfo, int]]) -> Iterator[str]:
    """Yields targets until their capacity sums up to ``wanted`` tasks."""
    for target, capacity in candidates:
        if wanted <= 0:
            return
        wanted -= capacity
        yield target.id


def _select_unknown(
    step: StepInfo,
    unknown: list[tuple[TargetInfo, int]],
    wanted: float,
    preferences: Preferences,
) -> list[str]:
    """Returns targets without an answer yet; full ones only in a step's first request."""
    with_capacity = [each for each in unknown if each[1]]
    names = list(_take_until(wanted, _rank_targets(step, with_capacity, preferences)))
    if not step.advice.has_answers and len(names) < MIN_FIRST_TARGETS:
        rest = [target.id for target, _ in _rank_targets(step, unknown, preferences)]
        names.extend([name for name in rest if name not in names][: MIN_FIRST_TARGETS - len(names)])
    return names


def _rank_targets(
    step: StepInfo, candidates: list[tuple[TargetInfo, int]], preferences: Preferences
) -> list[tuple[TargetInfo, int]]:
    if not step.spec.same_rack:
        return rank_targets(step, candidates, len(step.pending), preferences)
    racks: dict[str, int] = {}
    for target, capacity in candidates:
        racks[target.entry.rack] = racks.get(target.entry.rack, 0) + capacity

    def cost(each: tuple[TargetInfo, int]) -> tuple:
        rack = each[0].entry.rack
        return rack != step.spec.data_rack, -racks[rack], rack, -each[1]

    return sorted(candidates, key=cost)
