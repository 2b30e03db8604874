"""What the parts of an owner's term share: its state, its lock, and where its progress goes."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol

from azurecleat_base import Clock

from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.authority import Authority, Succession
from azurecleat_cluster._internal.owner.link import LinkObserver
from azurecleat_cluster._internal.owner.placement import Preferences
from azurecleat_cluster._internal.owner.shares import ShareMeter
from azurecleat_cluster._internal.owner.suspicion import Suspicions
from azurecleat_cluster._internal.owner.work import (
    JobWork,
    Run,
    TargetWork,
    TeamUse,
)
from azurecleat_cluster._internal.replica import records as r
from azurecleat_cluster._internal.replica.jobs import JobReplica


class Link(Protocol):
    """What a term needs of a connection to a target; see :class:`TargetLink`."""

    work: TargetWork
    processed: int

    @property
    def lease_end(self) -> float: ...

    def start(self) -> None: ...

    def stop(self) -> None: ...

    def join(self) -> None: ...

    def inherit_lease(self, reached_at: float) -> None: ...

    def doubt_lease(self) -> None: ...

    def acknowledge(self, number: int) -> None: ...

    def order_start(self, run: Run, payload: str, ticket: str) -> None: ...

    def order_stop(self, run: Run) -> None: ...

    def order_pace(self, run: Run, percent: int) -> None: ...


class Records(Protocol):
    """Where a term's progress goes; see :class:`ProgressWriter`."""

    def put(
        self,
        key: str,
        encode: Callable[[], bytes | None],
        committed: Callable[[], None] | None = None,
    ) -> None: ...

    def after(self, committed: Callable[[], None]) -> None: ...


MakeLink = Callable[[TargetWork, LinkObserver], Link]


class TermState:
    """State of one term, guarded by one lock.

    :param make_link: Connects to one life of a target.
    :param on_lost: Called once when the term has to end.
    """

    def __init__(
        self,
        authority: Authority,
        replica: JobReplica,
        configuration: ConfigurationView,
        writer: Records,
        make_link: MakeLink,
        preferences: Preferences,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        on_lost: Callable[[str], None],
    ) -> None:
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.ending = threading.Event()
        """Set when the term stops or is lost."""
        self.authority = authority
        self.configuration = configuration
        self.jobs: dict[str, JobWork] = {}
        self.open_jobs: dict[str, JobWork] = {}
        """Those of which tasks may still be started."""
        self.links: dict[str, Link] = {}
        self.use = TeamUse()
        self.suspicions = Suspicions(events, preferences)
        self.succession: Succession | None = None
        self.dirty = True
        self._doubtful: dict[str, list[Run]] = {}
        """Runs of lost lives of targets whose orders a next life under the id may have met."""
        self._replica = replica
        self._writer = writer
        self._make_link = make_link
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._on_lost = on_lost
        self._shares = ShareMeter()
        self._stopping = False

    @property
    def stopping(self) -> bool:
        return self._stopping

    def wake(self) -> None:
        """Lets the dispatcher look for work."""
        with self.changed:
            self.dirty = True
            self.changed.notify_all()

    def lose(self, reason: str) -> None:
        """Ends the term: another owner has control."""
        with self.changed:
            if self.authority.lost_reason:
                return
            self.authority.lose(reason)
            self.ending.set()
            self.changed.notify_all()
        self._on_lost(reason)

    def record(self, job: JobWork) -> None:
        """Queues a job's progress for the log."""
        self._writer.put(r.JOB + job.id, lambda: self._encode(job))

    def _encode(self, job: JobWork) -> bytes:
        with self.lock:
            return r.encode_progress(job.progress())
