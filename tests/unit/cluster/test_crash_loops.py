"""Tasks that crash each target that starts them, and the tasks that run beside them."""

from __future__ import annotations

import unittest

from azurecleat_base import ManualClock, Resources
from azurecleat_base.exceptions import OutcomeUnknownError
from azurecleat_cluster._internal.owner.crashes import (
    COINCIDENCE_S,
    FIRST_PAUSE_S,
    LASTING_ISOLATION_S,
    MAX_CLEAR_WAIT_S,
    MAX_EXPOSURES,
    MIN_SURVIVAL_S,
    STABLE_S,
    STRICT_EXPOSURES,
    Suspicion,
    is_crash_loop,
    suspect_runs,
)
from azurecleat_cluster._internal.owner.model import Run
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster._internal.replica.records import Crash
from azurecleat_cluster.values import JobSpec, JobState, RunStatus, Step, TargetState, TaskId

from tests.lib.cluster_simulation import QUEUE, Simulation
from tests.lib.simulated_targets import MAX_CRASHES, MAX_STARTS_AFTER_CRASHES
from tests.lib.term_harness import (
    JOB,
    StandInSession,
    TermHarness,
    done,
    make_entry,
    running,
    submit,
    task,
)

MAX_STARTS = MAX_CRASHES + MAX_STARTS_AFTER_CRASHES - 1
"""Most starts of a task that crashes each of its targets."""

NOTICE_S = 0.4
"""Time from the crash of a target until the directory shows it."""

STEP = Step(count=1, need=Resources(1000, 1000, 0))
DEADLY, HARMLESS = "d", "a"
"""Last digit of the names of jobs in the simulation."""


def simulate(
    seed: int,
    answer_loss_rate: float = 0.0,
    changes_owner: bool = False,
    speculative: bool = False,
) -> Simulation:
    """Simulates 30 jobs, of which each sixth has a task that crashes its targets.

    :param speculative: Whether all tasks may have several runs.
    :param changes_owner: Two seconds apart, three other instances become the owner.
    """
    simulation = Simulation(seed, targets=8, max_task_s=0.8)
    simulation.has_directory = True
    simulation.answer_loss_rate = answer_loss_rate
    simulation.nodes[0].take_over()
    simulation.run(0.5)
    for number in range(30):
        is_deadly = number % 6 == 1
        name = f"{number:015x}{DEADLY if is_deadly else HARMLESS}"
        if is_deadly:
            simulation.deadly_tasks.add(TaskId(name, 0, 0, 0))
        simulation.submit(name, speculative=speculative)
        simulation.run(0.3)
        if changes_owner and number in (7, 14, 21):
            simulation.nodes[number // 7 % len(simulation.nodes)].take_over()
    simulation.heal()
    for _ in range(40):
        simulation.run(1.0)
        if all(simulation.is_settled(job) for job, _ in simulation.checker.expected_steps):
            break
    return simulation


def states(simulation: Simulation) -> dict[str, JobState]:
    """Returns the state of each job as the owner shows it."""
    replica = next(node.replica for node in simulation.nodes if node.term is not None)
    return {job: replica.state(job) for job, _ in simulation.checker.expected_steps}


def failed_by_itself(simulation: Simulation, job: str) -> bool:
    """Whether a task of a job has used up its attempts."""
    ends = simulation.checker.failed_ends
    return any(each.job == job and count >= QUEUE.attempts for each, count in ends.items())


def serve(spec: JobSpec, targets: int) -> TermHarness:
    """Returns an owner of one job and of some targets that it has reached."""
    clock, replica = ManualClock(), JobReplica()
    submit(replica, spec)
    harness = TermHarness(clock, replica)
    for number in range(targets):
        harness.term.on_target_entry(make_entry(f"t{number}"))
        harness.writer.commit()
        harness.report(f"t{number}")
    return harness


def answer_starts(harness: TermHarness) -> list[StandInSession]:
    """Answers all starts that were sent, and returns the sessions that sent them."""
    sessions = [each for each in harness.sessions if each.started]
    for session in sessions:
        while session.started:
            harness.answer_start(session)
            session.started.pop(0)
    return sessions


def crash(harness: TermHarness, *sessions: StandInSession) -> None:
    """Lets targets vanish from the directory, and the log take the records."""
    harness.clock.advance(NOTICE_S)
    harness.authority.add_log_proof(harness.clock.monotonic())
    harness.term.on_incarnations_ended(frozenset(each.target.id for each in sessions))
    harness.writer.commit()


def report_all(harness: TermHarness) -> None:
    """Lets every target report its runs, some time after their start."""
    harness.clock.advance(2 * MIN_SURVIVAL_S)
    for name, session in list(harness.term.sessions.items()):
        runs = session.target.runs.values()
        harness.report(name, running=[running(run.task, run.number) for run in runs])


class RepeatedCrashTest(unittest.TestCase):
    """Tasks that crash each target that starts them, without a network."""

    # A task that crashed its targets was started again for ever: only reported ends were counted.
    def test_task_that_crashes_its_targets_is_given_up(self) -> None:
        harness = serve(JobSpec("payload", (STEP,)), 3 * MAX_STARTS)
        starts = 0
        while harness.dispatch() == [task(0)] and starts < 2 * MAX_STARTS:
            starts += 1
            crash(harness, *answer_starts(harness))
        self.assertLessEqual(starts, MAX_STARTS)
        self.assertIs(harness.replica.state(JOB), JobState.FAILED)

    # All tasks of a gang start at the same time, so that a crash has many suspects.
    def test_gang_with_a_deadly_task_is_given_up(self) -> None:
        harness = serve(JobSpec("payload", (STEP._replace(count=3, gang=True),)), 3 * MAX_STARTS)
        starts = 0
        while len(harness.dispatch()) == 3 and starts < 2 * MAX_STARTS:
            starts += 1
            crash(harness, *answer_starts(harness))
        self.assertLessEqual(starts, MAX_STARTS)
        self.assertIs(harness.replica.state(JOB), JobState.FAILED)

    # A task that crashed its targets only after a report had shown it hid behind what was being
    # started there: these runs were suspected each time, and it never was.
    def test_task_that_crashes_its_targets_late_is_given_up(self) -> None:
        harness = serve(JobSpec("payload", (STEP,)), 3 * MAX_STARTS)
        starts = 0
        while task(0) in harness.dispatch() and starts < 2 * MAX_STARTS:
            starts += 1
            target = harness.term.jobs[JOB].steps[0, 0].active[0].target
            answer_starts(harness)
            report_all(harness)
            name = f"{starts:016x}"
            submit(harness.replica, JobSpec("payload", (STEP,)), name)
            harness.term.on_job_record(f"s/{name}")
            if target.free.cpu_milli > 0:
                step = harness.term.jobs[name].steps[0, 0]
                harness.term.send_start(harness.term.allocate_run(step, 0, target, 1))
            answer_starts(harness)
            crash(harness, harness.session(target.id))
        self.assertLessEqual(starts, MAX_STARTS)
        self.assertIs(harness.replica.state(JOB), JobState.FAILED)

    # Two crashes during an outage of the log were forgotten with the owner that had seen them.
    def test_suspected_task_waits_until_the_log_has_its_crash(self) -> None:
        harness = serve(JobSpec("payload", (STEP,)), 3)
        self.assertEqual(harness.dispatch(), [task(0)])
        (session,) = answer_starts(harness)
        harness.term.on_incarnations_ended(frozenset((session.target.id,)))
        self.assertEqual(harness.dispatch(), [])
        harness.writer.commit()
        self.assertEqual(harness.dispatch(), [task(0)])

    # The next owner counts the crashes that the log holds.
    def test_next_owner_goes_on_counting(self) -> None:
        harness = serve(JobSpec("payload", (STEP,)), 2)
        harness.dispatch()
        crash(harness, *answer_starts(harness))
        (left,) = harness.term.sessions
        harness = TermHarness(harness.clock, harness.replica, 2)
        harness.term.on_target_entry(make_entry(left))
        harness.writer.commit()
        harness.report(left)
        self.assertEqual(harness.dispatch(), [task(0)])
        crash(harness, *answer_starts(harness))
        self.assertIs(harness.replica.state(JOB), JobState.FAILED)

    # Each poll without an answer started one more run of a speculative task.
    def test_speculative_task_does_not_run_ahead_of_the_verdict_on_its_starts(self) -> None:
        harness = serve(JobSpec("payload", (STEP._replace(speculative=True),)), 2 * MAX_STARTS)
        starts = 0
        while harness.dispatch() == [task(0)] and starts < 2 * MAX_STARTS:
            starts += 1
            (session,) = answer_starts(harness)
            harness.clock.advance(0.02)
            harness.term.on_poll_failed(session)
        self.assertLessEqual(starts, MAX_CRASHES)


class ContainmentTest(unittest.TestCase):
    """Lasting tasks that crash the targets that start them, or that run where targets crash.

    The users' rules set no limit to the starts of a lasting task, and a job may be shown as failed
    only after runs that ended as failed.
    """

    WATCH_S = 30.0
    MAX_AWAY_S = 3.0
    """Longest time from the crash of a target until its lasting task has been started again."""
    MAX_CRASHES_IN_5_S = 5
    MAX_CRASHES_PER_S = 0.45

    def play(
        self, step: Step, delay_s: float, is_log_down: bool = False, targets: int = 8
    ) -> TermHarness:
        """Lets the first task of a step crash each of its targets, some time after its start.

        The targets start again on the same machine. Other tasks are at work on up to four of them.
        """
        harness = serve(JobSpec("payload", (step,)), targets)
        self.incarnations = 0
        self.crashed_at: list[float] = []
        self.started_at: list[float] = []
        self.lost_beside: list[int] = []
        """Number of other tasks that each crash took along."""
        harness.dispatch()
        bystander = JobSpec(
            "payload", (STEP._replace(count=4, max_per_target=1, long_running=True),)
        )
        submit(harness.replica, bystander, "b" * 16, offset=1)
        harness.term.on_job_record("s/" + "b" * 16)
        harness.dispatch()
        answer_starts(harness)
        self.started_at.append(harness.clock.monotonic())
        until, report_at = harness.clock.monotonic() + self.WATCH_S, 0.0
        while harness.clock.monotonic() < until:
            harness.clock.advance(0.05)
            now = harness.clock.monotonic()
            harness.authority.add_log_proof(now)
            if task(0) in harness.dispatch():
                self.started_at.append(now)
                self.check_isolation(harness)
            answer_starts(harness)
            if not is_log_down:
                harness.writer.commit()
            if now >= report_at:
                report_at = now + 0.5
                self.report_all(harness)
            run = harness.term.jobs[JOB].steps[0, 0].active.get(0)
            if run is not None and now - self.started_at[-1] >= delay_s:
                self.crash(harness, run)
        return harness

    def report_all(self, harness: TermHarness) -> None:
        for name, session in list(harness.term.sessions.items()):
            runs = session.target.runs.values()
            statuses = [RunStatus(run.task, run.number, "", 100.0, 0.0) for run in runs]
            number = session.target.entry.started_at_ms
            harness.report(name, running=statuses, started_at_ms=number)

    def check_isolation(self, harness: TermHarness) -> None:
        step = harness.term.jobs[JOB].steps[0, 0]
        if not step.spec.gang and len(self.crashed_at) >= STRICT_EXPOSURES:
            self.assertTrue(step.active[0].target.is_isolated)

    def crash(self, harness: TermHarness, run: Run) -> None:
        """Lets the target of a run crash and start again."""
        target, self.incarnations = run.target, self.incarnations + 1
        self.crashed_at.append(harness.clock.monotonic())
        self.lost_beside.append(sum(each.task.job != JOB for each in target.runs.values()))
        harness.clock.advance(NOTICE_S)
        harness.authority.add_log_proof(harness.clock.monotonic())
        harness.term.on_incarnations_ended(frozenset((target.id,)))
        name, number = f"i{self.incarnations}", self.incarnations + 1
        harness.term.on_target_entry(make_entry(name, number, target.entry.address))
        harness.report(name, started_at_ms=number)

    def check(self, harness: TermHarness) -> None:
        self.assertIsNot(harness.replica.state(JOB), JobState.FAILED)
        crashes = len(self.crashed_at)
        self.assertGreater(crashes, 5)
        self.assertLessEqual(crashes, self.MAX_CRASHES_PER_S * self.WATCH_S + 3)
        began_at = self.crashed_at[0]
        self.assertLessEqual(
            sum(at - began_at < 5.0 for at in self.crashed_at), self.MAX_CRASHES_IN_5_S
        )
        away_s = [
            started - crashed
            for crashed, started in zip(self.crashed_at, self.started_at[1:], strict=False)
        ]
        self.assertLessEqual(max(away_s), self.MAX_AWAY_S)

    # A job that lasts was failed for good after two crashes (review case 2); restarts without a
    # pause would crash target after target.
    def test_lasting_task_that_crashes_its_targets_is_contained(self) -> None:
        for delay_s in (0.0, 0.3, 2.0):
            with self.subTest(delay_s=delay_s):
                harness = self.play(STEP._replace(long_running=True), delay_s)
                self.check(harness)
                self.assertEqual(sum(self.lost_beside[STRICT_EXPOSURES:]), 0)
                step = harness.term.jobs[JOB].steps[0, 0]
                kept = [each.run for each in step.crash_history.progress()[0]]
                self.assertEqual(kept, list(range(kept[0], kept[0] + MAX_EXPOSURES)))
                self.assertGreaterEqual(kept[-1], step.last_run - 1)

    def test_lasting_task_starts_again_while_the_log_is_down(self) -> None:
        self.check(self.play(STEP._replace(long_running=True), 0.3, is_log_down=True))

    def test_lasting_gang_that_crashes_its_targets_is_contained(self) -> None:
        self.check(self.play(STEP._replace(long_running=True, gang=True, count=2), 0.3))

    # A job was shown as failed after four crashes of the only target that it could run on, with no
    # end `failed`. Crashes of one machine don't show that the task is why.
    def test_task_whose_only_target_goes_on_crashing_is_not_given_up(self) -> None:
        for delay_s in (0.0, 0.3, 2.0):
            with self.subTest(delay_s=delay_s):
                harness = self.play(STEP, delay_s, targets=1)
                self.check(harness)
                step = harness.term.jobs[JOB].steps[0, 0]
                self.assertLessEqual(len(step.crash_history.of(0)), MAX_EXPOSURES)
                if 0 not in step.active:
                    harness.clock.advance(self.MAX_AWAY_S)
                    harness.authority.add_log_proof(harness.clock.monotonic())
                    harness.writer.commit()
                    self.report_all(harness)
                    harness.dispatch()
                run = step.active[0]
                number = run.target.entry.started_at_ms
                harness.report(run.target.id, (), [done(1, task(0), run.number)], number)
                self.assertEqual(harness.term.jobs[JOB].outcome, JobState.COMPLETED.value)

    # A target that a contained task has to itself may be the only one that others can run on.
    def test_target_of_a_contained_task_is_open_to_others_after_a_while(self) -> None:
        harness = serve(JobSpec("payload", (STEP._replace(long_running=True),)), 1)
        history = harness.term.jobs[JOB].steps[0, 0].crash_history
        for number in range(STRICT_EXPOSURES):
            history.add(0, Crash(number, "a", True, True), harness.clock.monotonic())
        history.suspects.add(0)
        harness.dispatch()
        (session,) = answer_starts(harness)
        report_all(harness)
        self.assertTrue(session.target.is_isolated)
        harness.clock.advance(LASTING_ISOLATION_S)
        report_all(harness)
        self.assertFalse(session.target.is_isolated)
        self.assertEqual(history.suspects, {0})

    # Two crashes of targets under one task stopped all tasks of a service (review case 2).
    def test_service_goes_on_when_two_targets_of_one_task_crash(self) -> None:
        step = STEP._replace(count=4, max_per_target=1, long_running=True)
        harness = serve(JobSpec("payload", (step,)), 6)
        self.assertEqual(len(harness.dispatch()), 4)
        answer_starts(harness)
        report_all(harness)
        service = harness.term.jobs[JOB].steps[0, 0]
        crash(harness, harness.session(service.active[0].target.id))
        self.assertEqual(harness.dispatch(), [task(0)])
        answer_starts(harness)
        harness.clock.advance(COINCIDENCE_S)
        crash(harness, harness.session(service.active[0].target.id))
        self.assertEqual([each for s in harness.sessions for each in s.stopped], [])
        harness.clock.advance(FIRST_PAUSE_S)
        harness.authority.add_log_proof(harness.clock.monotonic())
        self.assertEqual(harness.dispatch(), [task(0)])
        self.assertIsNot(harness.replica.state(JOB), JobState.FAILED)

    # The next owner does not know when the last target crashed; the pause must not begin anew.
    def test_next_owner_starts_a_contained_task_isolated_and_at_once(self) -> None:
        harness = self.play(STEP._replace(long_running=True), 0.3)
        left = list(harness.term.sessions)
        harness = TermHarness(harness.clock, harness.replica, 2)
        for name in left:
            number = int(name[1:]) + 1 if name.startswith("i") else 1
            harness.term.on_target_entry(make_entry(name, number))
            harness.writer.commit()
            harness.report(name, started_at_ms=number)
        self.assertIn(task(0), harness.dispatch())
        self.assertTrue(harness.term.jobs[JOB].steps[0, 0].active[0].target.is_isolated)


class BystanderTest(unittest.TestCase):
    """Tasks that run on a target that crashes, without having caused it."""

    # A job that could be done was given up because its tasks ran beside a deadly one.
    def test_tasks_that_have_survived_their_start_are_not_suspected(self) -> None:
        harness = serve(JobSpec("payload", (STEP,)), 3 * MAX_STARTS)
        for _ in range(STRICT_EXPOSURES):
            self.assertEqual(harness.dispatch(), [task(0)])
            (session,) = answer_starts(harness)
            report_all(harness)
            submit(harness.replica, JobSpec("payload", (STEP,)), "f" * 16)
            harness.term.on_job_record("s/" + "f" * 16)
            self.place_beside(harness, session)
            self.assertEqual(harness.term.jobs[JOB].steps[0, 0].crash_history.suspects, set())
            crash(harness, session)
            self.drop_job(harness, "f" * 16)
        self.assertNotEqual(harness.replica.state(JOB), JobState.FAILED)

    # Crashes that lie behind a task which has been at work since do not count.
    def test_task_that_was_at_work_starts_with_a_clean_record(self) -> None:
        harness = serve(JobSpec("payload", (STEP._replace(count=2),)), 3)
        harness.dispatch()
        crash(harness, *answer_starts(harness))
        harness.dispatch()
        answer_starts(harness)
        report_all(harness)
        harness.clock.advance(STABLE_S)
        harness.authority.add_log_proof(harness.clock.monotonic())
        report_all(harness)
        self.assertEqual(set(harness.term.jobs[JOB].steps[0, 0].crash_history.tasks), {1})

    def place_beside(self, harness: TermHarness, session: StandInSession) -> None:
        """Starts the newest job's task on a session's target."""
        step = harness.term.jobs["f" * 16].steps[0, 0]
        run = harness.term.allocate_run(step, 0, session.target, step.last_run + 1)
        harness.term.send_start(run)
        answer_starts(harness)

    def drop_job(self, harness: TermHarness, job: str) -> None:
        harness.term.jobs.pop(job)
        harness.term.open_jobs.pop(job, None)

    # A target that left as announced, or was only out of reach, counted as crashed.
    def test_leaving_and_silent_targets_are_held_against_nobody(self) -> None:
        harness = serve(JobSpec("payload", (STEP,)), 3 * MAX_STARTS)
        for number in range(2 * MAX_STARTS):
            self.assertEqual(harness.dispatch(), [task(0)])
            (session,) = answer_starts(harness)
            if number % 3 == 0:
                draining = session.target.entry._replace(state=TargetState.DRAINING)
                harness.term.on_target_entry(draining)
                crash(harness, session)
            else:
                if number % 3 == 1:
                    harness.term.on_entry_removed(session.target.id)
                harness.clock.advance(20.0)
                harness.authority.add_log_proof(harness.clock.monotonic())
                error = OutcomeUnknownError("silent", step="hold")
                harness.term.on_unresponsive(session, error)
                harness.writer.commit()
        self.assertEqual(harness.term.jobs[JOB].steps[0, 0].crash_history.progress(), {})

    # Many targets that failed at the same time made a task look deadly that had just been started.
    def test_crashes_at_the_same_time_as_unexplained_ones_need_more_evidence(self) -> None:
        harness = serve(JobSpec("payload", (STEP,)), 5)
        for _ in range(2):
            self.assertEqual(harness.dispatch(), [task(0)])
            (session,) = answer_starts(harness)
            idle = next(s for s in harness.term.sessions.values() if not s.target.runs)
            crash(harness, session, idle)
        self.assertEqual(harness.dispatch(), [task(0)])
        harness.clock.advance(COINCIDENCE_S)
        crash(harness, *answer_starts(harness))
        self.assertIs(harness.replica.state(JOB), JobState.FAILED)

    # After a takeover, entries of targets that had ended before cast doubt on each crash.
    def test_target_that_was_never_reached_counts_as_no_crash(self) -> None:
        harness = serve(JobSpec("payload", (STEP,)), 3)
        harness.term.on_target_entry(make_entry("ended"))
        for _ in range(2):
            self.assertEqual(harness.dispatch(), [task(0)])
            (session,) = answer_starts(harness)
            ended = harness.term.sessions.get("ended")
            crash(harness, session, *([ended] if ended else []))
            harness.term.on_target_entry(make_entry("ended"))
        self.assertIs(harness.replica.state(JOB), JobState.FAILED)

    # Suspected tasks and their neighbours waited for each other on full targets.
    def test_isolated_target_accepts_others_once_the_task_has_survived(self) -> None:
        harness = serve(JobSpec("payload", (STEP._replace(count=4),)), 2)
        self.assertEqual(len(harness.dispatch()), 4)
        crash(harness, *answer_starts(harness))
        self.assertEqual(harness.dispatch(), [task(0)])
        submit(harness.replica, JobSpec("payload", (STEP,)), "e" * 16)
        harness.term.on_job_record("s/" + "e" * 16)
        self.assertEqual(harness.dispatch(), [])
        harness.term.on_job_record("c/" + "e" * 16)
        for index in (1, 2, 3):
            answer_starts(harness)
            report_all(harness)
            self.assertEqual(harness.dispatch(), [task(index)])

    # A task stayed suspected after it had shown that its start crashes nothing.
    def test_task_that_survives_its_start_is_not_suspected_any_more(self) -> None:
        harness = serve(JobSpec("payload", (STEP._replace(count=2),)), 2)
        self.assertEqual(len(harness.dispatch()), 2)
        crash(harness, *answer_starts(harness))
        step = harness.term.jobs[JOB].steps[0, 0]
        self.assertEqual(step.crash_history.suspects, {0, 1})
        self.assertEqual(harness.dispatch(), [task(0)])
        answer_starts(harness)
        report_all(harness)
        self.assertEqual(step.crash_history.suspects, {1})

    def test_suspected_task_does_not_wait_for_a_quiet_target_for_ever(self) -> None:
        harness = serve(JobSpec("payload", (STEP._replace(count=2),)), 2)
        self.assertEqual(len(harness.dispatch()), 2)
        crash(harness, *answer_starts(harness))
        submit(harness.replica, JobSpec("payload", (STEP,)), "e" * 16)
        harness.term.on_job_record("s/" + "e" * 16)
        step = harness.term.jobs["e" * 16].steps[0, 0]
        (session,) = harness.term.sessions.values()
        harness.term.allocate_run(step, 0, session.target, 1)
        self.assertEqual(harness.dispatch(), [])
        harness.clock.advance(MAX_CLEAR_WAIT_S)
        harness.authority.add_log_proof(harness.clock.monotonic())
        self.assertEqual(harness.dispatch(), [task(0)])

    # Targets of which one has a suspect were judged in any order, so that it depended on chance
    # whether the others cast doubt on that crash.
    def test_crashes_without_a_suspect_are_judged_first(self) -> None:
        harness = serve(JobSpec("payload", (STEP,)), 4)
        harness.dispatch()
        crash(harness, *answer_starts(harness))
        harness.dispatch()
        (session,) = answer_starts(harness)
        idle = next(s for s in harness.term.sessions.values() if not s.target.runs)
        crash(harness, session, idle)
        self.assertIsNot(harness.replica.state(JOB), JobState.FAILED)

    # A target was taken as silent until its lease was over; only its next incarnation shows that it
    # had crashed.
    def test_crash_that_shows_after_the_lease_is_counted(self) -> None:
        harness = serve(JobSpec("payload", (STEP,)), 1)
        harness.dispatch()
        (session,) = answer_starts(harness)
        harness.clock.advance(20.0)
        harness.authority.add_log_proof(harness.clock.monotonic())
        harness.term.on_unresponsive(session, OutcomeUnknownError("silent", step="hold"))
        history = harness.term.jobs[JOB].steps[0, 0].crash_history
        self.assertEqual(history.progress(), {})
        harness.term.on_target_entry(make_entry("t9", 2, session.target.entry.address))
        self.assertEqual(len(history.of(0)), 1)

    # What was released while a target was out of reach had ended long before it crashed.
    def test_target_that_answers_again_has_not_crashed_under_its_lapsed_runs(self) -> None:
        harness = serve(JobSpec("payload", (STEP,)), 1)
        harness.dispatch()
        (session,) = answer_starts(harness)
        harness.clock.advance(20.0)
        harness.authority.add_log_proof(harness.clock.monotonic())
        harness.term.on_unresponsive(session, OutcomeUnknownError("silent", step="hold"))
        harness.report("t0")
        crash(harness, session)
        self.assertEqual(harness.term.jobs[JOB].steps[0, 0].crash_history.progress(), {})

    # A suspected task went to the machine that it had crashed, as nothing ran there.
    def test_machine_that_crashed_under_a_task_is_its_last_choice(self) -> None:
        harness = serve(JobSpec("payload", (STEP,)), 2)
        harness.dispatch()
        (session,) = answer_starts(harness)
        crash(harness, session)
        (other,) = harness.term.sessions.values()
        submit(harness.replica, JobSpec("payload", (STEP,)), "f" * 16)
        harness.term.on_job_record("s/" + "f" * 16)
        self.place_beside(harness, other)
        report_all(harness)
        entry = make_entry("t9", 2, session.target.entry.address)
        harness.term.on_target_entry(entry)
        harness.writer.commit()
        harness.report("t9", started_at_ms=2)
        self.assertEqual(harness.dispatch(), [task(0)])
        self.assertEqual(harness.term.jobs[JOB].steps[0, 0].active[0].target, other.target)

    # A task that crashes its targets late was let among others once a report had shown it.
    def test_task_stays_isolated_after_several_crashes(self) -> None:
        harness = serve(JobSpec("payload", (STEP,)), 3 * MAX_STARTS)
        history = harness.term.jobs[JOB].steps[0, 0].crash_history
        for number in range(STRICT_EXPOSURES):
            history.add(0, Crash(number, "a", True, False), harness.clock.monotonic())
        history.suspects.add(0)
        harness.dispatch()
        (session,) = answer_starts(harness)
        report_all(harness)
        self.assertTrue(session.target.is_isolated)
        self.assertEqual(history.suspects, {0})


class EvidenceTest(unittest.TestCase):
    """What counts as evidence against a run, and how much of it is enough."""

    def make_runs(self) -> tuple[Run, Run, Run]:
        """Returns a run that has survived its start, one that has begun, one without an answer."""
        harness = serve(JobSpec("payload", (STEP._replace(count=3),)), 1)
        harness.dispatch()
        (session,) = harness.term.sessions.values()
        survived, begun, unanswered = session.target.runs.values()
        survived.began_at = begun.began_at = 1.0
        survived.has_survived_start = True
        return survived, begun, unanswered

    def test_only_runs_being_started_are_suspected(self) -> None:
        survived, begun, unanswered = self.make_runs()
        suspicion = suspect_runs((survived, begun, unanswered), None)
        self.assertEqual(suspicion, Suspicion(frozenset((begun, unanswered)), begun))
        self.assertIsNone(suspect_runs((survived,), None).only)
        self.assertEqual(suspect_runs((survived,), None).runs, {survived})
        self.assertIs(suspect_runs((survived, unanswered), None).only, unanswered)

    def test_run_for_which_the_target_is_isolated_is_the_only_suspect(self) -> None:
        survived, begun, unanswered = self.make_runs()
        suspicion = suspect_runs((survived, begun, unanswered), survived)
        self.assertEqual(suspicion, Suspicion(frozenset((survived,)), survived))

    def check(self, expected: bool, *crashes: tuple, is_clear: bool = False) -> None:
        found = {Crash(number, *crash) for number, crash in enumerate(crashes)}
        self.assertIs(is_crash_loop(found, is_clear), expected, crashes)

    def test_two_clear_crashes_of_different_machines_are_enough(self) -> None:
        first, same, second = ("a", True, True), ("a", True, True), ("b", True, True)
        self.check(True, first, second, is_clear=True)
        self.check(False, first, second)
        self.check(False, first, same, is_clear=True)
        self.check(False, first, ("b", False, True), is_clear=True)
        self.check(False, first, ("b", True, False), is_clear=True)

    def test_four_suspected_crashes_are_enough_if_two_runs_have_begun(self) -> None:
        begun, unanswered = ("a", True, True), ("a", False, True)
        self.check(True, begun, begun, unanswered, unanswered)
        self.check(False, begun, unanswered, unanswered, unanswered)
        self.check(False, begun, begun, begun)

    def test_five_crashes_are_enough_whatever_the_evidence(self) -> None:
        beside = ("a", True, False)
        self.check(False, *[beside] * 4)
        self.check(True, *[beside] * 5)
        self.check(True, *[("a", False, False)] * 5)

    def test_strict_isolation_makes_earlier_crashes_count(self) -> None:
        beside = ("a", True, False)
        self.check(True, beside, beside, ("b", True, True), is_clear=True)
        self.check(False, beside, ("b", True, True), is_clear=True)
        self.check(False, beside, beside, ("b", True, True))


class CrashLoopSimulationTest(unittest.TestCase):
    """Owners, targets and a directory; each sixth job has a task that crashes its targets."""

    def check(self, simulation: Simulation) -> None:
        self.assertEqual(simulation.checker.violations, [])
        for job, state in states(simulation).items():
            is_deadly = job.endswith(DEADLY)
            expected = is_deadly or failed_by_itself(simulation, job)
            self.assertIs(state, JobState.FAILED if expected else JobState.COMPLETED, job)

    # Deadly tasks went from target to target, and took the other tasks there with them.
    def test_deadly_tasks_are_given_up_and_all_others_end(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                self.check(simulate(seed))

    # The answer to a start is lost with the target that the task crashes.
    def test_deadly_tasks_are_given_up_if_answers_get_lost(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                self.check(simulate(seed, answer_loss_rate=0.2))

    def test_speculative_deadly_tasks_are_given_up(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                self.check(simulate(seed, speculative=True))

    # The crashes that a previous owner saw must not be forgotten.
    def test_deadly_tasks_are_given_up_across_owners(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                self.check(simulate(seed, changes_owner=True))


if __name__ == "__main__":
    unittest.main()
