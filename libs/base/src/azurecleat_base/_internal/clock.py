"""Clocks, injected so that tests decide what time it is."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for leases, deadlines and timestamps."""

    def monotonic(self) -> float:
        """Returns seconds that never go back and keep counting while the process is paused."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch, for timestamps shown to people only."""


class SystemClock:
    """The machine's clock."""

    def monotonic(self) -> float:
        # CLOCK_BOOTTIME also counts time in which the whole machine was suspended, so a lease
        # cannot outlive a suspend unnoticed.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()


class ManualClock:
    """A clock that moves only when told to.

    :param start: First reading in seconds.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def monotonic(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self._now += seconds
