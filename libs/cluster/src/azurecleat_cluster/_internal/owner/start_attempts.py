"""Outcome of a start command that is sent again while no answer comes."""

from __future__ import annotations

from typing import NamedTuple

from azurecleat_base.exceptions import OutcomeUnknownError

from azurecleat_cluster._internal.ports import StartResult


class StartOutcome(NamedTuple):
    """What the answers to all attempts of a start show.

    :param result: The last answer.
    :param may_run: Whether the target may have started the run, or may still start it.
    """

    result: StartResult
    may_run: bool


class StartAttempts:
    """The answers to all attempts to send one start command.

    A refusal tells the outcome of its own attempt only. An earlier attempt without an answer may
    have started the run, which may even have ended since, or may still be executed. Then the run
    may exist whatever the reason of the refusal.
    """

    def __init__(self) -> None:
        self._unanswered: OutcomeUnknownError | None = None

    @property
    def unanswered(self) -> OutcomeUnknownError | None:
        """Error of the last attempt without an answer, None if every attempt had one."""
        return self._unanswered

    def note_unanswered(self, error: OutcomeUnknownError) -> None:
        """Records an attempt without an answer."""
        self._unanswered = error

    def outcome_of(self, result: StartResult) -> StartOutcome:
        """Returns the outcome of the command, given the answer to its last attempt."""
        return StartOutcome(result, result.started or self._unanswered is not None)
