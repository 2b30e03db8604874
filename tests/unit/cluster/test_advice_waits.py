"""How long steps wait for advice while the service is busy or few targets are allowed."""

from __future__ import annotations

import unittest
from collections.abc import Callable, Iterable
from unittest import mock

from azurecleat_base import Resources
from azurecleat_cluster._internal.owner import advice_requests, placement
from azurecleat_cluster._internal.owner.advice_requester import MAX_EXAMINED_TARGETS
from azurecleat_cluster._internal.owner.model import Run, StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.start_attempts import StartOutcome
from azurecleat_cluster.ports import StartResult
from azurecleat_cluster.values import AdviceTerms, JobSpec, Queue, Step, Team

from tests.lib.pool_simulation import ADVICE_WORKERS, TICK_S, Arrival, PoolSimulation
from tests.lib.term_harness import QUEUE, TEAM, make_entry

MAX_WAIT_S = 3.0
"""Longest time for which the users' rules let a task wait that could run."""

TERMS = AdviceTerms(700.0, 6.0, 2_000.0)
URGENT = QUEUE._replace(name="urgent", priority=0, advice=TERMS)
STANDING = QUEUE._replace(name="standing", priority=1, advice=TERMS)
WIDE = QUEUE._replace(name="wide", priority=2, advice=TERMS)
ONE_CORE = Resources(1_000, 64, 0)
LASTING = Step(count=1, need=ONE_CORE, estimate_ms=1_000_000, long_running=True)
SHORT = Step(count=1, need=ONE_CORE, estimate_ms=500)
ONE_TASK_TEAM = Team("small", frozenset(("small",)), 10.0, limit=ONE_CORE)
WHOLE_TARGET = Step(count=1, need=Resources(64_000, 64, 0), estimate_ms=1_000_000)


class Simulation(PoolSimulation):
    """A pool whose lasting tasks fail on demand."""

    def __init__(self, targets: int, is_allowed: Callable[[StepInfo, str], bool]) -> None:
        self._is_allowed = is_allowed
        entries = [make_entry(f"t{number}") for number in range(targets)]
        super().__init__(
            entries,
            1.0,
            seed=1,
            fails=lambda run: run.step.spec.long_running,
            teams=(TEAM, ONE_TASK_TEAM),
            queues=(URGENT, STANDING, WIDE),
        )

    def is_allowed(self, step: StepInfo, target: str) -> bool:
        return self._is_allowed(step, target)

    def wait(self, seconds: float) -> None:
        self.play((), self.now + seconds)

    def add(self, name: str, queue: Queue, step: Step, team: str = "team") -> None:
        arrival = Arrival(self.now, queue, JobSpec("", (step,)), team)
        self.submit(name.ljust(16, "0"), arrival)

    def runs(self, name: str) -> list[Run]:
        return [
            run
            for session in self.harness.term.sessions.values()
            for run in session.target.runs.values()
            if run.task.job == name.ljust(16, "0")
        ]

    def step(self, name: str) -> StepInfo:
        return self.harness.term.jobs[name.ljust(16, "0")].steps[0, 0]

    def target(self, name: str) -> TargetInfo:
        return self.harness.session(name).target

    def fail(self, name: str) -> None:
        """Lets the only run of a job end as failed."""
        run = self.runs(name)[0]
        self._running[run.target.id][run] = self.clock.monotonic()

    def seconds_until_run(self, name: str, limit_s: float) -> float:
        """Lets time pass until a job has a run, at most ``limit_s``; returns how long it took."""
        began_at = self.now
        self.wait(2 * 0.025)
        while not self.runs(name) and self.now - began_at < limit_s:
            self.wait(0.025)
        return self.now - began_at


class SuspectTargetTest(unittest.TestCase):
    """A task that lasts, and the only target on which the advice allows it."""

    def setUp(self) -> None:
        self.simulation = Simulation(8, lambda step, target: target == "t0")
        self.simulation.add("lasts", STANDING, LASTING)
        self.simulation.wait(3.0)
        self.assertEqual(len(self.simulation.runs("lasts")), 1)

    def make_suspect(self) -> None:
        health = self.simulation.harness.term.health
        target = self.simulation.target("t0")
        self.assertTrue(health._suspect(target, "slow", self.simulation.clock.monotonic()))

    # LOST of issue 43: the only allowed target was kept back for 4 s as suspect, and the ticket
    # was requested only after that.
    def test_task_runs_again_in_time_if_its_only_allowed_target_is_suspect(self) -> None:
        self.make_suspect()
        self.simulation.fail("lasts")
        self.assertLess(self.simulation.seconds_until_run("lasts", 10.0), MAX_WAIT_S)

    def test_task_runs_again_in_time_beside_a_run_on_probation(self) -> None:
        self.make_suspect()
        self.simulation.add("other", STANDING, LASTING)
        self.assertLess(self.simulation.seconds_until_run("other", 10.0), MAX_WAIT_S)
        self.simulation.fail("lasts")
        self.assertLess(self.simulation.seconds_until_run("lasts", 10.0), MAX_WAIT_S)

    # Isolated starts left out the targets that are kept back, so that the wait was 4 s and more.
    def test_task_that_may_crash_its_target_runs_again_in_time_as_well(self) -> None:
        self.make_suspect()
        self.simulation.step("lasts").crash_history.suspects.add(0)
        self.simulation.fail("lasts")
        self.assertLess(self.simulation.seconds_until_run("lasts", 10.0), MAX_WAIT_S)
        self.assertTrue(self.simulation.target("t0").is_isolated)

    def test_suspect_target_gets_one_task_at_a_time_as_a_last_resort(self) -> None:
        self.make_suspect()
        for number in range(5):
            self.simulation.add(f"more{number}", STANDING, LASTING)
        self.simulation.wait(MAX_WAIT_S)
        self.assertEqual(sum(len(self.simulation.runs(f"more{n}")) for n in range(5)), 1)

    def test_task_that_may_fail_starts_on_a_suspect_target_of_an_idle_pool(self) -> None:
        self.make_suspect()
        self.simulation.add("short", WIDE, SHORT)
        self.assertLess(self.simulation.seconds_until_run("short", 10.0), MAX_WAIT_S)

    def test_last_attempt_of_a_task_is_not_made_on_a_suspect_target(self) -> None:
        self.make_suspect()
        once = WIDE._replace(name="once", attempts=1)
        self.simulation.add("once", once, SHORT)
        self.simulation.wait(MAX_WAIT_S)
        self.assertEqual(self.simulation.runs("once"), [])

    def test_task_that_may_fail_does_not_start_on_a_suspect_target_of_a_busy_pool(self) -> None:
        for number in range(5):
            self.simulation.add(f"full{number}", QUEUE, WHOLE_TARGET)
        self.simulation.wait(1.0)
        self.make_suspect()
        self.simulation.add("short", WIDE, SHORT)
        self.assertGreater(self.simulation.seconds_until_run("short", 10.0), MAX_WAIT_S)

    # In a play, 14 tasks were started in 4 s on a target that was suspect, up to 6 at a time.
    def test_runs_of_before_the_suspicion_that_are_done_do_not_end_the_probation(self) -> None:
        for number in range(5):
            old = SHORT._replace(estimate_ms=3_000 + 400 * number)
            self.simulation.add(f"old{number}", WIDE, old)
        self.simulation.wait(2.0)
        self.make_suspect()
        for number in range(5):
            self.simulation.add(f"more{number}", STANDING, LASTING)
        self.simulation.wait(MAX_WAIT_S)
        self.assertEqual(sum(len(self.simulation.runs(f"more{n}")) for n in range(5)), 1)

    # A target that stays slow was made suspect anew every 0.2 s, each time with one more task.
    def test_target_that_stays_suspect_gets_one_task_at_a_time(self) -> None:
        for number in range(10):
            self.simulation.add(f"more{number}", STANDING, LASTING)
        for _ in range(14):
            self.make_suspect()
            self.simulation.wait(0.2)
        self.assertLessEqual(sum(len(self.simulation.runs(f"more{n}")) for n in range(10)), 2)

    def refuse_starts(self, reason: str, seconds: float) -> int:
        """Lets the target refuse all starts for a while; returns how many there were."""
        term, session = self.simulation.harness.term, self.simulation.harness.session("t0")
        first = len(session.started)
        ends_at = self.simulation.now + seconds
        while self.simulation.now < ends_at:
            count = len(session.started)
            self.simulation.wait(TICK_S)
            for run in session.started[count:]:
                del self.simulation._running["t0"][run]
                term.on_start(run, StartOutcome(StartResult(False, reason, 0.0), may_run=False))
        return len(session.started) - first

    # A sound target that had no room was put on probation.
    def test_target_without_room_is_no_last_resort(self) -> None:
        for number in range(20):
            self.simulation.add(f"more{number}", STANDING, LASTING)
        self.refuse_starts("room", 3.0)
        self.assertFalse(self.simulation.target("t0").on_probation)

    # Each of many overdue steps sent its start as soon as that of the one before was refused.
    def test_unhealthy_target_is_not_sent_a_start_in_each_round(self) -> None:
        self.make_suspect()
        for number in range(20):
            self.simulation.add(f"more{number}", STANDING, LASTING)
        self.assertLessEqual(self.refuse_starts("unhealthy", 4.0), 4)

    def test_run_that_is_done_ends_the_suspicion(self) -> None:
        self.make_suspect()
        self.simulation.add("short", WIDE, SHORT)
        self.simulation.wait(MAX_WAIT_S)
        self.assertFalse(self.simulation.runs("short"))
        now = self.simulation.clock.monotonic()
        self.assertLess(self.simulation.target("t0").suspect_until, now)


class LastResortTest(unittest.TestCase):
    """Steps that have waited for long, and several suspect targets."""

    def make_suspect(self, simulation: Simulation, names: Iterable[str]) -> None:
        now = simulation.clock.monotonic()
        for name in names:
            simulation.target(name).suspect_until = now + 10.0
            simulation.target(name).begin_probation(now)

    # A task went back to the target on which it had failed, though others could take it.
    def test_last_resort_is_no_target_that_the_task_avoids(self) -> None:
        simulation = Simulation(4, lambda step, target: True)
        simulation.add("lasts", STANDING, LASTING)
        simulation.wait(3.0)
        simulation.step("lasts").avoided[0] = {"t0"}
        self.make_suspect(simulation, ("t0", "t1", "t2", "t3"))
        simulation.fail("lasts")
        simulation.wait(MAX_WAIT_S)
        self.assertNotIn("t0", [run.target.id for run in simulation.runs("lasts")])
        self.assertTrue(simulation.runs("lasts"))

    # 2,000 steps and 50 suspect targets took 2.2 s a round, as each step tried each target.
    def test_steps_examine_only_last_resorts_with_a_ticket(self) -> None:
        simulation = Simulation(100, lambda step, target: False)
        for number in range(100):
            simulation.add(f"w{number}x", STANDING, WHOLE_TARGET._replace(long_running=True))
        self.make_suspect(simulation, [f"t{number}" for number in range(100)])
        simulation.wait(MAX_WAIT_S)
        with mock.patch.object(placement, "may_run_on", wraps=placement.may_run_on) as examine:
            simulation.harness.dispatch()
        self.assertLessEqual(examine.call_count, 100)


class BusyServiceTest(unittest.TestCase):
    """More steps ask than the service can answer; the targets have room for all tasks."""

    def setUp(self) -> None:
        self.simulation = Simulation(24, lambda step, target: True)
        self.number = 0

    def overload(self, seconds: float, while_: Callable[[], bool] = lambda: True) -> None:
        """Submits 15 jobs a second, where 8 workers get 10 answers a second."""
        began_at = self.simulation.now
        while self.simulation.now - began_at < seconds and while_():
            self.simulation.add(f"u{self.number}x", URGENT, SHORT)
            self.number += 1
            self.simulation.wait(1 / 15)

    # A step at the end of the order was passed without bound by requests with better ranks.
    def test_restart_of_a_task_that_lasts_is_not_passed_by_better_ranks(self) -> None:
        self.simulation.add("lasts", STANDING, LASTING)
        self.simulation.wait(2.0)
        self.simulation.step("lasts").job.is_over_share = True
        self.overload(10.0)
        self.simulation.fail("lasts")
        self.simulation.wait(0.05)
        began_at = self.simulation.now
        self.overload(10.0, lambda: not self.simulation.runs("lasts"))
        self.assertLess(self.simulation.now - began_at, MAX_WAIT_S)

    def test_step_with_the_last_rank_is_not_passed_for_ever(self) -> None:
        self.overload(5.0)
        self.simulation.add("last", WIDE, SHORT._replace(estimate_ms=100_000))
        self.overload(60.0, lambda: not self.simulation.runs("last"))
        self.assertTrue(self.simulation.runs("last"))

    def test_no_step_waits_for_long_while_the_service_has_capacity(self) -> None:
        for _ in range(60):
            self.simulation.add(f"u{self.number}x", URGENT, SHORT)
            self.simulation.add(f"w{self.number}x", WIDE, SHORT)
            self.number += 1
            self.simulation.wait(0.25)
        requests = self.simulation.advice.requests
        self.assertEqual(len(requests), 120)
        self.assertLess(max(each.unasked_s for each in requests), MAX_WAIT_S)

    # Lasting steps that their account's limit keeps from starting took all requests for good.
    def test_steps_beyond_their_accounts_limit_leave_the_requests_to_others(self) -> None:
        for number in range(30):
            self.simulation.add(f"s{number}x", STANDING, LASTING, ONE_TASK_TEAM.name)
        self.simulation.wait(10.0)
        self.simulation.add("urgent", URGENT, SHORT)
        self.assertLess(self.simulation.seconds_until_run("urgent", 10.0), MAX_WAIT_S)

    # A burst of lasting tasks went before all others, an urgent job waited 20 s for 200 of them.
    def test_many_lasting_tasks_leave_a_share_of_the_requests_to_others(self) -> None:
        for number in range(100):
            self.simulation.add(f"l{number}x", STANDING, LASTING)
        self.simulation.wait(2.0)
        self.simulation.add("urgent", URGENT, SHORT)
        self.assertLess(self.simulation.seconds_until_run("urgent", 10.0), MAX_WAIT_S)


class AllowedShareTest(unittest.TestCase):
    # Renewals, which are always allowed, raised the share from 0.16 to 0.67; 0.13 is true.
    def test_renewed_tickets_say_nothing_about_the_share_of_allowed_targets(self) -> None:
        simulation = Simulation(24, lambda step, target: target in ("t0", "t1", "t2"))
        for number in range(3):
            simulation.add(f"full{number}", URGENT, WHOLE_TARGET)
        simulation.wait(3.0)
        simulation.add("lasts", STANDING, LASTING)
        simulation.wait(40.0)
        self.assertLess(simulation.harness.dispatcher._requester.allowed_share(STANDING.name), 0.2)


class LargePoolTest(unittest.TestCase):
    """1,800 targets, and more steps that ask at once than the service has workers."""

    # Each request looked at all targets to name a few more, beyond the budget of the round.
    def test_targets_named_beside_the_needed_ones_count_for_the_budget_of_a_round(self) -> None:
        simulation = Simulation(1_800, lambda step, target: True)
        for number in range(30):
            simulation.add(f"w{number}x", WIDE, SHORT)
        looks = mock.Mock(wraps=advice_requests.capacity_for)
        with mock.patch.object(advice_requests, "capacity_for", looks):
            simulation.harness.dispatch()
        self.assertEqual(len(simulation.advice.requests), ADVICE_WORKERS + 1)
        self.assertLessEqual(looks.call_count, MAX_EXAMINED_TARGETS)


class FullPoolTest(unittest.TestCase):
    """Steps that wait for room, not for advice."""

    # Hundreds of waiting steps kept the service busy with requests whose tickets lapsed unused.
    def test_only_the_first_steps_ask_while_there_is_no_room(self) -> None:
        simulation = Simulation(4, lambda step, target: True)
        for number in range(4):
            simulation.add(f"full{number}", URGENT, WHOLE_TARGET)
        simulation.wait(3.0)
        for number in range(100):
            simulation.add(f"w{number}x", WIDE, SHORT)
        count = len(simulation.advice.requests)
        simulation.wait(10.0)
        asking = {request.step.name for request in simulation.advice.requests[count:]}
        self.assertLessEqual(len(asking), ADVICE_WORKERS)

    # Any suspect target, full as well, let all steps that had waited for 1 s ask.
    def test_only_the_first_steps_ask_while_a_full_target_is_suspect(self) -> None:
        simulation = Simulation(4, lambda step, target: True)
        for number in range(4):
            simulation.add(f"full{number}", URGENT, WHOLE_TARGET)
        simulation.wait(3.0)
        for number in range(100):
            simulation.add(f"w{number}x", WIDE, SHORT)
        count = len(simulation.advice.requests)
        for _ in range(10):
            target, now = simulation.target("t0"), simulation.clock.monotonic()
            self.assertTrue(simulation.harness.term.health._suspect(target, "slow", now))
            simulation.wait(1.0)
        asking = {request.step.name for request in simulation.advice.requests[count:]}
        self.assertLessEqual(len(asking), ADVICE_WORKERS)

    # Tickets for one target at a time had lapsed, or their room was gone, when they came.
    def test_tickets_for_full_targets_come_with_those_that_are_needed(self) -> None:
        simulation = Simulation(6, lambda step, target: True)
        simulation.add("lasts", WIDE, LASTING)
        simulation.wait(2.0)
        for number in range(5):
            simulation.add(f"full{number}", URGENT, WHOLE_TARGET)
        simulation.wait(TERMS.valid_ms / 1000)
        simulation.fail("lasts")
        simulation.wait(1.0)
        last = simulation.advice.requests[-1]
        self.assertEqual(last.step, simulation.step("lasts"))
        self.assertEqual(len(last.targets), 6)


if __name__ == "__main__":
    unittest.main()
