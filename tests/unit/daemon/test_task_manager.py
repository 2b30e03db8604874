"""Tests of the task manager with one worker, over sessions that lose or delay requests."""

from __future__ import annotations

import unittest

from tests.lib.task_manager_fixture import JOB_ID, TaskManagerFixture


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


if __name__ == "__main__":
    unittest.main()
