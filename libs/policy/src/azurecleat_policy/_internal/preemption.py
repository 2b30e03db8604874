"""Choice of the tasks to preempt for urgent work, those with the least lost work first."""

from __future__ import annotations

from typing import NamedTuple

from azurecleat_model import Resources

from azurecleat_policy._internal.jobs import RunningTask
from azurecleat_policy._internal.placement import loss_factor
from azurecleat_policy._internal.workers import Worker

MAX_WORKERS_EXAMINED = 32
"""Bounds the time that one preemption decision takes."""


class Victims(NamedTuple):
    """Tasks of one worker that free enough capacity when they are preempted."""

    worker: Worker
    tasks: tuple[RunningTask, ...]
    loss: float


def choose_victims(size: Resources, workers: list[Worker], now: float) -> Victims | None:
    """Returns the victims with the least loss, on the first of equal workers, or None."""
    best: Victims | None = None
    for worker in workers:
        victims = _victims_on(worker, size, now)
        if victims and (best is None or victims.loss < best.loss):
            best = victims
    return best


def is_candidate(size: Resources, worker: Worker) -> bool:
    """Returns whether preempting all preemptible tasks of a worker frees enough capacity."""
    if not worker.is_open or worker.reserved_for is not None:
        return False
    free = worker.free
    for task in worker.tasks.values():
        if may_be_preempted(task):
            free = free.plus(task.held)
    return size.fits_in(free)


def may_be_preempted(task: RunningTask) -> bool:
    """Returns whether a task may be preempted for urgent work."""
    spec = task.job.job.spec
    return spec.preemptible and spec.repeatable and not spec.urgent and task.reclaimed_at is None


def _victims_on(worker: Worker, size: Resources, now: float) -> Victims | None:
    tasks = [task for task in worker.tasks.values() if may_be_preempted(task)]
    tasks.sort(key=lambda task: (_loss(task, now), task.job.sequence, task.index))
    free = worker.free
    chosen: list[RunningTask] = []
    loss = 0.0
    for task in tasks:
        if size.fits_in(free):
            break
        free = free.plus(task.held)
        chosen.append(task)
        loss += _loss(task, now)
    if not chosen or not size.fits_in(free):
        return None
    return Victims(worker, tuple(chosen), loss)


def _loss(task: RunningTask, now: float) -> float:
    return (now - task.started_at) * loss_factor(task.job.kind)
