"""``azurecleat explain`` on logs recorded during a run with injected faults."""

from __future__ import annotations

import random
import unittest
from pathlib import Path

from azurecleat_cli._internal.commands.explain import ExplainCommand
from azurecleat_cli._internal.operations.explain import explain, read_lines
from cleo.application import Application
from cleo.testers.command_tester import CommandTester

LOGS = Path(__file__).resolve().parents[1] / "data" / "explain.log"
REFUSED, LOST, CANCELLED, FAILED = (
    "71f90df6b11efed1",
    "e48f91d7f0a7504c",
    "0d847dfe22a714e8",
    "6d0cbb9627850785",
)


class ExplainTest(unittest.TestCase):
    """Explanations of a refused, a delayed, a failed, a cancelled and an unknown job."""

    def setUp(self) -> None:
        self.texts = LOGS.read_text(encoding="utf-8").splitlines()

    def cause(self, job: str) -> str:
        return explain(job, read_lines(self.texts)).cause

    def test_job_that_was_not_accepted(self) -> None:
        self.assertEqual(
            self.cause(REFUSED),
            f"{REFUSED} got Undecided at edge-tas-burnie-1: the log gave no answer in time; "
            "configuration 32, 1.154 s old",
        )

    def test_job_that_was_delayed_by_a_lost_target(self) -> None:
        cause = self.cause(LOST)
        self.assertIn("completed after 15.93 s", cause)
        self.assertIn("was started 3 times: failed on i-bbdf02304c, no entry", cause)

    def test_job_that_failed(self) -> None:
        self.assertEqual(
            self.cause(FAILED),
            f"{FAILED} failed after 8.71 s: {FAILED}.0.0.0 failed 2 times, "
            "on i-dbe2f29bd3, i-3340f0029f",
        )

    def test_job_that_was_given_up_names_the_task_that_crashed_its_targets(self) -> None:
        self.texts = [
            '{"at":1.0,"name":"job.seen","instance":"n","job":"j"}',
            '{"at":2.0,"name":"job.given_up","instance":"n","job":"j","task":"j.0.0.1","crashes":2}',
            '{"at":2.0,"name":"job.ended","instance":"n","job":"j","outcome":"failed","age_s":1.0}',
        ]
        self.assertEqual(
            self.cause("j"),
            "j failed after 1.00 s: j.0.0.1 was given up after 2 targets had crashed when they "
            "started it",
        )

    def test_job_that_was_cancelled(self) -> None:
        self.assertIn("was cancelled", self.cause(CANCELLED))

    def test_job_that_was_not_started_names_what_its_step_lacked(self) -> None:
        fields = '"instance":"n","step":"j.0.0"'
        self.texts = [
            '{"at":1.0,"name":"job.seen","instance":"n","job":"j"}',
            f'{{"at":2.0,"name":"advice.given",{fields}}}',
            f'{{"at":5.0,"name":"step.stalled",{fields},"missing":"tickets"}}',
        ]
        self.assertIn("not started: its step lacked tickets (4.00 s)", self.cause("j"))

    def test_job_whose_task_was_preempted_names_the_reason(self) -> None:
        fields = '"instance":"n","task":"j.0.0.1","target":"t"'
        self.texts = [
            '{"at":1.0,"name":"job.seen","instance":"n","job":"j"}',
            f'{{"at":1.1,"name":"run.started",{fields}}}',
            f'{{"at":2.0,"name":"run.stop_sent",{fields},"reason":"preempted by urgent work"}}',
            f'{{"at":2.3,"name":"run.ended",{fields},"kind":"stopped"}}',
            f'{{"at":2.3,"name":"preemption.ended",{fields},"outcome":"stopped"}}',
            '{"at":6.3,"name":"job.cancelled","instance":"n","job":"j"}',
        ]
        self.assertIn(
            "j.0.0.1 waits for capacity: preempted by urgent work (t) (4.00 s)", self.cause("j")
        )
        self.texts.insert(5, f'{{"at":6.2,"name":"run.started",{fields}}}')
        self.assertIn(
            "j.0.0.1 was started 2 times: preempted by urgent work (t) (5.10 s)", self.cause("j")
        )

    def test_unknown_job(self) -> None:
        self.assertEqual(self.cause("0" * 16), f"no events of job {'0' * 16} in these logs")

    def test_order_of_lines_and_other_text_are_ignored(self) -> None:
        causes = {job: self.cause(job) for job in (REFUSED, LOST, FAILED)}
        random.Random(1).shuffle(self.texts)
        self.texts = ["no log line", '{"at": "x"}', *(f"host-1: {text}" for text in self.texts)]
        self.assertEqual({job: self.cause(job) for job in causes}, causes)

    def test_command_prints_a_timeline_and_then_the_cause(self) -> None:
        application = Application()
        application.add(ExplainCommand())
        tester = CommandTester(application.find("explain"))
        self.assertEqual(tester.execute(f"{LOST} {LOGS}"), 0)
        lines = tester.io.fetch_output().splitlines()
        times = [float(line.split()[0]) for line in lines[:-1]]
        self.assertEqual(times, sorted(times))
        self.assertTrue(lines[-1].startswith(f"cause: {LOST} completed"))
        self.assertTrue(any("target.lost" in line for line in lines))
        self.assertEqual(tester.execute(f"{'0' * 16} {LOGS}"), 1)
        self.assertEqual(tester.execute(f"{LOST} /nowhere"), 2)


if __name__ == "__main__":
    unittest.main()
