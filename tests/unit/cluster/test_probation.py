"""When the probation of a target ends that was suspect, and what the target starts until then."""

from __future__ import annotations

import random
import unittest

from azurecleat_base import ManualClock, Resources
from azurecleat_cluster._internal.owner.last_resort import OVERDUE_S
from azurecleat_cluster._internal.owner.model import Run, TargetInfo
from azurecleat_cluster._internal.owner.target_health import (
    OUTCOME_WINDOW_S,
    PROBE_S,
    SUSPECT_S,
)
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.values import EndKind, JobSpec, RunEnd, RunStatus, Step, TaskId

from tests.lib.term_harness import QUEUE, TermHarness, make_entry, submit

TARGETS = ("t0", "t1", "t2", "t3")
LASTING = Step(count=1, need=Resources(500, 64, 0), estimate_ms=300, long_running=True)
SHORT = Step(count=1, need=Resources(1_000, 64, 0), estimate_ms=500)
TICK_S = 0.25

MAX_PENDING_S = 3.0
"""Longest time for which the users' rules let a task wait that could run."""

STARTUP_S = 0.5
"""Time from the start of a lasting task until it is at work."""

MAX_AWAY_S = 9.0
"""Longest time for which the users' rules let a lasting task be away while there is capacity."""


class ProbationTest(unittest.TestCase):
    """Four targets with a lasting task each, and jobs whose tasks fail."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.replica = JobReplica()
        self.harness = TermHarness(self.clock, self.replica)
        for name in TARGETS:
            self.harness.term.on_target_entry(make_entry(name))
        self.harness.writer.commit()
        for name in TARGETS:
            self.harness.report(name)
        self._ends = dict.fromkeys(TARGETS, 0)
        self._offset = 0
        self.submit("keeper", LASTING._replace(count=len(TARGETS), max_per_target=1))

    def target(self, name: str) -> TargetInfo:
        return self.harness.session(name).target

    def runs(self, job: str) -> list[Run]:
        """Returns the runs of a job."""
        return [
            run
            for name in TARGETS
            for run in self.target(name).runs.values()
            if run.task.job == job
        ]

    def submit(self, job: str, step: Step, attempts: int = 3) -> None:
        self._offset += 1
        queue = QUEUE._replace(attempts=attempts)
        submit(self.replica, JobSpec("", (step,)), job, queue, self._offset)
        self.harness.term.on_job_record(records.SUBMISSION + job)
        self.tick()

    def tick(self) -> list[TaskId]:
        """Lets all targets report their runs, and the owner start what it can."""
        self.clock.advance(TICK_S)
        self.harness.authority.add_log_proof(self.clock.monotonic())
        for name in TARGETS:
            self.report(name)
        return self.harness.dispatch()

    def report(self, name: str, ended: tuple[RunEnd, ...] = ()) -> None:
        """Lets a target report its runs; those that do not last proceed by a tenth a second."""
        now, ends = self.clock.monotonic(), {(end.task, end.run) for end in ended}
        statuses = [
            RunStatus(run.task, run.number, "", self._percent(run, now), 0.0)
            for run in self.target(name).runs.values()
            if run.key not in ends
        ]
        self.harness.report(name, statuses, ended)

    def _percent(self, run: Run, now: float) -> float:
        age_s = now - run.commanded_at
        if run.step.spec.long_running:
            return 100.0 if age_s >= STARTUP_S else 0.0
        return 10.0 * age_s

    def wait(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.tick()

    def end(self, run: Run, kind: EndKind) -> None:
        name = run.target.id
        self._ends[name] += 1
        others = [
            RunStatus(other.task, other.number, "", 100.0, 0.0)
            for other in run.target.runs.values()
            if other is not run
        ]
        self.harness.report(
            name, others, [RunEnd(self._ends[name], run.task, run.number, kind, "")]
        )

    def make_suspect(self, name: str, jobs: tuple[str, str] = ("one", "two")) -> None:
        """Lets the tasks of two jobs fail on a target."""
        for job in jobs:
            run = Run(TaskId(job, 0, 0, 0), self.runs("keeper")[0].step, 1, self.target(name))
            self.harness.term.health.note_end(
                self.target(name), run, EndKind.FAILED, self.clock.monotonic()
            )
        self.assertTrue(self.target(name).on_probation)

    # Review case 4: lasting tasks that fail left their targets without further tasks for good.
    def test_targets_with_lasting_tasks_are_used_again_after_failures(self) -> None:
        for job in ("first", "second"):
            self.submit(job, LASTING)
        for _ in TARGETS:
            self.wait(OUTCOME_WINDOW_S)
            for job in ("first", "second"):
                for run in self.runs(job):
                    self.end(run, EndKind.FAILED)
        self.wait(SUSPECT_S)
        self.assertEqual([len(self.runs(job)) for job in ("first", "second")], [1, 1])
        self.submit("later", SHORT._replace(count=2))
        self.wait(PROBE_S)
        self.assertEqual(len(self.runs("later")), 2)

    def test_target_on_probation_starts_one_task_at_a_time(self) -> None:
        for name in TARGETS:
            self.make_suspect(name)
            self.wait(SUSPECT_S)
        self.submit("wide", SHORT._replace(count=40))
        probes = self.runs("wide")
        self.assertEqual(sorted(run.target.id for run in probes), sorted(TARGETS))
        self.assertEqual(self.tick(), [])
        self.end(probes[0], EndKind.DONE)
        self.assertFalse(probes[0].target.on_probation)
        self.tick()
        self.assertEqual(len(self.runs("wide")), 39)

    def test_lasting_task_at_work_ends_probation(self) -> None:
        self.make_suspect("t0")
        self.wait(OUTCOME_WINDOW_S + SUSPECT_S)
        # What was at work before the failures is no evidence for what is started after them.
        self.assertTrue(self.target("t0").on_probation)
        for name in TARGETS[1:]:
            self.target(name).is_evacuated = True
        self.submit("lasting", LASTING)
        self.assertEqual([run.target.id for run in self.runs("lasting")], ["t0"])
        self.wait(OUTCOME_WINDOW_S - 1.0)
        self.assertTrue(self.target("t0").on_probation)
        self.wait(1.0 + 2 * TICK_S)
        self.assertFalse(self.target("t0").on_probation)

    def test_task_that_takes_long_does_not_keep_a_target_on_probation(self) -> None:
        self.make_suspect("t0")
        self.wait(SUSPECT_S)
        for name in TARGETS[1:]:
            self.target(name).is_evacuated = True
        self.submit("long", SHORT._replace(count=4))
        self.assertEqual(len(self.runs("long")), 1)
        self.wait(PROBE_S + TICK_S)
        self.assertEqual(len(self.runs("long")), 2)
        self.wait(OUTCOME_WINDOW_S - PROBE_S)
        self.assertFalse(self.target("t0").on_probation)
        self.assertEqual(len(self.runs("long")), 4)

    def test_gang_is_started_whole_on_targets_on_probation(self) -> None:
        for name in TARGETS:
            self.make_suspect(name)
            self.wait(SUSPECT_S)
        self.submit("gang", SHORT._replace(count=240, gang=True))
        self.assertEqual(len(self.runs("gang")), 240)
        self.submit("next", SHORT)
        self.assertEqual(self.runs("next"), [])

    def test_target_that_is_not_on_probation_goes_first(self) -> None:
        for name in TARGETS[:3]:
            self.make_suspect(name)
            self.wait(SUSPECT_S)
        self.submit("short", SHORT)
        self.assertEqual([run.target.id for run in self.runs("short")], ["t3"])

    def test_target_that_goes_on_failing_gets_one_task_in_each_pause(self) -> None:
        starts = 0
        for name in TARGETS[1:]:
            self.target(name).is_evacuated = True
        self.make_suspect("t0")
        for number in range(20):
            self.submit(f"job{number}", SHORT._replace(count=10), attempts=1)
        for _ in range(round(3 * SUSPECT_S / TICK_S)):
            self.tick()
            for number in range(20):
                for run in self.runs(f"job{number}"):
                    starts += 1
                    self.end(run, EndKind.FAILED)
        self.assertIn(starts, (2, 3))

    # A lasting task that went on failing kept all others from the only target for good.
    def test_job_that_goes_on_failing_does_not_keep_others_from_the_only_target(self) -> None:
        for name in TARGETS[1:]:
            self.target(name).is_evacuated = True
        self.make_suspect("t0", ("first", "two"))
        for job in ("first", "second"):
            self.submit(job, LASTING)
        self.wait(OVERDUE_S)
        self.assertEqual([len(self.runs(job)) for job in ("first", "second")], [1, 0])
        self.end(self.runs("first")[0], EndKind.FAILED)
        self.harness.dispatch()
        self.assertEqual(len(self.runs("second")), 1)

    # Two lasting tasks that failed on the only target: the second ran again after 3.1 s.
    def test_lasting_task_at_work_lets_the_next_one_start(self) -> None:
        for name in TARGETS[1:]:
            self.target(name).is_evacuated = True
        self.make_suspect("t0")
        for job in ("first", "second", "third"):
            self.submit(job, LASTING)
        self.wait(MAX_PENDING_S - TICK_S)
        self.assertEqual([len(self.runs(job)) for job in ("first", "second", "third")], [1] * 3)

    def test_every_lasting_task_runs_again_soon_after_random_failures(self) -> None:
        for seed in range(40):
            with self.subTest(seed=seed):
                self.setUp()
                rng = random.Random(seed)
                jobs = [f"lasting{number}" for number in range(rng.randint(2, 6))]
                for job in jobs:
                    self.submit(job, LASTING)
                for number in range(round(30.0 / TICK_S)):
                    if rng.random() < 0.1:
                        self.submit(f"short{number}", SHORT._replace(count=rng.randint(1, 8)))
                    self.tick()
                    for name in TARGETS:
                        for run in list(self.target(name).runs.values()):
                            self.end_at_random(run, rng)
                self.wait(MAX_AWAY_S)
                self.assertEqual(
                    [len(self.runs(job)) for job in ("keeper", *jobs)], [4, *[1] * len(jobs)]
                )

    def end_at_random(self, run: Run, rng: random.Random) -> None:
        """Lets some of the runs fail, and short ones end as done after half a second."""
        if rng.random() < 0.04:
            self.end(run, EndKind.FAILED)
        elif not run.step.spec.long_running and self.clock.monotonic() - run.commanded_at >= 0.5:
            self.end(run, EndKind.DONE)


if __name__ == "__main__":
    unittest.main()
