"""Calls between instances: small JSON questions over HTTP on the instance's own port.

The same server and client libraries serve callers and the log, so that the process carries no
second protocol; its memory is what an instance costs most.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from azurecleat_base import AnswerLostError, HttpExchange, NotSentError
from azurecleat_base.exceptions import AzurecleatError, PeerAnswerLostError, PeerNotSentError

from azurecleat_cluster._internal.front.desk import OwnerCalls
from azurecleat_cluster._internal.owner.service import OwnerService
from azurecleat_cluster._internal.ports import Adviser
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster._internal.values import JobState

ASK_TIMEOUT_S = 0.4
"""Longest wait for the owner's answer; the asking instance's own view is the fallback."""

CONNECT_TIMEOUT_S = 0.3
MAX_BODY_BYTES = 1 << 20

Start = Callable[[str, list[tuple[str, str]]], Any]


class Peer:
    """Client of one other instance."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._exchange = HttpExchange(address, CONNECT_TIMEOUT_S)

    @property
    def address(self) -> str:
        return self._address

    def ask(self, question: str, fields: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        """Asks a question and returns the answer.

        :raises PeerNotSentError: The question never left this instance.
        :raises PeerAnswerLostError: No usable answer came in time.
        """
        step = f"peer.{question}"
        try:
            answer = self._exchange.call(
                "POST", f"/{question}", json.dumps(fields).encode(), timeout_s=timeout_s
            )
        except NotSentError as error:
            raise PeerNotSentError(str(error), step=step, peer=self._address) from error
        except AnswerLostError as error:
            raise PeerAnswerLostError(str(error), step=step, peer=self._address) from error
        if answer.status != 200:
            raise PeerAnswerLostError(f"answered {answer.status}", step=step, peer=self._address)
        try:
            return json.loads(answer.body)
        except ValueError as error:
            raise PeerAnswerLostError(str(error), step=step, peer=self._address) from error

    def close(self) -> None:
        self._exchange.close()


class PeerAdviser:
    """Asks the advice service through another instance."""

    def __init__(self, address: str) -> None:
        self._peer = Peer(address)

    def advise(self, step: str, targets: Sequence[str], timeout_s: float) -> dict[str, str]:
        fields = {"step": step, "targets": list(targets), "timeout_s": timeout_s}
        return self._peer.ask("advise", fields, timeout_s + ASK_TIMEOUT_S)["tickets"]


class OwnerPeer(OwnerCalls):
    """Asks the owner, wherever it is."""

    def __init__(self, instance: str, replica: JobReplica) -> None:
        self._instance = instance
        self._replica = replica
        self._peer: Peer | None = None

    def state(self, job: str) -> JobState | None:
        answer = self._ask("state", {"job": job})
        return JobState(answer["state"]) if answer and answer["state"] else None

    def pending(self, queue: str) -> int | None:
        answer = self._ask("pending", {"queue": queue})
        return answer["count"] if answer else None

    def _ask(self, question: str, fields: dict[str, Any]) -> dict[str, Any] | None:
        claim = self._replica.claim
        if claim.released or claim.instance == self._instance:
            return None
        peer = self._peer
        if peer is None or peer.address != claim.address:
            peer = self._peer = Peer(claim.address)
        try:
            return peer.ask(question, fields, ASK_TIMEOUT_S)
        except AzurecleatError:
            return None  # The caller falls back on its own view.


class PeerApplication:
    """WSGI application that answers other instances."""

    def __init__(self, replica: JobReplica, owner: OwnerService, adviser: Adviser | None) -> None:
        self._replica = replica
        self._owner = owner
        self._adviser = adviser

    def __call__(self, environ: dict[str, Any], start: Start) -> Iterable[bytes]:
        try:
            length = min(int(environ.get("CONTENT_LENGTH") or 0), MAX_BODY_BYTES)
            fields = json.loads(environ["wsgi.input"].read(length) or b"{}")
            answer = self._answer(environ["PATH_INFO"], fields)
        except (ValueError, KeyError, TypeError):
            return _send(start, "400 Bad Request", {})
        except AzurecleatError as error:
            return _send(start, "503 Service Unavailable", {"error": str(error)})
        if answer is None:
            return _send(start, "404 Not Found", {})
        return _send(start, "200 OK", answer)

    def _answer(self, path: str, fields: dict[str, Any]) -> dict[str, Any] | None:
        match path:
            case "/state" if self._owner.term is not None:
                state = self._replica.state(fields["job"])
                return {"state": state.value if state else ""}
            case "/pending" if self._owner.term is not None:
                return {"count": self._replica.pending(fields["queue"])}
            case "/advise" if self._adviser is not None:
                tickets = self._adviser.advise(
                    fields["step"], fields["targets"], fields["timeout_s"]
                )
                return {"tickets": tickets}
            case "/vacant":
                self._owner.nudge()
                return {}
        return None


def _send(start: Start, status: str, value: dict[str, Any]) -> list[bytes]:
    body = json.dumps(value).encode()
    start(
        status,
        [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
    )
    return [body]
