"""Errors of the cluster core, beside those of :mod:`azurecleat_base.exceptions`."""

from __future__ import annotations

from azurecleat_base.exceptions import AzurecleatError, NotRunError, TargetError


class TargetReplacedError(TargetError):
    """Another life of the target answered: whatever the former one ran has ended."""


class ConnectionChangedError(NotRunError):
    """The connection of the last hold is gone: the target may have begun another life since."""


class OwnershipLostError(AzurecleatError):
    """This instance no longer owns the jobs, or cannot prove that it does."""


class SettingsError(AzurecleatError):
    """The settings of the process cannot be used."""
