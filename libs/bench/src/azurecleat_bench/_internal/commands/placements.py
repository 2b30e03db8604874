"""Measures placements per second and time per decision of the scheduler."""

from __future__ import annotations

import random
import time
from typing import Any

from azurecleat_model import Job, Scheduling
from azurecleat_policy import AdoptedTask, NaiveScheduler, Scheduler, Start, TaskResult
from cleo.helpers import option

from azurecleat_bench._internal.base import COMMON_OPTIONS, Bench, quantile, rss_mb
from azurecleat_bench._internal.synthetic_load import JobGenerator, add_teams, add_workers, starts

NAIVE_MAX_S = 3.0
NAIVE_EVENTS = 50
EVENT_INTERVAL_S = 0.0003
"""Virtual time between two task ends, about 3,300 per second."""


class PlacementsCommand(Bench):
    """Ends tasks one by one on a full cluster with a long queue, and times each decision."""

    name = "placements"
    description = "Placements per second, and time per decision."
    options = [
        *COMMON_OPTIONS,
        option("workers", "w", "Workers.", flag=False, default="1800"),
        option("teams", None, "Teams.", flag=False, default="460"),
        option("queued", None, "Tasks waiting.", flag=False, default="50000"),
        option("running", None, "Tasks running.", flag=False, default="25000"),
        option("events", None, "Ends of tasks to measure.", flag=False, default="6000"),
    ]

    def measure(self) -> dict[str, Any]:
        """Measures the scheduler, then the naive reference scheduler from the same state."""
        generator = JobGenerator(self.seed, self.int_option("teams"))
        jobs, placed = self._place_jobs(generator)
        indexed = self._measure_scheduler(Scheduler, jobs, placed, self.int_option("events"), None)
        naive = self._measure_scheduler(NaiveScheduler, jobs, placed, NAIVE_EVENTS, NAIVE_MAX_S)
        rate, naive_rate = indexed["placements_per_s"], naive["placements_per_s"]
        return {**indexed, "naive_ratio": round(rate / naive_rate, 1) if naive_rate else None}

    def _measure_scheduler(
        self,
        scheduler_class,
        jobs: list[Job],
        placed: list[Start],
        events: int,
        max_s: float | None,
    ) -> dict[str, Any]:
        rng = random.Random(self.seed)
        scheduler = self._build_scheduler(scheduler_class)
        self._restore(scheduler, jobs, placed)
        running = [(start.job_id, start.index) for start in placed]
        generator = JobGenerator(self.seed + 1, self.int_option("teams"), "more")
        now = 1000.0
        self._fill_queue(scheduler, generator, now)
        scheduler.decide(now)
        times: list[float] = []
        count = 0
        # Only task ends and the decisions that they trigger are timed, not the benchmark's code.
        for _ in range(events):
            now += EVENT_INTERVAL_S
            self._fill_queue(scheduler, generator, now)
            key = running.pop(rng.randrange(len(running)))
            began = time.perf_counter()
            scheduler.finish(*key, TaskResult.DONE, now)
            decisions = scheduler.decide(now)
            times.append(time.perf_counter() - began)
            new = starts(decisions)
            count += len(new)
            running += [(start.job_id, start.index) for start in new]
            if max_s is not None and sum(times) > max_s:
                break
        return {
            "placements_per_s": round(count / sum(times)),
            "decisions_per_s": round(len(times) / sum(times)),
            "placed": count,
            "running": len(running),
            "queued": scheduler.waiting_tasks,
            "p50_ms": round(quantile(times, 0.5) * 1000, 3),
            "p99_ms": round(quantile(times, 0.99) * 1000, 3),
            "max_ms": round(max(times) * 1000, 3),
            "rss_mb": rss_mb(),
        }

    def _build_scheduler(self, scheduler_class):
        scheduler = scheduler_class(Scheduling())
        add_teams(scheduler, self.int_option("teams"))
        add_workers(scheduler, self.int_option("workers"))
        return scheduler

    def _place_jobs(self, generator: JobGenerator) -> tuple[list[Job], list[Start]]:
        """Submits jobs until enough tasks run or the cluster is full; returns jobs and starts."""
        scheduler = self._build_scheduler(Scheduler)
        jobs: list[Job] = []
        placed: list[Start] = []
        while len(placed) < self.int_option("running"):
            batch = [generator.next_job(500.0) for _ in range(200)]
            for job in batch:
                scheduler.submit(job)
            jobs += batch
            new = starts(scheduler.decide(500.0))
            placed += new
            if not new:
                break
        return jobs, placed

    def _restore(self, scheduler, jobs: list[Job], placed: list[Start]) -> None:
        by_job: dict[str, list[AdoptedTask]] = {}
        for start in placed:
            by_job.setdefault(start.job_id, []).append(AdoptedTask(start.index, start.worker))
        for job in jobs:
            scheduler.submit(job)
            if job.job_id in by_job:
                scheduler.adopt(job.job_id, by_job[job.job_id], 500.0)

    def _fill_queue(self, scheduler, generator: JobGenerator, now: float) -> None:
        while scheduler.waiting_tasks < self.int_option("queued"):
            scheduler.submit(generator.next_job(now))
