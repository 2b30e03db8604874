"""Tests of the task manager with one worker, over sessions that lose or delay requests."""

from __future__ import annotations

import unittest

from azurecleat_coordination.records import BeginTask, CancelJob, Claim, Entry, encode_entry
from azurecleat_daemon._internal.target_session import (
    CONTROL_RETRY_S,
    LATE_ARRIVAL_S,
)
from azurecleat_fakes import Faults
from azurecleat_model.exceptions import NotRunError, OutcomeUnknownError
from azurecleat_platform import ControlRequest

from tests.lib.task_manager_fixture import JOB_ID, LEASE_S, PARTITION, TaskManagerFixture

MAX_UNSTARTED_S = 3.0
"""Longest time for which a task may stay unstarted while there is capacity for it."""


class RefusedStartTest(unittest.TestCase):
    """Starts that the worker refuses."""

    # A refusal was taken to show that the task never ran, although an earlier exchange with the
    # same start had no answer and reached the worker later: the task ran twice.
    def test_start_refused_after_an_unanswered_exchange_is_not_taken_as_not_run(self) -> None:
        fixture = TaskManagerFixture(run_s=1.0)
        fixture.schedule()
        fixture.connection.holds_next = True
        fixture.session.exchange()
        fixture.fill_worker()
        fixture.run(rounds=6)
        fixture.connection.deliver_held()
        fixture.run(rounds=3)
        self.assertLessEqual(fixture.starts[(JOB_ID, 0)], 1)
        self.assertEqual(fixture.summary["unknown"], 1)

    def test_start_refused_in_its_only_exchange_is_sent_again(self) -> None:
        fixture = TaskManagerFixture(run_s=1.0)
        fixture.schedule()
        fixture.fill_worker()
        fixture.run(rounds=6)
        self.assertEqual(fixture.starts[(JOB_ID, 0)], 1)
        self.assertEqual((fixture.summary["done"], fixture.summary["unknown"]), (1, 0))


class LateStartTest(unittest.TestCase):
    """Starts that arrive after a later exchange with the same start."""

    def setUp(self) -> None:
        self.fixture = TaskManagerFixture(run_s=1.0)
        self.fixture.schedule()
        self.fixture.connection.holds_next = True
        self.fixture.session.exchange()
        self.fixture.run(rounds=6)

    # The end of the repeated start was acknowledged at once. The worker then forgot the attempt,
    # so that the first start, which arrived late, ran the task a second time.
    def test_start_that_arrives_after_the_end_of_its_repeat_does_not_run_the_task(self) -> None:
        self.assertEqual(self.fixture.summary["done"], 1)
        self.fixture.connection.deliver_held()
        self.assertEqual(self.fixture.starts[(JOB_ID, 0)], 1)

    def test_end_is_acknowledged_once_no_start_can_arrive_late(self) -> None:
        self.assertFalse(self.fixture.session.has_commands, "exchanges would follow without pause")
        for _ in range(int(LATE_ARRIVAL_S / 0.6) + 2):
            self.fixture.run()
        reply = self.fixture.worker.control(ControlRequest(PARTITION, 1, "one", LEASE_S))
        self.assertEqual(reply.ended, ())


class SilentWorkerTest(unittest.TestCase):
    """Tasks placed on a worker that is silent, while others have room."""

    def setUp(self) -> None:
        self.fixture = TaskManagerFixture(repeatable=True, run_s=1.0)
        self.others = [self.fixture.add_worker() for _ in range(2)]

    def pass_time(self) -> None:
        """Lets sessions make an exchange as often as they do with a target that is silent."""
        self.fixture.clock.advance(CONTROL_RETRY_S)
        for session in (self.fixture.session, *self.others):
            session.exchange()

    def began_after_s(self) -> float:
        """Returns how long the task waits."""
        began_at = self.fixture.clock.monotonic()
        for _ in range(100):
            self.fixture.tasks.step()
            self.pass_time()
            if self.fixture.starts[(JOB_ID, 0)]:
                break
        return self.fixture.clock.monotonic() - began_at

    # Starts that a worker certainly never received waited until its lease had lapsed.
    def test_task_that_was_never_sent_starts_elsewhere(self) -> None:
        self.fixture.connection.error = NotRunError("connection refused", step="control")
        self.assertLessEqual(self.began_after_s(), MAX_UNSTARTED_S)

    # Tasks were placed on a silent worker, where nothing is sent, until its lease had lapsed.
    def test_no_task_is_placed_on_an_unresponsive_worker(self) -> None:
        self.fixture.connection.error = OutcomeUnknownError("no answer", step="control")
        while not self.fixture.session.is_unresponsive:
            self.pass_time()
        self.pass_time()
        self.assertLessEqual(self.began_after_s(), CONTROL_RETRY_S + 0.01)

    # Exchanges with a silent worker followed each other without pause, although nothing was sent.
    def test_exchanges_pause_while_nothing_is_sent(self) -> None:
        self.fixture.connection.error = OutcomeUnknownError("no answer", step="control")
        self.fixture.tasks.step()
        while not self.fixture.session.is_unresponsive:
            self.pass_time()
        self.assertTrue(self.fixture.session.has_commands)
        self.assertEqual(self.fixture.session.next_exchange_delay_s(), CONTROL_RETRY_S)

    # Guards against a second start of a task that the silent worker may have received.
    def test_task_that_may_have_been_sent_waits_for_the_end_of_the_lease(self) -> None:
        self.fixture.connection.error = OutcomeUnknownError("no answer", step="control")
        self.assertGreater(self.began_after_s(), LEASE_S)


class BegunTaskTest(unittest.TestCase):
    """Tasks that are not repeatable, whose begin is recorded before they are sent."""

    def setUp(self) -> None:
        self.fixture = TaskManagerFixture(run_s=1.0)

    # The rejection of a repeated begin was taken to show that the task had run, although it was
    # this owner's own first record: a task that was never sent ended as unknown.
    def test_task_begun_by_an_append_without_answer_is_run(self) -> None:
        self.fixture.log.faults = Faults(lose_answers=1, read_lag=10)
        self.fixture.run(rounds=10)
        self.fixture.log.faults = Faults()
        self.fixture.run(rounds=6)
        self.assertEqual(self.fixture.starts[(JOB_ID, 0)], 1)
        self.assertEqual((self.fixture.summary["done"], self.fixture.summary["unknown"]), (1, 0))

    def test_task_begun_by_a_later_owner_is_not_run(self) -> None:
        self.fixture.log.drops = True
        self.fixture.run(rounds=10)
        self.fixture.log.drops = False
        claim = Claim(PARTITION, 2, "two", "two", ("w1",))
        events = (claim, BeginTask(PARTITION, 2, JOB_ID, 0))
        self.fixture.log.append(encode_entry(Entry("two", 1, events)))
        self.fixture.run(rounds=6)
        self.assertEqual(self.fixture.starts[(JOB_ID, 0)], 0)


class RecordedResultTest(unittest.TestCase):
    """Results whose record the log's order rejects."""

    def setUp(self) -> None:
        self.fixture = TaskManagerFixture(run_s=1.0)
        self.fixture.run(rounds=2)
        self.fixture.clock.advance(1.0)
        self.fixture.session.exchange()

    def append_by_other(self, event) -> None:
        self.fixture.log.append(encode_entry(Entry("two", 1, (event,))))

    # A rejected record counted as recorded: the result was acknowledged to the worker, which then
    # forgot it, so that the next owner recorded the task as unknown although it was done.
    def test_result_rejected_after_a_later_claim_is_left_to_the_next_owner(self) -> None:
        self.append_by_other(Claim(PARTITION, 2, "two", "two", ("w1",)))
        self.fixture.run(rounds=2)
        self.fixture.session.release()
        reply = self.fixture.worker.control(ControlRequest(PARTITION, 2, "two", LEASE_S))
        self.assertEqual([end.result for end in reply.ended], ["done"])

    def test_result_of_a_cancelled_job_is_acknowledged(self) -> None:
        self.append_by_other(CancelJob(PARTITION, JOB_ID))
        self.fixture.run(rounds=2)
        self.assertTrue(self.fixture.summary["cancelled"])
        reply = self.fixture.worker.control(ControlRequest(PARTITION, 1, "one", LEASE_S))
        self.assertEqual(reply.ended, ())


if __name__ == "__main__":
    unittest.main()
