"""Tests of changes of the targets whose majority grants the control lease."""

from __future__ import annotations

import random
import unittest

from azurecleat_coordination import Appender, Backoff, ControlLease, Replica
from azurecleat_coordination.records import Claim
from azurecleat_daemon._internal.quorum import LeaseQuorum
from azurecleat_fakes import Faults
from azurecleat_model import ManualClock

from tests.lib.task_manager_fixture import DroppingLog

PARTITION = "hobart"
OLD = ("a", "b", "c")
LEASE_S = 3.0


class LeaseQuorumTest(unittest.TestCase):
    """Proposals that overlap, or whose append has no answer."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.log = DroppingLog()
        self.replica = Replica(self.log, self.clock)
        backoff = Backoff(0.001, 0.001, random.Random(1))
        self.appender = Appender(self.log, self.replica, self.clock, "one", backoff)
        self.appender.commit(Claim(PARTITION, 1, "one", "one", OLD))
        self.lease = ControlLease(self.clock, OLD, LEASE_S)
        self.quorum = LeaseQuorum(PARTITION, 1, self.replica, self.appender, self.lease)

    def hold(self, *targets: str) -> None:
        for target in targets:
            self.lease.renew(target, self.clock.monotonic())

    # A proposal whose append had no answer was never made again: the lease needed the old targets
    # for good, also after they had left.
    def test_proposal_without_answer_is_made_again(self) -> None:
        new = ("d", "e", "f")
        self.log.drops = True
        self.quorum.update(new)
        self.appender.step()
        self.clock.advance(6.0)
        self.appender.step()
        self.log.drops = False
        self.quorum.update(new)
        self.appender.step()
        self.appender.step()
        self.quorum.update(new)
        self.hold(*new)
        self.assertTrue(self.lease.is_valid())

    # The commit of one proposal made the lease forget a later one that was still in flight: it
    # counted as valid without a majority of targets that a new owner may rely on.
    def test_lease_needs_a_majority_of_each_proposal_that_may_take_effect(self) -> None:
        self.log.faults = Faults(read_lag=10)
        self.quorum.update(("a", "b", "d"))
        self.appender.step()
        self.quorum.update(("d", "e", "f"))
        self.log.faults = Faults()
        self.replica.catch_up()
        self.quorum.update(("a", "b"))
        self.hold("a", "b")
        self.assertFalse(self.lease.is_valid(), "a new owner may rely on d, e and f")


if __name__ == "__main__":
    unittest.main()
