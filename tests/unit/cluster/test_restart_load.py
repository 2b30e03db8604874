"""Load pattern: callers ask for states while a restarted instance loads on a narrow link."""

from __future__ import annotations

import json
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from azurecleat_base.exceptions import LogError, OffsetForgottenError
from azurecleat_cluster._internal.front.request_handler import (
    BATCHER_CHECK_S,
    BatcherTimeout,
    OwnerClient,
)
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster.answers import NoJob, Refused, StateOf
from azurecleat_cluster.ports import CONFIGURATION, JOBS, LogPage
from azurecleat_cluster.values import JobState
from azurecleat_fakes import KeyedMemoryLog

from tests.lib.front_harness import FrontHarness
from tests.unit.adapter.test_documents import CONFIGURATION as DOCUMENT
from tests.unit.cluster.test_replica import SUBMISSION

LOAD_S = 0.15
"""Time of one load that has the whole link."""

READ_TIMEOUT_S = 0.6
CALLERS = 24


class NarrowLinkLog(KeyedMemoryLog):
    """Log behind a link that all loads share; a load that takes too long times out."""

    def __init__(self) -> None:
        super().__init__()
        self.loads = 0
        self.timeouts = 0
        self._active = 0
        self._changed = threading.Lock()

    def newest(self, stream: str) -> LogPage:
        if stream != JOBS:
            return super().newest(stream)
        with self._changed:
            self.loads += 1
            self._active += 1
        try:
            left_s, began_at, then = LOAD_S, time.monotonic(), time.monotonic()
            while left_s > 0:
                time.sleep(0.005)
                now = time.monotonic()
                left_s -= (now - then) / self._active
                then = now
                if now - began_at > READ_TIMEOUT_S:
                    self.timeouts += 1
                    raise LogError("no answer in time", step="log.newest")
            return super().newest(stream)
        finally:
            with self._changed:
                self._active -= 1


class RestartUnderLoadTest(unittest.TestCase):
    """One restarted instance, whose callers know jobs that it has not loaded yet."""

    def setUp(self) -> None:
        self.log = NarrowLinkLog()
        front = FrontHarness(self.log, OwnerClient())
        self.addCleanup(front.stop)
        self.clock, self.replica = front.clock, front.replica
        self.config, self.jobs, self.handler = front.config, front.jobs, front.request_handler
        self.log.append(CONFIGURATION, [("config", json.dumps(DOCUMENT).encode())], 1.0)
        key = records.SUBMISSION + SUBMISSION.job
        self.log.append(JOBS, [(key, records.encode_submission(SUBMISSION))], 1.0)
        self.config.poll()

    def test_concurrent_readers_share_one_load(self) -> None:
        with ThreadPoolExecutor(CALLERS) as pool:
            list(pool.map(lambda _: self.jobs.catch_up(), range(CALLERS)))
        self.assertEqual((self.log.loads, self.log.timeouts), (1, 0))
        self.assertTrue(self.replica.knows(SUBMISSION.job))

    def test_readers_share_one_load_after_history_was_forgotten(self) -> None:
        self.jobs.poll()
        self.log.append(JOBS, [(f"{records.CANCELLATION}{SUBMISSION.job}", b"1")], 1.0)
        self.log.forget(JOBS)
        with self.assertRaises(OffsetForgottenError):
            self.log.read(JOBS, self.jobs.next_offset, 0.0)
        with ThreadPoolExecutor(CALLERS) as pool:
            list(pool.map(lambda _: self.jobs.catch_up(), range(CALLERS)))
        self.assertEqual((self.log.loads, self.log.timeouts), (2, 0))
        self.assertTrue(self.replica.is_cancelled(SUBMISSION.job))

    def test_callers_are_refused_at_once_until_the_jobs_are_loaded(self) -> None:
        loading = threading.Thread(target=self.jobs.poll)
        loading.start()
        time.sleep(LOAD_S / 5)
        began_at = time.monotonic()
        self.assertIsInstance(self.handler.state(SUBMISSION.job), Refused)
        self.assertIsInstance(self.handler.cancel(SUBMISSION.job, None), Refused)
        self.assertLess(time.monotonic() - began_at, LOAD_S / 3)
        loading.join()
        self.assertEqual(self.handler.state(SUBMISSION.job), StateOf(JobState.QUEUED))
        self.assertEqual(self.handler.state("f" * 16), NoJob())
        self.assertEqual(self.log.loads, 1)

    def test_append_that_waits_for_the_batcher_does_not_wait_for_a_load(self) -> None:
        timeout = BatcherTimeout(self.config, self.jobs, self.clock)
        time.sleep(BATCHER_CHECK_S)
        loading = threading.Thread(target=self.jobs.poll)
        loading.start()
        time.sleep(LOAD_S / 5)
        began_at = time.monotonic()
        self.assertFalse(timeout.has_expired())
        self.assertLess(time.monotonic() - began_at, LOAD_S / 3)
        loading.join()
        self.assertTrue(timeout.has_expired())

    def test_load_that_failed_is_repeated(self) -> None:
        self.log.down = True
        with self.assertRaises(LogError):
            self.jobs.poll()
        self.log.down = False
        self.jobs.catch_up()
        self.assertTrue(self.replica.knows(SUBMISSION.job))


if __name__ == "__main__":
    unittest.main()
