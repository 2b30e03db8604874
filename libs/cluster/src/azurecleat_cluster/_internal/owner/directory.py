"""Polls the directory for the targets that still exist, so that runs of lost targets are started
elsewhere."""

from __future__ import annotations

import threading

from azurecleat_base import Clock
from azurecleat_base.exceptions import TargetError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.term import OwnerTerm
from azurecleat_cluster._internal.ports import Directory

POLL_PAUSE_S = 0.4
"""Pause between two polls: a lost target is noticed before a poll of the target times out."""


class DirectoryWatcher:
    """Compares a term's targets with the directory, in a thread of its own."""

    def __init__(
        self,
        directory: Directory,
        term: OwnerTerm,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._directory = directory
        self._term = term
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._failing_since: float | None = None

    def run(self, ended: threading.Event) -> None:
        """Polls until the term has ended."""
        while not ended.wait(POLL_PAUSE_S):
            known = self._term.known_incarnations()
            try:
                live_incarnations = self._directory.live_incarnations()
            except TargetError as error:
                self._note_failure(error)
                continue
            except Exception as error:  # An unexpected answer must not end the watching.
                self._note_failure(TargetError(repr(error), step="directory"))
                continue
            self._note_success()
            # Incarnations must be known before the call: one that starts during the call may be
            # missing from the answer although it exists.
            self._term.on_incarnations_ended(known.difference(live_incarnations))
            self._term.on_capacities(live_incarnations)

    def _note_failure(self, error: TargetError) -> None:
        self._metrics.retries.labels("directory").inc()
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()
            self._events.write(
                eventlog.DEPENDENCY_LOST, dependency="directory", step=error.step, error=error
            )

    def _note_success(self) -> None:
        if self._failing_since is not None:
            after_s = round(self._clock.monotonic() - self._failing_since, 3)
            self._failing_since = None
            self._events.write(eventlog.DEPENDENCY_BACK, dependency="directory", after_s=after_s)
