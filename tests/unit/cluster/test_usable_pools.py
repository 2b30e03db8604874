"""The targets examined for a waiting step: none that may let it start is left out."""

from __future__ import annotations

import random
import unittest

from azurecleat_base import Resources
from azurecleat_cluster._internal.owner.advice_requests import select_targets
from azurecleat_cluster._internal.owner.model import Advice, Run, StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import Preferences, place
from azurecleat_cluster._internal.owner.usable_pools import MAX_ADVISABLE_TARGETS, UsablePool
from azurecleat_cluster.values import AdviceTerms

from tests.unit.cluster.test_target_health import make_step, make_target

NOW = 100.0


def make_advised(count: int) -> StepInfo:
    """Returns a step whose queue needs advice."""
    step = make_step("job", count)
    job = step.job
    job.submission = job.submission._replace(
        queue=job.queue._replace(advice=AdviceTerms(32, 0.28, 2500))
    )
    return step


def make_pool(targets: list[TargetInfo]) -> UsablePool:
    pool = UsablePool()
    for target in targets:
        pool.add(target)
    return pool


class UsablePoolTest(unittest.TestCase):
    """Pools of random load, against an examination of all targets."""

    def make_advised_step(self, rng: random.Random, targets: list[TargetInfo]) -> StepInfo:
        step = make_advised(8)
        need = Resources(rng.choice((500, 2_200, 4_500, 8_191, 8_192)), rng.choice((1, 4_000)), 0)
        step.spec = step.spec._replace(need=need, gang=rng.random() < 0.2)
        named = rng.sample(targets, rng.randrange(len(targets)))
        tickets = {target.id: "ticket" for target in named if rng.random() < 0.5}
        valid_until = NOW + rng.choice((-1.0, 5.0))
        step.advice.add(Advice(tuple(each.id for each in named), tickets, valid_until))
        return step

    def load(self, rng: random.Random, target: TargetInfo, others: StepInfo) -> None:
        for number in range(rng.randrange(4)):
            run = Run(others.task(0), others, number, target)
            run.allocation = Resources(rng.choice((1_000, 4_000)), rng.choice((10, 1_000)), 0)
            target.add(run)

    def test_same_choice_as_among_all_targets(self) -> None:
        # A step that is left out although it could start would wait for good.
        others, preferences = make_step("other", 8), Preferences()
        for seed in range(300):
            rng = random.Random(seed)
            targets = [make_target(number) for number in range(rng.randrange(1, 30))]
            for target in targets:
                self.load(rng, target, others)
            step, pool = self.make_advised_step(rng, targets), make_pool(targets)
            include_full = rng.random() < 0.5
            with self.subTest(seed=seed):
                self.assertEqual(
                    place(step, range(8), pool.with_room(step, NOW), NOW, preferences),
                    place(
                        step,
                        range(8),
                        pool.select(step.advice.valid_targets(NOW)),
                        NOW,
                        preferences,
                    ),
                )
                advisable = pool.advisable(step, NOW, include_full)
                self.assertEqual(
                    select_targets(step, advisable, NOW, 0.3, preferences, include_full),
                    select_targets(step, targets, NOW, 0.3, preferences, include_full),
                )

    def test_next_round_notices_freed_capacity_and_new_tickets(self) -> None:
        # Each event that may let a waiting step start: a run ends, a ticket arrives, a ticket is
        # renewed, capacity returns, a hold ends, an isolation ends.
        target, step, others = make_target(1), make_advised(1), make_step("other", 1)
        blocking = Run(others.task(0), others, 1, target)
        blocking.allocation = target.entry.capacity

        def is_examined(now: float = NOW) -> bool:
            return make_pool([target]).with_room(step, now) == [target]

        self.assertFalse(is_examined())
        step.advice.add(Advice((target.id,), {target.id: "ticket"}, NOW + 1.0))
        self.assertTrue(is_examined())
        self.assertFalse(is_examined(NOW + 2.0))
        step.advice.add(Advice((target.id,), {target.id: "ticket"}, NOW + 5.0))
        self.assertTrue(is_examined(NOW + 2.0))
        for block, free in (
            (lambda: target.add(blocking), lambda: target.remove(blocking)),
            (lambda: target.hold(target.entry.capacity), target.release_holds),
            (lambda: target.isolate(blocking), lambda: target.end_isolation(blocking)),
            (
                lambda: target.set_listed_capacity(Resources(0, 0, 0)),
                lambda: target.set_listed_capacity(None),
            ),
        ):
            block()
            self.assertFalse(is_examined())
            free()
            self.assertTrue(is_examined())

    def test_every_target_of_a_large_pool_has_its_turn(self) -> None:
        # Of 3,000 targets only some are examined at a time; a step may be allowed on few of them.
        targets = [make_target(number) for number in range(3000)]
        step, pool = make_advised(1), make_pool(targets)
        allowed = targets[-1].id
        step.advice.add(Advice((allowed,), {allowed: "ticket"}, NOW))
        seen: set[str] = set()
        for check in range(100):
            examined = {each.id for each in pool.advisable(step, NOW + 0.1 * check, False)}
            self.assertLessEqual(len(examined), MAX_ADVISABLE_TARGETS + 1)
            self.assertIn(allowed, examined)
            seen |= examined
        self.assertEqual(len(seen), 3000)


if __name__ == "__main__":
    unittest.main()
