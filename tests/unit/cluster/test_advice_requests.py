"""Which targets a request to the advice service names, in a pool that exceeds one request."""

from __future__ import annotations

import random
import unittest

from azurecleat_cluster import Preferences
from azurecleat_cluster._internal.owner.advice_requests import (
    MAX_TARGETS,
    MIN_FIRST_TARGETS,
    AllowedShareEstimator,
    select_targets,
)
from azurecleat_cluster._internal.owner.model import Advice, StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import place, place_gang
from azurecleat_cluster.values import AdviceTerms

from tests.unit.cluster.test_target_health import make_step, make_target, start

TICKET_VALIDITY_S = 2.0


def make_advised(name: str, count: int, cpu: int = 1_000, **spec: object) -> StepInfo:
    step = make_step(name, count, cpu, **spec)
    queue = step.job.submission.queue._replace(advice=AdviceTerms(600.0, 5.0, 2500.0))
    step.job.submission = step.job.submission._replace(queue=queue)
    return step


class TargetSelectionTest(unittest.TestCase):
    """A pool of 176 targets, a few of which are allowed."""

    def setUp(self) -> None:
        self.targets = [make_target(n, zone=f"z{n % 3}", cpu=64_000) for n in range(176)]
        self.preferences = Preferences()
        self.shares = AllowedShareEstimator()
        self.requested_counts: list[int] = []

    def request_advice(self, step: StepInfo, allowed: set[str], now: float) -> bool:
        """Requests advice once; returns whether the request names any targets."""
        share = self.shares.of("queue")
        names = select_targets(step, self.targets, now, share, self.preferences)
        self.assertLessEqual(len(names), MAX_TARGETS)
        self.assertEqual(len(set(names)), len(names))
        if not names:
            return False
        self.requested_counts.append(len(names))
        tickets = {name: "ticket" for name in names if name in allowed}
        self.shares.note("queue", len(names), len(tickets))
        step.advice.add(Advice(tuple(names), tickets, now + TICKET_VALIDITY_S))
        return True

    def test_gang_finds_the_few_allowed_targets_of_a_large_pool(self) -> None:
        # One task per target; 25 of the 176 targets are allowed, all of them among the last 100.
        allowed = {f"t{n}" for n in range(80, 176, 4)} | {"t175"}
        gang = make_advised("gang", 21, 16_700, gang=True, max_per_target=1)
        now = 0.0
        while self.request_advice(gang, allowed, now) and now < 5.0:
            now += 0.1
        self.assertEqual(len(place_gang(gang, self.targets, now, self.preferences)), 21)

    def test_every_target_is_named_eventually(self) -> None:
        rng = random.Random(5)
        for seed in range(20):
            allowed = {target.id for target in self.targets if rng.random() < 0.05}
            step = make_advised(f"wide{seed}", 400, 16_000)
            now = 0.0
            while self.request_advice(step, allowed, now) and now < 1.5:
                now += 0.01
            known = step.advice.denied | set(step.advice.valid_targets(now))
            self.assertEqual(known, {target.id for target in self.targets})

    def test_small_step_names_few_targets(self) -> None:
        step = make_advised("small", 10, 8_900)
        self.assertTrue(self.request_advice(step, {target.id for target in self.targets}, 0.0))
        self.assertEqual(self.requested_counts, [MIN_FIRST_TARGETS])
        self.assertFalse(self.request_advice(step, set(), 0.1))

    def test_renewal_names_only_allowed_targets_with_capacity(self) -> None:
        step = make_advised("again", 10, 8_900)
        allowed = {target.id for target in self.targets[::2]}
        while self.request_advice(step, allowed, 0.0):
            pass
        known = set(step.advice.valid_targets(0.0))
        names = select_targets(step, self.targets, TICKET_VALIDITY_S, 0.5, self.preferences)
        self.assertTrue(set(names) <= known)
        self.assertLessEqual(len(names), 2)  # Seven tasks fit on one target.

    def test_full_targets_are_named_only_in_the_first_request(self) -> None:
        for number, target in enumerate(self.targets):
            start(make_step(f"o{number}", 1, 64_000), 0, target, 0.0)
        step = make_advised("waits", 10, 8_900)
        self.assertTrue(self.request_advice(step, set(), 0.0))
        self.assertFalse(self.request_advice(step, set(), 0.1))
        self.remove_runs(self.targets[-1])
        self.assertTrue(self.request_advice(step, {self.targets[-1].id}, 0.2))
        self.assertEqual(len(place(step, range(10), self.targets, 0.3, self.preferences)), 7)

    def test_tickets_for_full_targets_are_renewed_only_on_demand(self) -> None:
        # With the pool full, hundreds of waiting steps once kept the workers busy with renewals,
        # so that no advice was ever requested for the steps ranked last.
        step = make_advised("waits", 10, 8_900)
        self.request_advice(step, {target.id for target in self.targets}, 0.0)
        for number, target in enumerate(self.targets):
            start(make_step(f"o{number}", 1, 64_000), 0, target, 0.0)
        for include_full in (False, True):
            names = select_targets(
                step,
                self.targets,
                TICKET_VALIDITY_S,
                0.5,
                self.preferences,
                include_full=include_full,
            )
            self.assertEqual(bool(names), include_full)
            self.assertLessEqual(len(names), MIN_FIRST_TARGETS)

    def test_gang_without_enough_capacity_requests_nothing(self) -> None:
        gang = make_advised("gang", 21, 16_700, gang=True, max_per_target=1)
        self.request_advice(gang, {f"t{n}" for n in range(8)}, 0.0)
        for number, target in enumerate(self.targets[8:]):
            start(make_step(f"o{number}", 1, 64_000), 0, target, 0.0)
        self.assertEqual(
            select_targets(gang, self.targets, TICKET_VALIDITY_S, 0.5, self.preferences), []
        )

    def test_refused_ticket_is_renewed(self) -> None:
        step = make_advised("refused", 3, 8_900)
        self.request_advice(step, {"t0"}, 0.0)
        self.assertTrue(step.advice.is_valid("t0", 0.1))
        step.advice.invalidate_ticket("t0")
        self.assertFalse(step.advice.is_valid("t0", 0.1))
        self.assertIn("t0", select_targets(step, self.targets, 0.1, 0.3, self.preferences))

    def test_only_targets_with_the_required_label_are_named(self) -> None:
        labelled = make_advised("label", 2, required_label="r0")
        self.request_advice(labelled, set(), 0.0)
        racks = {
            target.entry.rack for target in self.targets if target.id in labelled.advice.denied
        }
        self.assertEqual(racks, {"r0"})

    def remove_runs(self, target: TargetInfo) -> None:
        for run in list(target.runs.values()):
            target.remove(run)


if __name__ == "__main__":
    unittest.main()
