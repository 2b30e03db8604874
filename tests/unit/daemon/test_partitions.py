"""Tests of claims on partitions while the log loses answers."""

from __future__ import annotations

import unittest

from azurecleat_bench._internal.faults.checker import check
from azurecleat_bench._internal.faults.connections import LOG
from azurecleat_bench._internal.faults.node import Node
from azurecleat_bench._internal.faults.simulation import BOUNDS, TICK_S, TIMING, Simulation
from azurecleat_daemon._internal.partition_owner import PartitionOwner, Phase
from azurecleat_fakes import Faults

JOB = {
    "name": "check",
    "kind": "batch",
    "size": {"cpu_milli": 100, "memory_mb": 100},
    "run_s": 1.0,
}


class ClaimTest(unittest.TestCase):
    """Claims whose append has no answer."""

    # Guards against a claim that is in the log and that nobody acts on, because its append had no
    # answer or its repeat was rejected.
    def test_claim_without_answer_is_acted_on_once_it_is_read(self) -> None:
        simulation = Simulation(1)
        simulation.start()
        nodes = [simulation.nodes[name] for name in ("hobart-0", "hobart-1")]
        nodes.sort(key=lambda node: node.components.partitions.local_owner("hobart") is None)
        owner, standby = nodes[0], nodes[1].components
        owner.components.partitions.release_all(0.0)
        owner.components = None
        standby.replica.catch_up()
        simulation.log.faults = Faults(lose_answers=1000, read_lag=1000)
        simulation.run_for(6.0)
        self.assertGreater(standby.appender.counts.unknown, 0)
        self.assertIsNone(standby.partitions.local_owner("hobart"))
        simulation.log.faults = Faults()
        simulation.run_for(10.0)
        serving = standby.partitions.local_owner("hobart")
        self.assertIsNotNone(serving)
        self.assertEqual(serving.epoch, 2)


class ReloadTest(unittest.TestCase):
    """An owner whose replica falls behind the oldest entry of the log and loads a snapshot."""

    # The owner went on with the jobs of the replaced section: records of the time of loading
    # counted as rejected, and no job accepted afterwards was ever started.
    def test_job_accepted_after_the_replica_was_reloaded_is_run(self) -> None:
        simulation = Simulation(1)
        simulation.start()
        nodes = [simulation.nodes[name] for name in ("hobart-0", "hobart-1")]
        nodes.sort(key=lambda node: node.components.partitions.local_owner("hobart") is None)
        owner, standby = nodes[0].components, nodes[1].components
        simulation.cuts.cut(nodes[0].name, LOG)
        simulation.nodes["burnie-0"].components.router.submit("crew", JOB)
        simulation.run_for(0.5)
        covered = simulation.log.tail
        for section in standby.replica.complete_sections():
            standby.snapshots.write(section)
        simulation.run_for(0.5)
        simulation.log.forget_before(covered)
        simulation.cuts.heal()
        simulation.run_for(15.0)
        job_id = owner.router.submit("crew", JOB)["job"]
        simulation.run_for(15.0)
        self.assertTrue(owner.router.job("crew", job_id)["finished"])


class UnservedOwnerTest(unittest.TestCase):
    """An owner that leaves before it knows what the owner before it has started."""

    def setUp(self) -> None:
        self.simulation = simulation = Simulation(1)
        simulation.start()
        nodes = [simulation.nodes[name] for name in ("hobart-0", "hobart-1")]
        nodes.sort(key=lambda node: node.components.partitions.local_owner("hobart") is None)
        self.first, self.second = nodes
        for _ in range(9):
            self.first.components.router.submit("crew", JOB | {"run_s": 60.0})
        simulation.run_for(2.0)
        self.cut_off_first_owner("hobart-worker-0")

    def cut_off_first_owner(self, worker: str) -> None:
        """Leaves the first owner one worker, which no other instance reaches."""
        cuts, first = self.simulation.cuts, self.first.name
        for other in (*self.simulation.nodes, *self.simulation.targets, LOG):
            if other not in (first, worker):
                cuts.cut(first, other)
                cuts.cut(other, first)
            if other in self.simulation.nodes and other != first:
                cuts.cut(other, worker)

    def owner_of(self, node: Node) -> PartitionOwner | None:
        return node.components.partitions.local_owners.get("hobart")

    def let_second_owner_claim(self) -> None:
        while self.owner_of(self.second) is None:
            self.simulation.run_for(TICK_S)
        self.assertIs(self.owner_of(self.second).phase, Phase.RECOVERING)

    # The next owner took the release for the end of all work of earlier owners, and served at once:
    # it started tasks again that still ran on a worker that it didn't reach.
    def test_its_release_does_not_stand_for_the_owner_before(self) -> None:
        self.let_second_owner_claim()
        self.second.components.partitions.release_all(0.0)
        self.simulation.restart(self.second)
        began_at = self.simulation.clock.monotonic()
        while (owner := self.owner_of(self.second)) is None or owner.phase is not Phase.SERVING:
            self.simulation.run_for(TICK_S)
        self.assertGreater(self.simulation.clock.monotonic() - began_at, 2 * TIMING.lease_s)

    # An owner without a majority goes on renewing the lease of a worker that it reaches, for longer
    # than its successor waits.
    def test_task_does_not_run_twice_beside_a_cut_off_owner(self) -> None:
        self.let_second_owner_claim()
        self.simulation.run_for(20.0)
        self.assertIs(self.owner_of(self.second).phase, Phase.SERVING)
        self.simulation.cuts.heal()
        self.simulation.run_for(5.0)
        self.assertEqual(check(self.simulation.history, BOUNDS), [])


if __name__ == "__main__":
    unittest.main()
