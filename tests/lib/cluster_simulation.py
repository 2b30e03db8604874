"""Simulated deployment: instances that own the jobs in turn, a log, targets and a faulty network.

Everything runs on one thread with a manual clock. The seed determines all events.
"""

from __future__ import annotations

import heapq
import io
import itertools
import random
from collections.abc import Callable

from azurecleat_base import ManualClock, Resources
from azurecleat_base.exceptions import (
    FencedError,
    LogError,
    LogUnavailableError,
    NotRunError,
    OutcomeUnknownError,
)
from azurecleat_cluster import EventLog, Preferences
from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.features import NO_FEATURES, Features
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice import AdviceClient
from azurecleat_cluster._internal.owner.authority import Authority
from azurecleat_cluster._internal.owner.claim_order import node_of
from azurecleat_cluster._internal.owner.dispatch import Dispatcher
from azurecleat_cluster._internal.owner.model import Run, TargetInfo
from azurecleat_cluster._internal.owner.start_attempts import StartAttempts
from azurecleat_cluster._internal.owner.start_horizon import StartHorizon
from azurecleat_cluster._internal.owner.target_session import TargetClock
from azurecleat_cluster._internal.owner.term import OwnerTerm
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.ports import (
    JOBS,
    PROGRESS,
    LogPage,
    LogRecord,
    StartCommand,
    StartResult,
    Writer,
)
from azurecleat_cluster.values import (
    Configuration,
    JobSpec,
    JobState,
    Pool,
    Queue,
    Step,
    TargetEntry,
    TargetState,
    TaskId,
    Team,
)
from azurecleat_fakes import KeyedMemoryLog

from tests.lib.simulated_targets import ExecutionChecker, ExpectedStep, SimTarget, make_entry

STEP_S = 0.02
LEASE_S = 2.0
POLL_PERIOD_S = 0.2
CRASH_DELAY_S = 0.01
"""Time from the start of a deadly task until its target crashes."""

DOWN_S = 3.0
"""Time from a target's crash under a deadly task until its next incarnation."""

DIRECTORY_PERIOD_S = 0.4

TEAM_LIMIT = Resources(24_000, 0, 0)
"""Resource limit of the only team."""

QUEUE = Queue("q", "host", "/q/", "pool", attempts=3, stretch=1.5, objective_ms=250)


class _SilentEvents(EventLog):
    def __init__(self) -> None:
        super().__init__("sim", io.StringIO())

    def write(self, event, **fields) -> None:  # noqa: ANN001, ANN003
        pass


class NodeLog:
    """The log as seen by one node, which may be unable to reach it."""

    def __init__(self, log: KeyedMemoryLog) -> None:
        self._log = log
        self.is_unreachable = False

    def append(self, stream, records, timeout_s, writer=None) -> int:  # noqa: ANN001
        self._check()
        return self._log.append(stream, records, timeout_s, writer)

    def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        self._check()
        return self._log.read(stream, start, 0.0)

    def newest(self, stream: str) -> LogPage:
        self._check()
        return self._log.newest(stream)

    def _check(self) -> None:
        if self.is_unreachable:
            raise LogUnavailableError("log is unreachable", step="sim")


class SimWriter:
    """Progress writer of one term that appends at each step of the simulation."""

    def __init__(self, node: SimNode, epoch: int) -> None:
        self._node = node
        self._epoch = epoch
        self.start_horizon = StartHorizon(
            epoch, lambda: node.jobs.next_offset, lambda: 0.0, node.simulation.clock
        )
        self._sequence = 0
        self._records: dict[str, Callable] = {}
        self._committed: list[Callable] = []
        self._batch: tuple[list, list, int] | None = None

    def fence(self) -> None:
        self._node.log.append(PROGRESS, (), 1.0, Writer("owner", self._epoch, 0))

    def put(self, key: str, encode: Callable, committed: Callable | None = None) -> None:
        self._records[key] = encode
        if committed is not None:
            self._committed.append(committed)

    def call_after_commit(self, committed: Callable) -> None:
        self._committed.append(committed)

    def flush(self) -> None:
        if self._batch is None:
            batch = [(key, encode()) for key, encode in self._records.items()]
            horizon = self.start_horizon.propose()
            batch.append(self.start_horizon.encode(horizon))
            self._batch = (batch, self._committed, horizon)
            self._records, self._committed = {}, []
            self._sequence += 1
        batch, committed, horizon = self._batch
        now = self._node.simulation.clock.monotonic()
        try:
            writer = Writer("owner", self._epoch, self._sequence)
            offset = self._node.log.append(PROGRESS, batch, 1.0, writer)
        except FencedError as error:
            self._node.term.lose_ownership(str(error))
            return
        except LogError:
            return
        self._batch = None
        self.start_horizon.commit(horizon)
        self._node.term.authority.add_log_proof(now)
        for index, (key, value) in enumerate(batch):
            self._node.replica.apply_progress(LogRecord(key, value, offset + index))
        for call in committed:
            call()


class SimTargetSession:
    """Target session whose commands take time, get lost, or are executed late."""

    def __init__(self, node: SimNode, target: TargetInfo, term: OwnerTerm) -> None:
        self.target = target
        self.processed = 0
        self._node = node
        self._term = term
        self._clock = TargetClock()
        self._acknowledged = 0
        self._renewed_at = float("-inf")
        self._failures = 0
        self._polled_target: SimTarget | None = None
        """Incarnation that answered the last poll; None while there is no answer, or none came."""
        self.is_stopped = False

    @property
    def _target(self) -> SimTarget:
        """The current incarnation of the target's id."""
        return self._node.simulation.targets_by_id[self.target.id]

    @property
    def lease_end(self) -> float:
        return self._term.authority.lease_end(self._renewed_at)

    def start(self) -> None:
        self._node.simulation.schedule(0.0, self._poll, self._node)

    def stop(self) -> None:
        self.is_stopped = True

    def join(self) -> None:
        pass

    def inherit_lease(self, reached_at: float) -> None:
        self._renewed_at = max(self._renewed_at, reached_at)

    def assume_max_lease(self) -> None:
        pass  # All incarnations of a target share one clock here.

    def acknowledge(self, number: int) -> None:
        self._acknowledged = max(self._acknowledged, number)

    def submit_start(self, run: Run, payload: str, ticket: str) -> None:
        self._node.simulation.schedule(0.0, lambda: self._send_start(run), self._node)

    def submit_stop(self, run: Run) -> None:
        self._node.simulation.schedule(0.0, lambda: self._send_stop(run), self._node)

    def submit_throttle(self, run: Run, percent: int) -> None:
        pass

    def _lease(self, now: float) -> int | None:
        until_ms = self._clock.until_ms(now, self._term.authority.lease_s)
        if until_ms is not None:
            self._renewed_at = now
        return until_ms

    def _poll(self) -> None:
        simulation = self._node.simulation
        if self.is_stopped or self._term.authority.lost_reason:
            return
        simulation.schedule(POLL_PERIOD_S, self._poll, self._node)
        if not self._term.authority.may_act():
            return
        now = simulation.clock.monotonic()
        incarnation = self._target
        is_same_incarnation = self._polled_target is incarnation and not self._failures
        self._polled_target = None
        until_ms = self._lease(now) if is_same_incarnation else None
        arguments = (
            self._term.authority.epoch,
            self._acknowledged if is_same_incarnation else 0,
            until_ms,
        )

        def reply(report) -> None:  # noqa: ANN001
            self._failures = 0
            self._polled_target = incarnation
            self._clock.note(report.clock_ms, simulation.clock.monotonic())
            self._term.on_report(self, report, now)

        def fail(error) -> None:  # noqa: ANN001
            if isinstance(error, FencedError):
                self._term.on_fenced(self, error.epoch)
                return
            self._failures += 1
            self._term.on_poll_failed(self)
            if self._failures >= 2:
                self._term.on_unresponsive(self, error)

        simulation.call(self, lambda at: incarnation.poll(*arguments, at), reply, fail)

    def _send_start(self, run: Run) -> None:
        simulation, term = self._node.simulation, self._term
        now = simulation.clock.monotonic()
        until_ms = self._lease(now) if term.authority.may_act() and not self.is_stopped else None
        if until_ms is None:
            term.on_start_failed(run, NotRunError("no right to act", step="sim"), may_run=False)
            return
        run.valid_until = term.authority.lease_end(now)
        if not term.may_start(run):
            return
        command = StartCommand(run.task, run.number, "", until_ms, term.authority.epoch)
        self._attempt_start(run, command, StartAttempts(), simulation.start_attempts)

    def _attempt_start(
        self, run: Run, command: StartCommand, attempts: StartAttempts, attempts_left: int
    ) -> None:
        simulation, term = self._node.simulation, self._term

        def fail(error) -> None:  # noqa: ANN001
            if isinstance(error, FencedError):
                term.on_fenced(self, error.epoch)
                return
            attempts.note_unanswered(error)
            attempt = simulation.start_attempts - attempts_left + 1
            term.on_start_unanswered(run, attempt, error)
            if attempts_left > 1 and term.authority.may_act():
                self._attempt_start(run, command, attempts, attempts_left - 1)
            else:
                term.on_start_failed(run, error, may_run=True)

        def reply(result: StartResult) -> None:
            term.on_start(run, attempts.outcome_of(result))

        simulation.call(self, lambda at: self._target.start(command, at), reply, fail)

    def _send_stop(self, run: Run) -> None:
        simulation, term = self._node.simulation, self._term
        if self.is_stopped or run.key not in self.target.runs:
            return

        def fail(error) -> None:  # noqa: ANN001
            if isinstance(error, FencedError):
                term.on_fenced(self, error.epoch)
            else:
                simulation.schedule(0.3, lambda: self._send_stop(run), self._node)

        epoch = term.authority.epoch
        simulation.call(
            self,
            lambda at: self._target.stop(run.task, run.number, epoch, at),
            lambda _: term.on_stop(run),
            fail,
        )


class SimNode:
    """One instance: replicas of the log's streams, and a term while the instance is the owner."""

    def __init__(self, simulation: Simulation, name: str) -> None:
        self.simulation = simulation
        self.name = name
        self._incarnation = 0
        self.log = NodeLog(simulation.log)
        self.paused_until = 0.0
        self.unreachable_targets: set[str] = set()
        self.events = _SilentEvents()
        self.metrics = Metrics()
        self._load()
        self.configuration = ConfigurationView(simulation, self.events)
        self.configuration.apply(LogRecord("config", b"x", 0))
        self.term: OwnerTerm | None = None
        self.writer: SimWriter | None = None
        self._dispatcher: Dispatcher | None = None
        self._directory_polled_at = float("-inf")

    @property
    def is_paused(self) -> bool:
        return self.simulation.clock.monotonic() < self.paused_until

    @property
    def instance(self) -> str:
        """Id of this incarnation of the instance."""
        return f"{self.name}#{self._incarnation}"

    def _load(self) -> None:
        """Starts to follow the log, as a process does when it starts."""
        clock = self.simulation.clock
        self.replica = JobReplica()
        self.jobs = Follower(self.log, JOBS, self.replica.apply_job, clock, self.events)
        self.progress = Follower(
            self.log, PROGRESS, self.replica.apply_progress, clock, self.events
        )

    def step(self) -> None:
        if self.is_paused:
            return
        try:
            self.jobs.poll()
            if self.term is None:
                self.progress.poll()
        except LogError:
            pass
        if self.term is None:
            return
        self.writer.flush()
        term = self.term
        self._poll_directory(term)
        if term.authority.lost_reason:
            self.end_term()
        elif term.authority.may_act():
            self.simulation.dispatch(self._dispatcher)

    def _poll_directory(self, term: OwnerTerm) -> None:
        now = self.simulation.clock.monotonic()
        if self.simulation.has_directory and now - self._directory_polled_at >= DIRECTORY_PERIOD_S:
            self._directory_polled_at = now
            ended = term.known_incarnations() - self.simulation.live_incarnations()
            term.on_incarnations_ended(ended)

    def take_over(self) -> None:
        """Claims the next epoch and serves it if this claim is the first of its epoch."""
        if self.term is not None or self.is_paused:
            return
        try:
            self.jobs.poll()
            previous = self.replica.claim
            claim = records.Claim(previous.epoch + 1, self.instance, "")
            self.log.append(JOBS, [(records.claim_key(claim), records.encode_claim(claim))], 1.0)
            self.jobs.catch_up()
            if self.replica.claim != claim:
                return
            is_restarted = previous.instance != self.instance and (
                node_of(previous.instance) == self.name
            )
            self._begin(claim.epoch, previous.released or is_restarted)
        except (LogError, FencedError):
            return

    def release(self) -> None:
        """Gives up ownership, as a process does that is stopped."""
        epoch = self.term.authority.epoch
        self.term.stop()
        self.writer.flush()
        self.end_term()
        try:
            self.log.append(JOBS, [(f"{records.RELEASE}{epoch}", b"1")], 1.0)
        except LogError:
            return

    def restart(self) -> None:
        """Ends the process without notice and starts its next incarnation."""
        if self.term is not None:
            self.end_term()
        self._incarnation += 1
        self._load()

    def _begin(self, epoch: int, previous_owner_gone: bool) -> None:
        authority = Authority(epoch, LEASE_S, self.simulation.clock)
        self.writer = SimWriter(self, epoch)
        self.writer.fence()
        authority.add_log_proof(self.simulation.clock.monotonic())
        self.jobs.catch_up()
        self.progress.catch_up()
        preferences = Preferences()
        term = OwnerTerm(
            authority,
            self.replica,
            self.configuration,
            self.writer,
            self.writer.start_horizon,
            lambda target, observer: SimTargetSession(self, target, observer),
            preferences,
            self.simulation.clock,
            self.events,
            self.metrics,
            lambda reason: None,
            self.simulation.features,
        )
        self.term = term
        self._listener = lambda record: term.on_job_record(record.key)
        self.replica.subscribe(self._listener)
        previous_targets = self.replica.targets_in_use
        term.take_over(previous_targets, previous_owner_gone)
        for entry in self.simulation.registry:
            term.on_target_entry(entry)
        for name in previous_targets:
            if name in self.simulation.targets_by_id:
                term.add_previous_target(
                    self.simulation.targets_by_id[name].entry._replace(state=TargetState.DRAINING)
                )
        advice = AdviceClient(
            self.simulation.clock, self.events, self.metrics, lambda step, answer: None
        )
        self._dispatcher = Dispatcher(
            term, advice, preferences, self.simulation.clock, self.events, self.metrics
        )

    def end_term(self) -> None:
        self.replica.unsubscribe(self._listener)
        for session in self.term.sessions.values():
            session.stop()
        self.term = None


class Simulation:
    """The whole deployment. It also acts as the decoder of its only configuration.

    :param max_task_s: Maximum of a step's typical task duration. A single task may take up to 1.4
        times as long as is typical for its step.
    :param start_attempts: How often a start is sent while no answer comes.
    :param features: The optional features of the owners.
    """

    def __init__(
        self,
        seed: int,
        nodes: int = 3,
        targets: int = 6,
        max_task_s: float = 1.5,
        start_attempts: int = 1,
        features: Features = NO_FEATURES,
    ) -> None:
        self.features = features
        self.max_task_s = max_task_s
        self.start_attempts = start_attempts
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.log = KeyedMemoryLog()
        self.checker = ExecutionChecker()
        self.checker.limits["team"] = TEAM_LIMIT
        self.loss_rate = 0.0
        self.answer_loss_rate = 0.0
        """Fraction of the commands that are executed at once and whose answer is lost."""
        self.completed_tasks: set = set()
        self.deadly_tasks: set[TaskId] = set()
        """Tasks that crash each target that starts them."""
        self.has_directory = False
        """Whether owners poll a directory of the target incarnations that exist."""
        self._scheduled: list = []
        self._sequence = itertools.count()
        self._durations: dict = {}
        self.targets_by_id: dict[str, SimTarget] = {}
        self.targets = [self._make_target(number, 0) for number in range(targets)]
        self.registry = [target.entry for target in self.targets]
        """Registry entry of each target, which is outdated for a while after a restart."""
        self.nodes = [SimNode(self, f"n{number}") for number in range(nodes)]

    def configuration(self, record: LogRecord) -> Configuration:
        team = Team("team", frozenset(("key",)), 10.0, TEAM_LIMIT)
        return Configuration(1, (QUEUE,), {"pool": Pool("pool")}, {"team": team})

    def evacuated_zone(self, record: LogRecord) -> str | None:
        return record.key.removeprefix("evacuate/") if "/" in record.key else None

    def set_durations(self, seconds: float) -> None:
        """Makes all tasks of the present targets take equally long."""
        for target in self.targets:
            target.duration = lambda task: seconds

    def submit(
        self,
        name: str,
        tasks: int = 0,
        speculative: bool = False,
        checkpointing: bool = False,
        queue: Queue = QUEUE,
    ) -> None:
        """Submits a job.

        :param tasks: Number of tasks of its only step; 0 for one to three steps of random sizes.
        :param speculative: Whether tasks may have several runs; only for random sizes.
        :param checkpointing: Whether tasks save checkpoints; only for random sizes.
        """
        if tasks:
            self._submit_steps(name, [Step(count=tasks, need=Resources(1000, 1000, 0))], queue)
            return
        steps = []
        for number in range(self.rng.randint(1, 3)):
            steps.append(
                Step(
                    count=self.rng.randint(1, 5),
                    need=Resources(self.rng.choice((1000, 2000, 4000)), 1000, 0),
                    depends_on=(number - 1,) if number else (),
                    speculative=speculative,
                    checkpointing=checkpointing,
                )
            )
        self._submit_steps(name, steps, queue)

    def _submit_steps(self, name: str, steps: list[Step], queue: Queue) -> None:
        spec = JobSpec("payload", tuple(steps))
        for number, step in enumerate(steps):
            self.checker.expected_steps[name, number] = ExpectedStep(step, "team", queue.attempts)
        submission = records.Submission(name, "team", queue, spec)
        self.log.append(
            JOBS, [(records.SUBMISSION + name, records.encode_submission(submission))], 1.0
        )

    def schedule(
        self, delay_s: float, call: Callable[[], None], node: SimNode | None = None
    ) -> None:
        """Schedules a call. If the node is paused at that time, the call waits until it resumes."""
        at = self.clock.monotonic() + delay_s
        heapq.heappush(self._scheduled, (at, next(self._sequence), call, node))

    def call(
        self, session: SimTargetSession, execute: Callable, reply: Callable, fail: Callable
    ) -> None:
        """Delivers a command to a target and its answer back to the session, with network faults.

        A lost command fails at the sender after 0.3 s, but still reaches the target after 0.5 to
        4 s. A command whose answer is lost fails at the sender in the same way.
        """
        node, target = session._node, session._target
        if target.id in node.unreachable_targets:
            self.schedule(0.3, lambda: fail(OutcomeUnknownError("cut", step="sim")), node)
            return
        is_late = self.rng.random() < self.loss_rate
        delay_s = self.rng.uniform(0.5, 4.0) if is_late else self.rng.uniform(0.0, 0.02)
        is_lost = is_late or (
            self.answer_loss_rate > 0.0 and self.rng.random() < self.answer_loss_rate
        )

        def arrive() -> None:
            try:
                result = execute(self.clock.monotonic())
            except (FencedError, OutcomeUnknownError) as error:
                if not is_lost:
                    self.schedule(0.01, lambda error=error: fail(error), node)
                return
            if not is_lost:
                self.schedule(self.rng.uniform(0.0, 0.02), lambda: reply(result), node)

        self.schedule(delay_s, arrive)
        if is_lost:
            self.schedule(0.3, lambda: fail(OutcomeUnknownError("lost", step="sim")), node)

    def dispatch(self, dispatcher: Dispatcher) -> None:
        """Lets an owner place tasks. Tests replace this method to inject wrong decisions."""
        dispatcher.dispatch(self.clock.monotonic())

    def add_targets(self, count: int) -> list[SimTarget]:
        """Adds targets that register with the present owners."""
        first = len(self.targets)
        for number in range(first, first + count):
            target = self._make_target(number, 0)
            self.targets.append(target)
            self.registry.append(target.entry)
            self._announce(target)
        return self.targets[first:]

    def crash_target(self, number: int) -> None:
        """Replaces a target by a new incarnation with another id at the same address."""
        old = self.targets[number]
        old.crash()
        incarnation = old.entry.started_at_ms - 999
        self.targets[number] = self._make_target(number, incarnation)
        self._announce(self.targets[number])

    def _on_started(self, target: SimTarget, task: TaskId) -> None:
        if task in self.deadly_tasks:
            self.checker.on_deadly_start(target, task, self.clock.monotonic())
            self.schedule(CRASH_DELAY_S, lambda: self._crash_under_task(target))

    def _crash_under_task(self, target: SimTarget) -> None:
        """Lets a target crash; its next incarnation starts after ``DOWN_S``."""
        if target in self.targets and target.is_up:
            target.crash()
            number = self.targets.index(target)
            self.schedule(DOWN_S, lambda: self._restart_crashed(number, target))

    def _restart_crashed(self, number: int, target: SimTarget) -> None:
        if self.targets[number] is target:
            self.crash_target(number)

    def live_incarnations(self) -> frozenset[str]:
        """Returns the ids of the target incarnations that are up, as the directory lists them."""
        return frozenset(target.id for target in self.targets if target.is_up)

    def restart_with_same_id(self, number: int, notice_s: float) -> None:
        """Restarts a target under the same id; owners are notified after ``notice_s`` seconds."""
        old = self.targets[number]
        old.crash()
        started_at_ms = old.entry.started_at_ms + 1
        entry = old.entry._replace(started_at_ms=started_at_ms)
        self.targets[number] = new = self._make_incarnation(entry)
        self.schedule(notice_s, lambda: self._announce(new))

    def _announce(self, target: SimTarget) -> None:
        if target not in self.targets:
            return  # It has ended before its entry was written.
        self.registry[self.targets.index(target)] = target.entry
        for node in self.nodes:
            if node.term is not None:
                node.term.on_target_entry(target.entry)

    def run(self, seconds: float) -> None:
        """Simulates a number of seconds."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.clock.advance(STEP_S)
            self._deliver()
            for target in self.targets:
                if target.is_up:
                    target.advance(self.clock.monotonic())
            for node in self.nodes:
                node.step()

    def heal(self) -> None:
        """Ends all faults."""
        self.loss_rate = self.answer_loss_rate = 0.0
        self.log.down = False
        for node in self.nodes:
            node.paused_until = 0.0
            node.log.is_unreachable = False
            node.unreachable_targets.clear()

    def is_settled(self, name: str) -> bool:
        """Returns whether the owner shows a job as completed or failed."""
        for node in self.nodes:
            if node.term is not None:
                state = node.replica.state(name)
                return state in (JobState.COMPLETED, JobState.FAILED)
        return False

    def _deliver(self) -> None:
        now = self.clock.monotonic()
        postponed = []
        while self._scheduled and self._scheduled[0][0] <= now:
            at, number, call, node = heapq.heappop(self._scheduled)
            if node is not None and node.is_paused:
                postponed.append((node.paused_until, number, call, node))
            else:
                call()
        for entry in postponed:
            heapq.heappush(self._scheduled, entry)

    def _make_target(self, number: int, incarnation: int) -> SimTarget:
        return self._make_incarnation(make_entry(number, incarnation))

    def _make_incarnation(self, entry: TargetEntry) -> SimTarget:
        target = SimTarget(
            entry,
            self.checker,
            self.rng,
            rate=self.rng.uniform(0.98, 1.0),
            completed_tasks=self.completed_tasks,
            duration=self._duration,
        )
        target.on_started = lambda task: self._on_started(target, task)
        self.targets_by_id[target.id] = target
        return target

    def _duration(self, task) -> float:  # noqa: ANN001
        """Returns the duration of a task; tasks of one step have similar durations."""
        step = (task.job, task.step)
        if step not in self._durations:
            self._durations[step] = self.rng.uniform(0.1 * self.max_task_s, self.max_task_s)
        if task not in self._durations:
            self._durations[task] = self._durations[step] * self.rng.uniform(0.7, 1.4)
        return self._durations[task]
