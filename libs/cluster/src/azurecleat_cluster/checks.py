"""Check of a configuration before it is published."""

from azurecleat_cluster._internal.configuration_check import (
    Finding,
    Severity,
    check_configuration,
    describe_changes,
)

__all__ = ["Finding", "Severity", "check_configuration", "describe_changes"]
