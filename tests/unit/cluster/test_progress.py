"""The owner's progress stream: large amounts of records, and the heartbeat."""

from __future__ import annotations

import threading
import time
import unittest

from azurecleat_base import SystemClock
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.progress import ProgressWriter
from azurecleat_cluster._internal.owner.start_horizon import StartHorizon
from azurecleat_cluster.ports import PROGRESS, LogRecord

from tests.unit.cluster.test_replica import BoundedLog

MAX_SILENCE_S = 3.0
"""Longest time for which tasks may stay unstarted: without an append, an owner starts none."""


class LargeProgressTest(unittest.TestCase):
    """A writer whose log was out of reach while many records were queued."""

    def setUp(self) -> None:
        clock, self.log = SystemClock(), BoundedLog()
        self.proofs: list[float] = []
        self.recorded: list[LogRecord] = []
        self.writer = ProgressWriter(
            self.log,
            1,
            clock,
            Metrics(),
            StartHorizon(1, lambda: 0, lambda: 0.0, clock),
            self.recorded.append,
            self.proofs.append,
            lambda reason: None,
        )
        self.writer.fence()
        self.addCleanup(self.writer.stop, 1.0)

    # What had been queued meanwhile exceeded a call, which the log refused for ever: the owner's
    # heartbeat ended, and so did that of its successor.
    def test_records_above_the_size_of_a_call_are_appended_in_order(self) -> None:
        committed = threading.Event()
        sizes = [40_000] * 80
        for number, size in enumerate(sizes):
            self.writer.put(f"j/{number:03}", lambda size=size: bytes(size))
        self.writer.call_after_commit(
            lambda: committed.set() if len(self.recorded) >= len(sizes) else None
        )
        began_at = time.monotonic()
        self.writer.start()
        self.assertTrue(committed.wait(MAX_SILENCE_S))
        self.assertLess(time.monotonic() - began_at, MAX_SILENCE_S)
        jobs = [record for record in self.recorded if record.key.startswith("j/")]
        self.assertEqual([record.key for record in jobs], [f"j/{n:03}" for n in range(80)])
        offsets = [record.offset for record in self.recorded]
        self.assertEqual(offsets, list(range(len(offsets))))
        self.assertEqual(len(self.log.newest(PROGRESS).records), len(self.recorded))


if __name__ == "__main__":
    unittest.main()
