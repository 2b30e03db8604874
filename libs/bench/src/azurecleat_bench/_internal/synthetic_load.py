"""Synthetic workers, teams and jobs for benchmarks of the scheduler."""

from __future__ import annotations

import random

from azurecleat_model import Job, JobKind, JobSpec, Quota, Resources, TaskSize
from azurecleat_policy import Start, TeamPolicy, WorkerPolicy

WORKERS_PER_RACK = 8
TASK_SIZES = (
    TaskSize(2000, 8000),
    TaskSize(4000, 16_000),
    TaskSize(4000, 8000),
    TaskSize(8000, 32_000),
    TaskSize(16_000, 32_000),
    TaskSize(4000, 16_000, 1),
)
TASK_SIZE_WEIGHTS = (30, 25, 20, 12, 5, 8)
SERVICE_FRACTION = 0.2
GANG_FRACTION = 0.05


def add_workers(scheduler, count: int) -> None:
    """Adds workers of 64 cores and 256 GB, a third of them with four accelerators."""
    for index in range(count):
        accelerators = 4 if index % 3 == 0 else 0
        capacity = Resources(64_000, 256_000, accelerators)
        rack = f"rack-{index // WORKERS_PER_RACK}"
        scheduler.add_worker(WorkerPolicy(f"worker-{index}", rack, capacity))


def add_teams(scheduler, count: int) -> None:
    """Adds teams with shares from 1 to 7 and limits that are never reached."""
    for index in range(count):
        limit = Quota()
        scheduler.set_team(TeamPolicy(f"team-{index}", 1.0 + index % 7, limit, 1_000_000))


class JobGenerator:
    """Generates random jobs; the same seed gives the same jobs."""

    def __init__(self, seed: int, teams: int, prefix: str = "job") -> None:
        self._prefix = prefix
        self._rng = random.Random(seed)
        self._teams = teams
        self._count = 0

    def next_job(self, now: float) -> Job:
        """Returns the next job."""
        self._count += 1
        kind, tasks = self._kind()
        size = self._rng.choices(TASK_SIZES, TASK_SIZE_WEIGHTS)[0]
        spec = JobSpec(f"name-{self._rng.randrange(40)}", kind, size, tasks, run_s=300.0)
        team = f"team-{self._rng.randrange(self._teams)}"
        return Job(f"{self._prefix}-{self._count}", team, spec, now)

    def _kind(self) -> tuple[JobKind, int]:
        draw = self._rng.random()
        if draw < GANG_FRACTION:
            return JobKind.ALL_AT_ONCE, self._rng.choice((2, 4, 8))
        if draw < GANG_FRACTION + SERVICE_FRACTION:
            return JobKind.SERVICE, self._rng.choice((1, 2, 3))
        return JobKind.BATCH, self._rng.choice((1, 1, 2, 5))


def starts(decisions) -> list[Start]:
    """Returns the decisions that start a task."""
    return [decision for decision in decisions if isinstance(decision, Start)]
