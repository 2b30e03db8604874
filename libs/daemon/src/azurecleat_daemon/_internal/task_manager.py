"""Scheduling of a partition's tasks: from accepted jobs to results recorded in the log.

A result is acknowledged to its worker only after it is in the log, so a new owner either reads
it there or gets it from the worker again. The start of a task that is not repeatable is recorded
in the log before it is sent, so that no owner starts the task twice.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from typing import NamedTuple

from azurecleat_coordination import Appender, ApplyResult, JobState, Replica, to_ranges
from azurecleat_coordination.records import BeginTask, EndTasks
from azurecleat_model import Clock, Environment, JobKind, Quota, Team
from azurecleat_model.events import TARGET_SUSPECT, log_event
from azurecleat_model.exceptions import AppendUnknownError, LogError
from azurecleat_platform import EndedTask, RunningTask, StopMode, TaskStart, TaskStop
from azurecleat_policy import (
    AdoptedTask,
    Expire,
    LimitNeed,
    Reclaim,
    Refused,
    Scheduler,
    Start,
    TaskResult,
    TeamPolicy,
    Wait,
    WorkerPolicy,
)

from azurecleat_daemon._internal.metrics import Metrics
from azurecleat_daemon._internal.target_session import TargetSession

RESULT_FLUSH_S = 0.5
RESULT_DEADLINE_S = 30.0
MAX_STARTS_PER_STEP = 200
SERVICE_RUN_S = 1e9
"""Run time sent to workers for a service, which has no end of its own."""

RECORD_FIELDS = {
    TaskResult.DONE: "done",
    TaskResult.FAILED: "failed",
    TaskResult.LOST: "unknown",
}
"""Fields of :class:`EndTasks` that hold the tasks with each final result."""


class AttemptName(NamedTuple):
    """Name by which workers know one attempt of a task.

    Each attempt has its own name, so that a late report of an earlier attempt, from the same or
    another worker, is never taken for a report of the current one.
    """

    job_id: str
    index: int
    attempt: str

    def __str__(self) -> str:
        return f"{self.job_id}.{self.index}.{self.attempt}"

    @staticmethod
    def parse(text: str) -> AttemptName:
        """Parses a name reported by a worker."""
        job_id, index, attempt = text.rsplit(".", 2)
        return AttemptName(job_id, int(index), attempt)

    @property
    def key(self) -> tuple[str, int]:
        return (self.job_id, self.index)


class TaskManager:
    """Schedules the tasks of a partition while this instance owns it.

    :param partition: Name of the partition.
    :param epoch: Epoch of the ownership.
    :param wake: Called to request a step before the next period.
    """

    def __init__(
        self,
        partition: str,
        epoch: int,
        environment: Environment,
        replica: Replica,
        appender: Appender,
        clock: Clock,
        metrics: Metrics,
        wake: Callable[[], None],
    ) -> None:
        self._partition = partition
        self._epoch = epoch
        self._replica = replica
        self._appender = appender
        self._clock = clock
        self._metrics = metrics
        self._wake = wake
        self._lock = threading.RLock()
        self._scheduler = Scheduler(environment.scheduling)
        self._sessions: dict[str, TargetSession] = {}
        self._results: dict[str, dict[str, set[int]]] = {}
        self._unacknowledged: dict[tuple[str, int], tuple[str, TargetSession]] = {}
        self._current_attempts: dict[tuple[str, int], AttemptName] = {}
        self._attempt_count = 0
        self._begun_unsent: set[tuple[str, int]] = set()
        self._begin_unknown: set[tuple[str, int]] = set()
        self._last_running: dict[str, set[str]] = {}
        self._jobs = replica.jobs(partition)
        self._changed_jobs: deque[str] = deque()
        self._last_flush_at = clock.monotonic()
        self._is_open = False

    @property
    def lock(self) -> threading.RLock:
        return self._lock

    @property
    def scheduler(self) -> Scheduler:
        return self._scheduler

    @property
    def follows_replica(self) -> bool:
        """Whether the replica still updates the jobs scheduled here.

        It does not once it has fallen behind the log and loads the partition from a snapshot.
        """
        return self._replica.jobs(self._partition) is self._jobs

    def load(self) -> None:
        """Queues the live jobs of the partition."""
        with self._replica.lock, self._lock:
            assert self._jobs is not None
            self._changed_jobs = self._jobs.subscribe()
            for state in self._jobs.live.values():
                self._queue_job(state)

    def open(self) -> None:
        """Starts scheduling; to be called once each worker has answered or its lease has lapsed."""
        with self._replica.lock, self._lock:
            assert self._jobs is not None
            for state in list(self._jobs.live.values()):
                self._give_up_begun(state)
            self._is_open = True

    def close(self) -> None:
        """Stops following the partition's jobs."""
        self._is_open = False
        if self._jobs is not None:
            self._jobs.unsubscribe(self._changed_jobs)

    def set_team(self, team: Team, allotted: Quota) -> None:
        """Sets a team's share and the limit allotted to this partition."""
        policy = TeamPolicy(team.name, team.share, allotted, team.queue_limit, team.limit)
        with self._lock:
            self._scheduler.set_team(policy)

    def remove_teams_except(self, names: set[str]) -> None:
        """Removes the teams that are no longer in the configuration."""
        with self._lock:
            for name in sorted(set(self._scheduler.teams) - names):
                self._scheduler.remove_team(name)

    def team_usage(self, name: str) -> Quota:
        """Returns what a team has running here."""
        with self._lock:
            team = self._scheduler.teams.get(name)
            return team.used if team else Quota(0, 0, 0, 0, 0)

    def blocked_by_limit(self) -> dict[str, LimitNeed]:
        """Returns the teams whose limit blocks a task, and what their oldest blocked job needs."""
        with self._lock:
            return self._scheduler.blocked_by_limit(self._clock.monotonic())

    def check(self, job) -> Refused | None:
        """Returns why a job would be refused, or None if it would be accepted."""
        with self._lock:
            return self._scheduler.check(job)

    def why(self, job_id: str) -> Wait | None:
        """Returns what a job waits for."""
        with self._lock:
            return self._scheduler.explain_wait(job_id, self._clock.monotonic())

    def impossible_under(self, proposed: Environment) -> list[tuple[str, Refused]]:
        """Returns the queued jobs that could never run under a proposed environment."""
        limits = {team.name: team.limit for team in proposed.teams}
        with self._lock:
            return self._scheduler.unschedulable_jobs(limits)

    def step(self) -> None:
        """Applies changes in the log, schedules tasks, queues commands and records results."""
        with self._replica.lock, self._lock:
            self._apply_job_changes()
        if self._is_open:
            self._decide()
        now = self._clock.monotonic()
        if now - self._last_flush_at >= RESULT_FLUSH_S:
            self._last_flush_at = now
            self.flush()

    def flush(self, deadline_s: float = RESULT_DEADLINE_S) -> list[Future[ApplyResult]]:
        """Submits buffered results to the log."""
        with self._lock:
            batch, self._results = self._results, {}
        futures = []
        for job_id, results in batch.items():
            ranges = {name: to_ranges(indexes) for name, indexes in results.items()}
            event = EndTasks(self._partition, self._epoch, job_id, **ranges)
            future = self._appender.submit(event, deadline_s)
            future.add_done_callback(
                lambda done, job_id=job_id, results=results: self._on_recorded(
                    done, job_id, results
                )
            )
            futures.append(future)
        return futures

    # Reports of sessions.

    def on_granted(self, session: TargetSession) -> None:
        """Adds a worker that granted control to this owner."""
        with self._lock:
            target = session.target
            self._sessions[target.name] = session
            self._scheduler.add_worker(WorkerPolicy(target.name, target.rack, target.capacity))
            self._scheduler.set_draining(target.name, target.leaving)
        self._wake()

    def on_target_updated(self, session: TargetSession) -> None:
        """Drains a worker that the instance list shows as leaving."""
        with self._lock:
            if session.target.name in self._scheduler.workers:
                is_closed = session.target.leaving or session.is_unresponsive
                self._scheduler.set_draining(session.target.name, is_closed)
                if is_closed:
                    self._cancel_unsent_starts(session)

    def on_running(
        self, session: TargetSession, running: tuple[RunningTask, ...], sent_at: float
    ) -> None:
        """Reconciles the tasks that a worker runs with those that it should run."""
        with self._lock:
            names = {task.task for task in running}
            missing = self._last_running.get(session.target.name, set()) - names
            self._last_running[session.target.name] = names
            for task in sorted(missing):
                self._on_missing(session, task)
            for task in running:
                self._on_running_task(session, task)

    def on_unchanged(self, session: TargetSession, sent_at: float) -> None:
        """Does nothing: the last report was processed."""

    def on_ended(self, session: TargetSession, ended: tuple[EndedTask, ...]) -> None:
        """Processes attempts that ended."""
        with self._lock:
            for end in ended:
                self._on_attempt_ended(session, end)
        self._wake()

    def on_refused(self, session: TargetSession, tasks: tuple[str, ...]) -> None:
        """Requeues tasks whose start the worker refused; none of them was run."""
        self._metrics.retries.labels("worker.start", "refused").inc(len(tasks))
        with self._lock:
            for task in tasks:
                self._on_not_started(AttemptName.parse(task))

    def on_start_unknown(self, session: TargetSession, tasks: tuple[str, ...]) -> None:
        """Requeues tasks that may have been run; those not repeatable end as lost."""
        self._metrics.retries.labels("worker.start", "unknown").inc(len(tasks))
        with self._lock:
            for task in tasks:
                name = AttemptName.parse(task)
                if self._current_attempts.get(name.key) == name:
                    self._finish(*name.key, TaskResult.LOST)

    def on_unresponsive(self, session: TargetSession) -> None:
        """Starts nothing on a silent worker, and requeues what was not sent to it yet."""
        with self._lock:
            if session.target.name in self._scheduler.workers:
                self._scheduler.set_draining(session.target.name, True)
                self._cancel_unsent_starts(session)
        self._wake()

    def on_lost(self, session: TargetSession) -> None:
        """Requeues the tasks of a worker whose lease lapsed; those not repeatable end as lost."""
        name = session.target.name
        with self._lock:
            self._sessions.pop(name, None)
            self._last_running.pop(name, None)
            for ended in self._scheduler.remove_worker(name, self._clock.monotonic()):
                self._current_attempts.pop((ended.job_id, ended.index), None)
                self._metrics.retries.labels("worker.lease", "lapsed").inc()
                if ended.final is not None:
                    self._buffer_final_result(ended.job_id, ended.index, ended.final)
        self._wake()

    # Steps.

    def _queue_job(self, state: JobState) -> None:
        job = state.job
        waiting = [i for i in range(job.spec.tasks) if not state.has_ended(i)]
        if job.team not in self._scheduler.teams:
            self._scheduler.set_team(TeamPolicy(job.team, 1.0, Quota(0, 0, 0, 0, 0), 1))
        # The log holds wall-clock times; deadlines here are on the owner's monotonic clock.
        age_s = max(0.0, self._clock.wall() - job.submitted_at)
        monotonic_job = job._replace(submitted_at=self._clock.monotonic() - age_s)
        self._scheduler.submit(monotonic_job, waiting)

    def _give_up_begun(self, state: JobState) -> None:
        """Records begun tasks that no worker runs as lost.

        Such a task may have run already and must not run again.
        """
        job_id = state.job.job_id
        queued = self._scheduler.jobs.get(job_id)
        if queued is None:
            return
        for index in sorted(state.begun):
            if index not in queued.running and not state.has_ended(index):
                self._scheduler.drop_waiting(job_id, index)
                self._buffer_final_result(job_id, index, TaskResult.LOST)

    def _apply_job_changes(self) -> None:
        assert self._jobs is not None
        while self._changed_jobs:
            job_id = self._changed_jobs.popleft()
            state = self._jobs.live.get(job_id)
            if state is not None:
                self._queue_job(state)
            else:
                self._cancel_job(job_id)

    def _cancel_job(self, job_id: str) -> None:
        for index, worker in self._scheduler.cancel(job_id):
            session = self._sessions.get(worker)
            name = self._current_attempts.get((job_id, index))
            if session is not None and name is not None:
                session.cancel_start(str(name))
                session.stop_task(TaskStop(str(name)))

    def _decide(self) -> None:
        unbegun = []
        with self._lock, self._metrics.decision.labels("task").time():
            decisions = self._scheduler.decide(self._clock.monotonic(), MAX_STARTS_PER_STEP)
            for decision in decisions:
                match decision:
                    case Start():
                        if not self._start_if_begun(decision):
                            unbegun.append(decision)
                    case Reclaim():
                        self._reclaim(decision)
                    case Expire():
                        for index in decision.indexes:
                            self._buffer_result(decision.job_id, index, "expired")
            for name in self._scheduler.take_suspects():
                log_event(TARGET_SUSPECT, target=name)
        # The callback takes the replica's lock, which must not be taken under the lock above.
        for decision in unbegun:
            self._begin(decision)

    def _start_if_begun(self, decision: Start) -> bool:
        """Sends a start; returns False if the begin of the task has to be recorded before."""
        job = self._scheduler.jobs[decision.job_id].job
        waited = self._clock.monotonic() - job.submitted_at
        self._metrics.waiting.labels(job.spec.kind.value).observe(max(0.0, waited))
        key = (decision.job_id, decision.index)
        if job.spec.repeatable or key in self._begun_unsent:
            self._begun_unsent.discard(key)
            self._send_start(decision)
            return True
        return False

    def _begin(self, decision: Start) -> None:
        event = BeginTask(self._partition, self._epoch, decision.job_id, decision.index)
        self._appender.submit(event).add_done_callback(
            lambda future: self._on_begun(future, decision)
        )

    def _on_begun(self, future: Future[ApplyResult], decision: Start) -> None:
        try:
            applied = future.result()
        except LogError as error:
            reason = type(error).__name__
            self._metrics.retries.labels("task.begin", reason).inc()
            with self._lock:
                # The record may still reach the log. The task was not sent, so it stays queued.
                if isinstance(error, AppendUnknownError):
                    self._begin_unknown.add((decision.job_id, decision.index))
                self._finish(decision.job_id, decision.index, TaskResult.NOT_STARTED)
            return
        with self._replica.lock, self._lock:
            if applied.accepted or self._was_begun_by_earlier_record(decision):
                self._begin_unknown.discard((decision.job_id, decision.index))
                self._send_start(decision)
            else:
                self._finish(decision.job_id, decision.index, TaskResult.LOST)

    def _was_begun_by_earlier_record(self, decision: Start) -> bool:
        """Tells whether this owner began an unsent task by a record of unknown outcome.

        The record of the repeated begin is then rejected, although the task has not run.
        """
        if (decision.job_id, decision.index) not in self._begin_unknown or not self._is_owner():
            return False
        assert self._jobs is not None
        state = self._jobs.live.get(decision.job_id)
        is_begun = state is not None and decision.index in state.begun
        return is_begun and not state.has_ended(decision.index)

    def _send_start(self, decision: Start) -> None:
        job = self._scheduler.jobs.get(decision.job_id)
        session = self._sessions.get(decision.worker)
        self._attempt_count += 1
        name = AttemptName(decision.job_id, decision.index, f"{self._epoch}-{self._attempt_count}")
        if job is None or session is None or not self._is_placed(name, decision.worker):
            return
        self._current_attempts[name.key] = name
        spec = job.job.spec
        run_s = spec.run_s if spec.kind is not JobKind.SERVICE else SERVICE_RUN_S
        session.start_task(TaskStart(str(name), decision.size, run_s, spec.command))

    def _is_placed(self, name: AttemptName, worker: str) -> bool:
        job = self._scheduler.jobs.get(name.job_id)
        task = job.running.get(name.index) if job else None
        return task is not None and self._scheduler.worker_name(task) == worker

    def _reclaim(self, decision: Reclaim) -> None:
        session = self._sessions.get(decision.worker)
        name = self._current_attempts.get((decision.job_id, decision.index))
        if session is not None and name is not None:
            session.stop_task(TaskStop(str(name), StopMode(decision.how.value)))

    def _cancel_unsent_starts(self, session: TargetSession) -> None:
        for task in session.take_unsent_starts():
            self._on_not_started(AttemptName.parse(task))

    def _on_not_started(self, name: AttemptName) -> None:
        """Requeues a task that is certain not to have been started."""
        if self._current_attempts.get(name.key) != name:
            return
        job = self._scheduler.jobs.get(name.job_id)
        if job is not None and not job.job.spec.repeatable:
            self._begun_unsent.add(name.key)
        self._finish(*name.key, TaskResult.NOT_STARTED)

    def _on_running_task(self, session: TargetSession, task: RunningTask) -> None:
        name = AttemptName.parse(task.task)
        job = self._scheduler.jobs.get(name.job_id)
        if job is not None and name.index in job.waiting and not self._is_open:
            # The previous owner started the task, and it is still running.
            adopted = [AdoptedTask(name.index, session.target.name)]
            self._scheduler.adopt(name.job_id, adopted, self._clock.monotonic())
            self._current_attempts[name.key] = name
        if self._current_attempts.get(name.key) == name:
            self._scheduler.report(name.job_id, name.index, task.used)
        else:
            session.stop_task(TaskStop(task.task))

    def _on_missing(self, session: TargetSession, task: str) -> None:
        name = AttemptName.parse(task)
        if self._current_attempts.get(name.key) == name and self._is_placed(
            name, session.target.name
        ):
            self._finish(*name.key, TaskResult.LOST)

    def _on_attempt_ended(self, session: TargetSession, end: EndedTask) -> None:
        name = AttemptName.parse(end.task)
        if self._unacknowledged.get(name.key, ("", None))[0] == end.task:
            return
        result = TaskResult(end.result)
        job = self._scheduler.jobs.get(name.job_id)
        is_waiting = job is not None and name.index in job.waiting
        if is_waiting and result is TaskResult.DONE and not self._is_done_buffered(name):
            # The attempt ended while this owner had no control of the worker. It is done, so the
            # task need not run again.
            adopted = [AdoptedTask(name.index, session.target.name)]
            self._scheduler.adopt(name.job_id, adopted, self._clock.monotonic())
            self._current_attempts[name.key] = name
        if self._current_attempts.get(name.key) != name:
            session.acknowledge(end.task)
            return
        if self._finish(*name.key, result):
            self._unacknowledged[name.key] = (end.task, session)
        else:
            session.acknowledge(end.task)

    def _is_done_buffered(self, name: AttemptName) -> bool:
        return name.index in self._results.get(name.job_id, {}).get("done", set())

    def _finish(self, job_id: str, index: int, result: TaskResult) -> bool:
        """Ends an attempt; returns whether it has a final result, which is then recorded."""
        self._current_attempts.pop((job_id, index), None)
        ended = self._scheduler.finish(job_id, index, result, self._clock.monotonic())
        self._metrics.outcomes.labels("task", result.value).inc()
        if ended.final is None:
            return False
        self._buffer_final_result(job_id, index, ended.final)
        return True

    def _buffer_final_result(self, job_id: str, index: int, final: TaskResult) -> None:
        self._buffer_result(job_id, index, RECORD_FIELDS[final])

    def _buffer_result(self, job_id: str, index: int, name: str) -> None:
        self._results.setdefault(job_id, {}).setdefault(name, set()).add(index)

    def _on_recorded(
        self, future: Future[ApplyResult], job_id: str, results: dict[str, set[int]]
    ) -> None:
        try:
            applied = future.result()
        except LogError as error:
            self._metrics.retries.labels("task.record", type(error).__name__).inc()
            with self._lock:
                for name, indexes in results.items():
                    self._results.setdefault(job_id, {}).setdefault(name, set()).update(indexes)
            return
        if not applied.accepted and not self._is_owner():
            # The worker keeps the unacknowledged results and reports them to the next owner.
            return
        with self._lock:
            for index in sorted({index for indexes in results.values() for index in indexes}):
                task, session = self._unacknowledged.pop((job_id, index), ("", None))
                if session is not None:
                    session.acknowledge(task)

    def _is_owner(self) -> bool:
        """Returns whether this epoch is still the latest of the partition in the log."""
        with self._replica.lock:
            return self._replica.fleet.ownership.holds(self._partition, self._epoch)
