"""Errors of the cluster core."""

from azurecleat_cluster._internal.exceptions import (
    OwnershipLostError,
    SettingsError,
    TargetReplacedError,
)

__all__ = ["OwnershipLostError", "SettingsError", "TargetReplacedError"]
