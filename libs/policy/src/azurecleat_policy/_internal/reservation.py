"""Reservation of workers for a job that has waited too long for capacity.

There is one such reservation at a time, for the first of these jobs in scheduling order, with
backfilling: other tasks may use reserved workers only if they are expected to end before the job
is expected to start (D. Lifka, "The ANL/IBM SP scheduling system", 1995, known as EASY
backfilling).
"""

from __future__ import annotations

from typing import NamedTuple

from azurecleat_model import Resources

from azurecleat_policy._internal.jobs import PolicyJob
from azurecleat_policy._internal.workers import Worker


class Reservation(NamedTuple):
    """Workers reserved for a job, which is expected to start at ``until``."""

    job_id: str
    workers: tuple[str, ...]
    until: float


def tasks_that_fit(size: Resources, free: Resources) -> int:
    """Returns the number of tasks of a size that fit into free capacity."""
    count = min(free.cpu_milli // size.cpu_milli, free.memory_mb // size.memory_mb)
    if size.accelerators:
        count = min(count, free.accelerators // size.accelerators)
    return max(0, count)


def plan_reservation(job: PolicyJob, workers: list[Worker], now: float) -> Reservation | None:
    """Chooses the workers that are expected to be idle first and together fit the job.

    :return: None if the available workers could not fit the job even if they were idle.
    """
    size = job.shape.size
    candidates = []
    for worker in workers:
        if worker.draining or worker.probation.is_active or worker.reserved_for is not None:
            continue
        count = tasks_that_fit(size, worker.policy.capacity)
        if count:
            candidates.append((_expected_idle_at(worker, now), worker.index, count, worker))
    candidates.sort(key=lambda candidate: candidate[:2])
    chosen: list[str] = []
    missing = job.gang_size
    until = now
    for idle_at, _, count, worker in candidates:
        if missing <= 0:
            break
        chosen.append(worker.policy.name)
        until = max(until, idle_at)
        missing -= count
    if missing > 0:
        return None
    return Reservation(job.job.job_id, tuple(chosen), until)


def _expected_idle_at(worker: Worker, now: float) -> float:
    return max((task.expected_end for task in worker.tasks.values()), default=now)
