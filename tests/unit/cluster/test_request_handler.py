"""RequestHandler: a refused job never runs, and refusals are given without delay."""

from __future__ import annotations

import json
import threading
import time
import unittest
from collections.abc import Callable

from adapter.documents import decode_job
from azurecleat_cluster import Admitted, Caller
from azurecleat_cluster._internal.front.request_handler import (
    BATCHER_CHECK_S,
    AppendOutcome,
    BatcherTimeout,
    OwnerClient,
)
from azurecleat_cluster._internal.peers import PeerApplication
from azurecleat_cluster._internal.replica.appender import GroupAppender
from azurecleat_cluster.answers import (
    Accepted,
    Answer,
    NoJob,
    NoQueue,
    Refused,
    StateOf,
    Unauthorized,
    Undecided,
)
from azurecleat_cluster.ports import CONFIGURATION, JOBS
from azurecleat_cluster.values import JobState
from azurecleat_fakes import KeyedMemoryLog

from tests.lib.front_harness import FrontHarness
from tests.unit.adapter.test_documents import CONFIGURATION as DOCUMENT

JOB = "0" * 16
BODY = json.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 1}]}).encode()


class ScriptedOwner(OwnerClient):
    """Owner client whose appends have the outcome that a test sets."""

    def __init__(self) -> None:
        self.outcome = AppendOutcome.NOT_SENT
        self.effect: Callable[[str, bytes], None] = lambda key, value: None

    def append(self, key, value, timeout_s, should_give_up):  # noqa: ANN001, ANN201
        self.should_give_up = should_give_up
        self.effect(key, value)
        return self.outcome


class RequestHandlerTest(unittest.TestCase):
    """One request handler with a log that can be down or lose answers."""

    def setUp(self) -> None:
        self.log, self.owner = KeyedMemoryLog(), ScriptedOwner()
        front = FrontHarness(self.log, self.owner)
        self.addCleanup(front.stop)
        self.clock, self.view, self.replica = front.clock, front.view, front.replica
        self.config, self.jobs = front.config, front.jobs
        self.request_handler = front.request_handler
        self.log.append(CONFIGURATION, [("config", json.dumps(DOCUMENT).encode())], 1.0)

    def follow(self) -> None:
        self.config.poll()
        self.jobs.poll()

    def caller(self, key: str = "k", path: str = f"/lohu930/{JOB}") -> Caller:
        return Caller("nony24.example", path, key, self.clock.monotonic() + 3.0)

    def submit(self) -> Answer:
        admitted = self.request_handler.admit(self.caller())
        self.assertIsInstance(admitted, Admitted)
        return self.request_handler.submit(admitted, JOB, decode_job(BODY), self.caller())

    def in_log(self) -> bool:
        return any(record.key == f"s/{JOB}" for record in self.log.newest(JOBS).records)

    def test_admission(self) -> None:
        self.assertIsInstance(self.request_handler.admit(self.caller()), Refused)
        self.follow()
        self.assertIsInstance(self.request_handler.admit(self.caller()), Admitted)
        self.assertEqual(self.request_handler.admit(self.caller(key="x")), Unauthorized())
        self.assertEqual(self.request_handler.admit(self.caller(path="/other/1")), NoQueue())

    def test_old_configuration_neither_admits_nor_denies_keys(self) -> None:
        self.follow()
        for age_s, known, unknown in ((2.5, Admitted, Refused), (4.0, Refused, Refused)):
            self.config._fresh_at = self.clock.monotonic() - age_s
            with self.subTest(age_s=age_s):
                self.assertIsInstance(self.request_handler.admit(self.caller()), known)
                self.assertIsInstance(self.request_handler.admit(self.caller(key="x")), unknown)
                self.assertIsInstance(self.request_handler.admit(self.caller(path="/o/1")), unknown)

    def test_answer_matches_the_outcomes_of_forwarded_and_local_append(self) -> None:
        down, lost = {"down": True}, {"lose_answers": 1}
        for forwarded, state, expected, is_in_log in (
            (AppendOutcome.NOT_SENT, {}, Accepted, True),
            (AppendOutcome.NOT_SENT, down, Refused, False),
            (AppendOutcome.NOT_SENT, lost, Undecided, True),
            (AppendOutcome.UNKNOWN, {}, Accepted, True),
            (AppendOutcome.UNKNOWN, down, Undecided, False),
            (AppendOutcome.DONE, down, Accepted, False),
        ):
            with self.subTest(forwarded=forwarded, state=state):
                self.setUp()
                self.follow()
                self.owner.outcome = forwarded
                vars(self.log).update(state)
                self.assertIsInstance(self.submit(), expected)
                self.log.down = False
                self.assertEqual(self.in_log(), is_in_log)

    # Guards against a rejection of a job that runs: a forwarded append of unknown outcome stays
    # unknown if the local append is refused or is not attempted.
    def test_unknown_forwarded_append_is_never_refused(self) -> None:
        self.follow()
        self.owner.outcome = AppendOutcome.UNKNOWN
        self.log.down = True
        self.assertIsInstance(self.submit(), Undecided)
        self.log.down = False
        self.lose_log()
        self.assertIsInstance(self.submit(), Undecided)
        self.assertFalse(self.in_log())

    # Guards against the same fault without an attempt to append locally, because the forwarded
    # append has taken the caller's time.
    def test_unknown_forwarded_append_that_took_all_time_is_undecided(self) -> None:
        self.follow()
        self.owner.outcome = AppendOutcome.UNKNOWN
        self.owner.effect = lambda key, value: time.sleep(0.3)
        caller = self.caller()._replace(deadline=self.clock.monotonic() + 0.4)
        admitted = self.request_handler.admit(caller)
        answer = self.request_handler.submit(admitted, JOB, decode_job(BODY), caller)
        self.assertIsInstance(answer, Undecided)
        self.assertEqual(self.log.appends, 1, "only the configuration")

    # Guards against a rejection of a job that runs: the log does not answer the local append, and
    # appends the record after this instance has stopped waiting because the log counts as lost.
    def test_local_append_that_is_given_up_is_undecided(self) -> None:
        self.follow()
        append, release, appended = self.log.append, threading.Event(), threading.Event()

        def append_late(*arguments: object) -> int:
            self.lose_log()
            release.wait(5.0)
            offset = append(*arguments)
            appended.set()
            return offset

        self.log.append = append_late
        self.assertIsInstance(self.submit(), Undecided)
        self.assertFalse(self.in_log())
        release.set()
        self.assertTrue(appended.wait(5.0))
        self.assertTrue(self.in_log())

    # Guards against a cancellation that takes effect although it was refused.
    def test_cancellation_is_refused_only_if_no_append_was_sent(self) -> None:
        self.follow()
        self.submit()
        self.log.down = True
        for forwarded, expected in (
            (AppendOutcome.UNKNOWN, Undecided),
            (AppendOutcome.NOT_SENT, Refused),
            (AppendOutcome.DONE, Accepted),
        ):
            with self.subTest(forwarded=forwarded):
                self.owner.outcome = forwarded
                self.assertIsInstance(self.request_handler.cancel(JOB, self.caller()), expected)

    def test_job_found_in_the_log_is_accepted_after_a_lost_answer(self) -> None:
        self.follow()
        self.owner.outcome = AppendOutcome.UNKNOWN

        def arrive(key: str, value: bytes) -> None:
            self.log.append(JOBS, [(key, value)], 1.0)
            self.jobs.poll()

        self.owner.effect = arrive
        self.assertEqual(self.submit(), Accepted())
        appends = self.log.appends
        self.assertEqual(self.submit(), Accepted())
        self.assertEqual(self.log.appends, appends)

    def lose_log(self) -> None:
        self.config._is_failing = True
        self.config._fresh_at = self.clock.monotonic() - 1.6

    def hang(self, key: str, value: bytes) -> None:
        """Blocks an append until the handler gives it up or the caller's deadline is near."""
        deadline = time.monotonic() + 2.9
        while not self.owner.should_give_up() and time.monotonic() < deadline:
            time.sleep(0.01)

    def test_append_continues_locally_if_the_batcher_cannot_reach_the_log(self) -> None:
        # Guards against a store that does not answer the owner, the batching instance, but serves
        # all other instances: their callers must not wait for the owner.
        self.follow()

        self.owner.effect, self.owner.outcome = self.hang, AppendOutcome.UNKNOWN
        began_at = time.monotonic()
        self.assertEqual(self.submit(), Accepted())
        self.assertLess(time.monotonic() - began_at, 1.0)
        self.assertTrue(self.in_log())

    def test_slow_log_gets_no_second_append(self) -> None:
        # Guards against overload of a slow store: each instance would append its records a second
        # time, one after the other.
        self.follow()
        read = self.log.read

        def read_slowly(*arguments: object) -> object:
            time.sleep(0.25)
            return read(*arguments)

        self.log.read = read_slowly
        batcher_timeout = BatcherTimeout(self.config, self.jobs, self.clock)
        began_at = time.monotonic()
        while time.monotonic() - began_at < 1.6:
            self.assertFalse(batcher_timeout.has_expired())
            time.sleep(0.05)
        self.log.read = read
        time.sleep(BATCHER_CHECK_S)
        self.assertTrue(batcher_timeout.has_expired())

    def test_instance_that_cannot_reach_the_log_accepts_through_another(self) -> None:
        self.follow()
        self.lose_log()
        self.owner.outcome = AppendOutcome.DONE
        self.assertEqual(self.submit(), Accepted())

    def test_instance_that_cannot_reach_the_log_waits_briefly_for_another(self) -> None:
        self.follow()
        self.lose_log()

        self.owner.effect, self.owner.outcome = self.hang, AppendOutcome.UNKNOWN
        began_at = time.monotonic()
        self.assertIsInstance(self.submit(), Undecided)
        self.assertLess(time.monotonic() - began_at, 0.6)

    def test_batcher_that_cannot_reach_the_log_answers_not_sent(self) -> None:
        appender = GroupAppender(self.log, JOBS, self.jobs.apply_appended)
        application = PeerApplication(self.replica, appender, None, None, lambda: True)
        self.assertEqual(
            application._answer("/append", {"key": "s/1", "value": "{}"}),
            {"outcome": AppendOutcome.NOT_SENT.value},
        )

    def test_request_is_refused_at_once_while_the_log_is_lost(self) -> None:
        self.follow()
        self.lose_log()
        began_at = time.monotonic()
        self.assertIsInstance(self.submit(), Refused)
        self.assertLess(time.monotonic() - began_at, 0.1)
        self.assertFalse(self.in_log())

    def test_states_and_cancellation(self) -> None:
        self.follow()
        self.assertEqual(self.request_handler.state(JOB), NoJob())
        self.assertEqual(self.request_handler.cancel(JOB, self.caller()), NoJob())
        self.submit()
        self.assertEqual(self.request_handler.state(JOB), StateOf(JobState.QUEUED))
        self.assertEqual(self.request_handler.cancel(JOB, self.caller()), Accepted())
        self.assertEqual(self.request_handler.state(JOB), StateOf(JobState.CANCELLED))
        self.log.down = True
        self.jobs._fresh_at = self.clock.monotonic() - 3.0
        self.assertIsInstance(self.request_handler.state("f" * 16), Refused)


if __name__ == "__main__":
    unittest.main()
