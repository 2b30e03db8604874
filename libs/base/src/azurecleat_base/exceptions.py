"""The exception hierarchy of azurecleat."""

from azurecleat_base._internal.exceptions import (
    AppendUnknownError,
    AzurecleatError,
    DocumentError,
    FencedError,
    FrameError,
    LogError,
    LogUnavailableError,
    NotRunError,
    OffsetForgottenError,
    OutcomeUnknownError,
    PeerAnswerLostError,
    PeerError,
    PeerNotSentError,
    TargetError,
)

__all__ = [
    "AppendUnknownError",
    "AzurecleatError",
    "DocumentError",
    "FencedError",
    "FrameError",
    "LogError",
    "LogUnavailableError",
    "NotRunError",
    "OffsetForgottenError",
    "OutcomeUnknownError",
    "PeerAnswerLostError",
    "PeerError",
    "PeerNotSentError",
    "TargetError",
]
