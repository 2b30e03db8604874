"""Tests of the eviction of silent members while the log does not answer."""

from __future__ import annotations

import random
import unittest

from azurecleat_coordination import Appender, Backoff, Replica
from azurecleat_coordination.records import Join
from azurecleat_daemon._internal.evictions import EVICT_AFTER_S, Evictions
from azurecleat_fakes import Faults, MemoryLog
from azurecleat_model import ManualClock
from azurecleat_peers.messages import Message

BOUND_S = 5.0


class NoNetwork:
    """A network without peers."""

    def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Is not called by evictions."""
        raise NotImplementedError

    def forget(self, address: str) -> None:
        """Does nothing."""


class EvictionsTest(unittest.TestCase):
    """Evictions whose first record does not reach the log."""

    # The first record counted as appended whatever became of it: the second one was then rejected
    # again and again, and the dead member stayed in the roster.
    def test_eviction_is_begun_again_if_its_record_did_not_reach_the_log(self) -> None:
        clock = ManualClock()
        log = MemoryLog()
        replica = Replica(log, clock)
        appender = Appender(log, replica, clock, "one", Backoff(0.001, 0.001, random.Random(1)))
        appender.commit(Join("two", "two#1", "address", "hobart"))
        evictions = Evictions("one", BOUND_S, appender, NoNetwork(), clock)
        log.faults = Faults(down=True)
        for _ in range(8):
            evictions.step(replica.fleet.roster.members, lambda name: 2 * EVICT_AFTER_S)
            appender.step()
            clock.advance(BOUND_S * 2 + 1.0)
            appender.step()
            log.faults = Faults()
        self.assertNotIn("two", replica.fleet.roster.members)


if __name__ == "__main__":
    unittest.main()
