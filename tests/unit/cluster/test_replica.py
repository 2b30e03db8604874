"""Records, followers and group commit with the in-memory log."""

from __future__ import annotations

import io
import json
import threading
import time
import unittest
from contextlib import redirect_stderr
from io import StringIO
from unittest.mock import patch

from azurecleat_base import ManualClock, Resources
from azurecleat_base.exceptions import AppendUnknownError, LogError, LogUnavailableError
from azurecleat_cluster import EventLog
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.appender import GroupAppender
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.ports import JOBS
from azurecleat_cluster.values import AdviceTerms, JobSpec, JobState, Queue, Step
from azurecleat_fakes import KeyedMemoryLog
from hypothesis import given
from hypothesis import strategies as st

QUEUE = Queue("q", "h", "/q/", "pool", attempts=3, advice=AdviceTerms(1.0, 0.5, 2000.0))
STEPS = (
    Step(3, Resources(1000, 10, 1), 640.0, checkpointing=True, max_per_target=2),
    Step(1, Resources(5, 0, 0), depends_on=(0,), gang=True, same_rack=True, data_rack="r1"),
)
SUBMISSION = records.Submission("0" * 16, "team", QUEUE, JobSpec("payload", STEPS, 2, 1000, 50))


class BoundedLog(KeyedMemoryLog):
    """Log that refuses too large records, and too large calls as a whole."""

    RECORD_BYTES = 1 << 18
    CALL_BYTES = 1 << 21

    def append(self, stream, records, timeout_s, writer=None) -> int:  # noqa: ANN001
        sizes = [5 + len(key) + len(value or b"") for key, value in records]
        if sum(sizes) > self.CALL_BYTES or max(sizes, default=0) > self.RECORD_BYTES:
            raise LogUnavailableError("too large", step="log.append")
        return super().append(stream, records, timeout_s, writer)


class RecordsTest(unittest.TestCase):
    """Encoding and decoding of records."""

    def test_submission(self) -> None:
        value = records.encode_submission(SUBMISSION)
        self.assertEqual(records.decode_submission(SUBMISSION.job, value), SUBMISSION)
        for bad in (b"", b"[]", b"{}", b'{"queue":{}}', b"\xff"):
            with self.subTest(bad=bad), self.assertRaises(ValueError):
                records.decode_submission("job", bad)

    @given(
        st.sets(st.integers(0, 200)),
        st.dictionaries(st.integers(0, 9), st.lists(st.text("0123@t", min_size=1), unique=True)),
        st.integers(0, 10**6),
    )
    def test_progress(self, done: set[int], failures: dict[int, list[str]], last: int) -> None:
        failed = {index: tuple(sorted(runs)) for index, runs in failures.items()}
        task = records.TaskProgress(tuple(sorted(done)), failed, {1: "checkpoint"}, last)
        progress = records.Progress(True, "failed", {(0, 0): task, (3, 1): task})
        self.assertEqual(records.decode_progress(records.encode_progress(progress)), progress)

    def test_claims_of_one_epoch_have_different_keys(self) -> None:
        keys = {records.claim_key(records.Claim(4, name, "")) for name in ("a", "b")}
        self.assertEqual(len(keys), 2)


class ReplicaTest(unittest.TestCase):
    """Replicas of the jobs stream."""

    def setUp(self) -> None:
        self.log = KeyedMemoryLog()
        self.clock = ManualClock()
        self.output = io.StringIO()
        self.replica, self.follower = self.make()

    def make(self) -> tuple[JobReplica, Follower]:
        replica = JobReplica()
        events = EventLog("test", self.output)
        return replica, Follower(self.log, JOBS, replica.apply_job, self.clock, events)

    def append(self, key: str, value: bytes | None) -> int:
        return self.log.append(JOBS, [(key, value)], 1.0)

    def submit(self) -> None:
        self.append(records.SUBMISSION + SUBMISSION.job, records.encode_submission(SUBMISSION))

    def test_first_claim_of_an_epoch_is_in_force_for_all_readers(self) -> None:
        first, second = records.Claim(1, "a", "x"), records.Claim(1, "b", "y")
        for claim in (first, second):
            self.append(records.claim_key(claim), records.encode_claim(claim))
        self.follower.poll()
        self.log.forget(JOBS)
        late, late_follower = self.make()
        late_follower.poll()
        for replica in (self.replica, late):
            self.assertEqual(replica.claim, first)
        self.append(f"{records.RELEASE}1", b"1")
        self.follower.poll()
        self.assertTrue(self.replica.claim.released)

    def test_repeated_submission_is_one_job_and_cancellation_is_visible(self) -> None:
        self.submit()
        self.submit()
        self.follower.poll()
        self.assertEqual(self.replica.job_ids(), [SUBMISSION.job])
        self.assertEqual(self.replica.pending("q"), 1)
        self.append(records.CANCELLATION + SUBMISSION.job, b"1")
        self.follower.poll()
        self.assertIs(self.replica.state(SUBMISSION.job), JobState.CANCELLED)

    def test_reload_after_forgotten_history_deletes_missing_keys(self) -> None:
        self.submit()
        self.follower.poll()
        self.append(records.SUBMISSION + SUBMISSION.job, None)
        self.log.forget(JOBS)
        self.follower.poll()
        self.assertEqual(self.replica.job_ids(), [])

    def test_following_goes_on_after_an_answer_that_cannot_be_read(self) -> None:
        # The owner would read no cancellation any more, and run the cancelled tasks on.
        read, errors, ended = self.log.read, [], threading.Event()

        def fail_once(stream: str, start: int, wait_s: float) -> object:
            self.log.read = read
            raise KeyError("end")

        self.submit()
        self.follower.poll()
        self.append(records.CANCELLATION + SUBMISSION.job, b"1")
        self.log.read = fail_once
        thread = threading.Thread(
            target=self.follower.run, args=(ended, 0.01, lambda *error: errors.append(error))
        )
        thread.start()
        deadline = time.monotonic() + 5.0
        while not self.replica.is_cancelled(SUBMISSION.job) and time.monotonic() < deadline:
            time.sleep(0.01)
        ended.set()
        thread.join()
        self.assertTrue(self.replica.is_cancelled(SUBMISSION.job))
        self.assertEqual([type(error) for _, error in errors], [LogError])

    def test_appended_records_are_applied_only_in_order(self) -> None:
        self.follower.poll()
        value = records.encode_submission(SUBMISSION)
        self.follower.apply_appended(1, [(records.SUBMISSION + SUBMISSION.job, value)])
        self.assertFalse(self.replica.knows(SUBMISSION.job))
        self.follower.apply_appended(0, [(records.SUBMISSION + SUBMISSION.job, value)])
        self.assertTrue(self.replica.knows(SUBMISSION.job))
        self.assertEqual(self.follower.next_offset, 1)

    def test_malformed_records_are_skipped(self) -> None:
        for key in (
            records.SUBMISSION + "x",
            records.INSTANCE + "x",
            records.CLAIM + "1/x",
            records.RELEASE + "x",
            "odd",
        ):
            for value in (b"\xff\x00", b"[]", b"{}", b"3"):
                self.append(key, value)
        self.submit()
        self.follower.poll()
        self.assertTrue(self.replica.knows(SUBMISSION.job))

    def test_age_counts_from_the_read_that_reached_the_end(self) -> None:
        self.follower.poll()
        self.clock.advance(2.0)
        self.assertEqual(self.follower.age(), 2.0)
        self.log.down = True
        with self.assertRaises(LogUnavailableError):
            self.follower.poll()
        self.assertEqual(self.follower.age(), 2.0)


class AppenderTest(unittest.TestCase):
    """Group commit."""

    def test_lost_answer_is_reported_as_unknown_and_refusal_as_unavailable(self) -> None:
        log = KeyedMemoryLog()
        taken: list[int] = []
        appender = GroupAppender(log, JOBS, lambda offset, records: taken.append(offset))
        appender.start()
        self.addCleanup(appender.stop)
        self.assertEqual(appender.append("a", b"1", 1.0), 0)
        log.lose_answers = 1
        with self.assertRaises(AppendUnknownError):
            appender.append("b", b"1", 1.0)
        log.down = True
        with self.assertRaises(LogUnavailableError):
            appender.append("c", b"1", 1.0)
        self.assertEqual(taken, [0])

    def test_queued_records_are_appended_in_few_calls(self) -> None:
        log = KeyedMemoryLog()
        release = threading.Event()
        original = log.append

        def slow(*arguments, **named):  # noqa: ANN002, ANN003, ANN202
            release.wait(5.0)
            return original(*arguments, **named)

        log.append = slow
        appender = GroupAppender(log, JOBS, lambda offset, records: None)
        appender.start()
        self.addCleanup(appender.stop)
        futures = [appender.submit(f"k{number}", b"1", 1.0) for number in range(30)]
        release.set()
        self.assertEqual(len({future.result(5.0) for future in futures}), 30)
        self.assertLess(log.appends, 6)

    # Guards against a call that the log refuses as a whole: of submissions sent at the same time, a
    # few large ones made all fail, and one that exceeds what a record may hold did as well.
    def test_large_records_do_not_make_others_fail(self) -> None:
        log = BoundedLog()
        appender = GroupAppender(log, JOBS, lambda offset, records: None)
        sizes = [*[60_000] * 40, BoundedLog.RECORD_BYTES + 1, *[10] * 20]
        futures = [appender.submit(f"k{n}", bytes(size), 1.0) for n, size in enumerate(sizes)]
        appender.start()
        self.addCleanup(appender.stop)
        failed = [n for n, future in enumerate(futures) if future.exception(5.0)]
        self.assertEqual(failed, [40])
        self.assertLess(log.appends, 10)

    # Each of two errors ended a thread that appends, so that callers' records were queued for good.
    def test_append_goes_on_after_errors_of_an_unexpected_kind(self) -> None:
        log = KeyedMemoryLog()
        appender = GroupAppender(log, JOBS, lambda offset, records: None)
        appender.start()
        self.addCleanup(appender.stop)
        with (
            patch.object(log, "append", side_effect=TypeError("offset")),
            redirect_stderr(StringIO()),
        ):
            for key in "abc":
                with self.assertRaises(LogError):
                    appender.append(key, b"1", 1.0)
        self.assertEqual(appender.append("d", b"1", 1.0), 0)

    def test_hanging_append_does_not_delay_stop(self) -> None:
        log = KeyedMemoryLog()
        release = threading.Event()
        self.addCleanup(release.set)
        log.append = lambda *arguments, **named: release.wait(5.0)
        appender = GroupAppender(log, JOBS, lambda offset, records: None)
        appender.start()
        appender.submit("k", b"1", 2.5)
        began_at = time.monotonic()
        appender.stop()
        self.assertLess(time.monotonic() - began_at, 1.0)

    # Guards against a caller that waits until its deadline, or for ever in append(), for a record
    # that no thread will append.
    def test_append_after_stop_is_refused_at_once(self) -> None:
        log = KeyedMemoryLog()
        appender = GroupAppender(log, JOBS, lambda offset, records: None)
        appender.start()
        appender.stop()
        with self.assertRaises(LogUnavailableError):
            appender.submit("k", b"1", 1.0).result(1.0)
        self.assertEqual(log.appends, 0)

    # Guards against a rejection of a job that runs: all records of a call whose answer is lost may
    # be in the log, and a later call that is refused says nothing of them.
    def test_lost_answer_leaves_all_records_of_its_call_unknown(self) -> None:
        log = KeyedMemoryLog()
        appender = GroupAppender(log, JOBS, lambda offset, records: None)
        lost = [appender.submit(key, b"1", 1.0) for key in ("a", "b")]
        log.lose_answers = 1
        appender.start()
        self.addCleanup(appender.stop)
        for append in lost:
            self.assertIsInstance(append.exception(5.0), AppendUnknownError)
        log.down = True
        refused = appender.submit("a", b"1", 1.0)
        self.assertIsInstance(refused.exception(5.0), LogUnavailableError)
        self.assertIsInstance(lost[0].exception(), AppendUnknownError)
        log.down = False
        self.assertEqual({record.key for record in log.newest(JOBS).records}, {"a", "b"})


class EventLogTest(unittest.TestCase):
    """The structured log never blocks its callers."""

    def test_stopped_reader_drops_lines_without_blocking(self) -> None:
        from azurecleat_cluster import eventlog

        blocked = threading.Event()

        class Stuck(io.StringIO):
            def write(self, text: str) -> int:
                blocked.wait(10.0)
                return super().write(text)

        output = Stuck()
        log = EventLog("i", output)
        log.start()
        for number in range(eventlog.MAX_QUEUED_LINES * 3):
            log.write(eventlog.JOB_SEEN, job=str(number), epoch=1)
        self.assertGreater(log.dropped_lines, eventlog.MAX_QUEUED_LINES)
        blocked.set()
        log.stop(10.0)
        lines = [json.loads(line) for line in output.getvalue().splitlines()]
        self.assertEqual(lines[0]["name"], "job.seen")
        self.assertTrue(any(line["name"] == "log.lines_left_out" for line in lines))


if __name__ == "__main__":
    unittest.main()
