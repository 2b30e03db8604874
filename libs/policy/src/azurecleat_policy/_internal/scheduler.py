"""The scheduler, with indexes over lanes and workers."""

from __future__ import annotations

from collections.abc import Collection

import numpy as np
from azurecleat_model import Scheduling

from azurecleat_policy._internal.decisions import DecisionLoop
from azurecleat_policy._internal.jobs import Lane, PolicyJob, Shape
from azurecleat_policy._internal.lane_index import LaneIndex
from azurecleat_policy._internal.placement import AllOrNone, Pack, Spread
from azurecleat_policy._internal.preemption import MAX_WORKERS_EXAMINED, is_candidate
from azurecleat_policy._internal.reservation import tasks_that_fit
from azurecleat_policy._internal.teams import TeamState
from azurecleat_policy._internal.types import Decision
from azurecleat_policy._internal.workers import Worker

_RACK_WEIGHT = 1 << 56
_WORKER_WEIGHT = 1 << 52
"""The number of tasks per rack decides first, then per worker, then the packing score."""


class Scheduler(DecisionLoop):
    """Finds lanes with heaps and workers with numpy columns.

    A start takes O(log teams) to find the lane, and a few vector operations over the workers.

    :param scheduling: Scheduling settings of the environment document.
    """

    def __init__(self, scheduling: Scheduling) -> None:
        super().__init__(scheduling)
        self._index = LaneIndex(self._sort_key)
        self._missing_tasks = 1

    def decide(self, now: float, max_starts: int = 1_000_000) -> list[Decision]:
        """Returns the decisions to carry out now. The state already includes them."""
        # Tasks started since the last call may be preempted, so urgent jobs are tried again.
        self._index.unblock(_gain_if_urgent)
        return super().decide(now, max_starts)

    def _next_lane(self) -> Lane | None:
        return self._index.best()

    def _find_workers(self, job: PolicyJob, now: float) -> list[Worker]:
        self._missing_tasks = job.shape.gang_size
        fitting = self._fitting(job, now)
        if not fitting.size:
            return []
        scores = self._workers.packing_score_column(job)[fitting]
        match job.placement:
            case Pack():
                return [self._worker_at(fitting[np.argmin(scores)])]
            case Spread():
                return [self._find_spread(job, fitting, scores)]
            case AllOrNone():
                return self._find_all_or_none(job, fitting, scores)

    def _fitting(self, job: PolicyJob, now: float) -> np.ndarray:
        """Returns the slots that can take a task; examines only those that may have changed."""
        freed = self._index.freed_since_blocked(job.shape)
        if freed is None or job.gang_size > 1 or job.job.job_id in self._jobs_with_reservations():
            return self._workers.fitting(job, now)
        ends_at = now + job.shape.run_s
        slots = self._workers.slots
        found = [
            slot
            for slot in sorted(freed)
            if (worker := slots[slot]) is not None
            and job.shape.size.fits_in(worker.free)
            and worker.is_open
            and worker.reserved_until >= ends_at
        ]
        return np.array(found, np.intp)

    def _jobs_with_reservations(self) -> set[str]:
        job_ids = set(self._urgent_reservations)
        if self._reservation is not None:
            job_ids.add(self._reservation.job_id)
        return job_ids

    def _preemption_candidates(self, job: PolicyJob) -> list[Worker]:
        found = []
        for worker in self._workers.live():
            if is_candidate(job.shape.size, worker):
                found.append(worker)
                if len(found) == MAX_WORKERS_EXAMINED:
                    break
        return found

    def _block(self, job: PolicyJob, now: float) -> None:
        self._index.block(job.shape, self._missing_tasks)

    def _first_blocked(self, waited_since: float, excluded: Collection[Shape]) -> PolicyJob | None:
        def has_waited(lane: Lane) -> bool:
            job = lane.head()
            return job is not None and job.job.submitted_at <= waited_since

        lane = self._index.first_blocked(has_waited, excluded)
        return lane.head() if lane is not None else None

    def _find_spread(self, job: PolicyJob, fitting: np.ndarray, scores: np.ndarray) -> Worker:
        per_rack: dict[str, int] = {}
        per_worker: dict[int, int] = {}
        for task in job.running.values():
            worker = self._workers.slots[task.worker]
            assert worker is not None
            per_rack[worker.policy.rack] = per_rack.get(worker.policy.rack, 0) + 1
            per_worker[task.worker] = per_worker.get(task.worker, 0) + 1
        if per_rack:
            tasks_on_rack = [per_rack.get(self._worker_at(i).policy.rack, 0) for i in fitting]
            tasks_on_worker = [per_worker.get(int(i), 0) for i in fitting]
            scores = (
                scores
                + np.array(tasks_on_rack) * _RACK_WEIGHT
                + np.array(tasks_on_worker) * _WORKER_WEIGHT
            )
        return self._worker_at(fitting[np.argmin(scores)])

    def _find_all_or_none(
        self, job: PolicyJob, fitting: np.ndarray, scores: np.ndarray
    ) -> list[Worker]:
        size = job.shape.size
        counts = self._workers.free_cpu[fitting] // size.cpu_milli
        counts = np.minimum(counts, self._workers.free_memory[fitting] // size.memory_mb)
        if size.accelerators:
            accelerators = self._workers.free_accelerators[fitting] // size.accelerators
            counts = np.minimum(counts, accelerators)
        self._missing_tasks = max(1, job.gang_size - int(counts.sum()))
        if int(counts.sum()) < job.gang_size:
            return []
        chosen: list[Worker] = []
        for position in np.argsort(scores, kind="stable"):
            worker = self._worker_at(fitting[position])
            count = min(int(counts[position]), job.gang_size - len(chosen))
            chosen += [worker] * count
            if len(chosen) == job.gang_size:
                return chosen
        return []

    def _worker_at(self, index: np.intp) -> Worker:
        worker = self._workers.slots[index]
        assert worker is not None
        return worker

    def _lane_changed(self, lane: Lane | None) -> None:
        if lane is not None:
            self._index.update(lane)

    def _team_changed(self, team: TeamState) -> None:
        for lane in team.lanes.values():
            self._index.update(lane)

    def _all_ranks_changed(self) -> None:
        super()._all_ranks_changed()
        lanes = []
        for team in self._teams.values():
            team.lanes = {s: lane for s, lane in team.lanes.items() if lane.head() is not None}
            lanes += team.lanes.values()
        self._index.rebuild(lanes)

    def _capacity_freed(self, worker: Worker) -> None:
        if not worker.is_open:
            return

        def gain(shape: Shape) -> int:
            if not shape.size.fits_in(worker.free):
                return 0
            return tasks_that_fit(shape.size, worker.free) if shape.gang_size > 1 else 1

        self._index.unblock(gain, worker.index)

    def _job_left_queue(self, job: PolicyJob) -> None:
        super()._job_left_queue(job)
        self._lane_changed(job.lane)


def _gain_if_urgent(shape: Shape) -> int:
    return shape.gang_size if shape.urgent else 0
