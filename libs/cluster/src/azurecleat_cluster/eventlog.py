"""The structured log and its events; see ``docs/events.md`` for the catalogue."""

from azurecleat_cluster._internal.eventlog import *  # noqa: F403
