"""Tests each rule of the scheduler in a small scenario."""

from __future__ import annotations

import unittest
from collections.abc import Sequence

from azurecleat_model import Job, JobKind, JobSpec, Quota, Resources, Scheduling, TaskSize
from azurecleat_policy import (
    NaiveScheduler,
    Reclaim,
    ReclaimMethod,
    Scheduler,
    Start,
    TaskResult,
    TeamPolicy,
    WorkerPolicy,
)
from azurecleat_policy._internal.decisions import MAX_PLANS_PER_SCAN
from azurecleat_policy._internal.probation import PROOF_S
from azurecleat_policy._internal.scheduling_state import MAX_LOST_STARTS


class PolicyTest(unittest.TestCase):
    """Base class: a scheduler with a few workers and two teams of equal share."""

    scheduler_class: type[Scheduler | NaiveScheduler] = Scheduler

    def setUp(self) -> None:
        self.scheduler = self.make_scheduler()
        self.count = 0

    def make_scheduler(self, workers: int = 3, **settings) -> Scheduler | NaiveScheduler:
        scheduler = self.scheduler_class(Scheduling(**{"waiting_weight": 0.0, **settings}))
        for team in ("ada", "bor"):
            scheduler.set_team(TeamPolicy(team, 1.0, Quota(), 100_000))
        for index in range(workers):
            capacity = Resources(4000, 4000, 0)
            scheduler.add_worker(WorkerPolicy(f"w{index}", f"r{index}", capacity))
        return scheduler

    def submit(self, now: float = 0.0, team: str = "ada", cpu: int = 1000, **fields) -> str:
        self.count += 1
        job_id = f"j{self.count}"
        kind = fields.pop("kind", JobKind.BATCH)
        name = fields.pop("name", "check")
        spec = JobSpec(name, kind, TaskSize(cpu, cpu), **fields)
        self.scheduler.submit(Job(job_id, team, spec, now))
        return job_id

    def started(self, now: float) -> list[Start]:
        return [d for d in self.scheduler.decide(now) if isinstance(d, Start)]

    def finish(self, start: Start, result: TaskResult, now: float):
        return self.scheduler.finish(start.job_id, start.index, result, now)


class PlacementTest(PolicyTest):
    """Choice of workers."""

    def test_batch_packs_tightly(self) -> None:
        self.submit(tasks=4)
        self.assertEqual(len({start.worker for start in self.started(1.0)}), 1)

    def test_service_spreads_over_racks(self) -> None:
        self.submit(kind=JobKind.SERVICE, tasks=3)
        self.assertEqual(len({start.worker for start in self.started(1.0)}), 3)

    def test_all_at_once_starts_all_or_none(self) -> None:
        blocker = self.submit(tasks=1)
        self.started(1.0)
        self.submit(kind=JobKind.ALL_AT_ONCE, tasks=12)
        self.assertEqual(self.started(2.0), [])
        self.scheduler.finish(blocker, 0, TaskResult.DONE, 3.0)
        self.assertEqual(len(self.started(3.0)), 12)

    def test_tasks_without_accelerators_avoid_accelerator_workers(self) -> None:
        accelerator_worker = WorkerPolicy("rich", "r9", Resources(4000, 4000, 2))
        self.scheduler.add_worker(accelerator_worker)
        self.submit(tasks=12)
        self.assertNotIn("rich", {start.worker for start in self.started(1.0)})


class LostWorkerTest(PolicyTest):
    """Workers that are lost while tasks run there."""

    def lose_worker(self, start: Start, number: int) -> list:
        """Replaces the worker of a start by a new one."""
        ended = self.scheduler.remove_worker(start.worker, float(number))
        self.scheduler.add_worker(WorkerPolicy(f"n{number}", "r0", Resources(4000, 4000, 0)))
        return ended

    # A task that crashed each worker that started it was started again for ever.
    def test_task_whose_starts_lose_their_worker_fails(self) -> None:
        self.submit()
        finals = []
        for number in range(1, 2 * MAX_LOST_STARTS):
            starts = self.started(float(number))
            if not starts:
                break
            finals.extend(end.final for end in self.lose_worker(starts[0], number))
        self.assertEqual(finals, [None] * (MAX_LOST_STARTS - 1) + [TaskResult.FAILED])

    # A task that was at work when its worker was lost did not crash it by its start.
    def test_task_that_was_reported_is_retried(self) -> None:
        job = self.submit()
        for number in range(1, 2 * MAX_LOST_STARTS):
            start = self.started(float(number))[0]
            self.scheduler.report(job, 0, Resources(1000, 1000, 0))
            self.assertEqual([end.final for end in self.lose_worker(start, number)], [None])


class OrderTest(PolicyTest):
    """Order of waiting jobs."""

    def test_team_below_its_share_goes_first(self) -> None:
        self.submit(tasks=30)
        self.started(1.0)
        self.submit(now=2.0, team="bor", tasks=5)
        running = next(iter(self.scheduler.jobs.values())).running
        self.scheduler.finish("j1", next(iter(running)), TaskResult.DONE, 3.0)
        self.assertEqual([start.job_id for start in self.started(3.0)], ["j2"])

    def test_team_with_past_usage_goes_after_an_idle_one(self) -> None:
        self.scheduler = self.make_scheduler(workers=1, usage_half_life_s=100.0)
        self.submit(tasks=4)
        starts = self.started(1.0)
        self.scheduler.decide(200.0)
        for start in starts:
            self.finish(start, TaskResult.DONE, 200.0)
        for team in ("ada", "bor"):
            self.submit(now=200.0, team=team, tasks=4)
        self.assertEqual({start.job_id for start in self.started(200.0)[:1]}, {"j3"})

    def test_large_job_of_one_team_does_not_delay_another_team(self) -> None:
        self.submit(tasks=5000)
        self.started(1.0)
        started_at_once = []
        for step in range(40):
            now = 2.0 + step
            job = self.submit(now=now, team="bor", run_s=1.0)
            for task in list(self.scheduler.workers["w0"].tasks)[:2]:
                self.scheduler.finish(*task, TaskResult.DONE, now)
            started_at_once.append(job in {start.job_id for start in self.started(now)})
        self.assertTrue(all(started_at_once))

    def test_blocked_job_is_not_starved_by_small_jobs(self) -> None:
        big = self.submit(cpu=4000, tasks=3, kind=JobKind.ALL_AT_ONCE, run_s=10.0)
        self.assert_starts_beside_small_jobs(big)

    # The first blocked job needed more workers than there were, so that no reservation was possible
    # for it, and none was made for any other job: small jobs passed a large one for ever.
    def test_blocked_job_is_not_starved_behind_those_that_cannot_start_now(self) -> None:
        for count in (1, 2 * MAX_PLANS_PER_SCAN + 1):
            with self.subTest(count=count):
                self.setUp()
                self.submit(team="bor", cpu=500, run_s=5.0)
                (first,) = self.started(0.0)
                for index in range(count):
                    fields = {"kind": JobKind.ALL_AT_ONCE, "run_s": 20.0 + index}
                    self.submit(cpu=4000, tasks=9, **fields)
                big = self.submit(cpu=4000, tasks=3, kind=JobKind.ALL_AT_ONCE, run_s=10.0)
                self.assert_starts_beside_small_jobs(big, [(5.0, first)])

    def assert_starts_beside_small_jobs(
        self, big: str, running: Sequence[tuple[float, Start]] = ()
    ) -> None:
        """Asserts that a job starts while small jobs arrive all the time.

        :param running: The tasks that run at first, and when they end.
        """
        now, running = 0.0, list(running)
        for _ in range(200):
            now += 1.0
            self.submit(now=now, team="bor", cpu=500, run_s=5.0, tasks=3)
            for at, start in [entry for entry in running if entry[0] <= now]:
                self.finish(start, TaskResult.DONE, now)
                running.remove((at, start))
            starts = self.started(now)
            running += [(now + 5.0, start) for start in starts]
            if big in {start.job_id for start in starts}:
                return
        self.fail("the large job never started")


class UrgentTest(PolicyTest):
    """Preemption for urgent jobs."""

    def test_preempts_least_loss_by_checkpoint_then_stop(self) -> None:
        self.scheduler = self.make_scheduler(workers=1)
        old = self.submit(tasks=2, run_s=1000.0)
        self.started(1.0)
        young = self.submit(now=50.0, tasks=2, run_s=1000.0)
        self.started(50.0)
        urgent = self.submit(now=60.0, team="bor", cpu=2000, urgent=True)
        reclaims = [d for d in self.scheduler.decide(60.0) if isinstance(d, Reclaim)]
        self.assertEqual({(r.job_id, r.how) for r in reclaims}, {(young, ReclaimMethod.CHECKPOINT)})
        self.scheduler.finish(young, 0, TaskResult.CHECKPOINTED, 60.5)
        later = [d for d in self.scheduler.decide(62.0) if isinstance(d, Reclaim)]
        self.assertEqual(
            [(r.job_id, r.index, r.how) for r in later], [(young, 1, ReclaimMethod.STOP)]
        )
        self.scheduler.finish(young, 1, TaskResult.STOPPED, 62.5)
        self.assertEqual([start.job_id for start in self.started(62.5)], [urgent])
        self.assertEqual(len(self.scheduler.jobs[old].running), 2)

    def test_tasks_that_are_not_preemptible_are_not_preempted(self) -> None:
        self.scheduler = self.make_scheduler(workers=1)
        self.submit(tasks=4, preemptible=False)
        self.started(1.0)
        self.submit(now=2.0, team="bor", urgent=True)
        self.assertEqual(self.scheduler.decide(2.0), [])


class FaultTest(PolicyTest):
    """Wrong sizes, failing workers, unschedulable jobs, cancellation, full queues, deadlines."""

    def test_task_that_overcommits_a_worker_is_retried_with_a_larger_size(self) -> None:
        self.scheduler = self.make_scheduler(workers=1)
        for name in ("fat", "thin"):
            self.submit(name=name, tasks=1, cpu=2000)
        self.started(1.0)
        self.scheduler.report("j1", 0, Resources(2000, 3000, 0))
        reclaim = [d for d in self.scheduler.decide(2.0) if isinstance(d, Reclaim)]
        self.assertEqual([(r.job_id, r.how) for r in reclaim], [("j1", ReclaimMethod.CHECKPOINT)])
        self.scheduler.finish("j1", 0, TaskResult.CHECKPOINTED, 3.0)
        self.scheduler.finish("j2", 0, TaskResult.DONE, 3.0)
        self.assertEqual([s.size.memory_mb for s in self.started(3.0)], [3000])

    def test_worker_that_fails_jobs_of_several_teams_goes_on_probation(self) -> None:
        self.scheduler = self.make_scheduler(workers=1)
        for number, team in enumerate(("ada", "bor", "ada")):
            self.submit(team=team, name=f"name-{number}")
        for start in self.started(1.0):
            self.finish(start, TaskResult.FAILED, 2.0)
        self.assertEqual(self.scheduler.take_suspects(), ["w0"])
        self.assertEqual(self.started(3.0), [])
        probe = self.started(33.0)
        self.assertEqual(len(probe), 1)
        self.finish(probe[0], TaskResult.DONE, 34.0)
        self.assertEqual(len(self.started(34.0)), 2)

    def put_on_probation(self, now: float) -> None:
        """Lets tasks of three jobs fail on the only worker."""
        for number, team in enumerate(("ada", "bor", "ada")):
            self.submit(team=team, name=f"name-{number}", cpu=500, repeatable=False)
        for start in self.started(now):
            self.finish(start, TaskResult.FAILED, now)
        self.assertEqual(self.scheduler.take_suspects(), ["w0"])

    # A worker with a task that lasts got no probe, and stayed on probation until its end.
    def test_worker_on_probation_is_probed_beside_a_task_from_before(self) -> None:
        self.scheduler = self.make_scheduler(workers=1)
        self.submit(kind=JobKind.SERVICE)
        self.started(0.0)
        self.put_on_probation(1.0)
        self.submit(tasks=2)
        self.assertEqual(self.started(2.0), [])
        (probe,) = self.started(32.0)
        self.assertEqual(self.started(33.0), [])
        self.finish(probe, TaskResult.DONE, 34.0)
        self.assertEqual(len(self.started(34.0)), 1)

    # A worker whose probe was a task that lasts ran nothing else until the end of that task.
    def test_task_at_work_for_long_ends_probation(self) -> None:
        self.scheduler = self.make_scheduler(workers=1)
        self.put_on_probation(1.0)
        service = self.submit(kind=JobKind.SERVICE)
        self.assertEqual(len(self.started(32.0)), 1)
        self.submit()
        self.assertEqual(self.started(32.0 + PROOF_S), [])
        self.scheduler.report(service, 0, Resources(1000, 1000, 0))
        self.assertEqual(len(self.started(33.0 + PROOF_S)), 1)

    # Tasks that had been started before their worker was suspect doubled its delay when they
    # failed as well: five at one time made it half an hour.
    def test_only_failed_probes_make_the_delay_longer(self) -> None:
        self.scheduler = self.make_scheduler(workers=1)
        for number in range(4):
            self.submit(team=("ada", "bor")[number % 2], name=f"name-{number}", repeatable=False)
        for start in self.started(1.0):
            self.finish(start, TaskResult.FAILED, 2.0)
        self.submit(tasks=2)
        (probe,) = self.started(32.0)
        self.finish(probe, TaskResult.FAILED, 33.0)
        self.assertEqual(self.started(92.0), [])
        self.assertEqual(len(self.started(93.0)), 1)

    # An all-at-once job that only a worker on probation could hold never started.
    def test_all_at_once_job_may_be_a_probe(self) -> None:
        self.scheduler = self.make_scheduler(workers=1)
        self.put_on_probation(1.0)
        self.submit(kind=JobKind.ALL_AT_ONCE, tasks=4)
        self.assertEqual(self.started(2.0), [])
        self.assertEqual(len(self.started(32.0)), 4)

    def test_job_that_always_fails_does_not_put_its_worker_on_probation(self) -> None:
        job = self.submit(name="broken")
        final_results = []
        for step in range(5):
            for start in self.started(step):
                final_results.append(self.finish(start, TaskResult.FAILED, step + 0.5).final)
        self.assertEqual(final_results, [None, None, TaskResult.FAILED])
        self.assertNotIn(job, self.scheduler.jobs)
        self.assertEqual(self.scheduler.take_suspects(), [])

    def test_refusal_of_an_unschedulable_job_names_the_constraint(self) -> None:
        spec = JobSpec("huge", JobKind.BATCH, TaskSize(9000, 10))
        refused = self.scheduler.check(Job("x", "ada", spec, 0.0))
        self.assertEqual(refused.code, "never-fits-worker")
        self.assertIn("9000 cpu_milli", refused.detail)
        job = self.submit(cpu=4000)
        self.scheduler.remove_worker("w0", 0.0)
        self.assertEqual(self.scheduler.unschedulable_jobs(), [])
        self.assertEqual(self.scheduler.unschedulable_jobs({"ada": Quota(cpu_milli=10)})[0][0], job)

    def test_half_of_a_hundred_thousand_tasks_cancelled_at_once(self) -> None:
        jobs = [self.submit(team=("ada", "bor")[n % 2], tasks=10) for n in range(10_000)]
        self.started(1.0)
        for job in jobs[100::2]:
            self.scheduler.cancel(job)
        self.assertEqual(self.scheduler.waiting_tasks, 100_000 - 12 - 10 * len(jobs[100::2]))
        self.assertEqual(len(self.started(2.0)), 0)
        survivors = {job for job in self.scheduler.jobs if self.scheduler.jobs[job].waiting}
        self.assertEqual(len(survivors & set(jobs[100::2])), 0)

    # decide() failed on a lane that its only job had left.
    def test_all_at_once_job_starts_without_a_dropped_task(self) -> None:
        self.scheduler.decide(0.5)
        job = self.submit(tasks=3, kind=JobKind.ALL_AT_ONCE)
        self.scheduler.drop_waiting(job, 2)
        self.assertEqual([start.index for start in self.started(1.0)], [0, 1])

    # decide() failed on a lane whose only job had no waiting task left.
    def test_capacity_freed_after_the_last_waiting_task_was_dropped(self) -> None:
        self.scheduler = self.make_scheduler(workers=2)
        job = self.submit(cpu=4000, tasks=2)
        other = self.submit(cpu=4000, team="bor")
        self.assertEqual(len(self.started(1.0)), 2)
        self.scheduler.drop_waiting(job, 1)
        self.scheduler.finish(other, 0, TaskResult.DONE, 2.0)
        self.assertEqual(self.scheduler.decide(2.0), [])

    def test_job_that_exceeds_the_queue_limit_is_refused(self) -> None:
        self.scheduler.set_team(TeamPolicy("ada", 1.0, Quota(), 5))
        self.submit(tasks=5, cpu=4000)
        spec = JobSpec("check", JobKind.BATCH, TaskSize(1, 1), tasks=4)
        self.assertEqual(self.scheduler.check(Job("x", "ada", spec, 0.0)).code, "queue-full")

    def test_task_never_starts_after_its_deadline(self) -> None:
        self.scheduler = self.make_scheduler(workers=1)
        self.submit(cpu=4000, run_s=100.0)
        self.started(1.0)
        late = self.submit(now=1.0, cpu=4000, deadline_s=5.0)
        self.scheduler.decide(7.0)
        self.scheduler.finish("j1", 0, TaskResult.DONE, 8.0)
        self.assertEqual(self.started(8.0), [])
        self.assertNotIn(late, self.scheduler.jobs)


class NaiveFaultTest(FaultTest):
    """The same with the naive scheduler."""

    scheduler_class = NaiveScheduler


class EstimatedSizeTest(PolicyTest):
    """Jobs whose estimated size does not fit into the workers, although the declared one fits."""

    def make_estimate(self, size: int, **fields) -> None:
        """Runs a task that reports a usage of ``size`` milli-CPU and MiB."""
        job = self.submit(tasks=1, **fields)
        self.started(1.0)
        self.scheduler.report(job, 0, Resources(size, size, 0))
        self.scheduler.finish(job, 0, TaskResult.DONE, 1.0)

    def sizes(self, now: float) -> list[int]:
        return [start.size.cpu_milli for start in self.started(now)]

    # An estimate that exceeds every worker would keep an admitted job waiting for ever.
    def test_task_with_an_estimate_above_every_worker_gets_a_whole_worker(self) -> None:
        self.make_estimate(4200, cpu=3000)
        self.submit(now=2.0, cpu=3000)
        self.assertEqual(self.sizes(2.0), [4000])

    # The same, if the only worker large enough drains, leaves or fails while the job waits.
    def test_waiting_task_is_made_smaller_when_the_only_large_worker_closes(self) -> None:
        for close in (self.drain_large, self.remove_large, self.put_large_on_probation):
            with self.subTest(close=close.__name__):
                self.scheduler = self.make_scheduler()
                self.make_estimate(5000, cpu=3000)
                self.scheduler.add_worker(WorkerPolicy("large", "r9", Resources(8000, 8000, 0)))
                self.set_draining(True)
                for team, name in (("ada", "a"), ("ada", "b"), ("bor", "c")):
                    self.submit(team=team, name=name, cpu=2500, repeatable=False)
                blockers = self.started(2.0)
                self.submit(now=3.0, cpu=3000)
                self.set_draining(False)
                self.assertEqual(self.sizes(3.0), [])
                close(blockers)
                self.assertEqual(self.sizes(4.0), [4000])

    # An estimate that leaves too few places would keep an admitted all-at-once job waiting.
    def test_all_at_once_job_whose_estimate_leaves_too_few_places_starts(self) -> None:
        self.make_estimate(2500, cpu=2000)
        self.submit(now=2.0, cpu=2000, tasks=6, kind=JobKind.ALL_AT_ONCE)
        self.assertEqual(self.sizes(2.0), [2000] * 6)

    # An estimate above the team's whole limit would keep an admitted job waiting for ever.
    def test_task_with_an_estimate_above_the_limit_starts_within_the_limit(self) -> None:
        self.make_estimate(4000, cpu=1000)
        self.set_limit(3000)
        self.submit(now=2.0)
        self.assertEqual(self.sizes(2.0), [3000])

    # The same, if the limit is lowered while the job waits.
    def test_waiting_task_is_made_smaller_when_the_limit_is_lowered(self) -> None:
        self.make_estimate(4000, cpu=1000)
        self.set_draining(True)
        self.submit(now=2.0)
        self.set_limit(3000)
        self.set_draining(False)
        self.assertEqual(self.sizes(2.0), [3000])

    # Tasks that start together share the limit.
    def test_all_at_once_job_with_an_estimate_above_the_limit_starts(self) -> None:
        self.make_estimate(2000, cpu=1000)
        self.set_limit(4500)
        self.submit(now=2.0, tasks=3, kind=JobKind.ALL_AT_ONCE)
        self.assertEqual(self.sizes(2.0), [1500] * 3)

    # Jobs queued while no worker was usable would start with their declared sizes afterwards.
    def test_estimate_is_kept_while_all_workers_drain(self) -> None:
        self.make_estimate(2500, cpu=2000)
        self.set_draining(True)
        self.submit(now=2.0, cpu=2000)
        self.assertEqual(self.sizes(2.0), [])
        self.set_draining(False)
        self.assertEqual(self.sizes(3.0), [2500])

    def set_draining(self, draining: bool) -> None:
        for name in ("w0", "w1", "w2"):
            self.scheduler.set_draining(name, draining)

    def set_limit(self, cpu_milli: int) -> None:
        limit = Quota(cpu_milli=cpu_milli)
        self.scheduler.set_team(TeamPolicy("ada", 1.0, limit, 100_000, limit))

    def drain_large(self, blockers: list[Start]) -> None:
        self.scheduler.set_draining("large", True)

    def remove_large(self, blockers: list[Start]) -> None:
        self.scheduler.remove_worker("large", 3.5)

    def put_large_on_probation(self, blockers: list[Start]) -> None:
        for blocker in blockers:
            self.finish(blocker, TaskResult.FAILED, 3.5)
        self.assertEqual(self.scheduler.take_suspects(), ["large"])


class NaiveEstimatedSizeTest(EstimatedSizeTest):
    """The same with the naive scheduler."""

    scheduler_class = NaiveScheduler


if __name__ == "__main__":
    unittest.main()
