"""Instances of a simulation."""

from __future__ import annotations

from azurecleat_daemon import InstanceComponents

ZONES = ("burnie", "hobart")
ENTRIES_PER_ZONE = 2


class Node:
    """One entry instance; ``components`` is None while its process is dead."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.components: InstanceComponents | None = None
        self.incarnation = ""
        self.paused_until = 0.0
        self.is_stalled = False

    def is_paused(self, now: float) -> bool:
        """Returns whether the process is paused or stalled."""
        return self.is_stalled or now < self.paused_until
