"""Replica of the fleet state, updated by reading the log."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any, NamedTuple

from azurecleat_model import Clock
from azurecleat_model.events import LOG_GAP, log_event
from azurecleat_model.exceptions import DocumentError, OffsetForgottenError

from azurecleat_coordination._internal.fleet import (
    FLEET_SECTION,
    JOBS_PREFIX,
    FleetSection,
    JobsSection,
    Section,
    merge_results,
    new_section,
    sections_of,
)
from azurecleat_coordination._internal.jobs import PartitionJobs
from azurecleat_coordination._internal.log import Log
from azurecleat_coordination._internal.records import (
    Entry,
    RecordEvent,
    SnapshotChunk,
    decode_entry,
)
from azurecleat_coordination._internal.result import ACCEPTED, ApplyResult, rejected
from azurecleat_coordination._internal.snapshots import SnapshotAssembler

MAX_ENTRIES_PER_READ = 500

CommitListener = Callable[[str, int, list[ApplyResult]], None]
"""Called after an entry was applied, with its writer, its sequence and each event's result."""


class _SectionLoad(NamedTuple):
    """Entries read while a section waits for a snapshot."""

    entries: list[tuple[int, Entry]]


class Replica:
    """Applies the entries of the log in order, each once.

    All methods may be called from any thread. Hold :attr:`lock` while reading the state.

    :param log: The platform's log.
    :param clock: Clock for the send times of reads, from which freshness counts.
    :param partitions: Partitions whose jobs are kept; None keeps those of all partitions.
    """

    def __init__(self, log: Log, clock: Clock, partitions: frozenset[str] | None = None) -> None:
        self._log = log
        self._clock = clock
        self._kept_partitions = partitions
        self._lock = threading.RLock()
        self._poll_lock = threading.Lock()
        self._sections: dict[str, Section] = {}
        self._loading: dict[str, _SectionLoad] = {}
        self._start_offset = 0
        self._position = 0
        self._assembler = SnapshotAssembler()
        self._snapshot_covers: dict[str, int] = {}
        self._reached_tail_at: float | None = None
        self._listeners: list[CommitListener] = []
        self._undecodable = 0
        self._section(FLEET_SECTION)

    @property
    def lock(self) -> threading.RLock:
        return self._lock

    @property
    def position(self) -> int:
        """Offset of the next entry to read."""
        return self._position

    @property
    def reached_tail_at(self) -> float | None:
        """Monotonic send time of the last read that reached the tail of the log, or None."""
        return self._reached_tail_at

    @property
    def undecodable(self) -> int:
        """Number of entries skipped because they cannot be decoded or applied."""
        return self._undecodable

    @property
    def is_ready(self) -> bool:
        """Returns whether the tail has been reached and the fleet section is complete."""
        return self._reached_tail_at is not None and FLEET_SECTION not in self._loading

    @property
    def fleet(self) -> FleetSection:
        section = self._sections[FLEET_SECTION]
        assert isinstance(section, FleetSection)
        return section

    @property
    def snapshot_covers(self) -> dict[str, int]:
        """Last offset that the latest complete snapshot covers, by section."""
        return dict(self._snapshot_covers)

    def jobs(self, partition: str) -> PartitionJobs | None:
        """Returns the jobs of a partition, or None until its snapshot is loaded."""
        name = JOBS_PREFIX + partition
        with self._lock:
            section = self._section(name)
            if name in self._loading:
                return None
            assert isinstance(section, JobsSection)
            return section.jobs

    def complete_sections(self) -> list[str]:
        """Returns the names of the sections that do not wait for a snapshot."""
        with self._lock:
            return [name for name in self._sections if name not in self._loading]

    def dump(self, section: str) -> tuple[int, Any]:
        """Returns the last applied offset and the section's state as of that offset."""
        with self._lock:
            return self._position - 1, self._sections[section].dump()

    def add_listener(self, listener: CommitListener) -> None:
        """Registers a listener that is called for each applied entry."""
        self._listeners.append(listener)

    def poll(self) -> int:
        """Reads the log once and applies the entries.

        :return: Number of entries read; 0 if there are none, 1 if the replica has to restart at
            the oldest entry because the log no longer has the next one.
        :raises LogUnavailableError: The log was not reached.
        """
        with self._poll_lock:
            sent_at = self._clock.monotonic()
            try:
                result = self._log.read(self._position, MAX_ENTRIES_PER_READ)
            except OffsetForgottenError:
                self._restart()
                return 1
            for offset, data in result.entries:
                self._apply_data(offset, data)
            # A lagging replica of the log may answer with a tail before the position. Such an
            # answer does not show what was appended since.
            if self._position == result.tail:
                self._reached_tail_at = sent_at
            return len(result.entries)

    def catch_up(self) -> None:
        """Reads the log until a read returns no more entries.

        :raises LogUnavailableError: The log was not reached.
        """
        while self.poll():
            pass

    def adopt_configuration(self, dumped: dict[str, Any]) -> None:
        """Adopts the configuration of a peer if it is newer than the one here."""
        with self._lock:
            self.fleet.configuration.load(dumped)

    def _restart(self) -> None:
        first = self._log.first_offset()
        log_event(LOG_GAP, offset=self._position)
        with self._lock:
            self._start_offset = first
            self._position = first
            names = list(self._sections)
            self._loading = {name: _SectionLoad([]) for name in names}

    def _section(self, name: str) -> Section:
        section = self._sections.get(name)
        if section is None:
            section = self._sections[name] = new_section(name)
            if self._start_offset > 0:
                self._loading[name] = _SectionLoad([])
        return section

    def _apply_data(self, offset: int, data: bytes) -> None:
        try:
            entry = decode_entry(data)
        except DocumentError:
            self._undecodable += 1
            self._position = offset + 1
            return
        with self._lock:
            try:
                results = self._apply_entry(offset, entry)
            except Exception:  # One entry must not keep the later ones from being applied.
                self._undecodable += 1
                results = None
            self._position = offset + 1
        if results is not None:
            for listener in self._listeners:
                listener(entry.writer, entry.sequence, results)

    def _apply_entry(self, offset: int, entry: Entry) -> list[ApplyResult] | None:
        for name in {name for event in entry.events for name in sections_of(event)}:
            if self._keeps(name):
                self._section(name)
        for loading in self._loading.values():
            loading.entries.append((offset, entry))
        if FLEET_SECTION not in self._loading and not self.fleet.admit(entry):
            return None
        return [self._apply_event(offset, event) for event in entry.events]

    def _apply_event(self, offset: int, event: RecordEvent) -> ApplyResult:
        if isinstance(event, SnapshotChunk):
            self._add_chunk(event)
            return ACCEPTED
        results = []
        for name in sections_of(event):
            if not self._keeps(name):
                continue
            if name in self._loading:
                results.append(rejected("the section is being loaded"))
                continue
            results.append(self._sections[name].apply(event, offset))
        return merge_results(results)

    def _add_chunk(self, chunk: SnapshotChunk) -> None:
        if not self._keeps(chunk.section):
            return
        state = self._assembler.add(chunk)
        if state is None:
            return
        self._snapshot_covers[chunk.section] = chunk.covers
        section = self._section(chunk.section)
        loading = self._loading.get(chunk.section)
        if loading is None or chunk.covers < self._start_offset - 1:
            return
        loaded = new_section(chunk.section)
        loaded.load(state)
        for offset, entry in loading.entries:
            if offset > chunk.covers:
                _replay_entry(loaded, chunk.section, offset, entry)
        if isinstance(section, FleetSection):
            # A configuration adopted from a peer may be newer than that of the snapshot.
            loaded.configuration.load(section.configuration.dump())
        self._sections[chunk.section] = loaded
        del self._loading[chunk.section]

    def _keeps(self, section: str) -> bool:
        if self._kept_partitions is None or not section.startswith(JOBS_PREFIX):
            return True
        return section.removeprefix(JOBS_PREFIX) in self._kept_partitions


def _replay_entry(section: Section, name: str, offset: int, entry: Entry) -> None:
    if not section.admit(entry):
        return
    for event in entry.events:
        if name in sections_of(event):
            section.apply(event, offset)
