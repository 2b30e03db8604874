"""Appends that an instance forwards to the batching instance."""

from __future__ import annotations

import unittest
from typing import Any

from azurecleat_base import ManualClock
from azurecleat_base.exceptions import AzurecleatError, PeerAnswerLostError, PeerNotSentError
from azurecleat_cluster._internal.front.request_handler import AppendOutcome
from azurecleat_cluster._internal.peers import PeerOwnerClient
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

    # Guards against a rejection of a job that runs: the record is queued at the batching instance
    # when that instance refuses the connection for the next request.
    def test_outcome_of_a_queued_append_is_unknown_after_any_failure(self) -> None:
        for error in (PeerNotSentError("connection refused"), PeerAnswerLostError("timeout")):
            with self.subTest(error=error):
                peer = ScriptedPeer({"outcome": "queued"}, {"outcome": "queued"}, error)
                self.assertEqual(self.append(peer), AppendOutcome.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
