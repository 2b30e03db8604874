"""Requests for advice while instances are lost, cut off, and back again.

Load pattern: machines are lost down to one, in any order, while jobs with costly advice arrive. An
instance that does not answer must neither be waited for nor counted when workers are kept free.
"""

from __future__ import annotations

import io
import itertools
import threading
import time
import unittest
from collections.abc import Sequence

from azurecleat_base import SystemClock
from azurecleat_base.exceptions import TargetError
from azurecleat_cluster import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice import AdviceClient
from azurecleat_cluster._internal.owner.model import StepInfo
from azurecleat_cluster.values import AdviceTerms

from tests.unit.cluster.test_target_health import make_step

LONG_MS = 200.0
"""Cost of a long request; the stand-in answers sooner."""

SHORT_MS = 10.0
ANSWER_S = 0.02
HANG_S = 2.2
"""Time until a call to an instance that does not answer fails: the request's timeout."""

MAX_WAIT_S = 3.0
"""Longest time for which a job may have nothing running while there is capacity."""


class StandInInstance:
    """An instance through which advice is requested."""

    def __init__(self) -> None:
        self.state = "up"
        self.answered = 0
        self.in_flight = 0
        self.may_answer = threading.Event()
        """Cleared, it holds up the answers of an instance that is up."""
        self.may_answer.set()

    def advise(self, step: str, targets: Sequence[str], timeout_s: float) -> dict[str, str]:
        self.in_flight += 1
        try:
            if self.state == "hangs":
                time.sleep(HANG_S)
            if self.state != "up":
                raise TargetError("no answer", step="advise")
            self.may_answer.wait(10.0)
            time.sleep(ANSWER_S)
            self.answered += 1
            return {target: "ticket" for target in targets}
        finally:
            self.in_flight -= 1


class AdviceWorkersTest(unittest.TestCase):
    """An owner with its own instance and others, each of which has one worker."""

    def setUp(self) -> None:
        self._numbers = itertools.count()
        self._answered: set[str] = set()
        self._changed = threading.Condition()
        self.client = AdviceClient(
            SystemClock(), EventLog("test", io.StringIO()), Metrics(), self._on_advice
        )
        self.addCleanup(self.client.stop)
        ended = threading.Event()
        threading.Thread(target=self._retry_overdue, args=(ended,), daemon=True).start()
        self.addCleanup(ended.set)
        self.own = StandInInstance()
        self.client.add_worker("own", lambda: self.own, is_own=True)

    def _retry_overdue(self, ended: threading.Event) -> None:
        while not ended.wait(0.02):
            self.client.retry_overdue(time.monotonic())

    def _on_advice(self, step: StepInfo, advice: object) -> None:
        with self._changed:
            self._answered.add(step.job.id)
            self._changed.notify_all()

    def add_others(self, count: int) -> list[StandInInstance]:
        others = [StandInInstance() for _ in range(count)]
        for number, other in enumerate(others):
            self.client.add_worker(f"n{number}", lambda other=other: other)
        return others

    def submit(self, cost_ms: float = LONG_MS) -> str:
        name = f"job{next(self._numbers)}"
        step = make_step(name, 1)
        queue = step.job.submission.queue._replace(advice=AdviceTerms(cost_ms, 0.0, 2000.0))
        step.job.submission = step.job.submission._replace(queue=queue)
        self.client.submit(step, ["t1"])
        return name

    def wait_for(self, *names: str) -> float:
        """Returns the time until some requests are answered."""
        began_at = time.monotonic()
        with self._changed:
            is_answered = self._changed.wait_for(lambda: self._answered.issuperset(names), 6.0)
        self.assertTrue(is_answered, f"no answer to {set(names) - self._answered}")
        return time.monotonic() - began_at

    # Review case 7: long requests were never sent once the only other instance was lost, because
    # the own worker took short ones only for as long as any other worker had ever existed.
    def test_only_instance_left_sends_long_requests(self) -> None:
        (other,) = self.add_others(1)
        for state in ("down", "hangs"):
            with self.subTest(state=state):
                self.own.answered, other.state = 0, state
                waits = [self.wait_for(self.submit()) for _ in range(5)]
                self.assertLess(max(waits), MAX_WAIT_S)
                self.assertEqual(self.own.answered, 5)

    # The same with several instances, of which those were left that took short requests only.
    def test_losses_down_to_one_instance_in_any_order(self) -> None:
        others = self.add_others(5)
        for number, lost in enumerate((0, 3, 1, 4, 2)):
            others[lost].state = "hangs" if number % 2 else "down"
            names = [self.submit() for _ in range(3)]
            with self.subTest(left=5 - number):
                self.assertLess(self.wait_for(*names), MAX_WAIT_S)
        self.assertGreater(self.own.answered, 0)

    def test_any_two_instances_that_are_left_send_long_requests(self) -> None:
        others = self.add_others(4)
        for other in others:
            other.state = "down"
        for left in others:
            left.state = "up"
            with self.subTest(left=others.index(left)):
                names = [self.submit() for _ in range(4)]
                self.assertLess(self.wait_for(*names), MAX_WAIT_S)
            left.state = "down"

    # Half of the instances are cut off while they have calls in flight.
    def test_calls_in_flight_to_lost_instances_are_sent_again_in_time(self) -> None:
        others = self.add_others(4)
        for other in others[:2]:
            other.may_answer.clear()
        names = [self.submit() for _ in range(4)]
        time.sleep(0.1)
        for other in others[:2]:
            other.state = "hangs"
        names += [self.submit() for _ in range(4)]
        self.assertLess(self.wait_for(*names), MAX_WAIT_S)
        for other in others:
            other.may_answer.set()

    # An instance that is back has to be asked again: only its answer shows that it is.
    def test_instance_that_is_back_is_used_again(self) -> None:
        others = self.add_others(2)
        for other in others:
            other.state = "down"
        self.wait_for(*[self.submit() for _ in range(3)])
        for other in others:
            other.state, other.answered = "up", 0
        ends_at = time.monotonic() + 12.0
        while not all(other.answered for other in others) and time.monotonic() < ends_at:
            self.wait_for(*[self.submit() for _ in range(4)])
        self.assertTrue(all(other.answered for other in others))

    # Long requests leave a part of the instances that answer free, not of all that ever existed.
    def test_short_requests_find_a_free_instance_after_losses(self) -> None:
        others = self.add_others(7)
        for other in others[:5]:
            other.state = "down"
        for _ in range(6):  # Shows which instances are lost.
            self.wait_for(*[self.submit() for _ in range(3)])
        for instance in (self.own, *others[5:]):
            instance.may_answer.clear()
        long = [self.submit(cost_ms=5_000.0) for _ in range(4)]
        time.sleep(0.15)
        self.assertEqual(sum(each.in_flight for each in (self.own, *others[5:])), 2)
        free = next(each for each in (self.own, *others[5:]) if not each.in_flight)
        free.may_answer.set()
        self.assertLess(self.wait_for(self.submit(SHORT_MS)), 1.0)
        for instance in (self.own, *others[5:]):
            instance.may_answer.set()
        self.wait_for(*long)


if __name__ == "__main__":
    unittest.main()
