"""Tests of the router's answers about jobs while the log loses answers."""

from __future__ import annotations

import unittest

from azurecleat_bench._internal.faults.simulation import Simulation
from azurecleat_daemon._internal.refusal import RefusalError
from azurecleat_fakes import Faults
from azurecleat_model import ExecutionStatus

TEAM = "crew"
JOB = {"name": "check", "kind": "batch", "size": {"cpu_milli": 100, "memory_mb": 100}}
LOST_ANSWER = Faults(lose_answers=1, read_lag=1000)


class JobAnswerTest(unittest.TestCase):
    """Cancellations and submissions whose append has no answer, and their repeats."""

    def setUp(self) -> None:
        self.simulation = Simulation(1)
        self.simulation.start()
        self.router = next(
            node.components.router
            for node in self.simulation.nodes.values()
            if node.components.partitions.local_owner("hobart")
        )

    def refusal(self, call, *args) -> tuple[str, ExecutionStatus]:
        with self.assertRaises(RefusalError) as caught:
            call(TEAM, *args)
        return caught.exception.code, caught.exception.ran

    # A cancellation that may be in the log was answered as not recorded, and its repeat as
    # "cancelled: false", because the first one had already cancelled the job.
    def test_cancellation_without_answer_is_unknown_and_its_repeat_tells_the_state(self) -> None:
        job_id = self.router.submit(TEAM, JOB)["job"]
        self.simulation.log.faults = LOST_ANSWER
        self.assertEqual(
            self.refusal(self.router.cancel, job_id), ("outcome-unknown", ExecutionStatus.UNKNOWN)
        )
        self.simulation.log.faults = Faults()
        self.assertTrue(self.router.cancel(TEAM, job_id)["cancelled"])


if __name__ == "__main__":
    unittest.main()
