"""Jobs that would take down or hold up one owner after the other."""

from __future__ import annotations

import json
import threading
import time
import unittest
from unittest.mock import patch

from adapter.documents import decode_job
from azurecleat_base import ManualClock, Resources
from azurecleat_base.exceptions import DocumentError
from azurecleat_cluster import Admitted, Caller
from azurecleat_cluster._internal.front.request_handler import AppendOutcome, OwnerClient
from azurecleat_cluster._internal.owner import dispatch
from azurecleat_cluster._internal.owner.directory import DirectoryWatcher
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.answers import Accepted, Answer, Invalid
from azurecleat_cluster.ports import JOBS, LogRecord
from azurecleat_cluster.values import JobSpec, Step, TaskId
from azurecleat_fakes import KeyedMemoryLog

from tests.lib.front_harness import FrontHarness
from tests.lib.term_harness import JOB, QUEUE, TermHarness, make_entry, running, submit, task

STEP = Step(count=1, need=Resources(1000, 1000, 0))
OTHER = "f" * 16
MAX_ROUND_S = 1.0
"""Longest dispatch round: a term whose lock is held for longer loses its proofs and leases."""


def serve(replica: JobReplica, targets: int = 1, epoch: int = 1) -> TermHarness:
    """Returns an owner that has reached some targets."""
    harness = TermHarness(ManualClock(), replica, epoch)
    for number in range(targets):
        harness.term.on_target_entry(make_entry(f"t{number}"))
        harness.writer.commit()
        harness.report(f"t{number}")
    return harness


class UnreadableJobTest(unittest.TestCase):
    """A job in the log that an owner cannot handle, beside one that it can."""

    def setUp(self) -> None:
        self.replica = JobReplica()
        submit(self.replica, JobSpec("payload", (STEP,)), OTHER)

    def check_other_job_starts(self) -> None:
        self.assertEqual(serve(self.replica).dispatch(), [task(0, job=OTHER)])

    # Each owner in turn failed at its takeover, so that no job was served any more.
    def test_progress_that_is_malformed(self) -> None:
        submit(self.replica, JobSpec("payload", (STEP,)))
        for value in (b'{"begun":true,"outcome":"","steps":[]}', b"[]", b"7", b'{"begun":1}'):
            with self.subTest(value=value):
                self.replica._progress[JOB] = value
                self.check_other_job_starts()

    # The due time overflowed.
    def test_occurrences_beyond_all_time(self) -> None:
        submit(self.replica, JobSpec("payload", (STEP,), 2, 10**400, 1))
        self.check_other_job_starts()

    # An error in one step ended each dispatch round before the other jobs had their turn.
    def test_error_in_the_placement_of_a_step(self) -> None:
        submit(self.replica, JobSpec("payload", (STEP,)))
        place = dispatch.place

        def fail(step, *arguments):  # noqa: ANN001, ANN002, ANN202
            if step.job.id == JOB:
                raise ZeroDivisionError("placement")
            return place(step, *arguments)

        with patch.object(dispatch, "place", fail):
            self.check_other_job_starts()

    def test_error_in_the_rank_of_a_step(self) -> None:
        submit(self.replica, JobSpec("payload", (STEP,)))
        rank = dispatch.Dispatcher.rank

        def fail(dispatcher, step, now):  # noqa: ANN001, ANN202
            if step.job.id == JOB:
                raise OverflowError("rank")
            return rank(dispatcher, step, now)

        with patch.object(dispatch.Dispatcher, "rank", fail):
            self.check_other_job_starts()


class CostlyJobTest(unittest.TestCase):
    """Jobs whose handling took seconds, or the whole memory, while the term's lock was held."""

    # Each placement compared each task with all tasks placed before: 4,000 tasks took 2 s.
    def test_step_with_many_tasks(self) -> None:
        replica = JobReplica()
        submit(replica, JobSpec("payload", (Step(count=20_000, need=Resources(100, 0, 0)),)))
        harness = serve(replica, targets=24)
        began_at = time.monotonic()
        self.assertEqual(len(harness.dispatch()), 24 * 640)
        self.assertLess(time.monotonic() - began_at, MAX_ROUND_S)

    # Tasks that avoid every target were compared with all others as well.
    def test_step_whose_tasks_avoid_every_target(self) -> None:
        replica = JobReplica()
        submit(replica, JobSpec("payload", (Step(count=20_000, need=Resources(100, 0, 0)),)))
        harness = serve(replica, targets=24)
        step = harness.term.jobs[JOB].steps[0, 0]
        step.avoided = dict.fromkeys(range(20_000), set(harness.term.sessions))
        began_at = time.monotonic()
        self.assertEqual(len(harness.dispatch()), 24 * 640)
        self.assertLess(time.monotonic() - began_at, MAX_ROUND_S)

    def adopt_first_task(self, steps: list[Step]) -> float:
        """Lets a new owner find the first task running; returns how long that takes it."""
        replica = JobReplica()
        submit(replica, JobSpec("payload", tuple(steps)))
        harness = TermHarness(ManualClock(), replica, 2, [make_entry("t0"), make_entry("t1")])
        harness.term.on_target_entry(make_entry("t0"))
        began_at = time.monotonic()
        harness.report("t0", running=[running(TaskId(JOB, 0, 0, 0))])
        last = harness.term.jobs[JOB].steps[0, len(steps) - 1]
        self.assertEqual(last.uncertain, set())
        return time.monotonic() - began_at

    # Paths through the steps were counted one by one: their number doubles with every few steps.
    def test_steps_with_many_paths_between_them(self) -> None:
        steps = [STEP._replace(depends_on=tuple(range(max(0, n - 2), n))) for n in range(30)]
        self.assertLess(self.adopt_first_task(steps), MAX_ROUND_S)

    # Each step called for the one before it, deeper than the interpreter allows.
    def test_long_chain_of_steps(self) -> None:
        steps = [STEP._replace(depends_on=(n - 1,) if n else ()) for n in range(1_000)]
        self.assertLess(self.adopt_first_task(steps), MAX_ROUND_S)

    # The length of the whole job was added up for each of its steps.
    def test_many_steps_at_once(self) -> None:
        replica = JobReplica()
        submit(replica, JobSpec("payload", (STEP._replace(need=Resources(1, 0, 0)),) * 2_000))
        harness = serve(replica, targets=4)
        began_at = time.monotonic()
        harness.dispatch()
        self.assertLess(time.monotonic() - began_at, 2 * MAX_ROUND_S)


class NoOwner(OwnerClient):
    """No other instance is reached."""

    def __init__(self) -> None:
        pass

    def append(self, key, value, timeout_s, should_give_up):  # noqa: ANN001, ANN201
        return AppendOutcome.NOT_SENT


class AdmissionTest(unittest.TestCase):
    """Jobs that no owner can bear are refused at once, by any instance."""

    def submit(self, **fields: object) -> Answer:
        body = {"spec": "x", "steps": [{"count": 1, "cpu": 1}], **fields}
        front = FrontHarness(KeyedMemoryLog(), NoOwner())
        self.addCleanup(front.stop)
        front.jobs.catch_up()
        caller = Caller("host", f"/q/{JOB}", "key", front.clock.monotonic() + 2.0)
        spec = decode_job(json.dumps(body).encode())
        return front.request_handler.submit(Admitted(QUEUE, None, JOB), JOB, spec, caller)

    def test_usual_jobs_are_accepted(self) -> None:
        self.assertIsInstance(self.submit(), Accepted)
        self.assertIsInstance(self.submit(steps=[{"count": 2_000, "cpu": 1}] * 10), Accepted)
        self.assertIsInstance(self.submit(repeats=500, interval_ms=1_000), Accepted)

    # The owner opened all due occurrences at once until it had no memory left, and so did the next.
    def test_too_many_occurrences(self) -> None:
        self.assertIsInstance(self.submit(repeats=10**9), Invalid)

    def test_too_many_steps(self) -> None:
        self.assertIsInstance(self.submit(steps=[{"count": 1, "cpu": 1}] * 5_000), Invalid)

    def test_too_many_tasks(self) -> None:
        self.assertIsInstance(self.submit(steps=[{"count": 20_000, "cpu": 1}] * 50), Invalid)


class MalformedInputTest(unittest.TestCase):
    """Input that ended a thread of an instance."""

    def test_jobs_with_impossible_numbers(self) -> None:
        def body(step: str = '"cpu":1', times: str = '"repeats":0') -> str:
            return f'{{"spec":"x","steps":[{{"count":1,{step}}}],{times}}}'

        bodies = [
            body(f'"{name}":{value}')
            for name in ("estimate_ms", "target_ms")
            for value in ("NaN", "Infinity", "-1", '"7"')
        ]
        bodies.append(body(times=f'"repeats":2,"first_ms":{10**400},"interval_ms":1'))
        bodies.append(body(f'"cpu":{10**30}'))
        bodies.append("[" * 100_000 + "]" * 100_000)
        decode_job(body().encode())
        for each in bodies:
            with self.subTest(body=each[:60]), self.assertRaises(DocumentError):
                decode_job(each.encode())

    # The thread that watches the directory ended, so that crashes were no longer noticed.
    def test_directory_that_fails_unexpectedly(self) -> None:
        harness = serve(JobReplica())
        calls = []

        class Directory:
            def live_incarnations(self) -> dict:
                calls.append(1)
                if len(calls) > 1:
                    ended.set()
                raise AttributeError("a machine is a list")

        ended = threading.Event()
        watcher = DirectoryWatcher(
            Directory(), harness.term, harness.clock, harness.term._events, harness.term._metrics
        )
        watcher.run(ended)
        self.assertEqual(len(calls), 2)

    # A record that could not be applied ended the thread that follows the stream.
    def test_record_that_fails_unexpectedly(self) -> None:
        log, applied = KeyedMemoryLog(), []

        def apply(record: LogRecord) -> None:
            if record.key == "bad":
                raise OverflowError("record")
            applied.append(record.key)

        harness = serve(JobReplica())
        follower = Follower(log, JOBS, apply, harness.clock, harness.term._events)
        log.append(JOBS, [("bad", b"1"), ("good", b"1")], 1.0)
        follower.catch_up()
        self.assertEqual(applied, ["good"])


class RecordTest(unittest.TestCase):
    """Records of jobs that another version or writer has left."""

    def test_malformed_records_raise_value_errors_only(self) -> None:
        for value in (b"[]", b"7", b"{}", b'{"queue":[],"steps":7}', b'{"steps":[]}'):
            with self.subTest(value=value):
                with self.assertRaises(ValueError):
                    records.decode_progress(value)
                with self.assertRaises(ValueError):
                    records.decode_submission(JOB, value)


if __name__ == "__main__":
    unittest.main()
