"""The daemon that runs an entry instance."""

from azurecleat_daemon._internal.application import Application, Parts
from azurecleat_daemon._internal.composition import build_application, wire
from azurecleat_daemon._internal.core import Core, CoreDependencies, wire_core
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
    "Bounds",
    "Core",
    "CoreDependencies",
    "EntrySettings",
    "Parts",
    "RefusalError",
    "Timing",
    "build_application",
    "load_settings",
    "parse_settings",
    "wire",
    "wire_core",
]
