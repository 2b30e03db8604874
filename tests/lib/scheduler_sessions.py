"""Runs schedulers through random sessions and checks their decisions independently."""

from __future__ import annotations

import random
from typing import NamedTuple

from azurecleat_model import Job, JobKind, JobSpec, Quota, Resources, Scheduling, TaskSize
from azurecleat_policy import (
    Decision,
    Expire,
    Reclaim,
    ReclaimMethod,
    Start,
    TaskResult,
    TeamPolicy,
    WorkerPolicy,
)

TEAMS = ("ada", "bor", "cyr", "dot")
SIZES = ((500, 1000, 0), (1000, 2000, 0), (3000, 3000, 0), (2000, 9000, 0), (1000, 1000, 1))

MAX_DRAIN_STEPS = 4000


class Placement(NamedTuple):
    """The worker that runs a task, and the capacity assigned to the task."""

    worker: str
    size: Resources


class DecisionChecker:
    """Checks the scheduling rules using only decisions and events, not the scheduler's state."""

    def __init__(self) -> None:
        self.capacity: dict[str, Resources] = {}
        self.limit: dict[str, Quota] = {}
        self.running: dict[tuple[str, int], Placement] = {}
        self.reported: dict[tuple[str, int], Resources] = {}
        self.jobs: dict[str, Job] = {}
        self.draining: set[str] = set()
        self.expired: set[tuple[str, int]] = set()
        self.cancelled: set[str] = set()
        self.reclaimed: set[tuple[str, int]] = set()
        self.violations: list[str] = []

    def apply(self, decisions: list[Decision], now: float) -> None:
        """Checks the decisions of one call and applies them."""
        started: set[str] = set()
        for decision in decisions:
            match decision:
                case Start():
                    self._start(decision, now)
                    started.add(self.jobs[decision.job_id].team)
                case Expire():
                    self.expired.update((decision.job_id, i) for i in decision.indexes)
                case Reclaim():
                    self.reclaimed.add((decision.job_id, decision.index))
        self._check_limits(started)

    def finish(self, key: tuple[str, int]) -> None:
        """Removes a task that has ended."""
        self.running.pop(key, None)
        self.reported.pop(key, None)
        self.reclaimed.discard(key)

    def used(self, worker: str) -> Resources:
        """Returns the resources used by a worker's tasks: assigned or, if higher, reported."""
        total = Resources(0, 0, 0)
        for key, placement in self.running.items():
            if placement.worker == worker:
                total = total.plus(placement.size.at_least(self.reported.get(key, placement.size)))
        return total

    def _start(self, start: Start, now: float) -> None:
        key = (start.job_id, start.index)
        job = self.jobs[start.job_id]
        if key in self.running:
            self._add_violation(f"{key} placed twice")
        if key in self.expired or start.job_id in self.cancelled:
            self._add_violation(f"{key} started after its end")
        if start.worker in self.draining:
            self._add_violation(f"{key} started on draining worker {start.worker}")
        deadline_s = job.spec.deadline_s
        if deadline_s is not None and now >= job.submitted_at + deadline_s:
            self._add_violation(f"{key} started after its deadline")
        self.running[key] = Placement(start.worker, start.size)
        if not self.used(start.worker).fits_in(self.capacity[start.worker]):
            self._add_violation(f"{start.worker} exceeds its capacity after placing {key}")

    def _check_limits(self, started: set[str]) -> None:
        for team, limit in self.limit.items():
            tasks = [key for key in self.running if self.jobs[key[0]].team == team]
            not_repeatable = [key for key in tasks if not self.jobs[key[0]].spec.repeatable]
            # After a limit is lowered below the usage, no task may start. Tasks that are not
            # repeatable may finish.
            if len(tasks) > limit.tasks and team in started:
                self._add_violation(f"team {team} starts at {len(tasks)} tasks of {limit.tasks}")
            kept = len(tasks) - len(self.reclaimed & set(tasks))
            if kept > max(limit.tasks, len(not_repeatable)):
                self._add_violation(f"team {team} keeps {kept} tasks, limit {limit.tasks}")

    def _add_violation(self, text: str) -> None:
        self.violations.append(text)


class Session:
    """A random session with a scheduler. The seed determines all events.

    :param scheduler: The scheduler under test.
    :param seed: Seed of the random generator.
    """

    def __init__(self, scheduler, seed: int) -> None:
        self.scheduler = scheduler
        self.rng = random.Random(seed)
        self.checker = DecisionChecker()
        self.now = 100.0
        self.count = 0
        self.log: list[list[Decision]] = []
        for position, team in enumerate(TEAMS):
            limit = Quota(tasks=self.rng.choice((4, 12, 1000)))
            self._set_team(team, 1.0 + position, limit)
        for _ in range(6):
            self._add_worker()

    @classmethod
    def run(cls, make, seed: int, steps: int) -> Session:
        """Runs a session of ``steps`` events with a new scheduler.

        :param make: Creates the scheduler from a ``Scheduling``.
        """
        rng = random.Random(seed)
        weight = rng.choice((0.0, 0.3, 1.0))
        session = cls(make(Scheduling(waiting_weight=weight, reserve_after_s=3.0)), seed)
        for _ in range(steps):
            session.step()
        return session

    def step(self) -> None:
        """Generates one random event, then lets the scheduler decide."""
        self.now += self.rng.choice((0.0, 0.1, 0.5, 2.0))
        event = self.rng.choices(
            (
                self._submit,
                self._finish,
                self._cancel,
                self._report,
                self._drain_worker,
                self._add_worker,
                self._change_limit,
                self._lose_worker,
            ),
            (10, 12, 2, 2, 1, 1, 1, 1),
        )[0]
        event()
        decisions = self.scheduler.decide(self.now)
        self.log.append(decisions)
        self.checker.apply(decisions, self.now)
        for decision in decisions:
            if isinstance(decision, Reclaim) and decision.how is not ReclaimMethod.THROTTLE:
                self._end((decision.job_id, decision.index), TaskResult.CHECKPOINTED)

    def drain(self) -> None:
        """Adds large workers, raises all limits and runs all tasks to their end.

        Ends with the first call that decides nothing although no task was running: what still
        waits then does not wait for the end of another task.
        """
        for _ in range(4):
            self._add_worker(big=True)
        for team in TEAMS:
            self._set_team(team, 1.0, Quota(tasks=1000))
        for _ in range(MAX_DRAIN_STEPS):
            self.now += 1.0
            was_idle = not self.checker.running
            decisions = self.scheduler.decide(self.now)
            self.checker.apply(decisions, self.now)
            self._check_that_nothing_that_fits_waits()
            if was_idle and not decisions:
                break
            for key in list(self.checker.running):
                self._end(key, TaskResult.DONE)

    def _check_that_nothing_that_fits_waits(self) -> None:
        """Adds a violation for each waiting job that fits on workers anyone may use now."""
        usable = [
            self.checker.capacity[name].plus(self.checker.used(name), -1)
            for name, worker in self.scheduler.workers.items()
            if worker.is_open and not worker.probation.is_active and worker.reserved_for is None
        ]
        for job_id, job in self.scheduler.jobs.items():
            places = sum(_places(job.shape.size, free) for free in usable)
            if job.waiting and places >= job.gang_size:
                self.checker.violations.append(f"{job_id} waits at {self.now} although it fits")

    def _submit(self) -> None:
        self.count += 1
        kind = self.rng.choice(list(JobKind))
        spec = JobSpec(
            f"name-{self.rng.randrange(4)}",
            kind,
            TaskSize(*self.rng.choice(SIZES)),
            tasks=self.rng.choice((1, 1, 2, 4)),
            run_s=self.rng.choice((1.0, 5.0, 60.0)),
            deadline_s=self.rng.choice((None, None, None, 4.0)),
            urgent=self.rng.random() < 0.1,
            repeatable=self.rng.random() < 0.9,
        )
        job = Job(f"job-{self.count}", self.rng.choice(TEAMS), spec, self.now)
        if self.scheduler.check(job) is None:
            self.checker.jobs[job.job_id] = job
            self.scheduler.submit(job)

    def _finish(self) -> None:
        if self.checker.running:
            key = self.rng.choice(sorted(self.checker.running))
            weights = (10, 3, 1, 1)
            results = (
                TaskResult.DONE,
                TaskResult.FAILED,
                TaskResult.LOST,
                TaskResult.NOT_STARTED,
            )
            self._end(key, self.rng.choices(results, weights)[0])

    def _end(self, key: tuple[str, int], result: TaskResult) -> None:
        if key in self.checker.running:
            self.checker.finish(key)
            self.scheduler.finish(*key, result, self.now)

    def _cancel(self) -> None:
        jobs = [j for j in sorted(self.checker.jobs) if j not in self.checker.cancelled]
        if jobs:
            job_id = self.rng.choice(jobs)
            self.checker.cancelled.add(job_id)
            for index, _ in self.scheduler.cancel(job_id):
                self._end((job_id, index), TaskResult.STOPPED)

    def _report(self) -> None:
        if self.checker.running:
            key = self.rng.choice(sorted(self.checker.running))
            size = self.checker.running[key].size
            factor = self.rng.choice((0.5, 1.0, 1.4))
            used = Resources(*(int(amount * factor) for amount in size[:2]), size.accelerators)
            self.checker.reported[key] = used
            self.scheduler.report(*key, used)

    def _drain_worker(self) -> None:
        open_workers = sorted(set(self.checker.capacity) - self.checker.draining)
        if len(open_workers) > 3:
            name = self.rng.choice(open_workers)
            self.checker.draining.add(name)
            self.scheduler.set_draining(name, True)

    def _lose_worker(self) -> None:
        if len(self.checker.capacity) > 4:
            name = self.rng.choice(sorted(self.checker.capacity))
            for key, placement in list(self.checker.running.items()):
                if placement.worker == name:
                    self.checker.finish(key)
            del self.checker.capacity[name]
            self.checker.draining.discard(name)
            self.scheduler.remove_worker(name, self.now)

    def _add_worker(self, big: bool = False) -> None:
        self.count += 1
        name = f"worker-{self.count}"
        cpu = self.rng.choice((4000, 8000))
        accelerators = 4 if big else self.rng.choice((0, 0, 2))
        capacity = Resources(cpu, 16_000 if big else 10_000, accelerators)
        self.checker.capacity[name] = capacity
        self.scheduler.add_worker(WorkerPolicy(name, f"rack-{self.count % 3}", capacity))

    def _change_limit(self) -> None:
        team = self.rng.choice(TEAMS)
        tasks = self.rng.choice((2, 4, 12, 1000))
        self._set_team(team, self.rng.uniform(0.5, 4), Quota(tasks=tasks))

    def _set_team(self, team: str, share: float, limit: Quota) -> None:
        self.checker.limit[team] = limit
        self.scheduler.set_team(TeamPolicy(team, share, limit, 10_000, limit))


def _places(size: Resources, free: Resources) -> int:
    """Returns how many tasks of a size fit into free capacity."""
    count = 0
    while size.plus(size, count).fits_in(free):
        count += 1
    return count
