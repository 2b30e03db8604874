"""In-memory fake of the platform's append-only log."""

from __future__ import annotations

import threading

from azurecleat_coordination import ReadResult
from azurecleat_model.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    OffsetForgottenError,
)

from azurecleat_fakes._internal.faults import Faults


class MemoryLog:
    """An append-only log with injectable faults.

    :param retain: Number of newest entries that are kept; 0 keeps all entries.
    """

    def __init__(self, retain: int = 0) -> None:
        self._entries: list[bytes] = []
        self._first = 0
        self._retain = retain
        self._lock = threading.Lock()
        self.faults = Faults()
        self.appended_bytes = 0

    @property
    def tail(self) -> int:
        return self._first + len(self._entries)

    def append(self, data: bytes) -> int:
        """Appends one entry and returns its offset."""
        with self._lock:
            if self.faults.down:
                raise LogUnavailableError("fake log is down", step="log.append")
            offset = self.tail
            self._entries.append(data)
            self.appended_bytes += len(data)
            self._apply_retention()
            if self.faults.lose_answers > 0:
                left = self.faults.lose_answers - 1
                self.faults = self.faults._replace(lose_answers=left)
                raise AppendUnknownError("fake log dropped the response", step="log.append")
            return offset

    def read(self, offset: int, limit: int) -> ReadResult:
        """Returns up to ``limit`` entries, starting at ``offset``."""
        with self._lock:
            if self.faults.down:
                raise LogUnavailableError("fake log is down", step="log.read")
            if offset < self._first:
                raise OffsetForgottenError(
                    f"offset was truncated, first offset is {self._first}", step="log.read"
                )
            visible = max(self._first, self.tail - self.faults.read_lag)
            end = max(offset, min(visible, offset + limit))
            entries = self._entries[offset - self._first : end - self._first]
            return ReadResult(tuple(enumerate(entries, offset)), visible)

    def first_offset(self) -> int:
        """Returns the offset of the oldest entry that is kept."""
        with self._lock:
            if self.faults.down:
                raise LogUnavailableError("fake log is down", step="log.read")
            return self._first

    def forget_before(self, offset: int) -> None:
        """Drops the entries before ``offset``, as the platform's retention does."""
        with self._lock:
            drop = max(0, min(offset, self.tail) - self._first)
            del self._entries[:drop]
            self._first += drop

    def _apply_retention(self) -> None:
        surplus = len(self._entries) - self._retain
        if self._retain and surplus > 0:
            del self._entries[:surplus]
            self._first += surplus
