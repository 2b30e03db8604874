"""Appends that an instance forwards to the batching instance."""

from __future__ import annotations

import gc
import io
import json
import socket
import threading
import time
import unittest
import unittest.mock
import weakref
from concurrent.futures import Future
from typing import Any

from azurecleat_base import ManualClock
from azurecleat_base.exceptions import (
    AppendUnknownError,
    AzurecleatError,
    LogUnavailableError,
    PeerAnswerLostError,
    PeerNotSentError,
)
from azurecleat_cluster._internal import peers
from azurecleat_cluster._internal.front.request_handler import AppendOutcome
from azurecleat_cluster._internal.peers import PeerApplication, PeerOwnerClient
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.ports import LogRecord

BATCHER = "10.0.0.2:1"
KEY = "s/" + "0" * 16


class ScriptedPeer:
    """Peer that gives the answers of a test, one for each request, and keeps the requests."""

    def __init__(self, *answers: dict[str, Any] | AzurecleatError) -> None:
        self._answers = iter(answers)
        self.requests: list[tuple[str, dict[str, Any]]] = []

    def request(self, operation: str, fields: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        self.requests.append((operation, fields))
        answer = next(self._answers)
        if isinstance(answer, AzurecleatError):
            raise answer
        return answer


class EchoingPeer(ScriptedPeer):
    """Peer whose answers name the append, as those of this version do."""

    def request(self, operation: str, fields: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        return super().request(operation, fields, timeout_s) | {"id": fields.get("id")}


class PeerOwnerClientTest(unittest.TestCase):
    """An instance that forwards its appends to another instance, the batching instance."""

    def append(self, peer: Any) -> AppendOutcome:
        replica = JobReplica()
        entry = records.encode_instance(records.InstanceEntry(BATCHER, 0.0))
        replica.apply_job(LogRecord(records.INSTANCE + "b", entry, 0))
        client = PeerOwnerClient("a", "10.0.0.3:1", replica, ManualClock())
        client._peers[BATCHER] = peer
        return client.append(KEY, b"{}", 2.0, lambda: False)

    def test_append_that_was_not_forwarded_is_not_sent(self) -> None:
        peer = ScriptedPeer(PeerNotSentError("connection refused"))
        self.assertEqual(self.append(peer), AppendOutcome.NOT_SENT)

    # The error passed on to the caller of the instance.
    def test_answer_that_cannot_be_read_counts_as_none(self) -> None:
        replica = JobReplica()
        claim = records.Claim(1, "b#1", BATCHER)
        replica.apply_job(LogRecord(records.claim_key(claim), records.encode_claim(claim), 0))
        client = PeerOwnerClient("a", "10.0.0.3:1", replica, ManualClock())
        for odd in ({}, {"outcome": 7, "state": "odd", "count": "7"}, {"outcome": [], "state": []}):
            with self.subTest(odd=odd):
                client._peers[BATCHER] = ScriptedPeer(odd, odd)
                self.assertEqual((client.state("job"), client.pending("q")), (None, None))
                self.assertIs(self.append(ScriptedPeer(odd)), AppendOutcome.UNKNOWN)

    # Guards against a rejection of a job that runs: the record is queued at the batching instance
    # when that instance refuses the connection for the next request.
    def test_outcome_of_a_queued_append_is_unknown_after_any_failure(self) -> None:
        for error in (PeerNotSentError("connection refused"), PeerAnswerLostError("timeout")):
            with self.subTest(error=error):
                peer = ScriptedPeer({"outcome": "queued"}, {"outcome": "queued"}, error)
                self.assertEqual(self.append(peer), AppendOutcome.UNKNOWN)

    # Guards against a rejection of a job that runs, during an upgrade: a batching instance of an
    # earlier version ignores the id and may answer for another append of the same key.
    def test_not_sent_is_the_outcome_only_if_the_answer_names_the_append(self) -> None:
        queued, not_sent = {"outcome": "queued"}, {"outcome": "not sent"}
        for answers in ((not_sent,), (queued, not_sent)):
            with self.subTest(answers=answers):
                self.assertEqual(self.append(ScriptedPeer(*answers)), AppendOutcome.UNKNOWN)
                self.assertEqual(self.append(EchoingPeer(*answers)), AppendOutcome.NOT_SENT)


class QueuedAppends:
    """Appender whose appends a test completes."""

    def __init__(self) -> None:
        self.futures: list[Future[int]] = []

    def submit(self, key: str, value: bytes, timeout_s: float) -> Future[int]:
        self.futures.append(Future())
        return self.futures[-1]


class PeerApplicationTest(unittest.TestCase):
    """The batching instance, with appends that stay queued until a test completes them."""

    def setUp(self) -> None:
        self.appender = QueuedAppends()
        self.application = PeerApplication(JobReplica(), self.appender, None, None, lambda: False)

    def request(self, operation: str, **fields: str) -> str:
        """Sends a request to the application and returns the outcome that it answers."""
        body = json.dumps({"key": KEY} | fields).encode()
        statuses: list[str] = []
        environ = {
            "PATH_INFO": f"/{operation}",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        answer = b"".join(self.application(environ, lambda status, _: statuses.append(status)))
        self.assertEqual(statuses, ["200 OK"])
        return json.loads(answer)["outcome"]

    # Guards against a rejection of a job that runs: a caller sends its request again through
    # another instance, and the outcome of the second append is told to the first instance.
    def test_each_of_two_appends_of_a_key_has_its_own_outcome(self) -> None:
        for id_ in ("1", "2"):
            self.assertEqual(self.request("append", value="{}", id=id_), "queued")
        first, second = self.appender.futures
        second.set_exception(LogUnavailableError("answered 503"))
        self.assertEqual(self.request("appended", id="1"), "queued")
        self.assertEqual(self.request("appended", id="2"), "not sent")
        first.set_result(0)
        self.assertEqual(self.request("appended", id="1"), "done")

    # Guards against a wait for a record that is in the log: the first of two instances that asks
    # must not take the outcome away from the other.
    def test_both_of_two_appends_of_a_key_are_done(self) -> None:
        for id_ in ("1", "2"):
            self.request("append", value="{}", id=id_)
        for offset, append in enumerate(self.appender.futures):
            append.set_result(offset)
        for id_ in ("1", "2"):
            self.assertEqual(self.request("appended", id=id_), "done")

    # Guards against a rejection of a job that runs, during an upgrade: an instance of an earlier
    # version names only the key, which does not tell its append from another one.
    def test_instance_without_ids_is_never_told_that_a_queued_record_was_not_sent(self) -> None:
        for expected, complete in (
            ("done", lambda append: append.set_result(0)),
            ("unknown", lambda append: append.set_exception(LogUnavailableError("answered 503"))),
            ("unknown", lambda append: append.set_exception(AppendUnknownError("timeout"))),
        ):
            with self.subTest(expected=expected):
                self.assertEqual(self.request("append", value="{}"), "queued")
                complete(self.appender.futures[-1])
                self.assertEqual(self.request("appended"), expected)

    # Guards against a rejection of a job that runs: the batching instance restarts at its address
    # and then knows only an append of another instance.
    def test_append_of_before_a_restart_is_unknown(self) -> None:
        self.request("append", value="{}", id="1")
        self.application = PeerApplication(JobReplica(), self.appender, None, None, lambda: False)
        self.request("append", value="{}", id="2")
        self.appender.futures[-1].set_exception(LogUnavailableError("answered 503"))
        self.assertEqual(self.request("appended", id="1"), "unknown")

    # Guards against memory that grows with each caller of a slow log: an instance that has given up
    # never asks for the outcome of its append.
    def test_appends_that_nobody_asks_for_are_forgotten_oldest_first(self) -> None:
        with unittest.mock.patch.multiple(peers, APPEND_POLL_S=0.0, MAX_QUEUED_APPENDS=3):
            for number in range(5):
                self.request("append", value="{}", id=str(number))
            for append in self.appender.futures:
                append.set_result(0)
            outcomes = [self.request("appended", id=str(number)) for number in range(5)]
        self.assertEqual(outcomes, ["unknown"] * 2 + ["done"] * 3)

    # Guards against the same growth: the exception of a failed append refers, through its
    # traceback, to all records of the call to the log.
    def test_exception_of_an_append_that_nobody_asks_for_is_not_kept(self) -> None:
        self.request("append", value="{}", id="1")
        error = LogUnavailableError("answered 503")
        reference = weakref.ref(error)
        self.appender.futures.pop().set_exception(error)
        del error
        gc.collect()
        self.assertIsNone(reference())
        self.assertEqual(self.request("appended", id="1"), "not sent")


class ReleaseNoticeTest(unittest.TestCase):
    """Notices of a release to instances of which some are gone."""

    # The owner's release record waited for each instance that was cut off, one after the other, for
    # longer than a process has to stop.
    def test_notices_are_not_waited_for(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as silent, socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            gone = [f"127.0.0.1:{each.getsockname()[1]}" for each in (silent, unused)]
            notified = threading.Event()

            def serve(operation: str, fields: dict[str, Any], timeout_s: float) -> dict[str, Any]:
                notified.set()
                return {}

            with unittest.mock.patch.object(peers, "Peer", side_effect=peers.Peer) as make:
                live = unittest.mock.Mock(request=serve)
                real = make.side_effect
                make.side_effect = lambda address: live if address == "live" else real(address)
                began_at = time.monotonic()
                peers.send_release_notices([*gone * 10, "live"], 1)
                self.assertLess(time.monotonic() - began_at, peers.RELEASE_NOTICE_TIMEOUT_S)
                self.assertTrue(notified.wait(5.0))


if __name__ == "__main__":
    unittest.main()
