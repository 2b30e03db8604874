"""Instances of a world, alive or dead."""

from __future__ import annotations

from azurecleat_daemon import Core

ZONES = ("burnie", "hobart")
ENTRIES_PER_ZONE = 2


class Node:
    """One entry instance: its name, and its present incarnation if its process lives."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.core: Core | None = None
        self.incarnation = ""
        self.paused_until = 0.0
        self.is_stalled = False

    def is_paused(self, now: float) -> bool:
        """Tells whether the process does not run now."""
        return self.is_stalled or now < self.paused_until
