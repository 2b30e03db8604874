"""Errors of the cluster core."""

from azurecleat_cluster._internal.exceptions import (
    ConnectionChangedError,
    OwnershipLostError,
    SettingsError,
    TargetReplacedError,
)

__all__ = ["ConnectionChangedError", "OwnershipLostError", "SettingsError", "TargetReplacedError"]
