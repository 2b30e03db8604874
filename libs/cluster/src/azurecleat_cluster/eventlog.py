"""The structured log and its events. ``docs/events.md`` has the catalogue."""

from azurecleat_cluster._internal.eventlog import *  # noqa: F403
