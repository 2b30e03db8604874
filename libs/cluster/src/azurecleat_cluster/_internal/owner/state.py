"""The state that all parts of an ownership term share, its lock, and its progress log."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol

from azurecleat_base import Clock

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.features import NO_FEATURES, Features
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.authority import Authority, Takeover
from azurecleat_cluster._internal.owner.duration_tracking import DurationTracker
from azurecleat_cluster._internal.owner.evacuation import EvacuationTracker
from azurecleat_cluster._internal.owner.model import (
    JobInfo,
    Run,
    TargetInfo,
    TeamUsage,
)
from azurecleat_cluster._internal.owner.placement import Preferences
from azurecleat_cluster._internal.owner.poll_schedule import PollSchedule
from azurecleat_cluster._internal.owner.preemption_outcomes import PreemptionOutcomes
from azurecleat_cluster._internal.owner.session_starter import SessionStarter
from azurecleat_cluster._internal.owner.shares import TeamShareLimiter
from azurecleat_cluster._internal.owner.start_horizon import StartHorizon
from azurecleat_cluster._internal.owner.target_health import HealthMonitor
from azurecleat_cluster._internal.owner.target_session import SessionObserver
from azurecleat_cluster._internal.replica import records as r
from azurecleat_cluster._internal.replica.jobs import JobReplica


class Session(Protocol):
    """A session with a target, as a term uses it; see :class:`TargetSession`."""

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
    """The log that a term writes its progress to; see :class:`ProgressWriter`."""

    def put(
        self,
        key: str,
        encode: Callable[[], bytes | None],
        on_committed: Callable[[], None] | None = None,
    ) -> None: ...

    def call_after_commit(self, on_committed: Callable[[], None]) -> None: ...


MakeSession = Callable[[TargetInfo, SessionObserver], Session]


class TermState:
    """The state of one term, guarded by one lock.

    :param make_session: Creates a session with one incarnation of a target.
    :param on_lost: Called once, with the reason, when ownership is lost.
    """

    def __init__(
        self,
        authority: Authority,
        replica: JobReplica,
        configuration: ConfigurationView,
        writer: ProgressLog,
        start_horizon: StartHorizon,
        make_session: MakeSession,
        preferences: Preferences,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        on_lost: Callable[[str], None],
        features: Features = NO_FEATURES,
    ) -> None:
        self.features = features
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.ending = threading.Event()
        """Set when the term stops or ownership is lost."""
        self.authority = authority
        self.configuration = configuration
        self.jobs: dict[str, JobInfo] = {}
        self.open_jobs: dict[str, JobInfo] = {}
        """The jobs of which tasks may still be started."""
        self.sessions: dict[str, Session] = {}
        self.usage = TeamUsage()
        self.health = HealthMonitor(events, preferences)
        self.durations = DurationTracker(features.durations, preferences, events, metrics)
        self.evacuations = EvacuationTracker()
        self.preemptions = PreemptionOutcomes(events, metrics)
        self.poll_schedule = PollSchedule()
        self.session_starter = SessionStarter()
        self.takeover: Takeover | None = None
        self.dirty = True
        self.start_horizon = start_horizon
        self._unconfirmed_runs: dict[str, list[Run]] = {}
        """Runs that dropped target incarnations never reported, by target id.

        Another incarnation with the same id may have received their commands.
        """
        self._targets_by_address: dict[str, str] = {}
        """Id of the target known at each address."""
        self._deleted_targets: set[str] = set()
        """Targets whose record in the log this term has deleted, or is about to delete."""
        self._replica = replica
        self._writer = writer
        self._make_session = make_session
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._on_lost = on_lost
        self._unexplained_crash_at = float("-inf")
        """When a target last crashed on which nothing was being started."""
        self._share_limiter = TeamShareLimiter()
        self._stopping = False
        self._began_at = clock.monotonic()
        self._first_used: set[str] = set()
        """Targets for which this term has recorded that it is the first to use them."""
        self._is_settled = False
        """Whether the record is written that no earlier owner acts any more."""

    @property
    def stopping(self) -> bool:
        return self._stopping

    def wake(self) -> None:
        """Makes the dispatcher look for tasks to start."""
        with self.changed:
            self.dirty = True
            self.changed.notify_all()

    def lose_ownership(self, reason: str) -> None:
        """Ends the term because another instance owns the jobs."""
        with self.changed:
            if self.authority.lost_reason:
                return
            self.authority.revoke(reason)
            self.ending.set()
            self.changed.notify_all()
        self._on_lost(reason)

    def record(self, job: JobInfo, on_committed: Callable[[], None] | None = None) -> None:
        """Queues a job's progress to be written to the log."""
        self._writer.put(r.JOB + job.id, lambda: self._encode(job), on_committed)

    def maintain_durations(self, now: float) -> None:
        """Queues a record of the learned durations if it is due, and reports on them."""
        self.durations.report(now)
        if self.durations.is_record_due(now):
            self._writer.put(r.DURATIONS, self._encode_durations)

    def _encode_durations(self) -> bytes | None:
        """Encodes the learned durations; an error must not end the thread that writes progress."""
        try:
            with self.lock:
                return self.durations.encode()
        except Exception as error:
            self._events.write(eventlog.COMPONENT_FAILED, component="durations", error=repr(error))
            return self._replica.durations

    def publish_load(self, value: bytes) -> None:
        """Queues a load report to be written to the log."""
        self._writer.put(r.LOAD, lambda: value)

    def accounts_over_share(self, now: float) -> list[str]:
        """Returns the accounts that submit jobs over their share at present."""
        return [
            team.name
            for team in self.configuration.current.teams.values()
            if self._share_limiter.is_over_share(team.name, team.weight, now)
        ]

    def _encode(self, job: JobInfo) -> bytes:
        with self.lock:
            return r.encode_progress(job.progress())
