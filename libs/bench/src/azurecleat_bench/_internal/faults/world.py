"""Real instances without threads or sockets, stand-ins around them, and random faults.

Everything runs in one thread on a manual clock, so a seed always gives the same run.
"""

from __future__ import annotations

import json
import random
from typing import Any, NamedTuple

from azurecleat_daemon import (
    Bounds as SizeBounds,
)
from azurecleat_daemon import (
    Core,
    EntrySettings,
    RefusalError,
    Surroundings,
    Timing,
    wire_core,
)
from azurecleat_fakes import Faults, MemoryList, MemoryLog, StandInRunner, StandInWorker
from azurecleat_model import (
    Environment,
    ManualClock,
    Quota,
    RequestSpec,
    Resources,
    Team,
    generate_key,
    to_plain,
)
from azurecleat_model.exceptions import LogUnavailableError
from azurecleat_platform import Target, TargetKind

from azurecleat_bench._internal.faults.checker import Bounds
from azurecleat_bench._internal.faults.connections import (
    LOG,
    CutList,
    CutLog,
    Cuts,
    CutTarget,
    LocalNetwork,
)
from azurecleat_bench._internal.faults.history import (
    AcceptedJob,
    CallerResult,
    Death,
    Execution,
    LeavingSpell,
    LimitChange,
    ListCut,
    VersionSeen,
    Withdrawn,
    new_history,
)

ZONES = ("burnie", "hobart")
ENTRIES_PER_ZONE = 2
TARGETS_PER_ZONE = 3
TICK_S = 0.1
MAX_STALL_S = 2.0
STALL_CHANCE = 0.004
LONG_REQUEST_CHANCE = 0.1
SETTLE_S = 200.0
REQUEST_DEADLINE_S = 10.0
TIMING = Timing(
    lease_s=3.0,
    key_bound_s=5.0,
    log_read_lag_s=0.2,
    poll_s=0.2,
    status_s=0.5,
    remote_status_s=1.0,
    list_s=0.2,
)
BOUNDS = Bounds(key_s=TIMING.key_bound_s, leaving_s=3.0, stall_s=MAX_STALL_S)
OPEN_TEAM = "public"
LIMITS = {"crew": (6, 3), "telco": (4, 2)}


class Node:
    """One entry instance: its name, and its present incarnation if its process lives."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.core: Core | None = None
        self.incarnation = ""
        self.paused_until = 0.0
        self.is_stalled = False

    def is_paused(self, now: float) -> bool:
        """Tells whether the process does not run now."""
        return self.is_stalled or now < self.paused_until


class Key(NamedTuple):
    """A key that callers use."""

    team: str
    key_id: str
    token: str


class World:
    """Instances, stand-ins and faults.

    :param seed: Seed of all randomness.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.cuts = Cuts()
        self.history = new_history()
        self.log = MemoryLog()
        self.nodes = {
            f"{zone}-{i}": Node(f"{zone}-{i}", zone)
            for zone in ZONES
            for i in range(ENTRIES_PER_ZONE)
        }
        self.targets: dict[str, Any] = {}
        for zone in ZONES:
            self._add_targets(zone)
        self.list = MemoryList([target.target for target in self.targets.values()])
        self.keys: list[Key] = []
        self.faults = 0
        self._count = 0
        self._depth = 0
        self.stalls_on = False
        self._leaving: dict[str, float] = {}
        self._retries: list[tuple[bytes, str, Key]] = []

    # Running.

    def start(self) -> None:
        """Starts all instances, promotes the first document and waits for owners."""
        for node in self.nodes.values():
            self.restart(node)
        self.run_for(2.0)
        self._promote()
        self.run_for(8.0)
        self.stalls_on = True

    def run_for(self, seconds: float) -> None:
        """Lets all live instances step for some time."""
        ends_at = self.clock.monotonic() + seconds
        while self.clock.monotonic() < ends_at:
            self.clock.advance(TICK_S)
            for node in self.nodes.values():
                self._tick(node)

    def step(self) -> None:
        """Makes one random event, then lets time pass."""
        events = (
            (self._request, 30),
            (self._submit_job, 8),
            (self._cancel_job, 1),
            (self._cut, 3),
            (self._heal, 3),
            (self._kill, 1),
            (self._revive, 3),
            (self._pause, 2),
            (self._log_outage, 1),
            (self._lose_answers, 2),
            (self._give_key, 1),
            (self._withdraw_key, 1),
            (self._raise_limit, 1),
            (self._leave, 1),
            (self._come_back, 1),
            (self._fail_worker, 1),
            (self.forget_covered, 1),
        )
        self.rng.choices([e for e, _ in events], [w for _, w in events])[0]()
        if self.rng.random() < 0.4:
            self.run_for(self.rng.choice((TICK_S, TICK_S, 0.5, 2.0)))

    def settle(self) -> None:
        """Ends all faults and lets accepted work finish."""
        self.stalls_on = False
        self.cuts.heal()
        self.log.faults = Faults()
        for target in self.targets.values():
            target.faults = Faults()
        for name in list(self._leaving):
            self._return(name)
        for node in self.nodes.values():
            node.paused_until = 0.0
            if node.core is None:
                self.restart(node)
        unfinished = [job.job_id for job in self.history.jobs]
        ends_at = self.clock.monotonic() + SETTLE_S
        while unfinished and self.clock.monotonic() < ends_at:
            self.run_for(5.0)
            unfinished = [job_id for job_id in unfinished if not self._is_finished(job_id)]
        for target in self.targets.values():
            if isinstance(target, StandInWorker):
                _ = target.running

    def restart(self, node: Node) -> None:
        """Starts a new incarnation of an instance."""
        self._count += 1
        node.incarnation = f"{node.name}#{self._count}"
        node.is_stalled = False
        node.core = wire_core(
            self._settings(node),
            Surroundings(
                CutLog(self.log, node.name, self.cuts),
                CutList(self.list, node.name, self.cuts),
                lambda target: CutTarget(
                    self.targets[target.name], node.name, self.cuts, self._stall
                ),
                LocalNetwork(node.name, self.cuts, self._find, self.clock),
                self.clock,
                node.incarnation,
                threaded=False,
                sleep=lambda seconds: None,
                new_id=self._new_id,
            ),
        )
        node.core.membership.set_address(node.name)
        # Hints are sent by threads, which would make runs differ; they only save time.
        node.core.membership.spread_news = lambda zone="": None

    def _new_id(self) -> str:
        self._count += 1
        return f"{self._count:020d}"

    def _tick(self, node: Node) -> None:
        core = node.core
        if core is None or node.is_paused(self.clock.monotonic()):
            return
        try:
            core.replica.catch_up()
        except LogUnavailableError:
            pass
        try:
            core.partitions.set_targets(CutList(self.list, node.name, self.cuts).targets())
        except LogUnavailableError:
            core.partitions.keep_targets()
            self.history.list_cuts.append(ListCut(self.clock.monotonic(), node.zone))
        core.membership.step()
        core.partitions.step()
        for engine in core.partitions.engines.values():
            engine.step()
            for link in engine.links.values():
                link.exchange()
        core.router.borrow_limits()
        core.appender.step()
        core.snapshots.step()
        version = core.replica.fleet.configuration.version
        seen = VersionSeen(self.clock.monotonic(), node.incarnation, version, core.replica.is_ready)
        self.history.versions.append(seen)

    # Work.

    def _request(self) -> None:
        node = self._live_node()
        if node is None or not self.keys:
            return
        if self._retries and self.rng.random() < 0.3:
            body, key_name, key = self.rng.choice(self._retries)
        else:
            self._count += 1
            body, key = b"body-%d" % self._count, self.rng.choice(self.keys)
            key_name = "" if self.rng.random() < 0.6 else f"once-{self._count}"
        self.request(node, key, body, key_name)

    def request(self, node: Node, key: Key, body: bytes, key_name: str = "") -> CallerResult:
        """Sends one request through an instance and records its outcome."""
        assert node.core is not None
        at = self.clock.monotonic()
        outcome, code, answer = "done", "", b""
        try:
            is_open = key.team == OPEN_TEAM
            admit = node.core.admission
            team = admit.open_team(OPEN_TEAM) if is_open else admit.team(key.token)
            spec = RequestSpec(team, body, REQUEST_DEADLINE_S, not key_name, key_name)
            answer = node.core.router.run(spec)
        except RefusalError as refusal:
            outcome, code = refusal.ran.value, refusal.code
        repeatable = not key_name
        result = CallerResult(
            at, node.name, key.team, key.key_id, body, repeatable, outcome, code, answer
        )
        self.history.callers.append(result)
        if key_name and outcome != "done" and len(self._retries) < 20:
            self._retries.append((body, key_name, key))
        return result

    def _submit_job(self) -> None:
        node = self._live_node()
        if node is not None and self.keys:
            self.submit(
                node,
                self.rng.choice(self.keys),
                tasks=self.rng.choice((1, 2, 4)),
                run_s=self.rng.choice((0.5, 2.0, 6.0)),
                repeatable=self.rng.random() < 0.7,
                kind=self.rng.choice(("batch", "batch", "all-at-once")),
            )

    def submit(
        self,
        node: Node,
        key: Key,
        tasks: int,
        run_s: float,
        repeatable: bool,
        kind: str = "batch",
    ) -> None:
        """Submits a job through an instance and records it if it is accepted."""
        body = {
            "name": f"name-{self.rng.randrange(5)}",
            "kind": kind,
            "size": {"cpu_milli": 1000, "memory_mb": 1000},
            "tasks": tasks,
            "run_s": run_s,
            "repeatable": repeatable,
        }
        assert node.core is not None
        try:
            team = node.core.admission.team(key.token)
            job_id = node.core.router.submit(team, body)["job"]
        except RefusalError:
            return
        at = self.clock.monotonic()
        self.history.jobs.append(AcceptedJob(at, job_id, key.team, tasks, repeatable))

    def _cancel_job(self) -> None:
        node = self._live_node()
        if node is None or not self.history.jobs:
            return
        job = self.rng.choice(self.history.jobs)
        assert node.core is not None
        try:
            node.core.router.cancel(job.team, job.job_id)
        except RefusalError:
            return

    def _serve(self, runner: str, body: bytes) -> bytes:
        self.history.executions.append(Execution(self.clock.monotonic(), runner, body))
        if self.stalls_on and self._depth < 2 and self.rng.random() < LONG_REQUEST_CHANCE:
            # A request that takes long enough for other things to happen meanwhile.
            self._depth += 1
            for _ in range(self.rng.randrange(1, 4)):
                self.step()
            self._depth -= 1
        return b"checked: " + body

    # Faults.

    def _stall(self, name: str) -> None:
        """Pauses an instance between its last check and its send."""
        if not self.stalls_on or self._depth >= 2 or self.rng.random() >= STALL_CHANCE:
            return
        node = self.nodes[name]
        self.faults += 1
        self._depth += 1
        node.is_stalled = True
        self.run_for(self.rng.uniform(0.1, MAX_STALL_S))
        node.is_stalled = False
        self._depth -= 1

    def _cut(self) -> None:
        self.faults += 1
        node = self.rng.choice(list(self.nodes.values()))
        others = [LOG, *self.targets, *(n for n in self.nodes if n != node.name)]
        other = self.rng.choice(others)
        both = self.rng.random() < 0.6
        if both or self.rng.random() < 0.5:
            self.cuts.cut(node.name, other)
        if both or self.cuts.passes(node.name, other):
            self.cuts.cut(other, node.name)

    def _heal(self) -> None:
        self.cuts.heal()

    def _kill(self) -> None:
        node = self._live_node()
        if node is not None and self._depth == 0:
            self.faults += 1
            node.core = None
            self.history.deaths.append(Death(self.clock.monotonic(), node.name))

    def _revive(self) -> None:
        dead = [node for node in self.nodes.values() if node.core is None]
        if dead:
            self.restart(self.rng.choice(dead))

    def _pause(self) -> None:
        node = self._live_node()
        if node is not None and self._depth == 0:
            self.faults += 1
            node.paused_until = self.clock.monotonic() + self.rng.choice((1.0, 4.0, 10.0))

    def _log_outage(self) -> None:
        self.faults += 1
        self.log.faults = self.log.faults._replace(down=not self.log.faults.down)

    def _lose_answers(self) -> None:
        self.faults += 1
        if self.rng.random() < 0.5:
            self.log.faults = self.log.faults._replace(lose_answers=2)
        else:
            target = self.rng.choice(list(self.targets.values()))
            target.faults = target.faults._replace(lose_answers=2)

    def _fail_worker(self) -> None:
        workers = [t for t in self.targets.values() if isinstance(t, StandInWorker)]
        worker = self.rng.choice(workers)
        self.faults += 1
        failing = not worker.faults.fail_tasks
        worker.faults = worker.faults._replace(fail_tasks=failing)

    def _leave(self) -> None:
        staying = [name for name in self.targets if name not in self._leaving]
        if len(staying) > len(self.targets) - 2:
            self.faults += 1
            name = self.rng.choice(staying)
            self._leaving[name] = self.clock.monotonic()
            self._list()

    def _come_back(self) -> None:
        if self._leaving:
            self._return(self.rng.choice(sorted(self._leaving)))

    def _return(self, name: str) -> None:
        since = self._leaving.pop(name)
        self.history.leaving.append(LeavingSpell(name, since, self.clock.monotonic()))
        self._list()

    def _list(self) -> None:
        self.list.set_targets(
            [
                target.target._replace(leaving=name in self._leaving)
                for name, target in self.targets.items()
            ]
        )

    def forget_covered(self) -> None:
        """Forgets what snapshots cover, as retention does."""
        covered = [
            node.core.replica.snapshot_covers
            for node in self.nodes.values()
            if node.core is not None and node.core.replica.is_ready
        ]
        wanted = {"fleet", *(f"jobs/{zone}" for zone in ZONES)}
        offsets = {
            section: max((c.get(section, 0) for c in covered), default=0) for section in wanted
        }
        self.log.forget_before(min(offsets.values()))

    # Operators.

    def _give_key(self) -> None:
        self._count += 1
        team = self.rng.choice(sorted(LIMITS))
        token, key = generate_key(f"key-{self._count}")
        node = self._live_node()
        if node is None:
            return
        assert node.core is not None
        try:
            node.core.operators.give_key(team, key)
        except RefusalError:
            return
        self.keys.append(Key(team, key.id, token))

    def _withdraw_key(self) -> None:
        node = self._live_node()
        withdrawn = {w.key_id for w in self.history.withdrawn}
        left = [key for key in self.keys if key.key_id not in withdrawn]
        if node is None or len(left) < 3:
            return
        key = self.rng.choice(left)
        assert node.core is not None
        result = node.core.membership.withdraw(key.key_id)
        if not result.in_force:
            return
        at = self.clock.monotonic()
        holders = (node.name, *result.confirmed)
        self.history.withdrawn.append(Withdrawn(at, key.key_id, result.recorded, holders))

    def _raise_limit(self) -> None:
        node = self._live_node()
        if node is None:
            return
        assert node.core is not None
        shown = node.core.operators.show()
        limited = [t for t in shown["document"]["teams"] if t["name"] in LIMITS]
        for team in limited:
            if self.rng.random() < 0.5:
                team["limit"]["tasks"] += 1
                team["limit"]["requests"] += 1
        # The larger limit may be used as soon as it is in the log, before the answer is here.
        for team in limited:
            self._note_limit(team["name"], team["limit"]["tasks"], team["limit"]["requests"])
        try:
            node.core.operators.promote(json.dumps(shown["document"]), shown["version"])
        except RefusalError:
            return

    def _note_limit(self, team: str, tasks: int, requests: int) -> None:
        former = [c for c in self.history.limits if c.team == team]
        tasks = max([tasks, *(c.tasks for c in former)])
        requests = max([requests, *(c.requests for c in former)])
        at = self.clock.monotonic()
        self.history.limits.append(LimitChange(at, team, tasks, requests))

    # Set-up.

    def _promote(self) -> None:
        teams = []
        for name, (tasks, requests) in LIMITS.items():
            token, key = generate_key(f"{name}-first")
            self.keys.append(Key(name, key.id, token))
            limit = Quota(tasks=tasks, requests=requests)
            teams.append(Team(name, 1.0, limit, keys=(key,)))
            self._note_limit(name, tasks, requests)
        teams.append(Team(OPEN_TEAM, 1.0, open=True))
        node = next(iter(self.nodes.values()))
        assert node.core is not None
        document = json.dumps(to_plain(Environment("faults", tuple(teams))))
        node.core.operators.promote(document, 0)

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
            self.targets[name] = StandInWorker(worker, self.clock, self.history.observations)
        name = f"{zone}-runner"
        runner = Target(name, TargetKind.RUNNER, zone, "", f"{zone}-r", slots=2)
        self.targets[name] = StandInRunner(
            runner,
            self.clock,
            self.history.observations,
            lambda body, name=name: self._serve(name, body),
        )

    def _find(self, name: str) -> Node | None:
        node = self.nodes[name]
        if node.core is None:
            return None
        return node

    def _live_node(self) -> Node | None:
        live = [
            node
            for node in self.nodes.values()
            if node.core is not None and not node.is_paused(self.clock.monotonic())
        ]
        return self.rng.choice(live) if live else None

    def _is_finished(self, job_id: str) -> bool:
        zone = job_id.rpartition("-")[0]
        for node in self.nodes.values():
            if node.zone != zone or node.core is None:
                continue
            jobs = node.core.replica.jobs(zone)
            summary = jobs.summary(job_id) if jobs else None
            if summary is not None:
                self.history.final_jobs[job_id] = summary
                return summary["finished"]
        return False
