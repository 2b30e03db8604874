"""Load pattern: all instances restart at once, so that the log is slow, and one has to own."""

from __future__ import annotations

import threading
import time
import unittest

from azurecleat_base import SystemClock
from azurecleat_cluster._internal.owner.service import CLAIM_TURN_S, OwnerService
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster.ports import JOBS
from azurecleat_fakes import KeyedMemoryLog

from tests.unit.cluster.test_no_second_start import make_dependencies

LATENCY_S = 0.1
"""Latency of a log that many instances load from at the same time."""

INSTANCES_AHEAD = 14

MAX_IDLE_S = 3.0
"""Longest time for which a job may have nothing running while there is capacity."""


class SlowLog(KeyedMemoryLog):
    def latency_s(self) -> float:
        return LATENCY_S


class ClaimAfterRestartTest(unittest.TestCase):
    """The owner's node and others of the same size have restarted; the node's turn is the last."""

    def claim_after_s(self, previous_owner: str, ahead: int = INSTANCES_AHEAD) -> float:
        """Returns the time until this instance, ``n0#1``, claims.

        :param ahead: Number of the other instances, of which none claims.
        """
        log = SlowLog()
        claim = records.Claim(1, previous_owner, "address")
        entries = [(f"{records.INSTANCE}n{number}", float(number)) for number in range(ahead + 1)]
        for name, started in entries:
            entry = records.InstanceEntry("127.0.0.1:1", started)
            log.append(JOBS, [(name, records.encode_instance(entry))], 1.0)
        log.append(JOBS, [(records.claim_key(claim), records.encode_claim(claim))], 1.0)
        dependencies = make_dependencies(log, SystemClock())
        service = OwnerService(dependencies, lambda epoch: None)
        began_at = time.monotonic()
        service.start()
        self.addCleanup(service.stop)
        while dependencies.replica.claim.epoch < 2 and time.monotonic() - began_at < 20.0:
            threading.Event().wait(0.01)
        self.assertEqual(dependencies.replica.claim.instance, "n0#1")
        return time.monotonic() - began_at

    def test_restarted_owner_claims_without_waiting_for_others(self) -> None:
        self.assertLess(self.claim_after_s("n0#0"), 1.0)

    def test_other_instance_waits_for_its_turn(self) -> None:
        waited_s = self.claim_after_s("n3#0")
        self.assertGreater(waited_s, (INSTANCES_AHEAD - 1) * CLAIM_TURN_S)

    # Each instance that was gone had its turn first: with 96 of them the only one left claimed only
    # after 22 s.
    def test_only_instance_left_does_not_wait_for_each_that_is_gone(self) -> None:
        self.assertLess(self.claim_after_s("n3#0", ahead=96), MAX_IDLE_S)


if __name__ == "__main__":
    unittest.main()
