"""Meaning of the store's answers to an append."""

from __future__ import annotations

import time
import unittest
from unittest.mock import patch

from adapter.store import StoreLog
from azurecleat_base import HttpClient, HttpResponse
from azurecleat_base.exceptions import AppendUnknownError, FencedError, LogUnavailableError
from azurecleat_cluster.ports import JOBS, PROGRESS, Writer


def append(status: int, body: bytes = b"", writer: Writer | None = None) -> int:
    """Appends a record to a store that gives the answer."""
    answer = HttpResponse(status, body, {})
    with patch.object(HttpClient, "call", lambda *arguments, **options: answer):
        stream = PROGRESS if writer else JOBS
        return StoreLog("127.0.0.1:1").append(stream, [("key", b"value")], 0.5, writer)


class AppendAnswersTest(unittest.TestCase):
    """Answers to an append."""

    def test_appended(self) -> None:
        self.assertEqual(append(200, b'{"offset":7,"end":8}'), 7)

    def test_nothing_was_appended(self) -> None:
        for status in (400, 403, 412, 429, 503, 507):
            with self.subTest(status=status), self.assertRaises(LogUnavailableError):
                append(status)

    def test_fenced(self) -> None:
        with self.assertRaises(FencedError):
            append(409, b'{"reason":"fenced"}', Writer("owner", 3, 1))

    def test_answer_that_rules_nothing_out_leaves_the_outcome_unknown(self) -> None:
        # A caller may hand in a job elsewhere after a refusal, so the answer must not be a refusal
        # while the job may be in the log.
        for status in (500, 502, 404):
            with self.subTest(status=status), self.assertRaises(AppendUnknownError):
                append(status)

    def test_transfer_of_many_records_does_not_count_as_latency(self) -> None:
        def answer(
            client: HttpClient, method: str, path: str, *args: object, **options: object
        ):  # noqa: ANN202
            time.sleep(0.1 if path.startswith("/log-newest") else 0.0)
            return HttpResponse(200, b'{"items":[],"end":1,"offset":1}', {})

        log = StoreLog("127.0.0.1:1")
        with patch.object(HttpClient, "call", answer):
            for _ in range(5):
                log.newest(JOBS)
            self.assertLess(log.latency_s(), 0.01)
            log.append(JOBS, [("key", b"value")], 0.5)
        self.assertGreater(log.latency_s(), 0.0)


if __name__ == "__main__":
    unittest.main()
