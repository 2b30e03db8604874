"""Counts the bytes that this process sent and received, by purpose."""

from __future__ import annotations

import threading
from collections import Counter


class Traffic:
    """Thread-safe byte counts by role. They include headers and framing, but not TCP and IP."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._totals: Counter[str] = Counter()

    def add(self, role: str, count: int) -> None:
        """Adds bytes to a role such as ``"peer"`` or ``"platform"``."""
        with self._lock:
            self._totals[role] += count

    def totals(self) -> dict[str, int]:
        """Returns the bytes counted so far."""
        with self._lock:
            return dict(self._totals)


TRAFFIC = Traffic()
"""The byte counts of this process."""
