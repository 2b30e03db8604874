"""Refusal of jobs that could not be done in time, under the loads that call for it."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from unittest.mock import patch

from azurecleat_base import Resources
from azurecleat_base.exceptions import AppendUnknownError
from azurecleat_cluster import Admitted, Caller
from azurecleat_cluster._internal.features import NO_FEATURES, Features
from azurecleat_cluster._internal.front.admission import (
    NO_CAPACITY,
    OVER_SHARE,
    Admission,
    Decision,
    Refusal,
    Situation,
    SubmissionCall,
)
from azurecleat_cluster._internal.front.request_handler import AppendOutcome, OwnerClient
from azurecleat_cluster._internal.owner.load_report import (
    DrainRate,
    WaitingWork,
    WorkClass,
    compute_report,
    work_of,
)
from azurecleat_cluster._internal.owner.model import TeamUsage
from azurecleat_cluster._internal.owner.pool_load import PoolLoad
from azurecleat_cluster._internal.replica import load_record, records
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster._internal.replica.load_record import LoadReport, QueueWait
from azurecleat_cluster.answers import Accepted, Answer, Undecided
from azurecleat_cluster.ports import JOBS, LogRecord
from azurecleat_cluster.values import Configuration, JobSpec, Pool, Queue, Step, Team
from azurecleat_fakes import KeyedMemoryLog

from tests.lib.admission_simulation import AdmittingPool
from tests.lib.front_harness import FrontHarness
from tests.lib.job_value import mean_value
from tests.lib.pool_simulation import Arrival, JobResult, PoolSimulation
from tests.lib.term_harness import JOB, make_entry

ADMISSION = Features(admission=True, ordering=True)
URGENT = Queue(
    "urgent", "host", "/u/", "pool", 0, attempts=3, stretch=1.5, objective_ms=250, timeout_ms=3000
)
WIDE = Queue(
    "wide", "host", "/w/", "pool", 2, attempts=3, stretch=2.2, objective_ms=1200, timeout_ms=3000
)
URGENT_STEP = Step(10, Resources(2200, 500), 670.0)
SPEC = JobSpec("", (URGENT_STEP,))
OBJECTIVE_S = 1.255
TEAMS = [Team(f"a{number}", frozenset((f"k{number}",)), 2.0) for number in range(6)]


def make_report(within_s: float, over_s: float, *over_share: str, epoch: int = 1) -> LoadReport:
    return LoadReport(epoch, {"urgent": QueueWait(within_s, over_s)}, frozenset(over_share), {})


class ReportTest(unittest.TestCase):
    """Expected waits, in a pool of 100 cores."""

    def report(self, *waiting: tuple[WorkClass, WaitingWork], used_cores: int = 100) -> LoadReport:
        loads = {"pool": PoolLoad(Resources(100_000, 0), Resources(used_cores * 1000, 0))}
        teams = {"limited": Team("limited", frozenset(), 1.0, Resources(10_000, 0))}
        configuration = Configuration(1, (URGENT, WIDE), {"pool": Pool("pool")}, teams)
        usage = TeamUsage()
        usage._used["limited"] = Resources(10_000, 0)
        return compute_report(1, dict(waiting), loads, DrainRate(), configuration, ["hot"], usage)

    def work(
        self, queue: Queue, seconds: float, account: str = "hot", over: bool = False
    ):  # noqa: ANN201
        key = WorkClass("pool", queue.name, account, queue.priority, over, False, False)
        core_ms = seconds * 100_000.0
        return key, WaitingWork((core_ms, 0.0, 0.0), Resources(int(core_ms), 0), 0.5)

    def test_only_work_of_the_same_or_a_better_rank_counts(self) -> None:
        report = self.report(
            self.work(URGENT, 2), self.work(WIDE, 5), self.work(WIDE, 8, over=True)
        )
        self.assertEqual(report.queues["urgent"], QueueWait(2.0, 7.0))
        self.assertEqual(report.queues["wide"], QueueWait(7.0, 15.0))

    def test_late_work_of_its_queue_is_behind_a_job_that_can_be_on_time(self) -> None:
        key, work = self.work(URGENT, 9)
        report = self.report((key._replace(late=True), work))
        self.assertEqual(report.queues["urgent"].within_s, 0.0)

    def test_free_capacity_shortens_the_wait(self) -> None:
        self.assertEqual(self.report(self.work(URGENT, 1), used_cores=0).queues, {})

    # The work of an account at its limit can't start; it would shut out the others.
    def test_work_beyond_its_accounts_limit_delays_only_that_account(self) -> None:
        report = self.report(self.work(URGENT, 20, "limited"))
        self.assertEqual((report.queues, report.accounts["limited"]["urgent"]), ({}, 200.0))

    def test_absurd_estimates_of_one_account_do_not_keep_the_others_out(self) -> None:
        seconds = work_of(Resources(1000, 0), 10, 1e300)[0] / 100_000.0
        report = self.report(self.work(URGENT, seconds, "limited"), self.work(URGENT, 1))
        self.assertLess(report.queues["urgent"].within_s, 1.2)

    def test_no_waiting_work_means_no_wait(self) -> None:
        self.assertFalse(self.report().states_wait)


class RecordTest(unittest.TestCase):
    """The report as a record of the progress stream."""

    def setUp(self) -> None:
        self.now = 5.0
        self.replica = JobReplica(lambda: self.now)

    def test_report_is_received_as_it_was_sent(self) -> None:
        report = make_report(1.0, 4.0, "a")._replace(accounts={"b": {"urgent": 3.0}})
        self.replica.apply_progress(LogRecord(records.LOAD, load_record.encode(report), 1))
        self.assertEqual(self.replica.load, load_record.ReceivedLoad(report, 5.0))

    def test_malformed_report_replaces_an_older_one_by_none(self) -> None:
        for value in (b"", b"7", b"[]", b'{"epoch":1}', b"\xff", b'{"queues":{"u":[1]}}') + tuple(
            b'{"epoch":1,"over":[],"accounts":{},"queues":{"u":[0,%s]}}' % wait
            for wait in (b"NaN", b"-1", b"Infinity", b'"x"', b"null", b"9" * 400)
        ):
            with self.subTest(value=value):
                good = load_record.encode(make_report(1.0, 4.0))
                self.replica.apply_progress(LogRecord(records.LOAD, good, 1))
                with self.assertRaises(ValueError):
                    self.replica.apply_progress(LogRecord(records.LOAD, value, 2))
                self.assertIsNone(self.replica.load)

    # It may be hours old.
    def test_report_from_a_load_of_the_whole_stream_is_not_used(self) -> None:
        value = load_record.encode(make_report(1.0, 4.0))
        self.replica.apply_progress(LogRecord(records.LOAD, value, 1, may_replace=True))
        self.assertIsNone(self.replica.load)


class DecisionTest(unittest.TestCase):
    """Decisions of one instance on urgent jobs: 3 objectives are 3.8 s."""

    def setUp(self) -> None:
        self.admission = Admission()
        self.call = SubmissionCall(JOB, URGENT, "a", SPEC, 3.0)
        self.situation = Situation(make_report(9.0, 9.0), 0.5, 1, 60.0, 100.0)

    def wait(self, within_s: float, over_s: float, *over_share: str) -> Situation:
        return self.situation._replace(report=make_report(within_s, over_s, *over_share))

    def decide(self, job: str, wait_s: float, now: float = 100.0) -> Refusal | None:
        situation = self.wait(wait_s, wait_s)._replace(now=now)
        return self.admission.decide(self.call._replace(job=job), situation).refusal

    def test_job_without_a_chance_is_refused(self) -> None:
        refusal = self.admission.decide(self.call, self.situation).refusal
        self.assertEqual(refusal.reason, NO_CAPACITY)
        tolerated_s = 3 * OBJECTIVE_S
        self.assertTrue(9 - tolerated_s <= refusal.retry_after_s <= 1.5 * (9 - tolerated_s))

    def test_report_that_is_lost_stale_or_of_a_former_owner_is_not_used(self) -> None:
        for changes in ({"report": None}, {"report_age_s": 2.0}, {"epoch": 2}):
            with self.subTest(changes=changes):
                decision = self.admission.decide(self.call, self.situation._replace(**changes))
                self.assertEqual(decision, Decision(None))

    # The first attempt may have reached the log: a refusal would deny a job that runs.
    def test_call_that_may_repeat_an_earlier_one_is_admitted(self) -> None:
        late = self.call._replace(left_s=2.6)
        self.assertIsNone(self.admission.decide(late, self.situation).refusal)
        trouble = self.situation._replace(log_trouble_age_s=7.9)
        self.assertIsNone(self.admission.decide(self.call, trouble).refusal)

    # A queue that had refused jobs in a load kept to the shorter wait an hour later.
    def test_refusals_of_an_earlier_load_are_forgotten(self) -> None:
        limit_s = 3 * OBJECTIVE_S
        self.assertIsNotNone(self.decide("1" * 16, 1.1 * limit_s))
        self.assertIsNotNone(self.decide("2" * 16, 0.8 * limit_s, 101.0))
        self.assertIsNone(self.decide("3" * 16, 0.8 * limit_s, 200.0))

    # All callers were told to return after the same 10 s.
    def test_long_waits_are_spread_as_well(self) -> None:
        times = {self.decide(f"{number:016x}", 60.0).retry_after_s for number in range(40)}
        self.assertGreater(len(times), 20)
        self.assertTrue(all(5.0 < each <= 10.0 for each in times))

    def test_job_without_an_objective_is_admitted(self) -> None:
        lasting = JobSpec("", (URGENT_STEP._replace(long_running=True),))
        for changes in ({"spec": lasting}, {"queue": URGENT._replace(objective_ms=0.0)}):
            with self.subTest(changes=changes):
                call = self.call._replace(**changes)
                self.assertIsNone(self.admission.decide(call, self.situation).refusal)

    def test_only_accounts_over_their_share_wait_behind_all_others(self) -> None:
        situation = self.wait(0.0, 20.0, "hot")
        hot = self.admission.decide(self.call._replace(account="hot"), situation)
        self.assertEqual(hot.refusal.reason, OVER_SHARE)
        self.assertIsNone(self.admission.decide(self.call, situation).refusal)

    # The answers would alternate with each report, and newcomers pass those that were refused.
    def test_refusals_end_well_below_the_wait_at_which_they_began(self) -> None:
        self.assertIsNone(self.decide("1", 3.5))
        self.assertIsNotNone(self.decide("2", 4.0))
        self.assertIsNotNone(self.decide("3", 3.0))
        decision = self.admission.decide(self.call, self.wait(2.4, 2.4))
        self.assertEqual((decision.refusal, decision.has_resumed), (None, True))
        self.assertIsNone(self.decide("5", 3.5))

    def test_other_accounts_and_queues_do_not_share_the_hysteresis(self) -> None:
        self.assertIsNotNone(self.decide("1", 4.0))
        other = self.call._replace(account="b")
        self.assertIsNone(self.admission.decide(other, self.wait(3.0, 3.0)).refusal)

    def test_herd_of_returning_callers_is_spread_and_goes_before_newcomers(self) -> None:
        retries = {}
        for number in range(400):
            job = f"{number:016x}"
            retries[job] = self.decide(job, 10.0).retry_after_s
        seconds = Counter(int(each) for each in retries.values())
        self.assertLess(max(seconds.values()), 200)
        self.assertLessEqual(max(retries.values()), 10.0)
        sooner = self.decide("0" * 16, 6.0).retry_after_s
        self.assertLess(sooner, retries["0" * 16])
        now = 100.0 + sooner
        self.assertIsNotNone(self.decide("newcomer", 3.0, now))
        self.assertIsNone(self.decide("0" * 16, 3.0, now))


class HandlerTest(unittest.TestCase):
    """A request handler whose report says that urgent jobs wait for 60 s."""

    def setUp(self) -> None:
        self.log, self.owner = KeyedMemoryLog(), OwnerClient()
        self.front = FrontHarness(self.log, self.owner, features=ADMISSION)
        self.addCleanup(self.front.stop)
        self.front.jobs.poll()
        claim = records.Claim(1, "other#1", "address")
        self.log.append(JOBS, [(records.claim_key(claim), records.encode_claim(claim))], 1.0)
        self.front.jobs.poll()
        self.publish(1)

    def publish(self, epoch: int) -> None:
        value = load_record.encode(make_report(60.0, 60.0, epoch=epoch))
        self.front.replica.apply_progress(LogRecord(records.LOAD, value, 1))

    def submit(self, timeout_s: float = 3.0) -> Answer:
        caller = Caller("host", f"/u/{JOB}", "k", self.front.clock.monotonic() + timeout_s)
        return self.front.request_handler.submit(Admitted(URGENT, TEAMS[0], JOB), JOB, SPEC, caller)

    def test_refused_job_is_not_sent_to_the_log(self) -> None:
        appends = self.log.appends
        self.assertEqual(self.submit().reason, NO_CAPACITY)
        self.assertEqual(self.log.appends, appends)

    def test_report_of_a_former_owner_refuses_nothing(self) -> None:
        self.publish(7)
        self.assertEqual(self.submit(), Accepted())

    # The first attempt went through another instance, and its record has not been read here.
    def test_job_that_is_in_the_log_is_accepted(self) -> None:
        submission = records.Submission(JOB, "a0", URGENT, SPEC)
        self.log.append(JOBS, [(f"s/{JOB}", records.encode_submission(submission))], 1.0)
        self.assertFalse(self.front.replica.knows(JOB))
        self.assertEqual(self.submit(), Accepted())

    def test_nothing_is_refused_while_the_log_cannot_be_read(self) -> None:
        self.log.down = True
        self.assertNotIn(getattr(self.submit(), "reason", ""), (NO_CAPACITY, OVER_SHARE))
        self.log.down = False
        self.assertEqual(self.submit(), Accepted(), "the log had trouble a moment ago")

    # The record may still be on its way to the log when the repeat arrives.
    def test_repeat_after_a_lost_request_is_not_refused(self) -> None:
        self.publish(7)
        with patch.object(self.log, "append", side_effect=AppendUnknownError("", step="")):
            self.assertIsInstance(self.submit(), Undecided)
        self.publish(1)
        self.assertEqual(self.submit(), Accepted())

    # The repeat arrives while the first attempt waits for a slow log.
    def test_repeat_during_a_slow_append_is_not_refused(self) -> None:
        answers: list[Answer] = []

        def append(key, value, timeout_s, should_give_up):  # noqa: ANN001, ANN202
            if not answers:
                self.publish(1)
                answers.append(Accepted())
                answers.append(self.submit())
            return AppendOutcome.DONE

        self.owner.append = append
        self.publish(7)
        self.assertEqual(self.submit(), Accepted())
        self.assertEqual(answers[1], Accepted())


def make_urgent(rng: random.Random) -> JobSpec:
    first = URGENT_STEP._replace(estimate_ms=rng.uniform(540, 800))
    return JobSpec("", (first, first._replace(depends_on=(0,)))[: 1 + (rng.random() < 0.6)])


def make_wide(rng: random.Random) -> JobSpec:
    step = Step(rng.randint(17, 21), Resources(4500, 1000), rng.uniform(3800, 4100))
    return JobSpec("", (step, step._replace(depends_on=(0,))))


def arrivals(
    rng: random.Random, team: str, per_s: float, first_s: float, last_s: float, queue: Queue
) -> list[Arrival]:
    make, at, load = (make_urgent if queue is URGENT else make_wide), first_s, []
    while (at := at + rng.expovariate(per_s)) < last_s:
        load.append(Arrival(at, queue, make(rng), team))
    return load


class LoadTest(unittest.TestCase):
    """Loads of six accounts on one pool, with admission and without."""

    def play(
        self, load: list[Arrival], targets: int, until_s: float, features: Features, seed: int
    ) -> tuple[PoolSimulation, list[JobResult]]:
        entries = [
            make_entry(f"t{number}")._replace(capacity=Resources(18_000, 64_000))
            for number in range(targets)
        ]
        kind = AdmittingPool if features.admission else PoolSimulation
        simulation = kind(entries, 1.0, seed, features=features, teams=TEAMS, queues=(URGENT, WIDE))
        return simulation, simulation.play(load, until_s)

    def test_flood_by_one_account(self) -> None:
        values = {NO_FEATURES: [], ADMISSION: []}
        for seed in (1, 2):
            rng = random.Random(seed)
            load = arrivals(rng, "a0", 18.0, 4.0, 12.0, URGENT)
            for team in TEAMS[1:]:
                load += arrivals(rng, team.name, 1.0, 0.0, 16.0, URGENT)
            for features, found in values.items():
                simulation, results = self.play(load, 14, 20.0, features, seed)
                found += [each for each in results if each.arrival.team != "a0"]
            refused = simulation.refused
            teams = Counter(each.arrival.team for each in self.refused_of(simulation, results))
            self.assertGreater(teams["a0"], 0.25 * sum(r.arrival.team == "a0" for r in results))
            self.assertLess(sum(teams.values()) - teams["a0"], 0.05 * len(found))
            self.assertEqual(
                {each for reasons in refused.values() for each in reasons}, {OVER_SHARE}
            )
            within = [job for job in simulation.harness.term.jobs.values() if job.team == "a0"]
            count = sum(not job.is_over_share for job in within)
            self.assertGreaterEqual(count, 0.8 * 2.0 * 8, "its share of 2 jobs a second is served")
        self.assertGreater(mean_value(values[ADMISSION]), mean_value(values[NO_FEATURES]) - 0.01)

    def refused_of(self, simulation: AdmittingPool, results: list[JobResult]) -> list[JobResult]:
        return [
            result
            for number, result in enumerate(results)
            if f"{number:016x}" in simulation.refused
        ]

    def test_all_queues_at_once(self) -> None:
        urgent = {NO_FEATURES: [], ADMISSION: []}
        for seed in (1, 2):
            rng = random.Random(seed)
            load = []
            for team in TEAMS:
                load += arrivals(rng, team.name, 0.8, 0.0, 24.0, URGENT)
                load += arrivals(rng, team.name, 0.18, 0.0, 24.0, WIDE)
            for features, found in urgent.items():
                simulation, results = self.play(load, 30, 32.0, features, seed)
                found += [each for each in results if each.arrival.queue is URGENT]
            self.assertLess(len(simulation.refused), 0.05 * len(load), "no account floods")
        self.assertGreater(mean_value(urgent[ADMISSION]), mean_value(urgent[NO_FEATURES]) - 0.03)

    def test_reports_are_published_twice_a_second_at_most_and_end_with_no_wait(self) -> None:
        rng = random.Random(1)
        load = arrivals(rng, "a0", 20.0, 1.0, 5.0, URGENT)
        simulation, published = (
            AdmittingPool([make_entry("t0")], 1.0, 1, features=ADMISSION, queues=(URGENT,)),
            [],
        )
        put = simulation.harness.writer.put

        def note(key, encode, on_committed=None):  # noqa: ANN001, ANN202
            if key == records.LOAD:
                published.append((simulation.now, load_record.decode(encode())))
            put(key, encode, on_committed)

        simulation.harness.writer.put = note
        simulation.play(load[:20], 12.0)
        times = [at for at, _ in published]
        self.assertGreater(len(times), 3)
        self.assertGreaterEqual(
            min(later - at for at, later in zip(times, times[1:], strict=False)), 0.49
        )
        self.assertEqual([report.states_wait for _, report in published].count(False), 1)
        self.assertFalse(published[-1][1].states_wait)


if __name__ == "__main__":
    unittest.main()
