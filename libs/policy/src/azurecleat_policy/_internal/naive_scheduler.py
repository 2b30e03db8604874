"""Brute-force scheduler: the reference that tests compare the indexed scheduler with."""

from __future__ import annotations

from collections.abc import Collection

from azurecleat_model import Scheduling

from azurecleat_policy._internal.decisions import DecisionLoop
from azurecleat_policy._internal.jobs import Lane, PolicyJob, Shape
from azurecleat_policy._internal.placement import AllOrNone, Pack, Spread
from azurecleat_policy._internal.preemption import MAX_WORKERS_EXAMINED, is_candidate
from azurecleat_policy._internal.reservation import tasks_that_fit
from azurecleat_policy._internal.types import Decision
from azurecleat_policy._internal.workers import Worker


class NaiveScheduler(DecisionLoop):
    """Examines all lanes and all workers for each decision."""

    def __init__(self, scheduling: Scheduling) -> None:
        super().__init__(scheduling)
        self._blocked_shapes: set[Shape] = set()

    def decide(self, now: float, max_starts: int = 1_000_000) -> list[Decision]:
        """Returns the decisions to carry out now. The state already includes them."""
        self._blocked_shapes = set()
        return super().decide(now, max_starts)

    def _next_lane(self) -> Lane | None:
        best: tuple[tuple, Lane] | None = None
        for team in self._teams.values():
            for lane in team.lanes.values():
                key = self._sort_key(lane)
                if key is None or lane.shape in self._blocked_shapes:
                    continue
                if best is None or key < best[0]:
                    best = (key, lane)
        return best[1] if best else None

    def _find_workers(self, job: PolicyJob, now: float) -> list[Worker]:
        fitting = [w for w in self._workers.live() if self._can_take(w, job, now)]
        match job.placement:
            case Pack():
                return [min(fitting, key=lambda w: self._packing_score(job, w))] if fitting else []
            case Spread():
                order = [(*self._spread_key(job, w), self._packing_score(job, w)) for w in fitting]
                return [fitting[order.index(min(order))]] if fitting else []
            case AllOrNone():
                fitting.sort(key=lambda w: self._packing_score(job, w))
                chosen: list[Worker] = []
                for worker in fitting:
                    count = tasks_that_fit(job.shape.size, worker.free)
                    chosen += [worker] * count
                return chosen[: job.gang_size] if len(chosen) >= job.gang_size else []

    def _preemption_candidates(self, job: PolicyJob) -> list[Worker]:
        found = [w for w in self._workers.live() if is_candidate(job.shape.size, w)]
        return found[:MAX_WORKERS_EXAMINED]

    def _block(self, job: PolicyJob, now: float) -> None:
        self._blocked_shapes.add(job.shape)

    def _first_blocked(self, waited_since: float, excluded: Collection[Shape]) -> PolicyJob | None:
        found: list[tuple[tuple, PolicyJob]] = []
        for team in self._teams.values():
            for lane in team.lanes.values():
                job, key = lane.head(), self._sort_key(lane)
                is_blocked = (
                    job is not None and key is not None and lane.shape in self._blocked_shapes
                )
                is_excluded = lane.shape in excluded
                if is_blocked and not is_excluded and job.job.submitted_at <= waited_since:
                    found.append((key, job))
        return min(found, key=lambda entry: entry[0])[1] if found else None

    def _can_take(self, worker: Worker, job: PolicyJob, now: float) -> bool:
        if not worker.is_open or not job.shape.size.fits_in(worker.free):
            return False
        if worker.reserved_for in (None, job.job.job_id):
            return True
        return worker.reserved_until >= now + job.shape.run_s

    def _packing_score(self, job: PolicyJob, worker: Worker) -> int:
        return self._workers.packing_scores(worker)[bool(job.shape.size.accelerators)]

    def _spread_key(self, job: PolicyJob, worker: Worker) -> tuple[int, int]:
        rack = worker.policy.rack
        placed = [self._workers.slots[task.worker] for task in job.running.values()]
        return sum(w.policy.rack == rack for w in placed), sum(w is worker for w in placed)
