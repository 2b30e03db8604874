"""Tests that allotments never add up to more than a limit that an owner may still apply."""

from __future__ import annotations

import random
import unittest

from azurecleat_coordination._internal.ledger import Ledger
from azurecleat_coordination.records import AcknowledgeLimits, Transfer
from azurecleat_model import Quota
from hypothesis import given, settings
from hypothesis import strategies as st

PARTITIONS = ("burnie", "hobart", "launceston")


def tasks(count: int) -> Quota:
    return Quota(tasks=count)


class LedgerTest(unittest.TestCase):
    """Division, transfer and reduction of limits among partitions."""

    def test_first_partition_gets_the_limit_and_transfers_parts(self) -> None:
        ledger = Ledger()
        ledger.set_limits({"crew": tasks(7)})
        for partition in PARTITIONS:
            ledger.add_partition(partition)
        # The first partition is granted the whole limit; the others get parts by transfers.
        self.assertEqual(ledger.allotment("crew", "burnie").tasks, 7)
        self.assertEqual(ledger.allotment("crew", "hobart").tasks, 0)
        ledger.transfer(Transfer("crew", "burnie", 1, "hobart", Quota(0, 3, 0, 0, 0)))
        self.assertEqual(ledger.allotment("crew", "hobart").tasks, 3)

    def test_transfer_of_more_than_the_allotment_is_rejected(self) -> None:
        ledger = Ledger()
        ledger.set_limits({"crew": tasks(4)})
        ledger.add_partition("burnie")
        ledger.add_partition("hobart")
        event = Transfer("crew", "hobart", 1, "burnie", Quota(0, 1, 0, 0, 0))
        self.assertFalse(ledger.transfer(event).accepted)
        self.assertEqual(ledger.allotment("crew", "burnie").tasks, 4)

    def test_lowered_limit_is_granted_again_only_after_acknowledgement(self) -> None:
        ledger = Ledger()
        ledger.add_partition("burnie")
        ledger.set_limits({"crew": tasks(10)})
        ledger.add_partition("hobart")
        ledger.set_limits({"crew": tasks(2)})
        ledger.set_limits({"crew": tasks(10)})
        # The owner of burnie has not acknowledged the reduction and may still use 10 tasks.
        self.assertEqual(ledger.allotment("crew", "hobart").tasks, 0)
        ledger.acknowledge(AcknowledgeLimits("burnie", 1, 3))
        self.assertGreater(ledger.allotment("crew", "hobart").tasks, 0)
        self.assertEqual(ledger.ceilings("crew").tasks, 10)

    @settings(max_examples=80, derandomize=True, deadline=None, database=None)
    @given(seed=st.integers(0, 1 << 30))
    def test_ceilings_never_exceed_limits_that_may_be_in_force(self, seed: int) -> None:
        rng = random.Random(seed)
        ledger = Ledger()
        ledger.set_limits({"crew": tasks(9)})
        highest = 9
        for _ in range(60):
            match rng.randrange(5):
                case 0:
                    ledger.add_partition(rng.choice(PARTITIONS))
                case 1:
                    limit = rng.randrange(12)
                    highest = max(limit, ledger.ceilings("crew").tasks)
                    ledger.set_limits({"crew": tasks(limit)})
                case 2:
                    partition = rng.choice(PARTITIONS)
                    ledger.acknowledge(AcknowledgeLimits(partition, 1, 1))
                case _:
                    source, destination = rng.sample(PARTITIONS, 2)
                    amount = Quota(0, rng.randrange(5), 0, 0, 0)
                    ledger.transfer(Transfer("crew", source, 1, destination, amount))
            self.assertLessEqual(ledger.ceilings("crew").tasks, highest)
            for partition in PARTITIONS:
                self.assertGreaterEqual(ledger.allotment("crew", partition).tasks, 0)

    def test_dump_and_load_keep_everything(self) -> None:
        ledger = Ledger()
        ledger.add_partition("burnie")
        ledger.set_limits({"crew": tasks(9)})
        copy = Ledger()
        copy.load(ledger.dump())
        self.assertEqual(copy.dump(), ledger.dump())


if __name__ == "__main__":
    unittest.main()
