"""Snapshots of state sections, written before the log deletes the entries that they cover."""

from __future__ import annotations

from azurecleat_coordination import Appender, Replica, rank_candidates, to_chunks
from azurecleat_model.events import SNAPSHOT_WRITTEN, log_event
from azurecleat_model.exceptions import LogError

from azurecleat_daemon._internal.membership import Membership


class SnapshotWriter:
    """Appends a snapshot of each section after a number of log entries.

    The state is the same at every instance, so each may write a snapshot. The instance that ranks
    first for a section writes it after ``interval_entries`` entries. Each further instance in
    rank order waits for another ``interval_entries`` entries, in case the ones before it fail.
    Instances that don't answer have no rank.

    :param interval_entries: Number of log entries between snapshots of a section.
    """

    def __init__(
        self,
        instance: str,
        replica: Replica,
        appender: Appender,
        membership: Membership,
        interval_entries: int,
    ) -> None:
        self._instance = instance
        self._replica = replica
        self._appender = appender
        self._membership = membership
        self._interval_entries = interval_entries

    def step(self) -> None:
        """Writes the snapshots that are due."""
        if not self._replica.is_ready:
            return
        covered = self._replica.snapshot_covers
        for section in self._replica.complete_sections():
            entries = self._replica.position - 1 - covered.get(section, 0)
            if entries >= self._interval_entries * (1 + self._rank(section)):
                self.write(section)

    def write(self, section: str) -> None:
        """Writes one snapshot now."""
        position, state = self._replica.dump(section)
        chunks = to_chunks(section, position, state)
        futures = [self._appender.submit(chunk) for chunk in chunks]
        try:
            for future in futures:
                self._appender.wait(future)
        except LogError:
            return
        size = sum(len(chunk.data) for chunk in chunks)
        log_event(SNAPSHOT_WRITTEN, section=section, offset=position, size=size)

    def _rank(self, section: str) -> int:
        members = self._membership.members()
        alive = [name for name in members if self._membership.is_alive(name)]
        order = rank_candidates(section, alive)
        return order.index(self._instance) if self._instance in order else len(order)
