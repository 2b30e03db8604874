"""Tests of the router's answers about jobs while the log loses answers."""

from __future__ import annotations

import unittest

from azurecleat_bench._internal.faults.simulation import Simulation
from azurecleat_daemon._internal.refusal import RefusalError
from azurecleat_fakes import Faults
from azurecleat_model import ExecutionStatus

TEAM = "crew"
JOB = {"name": "check", "kind": "batch", "size": {"cpu_milli": 100, "memory_mb": 100}}
UNKNOWN = ("outcome-unknown", ExecutionStatus.UNKNOWN)
NOT_RECORDED = ("log-unavailable", ExecutionStatus.NOT_RUN)
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
        self.assertEqual(self.refusal(self.router.cancel, job_id), UNKNOWN)
        self.simulation.log.faults = Faults()
        self.assertTrue(self.router.cancel(TEAM, job_id)["cancelled"])

    # A repeated submission was answered as not run if the log refused the repeat, although the
    # earlier record of the same job may still be applied.
    def test_refused_repeat_stays_unknown_while_the_first_record_may_be_applied(self) -> None:
        self.simulation.log.faults = LOST_ANSWER
        first = self.refusal(self.router.submit, JOB, "key-1")
        self.simulation.log.faults = Faults(down=True)
        repeat = self.refusal(self.router.submit, JOB, "key-1")
        other = self.refusal(self.router.submit, JOB, "key-2")
        self.assertEqual((first, repeat, other), (UNKNOWN, UNKNOWN, NOT_RECORDED))
        self.simulation.log.faults = Faults()
        self.simulation.run_for(1.0)
        self.assertEqual(self.router.submit(TEAM, JOB, "key-1")["tasks"], 1)

    # The same for a cancellation.
    def test_refused_repeat_of_a_cancellation_stays_unknown(self) -> None:
        job_id = self.router.submit(TEAM, JOB)["job"]
        self.simulation.log.faults = LOST_ANSWER
        first = self.refusal(self.router.cancel, job_id)
        self.simulation.log.faults = Faults(down=True)
        self.assertEqual((first, self.refusal(self.router.cancel, job_id)), (UNKNOWN, UNKNOWN))


if __name__ == "__main__":
    unittest.main()
