"""Clocks. They are passed in, so that tests can control the time."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for leases, deadlines and timestamps."""

    def monotonic(self) -> float:
        """Returns seconds that never decrease and also count while the process is paused."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch; only for timestamps shown to people."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        # CLOCK_BOOTTIME also counts while the machine is suspended, so that leases expire then too.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()


class ManualClock:
    """A clock that advances only by calls of :meth:`advance`.

    :param start: Initial time in seconds.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def monotonic(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self._now += seconds
