"""The decision loop: expiry, reclaiming, starts, preemption and reservations.

Subclasses implement the search for the next lane and for workers.
"""

from __future__ import annotations

from collections.abc import Collection

from azurecleat_model import NO_QUOTA, Quota, Scheduling, task_quota

from azurecleat_policy._internal.admission import check_fits_limit, check_fits_workers
from azurecleat_policy._internal.jobs import Lane, PolicyJob, RunningTask, Shape
from azurecleat_policy._internal.preemption import Victims, choose_victims
from azurecleat_policy._internal.reservation import Reservation, plan_reservation
from azurecleat_policy._internal.scheduling_state import SchedulingState
from azurecleat_policy._internal.types import (
    Decision,
    Expire,
    Reclaim,
    ReclaimMethod,
    Refused,
    Start,
    Wait,
)
from azurecleat_policy._internal.workers import Worker

RECLAIM_TIMEOUT_S = 1.5
"""Seconds that a task has to release its capacity; after that it is stopped."""

RESERVATION_MAX_AGE_S = 30.0
"""Age at which a reservation ends, so that workers are chosen anew."""

RESERVATION_SCAN_INTERVAL_S = 1.0
"""Interval between searches for a blocked job that has waited too long."""

MAX_PLANS_PER_SCAN = 8
"""Most jobs for which one search plans a reservation, as each plan examines all workers."""


class DecisionLoop(SchedulingState):
    """Derives decisions from the state, and applies them to it at once."""

    def __init__(self, scheduling: Scheduling) -> None:
        super().__init__(scheduling)
        self._reservation: Reservation | None = None
        self._reserved_at = 0.0
        self._scanned_at = 0.0
        self._unplannable: set[Shape] = set()
        """Shapes that the workers could not fit in the searches since one reached all jobs."""
        self._reclaiming: dict[tuple[str, int], RunningTask] = {}
        self._urgent_reservations: dict[str, list[str]] = {}

    def decide(self, now: float, max_starts: int = 1_000_000) -> list[Decision]:
        """Returns the decisions to carry out now. The state already includes them.

        To undo a start that did not happen, call ``finish`` with ``TaskResult.NOT_STARTED``.

        :param now: Current time in seconds.
        :param max_starts: Number of starts after which no further job is considered.
        """
        self._refresh()
        decisions: list[Decision] = [
            Expire(job.job.job_id, tuple(indexes)) for job, indexes in self._take_expired(now)
        ]
        self._decay_usage(now)
        self._update_probations(now)
        decisions += self._escalate_reclaims(now)
        decisions += self._reclaim_overcommitted(now)
        decisions += self._reclaim_over_limit(now)
        self._expire_reservation(now)
        decisions += self._start_reserved_jobs(now)
        starts = 0
        while starts < max_starts:
            lane = self._next_lane()
            if lane is None:
                break
            job = lane.head()
            assert job is not None
            workers = self._find_workers(job, now)
            if workers:
                decisions += self._start(job, workers, now)
                starts += len(workers)
            else:
                decisions += self._on_blocked(job, now)
        if now - self._scanned_at >= RESERVATION_SCAN_INTERVAL_S:
            self._scanned_at = now
            self._reserve_for_blocked_job(now)
        return decisions

    def explain_wait(self, job_id: str, now: float) -> Wait | None:
        """Returns what a job waits for, or None if the job is unknown."""
        job = self._jobs.get(job_id)
        if job is None:
            return None
        self._refresh()
        reason, detail = self._wait_reason(job, now)
        return Wait(job_id, len(job.waiting), len(job.running), reason, detail)

    def unschedulable_jobs(
        self, limits: dict[str, Quota] | None = None
    ) -> list[tuple[str, Refused]]:
        """Returns the ids of queued jobs that cannot run in the current fleet, with the reason.

        :param limits: Fleet-wide limits by team to check against; None uses the current ones.
        """
        found = []
        for job_id, job in self._jobs.items():
            if not job.waiting:
                continue
            limit = self._teams[job.job.team].policy.fleet_limit
            if limits is not None:
                limit = limits.get(job.job.team, NO_QUOTA)
            refused = check_fits_limit(job.job, job.gang_size, limit)
            refused = refused or check_fits_workers(job.job, job.gang_size, self._workers.live())
            if refused and refused.code.startswith("never"):
                found.append((job_id, refused))
        return found

    # Search, implemented by subclasses.

    def _next_lane(self) -> Lane | None:
        """Returns the next lane to start a task from, or None if nothing can start."""
        raise NotImplementedError

    def _find_workers(self, job: PolicyJob, now: float) -> list[Worker]:
        """Returns a worker for each task that the next decision places, or an empty list."""
        raise NotImplementedError

    def _preemption_candidates(self, job: PolicyJob) -> list[Worker]:
        """Returns workers on which preemption would free enough capacity for a task."""
        raise NotImplementedError

    def _block(self, job: PolicyJob, now: float) -> None:
        """Excludes the shape of a job from the search until capacity is freed."""
        raise NotImplementedError

    def _first_blocked(self, waited_since: float, excluded: Collection[Shape]) -> PolicyJob | None:
        """Returns the first job, in scheduling order, among those blocked by lack of capacity.

        The order is not that of age: with reservations for the oldest job, a full fleet would
        serve jobs first come, first served, and ignore the shares.

        :param waited_since: Only jobs submitted by this time qualify.
        :param excluded: Shapes of which no job qualifies.
        """
        raise NotImplementedError

    # Parts of a decision.

    def _start(self, job: PolicyJob, workers: list[Worker], now: float) -> list[Decision]:
        team = self._teams[job.job.team]
        started: list[Decision] = []
        for worker in workers:
            index = job.waiting.pop()
            team.waiting -= 1
            self._place(job, index, worker, now)
            started.append(Start(job.job.job_id, index, worker.policy.name, job.shape.size))
        self._end_job_reservations(job.job.job_id)
        self._lane_changed(job.lane)
        self._team_changed(team)
        return started

    def _start_reserved_jobs(self, now: float) -> list[Decision]:
        """Starts jobs with reserved workers, regardless of the order of lanes."""
        job_ids = list(self._urgent_reservations)
        if self._reservation is not None:
            job_ids.append(self._reservation.job_id)
        decisions: list[Decision] = []
        for job_id in job_ids:
            job = self._jobs.get(job_id)
            if job is None or not job.waiting or not self._teams[job.job.team].has_headroom(job):
                continue
            workers = self._find_workers(job, now)
            if workers:
                decisions += self._start(job, workers, now)
        return decisions

    def _on_blocked(self, job: PolicyJob, now: float) -> list[Decision]:
        self._block(job, now)
        if not job.shape.urgent or job.gang_size > 1 or job.job.job_id in self._urgent_reservations:
            return []
        victims = choose_victims(job.shape.size, self._preemption_candidates(job), now)
        return self._preempt(job, victims, now) if victims else []

    def _preempt(self, job: PolicyJob, victims: Victims, now: float) -> list[Decision]:
        self._urgent_reservations[job.job.job_id] = [victims.worker.policy.name]
        self._workers.reserve(victims.worker, job.job.job_id, now)
        return [self._reclaim(task, ReclaimMethod.CHECKPOINT, now) for task in victims.tasks]

    def _reclaim(self, task: RunningTask, how: ReclaimMethod, now: float) -> Reclaim:
        task.reclaimed_at = now
        self._reclaiming[(task.job.job.job_id, task.index)] = task
        return Reclaim(task.job.job.job_id, task.index, self.worker_name(task), how)

    def _escalate_reclaims(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for key, task in list(self._reclaiming.items()):
            if task.job.running.get(task.index) is not task:
                del self._reclaiming[key]
            elif task.reclaimed_at is not None and now - task.reclaimed_at > RECLAIM_TIMEOUT_S:
                decisions.append(self._reclaim(task, ReclaimMethod.STOP, now))
        return decisions

    def _reclaim_overcommitted(self, now: float) -> list[Decision]:
        """Reclaims capacity on workers whose tasks use more than the worker has.

        At most one task per worker is reclaimed at a time: the one whose usage of any resource
        exceeds its size the most. It is checkpointed if memory is overcommitted, otherwise
        throttled.
        """
        decisions: list[Decision] = []
        for name, worker in list(self._overcommitted.items()):
            if self._workers.by_name.get(name) is not worker or min(worker.free) >= 0:
                del self._overcommitted[name]
                continue
            exceeding = [t for t in worker.tasks.values() if t.reclaimed_at is None]
            exceeding = [t for t in exceeding if not t.held.fits_in(t.size)]
            if not exceeding or any(t.reclaimed_at is not None for t in worker.tasks.values()):
                continue
            task = max(exceeding, key=lambda t: (_excess(t), t.job.sequence, t.index))
            how = ReclaimMethod.CHECKPOINT if worker.free.memory_mb < 0 else ReclaimMethod.THROTTLE
            decisions.append(self._reclaim(task, how, now))
        return decisions

    def _reclaim_over_limit(self, now: float) -> list[Decision]:
        """Reclaims tasks of teams whose limit was lowered below what they run.

        The tasks started last are reclaimed first. Tasks that are not repeatable run to their
        end, because reclaiming would lose them.
        """
        decisions: list[Decision] = []
        for name, team in list(self._over_limit.items()):
            if team.policy.limit.covers(team.used):
                del self._over_limit[name]
                continue
            tasks = [
                task
                for job in self._jobs.values()
                if job.job.team == team.policy.name and job.job.spec.repeatable
                for task in job.running.values()
            ]
            left = team.used
            for task in tasks:
                if task.reclaimed_at is not None:
                    left = left.minus(task_quota(task.size))
            tasks = [task for task in tasks if task.reclaimed_at is None]
            tasks.sort(key=lambda t: (t.started_at, t.job.sequence, t.index), reverse=True)
            for task in tasks:
                if team.policy.limit.covers(left):
                    break
                left = left.minus(task_quota(task.size))
                decisions.append(self._reclaim(task, ReclaimMethod.CHECKPOINT, now))
        return decisions

    def _expire_reservation(self, now: float) -> None:
        reservation = self._reservation
        if reservation is None:
            return
        job = self._jobs.get(reservation.job_id)
        if job is None or not job.waiting or now - self._reserved_at >= RESERVATION_MAX_AGE_S:
            self._end_reservation()

    def _reserve_for_blocked_job(self, now: float) -> None:
        reservation = None if self._reservation is not None else self._plan_reservation(now)
        if reservation is None:
            return
        self._reservation = reservation
        self._reserved_at = now
        for name in reservation.workers:
            worker = self._workers.by_name[name]
            self._workers.reserve(worker, reservation.job_id, reservation.until)

    def _plan_reservation(self, now: float) -> Reservation | None:
        """Plans a reservation for the first blocked job that the workers could fit.

        Jobs that need more than the workers have now must not keep the others from one. A search
        goes on where the one before it ended, until one has reached all jobs.
        """
        waited_since = now - self._scheduling.reserve_after_s
        for _ in range(MAX_PLANS_PER_SCAN):
            job = self._first_blocked(waited_since, self._unplannable)
            reservation = plan_reservation(job, self._workers.live(), now) if job else None
            if job is None or reservation is not None:
                self._unplannable.clear()
                return reservation
            self._unplannable.add(job.shape)
        return None

    def _end_job_reservations(self, job_id: str) -> None:
        for name in self._urgent_reservations.pop(job_id, ()):
            self._unreserve_worker(name, job_id)
        if self._reservation is not None and self._reservation.job_id == job_id:
            self._end_reservation()

    def _end_reservation(self) -> None:
        reservation, self._reservation = self._reservation, None
        assert reservation is not None
        for name in reservation.workers:
            self._unreserve_worker(name, reservation.job_id)

    def _unreserve_worker(self, name: str, job_id: str) -> None:
        worker = self._workers.by_name.get(name)
        if worker is not None and worker.reserved_for == job_id:
            self._workers.reserve(worker, None, 0.0)
            self._capacity_freed(worker)

    def _job_left_queue(self, job: PolicyJob) -> None:
        self._end_job_reservations(job.job.job_id)

    def _worker_closed(self, worker: Worker) -> None:
        if worker.reserved_for is None:
            return
        job_id = worker.reserved_for
        self._end_job_reservations(job_id)

    def _wait_reason(self, job: PolicyJob, now: float) -> tuple[str, str]:
        team = self._teams[job.job.team]
        refused = self.check(job.job)
        if not job.waiting:
            return "running", "all tasks are running"
        if refused and refused.code.startswith("never"):
            return refused.code, refused.detail
        if not team.has_headroom(job):
            return "team-limit", f"in use {tuple(team.used)}, limit {tuple(team.policy.limit)}"
        if self._reservation is not None and self._reservation.job_id == job.job.job_id:
            wait_s = max(0.0, self._reservation.until - now)
            return "reserved", f"workers are kept for it, expected in {wait_s:.0f} s"
        if not self._find_workers(job, now):
            return "capacity", "no worker has enough free capacity now"
        head = job.lane.head() if job.lane else None
        if head is not None and head is not job:
            return "behind-own-team", f"job {head.job.job_id} of the same team goes first"
        return "order", f"teams further below their share go first (rank {team.rank:.2f})"


def _excess(task: RunningTask) -> int:
    return max(held - size for held, size in zip(task.held, task.size, strict=True))
