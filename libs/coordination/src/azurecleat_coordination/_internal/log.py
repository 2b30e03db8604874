"""Interface to the platform's append-only log."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class ReadResult(NamedTuple):
    """Entries from the requested offset on.

    ``entries`` are ``(offset, data)`` pairs in order. ``tail`` is the offset of the next append
    as known to the replica of the log that answered.
    """

    entries: tuple[tuple[int, bytes], ...]
    tail: int


class Log(Protocol):
    """Operations of the platform's log that this library uses."""

    def append(self, data: bytes) -> int:
        """Appends one entry and returns its offset.

        :raises LogUnavailableError: The entry was certainly not appended.
        :raises AppendUnknownError: The answer was lost; the entry may have been appended.
        """

    def read(self, offset: int, limit: int) -> ReadResult:
        """Reads up to ``limit`` entries, beginning at ``offset``.

        :raises LogUnavailableError: The log was not reached.
        :raises OffsetForgottenError: ``offset`` is older than the oldest entry kept.
        """

    def first_offset(self) -> int:
        """Returns the offset of the oldest entry kept.

        :raises LogUnavailableError: The log was not reached.
        """
