"""A partition's task manager with one fake worker, driven step by step in one thread."""

from __future__ import annotations

import random
from collections import Counter

from azurecleat_coordination import Appender, Backoff, ControlLease, JobState, Replica
from azurecleat_coordination.records import AcceptJob, Claim, Promote
from azurecleat_daemon._internal.metrics import Metrics
from azurecleat_daemon._internal.target_session import SessionSettings, TargetSession
from azurecleat_daemon._internal.task_manager import AttemptName, TaskManager
from azurecleat_fakes import FakeWorker, MemoryLog, Observation
from azurecleat_model import (
    Environment,
    Job,
    JobKind,
    JobSpec,
    ManualClock,
    Quota,
    Resources,
    TaskSize,
    Team,
    to_plain,
)
from azurecleat_model.exceptions import AppendUnknownError, OutcomeUnknownError
from azurecleat_platform import ControlReply, ControlRequest, Target, TargetKind, TaskStart

PARTITION = "hobart"
JOB_ID = "hobart-1"
TEAM = "crew"
EPOCH = 1
LEASE_S = 3.0
ENVIRONMENT = Environment("test", (Team(TEAM, 1.0, Quota(tasks=10)),))


class HeldConnection:
    """A connection to a worker that can hold a request back until after later requests.

    ``error`` is raised instead of sending a request.
    """

    def __init__(self, worker: FakeWorker) -> None:
        self._worker = worker
        self._held: ControlRequest | None = None
        self.holds_next = False
        self.error: Exception | None = None

    def control(self, request: ControlRequest) -> ControlReply:
        """Sends one control request, or holds it back without an answer."""
        if self.error is not None:
            raise self.error
        if self.holds_next:
            self.holds_next = False
            self._held = request
            raise OutcomeUnknownError("no answer in time", step="control", peer="w1")
        return self._worker.control(request)

    def deliver_held(self) -> None:
        """Delivers the request that was held back; its answer reaches nobody."""
        assert self._held is not None
        self._worker.control(self._held)

    def close(self) -> None:
        """Does nothing."""


class DroppingLog(MemoryLog):
    """A log that never receives the appends sent while ``drops``, and does not answer them."""

    drops = False

    def append(self, data: bytes) -> int:
        """Appends one entry, or drops it without an answer."""
        if self.drops:
            raise AppendUnknownError("no answer in time", step="log.append")
        return super().append(data)


class TaskManagerFixture:
    """The owner of a partition with one worker and one accepted job of one task.

    :param repeatable: Whether the job's task is repeatable.
    """

    def __init__(self, *, repeatable: bool = False, run_s: float = 60.0) -> None:
        self.clock = ManualClock()
        self.log = DroppingLog()
        self.replica = Replica(self.log, self.clock)
        backoff = Backoff(0.001, 0.001, random.Random(1))
        self.appender = Appender(self.log, self.replica, self.clock, "one", backoff)
        self.history: list[Observation] = []
        self._names = ["w1"]
        self._lease = ControlLease(self.clock, ("w1",), LEASE_S)
        self.worker = self._make_worker("w1")
        self.connection = HeldConnection(self.worker)
        self._commit_job(repeatable, run_s)
        self.tasks = TaskManager(
            PARTITION,
            EPOCH,
            ENVIRONMENT,
            self.replica,
            self.appender,
            self.clock,
            Metrics(),
            lambda: None,
        )
        self.session = self._make_session(self.worker, self.connection)
        self.tasks.set_team(ENVIRONMENT.teams[0], Quota(tasks=10))
        self.tasks.load()
        self.session.exchange()
        self.tasks.open()

    @property
    def state(self) -> JobState:
        """The recorded state of the job, while it is live."""
        return self.replica.jobs(PARTITION).live[JOB_ID]

    @property
    def summary(self) -> dict:
        """The recorded summary of the job."""
        return self.replica.jobs(PARTITION).summary(JOB_ID)

    @property
    def starts(self) -> Counter[tuple[str, int]]:
        """How often the worker started each task, over all its attempts."""
        started = (event.subject for event in self.history if event.event == "start")
        return Counter(AttemptName.parse(subject).key for subject in started)

    def schedule(self) -> None:
        """Decides, and appends once what has to be recorded."""
        self.clock.advance(0.6)
        self.tasks.step()
        self.appender.step()

    def run(self, rounds: int = 1) -> None:
        """Schedules, then exchanges commands and reports with the worker."""
        for _ in range(rounds):
            self.schedule()
            self.session.exchange()

    def add_worker(self) -> TargetSession:
        """Adds a worker that grants control; returns the session with it."""
        self._names.append(f"w{len(self._names) + 1}")
        self._lease.set_targets(tuple(self._names))
        worker = self._make_worker(self._names[-1])
        session = self._make_session(worker, HeldConnection(worker))
        session.exchange()
        return session

    def fill_worker(self) -> None:
        """Starts a task on the worker that leaves no room for another one."""
        start = TaskStart("hobart-0.0.0-1", Resources(1000, 1000, 0), 60.0)
        self.worker.control(ControlRequest(PARTITION, EPOCH, "one", LEASE_S, start=(start,)))

    def _make_worker(self, name: str) -> FakeWorker:
        capacity = Resources(1000, 1000, 0)
        target = Target(name, TargetKind.WORKER, "hobart", name, capacity=capacity)
        return FakeWorker(target, self.clock, self.history)

    def _make_session(self, worker: FakeWorker, connection: HeldConnection) -> TargetSession:
        settings = SessionSettings(PARTITION, EPOCH, "one", LEASE_S)
        return TargetSession(
            worker.target, connection, settings, self._lease, self.clock, self.tasks
        )

    def _commit_job(self, repeatable: bool, run_s: float) -> None:
        size = TaskSize(1000, 1000)
        spec = JobSpec("check", JobKind.BATCH, size, run_s=run_s, repeatable=repeatable)
        self.appender.commit(Promote(to_plain(ENVIRONMENT), 0))
        self.appender.commit(Claim(PARTITION, EPOCH, "one", "one", ("w1",)))
        self.appender.commit(AcceptJob(PARTITION, Job(JOB_ID, TEAM, spec, self.clock.wall())))
