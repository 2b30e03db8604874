"""Count of bytes that this process sent and received, by what they were for."""

from __future__ import annotations

import threading
from collections import Counter


class Traffic:
    """Thread-safe byte counts by role; headers and framing are included, TCP and IP are not."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._totals: Counter[str] = Counter()

    def add(self, role: str, count: int) -> None:
        """Counts bytes of a role such as ``"peer"`` or ``"platform"``."""
        with self._lock:
            self._totals[role] += count

    def totals(self) -> dict[str, int]:
        """Returns the bytes counted so far."""
        with self._lock:
            return dict(self._totals)


TRAFFIC = Traffic()
"""Counts of this process."""
