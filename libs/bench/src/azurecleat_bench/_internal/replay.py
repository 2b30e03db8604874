"""Replays job arrivals through a scheduler on a virtual clock.

It compares policies on the same arrivals. The cluster is reduced to workers that run each task for
its actual run time.
"""

from __future__ import annotations

import heapq
import random
import time
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from azurecleat_model import Job, JobKind, JobSpec, Quota, Resources, Scheduling, TaskSize
from azurecleat_policy import (
    Expire,
    Reclaim,
    ReclaimMethod,
    Scheduler,
    Start,
    TaskResult,
    TeamPolicy,
    WorkerPolicy,
    dominant_share,
)

TICK_S = 0.5
REPORT_LAG_S = 5.0
BLACK_HOLE_FAIL_S = 1.0
WORKERS_PER_RACK = 8


class Profile(NamedTuple):
    """Sizes and traffic of one of the two users.

    ``teams`` lists name, share and arrival rate in jobs per second of each team. ``burst`` is its
    start and end in seconds and the factor by which it multiplies the rates.
    """

    name: str
    workers: int
    capacity: Resources
    teams: tuple[tuple[str, float, float], ...]
    scheduling: Scheduling
    length_s: float
    burst: tuple[float, float, float]
    deadline_s: float


DUCTLINE = Profile(
    "ductline",
    24,
    Resources(64_000, 256_000, 0),
    (
        ("telco-a", 3.0, 0.30),
        ("telco-b", 3.0, 0.30),
        ("franchise-a", 1.0, 0.12),
        ("franchise-b", 1.0, 0.12),
        ("council", 1.0, 0.06),
        ("feeds", 1.0, 0.06),
    ),
    Scheduling(waiting_weight=1.0, usage_half_life_s=300.0),
    1800.0,
    (400.0, 700.0, 3.0),
    900.0,
)

KLUBNET = Profile(
    "klubnet",
    24,
    Resources(32_000, 64_000, 0),
    (
        ("almaty-big", 2.0, 0.30),
        ("astana-big", 2.0, 0.25),
        ("club-a", 1.0, 0.05),
        ("club-b", 1.0, 0.05),
        ("club-c", 1.0, 0.05),
        ("club-d", 1.0, 0.05),
    ),
    Scheduling(waiting_weight=0.1, usage_half_life_s=300.0),
    1800.0,
    (400.0, 700.0, 3.0),
    900.0,
)

PROFILES = {profile.name: profile for profile in (DUCTLINE, KLUBNET)}
FAULTS = ("wrong-sizes", "black-hole", "cancel-wave", "flood", "impossible")
"""Faults of the arrivals and workers.

``wrong-sizes``: Declared run times and sizes differ from the actual ones.
``black-hole``: Two workers fail every task shortly after its start.
``cancel-wave``: Half of the jobs that arrive before 700 s are cancelled at 600 s, or on
    arrival if that is later.
``flood``: From the start of the burst on, the first team submits at five times its rate.
``impossible``: Five per cent of the jobs need more CPU than any worker has.
"""


class Arrival(NamedTuple):
    """A job with its actual run time and resource use, which may differ from the declared ones."""

    at: float
    job: Job
    run_s: float
    used: Resources
    cancelled_at: float | None


class ReplayMeasures(NamedTuple):
    """Measures of one replay.

    ``waits`` holds the waiting times in seconds by team and kind of job. ``given_up`` counts the
    tasks that failed for good.
    """

    waits: dict[tuple[str, str], list[float]]
    share_errors: list[float]
    packing: list[float]
    decisions_s: list[float]
    given_up: int


def make_arrivals(profile: Profile, faults: frozenset[str], seed: int) -> list[Arrival]:
    """Generates the arrivals of a profile, with its burst and the faults."""
    rng = random.Random(seed)
    scale = profile.capacity.cpu_milli / 64_000
    arrivals: list[Arrival] = []
    for team, _, rate in profile.teams:
        now = 0.0
        while True:
            began, ended, factor = profile.burst
            in_burst = began <= now < ended
            flood = "flood" in faults and team == profile.teams[0][0] and now >= began
            speed = rate * (factor if in_burst else 1.0) * (5.0 if flood else 1.0)
            now += rng.expovariate(speed)
            if now >= profile.length_s:
                break
            arrivals.append(_arrival(rng, profile, faults, team, now, len(arrivals), scale))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _arrival(
    rng: random.Random,
    profile: Profile,
    faults: frozenset[str],
    team: str,
    now: float,
    number: int,
    scale: float,
) -> Arrival:
    kind = rng.choices(list(JobKind), (5, 85, 10))[0]
    tasks = rng.choice((1, 2, 4)) if kind is JobKind.BATCH else rng.choice((1, 2, 3))
    cpu = int(rng.choice((2000, 4000, 8000, 16_000)) * scale)
    memory = int(
        cpu * rng.choice((2, 3.5)) * profile.capacity.memory_mb / profile.capacity.cpu_milli / 4
    )
    run_s = rng.choice((20.0, 60.0, 120.0)) * (10 if kind is JobKind.SERVICE else 1)
    declared_run_s = run_s
    used = Resources(cpu, memory, 0)
    if "wrong-sizes" in faults:
        declared_run_s = run_s * rng.choice((0.2, 1.0, 5.0))
        factor = rng.choice((0.5, 1.0, 1.0, 1.6))
        used = Resources(int(cpu * factor), int(memory * factor), 0)
    if "impossible" in faults and rng.random() < 0.05:
        cpu = profile.capacity.cpu_milli * 2
    cancelled_at = None
    if "cancel-wave" in faults and now < 700.0 and rng.random() < 0.5:
        cancelled_at = max(now, 600.0)
    spec = JobSpec(
        f"{kind.value}-{cpu}-{int(run_s)}",
        kind,
        TaskSize(cpu, memory),
        tasks,
        run_s=declared_run_s,
        urgent=rng.random() < 0.02 and kind is JobKind.BATCH,
    )
    return Arrival(now, Job(f"job-{number}", team, spec, now), run_s, used, cancelled_at)


class Replay:
    """One run of a policy over arrivals.

    :param make_scheduler: Creates the scheduler under test.
    """

    def __init__(
        self,
        profile: Profile,
        faults: frozenset[str],
        arrivals: list[Arrival],
        make_scheduler: Callable[[Scheduling], Scheduler],
    ) -> None:
        self._profile = profile
        self._faults = faults
        self._arrivals = arrivals
        self._by_id = {arrival.job.job_id: arrival for arrival in arrivals}
        self._scheduler = make_scheduler(profile.scheduling)
        self._ends: list[tuple[float, int, str, int, TaskResult]] = []
        self._attempts: dict[tuple[str, int], int] = {}
        self._counter = 0
        self._started_at: dict[tuple[str, int], float] = {}
        self._given_up = 0
        self._measures = ReplayMeasures(defaultdict(list), [], [], [], 0)

    def run(self) -> ReplayMeasures:
        """Replays all arrivals and returns the measures."""
        self._set_up()
        pending = list(reversed(self._arrivals))
        cancels = sorted(
            (a.cancelled_at, a.job.job_id) for a in self._arrivals if a.cancelled_at is not None
        )
        now = 0.0
        while now < self._profile.length_s:
            now += TICK_S
            while pending and pending[-1].at <= now:
                self._submit(pending.pop())
            while cancels and cancels[0][0] <= now:
                self._cancel(cancels.pop(0)[1], now)
            self._end_tasks(now)
            self._decide(now)
            self._record_shares(now)
        return self._record_unfinished(now)

    def _set_up(self) -> None:
        for team, share, _ in self._profile.teams:
            self._scheduler.set_team(TeamPolicy(team, share, Quota(), 1_000_000))
        for index in range(self._profile.workers):
            name, rack = f"worker-{index}", f"rack-{index // WORKERS_PER_RACK}"
            self._scheduler.add_worker(WorkerPolicy(name, rack, self._profile.capacity))

    def _submit(self, arrival: Arrival) -> None:
        if self._scheduler.check(arrival.job) is None:
            self._scheduler.submit(arrival.job)

    def _cancel(self, job_id: str, now: float) -> None:
        for index, _ in self._scheduler.cancel(job_id):
            self._attempts[(job_id, index)] = -1
            self._scheduler.finish(job_id, index, TaskResult.STOPPED, now)

    def _end_tasks(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            at, attempt, job_id, index, result = heapq.heappop(self._ends)
            if self._attempts.get((job_id, index)) != attempt:
                continue
            ended = self._scheduler.finish(job_id, index, result, at)
            if ended.final is TaskResult.DONE:
                self._record_wait(job_id, self._started_at.pop((job_id, index)))
            elif ended.final is not None:
                # A task that failed for good counts as waiting until the end of the replay.
                self._given_up += 1
                self._record_wait(job_id, self._profile.length_s)

    def _decide(self, now: float) -> None:
        began = time.perf_counter()
        decisions = self._scheduler.decide(now)
        self._measures.decisions_s.append(time.perf_counter() - began)
        for decision in decisions:
            match decision:
                case Start():
                    self._start(decision, now)
                case Reclaim():
                    self._reclaim(decision, now)
                case Expire():
                    pass

    def _start(self, start: Start, now: float) -> None:
        arrival = self._by_id[start.job_id]
        key = (start.job_id, start.index)
        self._started_at[key] = now
        self._counter += 1
        self._attempts[key] = self._counter
        ends_at, result = now + arrival.run_s, TaskResult.DONE
        if "black-hole" in self._faults and start.worker in ("worker-3", "worker-11"):
            ends_at, result = now + BLACK_HOLE_FAIL_S, TaskResult.FAILED
        heapq.heappush(self._ends, (ends_at, self._counter, *key, result))
        if "wrong-sizes" in self._faults:
            self._scheduler.report(*key, arrival.used)

    def _reclaim(self, reclaim: Reclaim, now: float) -> None:
        if reclaim.how is not ReclaimMethod.THROTTLE:
            self._attempts[(reclaim.job_id, reclaim.index)] = -1
            result = TaskResult.CHECKPOINTED
            self._scheduler.finish(reclaim.job_id, reclaim.index, result, now)

    def _record_shares(self, now: float) -> None:
        """Records packing and share error while jobs wait.

        Every waiting job fits an empty cluster, because ``_submit`` drops the others.
        """
        teams = self._scheduler.teams
        waiting = [team for team in teams.values() if team.waiting]
        if not waiting:
            return
        total = Resources(*(self._profile.workers * amount for amount in self._profile.capacity))
        used = Resources(0, 0, 0)
        for team in teams.values():
            used = used.plus(team.held)
        self._measures.packing.append(dominant_share(used, total))
        # Entitled share by water-filling: the capacity in use that is not held by teams without
        # waiting jobs is divided among the teams with waiting jobs in proportion to their shares.
        held = {name: dominant_share(team.held, total) for name, team in teams.items()}
        contending = [t for t in teams.values() if t.waiting]
        uncontended_share = sum(held[name] for name, team in teams.items() if not team.waiting)
        shares = sum(team.policy.share for team in contending)
        contended_share = max(0.0, dominant_share(used, total) - uncontended_share)
        if len(contending) > 1:
            errors = [
                abs(held[t.policy.name] - contended_share * t.policy.share / shares)
                for t in contending
            ]
            self._measures.share_errors.append(max(errors))

    def _record_wait(self, job_id: str, until: float) -> None:
        """Records the wait of a task from the job's arrival until ``until``.

        ``until`` is the start of the successful attempt, or of the attempt that runs at the end of
        the replay. For a task that waits or has failed for good it is the end of the replay.
        """
        arrival = self._by_id[job_id]
        kind = "urgent" if arrival.job.spec.urgent else arrival.job.spec.kind.value
        self._measures.waits[(arrival.job.team, kind)].append(until - arrival.at)

    def _record_unfinished(self, now: float) -> ReplayMeasures:
        """Records tasks that run or wait at the end; those still waiting count up to the end."""
        for job_id, job in self._scheduler.jobs.items():
            for index in job.running:
                self._record_wait(job_id, self._started_at[(job_id, index)])
            for _ in job.waiting:
                self._record_wait(job_id, now)
        return self._measures._replace(given_up=self._given_up)
