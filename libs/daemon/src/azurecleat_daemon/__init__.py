"""The daemon that runs an entry instance."""

from azurecleat_daemon._internal.application import Application, ApplicationDependencies
from azurecleat_daemon._internal.components import (
    ComponentDependencies,
    InstanceComponents,
    wire_components,
)
from azurecleat_daemon._internal.composition import build_application, wire
from azurecleat_daemon._internal.refusal import RefusalError
from azurecleat_daemon._internal.settings import (
    Bounds,
    EntrySettings,
    Timing,
    load_settings,
    parse_settings,
)

__all__ = [
    "Application",
    "ApplicationDependencies",
    "Bounds",
    "ComponentDependencies",
    "EntrySettings",
    "InstanceComponents",
    "RefusalError",
    "Timing",
    "build_application",
    "load_settings",
    "parse_settings",
    "wire",
    "wire_components",
]
