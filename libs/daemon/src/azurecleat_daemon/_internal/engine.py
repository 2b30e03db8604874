"""A partition as served by its owner: links to targets, tasks, requests, limits."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from concurrent.futures import Future
from enum import Enum
from typing import NamedTuple

from azurecleat_coordination import (
    CLOCK_RATE_SKEW,
    Appender,
    Applied,
    Backoff,
    ControlLease,
    Replica,
    has_majority,
)
from azurecleat_coordination.records import AcknowledgeLimits, SetTargets, Transfer
from azurecleat_model import NO_QUOTA, Clock, Quota
from azurecleat_model.exceptions import AppendUnknownError, LogError
from azurecleat_platform import RunnerClient, Target, TargetKind

from azurecleat_daemon._internal.lifecycle import Periodic
from azurecleat_daemon._internal.link import LinkSettings, TargetLink
from azurecleat_daemon._internal.metrics import Metrics
from azurecleat_daemon._internal.request_desk import RequestDesk
from azurecleat_daemon._internal.task_desk import TaskDesk

ClientFactory = Callable[[Target], RunnerClient]

STEP_S = 0.1
MAX_LIST_PAUSE_S = 2.0
"""Without a look at the instance list for this long, nothing is started or dispatched."""

BACKOFF_BASE_S = 0.02
BACKOFF_MAX_S = 0.5


class Phase(str, Enum):
    """What an owner does with its partition."""

    RECOVERING = "recovering"
    SERVING = "serving"
    LOST = "lost"


class Services(NamedTuple):
    """What engines need of the instance."""

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


class Shortage(NamedTuple):
    """Part of a limit that a team lacks in a partition, and how long its oldest work waits."""

    amount: Quota
    waited_s: float


class TeamRow(NamedTuple):
    """A team in a partition, for status reports. ``usage_over_share`` is 1 at the share."""

    partition: str
    team: str
    tasks_running: int
    tasks_waiting: int
    requests_running: int
    requests_waiting: int
    usage_over_share: float
    allotted: Quota


class Engine:
    """Serves a partition under one epoch.

    :param services: Parts of the instance.
    :param partition: Name of the partition.
    :param epoch: Epoch of the accepted claim.
    :param former_targets: Targets that arbitrated the former epoch; empty if it was released.
    """

    def __init__(
        self,
        services: Services,
        partition: str,
        epoch: int,
        targets: tuple[str, ...],
        former_targets: tuple[str, ...],
    ) -> None:
        self._services = services
        self._partition = partition
        self._epoch = epoch
        self._former_targets = former_targets
        self._clock = services.clock
        self._lease = ControlLease(services.clock, targets, services.lease_s, MAX_LIST_PAUSE_S)
        self._committed_targets = targets
        self._attempted_targets: set[tuple[str, ...]] = set()
        self._phase = Phase.RECOVERING
        self._began_at = self._clock.monotonic()
        self._links: dict[str, TargetLink] = {}
        self._threads: dict[str, Periodic] = {}
        self._given: dict[str, Quota] = {}
        self._acknowledged_version = -1
        self._lock = threading.RLock()
        environment = services.replica.fleet.configuration.environment
        self.tasks = TaskDesk(
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
        self.requests = RequestDesk(
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
        self._stepper = Periodic(f"engine-{partition}", STEP_S, self.step)
        self._follow_configuration()
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
    def lease(self) -> ControlLease:
        return self._lease

    @property
    def links(self) -> dict[str, TargetLink]:
        return dict(self._links)

    def start(self) -> None:
        """Starts stepping in a thread of its own."""
        if self._services.threaded:
            self._stepper.start()

    def stop(self) -> None:
        """Stops all threads and closes connections; rights are left to lapse."""
        self._phase = Phase.LOST
        self.requests.close()
        if self._services.threaded:
            self._stepper.stop()
        with self._lock:
            threads, self._threads = self._threads, {}
        for thread in threads.values():
            thread.stop()
        self.tasks.close()
        for link in self._links.values():
            link.close()

    def release_targets(self) -> None:
        """Lets the next owner take control of the targets at once."""
        for link in self._links.values():
            link.release()
        self._lease.revoke()

    def step(self) -> None:
        """One round: configuration, recovery, decisions, limits."""
        if self._phase is Phase.LOST:
            return
        if self._lease.is_revoked:
            self._phase = Phase.LOST
            self.requests.close()
            return
        self._follow_configuration()
        self._follow_targets()
        if self._phase is Phase.RECOVERING:
            self._try_to_serve()
        if self._phase is Phase.SERVING:
            self.tasks.step()
            self._wake_links()
            self._acknowledge_limits()

    def set_targets(self, targets: list[Target]) -> None:
        """Takes over the instance list: new targets get a link, leaving ones nothing new."""
        with self._lock:
            self._lease.stay_awake()
            for target in targets:
                link = self._links.get(target.name)
                if link is None:
                    self._add_link(target)
                    continue
                if link.target != target:
                    link.update_target(target)
                    self._desk(target).on_target_listed(link)
            self._drop_gone({target.name for target in targets})

    def know_team(self, team: str) -> None:
        """Makes a team known that a configuration newer than the last step has added."""
        if team not in self.tasks.scheduler.teams:
            self._follow_configuration()

    def give_limit(self, team: str, need: Shortage, destination: str) -> bool:
        """Transfers unused allotment to another partition; returns whether any was given.

        If work waits for the limit here too, the longer wait goes first: without an order, two
        jobs that each need more than a partition holds would wait for each other for ever. The
        part given is set aside before the record is appended, so that it is never used on both
        sides whatever becomes of the append.
        """
        with self._lock:
            own = self.missing_limits().get(team)
            goes_first = own is None or (own.waited_s, destination) < (
                need.waited_s,
                self._partition,
            )
            unused = self._allotted(team).minus(self._usage(team)).clamp()
            part = Quota(*map(min, need.amount, unused))
            may_give = self._phase is Phase.SERVING and self._lease.is_valid()
            if part == NO_QUOTA or not goes_first or not may_give:
                return False
            self._given[team] = self._given.get(team, NO_QUOTA).plus(part)
        self._follow_configuration()
        event = Transfer(team, self._partition, self._epoch, destination, part)
        future = self._services.appender.submit(event)
        future.add_done_callback(lambda done: self._on_given(done, team, part))
        return True

    def missing_limits(self) -> dict[str, Shortage]:
        """Returns what teams with waiting work lack here."""
        missing: dict[str, Shortage] = {}
        for team, need in self.tasks.blocked_by_limit().items():
            lacking = self._usage(team).plus(need.quota).minus(self._allotted(team)).clamp()
            missing[team] = Shortage(lacking, need.waited_s)
        for team, need in self.requests.blocked_by_limit().items():
            former = missing.get(team, Shortage(NO_QUOTA, 0.0))
            lacking = former.amount._replace(requests=need.waiting_tasks)
            missing[team] = Shortage(lacking, max(former.waited_s, need.waited_s))
        return {team: need for team, need in missing.items() if need.amount != NO_QUOTA}

    def running_on(self, target: Target) -> int:
        """Returns the number of tasks or requests on a target."""
        worker = self._desk(target).scheduler.workers.get(target.name)
        return len(worker.tasks) if worker else 0

    def on_probation(self, target: Target) -> bool:
        """Tells whether a worker is on probation for failing unlike work."""
        worker = self._desk(target).scheduler.workers.get(target.name)
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
                    self._allotted(name),
                )
            )
        return rows

    # Links.

    def _add_link(self, target: Target) -> None:
        settings = LinkSettings(
            self._partition, self._epoch, self._services.instance, self._services.lease_s
        )
        client = self._services.connect(target)
        desk = self._desk(target)
        link = TargetLink(target, client, settings, self._lease, self._clock, desk)
        self._links[target.name] = link
        if self._services.threaded:
            thread = Periodic(f"link-{target.name}", link.wait_s, link.exchange)
            self._threads[target.name] = thread
            thread.start()

    def _drop_gone(self, listed: set[str]) -> None:
        for name, link in list(self._links.items()):
            # The list may lag or lie: a target that still obeys is kept.
            if name in listed or link.is_granted or name in self._needed_for_recovery():
                continue
            del self._links[name]
            thread = self._threads.pop(name, None)
            if thread is not None:
                thread.stop()
            link.close()

    def _needed_for_recovery(self) -> tuple[str, ...]:
        return self._former_targets if self._phase is Phase.RECOVERING else ()

    def _desk(self, target: Target) -> TaskDesk | RequestDesk:
        return self.tasks if target.kind is TargetKind.WORKER else self.requests

    def _wake(self) -> None:
        self._stepper.wake()

    def _wake_links(self) -> None:
        for name, thread in list(self._threads.items()):
            link = self._links.get(name)
            if link is not None and (link.has_commands or self._is_awaited(link)):
                thread.wake()

    def _is_awaited(self, link: TargetLink) -> bool:
        return link.target.kind is TargetKind.RUNNER and self.requests.needs_control(link)

    # Recovery.

    def _try_to_serve(self) -> None:
        held = {name for name in self._links if self._lease.controls(name)}
        if not self._lease.is_valid():
            return
        if self._former_targets and not has_majority(self._former_targets, held):
            return
        if not self._settled(held):
            return
        self._phase = Phase.SERVING
        self.tasks.open()
        self.requests.open()
        self._services.metrics.takeovers.inc()

    def _settled(self, held: set[str]) -> bool:
        """Tells whether every target was asked, or its former lease has lapsed for certain.

        A former owner without majority stops within one lease, and what it started on a target
        that is out of reach here ends within another one.
        """
        if held >= set(self._links):
            return True
        if not self._former_targets:
            return True
        waited_s = self._clock.monotonic() - self._began_at
        return waited_s > 2 * self._services.lease_s * (1 + CLOCK_RATE_SKEW)

    # Arbitrating targets.

    def _follow_targets(self) -> None:
        with self._services.replica.lock:
            owner = self._services.replica.fleet.ownership.owner(self._partition)
        if owner is None or owner.epoch != self._epoch:
            return
        with self._lock:
            if owner.targets != self._committed_targets:
                self._committed_targets = owner.targets
                self._attempted_targets.clear()
            wanted = tuple(sorted(n for n, link in self._links.items() if link.is_granted))
            if self._phase is not Phase.SERVING or not wanted:
                wanted = self._committed_targets
            is_new = wanted != self._committed_targets and wanted not in self._attempted_targets
            if is_new:
                self._attempted_targets.add(wanted)
            self._lease.set_targets(self._committed_targets, *self._attempted_targets)
        if is_new:
            event = SetTargets(self._partition, self._epoch, wanted)
            future = self._services.appender.submit(event)
            future.add_done_callback(lambda done: self._on_targets_set(done, wanted))

    def _on_targets_set(self, future: Future[Applied], wanted: tuple[str, ...]) -> None:
        try:
            future.result()
        except AppendUnknownError:
            return
        except LogError:
            with self._lock:
                self._attempted_targets.discard(wanted)

    # Limits.

    def _follow_configuration(self) -> None:
        with self._services.replica.lock:
            teams = list(self._services.replica.fleet.configuration.teams.values())
            allotted = [(team, self._allotted(team.name)) for team in teams]
        for team, amount in allotted:
            self.tasks.set_team(team, amount)
            self.requests.set_team(team, amount)
        names = {team.name for team in teams}
        self.tasks.remove_teams_except(names)
        self.requests.remove_teams_except(names)

    def _allotted(self, team: str) -> Quota:
        ledger = self._services.replica.fleet.ledger
        given = self._given.get(team, NO_QUOTA)
        return ledger.allotment(team, self._partition).minus(given).clamp()

    def _usage(self, team: str) -> Quota:
        return self.tasks.team_usage(team)._replace(requests=self.requests.team_usage(team))

    def _acknowledge_limits(self) -> None:
        """Tells the log when reduced limits are kept here, so that others may use the rest."""
        with self._services.replica.lock:
            version = self._services.replica.fleet.configuration.version
            teams = list(self._services.replica.fleet.configuration.teams)
        if version == self._acknowledged_version:
            return
        if not all(self._allotted(team).covers(self._usage(team)) for team in teams):
            return
        self._acknowledged_version = version
        event = AcknowledgeLimits(self._partition, self._epoch, version)
        self._services.appender.submit(event).add_done_callback(self._on_acknowledged)

    def _on_acknowledged(self, future: Future[Applied]) -> None:
        try:
            future.result()
        except LogError:
            self._acknowledged_version = -1

    def _on_given(self, future: Future[Applied], team: str, part: Quota) -> None:
        try:
            future.result()
        except AppendUnknownError:
            # Kept aside for good under this epoch: the record may yet appear.
            return
        except LogError:
            pass
        with self._lock:
            self._given[team] = self._given[team].minus(part)
