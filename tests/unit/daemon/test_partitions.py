"""Tests of claims on partitions while the log loses answers."""

from __future__ import annotations

import unittest

from azurecleat_bench._internal.faults.connections import LOG
from azurecleat_bench._internal.faults.simulation import Simulation
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


if __name__ == "__main__":
    unittest.main()
