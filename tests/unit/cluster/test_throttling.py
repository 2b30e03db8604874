"""Throttling of filling tasks beside a serving task during and after a burst of its load."""

from __future__ import annotations

import unittest

from azurecleat_cluster._internal.owner.model import UNKNOWN_THROTTLE_PERCENT, Run
from azurecleat_cluster._internal.owner.throttling import MOVE_AFTER_S, SETTLE_S, throttle_target

from tests.unit.cluster.test_target_health import make_step, make_target, start

TARGET_MS = 50.0
STEP_S = 0.5
MAX_OVER_BOUND_S = 4.0
"""Time for which a tail latency may exceed its bound."""


class ThrottlingTest(unittest.TestCase):
    """One target with a serving task and two filling tasks."""

    def setUp(self) -> None:
        self.target = make_target(0)
        serving = make_step("serve", 1, long_running=True, target_ms=TARGET_MS)
        self.serving = start(serving, 0, self.target, 0.0)
        fill = make_step("fill", 2, fills=True, checkpointing=True)
        self.filling = [start(fill, index, self.target, 0.0) for index in range(2)]
        self.now = 0.0
        self.over_bound_s = 0.0
        self.moved: list[Run] = []

    def simulate(self, seconds: float, own_ms: float, disturbed_ms: float) -> None:
        """Simulates the serving task's tail latency.

        It is ``own_ms`` plus ``disturbed_ms`` times the share at which the filling tasks work.
        """
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            share = (
                sum(run.throttle_percent for run in self.filling if run not in self.moved) / 200.0
            )
            self.serving.load = own_ms + disturbed_ms * share
            is_over_bound = self.serving.load > TARGET_MS and share > 0
            self.over_bound_s = self.over_bound_s + STEP_S if is_over_bound else 0.0
            self.assertLess(self.over_bound_s, MAX_OVER_BOUND_S)
            decision = throttle_target(self.target, self.now)
            for run, percent in decision.changes:
                run.throttle_percent = percent
            self.moved.extend(decision.moves)
            for run in decision.moves:
                self.target.remove(run)

    def test_nothing_is_throttled_while_tail_latency_is_low(self) -> None:
        self.simulate(10.0, 10.0, 10.0)
        self.assertEqual([run.throttle_percent for run in self.filling], [100, 100])

    def test_filling_tasks_stop_before_the_bound_is_exceeded_for_too_long(self) -> None:
        self.simulate(3.0, 20.0, 60.0)
        self.assertLess(self.serving.load, TARGET_MS)

    def test_throttling_ends_after_a_burst(self) -> None:
        self.simulate(1.0, 20.0, 60.0)
        self.simulate(10.0, 10.0, 10.0)
        self.assertEqual([run.throttle_percent for run in self.filling], [100, 100])
        self.assertEqual(self.moved, [])

    def test_tasks_at_zero_percent_move(self) -> None:
        self.simulate(SETTLE_S + MOVE_AFTER_S + 2 * STEP_S, 60.0, 10.0)
        self.assertEqual(set(self.moved), set(self.filling))

    # A filling task that was stopped in a burst stayed at 0 percent for good if the serving task's
    # own tail latency lay between the two bounds after it.
    def test_stopped_task_works_again_beside_a_serving_task_below_its_bound(self) -> None:
        self.fill_without_checkpoints()
        self.simulate(1.0, 60.0, 10.0)
        self.assertEqual([run.throttle_percent for run in self.filling], [0, 0])
        self.simulate(5.0, 35.0, 60.0)
        self.assertEqual([run.throttle_percent for run in self.filling], [5, 5])
        self.assertLess(self.serving.load, TARGET_MS)

    def test_stopped_task_stays_stopped_beside_a_serving_task_near_its_bound(self) -> None:
        self.fill_without_checkpoints()
        self.simulate(30.0, 60.0, 10.0)
        self.simulate(30.0, 45.0, 10.0)
        self.assertEqual([run.throttle_percent for run in self.filling], [0, 0])

    def fill_without_checkpoints(self) -> None:
        for run in self.filling:
            self.target.remove(run)
        fill = make_step("fill", 2, fills=True)
        self.filling = [start(fill, index, self.target, 0.0) for index in range(2)]

    def test_unknown_throttle_percent_is_sent_again(self) -> None:
        self.filling[0].throttle_percent = UNKNOWN_THROTTLE_PERCENT
        self.assertEqual(throttle_target(self.target, 1.0).changes, ((self.filling[0], 100),))

    def test_target_without_filling_tasks_is_not_changed(self) -> None:
        for run in self.filling:
            self.target.remove(run)
        self.serving.load = 500.0
        self.assertEqual(throttle_target(self.target, 1.0).changes, ())


if __name__ == "__main__":
    unittest.main()
