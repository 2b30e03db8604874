"""Exceptions used throughout azurecleat.

Every error carries the step that failed and the peer involved. Errors shown to people say what
happened, in which context, and what to do about it.
"""

from __future__ import annotations


class AzurecleatError(Exception):
    """Base of all errors of this project.

    :param message: What happened.
    :param step: The operation that failed, e.g. ``"log.append"``.
    :param peer: Address or name of the remote side, empty if there is none.
    :param hint: What the reader can do about the error.
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
    """A call to the platform's log failed."""


class LogUnavailableError(LogError):
    """The log was not reached or refused the call: nothing was appended."""


class AppendUnknownError(LogError):
    """The answer to an append was lost: the record may or may not be in the log.

    :param sequence: The writer's sequence number of the entry, -1 if not known.
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
    """The log no longer holds the requested offset; the reader must load a snapshot instead."""


class TargetError(AzurecleatError):
    """A command to a runner or worker failed."""


class NotRunError(TargetError):
    """The work was certainly not run: nothing was sent, or the target refused."""


class FencedError(NotRunError):
    """The target is controlled by another owner, or the log has seen a later epoch.

    :param epoch: The epoch that has control if the refusal names it, otherwise the caller's own. A
        higher epoch than the caller's means that the caller was replaced, a lower one that the
        lease of a previous owner is still valid.
    """

    def __init__(self, message: str, *, epoch: int, step: str = "", peer: str = "") -> None:
        super().__init__(message, step=step, peer=peer)
        self._epoch = epoch

    @property
    def epoch(self) -> int:
        return self._epoch


class OutcomeUnknownError(TargetError):
    """Bytes were sent and no complete answer was received: the work may have run."""


class PeerError(AzurecleatError):
    """A message to or from another entry instance failed."""


class PeerNotSentError(PeerError):
    """The message was not sent."""


class PeerAnswerLostError(PeerError):
    """The message was sent and no answer was received in time."""


class FrameError(PeerError):
    """A peer sent a frame that is too large or cannot be decoded."""
