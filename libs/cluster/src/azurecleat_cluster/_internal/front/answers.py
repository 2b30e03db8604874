"""Answers to callers, independent of the protocol that carries them."""

from __future__ import annotations

from typing import NamedTuple

from azurecleat_cluster._internal.values import JobState


class Accepted(NamedTuple):
    """The submission or cancellation is in the log."""


class Refused(NamedTuple):
    """The request had no effect and never will have one; the caller may retry later.

    :param is_local: Only this instance cannot serve the request: the caller should leave it.
    """

    reason: str
    retry_after_s: float
    is_local: bool = False


class Unauthorized(NamedTuple):
    """The API key belongs to no team."""


class NoQueue(NamedTuple):
    """No queue serves the host and path."""


class NoJob(NamedTuple):
    """No job with this id was accepted."""


class Undecided(NamedTuple):
    """The log did not answer in time: the submission or cancellation may still take effect."""

    reason: str


class Invalid(NamedTuple):
    """The request is malformed."""

    reason: str


class StateOf(NamedTuple):
    """The state of a job."""

    state: JobState


class PendingOf(NamedTuple):
    """The number of a queue's jobs that have not begun."""

    count: int


Answer = (
    Accepted | Refused | Unauthorized | NoQueue | NoJob | Undecided | Invalid | StateOf | PendingOf
)
