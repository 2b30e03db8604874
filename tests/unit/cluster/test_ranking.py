"""Order of the waiting work when there is more of it than the pool can do in time."""

from __future__ import annotations

import random
import unittest

from azurecleat_base import ManualClock, Resources
from azurecleat_cluster._internal.features import NO_FEATURES, Features
from azurecleat_cluster._internal.objectives import MAX_LATE_OBJECTIVES
from azurecleat_cluster._internal.owner.model import TeamUsage
from azurecleat_cluster._internal.owner.pool_load import PoolLoad
from azurecleat_cluster._internal.owner.ranking import DominantShares, Ranking, rank_of
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.values import JobSpec, Queue, Step, Team

from tests.lib.job_value import mean_value, value_of
from tests.lib.pool_simulation import Arrival, JobResult, PoolSimulation
from tests.lib.term_harness import JOB, TermHarness, make_entry, submit

ORDERING = Features(ordering=True)
WIDE = Queue(
    "wide", "host", "/w/", "pool", 2, attempts=3, stretch=2.2, objective_ms=1200, timeout_ms=3000
)
NEED = Resources(4500, 1000)
SLOTS = 40


def make_wide(rng: random.Random) -> JobSpec:
    """Returns a job of two steps; a tenth of the jobs have three times as many tasks."""
    count = rng.randint(3, 13) * (3 if rng.random() < 0.1 else 1)
    estimate_ms = rng.uniform(400, 1250) * (2 if rng.random() < 0.2 else 1)
    first = Step(count, NEED, estimate_ms)
    return JobSpec("", (first, first._replace(depends_on=(0,))))


def size_of(result: JobResult) -> float:
    return sum(step.count * step.estimate_ms for step in result.arrival.spec.steps)


class OverloadOfWideWorkTest(unittest.TestCase):
    """1.6 times as much wide work as the pool can do, with jobs of mixed sizes, for 40 s."""

    def play(self, seed: int, features: Features) -> list[JobResult]:
        rng, load, at = random.Random(seed), [], 0.0
        # A job takes 19 slot-seconds on average.
        while (at := at + rng.expovariate(1.6 * SLOTS / 19.0)) < 40.0:
            load.append(Arrival(at, WIDE, make_wide(rng)))
        entries = [
            make_entry(f"t{number}")._replace(capacity=Resources(18_000, 64_000))
            for number in range(SLOTS // 4)
        ]
        simulation = PoolSimulation(entries, 1.0, seed, features=features, queues=(WIDE,))
        results = simulation.play(load, 40.0)
        return [each for each in results if 4.0 < each.arrival.at < 16.0]

    def test_more_value_and_the_largest_are_served_half_as_often_as_all(self) -> None:
        earlier = [each for seed in range(3) for each in self.play(seed, NO_FEATURES)]
        results = [each for seed in range(3) for each in self.play(seed, ORDERING)]
        self.assertGreater(mean_value(results), mean_value(earlier))
        largest = sorted(results, key=size_of)[-len(results) // 10 :]
        served, served_largest = (
            sum(value_of(each) > 0 for each in group) / len(group) for group in (results, largest)
        )
        self.assertGreaterEqual(served_largest, 0.5 * served)


class RankTest(unittest.TestCase):
    """The rank of single steps."""

    def setUp(self) -> None:
        self.clock, self.replica = ManualClock(), JobReplica()
        self.harness = TermHarness(self.clock, self.replica, queues=(WIDE,))
        self.ranking = Ranking(is_scarcity_ordered=True)

    def add(self, name: str, *estimates_ms: float):  # noqa: ANN201
        steps = tuple(Step(4, NEED, each) for each in estimates_ms)
        submit(self.replica, JobSpec("", steps), name, WIDE)
        self.harness.term.on_job_record(f"s/{name}")
        return self.harness.term.jobs[name].steps[0, 0]

    def order(self, *steps) -> list[str]:  # noqa: ANN002
        now = self.clock.monotonic()
        waiting = [(self.ranking.rank(step, "pool", now), step) for step in steps]
        self.ranking.sort(waiting, now)
        return [step.job.id for _, step in waiting]

    def test_order_is_the_earlier_one_without_the_feature(self) -> None:
        step, now = self.add(JOB, 1000), self.clock.monotonic()
        self.assertEqual(Ranking(False).rank(step, "pool", now), rank_of(step, now))

    def test_work_that_will_be_late_goes_behind_work_that_can_be_on_time(self) -> None:
        late = self.add("late", 1000)
        self.clock.advance(2.5)  # Of 3.4 s; one second of work is left.
        timely = self.add("timely", 1000)
        self.assertEqual(self.order(late, timely), ["timely", "late"])

    # A step that is set back in its midst would hold what its first tasks have done in vain.
    def test_step_that_has_begun_is_not_set_back(self) -> None:
        begun = self.add("begun", 1000)
        begun.done.add(0)
        self.clock.advance(2.5)
        self.assertEqual(self.order(begun, self.add("timely", 1000)), ["begun", "timely"])

    def test_each_fifth_start_goes_to_a_job_that_is_older_than_its_objective(self) -> None:
        aged = self.add("aged", 1000)
        self.clock.advance(3.5)
        timely = self.add("timely", 1000)
        firsts = []
        for _ in range(20):
            first = self.order(aged, timely)[0]
            firsts.append(first)
            step = aged if first == "aged" else timely
            self.ranking.note_started(step, 1, self.clock.monotonic())
        self.assertEqual(firsts.count("aged"), 3)
        self.clock.advance((MAX_LATE_OBJECTIVES - 1) * 3.4)
        self.ranking.note_started(timely, 50, self.clock.monotonic())
        self.assertEqual(self.order(aged, self.add("new", 1000))[0], "new")


class DominantSharesTest(unittest.TestCase):
    """Accounts that use much of a full pool go behind the others."""

    def setUp(self) -> None:
        names = ("hot", "calm", *map(str, range(8)))
        self.teams = {name: Team(name, frozenset(), 1.0) for name in names}
        self.shares, self.usage = DominantShares(), TeamUsage()

    def levels(self, hot_cores: int, used: Resources) -> tuple[int, int]:
        self.usage._used["hot"] = Resources(hot_cores * 1000, 0)
        load = {"pool": PoolLoad(Resources(100_000, 100_000), used)}
        self.shares.update(load, self.usage, self.teams)
        return self.shares.level("pool", "hot"), self.shares.level("pool", "calm")

    def test_shares_count_only_in_a_pool_that_is_nearly_full(self) -> None:
        self.assertEqual(self.levels(45, Resources(80_000, 0)), (0, 0))
        self.assertEqual(self.levels(45, Resources(95_000, 0)), (2, 0))
        self.assertEqual(self.levels(45, Resources(10_000, 95_000)), (2, 0))

    # With each start or end the order of two accounts would change, and neither would get a row.
    def test_level_does_not_flap_at_its_bound(self) -> None:
        full = Resources(95_000, 0)
        self.assertEqual({self.levels(cores, full)[0] for cores in (19, 21, 19, 22)}, {0})
        self.assertEqual(self.levels(23, full)[0], 1)
        self.assertEqual({self.levels(cores, full)[0] for cores in (19, 21, 18)}, {1})


if __name__ == "__main__":
    unittest.main()
