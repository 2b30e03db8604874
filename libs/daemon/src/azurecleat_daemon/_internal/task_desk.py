"""Tasks of a partition: from accepted jobs through workers to recorded results.

A result is acknowledged to its worker only after it is in the log, so a new owner either reads
it there or gets it from the worker again. Tasks that are not repeatable are begun in the log
before they are started, so that no owner ever starts one twice.
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
from azurecleat_model.exceptions import LogError
from azurecleat_platform import EndedTask, RunningTask, StopHow, TaskStart, TaskStop
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

from azurecleat_daemon._internal.link import TargetLink
from azurecleat_daemon._internal.metrics import Metrics

RESULT_FLUSH_S = 0.5
RESULT_DEADLINE_S = 30.0
MAX_STARTS_PER_STEP = 200
SERVICE_RUN_S = 1e9
"""Towards workers a service is a task without an end."""

RECORDED_AS = {
    TaskResult.DONE: "done",
    TaskResult.FAILED: "failed",
    TaskResult.LOST: "unknown",
}


class TaskName(NamedTuple):
    """Name of one attempt of a task towards workers.

    Attempts have names of their own, so that a late report of an earlier attempt is never taken
    for one of the present attempt, on the same worker or on another one.
    """

    job_id: str
    index: int
    attempt: str

    def __str__(self) -> str:
        return f"{self.job_id}.{self.index}.{self.attempt}"

    @staticmethod
    def parse(text: str) -> TaskName:
        """Splits a name reported by a worker."""
        job_id, index, attempt = text.rsplit(".", 2)
        return TaskName(job_id, int(index), attempt)

    @property
    def key(self) -> tuple[str, int]:
        return (self.job_id, self.index)


class TaskDesk:
    """Schedules the tasks of a partition while this instance owns it.

    :param partition: Name of the partition.
    :param epoch: Epoch of the ownership.
    :param wake: Called when a step should come soon.
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
        self._links: dict[str, TargetLink] = {}
        self._results: dict[str, dict[str, set[int]]] = {}
        self._unacknowledged: dict[tuple[str, int], tuple[str, TargetLink]] = {}
        self._current: dict[tuple[str, int], TaskName] = {}
        self._attempts = 0
        self._begun_unsent: set[tuple[str, int]] = set()
        self._seen_running: dict[str, set[str]] = {}
        self._jobs = replica.jobs(partition)
        self._feed: deque[str] = deque()
        self._flushed_at = clock.monotonic()
        self._is_open = False

    @property
    def lock(self) -> threading.RLock:
        return self._lock

    @property
    def scheduler(self) -> Scheduler:
        return self._scheduler

    def load(self) -> None:
        """Queues the live jobs of the partition."""
        with self._replica.lock, self._lock:
            assert self._jobs is not None
            self._feed = self._jobs.subscribe()
            for state in self._jobs.live.values():
                self._queue(state)

    def open(self) -> None:
        """Begins to decide, after all workers were asked or waited out."""
        with self._replica.lock, self._lock:
            assert self._jobs is not None
            for state in list(self._jobs.live.values()):
                self._settle_begun(state)
            self._is_open = True

    def close(self) -> None:
        """Stops following the partition's jobs."""
        self._is_open = False
        if self._jobs is not None:
            self._jobs.unsubscribe(self._feed)

    def set_team(self, team: Team, allotted: Quota) -> None:
        """Takes over a team's share and the limit allotted to this partition."""
        policy = TeamPolicy(team.name, team.share, allotted, team.queue_limit, team.limit)
        with self._lock:
            self._scheduler.set_team(policy)

    def remove_teams_except(self, names: set[str]) -> None:
        """Stops starting work of teams that left the configuration."""
        with self._lock:
            for name in sorted(set(self._scheduler.teams) - names):
                self._scheduler.remove_team(name)

    def team_usage(self, name: str) -> Quota:
        """Returns what a team has running here."""
        with self._lock:
            team = self._scheduler.teams.get(name)
            return team.used if team else Quota(0, 0, 0, 0, 0)

    def blocked_by_limit(self) -> dict[str, LimitNeed]:
        """Returns the teams whose next task waits for limit only, with what it needs."""
        with self._lock:
            return self._scheduler.blocked_by_limit(self._clock.monotonic())

    def check(self, job) -> Refused | None:
        """Tells why a job would not be taken."""
        with self._lock:
            return self._scheduler.check(job)

    def why(self, job_id: str) -> Wait | None:
        """Returns what a job waits for."""
        with self._lock:
            return self._scheduler.explain_wait(job_id, self._clock.monotonic())

    def impossible_under(self, wanted: Environment) -> list[tuple[str, Refused]]:
        """Returns queued jobs that could never run under another environment document."""
        limits = {team.name: team.limit for team in wanted.teams}
        with self._lock:
            return self._scheduler.unschedulable_jobs(limits)

    def step(self) -> None:
        """Follows the log, decides, hands commands to links and records results."""
        with self._replica.lock, self._lock:
            self._follow()
        if self._is_open:
            self._decide()
        now = self._clock.monotonic()
        if now - self._flushed_at >= RESULT_FLUSH_S:
            self._flushed_at = now
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

    # What links report.

    def on_granted(self, link: TargetLink) -> None:
        """Adds a worker that obeys this owner."""
        with self._lock:
            target = link.target
            self._links[target.name] = link
            self._scheduler.add_worker(WorkerPolicy(target.name, target.rack, target.capacity))
            self._scheduler.set_draining(target.name, target.leaving)
        self._wake()

    def on_target_listed(self, link: TargetLink) -> None:
        """Follows the instance list: a leaving worker gets nothing new."""
        with self._lock:
            if link.target.name in self._scheduler.workers:
                self._scheduler.set_draining(link.target.name, link.target.leaving)
                if link.target.leaving:
                    self._withdraw_unsent(link)

    def on_running(
        self, link: TargetLink, running: tuple[RunningTask, ...], sent_at: float
    ) -> None:
        """Compares what a worker runs with what it should run."""
        with self._lock:
            names = {task.task for task in running}
            vanished = self._seen_running.get(link.target.name, set()) - names
            self._seen_running[link.target.name] = names
            for task in sorted(vanished):
                self._on_vanished(link, task)
            for task in running:
                self._on_seen(link, task)

    def on_ended(self, link: TargetLink, ended: tuple[EndedTask, ...]) -> None:
        """Takes final results of attempts."""
        with self._lock:
            for end in ended:
                self._on_end(link, end)
        self._wake()

    def on_refused(self, link: TargetLink, tasks: tuple[str, ...]) -> None:
        """Returns refused starts to the queue; they were not run."""
        self._metrics.retries.labels("worker.start", "refused").inc(len(tasks))
        with self._lock:
            for task in tasks:
                self._on_not_started(TaskName.parse(task))

    def on_lost(self, link: TargetLink) -> None:
        """Returns the tasks of a worker whose lease lapsed to the queue."""
        name = link.target.name
        with self._lock:
            self._links.pop(name, None)
            self._seen_running.pop(name, None)
            for ended in self._scheduler.remove_worker(name, self._clock.monotonic()):
                self._current.pop((ended.job_id, ended.index), None)
                self._metrics.retries.labels("worker.lease", "lapsed").inc()
                if ended.final is not None:
                    self._record(ended.job_id, ended.index, ended.final)
        self._wake()

    # Steps.

    def _queue(self, state: JobState) -> None:
        job = state.job
        waiting = [i for i in range(job.spec.tasks) if not state.has_ended(i)]
        if job.team not in self._scheduler.teams:
            self._scheduler.set_team(TeamPolicy(job.team, 1.0, Quota(0, 0, 0, 0, 0), 1))
        # Deadlines count on this owner's clock from now on; the log keeps wall time.
        age_s = max(0.0, self._clock.wall() - job.submitted_at)
        local = job._replace(submitted_at=self._clock.monotonic() - age_s)
        self._scheduler.submit(local, waiting)

    def _settle_begun(self, state: JobState) -> None:
        """Gives up begun tasks that no worker runs: they may have run, and run at most once."""
        job_id = state.job.job_id
        queued = self._scheduler.jobs.get(job_id)
        if queued is None:
            return
        for index in sorted(state.begun):
            if index not in queued.running and not state.has_ended(index):
                self._scheduler.drop_waiting(job_id, index)
                self._record(job_id, index, TaskResult.LOST)

    def _follow(self) -> None:
        assert self._jobs is not None
        while self._feed:
            job_id = self._feed.popleft()
            state = self._jobs.live.get(job_id)
            if state is not None:
                self._queue(state)
            else:
                self._cancel(job_id)

    def _cancel(self, job_id: str) -> None:
        for index, worker in self._scheduler.cancel(job_id):
            link = self._links.get(worker)
            name = self._current.get((job_id, index))
            if link is not None and name is not None:
                link.withdraw_start(str(name))
                link.stop_task(TaskStop(str(name)))

    def _decide(self) -> None:
        with self._lock, self._metrics.decision.labels("task").time():
            decisions = self._scheduler.decide(self._clock.monotonic(), MAX_STARTS_PER_STEP)
            for decision in decisions:
                match decision:
                    case Start():
                        self._start(decision)
                    case Reclaim():
                        self._reclaim(decision)
                    case Expire():
                        for index in decision.indexes:
                            self._note_result(decision.job_id, index, "expired")
            for name in self._scheduler.take_suspects():
                log_event(TARGET_SUSPECT, target=name)

    def _start(self, decision: Start) -> None:
        job = self._scheduler.jobs[decision.job_id].job
        waited = self._clock.monotonic() - job.submitted_at
        self._metrics.waiting.labels(job.spec.kind.value).observe(max(0.0, waited))
        key = (decision.job_id, decision.index)
        if job.spec.repeatable or key in self._begun_unsent:
            self._begun_unsent.discard(key)
            self._send_start(decision)
            return
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
                # The record may be in the log later; the task was never sent, so it waits on.
                self._finish(decision.job_id, decision.index, TaskResult.NOT_STARTED)
            return
        with self._lock:
            if applied.accepted:
                self._send_start(decision)
            else:
                self._finish(decision.job_id, decision.index, TaskResult.LOST)

    def _send_start(self, decision: Start) -> None:
        job = self._scheduler.jobs.get(decision.job_id)
        link = self._links.get(decision.worker)
        self._attempts += 1
        name = TaskName(decision.job_id, decision.index, f"{self._epoch}-{self._attempts}")
        if job is None or link is None or not self._is_placed(name, decision.worker):
            return
        self._current[name.key] = name
        spec = job.job.spec
        run_s = spec.run_s if spec.kind is not JobKind.SERVICE else SERVICE_RUN_S
        link.start_task(TaskStart(str(name), decision.size, run_s, spec.command))

    def _is_placed(self, name: TaskName, worker: str) -> bool:
        job = self._scheduler.jobs.get(name.job_id)
        task = job.running.get(name.index) if job else None
        return task is not None and self._scheduler.worker_name(task) == worker

    def _reclaim(self, decision: Reclaim) -> None:
        link = self._links.get(decision.worker)
        name = self._current.get((decision.job_id, decision.index))
        if link is not None and name is not None:
            link.stop_task(TaskStop(str(name), StopHow(decision.how.value)))

    def _withdraw_unsent(self, link: TargetLink) -> None:
        for task in link.take_unsent():
            self._on_not_started(TaskName.parse(task))

    def _on_not_started(self, name: TaskName) -> None:
        """Returns a task to the queue whose start is proved not to have happened."""
        if self._current.get(name.key) != name:
            return
        job = self._scheduler.jobs.get(name.job_id)
        if job is not None and not job.job.spec.repeatable:
            self._begun_unsent.add(name.key)
        self._finish(*name.key, TaskResult.NOT_STARTED)

    def _on_seen(self, link: TargetLink, task: RunningTask) -> None:
        name = TaskName.parse(task.task)
        job = self._scheduler.jobs.get(name.job_id)
        if job is not None and name.index in job.waiting and not self._is_open:
            # Started by a former owner, and still running.
            adopted = [AdoptedTask(name.index, link.target.name)]
            self._scheduler.adopt(name.job_id, adopted, self._clock.monotonic())
            self._current[name.key] = name
        if self._current.get(name.key) == name:
            self._scheduler.report(name.job_id, name.index, task.used)
        else:
            link.stop_task(TaskStop(task.task))

    def _on_vanished(self, link: TargetLink, task: str) -> None:
        name = TaskName.parse(task)
        if self._current.get(name.key) == name and self._is_placed(name, link.target.name):
            self._finish(*name.key, TaskResult.LOST)

    def _on_end(self, link: TargetLink, end: EndedTask) -> None:
        name = TaskName.parse(end.task)
        if self._unacknowledged.get(name.key, ("", None))[0] == end.task:
            return
        result = TaskResult(end.result)
        job = self._scheduler.jobs.get(name.job_id)
        is_waiting = job is not None and name.index in job.waiting
        if is_waiting and result is TaskResult.DONE and not self._was_recorded(name):
            # Ended while nobody listened; it need not run again.
            adopted = [AdoptedTask(name.index, link.target.name)]
            self._scheduler.adopt(name.job_id, adopted, self._clock.monotonic())
            self._current[name.key] = name
        if self._current.get(name.key) != name:
            link.acknowledge(end.task)
            return
        if self._finish(*name.key, result):
            self._unacknowledged[name.key] = (end.task, link)
        else:
            link.acknowledge(end.task)

    def _was_recorded(self, name: TaskName) -> bool:
        return name.index in self._results.get(name.job_id, {}).get("done", set())

    def _finish(self, job_id: str, index: int, result: TaskResult) -> bool:
        """Ends an attempt; returns whether a final result waits to be recorded."""
        self._current.pop((job_id, index), None)
        ended = self._scheduler.finish(job_id, index, result, self._clock.monotonic())
        self._metrics.outcomes.labels("task", result.value).inc()
        if ended.final is None:
            return False
        self._record(job_id, index, ended.final)
        return True

    def _record(self, job_id: str, index: int, final: TaskResult) -> None:
        self._note_result(job_id, index, RECORDED_AS[final])

    def _note_result(self, job_id: str, index: int, name: str) -> None:
        self._results.setdefault(job_id, {}).setdefault(name, set()).add(index)

    def _on_recorded(
        self, future: Future[ApplyResult], job_id: str, results: dict[str, set[int]]
    ) -> None:
        try:
            future.result()
        except LogError as error:
            self._metrics.retries.labels("task.record", type(error).__name__).inc()
            with self._lock:
                for name, indexes in results.items():
                    self._results.setdefault(job_id, {}).setdefault(name, set()).update(indexes)
            return
        with self._lock:
            for index in sorted({index for indexes in results.values() for index in indexes}):
                task, link = self._unacknowledged.pop((job_id, index), ("", None))
                if link is not None:
                    link.acknowledge(task)
