"""Errors of the cluster core, in addition to those of :mod:`azurecleat_base.exceptions`."""

from __future__ import annotations

from azurecleat_base.exceptions import (
    AzurecleatError,
    NotRunError,
    PeerAnswerLostError,
    TargetError,
)


class TargetReplacedError(TargetError):
    """Another incarnation of the target answered: all runs of the previous one have ended."""


class ConnectionChangedError(NotRunError):
    """The connection of the last poll is closed: the target may have restarted since."""


class PeerStatusError(PeerAnswerLostError):
    """Another instance answered with an error status: it is alive, and the outcome is unknown."""


class OwnershipLostError(AzurecleatError):
    """This instance no longer owns the jobs, or cannot prove that it does."""


class SettingsError(AzurecleatError):
    """The settings of the process cannot be used."""
