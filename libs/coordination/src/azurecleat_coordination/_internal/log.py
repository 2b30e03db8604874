"""Interface to the platform's append-only log."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class ReadResult(NamedTuple):
    """Entries from the requested offset on.

    ``entries`` holds ``(offset, data)`` in order; ``tail`` is the offset that the next append
    gets, as seen by the answering replica of the log.
    """

    entries: tuple[tuple[int, bytes], ...]
    tail: int


class Log(Protocol):
    """The platform's log as the coordination parts need it."""

    def append(self, data: bytes) -> int:
        """Appends one entry and returns its offset.

        :raises LogUnavailableError: The entry was not appended.
        :raises AppendUnknownError: The answer was lost; the entry may have been appended.
        """

    def read(self, offset: int, limit: int) -> ReadResult:
        """Reads up to ``limit`` entries from ``offset`` on.

        :raises LogUnavailableError: The log was not reached.
        :raises OffsetForgottenError: ``offset`` is older than retention.
        """

    def first_offset(self) -> int:
        """Returns the oldest offset still held.

        :raises LogUnavailableError: The log was not reached.
        """
