"""Targets whose capacity shrinks and grows while tasks run there."""

from __future__ import annotations

import unittest

from azurecleat_base import ManualClock, Resources
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.values import JobSpec, Step

from tests.lib.term_harness import TermHarness, make_entry, running, submit, task

STEP = Step(count=8, need=Resources(1000, 1000, 0))
WHOLE, HALF = Resources(4000, 64_000, 0), Resources(2000, 64_000, 0)


class CapacityChangeTest(unittest.TestCase):
    """One target with capacity for four of eight tasks."""

    def setUp(self) -> None:
        self.clock, self.replica = ManualClock(), JobReplica()
        submit(self.replica, JobSpec("payload", (STEP,)))
        self.harness = TermHarness(self.clock, self.replica)
        self.register(WHOLE)
        self.harness.writer.commit()
        self.harness.report("t0")

    def register(self, capacity: Resources) -> None:
        self.harness.term.on_target_entry(make_entry("t0")._replace(capacity=capacity))

    def end_runs(self, count: int) -> None:
        """Lets the target report that its oldest runs are gone."""
        runs = list(self.harness.session("t0").target.runs.values())
        for run in runs:
            run.confirmed_at = self.clock.monotonic()
        self.clock.advance(0.1)
        self.harness.report("t0", running=[running(run.task, run.number) for run in runs[count:]])

    # A start must not bring a target over a capacity that has shrunk under its runs.
    def test_target_that_shrank_starts_nothing_until_runs_have_ended(self) -> None:
        self.assertEqual(len(self.harness.dispatch()), 4)
        self.register(HALF)
        self.assertEqual(self.harness.dispatch(), [])
        self.end_runs(2)
        self.assertEqual(self.harness.dispatch(), [])
        self.end_runs(1)
        self.assertEqual(len(self.harness.dispatch()), 1)

    # What is being stopped still occupies its target.
    def test_run_that_is_being_stopped_still_counts(self) -> None:
        self.harness.dispatch()
        target = self.harness.session("t0").target
        for run in list(target.runs.values()):
            self.harness.term.stop_run(run, "test")
        self.assertEqual(self.harness.dispatch(), [])

    def test_target_that_grew_starts_more(self) -> None:
        self.register(HALF)
        self.assertEqual(len(self.harness.dispatch()), 2)
        self.register(WHOLE)
        self.assertEqual(len(self.harness.dispatch()), 2)

    # An owner without the log kept to the capacity that it had read before.
    def test_capacity_in_the_directory_holds_if_it_is_lower(self) -> None:
        self.harness.term.on_capacities({"t0": HALF})
        self.assertEqual(self.harness.dispatch(), [task(0), task(1)])
        self.harness.term.on_capacities({"t0": WHOLE})
        self.assertEqual(len(self.harness.dispatch()), 2)

    def test_directory_without_capacity_changes_nothing(self) -> None:
        self.harness.term.on_capacities({"t0": None, "unknown": HALF})
        self.assertEqual(len(self.harness.dispatch()), 4)


if __name__ == "__main__":
    unittest.main()
