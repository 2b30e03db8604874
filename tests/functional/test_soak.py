"""A short soak with a fixed seed, and what its judge notices."""

from __future__ import annotations

import tempfile
import time
import unittest
from pathlib import Path

from azurecleat_cluster.values import TaskId

from tests.lib.fake_platform import FakePlatform
from tests.soak.faults import KINDS, draw
from tests.soak.promises import CANCEL_S, REVOKE_S, VISIBLE_S, Job, Promises, Verdict
from tests.soak.run import SoakSettings, regressions, soak

SEED = 4711
SHORT = SoakSettings(seconds=8.0, instances=3, targets=3, callers=3)
BODY = {"spec": "x", "steps": [{"count": 2, "cpu": 1000}]}


class SoakTest(unittest.TestCase):
    """Real processes under the faults of one seed."""

    def test_a_seed_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            result = soak(SEED, SHORT, Path(folder))
        self.assertEqual(result.broken, ())
        self.assertGreater(result.accepted, 10)
        self.assertGreater(result.faults, 3)

    def test_faults_follow_from_the_seed_and_cover_all_kinds(self) -> None:
        self.assertEqual(draw(7, 20.0, 0.5), draw(7, 20.0, 0.5))
        drawn = {fault.kind for seed in range(40) for fault in draw(seed, 20.0, 0.5)}
        self.assertEqual(drawn, set(KINDS))

    def test_kept_seeds_have_a_cause(self) -> None:
        for seed, cause in regressions():
            with self.subTest(seed=seed):
                self.assertTrue(cause)


class PromisesTest(unittest.TestCase):
    """Each promise, broken on purpose."""

    def setUp(self) -> None:
        self.site = FakePlatform(targets=1)
        self.addCleanup(self.site.close)
        self.promises = Promises(self.site)
        self.job = Job("0000000000000001", BODY)
        self.promises.add(self.job)

    def rules(self) -> list[str]:
        return [text.partition(" ")[0] for text in self.promises.broken]

    def test_completed_before_its_tasks(self) -> None:
        self.promises.note_state(self.job, time.monotonic(), 200, "completed")
        self.assertEqual(self.rules(), ["MIXED"])

    def test_unknown_after_it_was_accepted(self) -> None:
        self.promises.note_submitted(self.job, 200)
        self.promises.note_state(self.job, time.monotonic(), 410, "")
        self.assertEqual(self.rules(), [])
        self.promises.note_state(self.job, time.monotonic() + VISIBLE_S + 0.1, 410, "")
        self.assertEqual(self.rules(), ["LOST"])

    def test_not_done_at_the_end(self) -> None:
        self.promises.note_submitted(self.job, 200)
        self.promises.check_end()
        self.assertEqual(self.rules(), ["LOST"])

    def test_failed_without_cause(self) -> None:
        self.promises.note_submitted(self.job, 200)
        self.promises.note_state(self.job, time.monotonic(), 200, "failed")
        self.promises.check_end()
        self.assertEqual(self.rules(), ["LOST"])

    def test_rejected_and_run(self) -> None:
        self.promises.note_submitted(self.job, 503)
        self.site.checker.started_at[TaskId(self.job.name, 0, 0, 0)] = time.monotonic()
        self.promises.check_end()
        self.assertEqual(self.rules(), ["REFUSED"])

    def test_rejected_after_an_attempt_without_answer_says_nothing(self) -> None:
        self.promises.note_submitted(self.job, None)
        self.promises.note_submitted(self.job, 503)
        self.assertIs(self.job.verdict, Verdict.UNKNOWN)

    def test_started_after_its_cancelling(self) -> None:
        self.job.cancelled_at = time.monotonic() - CANCEL_S - 1.0
        self.site.checker.started_at[TaskId(self.job.name, 0, 0, 0)] = time.monotonic()
        self.promises.check_end()
        self.assertEqual(self.rules(), ["UNASKED"])

    def test_withdrawn_key_that_works(self) -> None:
        self.promises.note_revoked("old")
        self.promises.note_answer("old", time.monotonic(), 200)
        self.assertEqual(self.rules(), [])
        self.promises.note_answer("old", time.monotonic() + REVOKE_S + 0.1, 200)
        self.assertEqual(self.rules(), ["CONFIG"])


if __name__ == "__main__":
    unittest.main()
