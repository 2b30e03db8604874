"""A real owner's term with stand-ins for its sessions and its progress log, on one thread."""

from __future__ import annotations

import io
from collections.abc import Callable, Iterable
from typing import Protocol

from azurecleat_base import ManualClock, Resources
from azurecleat_cluster import EventLog, Preferences
from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.features import NO_FEATURES, Features
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice import AdviceClient
from azurecleat_cluster._internal.owner.advice_queue import RequestState
from azurecleat_cluster._internal.owner.authority import Authority
from azurecleat_cluster._internal.owner.dispatch import Dispatcher
from azurecleat_cluster._internal.owner.model import Run, StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.start_attempts import StartOutcome
from azurecleat_cluster._internal.owner.start_horizon import StartHorizon
from azurecleat_cluster._internal.owner.term import OwnerTerm
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.ports import LogRecord, StartResult
from azurecleat_cluster.values import (
    Configuration,
    EndKind,
    JobSpec,
    Pool,
    Queue,
    RunEnd,
    RunStatus,
    TargetEntry,
    TargetReport,
    TargetState,
    TaskId,
    Team,
)

JOB = "0" * 16
QUEUE = Queue("q", "host", "/q/", "pool", attempts=3)
TEAM = Team("team", frozenset(("key",)), 10.0)
LEASE_S = 3.0
UNLIMITED_HORIZON = 1 << 40


class OneConfiguration:
    """Decoder of the only configuration."""

    def __init__(self, teams: Iterable[Team] = (TEAM,), queues: Iterable[Queue] = (QUEUE,)) -> None:
        self._teams, self._queues = {team.name: team for team in teams}, tuple(queues)

    def configuration(self, record: LogRecord) -> Configuration:
        return Configuration(1, self._queues, {"pool": Pool("pool")}, self._teams)

    def evacuated_zone(self, record: LogRecord) -> str | None:
        return record.key.removeprefix("evacuate/") if "/" in record.key else None


class StandInSession:
    """Session that records the commands of the term and sends nothing."""

    def __init__(self, target: TargetInfo, authority: Authority) -> None:
        self.target = target
        self.processed = 0
        self.acknowledged = 0
        self.is_started = False
        self.started: list[Run] = []
        self.stopped: list[Run] = []
        self._authority = authority
        self._renewed_at = float("-inf")

    @property
    def lease_end(self) -> float:
        return self._authority.lease_end(self._renewed_at)

    def start(self) -> None:
        self.is_started = True

    def stop(self) -> None:
        pass

    def join(self) -> None:
        pass

    def inherit_lease(self, reached_at: float) -> None:
        self._renewed_at = max(self._renewed_at, reached_at)

    def assume_max_lease(self) -> None:
        pass

    def acknowledge(self, number: int) -> None:
        self.acknowledged = max(self.acknowledged, number)

    def submit_start(self, run: Run, payload: str, ticket: str) -> None:
        self.started.append(run)

    def submit_stop(self, run: Run) -> None:
        self.stopped.append(run)

    def submit_throttle(self, run: Run, percent: int) -> None:
        pass


class StandInWriter:
    """Progress log of one term; :meth:`commit` appends what is queued."""

    def __init__(self, replica: JobReplica) -> None:
        self._replica = replica
        self._records: dict[str, Callable[[], bytes | None]] = {}
        self._callbacks: list[Callable[[], None]] = []

    def put(
        self,
        key: str,
        encode: Callable[[], bytes | None],
        on_committed: Callable[[], None] | None = None,
    ) -> None:
        self._records[key] = encode
        if on_committed is not None:
            self._callbacks.append(on_committed)

    def call_after_commit(self, on_committed: Callable[[], None]) -> None:
        self._callbacks.append(on_committed)

    def commit(self) -> None:
        queued, self._records = self._records, {}
        callbacks, self._callbacks = self._callbacks, []
        for key, encode in queued.items():
            self._replica.apply_progress(LogRecord(key, encode(), 0))
        for callback in callbacks:
            callback()


class AdviceRequests(Protocol):
    """The part of :class:`AdviceClient` that a dispatcher uses."""

    @property
    def general_worker_count(self) -> int: ...

    def state_of(self, step: StepInfo) -> RequestState: ...

    def accepts(self, cost_s: float) -> bool: ...

    def submit(self, step: StepInfo, targets: list[str], unasked_s: float = 0.0) -> None: ...

    def retry_overdue(self, now: float) -> None: ...


class TermHarness:
    """One term with its dispatcher. The replica stands for the log and outlives the term.

    :param targets: Entries of the targets that the previous owner used.
    :param horizon: Offset in the jobs stream up to which jobs may be started.
    :param advice: Stand-in for the client of the advice service; by default one without workers.
    :param features: The optional features of the term; by default none.
    :param teams: Accounts of the configuration.
    :param queues: Queues of the configuration.
    :param previous_owner_gone: Whether the previous owner released ownership or has ended.
    """

    def __init__(
        self,
        clock: ManualClock,
        replica: JobReplica,
        epoch: int = 1,
        targets: Iterable[TargetEntry] = (),
        advice: AdviceRequests | None = None,
        horizon: int = UNLIMITED_HORIZON,
        features: Features = NO_FEATURES,
        teams: Iterable[Team] = (TEAM,),
        queues: Iterable[Queue] = (QUEUE,),
        previous_owner_gone: bool = False,
    ) -> None:
        events = EventLog("test", io.StringIO())
        self.configuration = configuration = ConfigurationView(
            OneConfiguration(teams, queues), events
        )
        configuration.apply(LogRecord("config", b"x", 0))
        metrics, preferences = Metrics(), Preferences()
        self.clock, self.replica = clock, replica
        self.sessions: list[StandInSession] = []
        """All sessions of the term, oldest first."""
        self.writer = StandInWriter(replica)
        self.start_horizon = StartHorizon(epoch, lambda: horizon, lambda: 0.0, clock)
        self.start_horizon.commit(horizon)
        self.authority = Authority(epoch, LEASE_S, clock)
        self.authority.add_log_proof(clock.monotonic())
        for entry in targets:
            replica.apply_progress(LogRecord(records.TARGET + entry.id, encode_target(entry), 0))
        self.term = OwnerTerm(
            self.authority,
            replica,
            configuration,
            self.writer,
            self.start_horizon,
            self._make_session,
            preferences,
            clock,
            events,
            metrics,
            lambda reason: None,
            features,
        )
        self.term.take_over(replica.targets_in_use, previous_owner_gone)
        if advice is None:
            advice = AdviceClient(clock, events, metrics, lambda step, answer: None)
        self.dispatcher = Dispatcher(self.term, advice, preferences, clock, events, metrics)

    def _make_session(self, target: TargetInfo, observer: OwnerTerm) -> StandInSession:
        self.sessions.append(StandInSession(target, self.authority))
        return self.sessions[-1]

    def session(self, target: str) -> StandInSession:
        """Returns the current session with a target."""
        return self.term.sessions[target]

    def report(
        self,
        target: str,
        running: Iterable[RunStatus] = (),
        ended: Iterable[RunEnd] = (),
        started_at_ms: int = 1,
    ) -> None:
        """Lets a target answer a poll."""
        report = TargetReport(0.0, started_at_ms, tuple(running), tuple(ended))
        self.term.on_report(self.session(target), report, self.clock.monotonic())

    def answer_start(self, session: StandInSession) -> None:
        """Lets a target answer the oldest start that was sent to it."""
        result = StartResult(True, "", 0.0)
        self.term.on_start(session.started[0], StartOutcome(result, may_run=True))

    def dispatch(self) -> list[TaskId]:
        """Dispatches once and returns the tasks that were started."""
        before = {id(session): len(session.started) for session in self.sessions}
        self.dispatcher.dispatch(self.clock.monotonic())
        return [
            run.task for session in self.sessions for run in session.started[before[id(session)] :]
        ]


def submit(
    replica: JobReplica,
    spec: JobSpec,
    job: str = JOB,
    queue: Queue = QUEUE,
    offset: int = 0,
    team: str = "team",
) -> None:
    """Puts a job's submission into a replica."""
    value = records.encode_submission(records.Submission(job, team, queue, spec))
    replica.apply_job(LogRecord(records.SUBMISSION + job, value, offset))


def make_entry(name: str, started_at_ms: int = 1, address: str = "") -> TargetEntry:
    return TargetEntry(
        id=name,
        pool="pool",
        address=address or f"{name}:80",
        zone="z",
        state=TargetState.READY,
        started_at_ms=started_at_ms,
        capacity=Resources(64_000, 64_000, 0),
    )


def encode_target(entry: TargetEntry) -> bytes:
    """Encodes a target's record in the progress log."""
    return records.dump([entry.address, entry.pool, entry.started_at_ms])


def task(index: int, occurrence: int = 0, step: int = 0, job: str = JOB) -> TaskId:
    return TaskId(job, occurrence, step, index)


def running(task_id: TaskId, run: int = 1) -> RunStatus:
    return RunStatus(task_id, run, "", 10.0, 0.0)


def done(number: int, task_id: TaskId, run: int = 1) -> RunEnd:
    return RunEnd(number, task_id, run, EndKind.DONE, "")
