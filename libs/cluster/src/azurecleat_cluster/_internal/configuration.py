"""The configuration in force at this instance, indexed for lookups."""

from __future__ import annotations

import threading
from typing import NamedTuple

from azurecleat_base.exceptions import DocumentError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.ports import CONFIGURATION, Decoder, LogRecord
from azurecleat_cluster._internal.values import Configuration, Queue, Team


class _IndexedConfiguration(NamedTuple):
    """A configuration and its indexes. Immutable, so that readers need no lock."""

    configuration: Configuration
    record: LogRecord
    by_host: dict[str, list[Queue]]
    by_name: dict[str, Queue]
    by_key: dict[str, Team]


class ConfigurationView:
    """Looks up queues and teams in the newest configuration. Older versions are never applied."""

    def __init__(self, decoder: Decoder, events: EventLog) -> None:
        self._decoder = decoder
        self._events = events
        self._view: _IndexedConfiguration | None = None
        self._lock = threading.Lock()
        """Held while versions are compared: direct reads and the relay apply records."""
        self._evacuated_zones: frozenset[str] = frozenset()

    @property
    def current(self) -> Configuration | None:
        view = self._view
        return None if view is None else view.configuration

    @property
    def version(self) -> int:
        view = self._view
        return 0 if view is None else view.configuration.version

    @property
    def newest(self) -> tuple[int, LogRecord] | None:
        """Version and record of the configuration in force."""
        view = self._view
        return None if view is None else (view.configuration.version, view.record)

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """The zones on whose targets no task may be started."""
        return self._evacuated_zones

    def apply(self, record: LogRecord) -> None:
        """Applies a record of the configuration stream; ignores a version that is not newer."""
        zone = self._decoder.evacuated_zone(record)
        if zone is not None:
            self._apply_evacuation(zone, is_requested=record.value is not None)
            return
        if record.value is None:
            return
        try:
            configuration = self._decoder.configuration(record)
        except DocumentError as error:
            self._events.write(
                eventlog.RECORD_UNREADABLE,
                stream=CONFIGURATION,
                key=record.key,
                error=error,
            )
            return
        if configuration is None:
            return
        with self._lock:
            if configuration.version <= self.version:
                return
            self._view = _index(configuration, record)
        self._events.write(
            eventlog.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            queues=len(configuration.queues),
            teams=len(configuration.teams),
        )

    def _apply_evacuation(self, zone: str, is_requested: bool) -> None:
        """Adds a zone to the evacuated ones, or removes it."""
        if is_requested == (zone in self._evacuated_zones):
            return
        self._evacuated_zones ^= {zone}
        event = eventlog.ZONE_EVACUATED if is_requested else eventlog.ZONE_RESTORED
        self._events.write(event, zone=zone)

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Returns the host's queue whose prefix is the longest that matches the path."""
        view = self._view
        if view is None:
            return None
        for queue in view.by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def queue_named(self, name: str) -> Queue | None:
        view = self._view
        return None if view is None else view.by_name.get(name)

    def team_of_key(self, key: str) -> Team | None:
        view = self._view
        return None if view is None else view.by_key.get(key)

    def team_named(self, name: str) -> Team | None:
        view = self._view
        return None if view is None else view.configuration.teams.get(name)


def _index(configuration: Configuration, record: LogRecord) -> _IndexedConfiguration:
    by_host: dict[str, list[Queue]] = {}
    for queue in configuration.queues:
        by_host.setdefault(queue.host, []).append(queue)
    for queues in by_host.values():
        queues.sort(key=lambda queue: -len(queue.prefix))
    by_name = {queue.name: queue for queue in configuration.queues}
    by_key = {key: team for team in configuration.teams.values() for key in team.keys}
    return _IndexedConfiguration(configuration, record, by_host, by_name, by_key)
