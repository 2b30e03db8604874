"""Which targets become suspect, and which runs move, when targets are slow, stall or fail."""

from __future__ import annotations

import io
import unittest

from azurecleat_base import Resources
from azurecleat_cluster import EventLog, Preferences
from azurecleat_cluster._internal.owner.model import JobInfo, Run, RunState, StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.target_health import SUSPECT_S, HealthMonitor
from azurecleat_cluster._internal.replica.records import Submission
from azurecleat_cluster.values import EndKind, JobSpec, Queue, Step, TargetEntry, TargetState

START_S = 100.0
"""Time on the monotonic clock at which the runs of a test begin."""

QUEUE = Queue("q", "h", "/q/", "pool", attempts=4, stretch=1.5)


def make_target(number: int, kind: str = "a", zone: str = "z1", cpu: int = 64_000) -> TargetInfo:
    entry = TargetEntry(
        id=f"t{number}",
        pool="pool",
        address=f"10.0.0.{number}:80",
        zone=zone,
        state=TargetState.READY,
        started_at_ms=1,
        capacity=Resources(cpu, 256_000, 0),
        labels=(kind, f"r{number // 8}"),
    )
    target = TargetInfo(entry)
    target.reached = target.responsive = True
    return target


def make_step(name: str, count: int, cpu: int = 5_000, **fields: object) -> StepInfo:
    step = Step(count=count, need=Resources(cpu, 1_000, 0), estimate_ms=640, **fields)
    job = JobInfo(Submission(name, "team", QUEUE, JobSpec("", (step,))), 0.0, False)
    job.open_occurrences(1)
    return job.steps[0, 0]


def start(step: StepInfo, index: int, target: TargetInfo, now: float) -> Run:
    run = Run(step.task(index), step, index + 1, target)
    run.state = RunState.RUNNING
    run.commanded_at = run.began_at = now
    step.pending.discard(index)
    step.active[index] = run
    target.add(run)
    return run


class TargetHealthTest(unittest.TestCase):
    """Slow and partly failing targets, as in the fault scenarios ``srv_slow`` and ``srv_grey``."""

    def setUp(self) -> None:
        self.health = HealthMonitor(EventLog("test", io.StringIO()), Preferences())
        self.targets = [make_target(number) for number in range(8)]

    def evaluate(self, runs: dict[Run, float], now: float) -> list[Run]:
        """Reports the percentages of runs, evaluates all targets, and returns the runs to move.

        :param now: Seconds since the start of the runs.
        """
        for run, percent in runs.items():
            run.update_progress(percent, START_S + now)
        return self.health.evaluate(self.targets, START_S + now)

    def suspects(self, now: float) -> list[str]:
        return [target.id for target in self.targets if target.suspect_until > START_S + now]

    def test_target_that_turns_slow_is_detected_by_its_runs_earlier_rate(self) -> None:
        runs = [start(make_step(f"{n}", 1), 0, self.targets[n % 2], START_S) for n in range(4)]
        for now in (0.5, 1.0):
            self.assertEqual(self.evaluate({run: now * 20 for run in runs}, now), [])
        slow, sound = runs[0::2], runs[1::2]
        moved = self.evaluate({**{run: 22 for run in slow}, **{run: 30 for run in sound}}, 1.5)
        self.assertEqual(self.suspects(1.5), ["t0"])
        self.assertEqual(set(moved), set(slow))

    def test_steps_of_different_durations_make_no_target_suspect(self) -> None:
        lengths = (0.5, 2.0, 8.0, 30.0)
        runs = {
            start(make_step(f"{n}", 1), 0, self.targets[n], START_S): lengths[n] for n in range(4)
        }
        for number in range(1, 8):
            now = number * 0.5
            percents = {run: 100 * now / length for run, length in runs.items() if now < length}
            for run, length in runs.items():
                if now >= length:
                    run.target.remove(run)
            self.assertEqual(self.evaluate(percents, now), [])
        self.assertEqual(self.suspects(3.5), [])

    def test_runs_of_one_step_are_compared_across_targets(self) -> None:
        step = make_step("wide", 6)
        runs = [start(step, n, self.targets[n // 2], START_S) for n in range(6)]
        percents = {run: (8 if run.target.id == "t2" else 50) for run in runs}
        moved = self.evaluate(percents, 0.5)
        self.assertEqual({run.target.id for run in moved}, {"t2"})

    def test_runs_move_away_from_a_target_where_all_have_stalled(self) -> None:
        stalled = [start(make_step(f"{n}", 1), 0, self.targets[0], START_S) for n in range(2)]
        sound = start(make_step("sound", 1), 0, self.targets[1], START_S)
        moved: list[Run] = []
        for number in range(1, 5):
            now = number * 0.5
            moved = self.evaluate({**{run: 7 for run in stalled}, sound: now * 10}, now)
        self.assertEqual(set(moved), set(stalled))
        self.assertEqual(self.suspects(2.0), ["t0"])

    # A long task that stood still between two points lost its work with a stalled one beside it.
    def test_long_task_beside_a_stalled_one_is_not_moved_with_it(self) -> None:
        stalled = start(make_step("stalled", 1), 0, self.targets[0], START_S)
        step = make_step("long", 1)
        step.spec = step.spec._replace(estimate_ms=220_000)
        long = start(step, 0, self.targets[0], START_S)
        for now in (0.5, 1.0, 1.5):
            self.evaluate({stalled: 25, long: int(now / 2.2)}, now)
        self.assertEqual(self.evaluate({stalled: 25, long: 0}, 2.0), [stalled])

    # A run that a new owner finds may reach its next point at once; it then looked fast before and
    # stalled after.
    def test_first_point_of_a_run_found_at_work_shows_no_rate(self) -> None:
        step = make_step("long", 1)
        step.spec = step.spec._replace(estimate_ms=3_600_000)
        run = start(step, 0, self.targets[0], START_S)
        run.began_at = 0.0
        for number in range(20):
            now = 0.5 * number
            self.assertEqual(self.evaluate({run: int(9.99 + now / 36.0)}, now), [])
        self.assertEqual(self.suspects(9.5), [])

    # The saved work of a resumed run counted as done since its start, and its target looked slow.
    def test_saved_work_of_a_resumed_run_is_no_progress(self) -> None:
        run = start(make_step("resumed", 1), 0, self.targets[0], START_S)
        run.is_resumed = run.has_known_start = True
        for number in range(1, 8):
            self.assertEqual(self.evaluate({run: 40 + 5 * number}, 0.5 * number), [])
        self.assertEqual(self.suspects(3.5), [])
        self.assertAlmostEqual(run.remaining_s(START_S + 3.5), 2.5)

    # Of a step on slow targets only, the few fast runs would set what is expected.
    def test_slow_targets_are_expected_where_most_are_slow(self) -> None:
        step = make_step("wide", 8)
        runs = [start(step, n, self.targets[n // 2], START_S) for n in range(8)]
        percents = {run: (50 if run.target.id == "t0" else 3) for run in runs}
        self.assertEqual(self.evaluate(percents, 0.5), [])

    def test_first_point_may_take_as_long_as_on_other_targets(self) -> None:
        step = make_step("long", 3)
        runs = [start(step, n, self.targets[n], START_S) for n in range(2)]
        for now in (4.0, 8.0, 12.0):
            self.evaluate({run: int(now / 2.2) for run in runs}, now)
        late = start(step, 2, self.targets[2], START_S + 12.0)
        for now in (12.5, 13.0, 13.5, 14.0):
            self.assertEqual(self.evaluate({late: 0}, now), [])
        self.assertEqual(self.suspects(14.0), [])

    def test_target_is_suspect_when_several_jobs_fail_not_when_one_does(self) -> None:
        self.health.evaluate(self.targets, START_S)
        failing_step = make_step("poison", 3)
        for index in range(3):
            run = start(failing_step, index, self.targets[0], 0.0)
            self.health.note_end(self.targets[0], run, EndKind.FAILED, START_S + 1.0)
        self.assertEqual(self.suspects(1.0), [])
        for name in ("one", "two"):
            run = start(make_step(name, 1), 0, self.targets[1], 0.0)
            self.health.note_end(self.targets[1], run, EndKind.FAILED, START_S + 1.0)
        self.assertEqual(self.suspects(1.0), ["t1"])

    def test_at_most_a_quarter_of_the_targets_is_suspect(self) -> None:
        self.health.evaluate(self.targets, START_S)
        for number, target in enumerate(self.targets):
            for name in ("one", "two"):
                run = start(make_step(f"{name}{number}", 1), 0, target, 0.0)
                self.health.note_end(target, run, EndKind.FAILED, START_S + 1.0)
        self.assertEqual(len(self.suspects(1.0)), 2)
        self.assertEqual(self.suspects(1.0 + SUSPECT_S), [])

    def test_task_moves_away_from_two_targets_at_most(self) -> None:
        step = make_step("wide", 6)
        runs = [start(step, n, self.targets[n // 2], START_S) for n in range(6)]
        for index in (4, 5):
            step.avoided[index] = {"t5", "t6"}
            step.slow_on[index] = ["t5", "t6"]
        percents = {run: (8 if run.target.id == "t2" else 50) for run in runs}
        self.assertEqual(self.evaluate(percents, 0.5), [])

    # A task that two busy targets had refused stayed on a slow target until its end.
    def test_refusals_do_not_keep_a_task_on_a_slow_target(self) -> None:
        step = make_step("wide", 6)
        runs = [start(step, n, self.targets[n // 2], START_S) for n in range(6)]
        for index in (4, 5):
            step.avoided[index] = {"t5", "t6"}
        percents = {run: (8 if run.target.id == "t2" else 50) for run in runs}
        moved = self.evaluate(percents, 0.5)
        self.assertEqual({run.task.index for run in moved}, {4, 5})

    # In a deployment with a small pool beside a large one, all targets of the small one could be
    # suspect at one time, so that nothing started there for four seconds.
    def test_at_most_a_quarter_of_each_pool_is_suspect(self) -> None:
        for target in self.targets[6:]:
            target.entry = target.entry._replace(pool="small")
        self.health.evaluate(self.targets, START_S)
        for number, target in enumerate(self.targets[6:]):
            for name in ("one", "two"):
                run = start(make_step(f"{name}{number}", 1), 0, target, 0.0)
                self.health.note_end(target, run, EndKind.FAILED, START_S + 1.0)
        self.assertEqual(self.suspects(1.0), ["t6"])


if __name__ == "__main__":
    unittest.main()
