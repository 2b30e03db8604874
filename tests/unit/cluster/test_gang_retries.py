"""Gangs that are started again after one of their tasks failed."""

from __future__ import annotations

import unittest

from azurecleat_base import ManualClock, Resources
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.values import EndKind, JobSpec, RunEnd, Step

from tests.lib.term_harness import JOB, QUEUE, TermHarness, make_entry, submit

TARGETS = ("t0", "t1", "t2")
ROOM = 3
MEMBERS = 4
ATTEMPTS = 6


class GangRetryTest(unittest.TestCase):
    """Three targets with room for three tasks each, and a gang of four."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        replica = JobReplica()
        queue = QUEUE._replace(attempts=ATTEMPTS)
        self.harness = TermHarness(self.clock, replica, queues=(queue,))
        for name in TARGETS:
            entry = make_entry(name)._replace(capacity=Resources(ROOM * 1_000, 64_000, 0))
            self.harness.term.on_target_entry(entry)
        self.harness.writer.commit()
        for name in TARGETS:
            self.harness.report(name)
        step = Step(count=MEMBERS, need=Resources(1_000, 64, 0), estimate_ms=1_500, gang=True)
        submit(replica, JobSpec("", (step,)), queue=queue)
        self.harness.term.on_job_record(f"s/{JOB}")
        self.ends = dict.fromkeys(TARGETS, 0)

    def fail(self, member: int) -> str:
        """Lets one task of the gang fail and breaks the others; returns the target of the one."""
        failed_on = ""
        for name in TARGETS:
            ended = []
            for run in list(self.harness.session(name).target.runs.values()):
                self.ends[name] += 1
                is_failed = run.task.index == member
                failed_on = name if is_failed else failed_on
                kind = EndKind.FAILED if is_failed else EndKind.BROKEN
                ended.append(RunEnd(self.ends[name], run.task, run.number, kind, ""))
            self.harness.report(name, (), ended)
        return failed_on

    # Review case 5: the gang stayed without a start for good after the second failure.
    def test_gang_starts_again_until_its_attempts_are_used_up(self) -> None:
        for member in range(MEMBERS):
            with self.subTest(member=member):
                self.setUp()
                failed_on = []
                for _ in range(ATTEMPTS):
                    self.clock.advance(1.0)
                    self.harness.authority.add_log_proof(self.clock.monotonic())
                    self.assertEqual(len(self.harness.dispatch()), MEMBERS)
                    failed_on.append(self.fail(member))
                # A member goes on where it has not failed yet, as long as there is such a target.
                self.assertEqual(sorted(failed_on[:3]), sorted(TARGETS))
                self.assertEqual(self.harness.dispatch(), [])


if __name__ == "__main__":
    unittest.main()
