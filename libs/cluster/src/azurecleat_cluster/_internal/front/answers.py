"""Answers to callers, independent of how they are sent."""

from __future__ import annotations

from typing import NamedTuple

from azurecleat_cluster._internal.values import JobState


class Accepted(NamedTuple):
    """The job, or its cancellation, is in the log."""


class Refused(NamedTuple):
    """Nothing was done and nothing will be; the caller may come back later."""

    reason: str
    retry_after_s: float


class Unauthorized(NamedTuple):
    """No team has the key."""


class NoQueue(NamedTuple):
    """No queue serves the host and path."""


class NoJob(NamedTuple):
    """No such job was accepted."""


class Undecided(NamedTuple):
    """The log gave no answer in time: the job may be accepted."""

    reason: str


class Invalid(NamedTuple):
    """The request cannot be understood."""

    reason: str


class StateOf(NamedTuple):
    """State of a job."""

    state: JobState


class PendingOf(NamedTuple):
    """Number of a queue's jobs that have not begun."""

    count: int


Answer = (
    Accepted | Refused | Unauthorized | NoQueue | NoJob | Undecided | Invalid | StateOf | PendingOf
)
