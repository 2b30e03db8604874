"""Advice requests when many steps need advice at once, as after a change of owner."""

from __future__ import annotations

import io
import threading
import time
import unittest
from collections.abc import Sequence

from azurecleat_base import SystemClock
from azurecleat_base.exceptions import TargetError
from azurecleat_cluster import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice import AdviceClient
from azurecleat_cluster._internal.owner.advice_queue import Request, RequestQueue
from azurecleat_cluster._internal.owner.model import StepInfo
from azurecleat_cluster.values import AdviceTerms

from tests.unit.cluster.test_target_health import make_step

LONG_REQUEST_S = 0.4
SHORT_REQUEST_S = 0.01


class SlowAdviser:
    """Answers one request at a time, as the service does for each calling instance."""

    def __init__(self, fails: int = 0) -> None:
        self._lock = threading.Lock()
        self._fails = fails
        self.requested_steps: list[str] = []

    def advise(self, step: str, targets: Sequence[str], timeout_s: float) -> dict[str, str]:
        with self._lock:
            self.requested_steps.append(step)
            if self._fails:
                self._fails -= 1
                raise TargetError("busy", step="advise")
            time.sleep(LONG_REQUEST_S if step.startswith("long") else SHORT_REQUEST_S)
        return {target: "ticket" for target in targets}


class AdviceTest(unittest.TestCase):
    """Requests that are spread over several workers."""

    def setUp(self) -> None:
        self.answers: list[tuple[str, float]] = []
        self.changed = threading.Condition()
        self.client = AdviceClient(
            SystemClock(), EventLog("test", io.StringIO()), Metrics(), self.on_advice
        )
        self.addCleanup(self.client.stop)

    def on_advice(self, step: StepInfo, advice: object) -> None:
        with self.changed:
            self.answers.append((step.job.id, time.monotonic()))
            self.changed.notify_all()

    def submit(self, name: str) -> None:
        step = make_step(name, 1)
        cost_ms = (LONG_REQUEST_S if name.startswith("long") else SHORT_REQUEST_S) * 1000
        queue = step.job.submission.queue._replace(advice=AdviceTerms(cost_ms, 0.0, 2000.0))
        step.job.submission = step.job.submission._replace(queue=queue)
        self.client.submit(step, ["t1"])

    def wait(self, count: int) -> None:
        with self.changed:
            self.assertTrue(self.changed.wait_for(lambda: len(self.answers) >= count, 10.0))

    def test_short_requests_do_not_wait_behind_long_ones(self) -> None:
        for number in range(3):
            adviser = SlowAdviser()
            self.client.add_worker(f"n{number}", lambda a=adviser: a, is_own=number == 0)
        began_at = time.monotonic()
        for number in range(6):
            self.submit(f"long{number}")
        time.sleep(0.05)
        for number in range(5):
            self.submit(f"short{number}")
        self.wait(11)
        short = [at - began_at for name, at in self.answers if name.startswith("short")]
        self.assertLess(max(short), LONG_REQUEST_S)

    def test_request_that_fails_is_sent_by_another_worker(self) -> None:
        broken, sound = SlowAdviser(fails=100), SlowAdviser()
        self.client.add_worker("broken", lambda: broken)
        self.submit("short0")
        time.sleep(0.1)
        self.client.add_worker("sound", lambda: sound)
        self.wait(1)
        self.assertEqual(sound.requested_steps, ["short0.0.0"])

    def test_overdue_request_is_sent_by_another_worker(self) -> None:
        # A call through an instance in a zone that is cut off hangs until its timeout.
        cut, sound = SlowAdviser(), SlowAdviser()
        answer = cut.advise
        cut.advise = lambda step, targets, timeout_s: (time.sleep(1.5), answer(step, targets, 0))[1]
        self.client.add_worker("cut", lambda: cut)
        self.submit("short0")
        self.client.add_worker("sound", lambda: sound)
        began_at = time.monotonic()
        self.client.retry_overdue(began_at)
        self.assertEqual(sound.requested_steps, [])
        while not self.answers and time.monotonic() - began_at < 5.0:
            self.client.retry_overdue(time.monotonic())
            time.sleep(0.02)
        self.assertLess(time.monotonic() - began_at, 1.0)
        self.assertEqual(sound.requested_steps, ["short0.0.0"])

    # Two instances that hung one after the other held a step for as long as the call's timeout.
    def test_request_is_answered_in_time_through_the_third_instance(self) -> None:
        for name in ("cut", "frozen"):
            hanging = SlowAdviser()
            hanging.advise = lambda step, targets, timeout_s: (time.sleep(8.0), {})[1]
            self.client.add_worker(name, lambda a=hanging: a)
        began_at = time.monotonic()
        self.submit("long0")
        time.sleep(0.1)
        while self.client._idle:
            time.sleep(0.02)
            self.client.retry_overdue(time.monotonic())
        sound = SlowAdviser()
        self.client.add_worker("sound", lambda: sound)
        while not self.answers and time.monotonic() - began_at < 8.0:
            self.client.retry_overdue(time.monotonic())
            time.sleep(0.02)
        self.assertLess(time.monotonic() - began_at, 3.0)

    # Instances that fail at once were waited for like those that hang, and used up the sends.
    def test_request_goes_on_at_once_from_instances_that_fail_while_one_hangs(self) -> None:
        hanging = SlowAdviser()
        hanging.advise = lambda step, targets, timeout_s: (time.sleep(4.0), {})[1]
        self.client.add_worker("hangs", lambda: hanging)
        self.submit("long0")
        for number in range(3):
            failing = SlowAdviser(fails=9)
            self.client.add_worker(f"fails{number}", lambda a=failing: a)
        sound = SlowAdviser()
        self.client.add_worker("sound", lambda: sound)
        began_at = time.monotonic()
        while not self.answers and time.monotonic() - began_at < 4.0:
            self.client.retry_overdue(time.monotonic())
            time.sleep(0.02)
        self.assertLess(time.monotonic() - began_at, 2.0)

    def test_request_is_not_sent_again_when_one_that_is_overdue_fails(self) -> None:
        request = Request(0, make_step("s", 1), ("t1",), 0.7, 2.0, 0.0)
        queue = RequestQueue()
        queue.push(request)
        for sent_at in (0.0, 1.0):
            queue.pop(may_take_long=True)
            queue.note_sent(request, sent_at)
            queue.retry_overdue(sent_at + 0.95)
        queue.pop(may_take_long=True)
        queue.note_sent(request, 1.95)
        queue.note_failed(request, 0.0)
        self.assertEqual(len(queue), 0)

    # After an outage of the service all workers paused for up to 8 s, and no step got advice.
    def test_workers_ask_again_soon_after_an_outage_of_the_service(self) -> None:
        ends_at = time.monotonic() + 3.2
        adviser = SlowAdviser()
        answer = adviser.advise

        def advise(step: str, targets: Sequence[str], timeout_s: float) -> dict[str, str]:
            if time.monotonic() < ends_at:
                raise TargetError("no answer", step="advise")
            return answer(step, targets, timeout_s)

        adviser.advise = advise
        for name in ("a", "b"):
            self.client.add_worker(name, lambda: adviser)
        for number in range(4):
            self.submit(f"short{number}")
        while not self.answers and time.monotonic() < ends_at + 8.0:
            time.sleep(0.05)
        self.assertLess(time.monotonic() - ends_at, 1.5)

    def test_request_that_was_answered_is_not_sent_again(self) -> None:
        slow, sound = SlowAdviser(), SlowAdviser()
        answer = slow.advise
        slow.advise = lambda *request: (time.sleep(0.4), answer(*request))[1]
        self.client.add_worker("slow", lambda: slow)
        self.submit("short0")
        time.sleep(0.3)
        self.client.retry_overdue(time.monotonic())
        self.wait(1)
        self.client.add_worker("sound", lambda: sound)
        time.sleep(0.6)
        self.assertEqual(slow.requested_steps + sound.requested_steps, ["short0.0.0"])

    def test_unexpected_answer_loses_no_request(self) -> None:
        odd, sound = SlowAdviser(), SlowAdviser()
        odd.advise = lambda step, targets, timeout_s: {}["tickets"]
        self.client.add_worker("odd", lambda: odd)
        self.submit("short0")
        time.sleep(0.1)
        self.client.add_worker("sound", lambda: sound)
        self.wait(1)
        self.assertEqual(sound.requested_steps, ["short0.0.0"])

    def test_request_of_a_job_that_has_ended_is_dropped(self) -> None:
        step = make_step("gone", 1)
        queue = step.job.submission.queue._replace(advice=AdviceTerms(1.0, 0.0, 2000.0))
        step.job.submission = step.job.submission._replace(queue=queue)
        step.job.cancelled = True
        adviser = SlowAdviser()
        self.client.submit(step, ["t1"])
        self.client.add_worker("n", lambda: adviser)
        self.wait(1)
        self.assertEqual(adviser.requested_steps, [])


if __name__ == "__main__":
    unittest.main()
