"""A partition as served by its owner: sessions with targets, tasks, requests and limits."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from azurecleat_coordination import (
    CLOCK_RATE_SKEW,
    Appender,
    Backoff,
    ControlLease,
    Replica,
    has_majority,
)
from azurecleat_model import Clock, Quota
from azurecleat_platform import RunnerClient, Target, TargetKind

from azurecleat_daemon._internal.lifecycle import Periodic
from azurecleat_daemon._internal.limits import LimitManager
from azurecleat_daemon._internal.metrics import Metrics
from azurecleat_daemon._internal.quorum import LeaseQuorum
from azurecleat_daemon._internal.request_dispatcher import RequestDispatcher
from azurecleat_daemon._internal.target_session import SessionSettings, TargetSession
from azurecleat_daemon._internal.task_manager import TaskManager

ClientFactory = Callable[[Target], RunnerClient]

STEP_S = 0.1
MAX_LIST_POLL_GAP_S = 2.0
"""Longest time between polls of the instance list, successful or not.

After a longer pause, the owner may have an outdated list of targets, so nothing is started or
dispatched.
"""

BACKOFF_BASE_S = 0.02
BACKOFF_MAX_S = 0.5


class Phase(str, Enum):
    """Phase of a partition owner.

    An owner starts in ``RECOVERING`` and serves once it controls its targets; ``LOST`` is final.
    """

    RECOVERING = "recovering"
    SERVING = "serving"
    LOST = "lost"


class Services(NamedTuple):
    """Components and settings of the instance that partition owners use."""

    instance: str
    replica: Replica
    appender: Appender
    clock: Clock
    metrics: Metrics
    connect: ClientFactory
    lease_s: float
    threaded: bool
    sleep: Callable[[float], None]
    new_id: Callable[[], str]


class TeamRow(NamedTuple):
    """Status of a team in a partition.

    ``usage_over_share`` is 1 if the team uses exactly its share.
    """

    partition: str
    team: str
    tasks_running: int
    tasks_waiting: int
    requests_running: int
    requests_waiting: int
    usage_over_share: float
    allotted: Quota


class PartitionOwner:
    """Serves a partition under one epoch.

    :param services: Components and settings of the instance.
    :param partition: Name of the partition.
    :param epoch: Epoch of the accepted claim.
    :param targets: Targets whose majority grants the control lease.
    :param previous_targets: The same for the previous epoch; empty if that was released.
    """

    def __init__(
        self,
        services: Services,
        partition: str,
        epoch: int,
        targets: tuple[str, ...],
        previous_targets: tuple[str, ...],
    ) -> None:
        self._services = services
        self._partition = partition
        self._epoch = epoch
        self._previous_targets = previous_targets
        self._clock = services.clock
        self._lease = ControlLease(services.clock, targets, services.lease_s, MAX_LIST_POLL_GAP_S)
        self._phase = Phase.RECOVERING
        self._has_served = False
        self._began_at = self._clock.monotonic()
        self._sessions: dict[str, TargetSession] = {}
        self._threads: dict[str, Periodic] = {}
        self._lock = threading.RLock()
        environment = services.replica.fleet.configuration.environment
        self.tasks = TaskManager(
            partition,
            epoch,
            environment,
            services.replica,
            services.appender,
            services.clock,
            services.metrics,
            self._wake,
        )
        backoff = Backoff(BACKOFF_BASE_S, BACKOFF_MAX_S, random.Random(epoch))
        self.requests = RequestDispatcher(
            partition,
            epoch,
            environment,
            services.appender,
            self._lease,
            services.clock,
            services.metrics,
            backoff,
            services.sleep,
            services.threaded,
            services.new_id,
            self._wake,
        )
        shared = (partition, epoch, services.replica, services.appender, self._lease)
        self.limits = LimitManager(*shared, self.tasks, self.requests)
        self._quorum = LeaseQuorum(*shared)
        self._stepper = Periodic(f"engine-{partition}", STEP_S, self.step)
        self.limits.refresh()
        self.tasks.load()

    @property
    def partition(self) -> str:
        return self._partition

    @property
    def epoch(self) -> int:
        return self._epoch

    @property
    def phase(self) -> Phase:
        return self._phase

    @property
    def knows_previous_work(self) -> bool:
        """Whether all work that earlier owners started is known here or certainly over."""
        return self._has_served or not self._previous_targets

    @property
    def lease(self) -> ControlLease:
        return self._lease

    @property
    def sessions(self) -> dict[str, TargetSession]:
        return dict(self._sessions)

    def start(self) -> None:
        """Starts stepping in a thread of its own."""
        if self._services.threaded:
            self._stepper.start()

    def stop(self) -> None:
        """Stops all threads and closes connections; the lease is left to lapse."""
        self._phase = Phase.LOST
        self.requests.close()
        if self._services.threaded:
            self._stepper.stop()
        with self._lock:
            threads, self._threads = self._threads, {}
        for thread in threads.values():
            thread.stop()
        self.tasks.close()
        for session in self._sessions.values():
            session.close()

    def release_targets(self) -> None:
        """Releases all targets, so that the next owner can take control at once."""
        for session in self._sessions.values():
            session.release()
        self._lease.revoke()

    def step(self) -> None:
        """Applies the configuration, then recovers the partition or schedules its tasks."""
        if self._phase is Phase.LOST:
            return
        if self._lease.is_revoked:
            self._phase = Phase.LOST
            self.requests.close()
            return
        self.limits.refresh()
        self._quorum.update(self._granted_targets() if self._phase is Phase.SERVING else ())
        if self._phase is Phase.RECOVERING:
            self._try_to_serve()
        if self._phase is Phase.SERVING:
            self.tasks.step()
            self._wake_sessions()
            self.limits.acknowledge()

    def set_targets(self, targets: list[Target]) -> None:
        """Applies the instance list: opens sessions with new targets, drains leaving ones."""
        with self._lock:
            self._lease.record_poll()
            for target in targets:
                session = self._sessions.get(target.name)
                if session is None:
                    self._add_session(target)
                    continue
                if session.target != target:
                    session.update_target(target)
                    self._manager_of(target).on_target_updated(session)
            self._remove_unlisted({target.name for target in targets})

    def ensure_team(self, team: str) -> None:
        """Adds a team that the configuration gained since the last step."""
        if team not in self.tasks.scheduler.teams:
            self.limits.refresh()

    def running_on(self, target: Target) -> int:
        """Returns the number of tasks or requests on a target."""
        worker = self._manager_of(target).scheduler.workers.get(target.name)
        return len(worker.tasks) if worker else 0

    def on_probation(self, target: Target) -> bool:
        """Tells whether a worker is on probation after failures of unrelated jobs."""
        worker = self._manager_of(target).scheduler.workers.get(target.name)
        return worker is not None and worker.probation.is_active

    def team_rows(self) -> list[TeamRow]:
        """Returns what each team has running and waiting here."""
        rows = []
        for name, team in list(self.tasks.scheduler.teams.items()):
            requests = self.requests.scheduler.teams.get(name)
            rows.append(
                TeamRow(
                    self._partition,
                    name,
                    team.used.tasks,
                    team.waiting,
                    requests.used.tasks if requests else 0,
                    requests.waiting if requests else 0,
                    round(team.rank, 3),
                    self.limits.allotted(name),
                )
            )
        return rows

    # Sessions.

    def _add_session(self, target: Target) -> None:
        settings = SessionSettings(
            self._partition, self._epoch, self._services.instance, self._services.lease_s
        )
        client = self._services.connect(target)
        manager = self._manager_of(target)
        session = TargetSession(target, client, settings, self._lease, self._clock, manager)
        self._sessions[target.name] = session
        if self._services.threaded:
            thread = Periodic(
                f"link-{target.name}", session.next_exchange_delay_s, session.exchange
            )
            self._threads[target.name] = thread
            thread.start()

    def _remove_unlisted(self, listed: set[str]) -> None:
        for name, session in list(self._sessions.items()):
            # The list may be out of date or wrong, so a target that still grants control is kept.
            if name in listed or session.is_granted or name in self._needed_for_recovery():
                continue
            del self._sessions[name]
            thread = self._threads.pop(name, None)
            if thread is not None:
                thread.stop()
            session.close()

    def _needed_for_recovery(self) -> tuple[str, ...]:
        return self._previous_targets if self._phase is Phase.RECOVERING else ()

    def _manager_of(self, target: Target) -> TaskManager | RequestDispatcher:
        return self.tasks if target.kind is TargetKind.WORKER else self.requests

    def _wake(self) -> None:
        self._stepper.wake()

    def _wake_sessions(self) -> None:
        for name, thread in list(self._threads.items()):
            session = self._sessions.get(name)
            if session is not None and (session.has_commands or self._is_report_awaited(session)):
                thread.wake()

    def _is_report_awaited(self, session: TargetSession) -> bool:
        return session.target.kind is TargetKind.RUNNER and self.requests.awaits_report(session)

    def _granted_targets(self) -> tuple[str, ...]:
        return tuple(sorted(name for name, session in self._sessions.items() if session.is_granted))

    # Recovery.

    def _try_to_serve(self) -> None:
        controlled = {name for name in self._sessions if self._lease.controls(name)}
        if not self._lease.is_valid():
            return
        if self._previous_targets and not has_majority(self._previous_targets, controlled):
            return
        if not self._knows_all_previous_work(controlled):
            return
        self._phase = Phase.SERVING
        self._has_served = True
        self.tasks.open()
        self.requests.open()
        self._services.metrics.takeovers.inc()

    def _knows_all_previous_work(self, controlled: set[str]) -> bool:
        """Tells whether no target can still run work that this owner does not know of.

        That is certain if the previous owner released the partition, if every target has
        granted control, or after two leases: a previous owner without a majority stops within one
        lease, and what it started on a target unreachable from here ends within another.
        """
        if controlled >= set(self._sessions):
            return True
        if not self._previous_targets:
            return True
        waited_s = self._clock.monotonic() - self._began_at
        return waited_s > 2 * self._services.lease_s * (1 + CLOCK_RATE_SKEW)
