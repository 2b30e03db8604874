"""A short soak test with a fixed seed, and tests of its faults and its guarantee checker."""

from __future__ import annotations

import http.client
import json
import random
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from azurecleat_cluster.ports import StartCommand
from azurecleat_cluster.values import TaskId

from tests.lib.fake_platform import CRASH_DELAY_S, DEADLY_SPEC, FakePlatform
from tests.lib.instance_process import PORTS, free_ports
from tests.soak.faults import FAULT_KINDS, LOSS_KIND, generate_faults
from tests.soak.guarantees import (
    CANCELLATION_BOUND_S,
    REVOCATION_BOUND_S,
    VISIBILITY_BOUND_S,
    GuaranteeChecker,
    Job,
    SubmissionOutcome,
)
from tests.soak.run import SoakSettings, load_regressions, run_soak

SEED = 4711
SHORT_SOAK = SoakSettings(seconds=8.0, instances=3, targets=3, callers=3)
JOB = "0000000000000001"
BODY = {"spec": "x", "steps": [{"count": 2, "cpu": 1000}]}


class SoakTest(unittest.TestCase):
    """The soak test itself, with the faults of one seed, and the generated faults."""

    def test_seed_violates_no_guarantee(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            result = run_soak(SEED, SHORT_SOAK, Path(folder))
        self.assertEqual(result.violations, ())
        self.assertGreater(result.accepted, 10)
        self.assertGreater(result.faults, 3)

    def test_faults_depend_only_on_the_seed_and_cover_all_kinds(self) -> None:
        self.assertEqual(generate_faults(7, 20.0, 0.5), generate_faults(7, 20.0, 0.5))
        kinds = {fault.kind for seed in range(40) for fault in generate_faults(seed, 20.0, 0.5)}
        self.assertEqual(kinds, {*FAULT_KINDS, LOSS_KIND})

    def test_instances_that_have_not_started_get_different_ports(self) -> None:
        ports = free_ports()
        draws = [ports, *(random.sample(PORTS, 3) for _ in range(100))]
        with mock.patch("random.sample", side_effect=draws):
            self.assertTrue(set(ports).isdisjoint(free_ports()))

    def test_seeds_in_regressions_have_a_cause(self) -> None:
        for seed, cause in load_regressions():
            with self.subTest(seed=seed):
                self.assertTrue(cause)


class FakeTargetTest(unittest.TestCase):
    """Calls a target of the fake platform that restarts or leaves calls unanswered."""

    def setUp(self) -> None:
        self.platform = FakePlatform(targets=1, task_s=1.0)
        self.addCleanup(self.platform.close)
        self.connection = self.connect()

    def connect(self, timeout_s: float = 5.0) -> http.client.HTTPConnection:
        address = self.platform.target_addresses[0]
        connection = http.client.HTTPConnection(address, timeout=timeout_s)
        self.addCleanup(connection.close)
        connection.connect()
        connection.auto_open = 0
        return connection

    def call(
        self, connection: http.client.HTTPConnection, path: str, **fields: object
    ) -> tuple[int, dict]:
        body = json.dumps({"fence": 1, **fields})
        connection.request("POST", path, body, {"X-Expect-Instance": "i-0"})
        response = connection.getresponse()
        return response.status, json.loads(response.read())

    def poll(self, connection: http.client.HTTPConnection) -> int:
        """Polls the target and returns when its incarnation started."""
        _, report = self.call(connection, "/hold", last_seen=0)
        return report["born"]

    def start(self, connection: http.client.HTTPConnection) -> int:
        """Starts a task for a second and returns the status."""
        task, until_ms = f"{JOB}.0.0.0", int(time.monotonic() * 1000) + 1000
        run = {"task": task, "run": 1, "spec": "x", "until_ms": until_ms, "ticket": "t-i-0"}
        return self.call(connection, "/run-start", **run)[0]

    def test_connections_of_an_incarnation_end_with_it(self) -> None:
        first = self.poll(self.connection)
        self.assertEqual(self.poll(self.connection), first)
        self.platform.replace_target(0, keeps_id=True)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.poll(self.connection)
        self.assertEqual(self.poll(self.connect()), first + 1)

    def test_lost_call_is_executed_and_gets_no_answer(self) -> None:
        self.platform.expect_job(JOB, BODY)
        self.platform.lose_calls(0, mock.Mock(random=lambda: 0.0, choice=min, uniform=max))
        with self.assertRaises(TimeoutError):
            self.start(self.connect(timeout_s=0.3))
        self.assertEqual(self.platform.checker.starts, 1)
        self.platform.answer_calls(0)
        self.assertEqual(self.start(self.connection), 200)
        self.assertEqual(self.platform.checker.starts, 1)


class GuaranteeCheckerTest(unittest.TestCase):
    """Violates each guarantee on purpose; the checker must report it."""

    def setUp(self) -> None:
        self.platform = FakePlatform(targets=1)
        self.addCleanup(self.platform.close)
        self.guarantee_checker = GuaranteeChecker(self.platform)
        self.job = Job(JOB, BODY)
        self.guarantee_checker.add(self.job)

    def violated_rules(self) -> list[str]:
        return [text.partition(" ")[0] for text in self.guarantee_checker.violations]

    def test_task_that_ends_during_the_check(self) -> None:
        class EndingTask:
            def __str__(task) -> str:  # noqa: N805
                self.platform.completed_tasks.add(object())
                return "task"

        self.platform.completed_tasks.add(EndingTask())
        self.guarantee_checker.on_state_response(self.job, time.monotonic(), 200, "completed")
        self.assertEqual(self.violated_rules(), ["MIXED"])

    def test_job_completed_before_its_tasks(self) -> None:
        self.guarantee_checker.on_state_response(self.job, time.monotonic(), 200, "completed")
        self.assertEqual(self.violated_rules(), ["MIXED"])

    def test_accepted_job_that_becomes_unknown(self) -> None:
        self.guarantee_checker.on_submit_response(self.job, 200)
        self.guarantee_checker.on_state_response(self.job, time.monotonic(), 410, "")
        self.assertEqual(self.violated_rules(), [])
        self.guarantee_checker.on_state_response(
            self.job, time.monotonic() + VISIBILITY_BOUND_S + 0.1, 410, ""
        )
        self.assertEqual(self.violated_rules(), ["LOST"])

    def test_job_unfinished_at_the_end(self) -> None:
        self.guarantee_checker.on_submit_response(self.job, 200)
        self.guarantee_checker.check_end()
        self.assertEqual(self.violated_rules(), ["LOST"])

    def test_job_failed_without_cause(self) -> None:
        self.guarantee_checker.on_submit_response(self.job, 200)
        self.guarantee_checker.on_state_response(self.job, time.monotonic(), 200, "failed")
        self.guarantee_checker.check_end()
        self.assertEqual(self.violated_rules(), ["LOST"])

    def test_job_failed_after_two_crashes_under_a_task(self) -> None:
        self.guarantee_checker.on_submit_response(self.job, 200)
        self.guarantee_checker.on_state_response(self.job, time.monotonic(), 200, "failed")
        self.platform.checker.crashes[TaskId(JOB, 0, 0, 0)] = 2
        self.guarantee_checker.check_end()
        self.assertEqual(self.violated_rules(), [])

    def test_deadly_task_that_is_started_without_a_bound(self) -> None:
        self.platform.expect_job(JOB, {**BODY, "spec": DEADLY_SPEC})
        for run in range(1, 7):
            (target,) = self.platform.targets.values()
            now = time.monotonic()
            until_ms = int(target.clock_ms(now)) + 5000
            target.start(StartCommand(TaskId(JOB, 0, 0, 0), run, "x", until_ms, 1), now)
            time.sleep(2 * CRASH_DELAY_S)
            self.platform.advance()
            violations = len(self.platform.checker.violations)
            self.assertEqual(violations, int(run == 6))
        self.assertIn("BUDGET crashes", self.platform.checker.violations[0])

    def test_rejected_job_that_has_run(self) -> None:
        self.guarantee_checker.on_submit_response(self.job, 503)
        self.platform.checker.started_at[TaskId(self.job.name, 0, 0, 0)] = time.monotonic()
        self.guarantee_checker.check_end()
        self.assertEqual(self.violated_rules(), ["REFUSED"])

    def test_rejection_after_an_attempt_without_response_leaves_the_outcome_unknown(self) -> None:
        self.guarantee_checker.on_submit_response(self.job, None)
        self.guarantee_checker.on_submit_response(self.job, 503)
        self.assertIs(self.job.outcome, SubmissionOutcome.UNKNOWN)

    def test_cancelled_job_that_starts_a_task(self) -> None:
        self.job.cancelled_at = time.monotonic() - CANCELLATION_BOUND_S - 1.0
        self.platform.checker.started_at[TaskId(self.job.name, 0, 0, 0)] = time.monotonic()
        self.guarantee_checker.check_end()
        self.assertEqual(self.violated_rules(), ["UNASKED"])

    def test_task_started_again_before_its_end_is_acknowledged(self) -> None:
        self.platform.expect_job(JOB, BODY)
        target, now = self.platform.targets["i-0"], time.monotonic()
        until_ms = int(target.clock_ms(now)) + 5000
        for run, started_at in ((1, now), (2, now + 1.0)):
            command = StartCommand(TaskId(JOB, 0, 0, 0), run, "x", until_ms, 1)
            target.start(command, started_at)
        self.assertEqual(self.platform.checker.violations, [])
        target.poll(1, 1, None, now + 1.1)
        (violation,) = self.platform.checker.violations
        self.assertIn("TWICE after done", violation)

    def test_task_whose_earlier_run_was_lost_and_had_a_higher_number(self) -> None:
        self.platform.expect_job(JOB, BODY)
        target, now = self.platform.targets["i-0"], time.monotonic()
        until_ms = int(target.clock_ms(now)) + 5000
        target.start(StartCommand(TaskId(JOB, 0, 0, 0), 5, "x", until_ms, 1), now)
        self.platform.replace_target(0)
        (target,) = self.platform.targets.values()
        target.start(StartCommand(TaskId(JOB, 0, 0, 0), 1, "x", until_ms, 1), now)
        target.poll(1, 1, None, now + 1.0)
        self.assertEqual(self.platform.checker.done, {TaskId(JOB, 0, 0, 0)})
        self.assertEqual(self.platform.checker.violations, [])

    def test_revoked_key_that_is_accepted(self) -> None:
        self.guarantee_checker.on_key_revoked("old")
        self.guarantee_checker.on_response("old", time.monotonic(), 200)
        self.assertEqual(self.violated_rules(), [])
        self.guarantee_checker.on_response("old", time.monotonic() + REVOCATION_BOUND_S + 0.1, 200)
        self.assertEqual(self.violated_rules(), ["CONFIG"])


if __name__ == "__main__":
    unittest.main()
