"""The cluster core: accepts jobs through a replicated log and runs their tasks on targets.

All instances are equal and store nothing themselves. One instance at a time owns the jobs; see
``docs/design/platform.md``.
"""

from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.features import Features
from azurecleat_cluster._internal.front.request_handler import (
    Admitted,
    Caller,
    FrontLimits,
    RequestHandler,
)
from azurecleat_cluster._internal.instance import Instance, InstancePorts, InstanceSettings
from azurecleat_cluster._internal.owner.placement import Preferences
from azurecleat_cluster._internal.owner.term_runner import OwnerSettings

__all__ = [
    "Admitted",
    "Caller",
    "EventLog",
    "Features",
    "RequestHandler",
    "FrontLimits",
    "Instance",
    "InstancePorts",
    "InstanceSettings",
    "OwnerSettings",
    "Preferences",
]
