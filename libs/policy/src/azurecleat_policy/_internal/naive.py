"""A short scheduler that looks at everything for each decision: the oracle of the tests."""

from __future__ import annotations

from azurecleat_model import Scheduling

from azurecleat_policy._internal.decisions import DecisionLoop
from azurecleat_policy._internal.jobs import Lane, PolicyJob, Shape
from azurecleat_policy._internal.kinds import AllOrNone, Pack, Spread
from azurecleat_policy._internal.preemption import WORKERS_EXAMINED, is_candidate
from azurecleat_policy._internal.reservation import places_in
from azurecleat_policy._internal.types import Decision
from azurecleat_policy._internal.workers import Worker


class NaiveScheduler(DecisionLoop):
    """Sorts all lanes and tries all workers, every time."""

    def __init__(self, scheduling: Scheduling) -> None:
        super().__init__(scheduling)
        self._tried: set[Shape] = set()

    def decide(self, now: float, max_starts: int = 1_000_000) -> list[Decision]:
        """Returns the decisions to carry out now, already counted as carried out."""
        self._tried = set()
        return super().decide(now, max_starts)

    def _next_lane(self) -> Lane | None:
        best: tuple[tuple, Lane] | None = None
        for team in self._teams.values():
            for lane in team.lanes.values():
                key = self._key(lane)
                if key is None or lane.shape in self._tried:
                    continue
                if best is None or key < best[0]:
                    best = (key, lane)
        return best[1] if best else None

    def _find_workers(self, job: PolicyJob, now: float) -> list[Worker]:
        fitting = [w for w in self._workers.live() if self._takes(w, job, now)]
        match job.placement:
            case Pack():
                return [min(fitting, key=lambda w: self._fill(job, w))] if fitting else []
            case Spread():
                order = [(*self._spread(job, w), self._fill(job, w)) for w in fitting]
                return [fitting[order.index(min(order))]] if fitting else []
            case AllOrNone():
                fitting.sort(key=lambda w: self._fill(job, w))
                places: list[Worker] = []
                for worker in fitting:
                    count = places_in(job.shape.size, worker.free)
                    places += [worker] * (min(count, 1) if worker.probation.is_active else count)
                return places[: job.places] if len(places) >= job.places else []

    def _preemption_candidates(self, job: PolicyJob) -> list[Worker]:
        found = [w for w in self._workers.live() if is_candidate(job.shape.size, w)]
        return found[:WORKERS_EXAMINED]

    def _block(self, job: PolicyJob, now: float) -> None:
        self._tried.add(job.shape)

    def _first_blocked(self, waited_since: float) -> PolicyJob | None:
        found: list[tuple[tuple, PolicyJob]] = []
        for team in self._teams.values():
            for lane in team.lanes.values():
                job, key = lane.head(), self._key(lane)
                is_blocked = job is not None and key is not None and lane.shape in self._tried
                if is_blocked and job.job.submitted_at <= waited_since:
                    found.append((key, job))
        return min(found, key=lambda entry: entry[0])[1] if found else None

    def _takes(self, worker: Worker, job: PolicyJob, now: float) -> bool:
        if not worker.is_open or not job.shape.size.fits_in(worker.free):
            return False
        if worker.reserved_for in (None, job.job.job_id):
            return True
        return worker.reserved_until >= now + job.shape.run_s

    def _fill(self, job: PolicyJob, worker: Worker) -> int:
        return self._workers.scores(worker)[bool(job.shape.size.accelerators)]

    def _spread(self, job: PolicyJob, worker: Worker) -> tuple[int, int]:
        rack = worker.policy.rack
        placed = [self._workers.slots[task.worker] for task in job.running.values()]
        return sum(w.policy.rack == rack for w in placed), sum(w is worker for w in placed)
