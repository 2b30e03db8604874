"""Requests between instances: small JSON documents over HTTP, on a port of the instance.

HTTP is used because callers and the log need its client and server anyway. A second protocol would
cost memory, which is an instance's largest expense.
"""

from __future__ import annotations

import json
import secrets
import threading
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any, Protocol

from azurecleat_base import (
    AnswerLostError,
    Clock,
    HttpClient,
    NotSentError,
    parse_json_object,
)
from azurecleat_base.exceptions import (
    AzurecleatError,
    DocumentError,
    LogUnavailableError,
    PeerAnswerLostError,
    PeerNotSentError,
)

from azurecleat_cluster._internal.exceptions import PeerStatusError
from azurecleat_cluster._internal.front.append_outcome import AppendOutcome
from azurecleat_cluster._internal.front.request_handler import OwnerClient
from azurecleat_cluster._internal.owner.service import OwnerService
from azurecleat_cluster._internal.ports import Adviser
from azurecleat_cluster._internal.replica.appender import GroupAppender
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster._internal.replica.records import is_key
from azurecleat_cluster._internal.values import JobState

REQUEST_TIMEOUT_S = 0.4
"""Time limit of a request. For reads from the owner the fallback is this instance's replica."""

CONNECT_TIMEOUT_S = 0.3

RELEASE_NOTICE_TIMEOUT_S = 0.2
MAX_RELEASE_NOTICES = 8
"""Notices of a release in flight at the same time."""

BACKOFF_S = 1.0
"""Time during which no request is sent to an instance that gave no answer."""

APPEND_POLL_S = 0.1
"""How long the batching instance waits for an append before it answers that it is queued."""

QUEUED_POLL_S = 0.25
"""How long the batching instance waits in each later request for the outcome of the append."""

BATCHED_APPEND_TIMEOUT_S = 2.5
"""Time limit of an append by the batching instance. On a slow log an append may wait for two others
to complete."""

APPEND_ID_BYTES = 8
"""Length of the random id of a forwarded append."""

MAX_QUEUED_APPENDS = 2048
"""Maximum number of queued appends that the batching instance keeps. Above it the oldest one, whose
instance has most likely given it up, is forgotten, and its outcome is answered as unknown."""

MAX_BODY_BYTES = 1 << 20

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Peer:
    """Client of one other instance."""

    def __init__(self, address: str, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self._address = address
        self._client = HttpClient(address, connect_timeout_s)

    @property
    def address(self) -> str:
        return self._address

    def request(self, operation: str, fields: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        """Sends a request and returns the answer.

        :raises PeerNotSentError: The request was not sent.
        :raises PeerStatusError: The peer answered with an error status.
        :raises PeerAnswerLostError: The request was sent and no usable answer came in time.
        """
        step = f"peer.{operation}"
        try:
            answer = self._client.call(
                "POST", f"/{operation}", json.dumps(fields).encode(), timeout_s=timeout_s
            )
        except NotSentError as error:
            raise PeerNotSentError(str(error), step=step, peer=self._address) from error
        except AnswerLostError as error:
            raise PeerAnswerLostError(str(error), step=step, peer=self._address) from error
        if answer.status != 200:
            raise PeerStatusError(f"answered {answer.status}", step=step, peer=self._address)
        try:
            return parse_json_object(answer.body, "answer")
        except DocumentError as error:
            raise PeerAnswerLostError(str(error), step=step, peer=self._address) from error

    def close(self) -> None:
        self._client.close()


def send_release_notices(addresses: Iterable[str], epoch: int) -> None:
    """Notifies instances that this one has released ownership, without waiting for answers.

    The release record must not wait for instances that are gone: without it in time, a successor
    takes this one for lost, and waits longer before it starts tasks again.
    """
    executor = ThreadPoolExecutor(MAX_RELEASE_NOTICES, thread_name_prefix="notice")
    try:
        for address in addresses:
            executor.submit(_send_release_notice, address, epoch)
    except RuntimeError:  # The limit of threads is reached.
        pass
    executor.shutdown(wait=False)


def _send_release_notice(address: str, epoch: int) -> None:
    peer = Peer(address)
    try:
        peer.request("vacant", {"epoch": epoch}, RELEASE_NOTICE_TIMEOUT_S)
    except AzurecleatError:
        pass  # Standbys also learn of the release from the log, with their next read.
    finally:
        peer.close()


class BackOff:
    """The instances that gave no answer within the last ``BACKOFF_S`` seconds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until: dict[str, float] = {}

    def start(self, address: str) -> None:
        self._until[address] = self._clock.monotonic() + BACKOFF_S

    def is_on(self, address: str) -> bool:
        return self._clock.monotonic() < self._until.get(address, 0.0)


class PeerAdviser:
    """Requests advice from the advice service through another instance."""

    def __init__(self, address: str) -> None:
        self._peer = Peer(address)

    def advise(self, step: str, targets: Sequence[str], timeout_s: float) -> dict[str, str]:
        fields = {"step": step, "targets": list(targets), "timeout_s": timeout_s}
        return self._peer.request("advise", fields, timeout_s + REQUEST_TIMEOUT_S)["tickets"]


class PeerOwnerClient(OwnerClient):
    """Sends requests to the owner and to the batching instance.

    An instance that gave no answer gets no request for ``BACKOFF_S`` seconds.

    :param backoff: Shared with other clients of this instance.
    """

    def __init__(
        self,
        instance: str,
        own_address: str,
        replica: JobReplica,
        clock: Clock,
        backoff: BackOff | None = None,
    ) -> None:
        self._instance = instance
        self._own_address = own_address
        self._replica = replica
        self._clock = clock
        self._lock = threading.Lock()
        self._peers: dict[str, Peer] = {}
        self._backoff = backoff or BackOff(clock)

    def state(self, job: str) -> JobState | None:
        answer = self._request_owner("state", {"job": job}, REQUEST_TIMEOUT_S) or {}
        try:
            return JobState(answer["state"]) if answer.get("state") else None
        except ValueError:
            return None  # The caller of this method falls back on the replica.

    def pending(self, queue: str) -> int | None:
        answer = self._request_owner("pending", {"queue": queue}, REQUEST_TIMEOUT_S)
        count = answer.get("count") if answer else None
        return count if isinstance(count, int) else None

    def append(
        self, key: str, value: bytes, timeout_s: float, should_give_up: Callable[[], bool]
    ) -> AppendOutcome:
        """Appends a record through the batching instance and waits while the record is queued."""
        address = self.batcher_address()
        if address is None:
            return AppendOutcome.NOT_SENT
        deadline = self._clock.monotonic() + timeout_s
        fields = {"key": key, "id": secrets.token_hex(APPEND_ID_BYTES)}
        try:
            outcome = self._request_append(
                address, "append", fields | {"value": value.decode()}, REQUEST_TIMEOUT_S
            )
        except PeerNotSentError:
            return AppendOutcome.NOT_SENT
        except AzurecleatError:
            return AppendOutcome.UNKNOWN
        if outcome is not AppendOutcome.QUEUED:
            return outcome
        return self._await_queued(address, fields, deadline, should_give_up)

    def _await_queued(
        self,
        address: str,
        fields: dict[str, str],
        deadline: float,
        should_give_up: Callable[[], bool],
    ) -> AppendOutcome:
        """Waits for the outcome of an append that the batching instance has queued.

        Without an answer the outcome is unknown, even if the request was not sent: the batching
        instance may have sent the record to the log.

        :param fields: Key and id of the append.
        """
        outcome = AppendOutcome.QUEUED
        while outcome is AppendOutcome.QUEUED:
            left_s = deadline - self._clock.monotonic()
            if should_give_up():
                self._backoff.start(address)
                return AppendOutcome.UNKNOWN
            if left_s <= 0:
                return AppendOutcome.UNKNOWN
            try:
                outcome = self._request_append(
                    address, "appended", fields, QUEUED_POLL_S + REQUEST_TIMEOUT_S
                )
            except AzurecleatError:
                return AppendOutcome.UNKNOWN
        return outcome

    def _request_append(
        self, address: str, operation: str, fields: dict[str, str], timeout_s: float
    ) -> AppendOutcome:
        answer = self._request(address, operation, fields, timeout_s)
        try:
            return decode_append_outcome(answer, fields["id"])
        except (KeyError, ValueError):
            return AppendOutcome.UNKNOWN

    def batcher_address(self) -> str | None:
        """Returns the batching instance's address, None if that is this instance or there is none.

        All instances apply the same rule: the owner, or else the first instance by address, without
        the instances that recently gave no answer.
        """
        claim = self._replica.claim
        addresses = sorted(entry.address for entry in self._replica.instances.values())
        if not claim.released:
            addresses.insert(0, claim.address)
        for address in addresses:
            if address == self._own_address:
                return None
            if not self._backoff.is_on(address):
                return address
        return None

    def _request_owner(
        self, operation: str, fields: dict[str, Any], timeout_s: float
    ) -> dict[str, Any] | None:
        claim = self._replica.claim
        if claim.released or claim.instance == self._instance or self._backoff.is_on(claim.address):
            return None
        try:
            return self._request(claim.address, operation, fields, timeout_s)
        except AzurecleatError:
            return None  # The caller of this method falls back on the replica.

    def _request(
        self, address: str, operation: str, fields: dict[str, Any], timeout_s: float
    ) -> dict[str, Any]:
        with self._lock:
            peer = self._peers.get(address)
            if peer is None:
                peer = self._peers[address] = Peer(address)
        try:
            return peer.request(operation, fields, timeout_s)
        except AzurecleatError:
            self._backoff.start(address)
            raise


class RelaySource(Protocol):
    """Answers to instances without the log. None if this instance has nothing to answer with."""

    def configuration(self, version: int) -> dict[str, Any] | None: ...

    def state(self, job: str) -> dict[str, Any] | None: ...

    def pending(self, queue: str) -> dict[str, Any] | None: ...


class PeerApplication:
    """WSGI application that serves requests of other instances.

    :param relay: Serves instances without the log; None if that feature is off.
    """

    def __init__(
        self,
        replica: JobReplica,
        appender: GroupAppender,
        owner: OwnerService,
        adviser: Adviser | None,
        is_log_lost: Callable[[], bool],
        relay: RelaySource | None = None,
    ) -> None:
        self._replica = replica
        self._appender = appender
        self._is_log_lost = is_log_lost
        self._queued: dict[str, Future[AppendOutcome]] = {}
        self._lock = threading.Lock()
        self._owner = owner
        self._adviser = adviser
        self._relay = relay

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        try:
            length = min(int(environ.get("CONTENT_LENGTH") or 0), MAX_BODY_BYTES)
            fields = parse_json_object(environ["wsgi.input"].read(length) or b"{}", "request")
            answer = self._answer(environ["PATH_INFO"], fields)
        except (DocumentError, ValueError, KeyError, TypeError, AttributeError, OverflowError):
            return _respond(start, "400 Bad Request", {})
        except AzurecleatError as error:
            return _respond(start, "503 Service Unavailable", {"error": str(error)})
        if answer is None:
            return _respond(start, "404 Not Found", {})
        return _respond(start, "200 OK", answer)

    def _answer(self, path: str, fields: dict[str, Any]) -> dict[str, Any] | None:
        match path:
            case "/state" if self._owner.term is not None:
                state = self._replica.state(fields["job"])
                return {"state": state.value if state else ""}
            case "/pending" if self._owner.term is not None:
                return {"count": self._replica.pending(fields["queue"])}
            case "/append":
                append_id = fields.get("id", "")
                outcome = self._append(fields["key"], fields["value"].encode(), append_id)
                return _append_answer(outcome, append_id)
            case "/appended":
                append_id = fields.get("id", "")
                return _append_answer(self._await_queued(fields["key"], append_id), append_id)
            case "/advise" if self._adviser is not None:
                tickets = self._adviser.advise(
                    fields["step"], fields["targets"], fields["timeout_s"]
                )
                return {"tickets": tickets}
            case "/configuration" if self._relay is not None:
                return self._relay.configuration(int(fields["version"]))
            case "/replica-state" if self._relay is not None:
                return self._relay.state(fields["job"])
            case "/replica-pending" if self._relay is not None:
                return self._relay.pending(fields["queue"])
            case "/vacant":
                self._owner.on_owner_released(int(fields["epoch"]))
                return {}
        return None

    def _append(self, key: str, value: bytes, append_id: str) -> AppendOutcome:
        """Appends a record for another instance and waits briefly for the outcome.

        :param append_id: Id that the other instance gave the append; empty if that instance is of
            an earlier version, which names only the key.
        """
        if not isinstance(key, str) or not is_key(key):
            raise ValueError("a key is a text of limited length")
        if self._is_log_lost():
            return AppendOutcome.NOT_SENT
        append = _outcome_of(self._appender.submit(key, value, BATCHED_APPEND_TIMEOUT_S))
        outcome = _await_outcome(append, APPEND_POLL_S)
        if outcome is AppendOutcome.QUEUED:
            self._keep(append_id or key, append)
        return outcome

    def _keep(self, name: str, append: Future[AppendOutcome]) -> None:
        """Keeps a queued append until its outcome is asked for, or forgets the oldest one."""
        with self._lock:
            self._queued[name] = append
            if len(self._queued) > MAX_QUEUED_APPENDS:
                del self._queued[next(iter(self._queued))]

    def _await_queued(self, key: str, append_id: str) -> AppendOutcome:
        """Waits for an append that was answered ``QUEUED`` and returns its outcome.

        Returns ``UNKNOWN`` if this instance does not have the append, as after a restart or above
        ``MAX_QUEUED_APPENDS``, and ``QUEUED`` after ``QUEUED_POLL_S`` seconds, which shows the
        requesting instance that this instance is alive.
        """
        with self._lock:
            append = self._queued.get(append_id or key)
        if append is None:
            return AppendOutcome.UNKNOWN
        outcome = _await_outcome(append, QUEUED_POLL_S)
        if outcome is not AppendOutcome.QUEUED:
            with self._lock:
                self._queued.pop(append_id or key, None)
        if outcome is AppendOutcome.NOT_SENT and not append_id:
            # The key does not tell this append from an earlier one that the log may still receive.
            return AppendOutcome.UNKNOWN
        return outcome


def _outcome_of(append: Future[int]) -> Future[AppendOutcome]:
    """Returns the outcome without the exception, whose traceback refers to a batch of records."""
    outcome: Future[AppendOutcome] = Future()

    def on_done(done: Future[int]) -> None:
        match done.exception():
            case None:
                outcome.set_result(AppendOutcome.DONE)
            case LogUnavailableError():
                outcome.set_result(AppendOutcome.NOT_SENT)
            case _:
                outcome.set_result(AppendOutcome.UNKNOWN)

    append.add_done_callback(on_done)
    return outcome


def _await_outcome(append: Future[AppendOutcome], wait_s: float) -> AppendOutcome:
    """Returns the outcome of an append, or ``QUEUED`` after ``wait_s`` seconds."""
    try:
        return append.result(wait_s)
    except FutureTimeoutError:
        return AppendOutcome.QUEUED


def decode_append_outcome(answer: dict[str, Any], append_id: str) -> AppendOutcome:
    """Decodes the outcome of an append that another instance was asked to make."""
    outcome = AppendOutcome(answer["outcome"])
    if outcome is AppendOutcome.NOT_SENT and answer.get("id") != append_id:
        # An instance of an earlier version identifies appends by key alone, so that this may be
        # the outcome of another append of the key.
        return AppendOutcome.UNKNOWN
    return outcome


def _append_answer(outcome: AppendOutcome, append_id: str) -> dict[str, str]:
    return {"outcome": outcome.value} | ({"id": append_id} if append_id else {})


def _respond(start: StartResponse, status: str, value: dict[str, Any]) -> list[bytes]:
    body = json.dumps(value).encode()
    start(
        status,
        [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
    )
    return [body]
