"""Durations learned from finished runs: the model, its use by the owner, and a pool under load."""

from __future__ import annotations

import io
import math
import random
import tracemalloc
import unittest

from azurecleat_base import ManualClock, Resources
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.features import NO_FEATURES, Features
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.duration_tracking import DurationTracker
from azurecleat_cluster._internal.owner.durations import (
    MAX_KEYS,
    MAX_RECORD_BYTES,
    LearnedDurations,
    WorkKey,
)
from azurecleat_cluster._internal.owner.model import StepInfo
from azurecleat_cluster._internal.owner.placement import Preferences, rank_targets
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.ports import LogRecord
from azurecleat_cluster.values import EndKind, JobSpec, Queue, RunEnd, RunStatus, Step

from tests.lib.pool_simulation import Arrival, JobResult, PoolSimulation
from tests.lib.term_harness import JOB, QUEUE, TermHarness, make_entry, submit, task

KEY = WorkKey("q", "image", 0, "team")
ON = Features(durations=True)


def learn(
    learned: LearnedDurations, key: WorkKey, took_s: float, runs: int, estimate_s: float = 1.0
) -> None:
    for _ in range(runs):
        learned.observe(key, took_s, 1.0, estimate_s)


class ModelTest(unittest.TestCase):
    """Guards against expectations that are wrong, slow to follow, or steered by one account."""

    def test_quantiles_converge_whatever_the_estimates_and_the_kind(self) -> None:
        rng, learned = random.Random(1), LearnedDurations()
        for _ in range(2000):
            slowness = rng.choice((0.7, 1.7))
            took_s = rng.lognormvariate(math.log(2.0), 0.3) * slowness
            learned.observe(KEY, took_s, slowness, 2.0 * 10 ** rng.uniform(-1, 1))
        expected = learned.expect(KEY, 20.0)
        self.assertAlmostEqual(expected.p50_s, 2.0, delta=0.4)
        self.assertAlmostEqual(expected.p90_s, 2.0 * math.exp(0.3 * 1.28), delta=0.7)
        self.assertGreater(expected.p99_s, expected.p95_s)
        self.assertGreater(expected.weight, 0.99)

    # All weights of a key of which a wide step was the only work were rounded to 0, and the next
    # owner could not read the record.
    def test_record_with_a_little_known_key_can_be_read(self) -> None:
        learned = LearnedDurations()
        learn(learned, KEY, 1.0, 50)
        learned.observe(KEY._replace(image="new"), 1.0, 1.0, 1.0, weight=0.02)
        restored = LearnedDurations.decode(learned.encode())
        self.assertAlmostEqual(restored.expect(KEY, 0.0).p50_s, 1.0, delta=0.2)

    def test_two_peaks_are_kept_apart(self) -> None:
        learned = LearnedDurations()
        for number in range(200):
            learned.observe(KEY, 10.0 if number % 5 == 0 else 1.0, 1.0, 0.0)
        expected = learned.expect(KEY, 0.0)
        self.assertAlmostEqual(expected.p50_s, 1.0, delta=0.15)
        self.assertAlmostEqual(expected.p90_s, 10.0, delta=1.5)

    def test_drift_is_followed_within_the_fading_time(self) -> None:
        learned = LearnedDurations()
        learn(learned, KEY, 1.0, 300)
        learn(learned, KEY, 3.0, 100)
        self.assertAlmostEqual(learned.expect(KEY, 1.0).p50_s, 3.0, delta=0.4)

    def test_thin_evidence_backs_off_to_wider_keys_and_the_estimate(self) -> None:
        learned = LearnedDurations()
        self.assertAlmostEqual(learned.expect(KEY, 7.0).p50_s, 7.0)
        self.assertEqual(learned.expect(KEY, 0.0).p50_s, 0.0)
        learned.observe(KEY, 1.0, 1.0, 7.0)
        self.assertTrue(1.0 < learned.expect(KEY, 7.0).p50_s < 7.0)
        learn(learned, KEY, 1.0, 100, 7.0)
        for key in (KEY._replace(account="new"), KEY._replace(image="new"), KEY._replace(step=3)):
            self.assertAlmostEqual(learned.expect(key, 7.0).p50_s, 1.0, delta=0.2, msg=key)
        self.assertAlmostEqual(learned.expect(KEY._replace(queue="new"), 7.0).p50_s, 7.0)

    def test_estimates_count_as_far_as_they_correlate(self) -> None:
        rng, learned = random.Random(2), LearnedDurations()
        guessing = KEY._replace(account="guessing")
        for _ in range(600):
            took_s = rng.uniform(0.5, 5.0)
            learned.observe(KEY, took_s, 1.0, 4 * took_s * rng.uniform(0.9, 1.1))
            learned.observe(guessing, rng.uniform(0.5, 5.0), 1.0, 10 ** rng.uniform(-1, 1))
        known = [learned.expect(KEY, 4 * took_s).p50_s / took_s for took_s in (1.0, 4.0)]
        guessed = [learned.expect(guessing, estimate_s).p50_s for estimate_s in (0.1, 10.0)]
        self.assertTrue(all(0.7 < ratio < 1.4 for ratio in known), known)
        self.assertLess(guessed[1] / guessed[0], 1.6)

    def test_poisoned_account_changes_only_its_own_expectations(self) -> None:
        clean, poisoned = LearnedDurations(), LearnedDurations()
        rng = random.Random(3)
        for turn in range(200):
            for number in range(8):
                key, took_s = KEY._replace(account=f"team{number}"), rng.uniform(0.8, 1.2)
                estimate_s = 10 ** rng.uniform(-0.3, 0.3)
                clean.observe(key, took_s, 1.0, estimate_s)
                poisoned.observe(key, took_s, 1.0, estimate_s)
            for _ in range(16 if turn >= 100 else 0):  # Two thirds of all runs.
                poisoned.observe(KEY._replace(account="bad"), 50.0, 1.0, 1e6)
            known, new = KEY._replace(account="team1"), KEY._replace(account="new")
            for key, delta in ((known, 0.05), (new, 0.4)):
                before, after = clean.expect(key, 1.0).p50_s, poisoned.expect(key, 1.0).p50_s
                self.assertAlmostEqual(before, after, delta=delta, msg=(turn, key))
        self.assertGreater(poisoned.expect(KEY._replace(account="bad"), 1e6).p50_s, 30.0)
        self.assertLess(poisoned.expect(new, 1e9).p50_s, 10.0)

    def test_censored_runs_only_raise_the_expectation(self) -> None:
        learned = LearnedDurations()
        learned.observe_censored(KEY, 0.1, 1.0)
        self.assertAlmostEqual(learned.expect(KEY, 5.0).p50_s, 5.0)
        learn(learned, KEY, 2.0, 50, 2.0)
        before = learned.expect(KEY, 2.0)
        for _ in range(50):
            learned.observe_censored(KEY, 1.0, 1.0)
        self.assertEqual(learned.expect(KEY, 2.0), before)
        for _ in range(80):
            learned.observe_censored(KEY, 8.0, 1.0)
        self.assertGreater(learned.expect(KEY, 2.0).p50_s, 7.0)

    def test_impossible_values_are_left_out(self) -> None:
        learned = LearnedDurations()
        learn(learned, KEY, 2.0, 50, 2.0)
        before = learned.expect(KEY, 2.0)
        for value in (0.0, -1.0, math.inf, math.nan):
            learned.observe(KEY, value, 1.0, 2.0)
            learned.observe_censored(KEY, value, 1.0)
        self.assertEqual(learned.expect(KEY, 2.0), before)
        learned.observe(KEY, 2.0, 1.0, math.nan)
        self.assertAlmostEqual(learned.expect(KEY, math.inf).p50_s, 2.0, delta=0.2)
        self.assertLess(learned.expect(KEY._replace(queue="new"), 1e308).p99_s, 1e9)

    def test_memory_and_record_are_bounded_with_many_images(self) -> None:
        learned = LearnedDurations()
        for number in range(100_000):
            if number == 95_000:  # Tracing slows down the code, and all keys are replaced by then.
                tracemalloc.start()
            key = WorkKey("q", f"registry/image-{number}", number % 3, f"team{number % 1000}")
            learned.observe(key, 1.0 + number % 7, 1.0, 1.0)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertEqual(len(learned), MAX_KEYS)
        self.assertLess(used, 12e6)
        self.assertLessEqual(len(learned.encode()), MAX_RECORD_BYTES)
        self.assertAlmostEqual(learned.expect(key._replace(image="new"), 1.0).p50_s, 4.0, delta=1.0)

    def test_encoded_model_gives_the_same_expectations(self) -> None:
        rng, learned = random.Random(4), LearnedDurations()
        keys = [WorkKey("q", f"image{n}", n % 2, f"team{n % 3}") for n in range(20)]
        for _ in range(1000):
            learned.observe(rng.choice(keys), rng.uniform(1.0, 4.0), 1.0, rng.uniform(1.0, 4.0))
        restored = LearnedDurations.decode(learned.encode())
        for key in keys:
            before, after = learned.expect(key, 2.0).p50_s, restored.expect(key, 2.0).p50_s
            self.assertAlmostEqual(before, after, delta=0.03)
        self.assertEqual(restored.encode(), learned.encode())

    def test_malformed_records_are_refused(self) -> None:
        good = '{"v":1,"kinds":[["a",0.5]],"shares":[],"fits":[],"keys":[[["q"],0,1,-4,[100]]]}'
        LearnedDurations.decode(good.encode())
        for old, new in (
            ('"v":1', '"v":2'),
            ('"fits":[],', ""),
            ("0.5", "1e999"),
            ('["q"]', "[[]]"),
            ('["q"]', "[]"),
            ('["q"]', '["q",1.5]'),
            ("100", "-1"),
            ("100", "NaN"),
            ("100", "0"),
            ("100", '"x"'),
            ("-4", "99999"),
            ("-4", "null"),
            ("0,1", "Infinity,1"),
            ("}", ""),
        ):
            with self.subTest(new=new), self.assertRaises(ValueError):
                LearnedDurations.decode(good.replace(old, new).encode())
        with self.assertRaises(ValueError):
            LearnedDurations.decode(b"\xff[")


SPEC = JobSpec("", (Step(8, Resources(1000, 1000, 0), 4000.0, image="image"),))


class OwnerTest(unittest.TestCase):
    """Guards against runs that count wrongly, and against a feature that acts while it is off."""

    def start(self, features: Features = ON, spec: JobSpec = SPEC) -> None:
        self.clock, self.replica = ManualClock(), JobReplica()
        submit(self.replica, spec)
        self.take_over(1, features)
        self.harness.dispatch()
        self.session = self.harness.session("t")
        while self.session.started:
            self.harness.answer_start(self.session)
            del self.session.started[0]
        self.ended: list[RunEnd] = []

    def take_over(self, epoch: int, features: Features = ON) -> None:
        self.harness = TermHarness(self.clock, self.replica, epoch, features=features)
        self.harness.term.on_target_entry(make_entry("t"))
        self.harness.report("t")

    def end(self, index: int, kind: EndKind = EndKind.DONE) -> None:
        self.ended.append(RunEnd(len(self.ended) + 1, task(index), index + 1, kind, ""))
        self.harness.report("t", ended=self.ended, running=self.running(50.0))

    def running(self, percent: float) -> list[RunStatus]:
        over = {end.run for end in self.ended}
        runs = [index for index in range(SPEC.steps[0].count) if index + 1 not in over]
        return [RunStatus(task(index), index + 1, "", percent, 0.0) for index in runs]

    @property
    def step(self) -> StepInfo:
        return self.harness.term.jobs[JOB].steps[0, 0]

    def learned(self) -> LearnedDurations:
        return self.harness.term.durations.learned

    def test_done_runs_change_what_is_expected_of_their_siblings(self) -> None:
        self.start()
        job = self.harness.term.jobs[JOB]
        self.assertEqual((self.step.expected_s, job.expected_chain_s), (4.0, 4.0))
        run = self.step.active[7]
        self.clock.advance(1.0)
        self.assertAlmostEqual(run.remaining_s(self.clock.monotonic()), 3.0)
        for index in range(3):
            self.end(index)
        self.assertAlmostEqual(self.step.expected_s, 1.0)
        self.assertAlmostEqual(job.expected_chain_s, 1.0)
        # Half of the work was done after 1 s; a measured rate counts more than expectations.
        self.assertAlmostEqual(run.remaining_s(self.clock.monotonic()), 1.0)
        self.assertEqual(self.learned().observed, 3)

    def test_only_whole_runs_count_as_done(self) -> None:
        self.start()
        self.clock.advance(1.0)
        self.step.active[0].has_known_start = False
        self.step.active[1].is_resumed = True
        self.step.active[2].first_percent = 20.0
        for index in range(3):
            self.end(index)
        self.harness.session("t").target.responsive = False
        self.end(3)
        self.end(4, EndKind.FAILED)
        self.assertEqual(self.learned().observed, 0)
        self.assertEqual(self.learned().calibration().failed, 1)

    def test_stopped_and_lost_runs_count_as_longer(self) -> None:
        self.start()
        learn(self.learned(), self.step.work_key, 1.0, 30)
        before = self.learned().expect(self.step.work_key, 1.0).p90_s
        self.clock.advance(3.0)
        self.harness.report("t", running=self.running(50.0))
        self.end(0, EndKind.STOPPED)
        self.clock.advance(0.5)
        self.harness.report("t", running=self.running(60.0)[1:], ended=self.ended)  # One is lost.
        self.assertEqual(self.learned().observed, 32)
        self.assertGreater(self.learned().expect(self.step.work_key, 1.0).p90_s, before)

    def test_work_of_a_dropped_target_counts_as_longer(self) -> None:
        self.start()
        learn(self.learned(), self.step.work_key, 1.0, 30)
        self.clock.advance(3.0)
        self.harness.report("t", running=self.running(50.0))
        self.harness.term.on_target_entry(make_entry("t", started_at_ms=2))
        self.assertEqual(self.learned().observed, 38)

    def test_step_counts_as_the_square_root_of_its_tasks_and_a_gang_once(self) -> None:
        for step, weight in ((SPEC.steps[0], 8**0.5), (SPEC.steps[0]._replace(gang=True), 1.0)):
            self.start(spec=JobSpec("", (step,)))
            self.clock.advance(1.0)
            for run in list(self.step.active.values()):
                self.ended.append(
                    RunEnd(len(self.ended) + 1, run.task, run.number, EndKind.DONE, "")
                )
            self.harness.report("t", ended=self.ended)
            evidence = self.learned().expect(self.step.work_key, 4.0).weight
            self.assertAlmostEqual(evidence, 1 - (3 / (3 + weight)) ** 4, delta=0.02)

    def test_expectations_set_due_times_and_remaining_times(self) -> None:
        steps = (SPEC.steps[0], SPEC.steps[0]._replace(depends_on=(0,)))
        self.start(spec=JobSpec("", steps))
        learned, job = self.learned(), self.harness.term.jobs[JOB]
        learn(learned, self.step.work_key, 1.0, 300, 4.0)
        learn(learned, job.steps[0, 1].work_key, 2.0, 300, 4.0)
        self.assertAlmostEqual(job.expected_chain_s, 3.0, delta=0.3)
        due_s = self.harness.dispatcher.rank(self.step, self.clock.monotonic())[3] - job.seen_at
        self.assertAlmostEqual(due_s, 3.0, delta=0.3)
        run = self.step.active[0]
        run.slowness = 2.0
        self.assertAlmostEqual(run.remaining_s(self.clock.monotonic()), 2.0, delta=0.2)
        self.clock.advance(1.0)
        for index in range(8):
            self.end(index)
        self.assertAlmostEqual(job.expected_chain_s, 2.0, delta=0.3)
        self.assertAlmostEqual(job.objective_s, 3.0, delta=0.3)

    def test_error_in_the_model_does_not_reach_the_progress_writer(self) -> None:
        self.start()
        self.clock.advance(1.0)
        self.end(0)
        self.harness.dispatch()
        self.learned().encode = lambda: 1 / 0
        self.harness.writer.commit()
        self.assertIsNone(self.replica.durations)

    def test_next_owner_continues_with_the_record(self) -> None:
        self.start()
        self.clock.advance(1.0)
        for index in range(4):
            self.end(index)
        self.harness.dispatch()
        self.harness.writer.commit()
        expected = self.learned().expect(KEY._replace(account="team"), 4.0)
        self.take_over(2)
        restored = self.learned().expect(KEY._replace(account="team"), 4.0)
        self.assertAlmostEqual(restored.p50_s, expected.p50_s, delta=0.05)
        for value in (b"{}", b"\xff", None):
            self.replica.apply_progress(LogRecord("durations", value, 0))
            self.take_over(3)
            self.assertAlmostEqual(self.learned().expect(KEY, 4.0).p50_s, 4.0)

    def test_next_owner_knows_the_kinds_that_the_record_is_based_on(self) -> None:
        preferences = Preferences()
        preferences.add_durations([("fast", 0.7), ("fast", 0.7), ("slow", 1.7)], True)
        second = Preferences()
        events, metrics = EventLog("test", io.StringIO()), Metrics()
        record = DurationTracker(True, preferences, events, metrics).encode()
        DurationTracker(True, second, events, metrics).restore(record, 2)
        for kind in ("fast", "slow"):
            known, restored = preferences.relative_slowness(kind), second.relative_slowness(kind)
            self.assertAlmostEqual(known, restored, delta=0.001)

    def test_records_are_written_only_after_changes_and_at_most_every_5_s(self) -> None:
        self.start()
        records = []
        for index in range(40):
            self.clock.advance(0.25)
            if index < 36 and index % 5 == 0:
                self.end(index // 5)
            self.harness.dispatch()
            self.harness.writer.commit()
            records.append(self.replica.durations)
        # The first record is written at once, the next 5 s later, and none without a new run.
        self.assertEqual(len(set(records)), 2)

    def test_without_the_feature_nothing_is_learned_or_recorded(self) -> None:
        spec = JobSpec("", (SPEC.steps[0], SPEC.steps[0]._replace(depends_on=(0,))))
        self.start(NO_FEATURES, spec)
        self.clock.advance(1.0)
        for index in range(4):
            self.end(index)
        self.harness.dispatch()
        self.harness.writer.commit()
        job = self.harness.term.jobs[JOB]
        self.assertEqual((self.step.expected_s, job.expected_total_s), (4.0, 8.0))
        self.assertEqual(self.step.average_durations, [])
        self.assertIsNone(self.replica.durations)


class KindTest(unittest.TestCase):
    """Guards against long work with slack that takes the fast kind of target from urgent work."""

    def kinds(
        self, queue: Queue, waited_s: float = 0.0, features: Features = ON, sigma: float = 0.0
    ) -> list[str]:
        rng, clock, replica = random.Random(1), ManualClock(), JobReplica()
        submit(replica, SPEC, queue=queue)
        harness = TermHarness(clock, replica, features=features)
        job = harness.term.jobs[JOB]
        step = job.steps[0, 0]
        step.considered_at = job.seen_at + waited_s
        for _ in range(300 if features.durations else 0):
            took_s = 4.0 * rng.lognormvariate(0.0, sigma)
            harness.term.durations.learned.observe(step.work_key, took_s, 1.0, 4.0)
        preferences = Preferences()
        for number in range(300):  # Most tasks of a step run on one kind.
            fast, slow = ((9, 1), (1, 9))[number % 2]
            durations = [("fast", 0.7)] * fast + [("slow", 1.7)] * slow
            preferences.add_durations(durations, is_balanced=True)
        self.assertAlmostEqual(preferences.slowness("slow"), 1.7 / 0.7, delta=0.05)
        targets = [make_entry(kind)._replace(labels=(kind,)) for kind in ("fast", "slow")]
        for entry in targets:
            harness.term.on_target_entry(entry)
        candidates = [(session.target, 8) for session in harness.sessions]
        return [target.id for target, _ in rank_targets(step, candidates, 1, preferences)]

    def test_slow_kind_is_preferred_while_the_job_stays_on_time(self) -> None:
        loose = QUEUE._replace(stretch=2.2, objective_ms=1200)
        tight = QUEUE._replace(stretch=1.5, objective_ms=250)
        self.assertEqual(self.kinds(loose, features=NO_FEATURES), ["fast", "slow"])
        self.assertEqual(self.kinds(loose), ["slow", "fast"])
        self.assertEqual(self.kinds(tight), ["fast", "slow"])
        self.assertEqual(self.kinds(loose, waited_s=3.0), ["fast", "slow"])
        # The longest of the tasks make the job late.
        self.assertEqual(self.kinds(loose, sigma=0.4), ["fast", "slow"])

    def test_late_job_leaves_the_fast_kind_to_others(self) -> None:
        loose = QUEUE._replace(stretch=2.2, objective_ms=1200)
        self.assertEqual(self.kinds(loose, waited_s=9.9), ["slow", "fast"])
        self.assertEqual(self.kinds(loose, waited_s=40.0), ["slow", "fast"])


BATCH = Queue("batch", "host", "/b/", "pool", attempts=3, stretch=2.0, objective_ms=1000)
URGENT = Queue("urgent", "host", "/u/", "pool", attempts=3, stretch=1.5, objective_ms=250)
WIDE = URGENT._replace(name="wide", priority=2, stretch=2.2, objective_ms=1200)
SLOWNESS = {"fast": 0.7, "slow": 1.7}


def make_job(queue: Queue, at: float, width: int, took_s: float, factor: float) -> Arrival:
    """Returns a job whose tasks take ``factor`` times as long as estimated."""
    step = Step(width, Resources(8000, 8000, 0), 1000 * took_s / factor, image=f"{took_s:.0f}")
    return Arrival(at, queue, JobSpec("", (step,)), factor=factor)


def share_on_time(results: list[JobResult], queue: Queue) -> float:
    """Returns the share of a queue's jobs that were on time by their true durations."""
    on_time = []
    for arrival, ended_at in results:
        if arrival.queue is queue:
            took_s = arrival.spec.steps[0].estimate_ms / 1000.0 * arrival.factor
            due_at = arrival.at + queue.objective_ms / 1000.0 + queue.stretch * took_s
            on_time.append(ended_at is not None and ended_at <= due_at)
    return sum(on_time) / len(on_time)


class LoadTest(unittest.TestCase):
    """Guards against an order that follows wrong estimates, in a nearly full pool."""

    def play(
        self, load: list[Arrival], features: Features, targets: int, slowness: dict[str, float]
    ) -> tuple[list[JobResult], PoolSimulation]:
        entries = [
            make_entry(f"t{number}")._replace(labels=(("fast", "slow")[number % 2],))
            for number in range(targets)
        ]
        simulation = PoolSimulation(entries, 1.0, 1, features=features, slowness=slowness)
        return simulation.play(load, load[-1].at + 15.0), simulation

    def test_learned_durations_order_work_nearly_as_well_as_known_ones(self) -> None:
        """Twelve kinds of work of 0.5 to 6 s, at 0.9 of the capacity, estimates off by up to 10."""
        shares = {"estimates": 0.0, "learned": 0.0, "known": 0.0}
        seeds = (100, 101, 102)
        for seed in seeds:
            rng, at = random.Random(seed), 0.0
            loads: dict[str, list[Arrival]] = {name: [] for name in shares}
            while (at := at + rng.expovariate(2.8)) < 60.0:
                took_s, width = 0.5 * 12 ** (rng.randrange(12) / 11), rng.randint(4, 20)
                factor = 10 ** rng.uniform(-1, 1)
                for name, load in loads.items():
                    ratio = 1.0 if name == "known" else factor
                    load.append(make_job(BATCH, at, width, took_s, ratio))
            for name, load in loads.items():
                features = ON if name == "learned" else NO_FEATURES
                results, _ = self.play(load, features, 12, {})
                shares[name] += share_on_time(results, BATCH) / len(seeds)
        self.assertGreater(shares["learned"], shares["estimates"], shares)
        self.assertGreater(shares["learned"], shares["known"] - 0.03, shares)

    def test_wide_work_leaves_the_fast_kind_to_urgent_work(self) -> None:
        rng = random.Random(1)
        load = []
        for queue, rate, took_s, width in ((URGENT, 5.0, 0.7, 5), (WIDE, 1.0, 4.0, 20)):
            at = 0.0
            while (at := at + rng.expovariate(rate)) < 40.0:
                load.append(make_job(queue, at, width, took_s, rng.uniform(0.5, 1.9)))
        load.sort(key=lambda arrival: arrival.at)
        on_time, on_fast = {}, {}
        for features in (NO_FEATURES, ON):
            results, simulation = self.play(load, features, 24, SLOWNESS)
            on_time[features] = [share_on_time(results, queue) for queue in (URGENT, WIDE)]
            kinds = [
                session.target.entry.kind
                for session in simulation.harness.sessions
                for run in session.started
                if run.step.job.queue.name == WIDE.name
            ]
            on_fast[features] = kinds.count("fast") / len(kinds)
        self.assertGreaterEqual(on_time[ON][0], on_time[NO_FEATURES][0], on_time)
        self.assertLess(on_fast[ON], 0.75 * on_fast[NO_FEATURES], on_fast)
        calibration = simulation.harness.term.durations.learned.calibration()
        self.assertAlmostEqual(calibration.under_p50, 0.5, delta=0.1)
        self.assertGreater(calibration.under_p90, 0.85)
