"""What a question to the advice service names, in pools larger than one question."""

from __future__ import annotations

import random
import unittest

from azurecleat_cluster import Preferences
from azurecleat_cluster._internal.owner.placement import place, place_gang
from azurecleat_cluster._internal.owner.questions import (
    FIRST_NAMES,
    MAX_NAMES,
    AllowedShares,
    names_to_ask,
)
from azurecleat_cluster._internal.owner.work import Advice, StepWork, TargetWork
from azurecleat_cluster.values import AdviceTerms

from tests.unit.cluster.test_suspicion import make_step, make_target, start

VALID_S = 2.0


def make_advised(name: str, count: int, cpu: int = 1_000, **spec: object) -> StepWork:
    step = make_step(name, count, cpu, **spec)
    queue = step.job.submission.queue._replace(advice=AdviceTerms(600.0, 5.0, 2500.0))
    step.job.submission = step.job.submission._replace(queue=queue)
    return step


class NamesTest(unittest.TestCase):
    """A pool of 176 targets, of which a few are allowed."""

    def setUp(self) -> None:
        self.targets = [make_target(n, zone=f"z{n % 3}", cpu=64_000) for n in range(176)]
        self.preferences = Preferences()
        self.shares = AllowedShares()
        self.asked: list[int] = []

    def ask(self, step: StepWork, allowed: set[str], now: float) -> bool:
        """Asks once; returns whether there was anything to ask."""
        share = self.shares.of("queue")
        names = names_to_ask(step, self.targets, now, share, self.preferences)
        self.assertLessEqual(len(names), MAX_NAMES)
        self.assertEqual(len(set(names)), len(names))
        if not names:
            return False
        self.asked.append(len(names))
        tickets = {name: "ticket" for name in names if name in allowed}
        self.shares.note("queue", len(names), len(tickets))
        step.advice.take(Advice(tuple(names), tickets, now + VALID_S))
        return True

    def test_a_gang_finds_the_few_allowed_targets_of_a_large_pool(self) -> None:
        # One member a target; of 176 targets 25 are allowed, all of them among the last 100.
        allowed = {f"t{n}" for n in range(80, 176, 4)} | {"t175"}
        gang = make_advised("gang", 21, 16_700, gang=True, max_per_target=1)
        now = 0.0
        while self.ask(gang, allowed, now) and now < 5.0:
            now += 0.1
        self.assertEqual(len(place_gang(gang, self.targets, now, self.preferences)), 21)

    def test_every_target_is_asked_about_in_the_end(self) -> None:
        rng = random.Random(5)
        for seed in range(20):
            allowed = {target.id for target in self.targets if rng.random() < 0.05}
            step = make_advised(f"wide{seed}", 400, 16_000)
            now = 0.0
            while self.ask(step, allowed, now) and now < 1.5:
                now += 0.01
            known = step.advice.denied | set(step.advice.valid_targets(now))
            self.assertEqual(known, {target.id for target in self.targets})

    def test_a_small_step_names_few(self) -> None:
        step = make_advised("small", 10, 8_900)
        self.assertTrue(self.ask(step, {target.id for target in self.targets}, 0.0))
        self.assertEqual(self.asked, [FIRST_NAMES])
        self.assertFalse(self.ask(step, set(), 0.1))

    def test_a_renewal_names_only_what_is_allowed_and_has_room(self) -> None:
        step = make_advised("again", 10, 8_900)
        allowed = {target.id for target in self.targets[::2]}
        while self.ask(step, allowed, 0.0):
            pass
        known = set(step.advice.valid_targets(0.0))
        names = names_to_ask(step, self.targets, VALID_S, 0.5, self.preferences)
        self.assertTrue(set(names) <= known)
        self.assertLessEqual(len(names), 2)  # Seven tasks fit on one target.

    def test_full_targets_are_named_only_at_first(self) -> None:
        for number, target in enumerate(self.targets):
            start(make_step(f"o{number}", 1, 64_000), 0, target, 0.0)
        step = make_advised("waits", 10, 8_900)
        self.assertTrue(self.ask(step, set(), 0.0))
        self.assertFalse(self.ask(step, set(), 0.1))
        self.free(self.targets[-1])
        self.assertTrue(self.ask(step, {self.targets[-1].id}, 0.2))
        self.assertEqual(len(place(step, range(10), self.targets, 0.3, self.preferences)), 7)

    def test_a_full_pool_is_not_asked_about_by_all_that_wait(self) -> None:
        # The overload in which hundreds of waiting steps kept the callers busy with renewals, and
        # those ranked last were never asked about.
        step = make_advised("waits", 10, 8_900)
        self.ask(step, {target.id for target in self.targets}, 0.0)
        for number, target in enumerate(self.targets):
            start(make_step(f"o{number}", 1, 64_000), 0, target, 0.0)
        for is_eager in (False, True):
            names = names_to_ask(
                step, self.targets, VALID_S, 0.5, self.preferences, is_eager=is_eager
            )
            self.assertEqual(bool(names), is_eager)
            self.assertLessEqual(len(names), FIRST_NAMES)

    def test_a_gang_without_room_is_not_asked_about(self) -> None:
        gang = make_advised("gang", 21, 16_700, gang=True, max_per_target=1)
        self.ask(gang, {f"t{n}" for n in range(8)}, 0.0)
        for number, target in enumerate(self.targets[8:]):
            start(make_step(f"o{number}", 1, 64_000), 0, target, 0.0)
        self.assertEqual(names_to_ask(gang, self.targets, VALID_S, 0.5, self.preferences), [])

    def test_a_refused_ticket_is_renewed(self) -> None:
        step = make_advised("refused", 3, 8_900)
        self.ask(step, {"t0"}, 0.0)
        self.assertTrue(step.advice.is_valid("t0", 0.1))
        step.advice.refused("t0")
        self.assertFalse(step.advice.is_valid("t0", 0.1))
        self.assertIn("t0", names_to_ask(step, self.targets, 0.1, 0.3, self.preferences))

    def test_label_and_rack_are_asked_for(self) -> None:
        labelled = make_advised("label", 2, required_label="r0")
        self.ask(labelled, set(), 0.0)
        racks = {
            target.entry.rack for target in self.targets if target.id in labelled.advice.denied
        }
        self.assertEqual(racks, {"r0"})

    def free(self, target: TargetWork) -> None:
        for run in list(target.runs.values()):
            target.remove(run)


if __name__ == "__main__":
    unittest.main()
