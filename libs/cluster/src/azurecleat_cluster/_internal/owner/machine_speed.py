"""Detects that the machine of this process has become much slower than it was.

An owner on such a machine answers everybody late, while its heartbeats are still in time. The
detector itself does no I/O and has no clock; :func:`measure_work_s` reads one.
"""

from __future__ import annotations

from collections import deque
from statistics import median
from time import perf_counter

SLOW_FACTOR = 3.0
"""Ratio to its usual duration from which the measured work shows a slow machine. Below it, a change
of owner costs callers more than it gains."""

RECENT_COUNT = 4
"""Latest measurements that all have to be slow: with a period of 0.25 s, a second."""

MIN_USUAL_COUNT = 6
"""Fewest earlier measurements that tell the usual duration."""

MAX_USUAL_COUNT = 120
"""Most earlier measurements that count: half a minute of an owner, two of a standby."""

WORK_STEPS = 2_000
"""Steps of the measured work: 0.1 ms on a core of standard speed."""

WORK_REPEATS = 5
"""The shortest of so many counts, as other threads interrupt some of them."""


class SpeedMonitor:
    """Compares the latest durations of a fixed piece of work with the usual one."""

    def __init__(self) -> None:
        self._usual: deque[float] = deque(maxlen=MAX_USUAL_COUNT)
        self._recent: deque[float] = deque(maxlen=RECENT_COUNT)

    @property
    def slowdown(self) -> float:
        """Lowest ratio of the latest durations to the usual one; 1 while that is not known."""
        if len(self._usual) < MIN_USUAL_COUNT or len(self._recent) < RECENT_COUNT:
            return 1.0
        return min(self._recent) / max(median(self._usual), 1e-9)

    @property
    def is_slow(self) -> bool:
        return self.slowdown >= SLOW_FACTOR

    def note(self, took_s: float) -> None:
        """Adds a measurement. Those of a slow machine don't change what is usual."""
        if len(self._recent) == RECENT_COUNT and not self.is_slow:
            self._usual.append(self._recent[0])
        self._recent.append(took_s)


def measure_work_s() -> float:
    """Returns how long a fixed piece of work takes now, in seconds."""
    return min(_time_once() for _ in range(WORK_REPEATS))


def _time_once() -> float:
    began_at = perf_counter()
    value = 0
    for step in range(WORK_STEPS):
        value ^= step
    return perf_counter() - began_at
