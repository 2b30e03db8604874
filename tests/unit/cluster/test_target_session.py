"""Sessions with lost answers, unresponsive or replaced targets, and a newer owner."""

from __future__ import annotations

import threading
import time
import unittest
from collections.abc import Callable

from azurecleat_base import SystemClock
from azurecleat_base.exceptions import FencedError, NotRunError, OutcomeUnknownError
from azurecleat_cluster._internal.owner.authority import Authority
from azurecleat_cluster._internal.owner.model import Run
from azurecleat_cluster._internal.owner.poll_schedule import PollSchedule
from azurecleat_cluster._internal.owner.target_session import (
    COMMAND_THREADS,
    COMMAND_TIMEOUT_S,
    START_ATTEMPTS,
    LossTracker,
    TargetClock,
    TargetSession,
)
from azurecleat_cluster.exceptions import ConnectionChangedError, TargetReplacedError
from azurecleat_cluster.ports import StartResult
from azurecleat_cluster.values import EndKind, RunEnd, TargetReport

from tests.unit.cluster.test_target_health import make_step, make_target

LEASE_S = 3.0

MAX_UNSTARTED_S = 3.0
"""Longest time for which a task may stay unstarted while there is capacity for it."""


class FakeTargetClient:
    """Target client whose answers a test sets."""

    def __init__(self) -> None:
        self.polls: list[tuple] = []
        self.starts: list = []
        self.stops: list = []
        self.ended: tuple[RunEnd, ...] = ()
        self.is_connection_gone = False
        self.on_poll: Callable[[], None] = lambda: None
        self.on_start: Callable[[], StartResult] = lambda: StartResult(True, "", 1.0)
        self.on_stop: Callable[[], None] = lambda: None

    def poll(  # noqa: ANN201
        self,
        fencing_token,
        acknowledged,
        until_ms,
        wait_s,
        timeout_s,
        same_connection=False,  # noqa: ANN001
    ):
        if same_connection and self.is_connection_gone:
            self.is_connection_gone = False
            raise ConnectionChangedError("gone", step="hold")
        self.polls.append((acknowledged, until_ms, wait_s))
        self.on_poll()
        ended = tuple(end for end in self.ended if end.number > acknowledged)
        if not ended:
            time.sleep(min(wait_s, 0.02))
        return TargetReport(1000.0 * time.monotonic(), 1, (), ended)

    def start(self, command, timeout_s):  # noqa: ANN001, ANN201
        self.starts.append(command)
        return self.on_start()

    def stop(self, task, run, fencing_token, timeout_s) -> None:  # noqa: ANN001
        self.stops.append((task, run))
        self.on_stop()

    def close(self) -> None:
        pass


class RecordingObserver:
    """Records the calls that a session makes to its observer."""

    def __init__(self) -> None:
        self.seen: list[tuple] = []
        self.changed = threading.Condition()

    def note(self, *call: object) -> None:
        with self.changed:
            self.seen.append(call)
            self.changed.notify_all()

    def wait_for(self, name: str, count: int = 1, timeout_s: float = 5.0) -> list[tuple]:
        with self.changed:
            self.changed.wait_for(lambda: len(self.named(name)) >= count, timeout_s)
            return self.named(name)

    def named(self, name: str) -> list[tuple]:
        return [each for each in self.seen if each[0] == name]

    def on_report(self, session, report, sent_at) -> None:  # noqa: ANN001
        for end in report.ended:
            session.processed = max(session.processed, end.number)
        self.note("report", len(report.ended))

    def on_poll_failed(self, session) -> None:  # noqa: ANN001
        self.note("poll_failed")

    def on_unresponsive(self, session, error) -> None:  # noqa: ANN001
        self.note("unresponsive")

    def on_replaced(self, session, reason) -> None:  # noqa: ANN001
        self.note("replaced")

    def on_fenced(self, session, epoch) -> None:  # noqa: ANN001
        self.note("fenced", epoch)

    def may_start(self, run) -> bool:  # noqa: ANN001
        return run.key in run.target.runs

    def on_start_unanswered(self, run, attempt, error) -> None:  # noqa: ANN001
        self.note("unanswered", attempt)

    def on_start(self, run, outcome) -> None:  # noqa: ANN001
        if outcome.result.started:
            self.note("started", True)
        else:
            self.note("refused", outcome.result.reason, outcome.may_run)

    def on_start_failed(self, run, error, may_run) -> None:  # noqa: ANN001
        self.note("failed", may_run)

    def on_stop(self, run) -> None:  # noqa: ANN001
        self.note("stopped")


class TargetSessionTest(unittest.TestCase):
    """One session on the system clock."""

    def setUp(self) -> None:
        clock = SystemClock()
        self.authority = Authority(7, LEASE_S, clock)
        self.authority.add_log_proof(clock.monotonic())
        self.client, self.observer = FakeTargetClient(), RecordingObserver()
        self.target, self.schedule = make_target(1), PollSchedule()
        self.session = TargetSession(
            self.target,
            self.client,
            self.authority,
            self.observer,
            LossTracker(clock),
            clock,
            schedule=self.schedule,
        )
        self.addCleanup(self.session.stop)

    def make_run(self, number: int = 1) -> Run:
        run = Run(make_step("job", 1).task(0), make_step("job", 1), number, self.target)
        self.target.add(run)
        return run

    def begin(self) -> None:
        self.session.start()
        self.observer.wait_for("report", 2)

    # 24 idle targets were polled 8,000 times a second while the log gave no answer.
    def test_idle_target_is_polled_no_faster_while_the_log_is_silent(self) -> None:
        self.authority._log_proof_at -= 1.5
        self.begin()
        self.observer.wait_for("report", 6)
        self.assertEqual({wait_s for _, _, wait_s in self.client.polls[2:6]}, {2.0})

    def test_first_poll_on_a_new_connection_acknowledges_and_renews_nothing(self) -> None:
        # Another incarnation under the same id numbers its ends from the start and has its own
        # clock. An end that nobody has seen must not be acknowledged.
        self.begin()
        self.session.acknowledge(3)
        self.client.is_connection_gone = True
        self.observer.wait_for("report", len(self.observer.named("report")) + 3)
        first_polls = [poll for poll in self.client.polls if poll[:2] == (0, None)]
        self.assertEqual(len(first_polls), 2)
        self.assertEqual(self.client.polls[self.client.polls.index(first_polls[1], 1) + 1][0], 3)

    def test_polls_do_not_shorten_an_assumed_lease(self) -> None:
        self.authority.extra_lease_s = 7.0
        self.begin()
        self.session.assume_max_lease()
        lease_end = self.session.lease_end
        self.observer.wait_for("report", len(self.observer.named("report")) + 2)
        self.assertGreaterEqual(self.session.lease_end, lease_end)

    def test_poll_after_a_failed_one_acknowledges_and_renews_nothing(self) -> None:
        self.begin()
        self.session.acknowledge(3)

        failed: list[int] = []

        def fail() -> None:
            self.client.on_poll = lambda: None
            failed.append(len(self.client.polls))
            raise OutcomeUnknownError("reset", step="hold")

        self.client.on_poll = fail
        self.observer.wait_for("poll_failed")
        self.observer.wait_for("report", len(self.observer.named("report")) + 2)
        self.assertEqual(self.client.polls[failed[0]][:2], (0, None))

    def test_first_poll_renews_no_lease_and_later_ones_do(self) -> None:
        self.begin()
        self.assertIsNone(self.client.polls[0][1])
        self.assertIsNotNone(self.client.polls[1][1])

    def test_ends_are_acknowledged_only_after_their_commit(self) -> None:
        task = make_step("job", 1).task(0)
        self.client.ended = (RunEnd(1, task, 1, EndKind.DONE, ""),)
        self.begin()
        self.assertEqual({acknowledged for acknowledged, _, _ in self.client.polls}, {0})
        self.session.acknowledge(1)
        self.observer.wait_for("report", len(self.observer.seen) + 1)
        self.assertEqual(self.client.polls[-1][0], 1)

    def test_start_without_an_answer_is_sent_again_unchanged(self) -> None:
        self.begin()
        answers = iter([OutcomeUnknownError("lost", step="run.start"), None])

        def answer() -> StartResult:
            error = next(answers)
            if error is not None:
                raise error
            return StartResult(True, "", 1.0)

        self.client.on_start = answer
        self.session.submit_start(self.make_run(), "", "")
        self.assertEqual(self.observer.wait_for("started"), [("started", True)])
        self.assertEqual(len(set(self.client.starts)), 1)
        self.assertEqual(len(self.client.starts), 2)
        self.assertEqual(self.observer.named("unanswered"), [("unanswered", 1)])

    def test_start_that_is_never_answered_may_have_run(self) -> None:
        self.begin()
        answers = iter([OutcomeUnknownError("lost")] + [NotRunError("refused")] * START_ATTEMPTS)

        def answer() -> StartResult:
            raise next(answers)

        self.client.on_start = answer
        self.session.submit_start(self.make_run(), "", "")
        self.assertEqual(self.observer.wait_for("failed"), [("failed", True)])

    def test_refused_repeat_of_an_unanswered_start_may_have_run(self) -> None:
        # The attempt without an answer may have started the run, and the run may have ended.
        self.begin()
        reasons = ("old", "room", "late", "ticket", "unhealthy")
        for count, reason in enumerate(reasons, start=1):
            answers = iter(
                [OutcomeUnknownError("lost", step="run.start"), StartResult(False, reason, 1.0)]
            )

            def answer(answers=answers) -> StartResult:  # noqa: ANN001
                match next(answers):
                    case OutcomeUnknownError() as error:
                        raise error
                    case result:
                        return result

            self.client.on_start = answer
            self.session.submit_start(self.make_run(), "", "")
            with self.subTest(reason=reason):
                refused = self.observer.wait_for("refused", count)
                self.assertEqual(refused[count - 1 :], [("refused", reason, True)])

    def test_refused_start_without_an_earlier_attempt_has_not_run(self) -> None:
        self.begin()
        self.client.on_start = lambda: StartResult(False, "old", 1.0)
        self.session.submit_start(self.make_run(), "", "")
        self.assertEqual(self.observer.wait_for("refused"), [("refused", "old", False)])

    def test_fenced_start_frees_no_task(self) -> None:
        # An earlier attempt may have run under this epoch; while the term may still act, a free
        # task could be started on a target that the newer owner has not reached.
        self.begin()
        answers = iter([OutcomeUnknownError("lost"), FencedError("newer", epoch=9)])

        def answer() -> StartResult:
            raise next(answers)

        self.client.on_start = answer
        self.session.submit_start(self.make_run(), "", "")
        self.assertEqual(self.observer.wait_for("fenced"), [("fenced", 9)])
        self.session.stop()
        self.session.join()
        self.assertEqual(self.observer.named("failed"), [])

    def test_start_that_was_never_sent_has_not_run(self) -> None:
        self.begin()

        def answer() -> StartResult:
            raise NotRunError("refused")

        self.client.on_start = answer
        self.session.submit_start(self.make_run(), "", "")
        self.assertEqual(self.observer.wait_for("failed"), [("failed", False)])

    def test_start_ends_the_pause_before_the_next_poll(self) -> None:
        # Of 3,000 targets, one without runs is polled every 7.5 s: a lease would end before.
        self.schedule.update(3000, 0)
        self.begin()
        self.authority.add_log_proof(time.monotonic())
        time.sleep(0.1)
        polls = len(self.client.polls)
        time.sleep(0.2)
        self.assertEqual(len(self.client.polls), polls)
        self.session.submit_start(self.make_run(), "", "")
        self.observer.wait_for("report", polls + 1, timeout_s=1.0)
        self.assertGreater(len(self.client.polls), polls)

    def test_stop_is_repeated_until_it_is_answered(self) -> None:
        self.begin()
        answers = iter([OutcomeUnknownError("lost"), NotRunError("refused"), None])

        def answer() -> None:
            error = next(answers)
            if error is not None:
                raise error

        self.client.on_stop = answer
        self.session.submit_stop(self.make_run())
        self.observer.wait_for("stopped")
        self.assertEqual(len(self.client.stops), 3)

    def test_stop_is_repeated_after_an_error_of_an_unexpected_kind(self) -> None:
        # The task of a cancelled job would run on: nothing sends its stop a second time.
        self.begin()
        answers = iter([ValueError("answer is malformed"), None])

        def answer() -> None:
            error = next(answers)
            if error is not None:
                raise error

        self.client.on_stop = answer
        self.session.submit_stop(self.make_run())
        self.assertEqual(len(self.observer.wait_for("stopped", timeout_s=2.0)), 1)

    def test_start_with_an_error_of_an_unexpected_kind_may_have_run(self) -> None:
        # Without an outcome the run would stay allocated, and its gang incomplete, for good.
        self.begin()

        def answer() -> StartResult:
            raise ValueError("answer is malformed")

        self.client.on_start = answer
        self.session.submit_start(self.make_run(), "", "")
        self.assertEqual(self.observer.wait_for("failed", timeout_s=2.0), [("failed", True)])

    def test_start_queued_behind_unanswered_stops_is_not_sent_once_its_run_is_released(
        self,
    ) -> None:
        # Its task may have started elsewhere by the time the target answers again.
        self.begin()
        is_back = threading.Event()
        self.addCleanup(is_back.set)
        self.client.on_stop = is_back.wait
        for number in range(COMMAND_THREADS):
            self.session.submit_stop(self.make_run(number + 1))
        with self.observer.changed:
            while len(self.client.stops) < COMMAND_THREADS:
                self.observer.changed.wait(0.01)
        queued = self.make_run(COMMAND_THREADS + 1)
        self.session.submit_start(queued, "", "")
        self.target.remove(queued)
        is_back.set()
        self.observer.wait_for("stopped", COMMAND_THREADS)
        self.session.submit_stop(self.make_run(COMMAND_THREADS + 2))
        self.observer.wait_for("stopped", COMMAND_THREADS + 1)
        self.session.stop()
        self.session.join()
        self.assertEqual(self.client.starts, [])

    # Three stops without an answer kept all later starts, on a target that answered its polls, from
    # being sent: their tasks were neither running nor free to start elsewhere.
    def test_start_does_not_wait_for_stops_that_are_never_answered(self) -> None:
        self.begin()

        def lose() -> None:
            raise OutcomeUnknownError("lost", step="run.stop")

        self.client.on_stop = lose
        for number in range(4 * COMMAND_THREADS):
            self.session.submit_stop(self.make_run(number + 1))
        self.session.submit_start(self.make_run(4 * COMMAND_THREADS + 1), "", "")
        started = self.observer.wait_for("started", timeout_s=MAX_UNSTARTED_S)
        self.assertEqual(started, [("started", True)])

    # The first three stops were repeated for ever, and the fourth was never sent.
    def test_stop_does_not_wait_for_others_that_are_never_answered(self) -> None:
        self.begin()
        answered = 4 * COMMAND_THREADS

        def answer_last(task, run, fencing_token, timeout_s) -> None:  # noqa: ANN001
            if run != answered:
                raise OutcomeUnknownError("lost", step="run.stop")

        self.client.stop = answer_last
        for number in range(answered):
            self.session.submit_stop(self.make_run(number + 1))
        self.assertEqual(len(self.observer.wait_for("stopped", timeout_s=MAX_UNSTARTED_S)), 1)

    def submit_starts(self, count: int) -> None:
        step = make_step("job", count)
        for index in range(count):
            run = Run(step.task(index), step, 1, self.target)
            self.target.add(run)
            self.session.submit_start(run, "", "")

    # Twenty starts were queued for a target that had gone silent; the last was first sent there
    # after 5 s, while other targets had room.
    def test_start_behind_unanswered_ones_is_given_up_in_time(self) -> None:
        self.begin()
        self.authority.add_log_proof(time.monotonic())

        def time_out() -> StartResult:
            time.sleep(COMMAND_TIMEOUT_S)
            raise OutcomeUnknownError("no answer in time", step="run.start")

        self.client.on_start = time_out
        self.submit_starts(20)
        self.observer.wait_for("failed", 20, timeout_s=MAX_UNSTARTED_S)
        sent = {command.task for command in self.client.starts}
        given_up = self.observer.named("failed").count(("failed", False))
        self.assertEqual(len(sent) + given_up, 20)

    # An owner that is busy may send starts late: those are not given up while the target answers.
    def test_start_that_waited_behind_answered_ones_is_sent(self) -> None:
        self.begin()
        self.authority.add_log_proof(time.monotonic())

        def answer_late() -> StartResult:
            time.sleep(0.3)
            return StartResult(True, "", 1000.0 * time.monotonic())

        self.client.on_start = answer_late
        self.submit_starts(5 * COMMAND_THREADS)
        self.observer.wait_for("started", 5 * COMMAND_THREADS)
        self.assertEqual(self.observer.named("failed"), [])

    def test_unresponsive_target_is_reported_and_its_lease_not_renewed(self) -> None:
        self.begin()

        def lose() -> None:
            raise OutcomeUnknownError("lost", step="hold")

        self.client.on_poll = lose
        self.observer.wait_for("unresponsive", 2)
        self.assertTrue(self.observer.named("poll_failed"))
        self.assertIsNone(self.client.polls[-1][1])

    def test_newer_owner_and_replaced_target_are_reported(self) -> None:
        self.begin()

        def fence() -> None:
            raise FencedError("newer", epoch=9)

        def replace() -> None:
            raise TargetReplacedError("another incarnation")

        self.client.on_poll = fence
        self.observer.wait_for("fenced")
        self.client.on_poll = replace
        self.assertEqual(len(self.observer.wait_for("replaced")), 1)

    def test_nothing_is_sent_while_the_owner_may_not_act(self) -> None:
        self.begin()
        self.authority.revoke("test")
        time.sleep(0.2)
        polls = len(self.client.polls)
        self.session.submit_start(self.make_run(), "", "")
        self.assertEqual(self.observer.wait_for("failed"), [("failed", False)])
        self.assertEqual(self.client.starts, [])
        time.sleep(0.4)
        self.assertEqual(len(self.client.polls), polls)


class TargetClockTest(unittest.TestCase):
    """Lease ends on a target's own clock."""

    def test_estimate_is_never_ahead(self) -> None:
        clock = TargetClock()
        self.assertIsNone(clock.until_ms(1.0, 3.0))
        clock.note(50_000.0, received_at=10.0)
        self.assertEqual(clock.until_ms(10.5, 3.0), 53_500)
        # A clock 2% slow, 8 s after the sample that preceded a pause between polls.
        exact_ms, assumed_exact_s = 50_000.0 + 8_000.0 / 1.02, 2.5
        self.assertLessEqual(
            clock.until_ms(18.0, 3.0), exact_ms + 3_000.0 + 20.0 * assumed_exact_s + 1.0
        )


if __name__ == "__main__":
    unittest.main()
