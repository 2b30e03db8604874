"""Chooses which targets a question to the advice service names. Pure decisions.

The service's answer takes longer the more targets are named, and a step's answer for a target
never changes. So a question names what is likely to be enough, best places first; targets that
were denied are not named again, and a renewal names only those that are known to be allowed.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from azurecleat_cluster._internal.owner.placement import (
    Preferences,
    capacity_for,
    has_label,
    in_order,
)
from azurecleat_cluster._internal.owner.work import StepWork, TargetWork

MAX_NAMES = 100
"""Targets that the service takes in one question."""

FIRST_NAMES = 30
"""Targets that the first question of a step names at least: most of the answer's time is the same
for any number of them."""

SPARE_ROOM = 2.5
"""Room to be expected against the room needed: other steps take some of it meanwhile."""

NAMES_A_QUESTION = 30
"""Targets that one question names: callers ask side by side, and shorter questions sooner."""

RENEW_S = 0.15
"""Tickets with less validity left count as lapsed."""

PRIOR_ALLOWED = 3.0
PRIOR_ASKED = 10.0
"""Assumed answers of a queue, as if seen, before its first ones."""


class AllowedShares:
    """Learns which share of the named targets is allowed, by queue."""

    def __init__(self) -> None:
        self._counts: dict[str, tuple[float, float]] = {}

    def of(self, queue: str) -> float:
        allowed, asked = self._counts.get(queue, (PRIOR_ALLOWED, PRIOR_ASKED))
        return allowed / asked

    def note(self, queue: str, asked: int, allowed: int) -> None:
        before = self._counts.get(queue, (PRIOR_ALLOWED, PRIOR_ASKED))
        self._counts[queue] = (before[0] + allowed, before[1] + asked)


def names_to_ask(
    step: StepWork,
    targets: Iterable[TargetWork],
    now: float,
    share: float,
    preferences: Preferences,
    is_eager: bool = False,
) -> list[str]:
    """Returns the targets that the next questions of a step name; none if asking is of no use.

    :param targets: Usable targets of the step's pool.
    :param share: Share of the named targets that is expected to be allowed.
    :param is_eager: Renews tickets for full targets as well, so that a task starts as soon as one
        of them has room.
    """
    valid_room = 0
    lapsed: list[tuple[TargetWork, int]] = []
    unknown: list[tuple[TargetWork, int]] = []
    for target in targets:
        if not has_label(step, target) or target.id in step.advice.denied:
            continue
        room = capacity_for(step, target)
        if step.advice.is_valid(target.id, now + RENEW_S):
            valid_room += room
        elif not step.advice.is_allowed(target.id):
            unknown.append((target, room))
        elif room or is_eager:
            lapsed.append((target, room))
    lapsed_room = sum(room for _, room in lapsed)
    if step.spec.gang and step.advice.is_known and not is_eager:
        most = valid_room + lapsed_room + sum(room for _, room in unknown)
        if most < step.spec.count:
            return []
    missing = len(step.pending) - valid_room
    if missing <= 0:
        return []
    lapsed.sort(key=lambda each: -each[1])
    names = list(_until(missing, lapsed))[:NAMES_A_QUESTION]
    missing -= lapsed_room
    if missing > 0:
        named = _new_names(step, unknown, missing * SPARE_ROOM / share, preferences)
        names.extend(named[: MAX_NAMES - len(names)])
    return names[:MAX_NAMES]


def questions(names: list[str]) -> list[list[str]]:
    """Splits names into questions that are asked side by side."""
    count = math.ceil(len(names) / NAMES_A_QUESTION)
    size = math.ceil(len(names) / count)
    return [names[first : first + size] for first in range(0, len(names), size)]


def _until(wanted: float, rooms: Iterable[tuple[TargetWork, int]]) -> Iterator[str]:
    """Names targets until they have the room that is wanted."""
    for target, room in rooms:
        if wanted <= 0:
            return
        wanted -= room
        yield target.id


def _new_names(
    step: StepWork,
    unknown: list[tuple[TargetWork, int]],
    wanted: float,
    preferences: Preferences,
) -> list[str]:
    """Names targets that no answer has told of yet; full ones only in a first question."""
    with_room = [each for each in unknown if each[1]]
    names = list(_until(wanted, _in_order(step, with_room, preferences)))
    if not step.advice.is_known and len(names) < FIRST_NAMES:
        rest = [target.id for target, _ in _in_order(step, unknown, preferences)]
        names.extend([name for name in rest if name not in names][: FIRST_NAMES - len(names)])
    return names


def _in_order(
    step: StepWork, rooms: list[tuple[TargetWork, int]], preferences: Preferences
) -> list[tuple[TargetWork, int]]:
    if not step.spec.same_rack:
        return in_order(step, rooms, len(step.pending), preferences)
    racks: dict[str, int] = {}
    for target, room in rooms:
        racks[target.entry.rack] = racks.get(target.entry.rack, 0) + room

    def cost(each: tuple[TargetWork, int]) -> tuple:
        rack = each[0].entry.rack
        return rack != step.spec.data_rack, -racks[rack], rack, -each[1]

    return sorted(rooms, key=cost)
