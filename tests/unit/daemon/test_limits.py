"""Tests of transfers of allotments whose append has no answer."""

from __future__ import annotations

import random
import unittest

from azurecleat_coordination import Appender, Backoff, ControlLease, Replica
from azurecleat_coordination.records import Claim, Promote
from azurecleat_daemon._internal.limits import LimitManager, Shortage
from azurecleat_fakes import Faults
from azurecleat_model import Environment, ManualClock, Quota, Team, to_plain

from tests.lib.task_manager_fixture import DroppingLog

DOCUMENT = to_plain(Environment("test", (Team("crew", 1.0, Quota(tasks=10)),)))
NEED = Shortage(Quota(tasks=2), 1.0)


class IdleTasks:
    """A task manager on which nothing runs or waits."""

    def team_usage(self, name: str) -> Quota:
        return Quota(0, 0, 0, 0, 0)

    def blocked_by_limit(self) -> dict:
        return {}

    def set_team(self, team: Team, allotted: Quota) -> None:
        pass

    def remove_teams_except(self, names: set[str]) -> None:
        pass


class IdleRequests(IdleTasks):
    """A request dispatcher on which nothing runs or waits."""

    def team_usage(self, name: str) -> int:
        return 0


class TransferTest(unittest.TestCase):
    """Transfers from hobart, which first holds five tasks, to burnie."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.log = DroppingLog()
        self.replica = Replica(self.log, self.clock)
        backoff = Backoff(0.001, 0.001, random.Random(1))
        self.appender = Appender(self.log, self.replica, self.clock, "one", backoff)
        for partition in ("burnie", "hobart"):
            self.appender.commit(Claim(partition, 1, "one", "one", ("w1",)))
        self.appender.commit(Promote(DOCUMENT, 0))
        lease = ControlLease(self.clock, ("w1",), 60.0)
        lease.renew("w1", self.clock.monotonic())
        self.limits = LimitManager(
            "hobart", 1, self.replica, self.appender, lease, IdleTasks(), IdleRequests()
        )

    def transfer_without_answer(self) -> None:
        self.assertEqual(self.limits.allotted("crew").tasks, 5)
        self.assertTrue(self.limits.transfer_unused("crew", NEED, "burnie"))
        self.appender.step()
        self.clock.advance(6.0)
        self.appender.step()
        self.limits.refresh()
        self.assertEqual(self.limits.allotted("crew").tasks, 3, "the outcome is not known yet")

    def decide(self) -> None:
        """Appends a later entry, which makes the outcome of the transfer known."""
        self.limits.acknowledge()
        self.appender.step()
        self.appender.step()
        self.limits.refresh()

    # Guards against using an amount in both partitions after a transfer without an answer.
    def test_amount_stays_subtracted_until_the_transfer_is_read(self) -> None:
        self.log.faults = Faults(lose_answers=1, read_lag=10)
        self.transfer_without_answer()
        self.log.faults = Faults()
        self.decide()
        self.assertEqual(self.limits.allotted("crew").tasks, 3)
        self.assertEqual(self.replica.fleet.ledger.allotment("crew", "burnie").tasks, 7)

    # Guards against losing an amount for good after a transfer that never reached the log.
    def test_amount_is_usable_again_once_the_transfer_certainly_has_no_effect(self) -> None:
        self.log.drops = True
        self.transfer_without_answer()
        self.log.drops = False
        self.decide()
        self.assertEqual(self.limits.allotted("crew").tasks, 5)
        self.assertEqual(self.replica.fleet.ledger.allotment("crew", "burnie").tasks, 5)


if __name__ == "__main__":
    unittest.main()
