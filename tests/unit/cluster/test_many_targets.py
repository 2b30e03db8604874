"""A new owner of 1,000 targets: late answers, cancelled jobs, failing threads."""

from __future__ import annotations

import unittest
from unittest import mock

from azurecleat_base import ManualClock, Resources
from azurecleat_cluster._internal.owner.session_starter import FREE_STARTS, MAX_WAIT_S
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.ports import LogRecord
from azurecleat_cluster.values import JobSpec, Step

from tests.lib.term_harness import JOB, StandInSession, TermHarness, make_entry, running, submit
from tests.lib.term_harness import task as task_id

SPEC = JobSpec("q", (Step(1, Resources(1000, 1, 0), 1000, long_running=True),))


class ManyTargetsTest(unittest.TestCase):
    """Take-over of recorded targets, of which only some have answered."""

    def setUp(self) -> None:
        self.clock, self.replica = ManualClock(), JobReplica()
        submit(self.replica, SPEC)

    def take_over(self, count: int) -> TermHarness:
        entries = [make_entry(f"t{number}") for number in range(count)]
        harness = TermHarness(self.clock, self.replica, 2, entries)
        for entry in entries:
            harness.term.on_target_entry(entry)
        return harness

    def test_cancelled_task_on_a_target_reached_late_is_stopped(self) -> None:
        # A long-running task went on for long after its cancelling was acknowledged.
        self.replica.apply_job(LogRecord(records.CANCELLATION + JOB, b"1", 1))
        harness = self.take_over(1000)
        late = harness.sessions[-1]
        self.assertFalse(late.is_started)
        for session in harness.sessions[:FREE_STARTS]:
            harness.report(session.target.id)
        for _ in range(20):
            self.clock.advance(MAX_WAIT_S)
            harness.term.start_sessions()
        self.assertTrue(late.is_started)
        harness.report(late.target.id, running=[running(task_id(0))])
        self.assertEqual([run.task for run in late.stopped], [task_id(0)])

    def test_task_of_a_target_not_reached_yet_is_not_started_elsewhere(self) -> None:
        harness = self.take_over(1000)
        for session in harness.sessions[:FREE_STARTS]:
            harness.report(session.target.id)
        self.assertEqual(harness.dispatch(), [])

    def test_session_that_could_not_start_is_started_again(self) -> None:
        # The system refuses a thread: the target would never be reached, nor the take-over end.
        with mock.patch.object(StandInSession, "start", side_effect=RuntimeError("limit")):
            harness = self.take_over(1)
        harness.term.start_sessions()
        self.assertTrue(harness.sessions[0].is_started)


if __name__ == "__main__":
    unittest.main()
