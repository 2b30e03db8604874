"""HTTP client whose errors show whether any byte of a request was sent.

``http.client`` raises the same errors before and after the first byte is sent. A request that must
not be executed twice may be retried only if nothing was sent, so this module connects and sends in
separate steps.
"""

from __future__ import annotations

import http.client
import select
import threading
from collections.abc import Mapping
from typing import NamedTuple

from azurecleat_base._internal.documents import split_address
from azurecleat_base._internal.traffic import TRAFFIC

MAX_RESPONSE_BYTES = 16 << 20


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    body: bytes
    headers: Mapping[str, str]


class NotSentError(Exception):
    """No byte of the request was sent.

    :param refused: Whether the host refused the connection.
    """

    def __init__(self, message: str, *, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


class AnswerLostError(Exception):
    """Bytes were sent and no complete response was received."""


class _CountingConnection(http.client.HTTPConnection):
    """Connection that adds the bytes sent to :data:`TRAFFIC`."""

    def send(self, data: bytes) -> None:
        super().send(data)
        TRAFFIC.add("platform", len(data))


class IdleBudget:
    """Bounds the idle connections of many clients together: the one idle for longest is closed.

    :param max_count: Maximum number of idle connections kept open.
    """

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._lock = threading.Lock()
        self._owners: dict[http.client.HTTPConnection, HttpClient] = {}
        """Client of each idle connection, longest idle first."""

    def add(self, connection: http.client.HTTPConnection, owner: HttpClient) -> None:
        """Notes that a connection is idle; lets a client close one if there are too many."""
        with self._lock:
            self._owners.pop(connection, None)
            self._owners[connection] = owner
            if len(self._owners) <= self._max_count:
                return
            oldest = next(iter(self._owners))
            owner = self._owners.pop(oldest)
        owner.close_idle(oldest)

    def remove(self, connection: http.client.HTTPConnection) -> None:
        """Notes that a connection is in use or closed."""
        with self._lock:
            self._owners.pop(connection, None)


class HttpClient:
    """Thread-safe client of one server that reuses idle connections.

    :param address: ``host:port`` of the server. To any other address nothing can be sent.
    :param connect_timeout_s: Time limit for opening a connection, in seconds.
    :param max_idle: Maximum number of idle connections kept open.
    :param budget: Bound that this client shares with others; none by default.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_s: float = 1.0,
        max_idle: int = 4,
        budget: IdleBudget | None = None,
    ) -> None:
        self._address = address
        self._budget = budget
        self._connect_timeout_s = connect_timeout_s
        self._max_idle = max_idle
        self._idle: list[http.client.HTTPConnection] = []
        self._lock = threading.Lock()
        self._closed = False

    @property
    def address(self) -> str:
        return self._address

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
        reuse_only: bool = False,
    ) -> HttpResponse:
        """Sends one request and returns the complete response.

        :param timeout_s: Time limit of each read or write on the connection, in seconds.
        :param reuse_only: Sends nothing unless a connection of an earlier call is still open.
        :raises NotSentError: Nothing was sent.
        :raises AnswerLostError: Bytes were sent and no complete response was received.
        """
        connection = self._connect(reuse_only)
        connection.sock.settimeout(timeout_s)
        try:
            connection.request(method, path, body, dict(headers or {}))
        except ValueError as error:
            # The path or a header can't be encoded: that shows before anything is sent.
            connection.close()
            raise NotSentError(f"{type(error).__name__}: {error}") from error
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise AnswerLostError(f"{type(error).__name__}: {error}") from error
        try:
            response = connection.getresponse()
            answer = self._read(response)
        except (OSError, ValueError, http.client.HTTPException) as error:
            connection.close()
            raise AnswerLostError(f"{type(error).__name__}: {error}") from error
        TRAFFIC.add("platform", _wire_bytes(response, answer.body))
        self._return_to_pool(connection, response)
        return answer

    def close(self) -> None:
        """Closes the idle connections; later calls keep none open."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, []
        for connection in idle:
            self._forget(connection)
            connection.close()

    def close_idle(self, connection: http.client.HTTPConnection) -> None:
        """Closes a connection if it is still idle."""
        with self._lock:
            if connection not in self._idle:
                return
            self._idle.remove(connection)
        connection.close()

    def _forget(self, connection: http.client.HTTPConnection) -> None:
        if self._budget is not None:
            self._budget.remove(connection)

    def _connect(self, reuse_only: bool) -> http.client.HTTPConnection:
        while True:
            with self._lock:
                connection = self._idle.pop() if self._idle else None
            if connection is None:
                break
            self._forget(connection)
            if not _is_readable(connection):
                return connection
            # The server has closed the idle connection: a request sent over it would be lost.
            connection.close()
        if reuse_only:
            raise NotSentError("no connection of an earlier call is open")
        try:
            host, port = split_address(self._address)
            connection = _CountingConnection(host, port, timeout=self._connect_timeout_s)
            connection.connect()
        except (OSError, ValueError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise NotSentError(f"{type(error).__name__}: {error}", refused=refused) from error
        return connection

    def _read(self, response: http.client.HTTPResponse) -> HttpResponse:
        # http.client accepts truncated headers. Without a length, a response truncated there would
        # look like a complete one with an empty body.
        if response.length is None and not response.chunked:
            raise http.client.HTTPException("answer without a length")
        body = response.read(MAX_RESPONSE_BYTES + 1)
        if len(body) > MAX_RESPONSE_BYTES:
            raise http.client.HTTPException("answer too large")
        if response.length not in (None, 0):
            raise http.client.IncompleteRead(body)
        return HttpResponse(response.status, body, dict(response.getheaders()))

    def _return_to_pool(
        self, connection: http.client.HTTPConnection, response: http.client.HTTPResponse
    ) -> None:
        if not response.will_close:
            with self._lock:
                is_kept = not self._closed and len(self._idle) < self._max_idle
                if is_kept:
                    self._idle.append(connection)
            if is_kept:
                if self._budget is not None:
                    self._budget.add(connection, self)
                return
        connection.close()


def _is_readable(connection: http.client.HTTPConnection) -> bool:
    poll = select.poll()
    poll.register(connection.sock, select.POLLIN | select.POLLHUP)
    return bool(poll.poll(0))


def _wire_bytes(response: http.client.HTTPResponse, body: bytes) -> int:
    """Returns the length in bytes of a response, including status line and headers."""
    status_line = len(f"HTTP/1.1 {response.status} {response.reason}\r\n")
    headers = sum(len(name) + len(value) + 4 for name, value in response.getheaders())
    return status_line + headers + 2 + len(body)
