"""Outcome of a start command that is sent again while no answer comes."""

from __future__ import annotations

from azurecleat_base.exceptions import OutcomeUnknownError

from azurecleat_cluster._internal.ports import StartResult


class StartAttempts:
    """The answers to all attempts to send one start command.

    A refusal tells the outcome of its own attempt only. An earlier attempt without an answer may
    have started the run, which may even have ended since, or may still be executed. Then the
    outcome of the command stays unknown, whatever the reason of the refusal.
    """

    def __init__(self) -> None:
        self._unanswered: OutcomeUnknownError | None = None

    def note_unanswered(self, error: OutcomeUnknownError) -> None:
        """Records an attempt without an answer."""
        self._unanswered = error

    @property
    def unanswered(self) -> OutcomeUnknownError | None:
        """Error of the last attempt without an answer, None if every attempt had one."""
        return self._unanswered

    def outcome_of(self, result: StartResult) -> StartResult:
        """Returns an answer if it tells the outcome of the command.

        :raises OutcomeUnknownError: The answer is a refusal, and an earlier attempt had no answer.
        """
        error = self._unanswered
        if result.started or error is None:
            return result
        raise OutcomeUnknownError(
            f"refused ({result.reason}) after an attempt without an answer",
            step=error.step,
            peer=error.peer,
        ) from error
