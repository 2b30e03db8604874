"""Tasks that crash each target that starts them, and the tasks that run beside them."""

from __future__ import annotations

import unittest

from azurecleat_base import ManualClock, Resources
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.values import JobSpec, JobState, Step, TaskId

from tests.lib.cluster_simulation import QUEUE, Simulation
from tests.lib.simulated_targets import MAX_CRASHES, MAX_STARTS_AFTER_CRASHES
from tests.lib.term_harness import TermHarness, make_entry, submit, task

MAX_STARTS = MAX_CRASHES + MAX_STARTS_AFTER_CRASHES - 1
"""Most starts of a task that crashes each of its targets."""

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


class RepeatedCrashTest(unittest.TestCase):
    """One task that crashes each target that starts it, without a network."""

    # A task that crashed its targets was started again for ever: only reported ends were counted.
    def test_task_that_crashes_its_targets_is_given_up(self) -> None:
        clock, replica = ManualClock(), JobReplica()
        submit(replica, JobSpec("payload", (STEP,)))
        harness = TermHarness(clock, replica)
        for number in range(3 * MAX_STARTS):
            harness.term.on_target_entry(make_entry(f"t{number}"))
            harness.writer.commit()
            harness.report(f"t{number}")
        starts = 0
        while harness.dispatch() == [task(0)] and starts < 2 * MAX_STARTS:
            starts += 1
            session = next(each for each in harness.sessions if each.started)
            harness.answer_start(session)
            clock.advance(0.4)
            harness.authority.add_log_proof(clock.monotonic())
            harness.term.on_incarnations_ended(frozenset((session.target.id,)))
            session.started.clear()
            harness.writer.commit()
        self.assertLessEqual(starts, MAX_STARTS)
        self.assertIs(replica.state(task(0).job), JobState.FAILED)

    # Two crashes during an outage of the log were forgotten with the owner that had seen them.
    def test_suspected_task_waits_until_the_log_has_its_crash(self) -> None:
        clock, replica = ManualClock(), JobReplica()
        submit(replica, JobSpec("payload", (STEP,)))
        harness = TermHarness(clock, replica)
        for number in range(3):
            harness.term.on_target_entry(make_entry(f"t{number}"))
            harness.writer.commit()
            harness.report(f"t{number}")
        self.assertEqual(harness.dispatch(), [task(0)])
        session = next(each for each in harness.sessions if each.started)
        harness.answer_start(session)
        harness.term.on_incarnations_ended(frozenset((session.target.id,)))
        self.assertEqual(harness.dispatch(), [])
        harness.writer.commit()
        self.assertEqual(harness.dispatch(), [task(0)])

    # Each poll without an answer started one more run of a speculative task.
    def test_speculative_task_does_not_run_ahead_of_the_verdict_on_its_starts(self) -> None:
        clock, replica = ManualClock(), JobReplica()
        submit(replica, JobSpec("payload", (STEP._replace(speculative=True),)))
        harness = TermHarness(clock, replica)
        for number in range(2 * MAX_STARTS):
            harness.term.on_target_entry(make_entry(f"t{number}"))
            harness.writer.commit()
            harness.report(f"t{number}")
        starts = 0
        while harness.dispatch() == [task(0)] and starts < 2 * MAX_STARTS:
            starts += 1
            session = next(each for each in harness.sessions if each.started)
            harness.answer_start(session)
            session.started.clear()
            clock.advance(0.02)
            harness.term.on_poll_failed(session)
        self.assertLessEqual(starts, MAX_CRASHES)


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
