"""Load pattern: gangs that need whole accelerator targets beside many single-accelerator tasks.

Every step may use only a third to a half of the targets, and learns which ones from an advice
service whose tickets expire soon after they are given.
"""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable

from azurecleat_base import Resources
from azurecleat_cluster._internal.owner.model import Run
from azurecleat_cluster.values import AdviceTerms, JobSpec, Queue, Step

from tests.lib.pool_simulation import Arrival, JobResult, PoolSimulation
from tests.lib.term_harness import make_entry

SCANS = Queue(
    "scans",
    "host",
    "/s/",
    "pool",
    priority=1,
    attempts=3,
    stretch=2.2,
    objective_ms=1000,
    advice=AdviceTerms(886.0, 8.0, 2000.0),
)
INSPECTIONS = Queue(
    "inspections",
    "host",
    "/i/",
    "pool",
    priority=2,
    attempts=4,
    stretch=4.0,
    objective_ms=3000,
    advice=AdviceTerms(150.0, 2.1, 2000.0),
)
TARGET_COUNT = 48
ACCELERATORS = 8
ALLOWED_SHARE = 0.3


def make_scan(width: int, accelerators: int, estimate_ms: float = 3600.0) -> JobSpec:
    need = Resources(31_000, 90_000, accelerators)
    return JobSpec("", (Step(width, need, estimate_ms, gang=True),))


def make_inspection(width: int, estimate_ms: float = 3000.0) -> JobSpec:
    return JobSpec("", (Step(width, Resources(5_600, 16_000, 1), estimate_ms),))


def make_load(rng: random.Random, length_s: float, scans_per_s: float = 1.0) -> list[Arrival]:
    """Returns random arrivals of scans and inspections over a time."""
    load = []
    at = 0.0
    while (at := at + rng.expovariate(scans_per_s)) < length_s:
        scan = make_scan(rng.randint(2, 6), rng.choice((2, 4, 8, 8)), rng.uniform(2000, 6000))
        load.append(Arrival(at, SCANS, scan))
    at = 0.0
    while (at := at + rng.expovariate(1.1)) < length_s:
        spec = make_inspection(rng.randint(4, 28), rng.uniform(1500, 5000))
        load.append(Arrival(at, INSPECTIONS, spec))
    return load


def make_simulation(seed: int, fails: Callable[[Run], bool] = lambda run: False) -> PoolSimulation:
    entries = [
        make_entry(f"t{number}")._replace(
            capacity=Resources(64_000, 262_144, ACCELERATORS), zone=f"z{number % 3}"
        )
        for number in range(TARGET_COUNT)
    ]
    return PoolSimulation(entries, ALLOWED_SHARE, seed, fails)


class AcceleratorGangTest(unittest.TestCase):
    """Gangs of whole targets among single-accelerator tasks, in a pool of 48 targets."""

    def objective_s(self, arrival: Arrival, attempts: int) -> float:
        work_s = attempts * arrival.spec.steps[0].estimate_ms / 1000.0
        return arrival.queue.objective_ms / 1000.0 + arrival.queue.stretch * work_s

    def play(self, seed: int, load: list[Arrival], until_s: float) -> list[JobResult]:
        results = make_simulation(seed).play(load, until_s)
        self.assertEqual(len(results), len(load))
        return results

    def test_gang_that_failed_runs_again(self) -> None:
        # Its tasks become pending one after the other, so that the first request after the failure
        # asks for one target. A ticket expires sooner than two requests in a row are answered.
        for seed in range(8):
            with self.subTest(seed=seed):
                simulation = make_simulation(
                    seed, fails=lambda run: run.number == 1 and run.task.index == 0
                )
                load = [Arrival(0.0, SCANS, make_scan(3, 4))]
                (result,) = simulation.play(load, 20.0)
                self.assertIsNotNone(result.ended_at)
                self.assertLess(result.ended_at, self.objective_s(load[0], attempts=2))

    def test_every_gang_of_a_mixed_load_runs(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                load = make_load(random.Random(seed), length_s=20.0)
                results = self.play(seed, load, 34.0)
                unfinished = [each for each in results if each.ended_at is None]
                self.assertEqual(unfinished, [])


if __name__ == "__main__":
    unittest.main()
