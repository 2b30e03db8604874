"""Tests of the request dispatcher with one fake runner, without threads."""

from __future__ import annotations

import itertools
import random
import unittest

from azurecleat_coordination import Appender, Backoff, ControlLease, Replica
from azurecleat_daemon._internal.metrics import Metrics
from azurecleat_daemon._internal.refusal import RefusalError
from azurecleat_daemon._internal.request_dispatcher import RequestDispatcher
from azurecleat_daemon._internal.target_session import SessionSettings, TargetSession
from azurecleat_fakes import FakeRunner, Faults, MemoryLog, Observation
from azurecleat_model import Environment, ExecutionStatus, ManualClock, Quota, RequestSpec, Team
from azurecleat_model.exceptions import OutcomeUnknownError
from azurecleat_platform import ControlReply, ControlRequest, Target, TargetKind

LEASE_S = 3.0
ENVIRONMENT = Environment("test", (Team("crew", 1.0, Quota(requests=10)),))
PAYMENT = RequestSpec("crew", b"pay", 10.0, repeatable=False, idempotency_key="payment-1")
NOT_RUN = ExecutionStatus.NOT_RUN
LOOKUP = RequestSpec("crew", b"look", 10.0)


class LossyConnection:
    """A connection to a runner that loses the first ``losses`` requests before they arrive."""

    def __init__(self, runner: FakeRunner) -> None:
        self._runner = runner
        self.losses = 0

    def control(self, request: ControlRequest) -> ControlReply:
        """Sends one control request."""
        return self._runner.control(request)

    def run(self, request_id: str, epoch: int, body: bytes, timeout_s: float) -> bytes:
        """Sends one request, or loses it."""
        if self.losses > 0:
            self.losses -= 1
            raise OutcomeUnknownError("no answer in time", step="run", peer="r1")
        return self._runner.run(request_id, epoch, body, timeout_s)

    def close(self) -> None:
        """Does nothing."""


class Owner:
    """The owner of a partition with one runner.

    :param log: Log that the owners share.
    """

    def __init__(self, log: MemoryLog, name: str) -> None:
        self.clock = ManualClock()
        self.replica = Replica(log, self.clock)
        backoff = Backoff(0.001, 0.001, random.Random(1))
        self.appender = Appender(log, self.replica, self.clock, name, backoff)
        self.history: list[Observation] = []
        target = Target(f"{name}-r1", TargetKind.RUNNER, name, "r1", slots=2)
        self.runner = FakeRunner(
            target, self.clock, self.history, lambda body: b"answer to " + body
        )
        self.connection = LossyConnection(self.runner)
        self.lease = ControlLease(self.clock, (target.name,), LEASE_S)
        ids = itertools.count(1)
        self.requests = RequestDispatcher(
            name,
            1,
            ENVIRONMENT,
            self.appender,
            self.lease,
            self.clock,
            Metrics(),
            backoff,
            lambda seconds: None,
            False,
            lambda: str(next(ids)),
            lambda: None,
        )
        settings = SessionSettings(name, 1, name, LEASE_S)
        self.session = TargetSession(
            target, self.connection, settings, self.lease, self.clock, self.requests
        )
        self.requests.set_team(ENVIRONMENT.teams[0], Quota(requests=10))
        self.session.exchange()
        self.requests.open()

    @property
    def runs(self) -> int:
        """Number of requests that the runner began."""
        return sum(event.event == "run" for event in self.history)


class IntentTest(unittest.TestCase):
    """Requests that are not repeatable, whose single run is reserved in the log."""

    def setUp(self) -> None:
        self.log = MemoryLog()
        self.hobart = Owner(self.log, "hobart")
        self.burnie = Owner(self.log, "burnie")

    def refusal(self, owner: Owner) -> RefusalError:
        with self.assertRaises(RefusalError) as caught:
            owner.requests.serve(PAYMENT)
        return caught.exception

    # The key was given back only after the answer "not run": the next hop or a retry at another
    # instance was refused as a duplicate of a request that certainly never ran.
    def test_key_is_given_back_before_the_request_is_reported_as_not_run(self) -> None:
        self.hobart.runner.faults = Faults(busy=True)
        self.assertIs(self.refusal(self.hobart).ran, NOT_RUN)
        self.assertEqual(self.burnie.requests.serve(PAYMENT), b"answer to pay")

    def append_all(self, owner: Owner) -> None:
        while not owner.appender.step():
            pass

    def reserve_without_answer(self) -> None:
        """Appends a reservation at hobart whose outcome stays unknown."""
        self.log.faults = Faults(lose_answers=1, read_lag=10)
        refusal = self.refusal(self.hobart)
        self.assertEqual((refusal.code, refusal.ran), ("intent-unavailable", NOT_RUN))
        self.log.faults = Faults()

    # A reservation whose append had no answer was never given back: each retry of a request that
    # never ran was refused as a duplicate for a day.
    def test_key_reserved_by_an_append_without_answer_is_given_back(self) -> None:
        self.reserve_without_answer()
        self.hobart.replica.catch_up()
        self.append_all(self.hobart)
        self.assertEqual(self.burnie.requests.serve(PAYMENT), b"answer to pay")

    def test_retry_before_the_late_reservation_is_released_is_not_run(self) -> None:
        self.reserve_without_answer()
        refusal = self.refusal(self.hobart)
        self.assertEqual((refusal.code, refusal.ran), ("intent-unavailable", NOT_RUN))
        self.append_all(self.hobart)
        self.assertEqual(self.hobart.requests.serve(PAYMENT), b"answer to pay")

    def test_key_reserved_elsewhere_stays_reserved_after_an_append_without_answer(self) -> None:
        self.burnie.requests.serve(PAYMENT)
        self.reserve_without_answer()
        self.hobart.replica.catch_up()
        self.append_all(self.hobart)
        self.assertEqual(self.refusal(self.hobart).code, "duplicate")
        self.assertEqual((self.burnie.runs, self.hobart.runs), (1, 0))

    def test_second_request_with_a_key_is_refused_as_a_duplicate(self) -> None:
        self.hobart.requests.serve(PAYMENT)
        refusal = self.refusal(self.burnie)
        self.assertEqual((refusal.code, refusal.ran), ("duplicate", ExecutionStatus.UNKNOWN))


class UnconfirmedRequestTest(unittest.TestCase):
    """Requests without an answer, which keep their slot until the runner shows their end."""

    def setUp(self) -> None:
        self.owner = Owner(MemoryLog(), "hobart")

    # A report without changes was not used, so requests that never reached the runner kept all its
    # slots until some other request ran there.
    def test_slots_of_requests_that_never_arrived_are_freed_by_an_unchanged_report(self) -> None:
        self.owner.connection.losses = 2
        with self.assertRaises(RefusalError):
            self.owner.requests.serve(LOOKUP)
        self.owner.clock.advance(1.0)
        self.owner.session.exchange()
        self.assertEqual(self.owner.requests.serve(LOOKUP), b"answer to look")

    # Guards against reporting the refusal of the last try after a try without an answer.
    def test_last_refusal_does_not_hide_an_earlier_try_without_answer(self) -> None:
        self.owner.connection.losses = 1
        self.owner.runner.faults = Faults(busy=True)
        with self.assertRaises(RefusalError) as caught:
            self.owner.requests.serve(LOOKUP)
        self.assertIs(caught.exception.ran, ExecutionStatus.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
