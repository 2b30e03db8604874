"""Runs real instances, without threads or sockets, against fakes and with random faults.

Everything runs in one thread on a manual clock, so that a run depends only on its seed.
"""

from __future__ import annotations

import random
from typing import Any

from azurecleat_daemon import Bounds as SizeBounds
from azurecleat_daemon import ComponentDependencies, EntrySettings, Timing, wire_components
from azurecleat_fakes import FakeRunner, FakeWorker, Faults, MemoryInstanceList, MemoryLog
from azurecleat_model import ManualClock, Resources
from azurecleat_model.exceptions import LogUnavailableError
from azurecleat_platform import Target, TargetKind

from azurecleat_bench._internal.faults.callers import CallerKey, Callers
from azurecleat_bench._internal.faults.checker import TimeBounds
from azurecleat_bench._internal.faults.connections import (
    DelayedAppends,
    LocalNetwork,
    NetworkCuts,
    UnreliableInstanceList,
    UnreliableLog,
    UnreliableTarget,
)
from azurecleat_bench._internal.faults.history import (
    Execution,
    ListOutage,
    VersionSeen,
    new_history,
)
from azurecleat_bench._internal.faults.injector import FaultInjector
from azurecleat_bench._internal.faults.node import ENTRIES_PER_ZONE, ZONES, Node
from azurecleat_bench._internal.faults.operators import OperatorActions

TARGETS_PER_ZONE = 3
TICK_S = 0.1
MAX_STALL_S = 2.0
STALL_CHANCE = 0.004
LONG_REQUEST_CHANCE = 0.1
SETTLE_S = 200.0
TIMING = Timing(
    lease_s=3.0,
    key_bound_s=5.0,
    log_read_lag_s=0.2,
    poll_s=0.2,
    status_s=0.5,
    remote_status_s=1.0,
    list_s=0.2,
)
BOUNDS = TimeBounds(key_s=TIMING.key_bound_s, leaving_s=3.0, stall_s=MAX_STALL_S)


class Simulation:
    """Instances, fake targets and log, callers, operators and the fault injector.

    :param seed: Seed of all randomness.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.cuts = NetworkCuts()
        self.history = new_history()
        self.log = MemoryLog()
        self.delayed_appends = DelayedAppends(self.log, self.clock)
        self.nodes = {
            f"{zone}-{i}": Node(f"{zone}-{i}", zone)
            for zone in ZONES
            for i in range(ENTRIES_PER_ZONE)
        }
        self.targets: dict[str, Any] = {}
        for zone in ZONES:
            self._add_targets(zone)
        self.instance_list = MemoryInstanceList([target.target for target in self.targets.values()])
        self.keys: list[CallerKey] = []
        self.callers = Callers(self)
        self.injector = FaultInjector(self)
        self.operators = OperatorActions(self)
        self.fault_count = 0
        self.counter = 0
        self.nesting_depth = 0
        self.stalls_enabled = False
        self.leaving: dict[str, float] = {}

    # Running.

    def start(self) -> None:
        """Starts all instances, promotes the initial document and waits for owners."""
        for node in self.nodes.values():
            self.restart(node)
        self.run_for(2.0)
        self.operators.promote()
        self.run_for(8.0)
        self.stalls_enabled = True

    def run_for(self, seconds: float) -> None:
        """Advances the clock in ticks and runs all live instances at each tick."""
        ends_at = self.clock.monotonic() + seconds
        while self.clock.monotonic() < ends_at:
            self.clock.advance(TICK_S)
            self.delayed_appends.deliver()
            for node in self.nodes.values():
                self._tick(node)

    def step(self) -> None:
        """Triggers one random event, then sometimes lets time pass."""
        events = (
            (self.callers.random_request, 30),
            (self.callers.random_job, 8),
            (self.callers.cancel_job, 1),
            (self.injector.cut, 3),
            (self.injector.heal, 3),
            (self.injector.kill, 1),
            (self.injector.restart_dead, 3),
            (self.injector.pause, 2),
            (self.injector.toggle_log_outage, 1),
            (self.injector.toggle_slow_log, 1),
            (self.injector.lose_answers, 2),
            (self.operators.give_key, 1),
            (self.operators.withdraw_key, 1),
            (self.operators.raise_limit, 1),
            (self.injector.start_leaving, 1),
            (self.injector.end_random_leaving, 1),
            (self.injector.toggle_failing_worker, 1),
            (self.injector.truncate_log, 1),
        )
        self.rng.choices([e for e, _ in events], [w for _, w in events])[0]()
        if self.rng.random() < 0.4:
            self.run_for(self.rng.choice((TICK_S, TICK_S, 0.5, 2.0)))

    def settle(self) -> None:
        """Ends all faults and runs until all accepted jobs finish or ``SETTLE_S`` has passed."""
        self.stalls_enabled = False
        self.cuts.heal()
        self.log.faults = Faults()
        self.delayed_appends.delay_s = 0.0
        for target in self.targets.values():
            target.faults = Faults()
        for name in list(self.leaving):
            self.injector.end_leaving(name)
        for node in self.nodes.values():
            node.paused_until = 0.0
            if node.components is None:
                self.restart(node)
        unfinished = [job.job_id for job in self.history.jobs]
        ends_at = self.clock.monotonic() + SETTLE_S
        while unfinished and self.clock.monotonic() < ends_at:
            self.run_for(5.0)
            unfinished = [job_id for job_id in unfinished if not self._is_finished(job_id)]
        for target in self.targets.values():
            if isinstance(target, FakeWorker):
                # Reading the property records the ends of tasks that are due.
                _ = target.running

    def restart(self, node: Node) -> None:
        """Starts a new incarnation of an instance."""
        self.counter += 1
        node.incarnation = f"{node.name}#{self.counter}"
        node.is_stalled = False
        node.components = wire_components(
            self._settings(node),
            ComponentDependencies(
                UnreliableLog(self.log, node.name, self.cuts, self.delayed_appends),
                UnreliableInstanceList(self.instance_list, node.name, self.cuts),
                lambda target: UnreliableTarget(
                    self.targets[target.name], node.name, self.cuts, self._stall
                ),
                LocalNetwork(node.name, self.cuts, self._find_live, self.clock),
                self.clock,
                node.incarnation,
                threaded=False,
                sleep=lambda seconds: None,
                new_id=self._new_id,
            ),
        )
        node.components.membership.set_address(node.name)
        # Hints to peers only speed up propagation, but are sent by threads, which would make runs
        # with the same seed differ.
        node.components.membership.notify_new_entries = lambda zone="": None

    def _new_id(self) -> str:
        self.counter += 1
        return f"{self.counter:020d}"

    def _tick(self, node: Node) -> None:
        components = node.components
        if components is None or node.is_paused(self.clock.monotonic()):
            return
        try:
            components.replica.catch_up()
        except LogUnavailableError:
            pass
        try:
            components.partitions.set_targets(
                UnreliableInstanceList(self.instance_list, node.name, self.cuts).targets()
            )
        except LogUnavailableError:
            components.partitions.keep_known_targets()
            self.history.list_outages.append(ListOutage(self.clock.monotonic(), node.zone))
        components.membership.step()
        components.partitions.step()
        for local_owner in components.partitions.local_owners.values():
            local_owner.step()
            for session in local_owner.sessions.values():
                session.exchange()
        components.router.borrow_limits()
        components.appender.step()
        components.snapshots.step()
        version = components.replica.fleet.configuration.version
        seen = VersionSeen(
            self.clock.monotonic(), node.incarnation, version, components.replica.is_ready
        )
        self.history.versions.append(seen)

    def _serve(self, runner: str, body: bytes) -> bytes:
        self.history.executions.append(Execution(self.clock.monotonic(), runner, body))
        if (
            self.stalls_enabled
            and self.nesting_depth < 2
            and self.rng.random() < LONG_REQUEST_CHANCE
        ):
            # Simulates a long request: other events happen while it runs.
            self.nesting_depth += 1
            for _ in range(self.rng.randrange(1, 4)):
                self.step()
            self.nesting_depth -= 1
        return b"checked: " + body

    # Faults.

    def _stall(self, name: str) -> None:
        """Sometimes pauses an instance between its last check and a send."""
        if not self.stalls_enabled or self.nesting_depth >= 2 or self.rng.random() >= STALL_CHANCE:
            return
        node = self.nodes[name]
        self.fault_count += 1
        self.nesting_depth += 1
        node.is_stalled = True
        self.run_for(self.rng.uniform(0.1, MAX_STALL_S))
        node.is_stalled = False
        self.nesting_depth -= 1

    # Set-up.

    def _settings(self, node: Node) -> EntrySettings:
        return EntrySettings(
            instance=node.name,
            zone=node.zone,
            callers="127.0.0.1:1",
            peers="127.0.0.1:1",
            log="127.0.0.1:1",
            instances="127.0.0.1:1",
            partitions=(node.zone,),
            timing=TIMING,
            bounds=SizeBounds(snapshot_every=40),
        )

    def _add_targets(self, zone: str) -> None:
        for index in range(TARGETS_PER_ZONE):
            name = f"{zone}-worker-{index}"
            capacity = Resources(3000, 8000, 0)
            worker = Target(name, TargetKind.WORKER, zone, "", f"{zone}-r", capacity)
            self.targets[name] = FakeWorker(worker, self.clock, self.history.observations)
        name = f"{zone}-runner"
        runner = Target(name, TargetKind.RUNNER, zone, "", f"{zone}-r", slots=2)
        self.targets[name] = FakeRunner(
            runner,
            self.clock,
            self.history.observations,
            lambda body, name=name: self._serve(name, body),
        )

    def _find_live(self, name: str) -> Node | None:
        node = self.nodes[name]
        if node.components is None:
            return None
        return node

    def random_live_node(self) -> Node | None:
        """Returns a random instance that is alive and not paused, or None."""
        live = [
            node
            for node in self.nodes.values()
            if node.components is not None and not node.is_paused(self.clock.monotonic())
        ]
        return self.rng.choice(live) if live else None

    def _is_finished(self, job_id: str) -> bool:
        zone = job_id.rpartition("-")[0]
        for node in self.nodes.values():
            if node.zone != zone or node.components is None:
                continue
            jobs = node.components.replica.jobs(zone)
            summary = jobs.summary(job_id) if jobs else None
            if summary is not None:
                self.history.final_jobs[job_id] = summary
                return summary["finished"]
        return False
