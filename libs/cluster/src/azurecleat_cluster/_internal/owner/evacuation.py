"""Keeps tasks away from the targets of zones that the operator evacuates.

Runs that are at work there go on: the request forbids starts, and a stop would lose work and take
tasks of long-running steps away at once. A task that ends there is started in another zone.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from azurecleat_cluster._internal.owner.model import TargetInfo


class EvacuationState(NamedTuple):
    """The evacuated zones, their targets, and the runs still at work there.

    :param has_changed: Whether other zones were evacuated before.
    """

    zones: frozenset[str]
    targets: int
    runs: int
    has_changed: bool


class EvacuationTracker:
    """Marks the targets of evacuated zones. Guarded by the lock of the owner's term."""

    def __init__(self) -> None:
        self._zones: frozenset[str] = frozenset()

    def update(self, zones: frozenset[str], targets: Iterable[TargetInfo]) -> EvacuationState:
        """Marks each target according to its zone.

        Targets are marked anew each time, because they come and go and their entries change.

        :param zones: The zones that are evacuated now.
        """
        has_changed, self._zones = zones != self._zones, zones
        count = runs = 0
        if zones or has_changed:
            for target in targets:
                target.is_evacuated = target.entry.zone in zones
                if target.is_evacuated:
                    count += 1
                    runs += len(target.runs)
        return EvacuationState(zones, count, runs, has_changed)
