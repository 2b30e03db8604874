"""Workers with their free capacity, as objects and as numpy columns.

Searches read the columns. After each change of a worker, :meth:`WorkerTable.sync` has to copy it
into the columns.
"""

from __future__ import annotations

import numpy as np
from azurecleat_model import ZERO, Resources

from azurecleat_policy._internal.jobs import PolicyJob, RunningTask
from azurecleat_policy._internal.probation import Probation
from azurecleat_policy._internal.types import WorkerPolicy

_MIN_SLOT_GROWTH = 64
_ACCELERATOR_WEIGHT = 1 << 40
_ACCELERATOR_PENALTY = 1 << 50
_MEMORY_WEIGHT = 1000
"""Weights of a packing score: accelerators outweigh any amount of CPU and memory."""


class Worker:
    """One worker.

    ``reserved_for`` is the id of the job that the worker is reserved for. Tasks of other jobs may
    use it only if they are expected to end by ``reserved_until``.
    """

    __slots__ = (
        "policy",
        "index",
        "free",
        "tasks",
        "draining",
        "probation",
        "reserved_for",
        "reserved_until",
    )

    def __init__(self, policy: WorkerPolicy, index: int) -> None:
        self.policy = policy
        self.index = index
        self.free = policy.capacity
        self.tasks: dict[tuple[str, int], RunningTask] = {}
        self.draining = False
        self.probation = Probation()
        self.reserved_for: str | None = None
        self.reserved_until = float("inf")

    @property
    def is_open(self) -> bool:
        return not self.draining and self.probation.admits(
            task.started_at for task in self.tasks.values()
        )


class WorkerTable:
    """All workers of a partition. A worker's slot is its index in ``slots`` and in the columns."""

    def __init__(self) -> None:
        self.slots: list[Worker | None] = []
        self.by_name: dict[str, Worker] = {}
        self.total = ZERO
        self.reserved_count = 0
        self._cpu_weight = _MEMORY_WEIGHT
        self._weights_are_stale = False
        self._free_slots: list[int] = []
        self._allocate(_MIN_SLOT_GROWTH)

    def add(self, policy: WorkerPolicy) -> Worker:
        """Adds a worker and returns it."""
        index = self._take_slot()
        worker = Worker(policy, index)
        self.slots[index] = worker
        self.sync(worker)
        self.by_name[policy.name] = worker
        self.total = self.total.plus(policy.capacity)
        self._weights_are_stale = True
        return worker

    def remove(self, name: str) -> Worker:
        """Removes a worker and returns it."""
        worker = self.by_name.pop(name)
        self.slots[worker.index] = None
        self._free_slots.append(worker.index)
        self.total = self.total.plus(worker.policy.capacity, -1)
        if worker.reserved_for is not None:
            self.reserved_count -= 1
        self.open[worker.index] = False
        self._weights_are_stale = True
        return worker

    def live(self) -> list[Worker]:
        """Returns the workers in slot order."""
        return [worker for worker in self.slots if worker is not None]

    def usable_capacities(self) -> list[Resources]:
        """Returns the capacity of each worker that takes tasks.

        Workers on probation count only if there are no others.
        """
        workers = [worker for worker in self.live() if not worker.draining]
        healthy = [worker for worker in workers if not worker.probation.is_active]
        return [worker.policy.capacity for worker in healthy or workers]

    def reserve(self, worker: Worker, job_id: str | None, until: float) -> None:
        """Reserves a worker for a job, or ends its reservation if ``job_id`` is None."""
        self.reserved_count += (job_id is not None) - (worker.reserved_for is not None)
        worker.reserved_for = job_id
        worker.reserved_until = until if job_id is not None else float("inf")
        self.sync(worker)

    def sync(self, worker: Worker) -> None:
        """Copies a worker's state into the columns."""
        index = worker.index
        free = worker.free
        self.free_cpu[index] = free.cpu_milli
        self.free_memory[index] = free.memory_mb
        self.free_accelerators[index] = free.accelerators
        self.open[index] = worker.is_open
        self.reserved_until[index] = worker.reserved_until
        self.no_accelerator_score[index], self.accelerator_score[index] = self.packing_scores(
            worker
        )

    def packing_scores(self, worker: Worker) -> tuple[int, int]:
        """Returns the packing scores of a worker. Lower means fuller; the lowest goes first.

        The first score is for tasks without accelerators, which use workers with accelerators
        last. The second score is for tasks that need accelerators.
        """
        free = worker.free
        fill = free.cpu_milli * self._cpu_weight + free.memory_mb * _MEMORY_WEIGHT
        no_accelerator = fill + (_ACCELERATOR_PENALTY if worker.policy.capacity.accelerators else 0)
        return no_accelerator, fill + free.accelerators * _ACCELERATOR_WEIGHT

    def fitting(self, job: PolicyJob, now: float) -> np.ndarray:
        """Returns the slots of all workers that can take one task of a job now."""
        size = job.shape.size
        ok = self.open & (self.free_cpu >= size.cpu_milli) & (self.free_memory >= size.memory_mb)
        if size.accelerators:
            ok &= self.free_accelerators >= size.accelerators
        if self.reserved_count:
            ok &= self.reserved_until >= now + job.shape.run_s
            for worker in self._reserved_workers(job):
                ok[worker.index] = worker.is_open and size.fits_in(worker.free)
        return np.flatnonzero(ok)

    def packing_score_column(self, job: PolicyJob) -> np.ndarray:
        """Returns the packing scores of all slots for a job."""
        return self.accelerator_score if job.shape.size.accelerators else self.no_accelerator_score

    def _reserved_workers(self, job: PolicyJob) -> list[Worker]:
        job_id = job.job.job_id
        return [w for w in self.slots if w is not None and w.reserved_for == job_id]

    def _take_slot(self) -> int:
        if self._free_slots:
            return self._free_slots.pop()
        self.slots.append(None)
        if len(self.slots) > len(self.open):
            self._grow()
        return len(self.slots) - 1

    def _allocate(self, count: int) -> None:
        self.free_cpu = np.zeros(count, np.int64)
        self.free_memory = np.zeros(count, np.int64)
        self.free_accelerators = np.zeros(count, np.int64)
        self.open = np.zeros(count, bool)
        self.reserved_until = np.full(count, np.inf)
        self.no_accelerator_score = np.zeros(count, np.int64)
        self.accelerator_score = np.zeros(count, np.int64)

    def _grow(self) -> None:
        self._allocate(len(self.open) + max(_MIN_SLOT_GROWTH, len(self.open) // 2))
        for worker in self.live():
            self.sync(worker)

    def refresh_weights(self) -> None:
        """Recomputes the weight of CPU relative to memory, if the workers changed.

        The weight is the ratio of the fleet's memory to its CPU. It is recomputed before decisions
        rather than with each change, because it updates all workers and a takeover adds workers
        one by one.
        """
        if not self._weights_are_stale:
            return
        self._weights_are_stale = False
        if self.total.cpu_milli:
            self._cpu_weight = self.total.memory_mb * _MEMORY_WEIGHT // self.total.cpu_milli
        for worker in self.live():
            self.sync(worker)
