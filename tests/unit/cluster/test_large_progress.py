"""Progress whose checkpoints are more than the log takes for one record."""

from __future__ import annotations

import unittest

from azurecleat_base import ManualClock, Resources
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.ports import LogRecord
from azurecleat_cluster.values import EndKind, JobSpec, RunEnd, Step

from tests.lib.term_harness import JOB, TermHarness, make_entry, running, submit, task

RECORD_BYTES = 1 << 18
"""Largest record that the log takes."""

GANG = Step(count=96, need=Resources(500, 10, 0), gang=True, checkpointing=True)
"""The widest gang of ddl-hobart."""


def progress_of(checkpoints: dict[int, str], count: int = 1) -> records.Progress:
    done = tuple(range(0, count, 2))
    step = records.TaskProgress(done, {1: ("4@t0",)}, checkpoints, 7)
    return records.Progress(True, "", {(0, 0): step, (0, 1): step._replace(checkpoints={})})


class LargeProgressTest(unittest.TestCase):
    """The record of one job's progress."""

    def round_trip(self, progress: records.Progress) -> records.Progress:
        value = records.encode_progress(progress)
        self.assertLess(len(value) + records.MAX_KEY_BYTES, RECORD_BYTES)
        return records.decode_progress(value)

    # Review case 8: the record of a gang was refused by the log and sent again for ever, so that
    # nothing else was recorded by any owner.
    def test_checkpoint_of_a_gang_is_recorded_once(self) -> None:
        submitted = JobReplica()
        submit(submitted, JobSpec("payload", (GANG,)))
        harness = TermHarness(ManualClock(), submitted)
        harness.term.on_target_entry(make_entry("t0"))
        harness.writer.commit()
        harness.report("t0")
        harness.writer.commit()
        harness.dispatch()
        (session,) = harness.sessions
        self.assertEqual(len(session.started), GANG.count)
        number = session.started[0].number
        end = RunEnd(1, task(0), number, EndKind.FAILED, "x" * 2_800)
        statuses = [running(task(index), number) for index in range(1, GANG.count)]
        harness.report("t0", statuses, [end])
        value = harness.term._encode(harness.term.jobs[JOB])
        self.assertLess(len(value) + records.MAX_KEY_BYTES, RECORD_BYTES)
        (step,) = records.decode_progress(value).steps.values()
        self.assertEqual(step.checkpoints, dict.fromkeys(range(GANG.count), "x" * 2_800))

    def test_gang_of_many_tasks(self) -> None:
        progress = progress_of(dict.fromkeys(range(50_000), "00000bb87a21d94b"))
        self.assertEqual(self.round_trip(progress), progress)

    # Without the longest checkpoints their tasks begin anew; all else is kept.
    def test_longest_checkpoints_are_left_out_if_not_all_fit(self) -> None:
        for text in ("x", "\u00e9", '"', "\x00"):
            checkpoints = {index: text * (100 + index) for index in range(2_000)}
            progress = progress_of(checkpoints, 2_000)
            kept = self.round_trip(progress)
            with self.subTest(text=text):
                step = kept.steps[0, 0]
                count = len(step.checkpoints)
                self.assertGreater(count, 100)
                self.assertEqual(step.checkpoints, dict(list(checkpoints.items())[:count]))
                self.assertEqual(step._replace(checkpoints=checkpoints), progress.steps[0, 0])

    def test_one_checkpoint_that_is_too_long_does_not_keep_others_out(self) -> None:
        progress = progress_of({0: "x" * RECORD_BYTES, 1: "short", 2: "short", 3: "own"})
        kept = self.round_trip(progress).steps[0, 0].checkpoints
        self.assertEqual(kept, {1: "short", 2: "short", 3: "own"})

    # Instances of earlier versions expect four values for each step, and ignore other fields.
    def test_record_of_an_earlier_version_is_read(self) -> None:
        value = b'{"begun":true,"outcome":"","steps":{"0.0":[[[0,1]],{},{"2":"text"},3]}}'
        replica = JobReplica()
        replica.apply_progress(LogRecord(records.JOB + JOB, value, 0))
        (step,) = replica.progress(JOB).steps.values()
        self.assertEqual((step.done, step.checkpoints), ((0, 1), {2: "text"}))


if __name__ == "__main__":
    unittest.main()
