"""Load pattern: the owner's zone is cut off while jobs arrive and run.

A part of the targets stays out of the next owner's reach, and the previous owner may have started
tasks there. Jobs and tasks of which that is impossible do not wait for the ends of the leases.
"""

from __future__ import annotations

import unittest
import unittest.mock

from azurecleat_base import ManualClock, Resources
from azurecleat_cluster._internal.owner.start_horizon import (
    LATENCIES_AHEAD,
    MIN_RECORDS_AHEAD,
    PUBLISH_PERIOD_S,
    StartHorizon,
)
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.ports import JOBS, LogRecord
from azurecleat_cluster.values import EndKind, JobSpec, RunEnd, Step
from azurecleat_fakes import KeyedMemoryLog

from tests.lib.term_harness import (
    JOB,
    QUEUE,
    TermHarness,
    done,
    make_entry,
    running,
    submit,
    task,
)

STEP = Step(2, Resources(1_000, 1_000, 0), estimate_ms=800.0)
CHAIN = JobSpec("payload", (STEP, STEP._replace(depends_on=(0,))))
OLD_JOB, NEW_JOB = JOB, "1" * 16
HORIZON = 10


class StartHorizonTest(unittest.TestCase):
    """How far ahead of the jobs read a horizon is published."""

    def setUp(self) -> None:
        self.clock, self.offset, self.latency_s = ManualClock(), 100, 0.01
        self.horizon = StartHorizon(1, lambda: self.offset, lambda: self.latency_s, self.clock)

    def read_for(self, seconds: float, per_s: int) -> None:
        for _ in range(int(seconds * 10)):
            self.horizon.propose()
            self.clock.advance(0.1)
            self.offset += per_s // 10

    def test_nothing_is_allowed_before_the_first_commit(self) -> None:
        for offset in (0, 100):
            self.assertFalse(self.horizon.allows(offset))
        self.horizon.commit(101)
        self.assertEqual(
            [self.horizon.allows(offset) for offset in (0, 100, 101)], [True, True, False]
        )

    def test_horizon_covers_the_records_that_arrive_until_the_next_append(self) -> None:
        self.assertEqual(self.horizon.propose(), self.offset + MIN_RECORDS_AHEAD)
        for latency_s in (0.01, 0.5):
            self.latency_s = latency_s
            self.read_for(2.0, per_s=200)
            ahead = self.horizon.propose() - self.offset
            needed = 200 * (PUBLISH_PERIOD_S + LATENCIES_AHEAD * latency_s)
            self.assertGreaterEqual(ahead, needed - 1)
            self.assertLessEqual(ahead, needed * 1.2 + MIN_RECORDS_AHEAD)

    def test_horizon_never_decreases(self) -> None:
        self.read_for(1.0, per_s=1000)
        self.horizon.commit(high := self.horizon.propose())
        self.clock.advance(10.0)
        self.assertEqual(self.horizon.propose(), high)
        self.assertFalse(self.horizon.is_news(high))

    def test_record_names_the_epoch(self) -> None:
        key, value = self.horizon.encode(7)
        self.assertEqual(key, records.HEARTBEAT)
        self.assertEqual(records.decode_heartbeat(value), records.Heartbeat(1, 7))
        for bad in (b"1", b"", b"[]", b"{}", b'{"epoch":1}', b"\xff"):
            self.assertIsNone(records.decode_heartbeat(bad))


class CutOffTargetsTest(unittest.TestCase):
    """Epoch 2 reaches t0 and t1; t2, which epoch 1 used as well, is cut off."""

    def setUp(self) -> None:
        self.clock, self.replica = ManualClock(), JobReplica()

    def publish(self, epoch: int = 1) -> None:
        value = records.encode_heartbeat(records.Heartbeat(epoch, HORIZON))
        self.replica.apply_progress(LogRecord(records.HEARTBEAT, value, 0))

    def take_over(self, **fields: object) -> TermHarness:
        harness = TermHarness(
            self.clock, self.replica, 2, [make_entry(f"t{n}") for n in range(3)], **fields
        )
        for name in ("t0", "t1", "t2"):
            harness.term.on_target_entry(make_entry(name))
        harness.writer.commit()
        return harness

    def reach(self, harness: TermHarness, *running_tasks: object) -> None:
        harness.report("t0", [running(each) for each in running_tasks])
        harness.report("t1")

    def test_job_beyond_the_previous_horizon_starts_at_once(self) -> None:
        submit(self.replica, JobSpec("payload", (STEP,)), OLD_JOB, offset=HORIZON - 1)
        submit(self.replica, JobSpec("payload", (STEP,)), NEW_JOB, offset=HORIZON)
        self.publish()
        harness = self.take_over()
        self.reach(harness)
        self.assertEqual({each.job for each in harness.dispatch()}, {NEW_JOB})

    def test_horizon_of_an_earlier_owner_shows_nothing(self) -> None:
        submit(self.replica, JobSpec("payload", (STEP,)), NEW_JOB, offset=HORIZON)
        self.publish(epoch=0)
        harness = self.take_over()
        self.reach(harness)
        self.assertEqual(harness.dispatch(), [])

    def test_heartbeat_of_an_earlier_version_shows_nothing(self) -> None:
        submit(self.replica, JobSpec("payload", (STEP,)), NEW_JOB, offset=HORIZON)
        self.replica.apply_progress(LogRecord(records.HEARTBEAT, b"1", 0))
        harness = self.take_over()
        self.reach(harness)
        self.assertEqual(harness.dispatch(), [])

    def test_repeated_submission_does_not_hide_the_first(self) -> None:
        # A load shows only the newest record of each key: here the repetition of a submission that
        # the previous owner has read and started.
        log = KeyedMemoryLog()
        submission = records.Submission(NEW_JOB, "team", QUEUE, JobSpec("payload", (STEP,)))
        record = (records.SUBMISSION + NEW_JOB, records.encode_submission(submission))
        for _ in range(HORIZON + 2):
            log.append(JOBS, [record], 1.0)
        follower = Follower(log, JOBS, self.replica.apply_job, self.clock, None)
        log.forget(JOBS)
        with unittest.mock.patch.object(follower, "_events"):
            follower.poll()
        self.assertIsNone(self.replica.first_offset(NEW_JOB))
        self.publish()
        harness = self.take_over()
        self.reach(harness)
        self.assertEqual(harness.dispatch(), [])

    def test_step_after_one_that_is_seen_running_does_not_wait(self) -> None:
        submit(self.replica, CHAIN, OLD_JOB)
        harness = self.take_over()
        self.reach(harness, task(0), task(1))
        harness.report("t0", ended=[done(1, task(0)), done(2, task(1))])
        self.assertEqual(set(harness.dispatch()), {task(0, step=1), task(1, step=1)})

    def test_step_after_one_that_is_seen_ended_waits(self) -> None:
        # The previous owner may have seen the ends, too, and have started the next step on t2.
        submit(self.replica, CHAIN, OLD_JOB)
        harness = self.take_over()
        harness.report("t0", ended=[done(1, task(0)), done(2, task(1))])
        harness.report("t1")
        self.assertEqual(harness.dispatch(), [])

    def test_task_that_fails_after_it_is_seen_running_is_started_again(self) -> None:
        submit(self.replica, JobSpec("payload", (STEP,)), OLD_JOB)
        harness = self.take_over()
        self.reach(harness, task(0))
        harness.report("t0", ended=[RunEnd(1, task(0), 1, EndKind.FAILED, "")])
        self.assertEqual(harness.dispatch(), [task(0)])

    def test_speculative_task_that_is_seen_running_may_be_done_elsewhere(self) -> None:
        steps = tuple(step._replace(speculative=True) for step in CHAIN.steps)
        submit(self.replica, JobSpec("payload", steps), OLD_JOB)
        harness = self.take_over()
        self.reach(harness, task(0), task(1))
        harness.report("t0", ended=[done(1, task(0)), done(2, task(1))])
        self.assertEqual(harness.dispatch(), [])

    def test_gang_of_which_a_part_is_seen_running_waits(self) -> None:
        gang = JobSpec("payload", (STEP._replace(gang=True),))
        submit(self.replica, gang, OLD_JOB)
        harness = self.take_over()
        self.reach(harness, task(0))
        harness.report("t0", ended=[RunEnd(1, task(0), 1, EndKind.BROKEN, "")])
        self.assertEqual(harness.dispatch(), [])

    def test_owner_starts_no_job_beyond_its_horizon_after_a_load(self) -> None:
        # After a load the offset of the first submission is unknown: it may be beyond the horizon.
        submission = records.Submission(NEW_JOB, "team", QUEUE, JobSpec("payload", (STEP,)))
        value = records.encode_submission(submission)
        key = records.SUBMISSION + NEW_JOB
        self.replica.apply_job(LogRecord(key, value, HORIZON + 2, may_replace=True))
        harness = TermHarness(self.clock, self.replica, horizon=HORIZON)
        harness.term.on_target_entry(make_entry("t0"))
        harness.writer.commit()
        harness.report("t0")
        self.assertEqual(harness.dispatch(), [])
        harness.start_horizon.commit(HORIZON + 3)
        self.assertEqual(len(harness.dispatch()), 2)

    def test_owner_starts_no_job_beyond_its_published_horizon(self) -> None:
        submit(self.replica, JobSpec("payload", (STEP,)), NEW_JOB, offset=HORIZON)
        harness = TermHarness(self.clock, self.replica, horizon=HORIZON)
        harness.term.on_target_entry(make_entry("t0"))
        harness.writer.commit()
        harness.report("t0")
        self.assertEqual(harness.dispatch(), [])
        harness.start_horizon.commit(HORIZON + 1)
        self.assertEqual(len(harness.dispatch()), 2)


if __name__ == "__main__":
    unittest.main()
