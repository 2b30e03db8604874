"""Ways in which a task could start again after one of its runs had ended as done."""

from __future__ import annotations

import io
import threading
import time
import unittest
from collections.abc import Callable, Sequence

from azurecleat_base import ManualClock, Resources
from azurecleat_base.exceptions import LogUnavailableError, TargetError
from azurecleat_cluster import EventLog, Preferences
from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.model import JobInfo
from azurecleat_cluster._internal.owner.term import MAX_REPORTED_ENDS
from azurecleat_cluster._internal.owner.term_runner import (
    OwnerDependencies,
    OwnerPorts,
    OwnerSettings,
    TermRunner,
)
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.ports import JOBS, PROGRESS, LogRecord, Writer
from azurecleat_cluster.values import JobSpec, Step
from azurecleat_fakes import KeyedMemoryLog

from tests.lib.term_harness import (
    JOB,
    QUEUE,
    OneConfiguration,
    TermHarness,
    done,
    make_entry,
    running,
    submit,
    task,
)

STEP = Step(count=2, need=Resources(1000, 1000, 0))
NOT_DUE_S = 60.0
WAIT_S = 10.0
"""Longest wait for a thread, in real seconds."""


class UndeletableJobsLog(KeyedMemoryLog):
    """Log that refuses to delete jobs until ``accepts_deletions`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.accepts_deletions = False
        self.refused = threading.Event()

    def append(
        self,
        stream: str,
        records: Sequence[tuple[str, bytes | None]],
        timeout_s: float,
        writer: Writer | None = None,
    ) -> int:
        is_deletion = stream == JOBS and any(value is None for _, value in records)
        if is_deletion and not self.accepts_deletions:
            self.refused.set()
            raise LogUnavailableError("refused", step="log.append")
        return super().append(stream, records, timeout_s, writer)

    def keys(self, stream: str) -> set[str]:
        return {record.key for record in self.newest(stream).records}


def make_dependencies(log: KeyedMemoryLog, clock: ManualClock) -> OwnerDependencies:
    """Returns an instance's part in ownership; it has no targets and keeps no ended job."""
    events, replica = EventLog("test", io.StringIO()), JobReplica()
    configuration = ConfigurationView(OneConfiguration(), events)
    configuration.apply(LogRecord("config", b"x", 0))
    return OwnerDependencies(
        "n0#1",
        "address",
        OwnerSettings(3.0, 3.0, 1.0, Preferences()),
        OwnerPorts(log, OneConfiguration(), lambda entry: None, None, lambda address: None, None),
        replica,
        Follower(log, JOBS, replica.apply_job, clock, events),
        Follower(log, PROGRESS, replica.apply_progress, clock, events),
        configuration,
        clock,
        events,
        Metrics(),
    )


class TermTestCase(unittest.TestCase):
    """Tests of a term of which a replica outlives the owner."""

    def setUp(self) -> None:
        self.clock, self.replica = ManualClock(), JobReplica()

    def submit(self, step: Step, *times: int) -> None:
        submit(self.replica, JobSpec("payload", (step,), *times))


class TakeoverTest(TermTestCase):
    """A new owner and the ends that the previous owner's targets still hold."""

    # A target counted as reached after the first part of its ends: the tasks behind them started.
    def test_no_task_starts_before_all_ends_of_a_target_are_known(self) -> None:
        self.submit(STEP._replace(count=MAX_REPORTED_ENDS + 1))
        harness = TermHarness(self.clock, self.replica, 2, [make_entry("t0")])
        harness.term.on_target_entry(make_entry("t0"))
        ends = [done(n + 1, task(n)) for n in range(MAX_REPORTED_ENDS + 1)]
        harness.report("t0", ended=ends[:MAX_REPORTED_ENDS])
        self.assertEqual(harness.dispatch(), [])
        harness.writer.commit()
        harness.report("t0", ended=ends[MAX_REPORTED_ENDS:])
        self.assertTrue(harness.term.takeover.is_complete())
        self.assertEqual(harness.dispatch(), [])

    def take_over_partly(self) -> TermHarness:
        """Takes over three targets, of which the last has reported only a part of its ends."""
        self.submit(STEP._replace(count=MAX_REPORTED_ENDS + 1))
        entries = [make_entry(f"t{number}") for number in range(3)]
        harness = TermHarness(self.clock, self.replica, 2, entries)
        for entry in entries:
            harness.term.on_target_entry(entry)
        harness.report("t0")
        harness.report("t1")
        harness.report("t2", ended=[done(n + 1, task(n)) for n in range(MAX_REPORTED_ENDS)])
        return harness

    def let_leases_end(self, harness: TermHarness) -> None:
        self.clock.advance(20.0)
        harness.authority.add_log_proof(self.clock.monotonic())

    # The end of the previous owner's leases stood for ends that a target was still reporting.
    def test_lease_that_is_renewed_does_not_stand_for_unknown_ends(self) -> None:
        harness = self.take_over_partly()
        self.let_leases_end(harness)
        self.assertEqual(harness.dispatch(), [])

    # A target that fell silent before its report was complete must not hold up a takeover.
    def test_silent_target_counts_as_reached_once_its_own_lease_is_over(self) -> None:
        harness = self.take_over_partly()
        self.let_leases_end(harness)
        error = TargetError("silent", step="hold", peer="t2")
        harness.term.on_unresponsive(harness.session("t2"), error)
        self.assertEqual(harness.dispatch(), [task(MAX_REPORTED_ENDS)])

    # Ended targets counted towards the majority that stops a previous owner. It still acted through
    # most of the others, and renewed leases that were taken as over.
    def test_majority_is_of_the_targets_that_have_not_ended(self) -> None:
        names = [f"t{number}" for number in range(10)]
        entries = [make_entry(name) for name in names]
        harness = TermHarness(self.clock, self.replica, 2, entries)
        for entry in entries[:4]:
            harness.term.on_target_entry(entry)
        harness.report("t0")
        harness.term.on_replaced(harness.session("t0"), "another id has answered")
        harness.term.on_incarnations_ended(frozenset(names[7:]))
        for name in names[1:4]:
            self.assertIsNone(harness.term.takeover.leases_end_at)
            harness.report(name)
        self.assertIsNone(harness.term.takeover.leases_end_at)
        harness.term.on_target_entry(entries[4])
        harness.report("t4")
        self.assertIsNotNone(harness.term.takeover.leases_end_at)

    # A claim read while a term began was not noticed: two owners started the jobs that came later.
    def test_later_claim_that_is_read_before_the_takeover_ends_the_term(self) -> None:
        claim = records.Claim(3, "n1#1", "")
        record = LogRecord(records.claim_key(claim), records.encode_claim(claim), 0)
        self.replica.apply_job(record)
        harness = TermHarness(self.clock, self.replica, 2)
        self.assertFalse(harness.authority.may_act())


class RestartedTargetTest(TermTestCase):
    """Incarnations of a target that share one id."""

    # A target whose registry entry was outdated counted as reached before it had been asked.
    def test_restarted_target_is_reached_only_by_its_own_report(self) -> None:
        self.submit(STEP)
        harness = TermHarness(self.clock, self.replica, 2, [make_entry("t0", 2)])
        harness.term.on_target_entry(make_entry("t0", 1))
        harness.term.on_target_entry(make_entry("t1", 1))
        harness.writer.commit()
        harness.report("t1")
        harness.report("t0", started_at_ms=2)
        self.assertEqual(harness.dispatch(), [])
        harness.writer.commit()
        harness.report("t0", running=[running(task(0))], started_at_ms=2)
        self.assertEqual(harness.dispatch(), [task(1)])

    # An entry without a start time hid a restart: the new incarnation's ends were not processed.
    def test_restart_is_noticed_without_a_start_time_in_the_entry(self) -> None:
        self.submit(STEP)
        harness = TermHarness(self.clock, self.replica)
        harness.term.on_target_entry(make_entry("t0", 0))
        harness.writer.commit()
        harness.report("t0", ended=[done(1, task(0))])
        session = harness.session("t0")
        harness.term.on_target_entry(make_entry("t0", 0))
        harness.report("t0", ended=[done(1, task(1))], started_at_ms=2)
        self.assertIsNot(harness.session("t0"), session)

    # A target that was dropped and added again was deleted from the log: no new owner asked it.
    def test_target_that_is_added_again_stays_in_the_log(self) -> None:
        harness = TermHarness(self.clock, self.replica)
        harness.term.on_target_entry(make_entry("t0"))
        harness.writer.commit()
        harness.report("t0")
        harness.term.on_replaced(harness.session("t0"), "another id has answered")
        harness.term.on_target_entry(make_entry("t0"))
        harness.writer.commit()
        self.assertTrue(harness.session("t0").is_started)
        self.assertIn("t0", self.replica.targets_in_use)


class OccurrencesTest(TermTestCase):
    """A new owner of a job with occurrences."""

    # The occurrence before one that had begun was not opened: the new owner opened the later one
    # again and again, without its ends.
    def test_occurrence_that_overtook_another_one_is_not_opened_twice(self) -> None:
        self.submit(STEP, 3, 1, 1)
        ended = records.TaskProgress((0, 1), {}, {}, 1)
        progress = records.Progress(True, "", {(0, 0): ended, (2, 0): ended})
        job = JobInfo(self.replica.submission(JOB), 0.0, True)
        job.restore(progress)
        self.assertEqual(sorted(job.steps), [(0, 0), (1, 0), (2, 0)])
        value = records.encode_progress(progress)
        self.replica.apply_progress(LogRecord(records.JOB + JOB, value, 0))
        harness = TermHarness(self.clock, self.replica, 2)
        harness.term.on_target_entry(make_entry("t0"))
        harness.writer.commit()
        harness.report("t0")
        self.assertCountEqual(harness.dispatch(), [task(0, 1), task(1, 1)])

    def take_over_early(self) -> TermHarness:
        """Takes over while the only occurrence is not due for a minute by this owner's clock."""
        first_ms = int((time.time() + NOT_DUE_S) * 1000)
        self.submit(STEP, 1, first_ms, 1000)
        harness = TermHarness(self.clock, self.replica, 2, [make_entry("t0")])
        harness.term.on_target_entry(make_entry("t0"))
        return harness

    # The previous owner's clock was ahead: the end of a task was acknowledged, but not recorded.
    def test_end_in_an_occurrence_that_is_not_due_is_recorded(self) -> None:
        harness = self.take_over_early()
        harness.report("t0", ended=[done(1, task(0))])
        harness.writer.commit()
        self.assertEqual(harness.session("t0").acknowledged, 1)
        progress = self.replica.progress(JOB)
        self.assertIsNotNone(progress)
        self.assertEqual(progress.steps[0, 0].done, (0,))

    # The previous owner's clock was ahead: its run was not adopted, and started again when due.
    def test_run_in_an_occurrence_that_is_not_due_is_adopted(self) -> None:
        harness = self.take_over_early()
        harness.report("t0", running=[running(task(0))])
        self.assertIn((task(0), 1), harness.session("t0").target.runs)
        self.assertEqual(harness.dispatch(), [])
        self.clock.advance(NOT_DUE_S + 1.0)
        self.assertEqual(harness.dispatch(), [task(1)])


class DeletedJobsTest(unittest.TestCase):
    """The log refuses for a while to delete an old job's submission."""

    def setUp(self) -> None:
        self.log, self.clock = UndeletableJobsLog(), ManualClock()
        submission = records.Submission(JOB, "team", QUEUE, JobSpec("payload", (STEP,)))
        value = records.encode_submission(submission)
        self.log.append(JOBS, [(records.SUBMISSION + JOB, value)], 1.0)
        done = records.TaskProgress((0, 1), {}, {}, 1)
        progress = records.Progress(True, "completed", {(0, 0): done})
        self.log.append(PROGRESS, [(records.JOB + JOB, records.encode_progress(progress))], 1.0)
        self.runner = TermRunner(
            1, True, make_dependencies(self.log, self.clock), lambda epoch: None
        )
        self.thread = threading.Thread(target=self.runner.serve, daemon=True)

    def serve(self, until: Callable[[], bool]) -> None:
        """Serves the term until a condition holds, while the clock runs fast."""
        self.thread.start()
        for _ in range(int(WAIT_S / 0.05)):
            if until():
                break
            self.clock.advance(0.25)
            threading.Event().wait(0.05)
        self.runner.give_up()
        self.thread.join(WAIT_S)
        self.assertTrue(until())

    # An owner deleted a job's progress before its submission: the next owner ran the job again.
    def test_submission_that_stays_keeps_its_progress(self) -> None:
        self.serve(self.log.refused.is_set)
        self.assertIn(records.SUBMISSION + JOB, self.log.keys(JOBS))
        self.assertIn(records.JOB + JOB, self.log.keys(PROGRESS))

    # A refused deletion was not repeated, so that the submission stayed for good.
    def test_refused_deletion_is_repeated_and_then_the_progress_goes(self) -> None:
        def accept_after_a_refusal() -> bool:
            self.log.accepts_deletions = self.log.refused.is_set()
            return records.JOB + JOB not in self.log.keys(PROGRESS)

        self.serve(accept_after_a_refusal)
        self.assertNotIn(records.SUBMISSION + JOB, self.log.keys(JOBS))


if __name__ == "__main__":
    unittest.main()
