"""Chooses when the sessions of a term's targets are started. No I/O, no clock, no threads.

A new owner of 3,000 targets started all sessions at once. Their threads then held the interpreter,
and the pause between two appends reached 4.3 s, while a standby claims ownership after 0.55 s.
"""

from __future__ import annotations

import heapq
import itertools

FREE_STARTS = 400
"""Sessions that are started at once: with so many, the pause between appends stays at a heartbeat.
"""

MAX_UNANSWERED = 100
"""Sessions beyond these that may wait for their first answer at one time."""

MAX_WAIT_S = 0.5
"""Time after which a session without an answer lets another one start: its target may be lost."""


class SessionStarter:
    """Sessions that wait to be started, and those that wait for their first answer."""

    def __init__(self) -> None:
        self._waiting: list[tuple[bool, int, str]] = []
        self._numbers: dict[str, int] = {}
        """Number of the entry in ``_waiting`` that is valid for a target."""
        self._next_number = itertools.count()
        self._started_at: dict[str, float] = {}
        """When the sessions without an answer were started."""
        self._started_count = 0

    @property
    def has_waiting(self) -> bool:
        return bool(self._numbers)

    def add(self, target: str, is_first: bool) -> None:
        """Adds a session to start.

        :param is_first: Whether it goes first: the previous owner may have started tasks there.
        """
        number = self._numbers[target] = next(self._next_number)
        heapq.heappush(self._waiting, (not is_first, number, target))

    def remove(self, target: str) -> None:
        """Removes a session that has ended."""
        self._numbers.pop(target, None)
        self._started_at.pop(target, None)

    def note_answered(self, target: str) -> None:
        self._started_at.pop(target, None)

    def take(self, now: float) -> list[str]:
        """Returns the targets whose sessions are to be started now."""
        for target, started_at in list(self._started_at.items()):
            if now - started_at < MAX_WAIT_S:
                break  # The later ones were started later.
            del self._started_at[target]
        taken: list[str] = []
        while self._waiting and self._may_start():
            _, number, target = heapq.heappop(self._waiting)
            if self._numbers.get(target) == number:
                del self._numbers[target]
                self._started_at.pop(target, None)
                self._started_at[target] = now
                self._started_count += 1
                taken.append(target)
        return taken

    def _may_start(self) -> bool:
        return self._started_count < FREE_STARTS or len(self._started_at) < MAX_UNANSWERED
