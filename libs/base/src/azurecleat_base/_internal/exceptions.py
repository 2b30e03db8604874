"""Exceptions used throughout azurecleat.

Every error carries the step and the peer at which it arose. Errors shown to people say what
happened, in which context, and what to do about it.
"""

from __future__ import annotations


class AzurecleatError(Exception):
    """Base of all errors of this project.

    :param message: What happened.
    :param step: The step that failed, e.g. ``"log.append"``.
    :param peer: The address or name of the other side, empty if there is none.
    :param hint: What the reader can do about it.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "", hint: str = "") -> None:
        super().__init__(message)
        self._message = message
        self._step = step
        self._peer = peer
        self._hint = hint

    @property
    def step(self) -> str:
        return self._step

    @property
    def peer(self) -> str:
        return self._peer

    @property
    def hint(self) -> str:
        return self._hint

    def __str__(self) -> str:
        where = f" [step {self._step}]" if self._step else ""
        who = f" [peer {self._peer}]" if self._peer else ""
        hint = f" ({self._hint})" if self._hint else ""
        return f"{self._message}{where}{who}{hint}"


class DocumentError(AzurecleatError):
    """A settings file, environment document or request body does not follow its schema."""


class LogError(AzurecleatError):
    """The platform's log could not serve a call."""


class LogUnavailableError(LogError):
    """The log was not reached, or refused: the append did not take effect."""


class AppendUnknownError(LogError):
    """The answer to an append was lost: the record may or may not be in the log.

    :param sequence: Number of the entry among those of its writer, -1 if not known.
    """

    def __init__(
        self, message: str, *, step: str = "", peer: str = "", hint: str = "", sequence: int = -1
    ) -> None:
        super().__init__(message, step=step, peer=peer, hint=hint)
        self._sequence = sequence

    @property
    def sequence(self) -> int:
        return self._sequence


class OffsetForgottenError(LogError):
    """The log no longer holds the requested offset; the reader has to load a snapshot."""


class TargetError(AzurecleatError):
    """A runner or worker did not do what was asked."""


class NotRunError(TargetError):
    """The target proved that the work was not run: nothing was sent, or it said so."""


class FencedError(NotRunError):
    """The target obeys another owner.

    :param epoch: The epoch that has control: a higher one means that the caller was replaced, a
        lower one that a former owner's lease still runs.
    """

    def __init__(self, message: str, *, epoch: int, step: str = "", peer: str = "") -> None:
        super().__init__(message, step=step, peer=peer)
        self._epoch = epoch

    @property
    def epoch(self) -> int:
        return self._epoch


class OutcomeUnknownError(TargetError):
    """Bytes were sent and no whole answer came: the work may have run."""


class PeerError(AzurecleatError):
    """A message to or from another entry instance failed."""


class PeerNotSentError(PeerError):
    """The message never left this instance."""


class PeerAnswerLostError(PeerError):
    """The message was sent but no answer arrived in time."""


class FrameError(PeerError):
    """A peer sent a frame that is too large or cannot be decoded."""
