"""Chooses which targets a question to the advice service names. Pure decisions.

The service's answer takes longer the more targets are named, and a step's answer for a target
never changes. So a question names what is likely to be enough, best places first; targets that
were denied are not named again, and a renewal names only those that are known to be allowed.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from azurecleat_cluster._internal.owner.model import StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import (
    Preferences,
    capacity_for,
    has_label,
    rank_targets,
)

MAX_TARGETS = 100
"""Targets that the service takes in one question."""

MIN_FIRST_TARGETS = 30
"""Targets that the first question of a step names at least: most of the answer's time is the same
for any number of them."""

CAPACITY_FACTOR = 2.5
"""Room to be expected against the room needed: other steps take some of it meanwhile."""

TARGETS_PER_REQUEST = 30
"""Targets that one question names: callers ask side by side, and shorter questions sooner."""

RENEW_MARGIN_S = 0.15
"""Tickets with less validity left count as lapsed."""

PRIOR_ALLOWED = 3.0
PRIOR_REQUESTED = 10.0
"""Assumed answers of a queue, as if seen, before its first ones."""


class AllowedShareEstimator:
    """Learns which share of the named targets is allowed, by queue."""

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
    """Returns the targets that the next questions of a step name; none if asking is of no use.

    :param targets: Usable targets of the step's pool.
    :param share: Share of the named targets that is expected to be allowed.
    :param is_eager: Renews tickets for full targets as well, so that a task starts as soon as one
        of them has room.
    """
    valid_capacity = 0
    lapsed: list[tuple[TargetInfo, int]] = []
    unknown: list[tuple[TargetInfo, int]] = []
    for target in targets:
        if not has_label(step, target) or target.id in step.advice.denied:
            continue
        capacity = capacity_for(step, target)
        if step.advice.is_valid(target.id, now + RENEW_MARGIN_S):
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
    missing = len(step.pending) - valid_capacity
    if missing <= 0:
        return []
    lapsed.sort(key=lambda each: -each[1])
    names = list(_take_until(missing, lapsed))[:TARGETS_PER_REQUEST]
    missing -= lapsed_capacity
    if missing > 0:
        selected = _select_unknown(
            step, unknown, missing * CAPACITY_FACTOR / allowed_share, preferences
        )
        names.extend(selected[: MAX_TARGETS - len(names)])
    return names[:MAX_TARGETS]


def split_into_requests(names: list[str]) -> list[list[str]]:
    """Splits names into questions that are asked side by side."""
    count = math.ceil(len(names) / TARGETS_PER_REQUEST)
    size = math.ceil(len(names) / count)
    return [names[first : first + size] for first in range(0, len(names), size)]


def _take_until(wanted: float, candidates: Iterable[tuple[TargetInfo, int]]) -> Iterator[str]:
    """Names targets until they have the room that is wanted."""
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
    """Names targets that no answer has told of yet; full ones only in a first question."""
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
