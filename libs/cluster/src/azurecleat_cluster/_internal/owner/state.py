"""What the parts of an owner's term share: its state, its lock, and where its progress goes."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol

from azurecleat_base import Clock

from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.authority import Authority, Takeover
from azurecleat_cluster._internal.owner.model import (
    JobInfo,
    Run,
    TargetInfo,
    TeamUsage,
)
from azurecleat_cluster._internal.owner.placement import Preferences
from azurecleat_cluster._internal.owner.shares import TeamShareLimiter
from azurecleat_cluster._internal.owner.target_health import HealthMonitor
from azurecleat_cluster._internal.owner.target_session import SessionObserver
from azurecleat_cluster._internal.replica import records as r
from azurecleat_cluster._internal.replica.jobs import JobReplica


class Session(Protocol):
    """What a term needs of a connection to a target; see :class:`TargetLink`."""

    target: TargetInfo
    processed: int

    @property
    def lease_end(self) -> float: ...

    def start(self) -> None: ...

    def stop(self) -> None: ...

    def join(self) -> None: ...

    def inherit_lease(self, reached_at: float) -> None: ...

    def assume_max_lease(self) -> None: ...

    def acknowledge(self, number: int) -> None: ...

    def submit_start(self, run: Run, payload: str, ticket: str) -> None: ...

    def submit_stop(self, run: Run) -> None: ...

    def submit_throttle(self, run: Run, percent: int) -> None: ...


class ProgressLog(Protocol):
    """Where a term's progress goes; see :class:`ProgressWriter`."""

    def put(
        self,
        key: str,
        encode: Callable[[], bytes | None],
        on_committed: Callable[[], None] | None = None,
    ) -> None: ...

    def call_after_commit(self, on_committed: Callable[[], None]) -> None: ...


MakeSession = Callable[[TargetInfo, SessionObserver], Session]


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
        writer: ProgressLog,
        make_session: MakeSession,
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
        self.jobs: dict[str, JobInfo] = {}
        self.open_jobs: dict[str, JobInfo] = {}
        """Those of which tasks may still be started."""
        self.sessions: dict[str, Session] = {}
        self.usage = TeamUsage()
        self.health = HealthMonitor(events, preferences)
        self.takeover: Takeover | None = None
        self.dirty = True
        self._unconfirmed_runs: dict[str, list[Run]] = {}
        """Runs of lost lives of targets whose orders a next life under the id may have met."""
        self._replica = replica
        self._writer = writer
        self._make_session = make_session
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._on_lost = on_lost
        self._share_limiter = TeamShareLimiter()
        self._stopping = False

    @property
    def stopping(self) -> bool:
        return self._stopping

    def wake(self) -> None:
        """Lets the dispatcher look for work."""
        with self.changed:
            self.dirty = True
            self.changed.notify_all()

    def lose_ownership(self, reason: str) -> None:
        """Ends the term: another owner has control."""
        with self.changed:
            if self.authority.lost_reason:
                return
            self.authority.revoke(reason)
            self.ending.set()
            self.changed.notify_all()
        self._on_lost(reason)

    def record(self, job: JobInfo) -> None:
        """Queues a job's progress for the log."""
        self._writer.put(r.JOB + job.id, lambda: self._encode(job))

    def _encode(self, job: JobInfo) -> bytes:
        with self.lock:
            return r.encode_progress(job.progress())
