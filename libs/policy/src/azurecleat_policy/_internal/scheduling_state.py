"""State of a scheduler: teams, jobs and workers, and how events change them.

Subclasses implement the search for the next job and its workers. Tests can therefore compare the
indexed scheduler with a brute-force one, decision by decision.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from azurecleat_model import (
    ZERO,
    Job,
    JobKind,
    Quota,
    Resources,
    Scheduling,
    task_quota,
)

from azurecleat_policy._internal.admission import check_fits_limit, check_fits_workers
from azurecleat_policy._internal.estimator import Estimator
from azurecleat_policy._internal.jobs import Lane, PolicyJob, RunningTask, Shape
from azurecleat_policy._internal.probation import PROOF_S
from azurecleat_policy._internal.ranking import (
    DECAY_INTERVAL_S,
    dominant_share,
    quantized_rank,
    virtual_time,
)
from azurecleat_policy._internal.sizing import FleetCapacity, reduce_to_limit
from azurecleat_policy._internal.teams import TeamState
from azurecleat_policy._internal.types import (
    AttemptEnd,
    LimitNeed,
    Refused,
    TaskResult,
    TeamPolicy,
    WorkerPolicy,
)
from azurecleat_policy._internal.workers import Worker, WorkerTable

MAX_ATTEMPTS = 3
"""Failed attempts after which a task fails; failures on workers on probation do not count."""

MAX_LOST_STARTS = 5
"""Consecutive attempts that were lost before a report showed them, after which a task fails: it may
crash the workers that start it. Workers that were only out of reach lose fewer in a row."""

RETRY_AFTER_FULL_QUEUE_S = 5.0


class AdoptedTask(NamedTuple):
    """A task that a new owner finds running on a worker after a takeover."""

    index: int
    worker: str


class SchedulingState:
    """Teams, jobs and workers of one partition.

    Not thread-safe. All times are seconds on one monotonic clock.

    :param scheduling: Scheduling settings of the environment document.
    """

    def __init__(self, scheduling: Scheduling) -> None:
        self._scheduling = scheduling
        self._workers = WorkerTable()
        self._teams: dict[str, TeamState] = {}
        self._jobs: dict[str, PolicyJob] = {}
        self._estimator = Estimator()
        self._deadlines: list[tuple[float, int, PolicyJob]] = []
        self._sequence = 0
        self._decayed_at = 0.0
        self._suspects: list[str] = []
        self._on_probation: dict[str, Worker] = {}
        self._overcommitted: dict[str, Worker] = {}
        self._over_limit: dict[str, TeamState] = {}
        self._ranks_are_stale = False
        self._shares_are_stale = False
        self._sizes_are_stale = False
        self._fleet_capacity: FleetCapacity | None = None

    @property
    def waiting_tasks(self) -> int:
        return sum(team.waiting for team in self._teams.values())

    @property
    def jobs(self) -> dict[str, PolicyJob]:
        return self._jobs

    @property
    def teams(self) -> dict[str, TeamState]:
        return self._teams

    @property
    def workers(self) -> dict[str, Worker]:
        return self._workers.by_name

    def take_suspects(self) -> list[str]:
        """Returns the workers put on probation since the last call."""
        suspects, self._suspects = self._suspects, []
        return suspects

    def set_scheduling(self, scheduling: Scheduling) -> None:
        """Replaces the scheduling settings."""
        self._scheduling = scheduling
        self._all_ranks_changed()

    def set_team(self, policy: TeamPolicy) -> None:
        """Adds a team or changes its share and limits."""
        team = self._teams.get(policy.name)
        if team is None:
            self._teams[policy.name] = TeamState(policy)
            self._shares_are_stale = True
            return
        share_changed = team.policy.share != policy.share
        if team.policy == policy:
            return
        self._sizes_are_stale |= team.policy.fleet_limit != policy.fleet_limit
        team.policy = policy
        if not policy.limit.covers(team.used):
            self._over_limit[policy.name] = team
        self._shares_are_stale |= share_changed
        self._team_changed(team)

    def remove_team(self, name: str) -> None:
        """Sets a team's limit to zero: nothing starts, and repeatable tasks are reclaimed."""
        team = self._teams.get(name)
        if team is not None:
            self.set_team(team.policy._replace(limit=Quota(0, 0, 0, 0, 0)))

    def add_worker(self, policy: WorkerPolicy) -> None:
        """Adds a worker; does nothing if there is one of that name."""
        if policy.name in self._workers.by_name:
            return
        worker = self._workers.add(policy)
        self._ranks_are_stale = True
        self._usable_workers_changed()
        self._capacity_freed(worker)

    def remove_worker(self, name: str, now: float) -> list[AttemptEnd]:
        """Removes a worker and ends its tasks as lost."""
        worker = self._workers.by_name.get(name)
        if worker is None:
            return []
        ended = [
            self.finish(job_id, index, TaskResult.LOST, now) for job_id, index in list(worker.tasks)
        ]
        self._workers.remove(name)
        self._ranks_are_stale = True
        self._usable_workers_changed()
        self._worker_closed(worker)
        return ended

    def set_draining(self, name: str, draining: bool) -> None:
        """Stops placing tasks on a worker, or resumes it."""
        worker = self._workers.by_name[name]
        if worker.draining == draining:
            return
        worker.draining = draining
        self._workers.sync(worker)
        self._usable_workers_changed()
        if draining:
            self._worker_closed(worker)
        else:
            self._capacity_freed(worker)

    def check(self, job: Job) -> Refused | None:
        """Returns why a job would be refused now, or None if it would be accepted."""
        team = self._teams.get(job.team)
        if team is None:
            return Refused("unknown-team", f"no team {job.team!r}")
        gang_size = job.spec.tasks if job.spec.kind is JobKind.ALL_AT_ONCE else 1
        refused = check_fits_limit(job, gang_size, team.policy.fleet_limit)
        refused = refused or check_fits_workers(job, gang_size, self._workers.live())
        if refused:
            return refused
        if team.waiting + job.spec.tasks > team.policy.queue_limit:
            limit = team.policy.queue_limit
            detail = f"{team.waiting} tasks wait, the queue limit is {limit}"
            return Refused("queue-full", detail, RETRY_AFTER_FULL_QUEUE_S)
        return None

    def submit(self, job: Job, waiting: list[int] | None = None) -> None:
        """Queues an accepted job.

        :param waiting: Indexes of the tasks to run; None for all.
        """
        if job.job_id in self._jobs:
            return
        indexes = list(range(job.spec.tasks)) if waiting is None else list(waiting)
        # Tasks are popped from the end, so the lowest index starts first.
        indexes.reverse()
        self._sequence += 1
        queued = PolicyJob(job, self._sequence, self._shape_of(job, len(indexes)), indexes)
        self._jobs[job.job_id] = queued
        self._schedule_deadline(queued)
        self._teams[job.team].waiting += len(indexes)
        self._enqueue(queued)

    def adopt(self, job_id: str, tasks: list[AdoptedTask], now: float) -> None:
        """Records tasks found running after a takeover; they no longer wait."""
        job = self._jobs[job_id]
        for index, name in tasks:
            worker = self._workers.by_name[name]
            if index in job.waiting:
                job.waiting.remove(index)
                self._teams[job.job.team].waiting -= 1
                self._place(job, index, worker, now)
        if job.waiting:
            self._update_shape(job)
        self._team_changed(self._teams[job.job.team])

    def drop_waiting(self, job_id: str, index: int) -> None:
        """Removes a waiting task, so that it never starts."""
        job = self._jobs.get(job_id)
        if job is None or index not in job.waiting:
            return
        job.waiting.remove(index)
        self._teams[job.job.team].waiting -= 1
        if job.waiting:
            self._update_shape(job)
            return
        self._lane_changed(job.lane)
        if not job.running:
            del self._jobs[job_id]
            self._job_left_queue(job)

    def cancel(self, job_id: str) -> list[tuple[int, str]]:
        """Drops the waiting tasks of a job, in time that does not grow with their number.

        :return: Index and worker of each running task, for the caller to stop.
        """
        job = self._jobs.get(job_id)
        if job is None:
            return []
        self._teams[job.job.team].waiting -= len(job.waiting)
        job.waiting = []
        job.live = False
        self._job_left_queue(job)
        if not job.running:
            del self._jobs[job_id]
        return [(index, self.worker_name(task)) for index, task in job.running.items()]

    def finish(self, job_id: str, index: int, result: TaskResult, now: float) -> AttemptEnd:
        """Ends an attempt of a task; queues the task again if it may be retried."""
        job = self._jobs.get(job_id)
        task = job.running.pop(index, None) if job else None
        if job is None or task is None:
            return AttemptEnd(job_id, index, None)
        worker = self._workers.slots[task.worker]
        assert worker is not None
        del worker.tasks[(job_id, index)]
        worker.free = worker.free.plus(task.held)
        self._record_outcome(worker, job, task, result, now)
        self._workers.sync(worker)
        team = self._teams[job.job.team]
        team.remove_usage(task_quota(task.size), task.held, self._workers.total)
        final = self._final_result(job, task, result, worker)
        if final is None and job.live:
            self._requeue(job, index)
        self._capacity_freed(worker)
        self._team_changed(team)
        if not job.running and not job.waiting:
            self._jobs.pop(job_id, None)
            self._job_left_queue(job)
        return AttemptEnd(job_id, index, final)

    def report(self, job_id: str, index: int, used: Resources) -> None:
        """Applies a usage report: a task holds the larger of its size and its reported usage."""
        job = self._jobs.get(job_id)
        task = job.running.get(index) if job else None
        if job is None or task is None:
            return
        task.is_reported = True
        job.lost_starts.pop(index, None)
        held = task.size.at_least(used)
        if held == task.held:
            return
        if not used.fits_in(task.size):
            self._estimator.observe_peak(job.job, held)
        worker = self._workers.slots[task.worker]
        assert worker is not None
        grew = not held.fits_in(task.held)
        worker.free = worker.free.plus(task.held).plus(held, -1)
        team = self._teams[job.job.team]
        team.held = team.held.plus(task.held, -1).plus(held)
        task.held = held
        team.update_rank(self._workers.total)
        self._workers.sync(worker)
        self._team_changed(team)
        if min(worker.free) < 0:
            self._overcommitted[worker.policy.name] = worker
        if not grew:
            self._capacity_freed(worker)

    def worker_name(self, task: RunningTask) -> str:
        """Returns the name of the worker that runs a task."""
        worker = self._workers.slots[task.worker]
        assert worker is not None
        return worker.policy.name

    def blocked_by_limit(self, now: float) -> dict[str, LimitNeed]:
        """Returns the teams whose limit blocks a job, with the need of the oldest such job."""
        blocked: dict[str, LimitNeed] = {}
        for name, team in self._teams.items():
            if not team.waiting:
                continue
            heads = (lane.head() for lane in team.lanes.values())
            blocked_jobs = [job for job in heads if job is not None and not team.has_headroom(job)]
            if blocked_jobs:
                oldest = min(blocked_jobs, key=lambda job: job.submission_order)
                waited_s = now - oldest.job.submitted_at
                blocked[name] = LimitNeed(oldest.next_start_quota, team.waiting, waited_s)
        return blocked

    # Hooks with which subclasses keep their search structures up to date.

    def _lane_changed(self, lane: Lane | None) -> None:
        """Called when the head of a lane may have changed, or the lane may have become empty."""

    def _team_changed(self, team: TeamState) -> None:
        """Called when a team's rank or headroom changed."""

    def _all_ranks_changed(self) -> None:
        """Called when every team's rank may have changed."""
        for team in self._teams.values():
            team.update_rank(self._workers.total)

    def _capacity_freed(self, worker: Worker) -> None:
        """Called when a worker has more free capacity, or accepts tasks again."""

    def _worker_closed(self, worker: Worker) -> None:
        """Called when a worker stops accepting tasks."""

    def _job_left_queue(self, job: PolicyJob) -> None:
        """Called when a job has ended or its waiting tasks were dropped."""

    # Shared by both schedulers.

    def _sort_key(self, lane: Lane) -> tuple | None:
        """Returns the sort key of a lane, lowest first, or None if it cannot start anything."""
        job = lane.head()
        team = self._teams[lane.team]
        if job is None or not team.has_headroom(job):
            return None
        rank = quantized_rank(team.rank, self._scheduling.waiting_weight)
        return (not job.shape.urgent, rank, job.virtual_time, job.sequence)

    def _virtual_time(self, job: PolicyJob) -> float:
        fraction = dominant_share(ZERO.plus(job.shape.size, job.gang_size), self._workers.total)
        weight = self._scheduling.waiting_weight
        return virtual_time(job.job.submitted_at, fraction, job.shape.run_s, weight)

    def _place(self, job: PolicyJob, index: int, worker: Worker, now: float) -> RunningTask:
        task = RunningTask(job, index, worker.index, now)
        job.running[index] = task
        worker.tasks[(job.job.job_id, index)] = task
        worker.free = worker.free.plus(task.size, -1)
        self._workers.sync(worker)
        team = self._teams[job.job.team]
        team.add_usage(task_quota(task.size), task.held, self._workers.total)
        return task

    def _take_expired(self, now: float) -> list[tuple[PolicyJob, list[int]]]:
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            job = heapq.heappop(self._deadlines)[2]
            if not job.live or not job.waiting:
                continue
            indexes, job.waiting = job.waiting, []
            self._teams[job.job.team].waiting -= len(indexes)
            self._lane_changed(job.lane)
            self._job_left_queue(job)
            if not job.running:
                self._jobs.pop(job.job.job_id, None)
            expired.append((job, sorted(indexes)))
        return expired

    def _decay_usage(self, now: float) -> None:
        if now - self._decayed_at < DECAY_INTERVAL_S:
            return
        elapsed = now - self._decayed_at
        self._decayed_at = now
        half_life = self._scheduling.usage_half_life_s
        for team in self._teams.values():
            team.decay(elapsed, half_life, self._workers.total)
        self._all_ranks_changed()

    def _update_probations(self, now: float) -> None:
        for name, worker in list(self._on_probation.items()):
            if self._workers.by_name.get(name) is not worker or not worker.probation.is_active:
                del self._on_probation[name]
            elif _has_long_probe(worker, now):
                worker.probation.on_success()
                self._usable_workers_changed()
                self._workers.sync(worker)
                self._capacity_freed(worker)
            elif worker.probation.tick(now):
                self._workers.sync(worker)
                self._capacity_freed(worker)

    def _refresh(self) -> None:
        """Recomputes weights, sizes, entitlements and ranks if workers or teams changed."""
        self._workers.refresh_weights()
        if self._sizes_are_stale:
            self._sizes_are_stale = False
            self._reduce_sizes()
        if self._shares_are_stale:
            self._shares_are_stale = self._ranks_are_stale = False
            self._update_entitlements()
        elif self._ranks_are_stale:
            self._ranks_are_stale = False
            self._all_ranks_changed()

    def _reduce_sizes(self) -> None:
        """Reduces the sizes of waiting jobs that no longer fit into the workers or the limit."""
        for team in self._teams.values():
            for lane in list(team.lanes.values()):
                if not self._could_start(team, lane.shape):
                    for job in lane.jobs():
                        self._update_shape(job)

    def _could_start(self, team: TeamState, shape: Shape) -> bool:
        """Returns whether a shape could start if all workers were idle."""
        fleet = self._usable_fleet()
        if not team.policy.fleet_limit.covers(task_quota(shape.size, shape.gang_size)):
            return False
        return fleet.is_empty or fleet.fits(shape.size, shape.gang_size)

    def _usable_fleet(self) -> FleetCapacity:
        if self._fleet_capacity is None:
            self._fleet_capacity = FleetCapacity(self._workers.usable_capacities())
        return self._fleet_capacity

    def _usable_workers_changed(self) -> None:
        """Called when a worker was added or removed, drains, resumes, or changes probation."""
        self._fleet_capacity = None
        self._sizes_are_stale = True

    def _update_entitlements(self) -> None:
        shares = sum(team.policy.share for team in self._teams.values())
        for team in self._teams.values():
            team.entitled = team.policy.share / shares
        self._all_ranks_changed()

    def _enqueue(self, job: PolicyJob) -> None:
        team = self._teams[job.job.team]
        job.virtual_time = self._virtual_time(job)
        team.lane_for(job.shape).push(job)
        self._lane_changed(job.lane)

    def _requeue(self, job: PolicyJob, index: int) -> None:
        self._teams[job.job.team].waiting += 1
        job.waiting.append(index)
        # If the deadline passed while the attempt ran, the next decision expires the task.
        self._schedule_deadline(job)
        self._update_shape(job)

    def _schedule_deadline(self, job: PolicyJob) -> None:
        deadline_s = job.job.spec.deadline_s
        if deadline_s is not None:
            deadline = job.job.submitted_at + deadline_s
            heapq.heappush(self._deadlines, (deadline, job.sequence, job))

    def _update_shape(self, job: PolicyJob) -> None:
        """Moves a job to the lane of its current shape, after its size or task count changed."""
        shape = self._shape_of(job.job, len(job.waiting))
        previous_lane = job.lane
        if previous_lane is not None and shape == job.shape:
            self._lane_changed(previous_lane)
            return
        job.lane = None
        job.shape = shape
        self._lane_changed(previous_lane)
        self._enqueue(job)

    def _shape_of(self, job: Job, tasks: int) -> Shape:
        gang_size = tasks if job.spec.kind is JobKind.ALL_AT_ONCE else 1
        declared = job.resources
        limit = self._teams[job.team].policy.fleet_limit
        size = reduce_to_limit(self._estimator.size(job), declared, gang_size, limit)
        size = self._usable_fleet().reduce(size, declared, gang_size)
        return Shape(job.spec.urgent, job.spec.kind, size, gang_size, self._estimator.run_s(job))

    def _final_result(
        self, job: PolicyJob, task: RunningTask, result: TaskResult, worker: Worker
    ) -> TaskResult | None:
        index = task.index
        if result is TaskResult.DONE:
            return result
        if result is TaskResult.NOT_STARTED:
            return None
        if not job.job.spec.repeatable:
            return TaskResult.FAILED if result is TaskResult.FAILED else TaskResult.LOST
        if result is TaskResult.FAILED and not worker.probation.is_active:
            attempts = job.attempts[index] = job.attempts.get(index, 0) + 1
            return TaskResult.FAILED if attempts >= MAX_ATTEMPTS else None
        if result is TaskResult.LOST and not task.is_reported:
            losses = job.lost_starts[index] = job.lost_starts.get(index, 0) + 1
            return TaskResult.FAILED if losses >= MAX_LOST_STARTS else None
        return None

    def _record_outcome(
        self, worker: Worker, job: PolicyJob, task: RunningTask, result: TaskResult, now: float
    ) -> None:
        if result is TaskResult.DONE:
            self._estimator.observe_duration(job.job, now - task.started_at)
            if worker.probation.on_success():
                self._usable_workers_changed()
        elif result is TaskResult.FAILED and worker.probation.on_failure(
            job.job.team, job.job.spec.name, task.started_at, now
        ):
            self._suspects.append(worker.policy.name)
            self._on_probation[worker.policy.name] = worker
            self._usable_workers_changed()
            self._worker_closed(worker)


def _has_long_probe(worker: Worker, now: float) -> bool:
    return any(
        task.is_reported
        and worker.probation.is_probe(task.started_at)
        and now - task.started_at >= PROOF_S
        for task in worker.tasks.values()
    )
