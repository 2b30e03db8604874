"""Compares the indexed scheduler with the naive one and checks the rules in random sessions."""

from __future__ import annotations

import unittest

from azurecleat_policy import NaiveScheduler, Scheduler
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.lib.scheduler_sessions import Session

STEPS = 120

WAITING_SEEDS = (159, 313, 923, 1083)
"""Seeds whose sessions ended with waiting tasks."""


class DifferentialTest(unittest.TestCase):
    """Random sessions with submissions, failures, cancellations, reports and workers that leave."""

    @settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @given(seed=st.integers(0, 1 << 30))
    def test_indexed_and_naive_scheduler_decide_alike(self, seed: int) -> None:
        indexed = Session.run(Scheduler, seed, STEPS)
        naive = Session.run(NaiveScheduler, seed, STEPS)
        for step, (indexed_decisions, naive_decisions) in enumerate(
            zip(indexed.log, naive.log, strict=True)
        ):
            self.assertEqual(indexed_decisions, naive_decisions, f"step {step} of seed {seed}")

    @settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @given(seed=st.integers(0, 1 << 30))
    def test_promises_hold_in_random_sessions(self, seed: int) -> None:
        session = Session.run(Scheduler, seed, STEPS)
        self.assertEqual(session.checker.violations, [], f"seed {seed}")

    @settings(max_examples=40, derandomize=True, deadline=None, database=None)
    @given(seed=st.integers(0, 1 << 30))
    def test_nothing_that_fits_waits_for_ever(self, seed: int) -> None:
        session = Session.run(Scheduler, seed, STEPS)
        session.drain()
        self.assertEqual(session.scheduler.waiting_tasks, 0, f"seed {seed}")
        self.assertEqual(session.checker.violations, [], f"seed {seed}")

    # 313: a drain that ended while a reservation was kept; others: an estimate above every worker.
    def test_nothing_that_fits_waits_in_seeds_that_failed(self) -> None:
        for seed in WAITING_SEEDS:
            for make in (Scheduler, NaiveScheduler):
                with self.subTest(seed=seed, scheduler=make.__name__):
                    session = Session.run(make, seed, STEPS)
                    session.drain()
                    self.assertEqual(session.scheduler.waiting_tasks, 0)
                    self.assertEqual(session.checker.violations, [])


if __name__ == "__main__":
    unittest.main()
