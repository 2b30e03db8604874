"""Meaning of a target's answers to a start."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from adapter.targets import HttpTargetClient
from azurecleat_base import HttpClient, HttpResponse, Resources
from azurecleat_base.exceptions import FencedError, OutcomeUnknownError
from azurecleat_cluster.exceptions import TargetReplacedError
from azurecleat_cluster.ports import StartCommand, StartResult
from azurecleat_cluster.values import TargetEntry, TargetState, TaskId

COMMAND = StartCommand(TaskId("job", 0, 0, 1), 2, "payload", 9000, 7)
ENTRY = TargetEntry(
    "i-1", "pool", "127.0.0.1:1", "zone", TargetState.READY, 1, Resources(1000, 1000, 0)
)


def start(status: int, body: bytes = b"{}") -> StartResult:
    """Sends a start to a target that gives the answer."""
    answer = HttpResponse(status, body, {})
    with patch.object(HttpClient, "call", lambda *arguments: answer):
        return HttpTargetClient(ENTRY).start(COMMAND, 0.3)


class StartAnswersTest(unittest.TestCase):
    """Answers to a start."""

    def test_started(self) -> None:
        self.assertEqual(start(200, b'{"clock_ms":5}'), StartResult(True, "", 5.0))

    def test_refused(self) -> None:
        cases = {
            (409, b'{"reason":"old","clock_ms":5}'): StartResult(False, "old", 5.0),
            (429, b""): StartResult(False, "unhealthy", 0.0),
            (503, b"<html>"): StartResult(False, "unhealthy", 0.0),
            (400, b"{}"): StartResult(False, "invalid", 0.0),
        }
        for (status, body), expected in cases.items():
            with self.subTest(status=status):
                self.assertEqual(start(status, body), expected)

    def test_other_owner_or_incarnation(self) -> None:
        with self.assertRaises(FencedError):
            start(409, b'{"reason":"fence"}')
        with self.assertRaises(TargetReplacedError):
            start(421)

    def test_answer_that_rules_nothing_out_leaves_the_outcome_unknown(self) -> None:
        # A task whose run may have begun must not be started elsewhere: only the answers that the
        # protocol names promise that the target did nothing.
        for status, body in ((500, b""), (502, b"{}"), (404, b""), (200, b"x"), (409, b"x")):
            with self.subTest(status=status), self.assertRaises(OutcomeUnknownError):
                start(status, body)


if __name__ == "__main__":
    unittest.main()
