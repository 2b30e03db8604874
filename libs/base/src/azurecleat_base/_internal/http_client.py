"""HTTP calls that know whether a request left the process.

``http.client`` raises the same errors before and after the first byte was sent. Work that must
not run twice may be sent again only if nothing was sent, so the steps are kept apart here.
"""

from __future__ import annotations

import http.client
import select
import threading
from collections.abc import Mapping
from typing import NamedTuple

from azurecleat_base._internal.traffic import TRAFFIC

MAX_RESPONSE_BYTES = 16 << 20


class HttpResponse(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes
    headers: Mapping[str, str]


class NotSentError(Exception):
    """No byte of the request was sent. ``refused`` tells that the host answered with a reset."""

    def __init__(self, message: str, *, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


class AnswerLostError(Exception):
    """Bytes were sent and no whole answer came."""


class _CountingConnection(http.client.HTTPConnection):
    """Counts the bytes it sends."""

    def send(self, data: bytes) -> None:
        super().send(data)
        TRAFFIC.add("platform", len(data))


class HttpClient:
    """Keeps idle connections to one server and makes calls over them, from any thread.

    :param address: ``host:port`` of the server.
    :param connect_timeout_s: Seconds to wait for a connection.
    :param max_idle: Idle connections kept open.
    """

    def __init__(self, address: str, connect_timeout_s: float = 1.0, max_idle: int = 4) -> None:
        self._address = address
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
        """Makes one call and returns the whole answer.

        :param timeout_s: Longest wait for progress on the connection.
        :param kept_only: Sends nothing unless a connection of an earlier call is still there.
        :raises NotSentError: Nothing was sent.
        :raises AnswerLostError: Something was sent and no whole answer came.
        """
        connection = self._connect(reuse_only)
        connection.sock.settimeout(timeout_s)
        try:
            connection.request(method, path, body, dict(headers or {}))
            response = connection.getresponse()
            answer = self._read(response)
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise AnswerLostError(f"{type(error).__name__}: {error}") from error
        TRAFFIC.add("platform", _wire_bytes(response, answer.body))
        self._return_to_pool(connection, response)
        return answer

    def close(self) -> None:
        """Closes idle connections."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _connect(self, reuse_only: bool) -> http.client.HTTPConnection:
        while True:
            with self._lock:
                connection = self._idle.pop() if self._idle else None
            if connection is None:
                break
            if not _is_readable(connection):
                return connection
            # The server closed it while idle; a request sent over it would be lost.
            connection.close()
        if reuse_only:
            raise NotSentError("no connection of an earlier call is left")
        host, _, port = self._address.rpartition(":")
        connection = _CountingConnection(host, int(port), timeout=self._connect_timeout_s)
        try:
            connection.connect()
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise NotSentError(f"{type(error).__name__}: {error}", refused=refused) from error
        return connection

    def _read(self, response: http.client.HTTPResponse) -> HttpResponse:
        # http.client takes headers that were cut off for all of them; without a length, an
        # answer cut there would pass for a whole one with an empty body.
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
                if not self._closed and len(self._idle) < self._max_idle:
                    self._idle.append(connection)
                    return
        connection.close()


def _is_readable(connection: http.client.HTTPConnection) -> bool:
    poll = select.poll()
    poll.register(connection.sock, select.POLLIN | select.POLLHUP)
    return bool(poll.poll(0))


def _wire_bytes(response: http.client.HTTPResponse, body: bytes) -> int:
    """Returns the length of an answer with its status line and headers."""
    status_line = len(f"HTTP/1.1 {response.status} {response.reason}\r\n")
    headers = sum(len(name) + len(value) + 4 for name, value in response.getheaders())
    return status_line + headers + 2 + len(body)
