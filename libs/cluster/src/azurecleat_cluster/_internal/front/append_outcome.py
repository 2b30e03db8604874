"""Outcome of an append that an instance makes for a caller."""

from __future__ import annotations

from enum import Enum


class AppendOutcome(Enum):
    """Outcome of an append, either forwarded to another instance or made locally."""

    DONE = "done"
    QUEUED = "queued"
    """The other instance has queued the record and has no answer from the log yet."""
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"
