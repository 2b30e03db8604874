"""Calls to other instances over TCP, with one connection and one reader thread per peer."""

from __future__ import annotations

import itertools
import socket
import threading
from concurrent.futures import Future, InvalidStateError
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Protocol

from azurecleat_model.events import PEER_CONNECTED, PEER_LOST, log_event
from azurecleat_model.exceptions import (
    FrameError,
    PeerAnswerLostError,
    PeerNotSentError,
)

from azurecleat_peers._internal.codec import Envelope, decode, encode
from azurecleat_peers._internal.framing import receive_frame, send_frame
from azurecleat_peers._internal.messages import Hello, Message

CONNECT_TIMEOUT_S = 1.0


class ConnectionRefusedByHostError(PeerNotSentError):
    """The host refused the connection: no process listens at the address."""


class PeerNetwork(Protocol):
    """Interface for calls to other instances."""

    def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Sends a message and returns its answer.

        :raises PeerNotSentError: Nothing was sent.
        :raises FrameError: The message is too large; nothing was sent.
        :raises PeerAnswerLostError: The message was sent, but no answer was received in time.
        """

    def forget(self, address: str) -> None:
        """Closes the connection to an instance that has left."""


class _Connection:
    """A connection to a peer.

    An answer goes to the caller whose message has the same id; an answer without a waiting
    caller is dropped.
    """

    def __init__(self, address: str, hello: Hello) -> None:
        self._address = address
        self._message_ids = itertools.count(1)
        self._pending: dict[int, Future[Message]] = {}
        self._lock = threading.Lock()
        self._closed = False
        self._socket = self._open()
        self._send(Envelope(0, hello))
        threading.Thread(target=self._read, name=f"peer-{address}", daemon=True).start()
        log_event(PEER_CONNECTED, peer=address)

    @property
    def is_closed(self) -> bool:
        return self._closed

    def call(self, message: Message, timeout_s: float) -> Message:
        message_id = next(self._message_ids)
        future: Future[Message] = Future()
        with self._lock:
            if self._closed:
                raise PeerNotSentError("not connected", step="peer.send", peer=self._address)
            self._pending[message_id] = future
        try:
            self._send(Envelope(message_id, message))
            return future.result(timeout_s)
        except FrameError:
            raise
        except (OSError, FutureTimeoutError) as error:
            if isinstance(error, OSError) and not isinstance(error, TimeoutError):
                self.close(str(error))
            raise PeerAnswerLostError(
                f"no answer: {type(error).__name__}",
                step="peer.receive",
                peer=self._address,
            ) from error
        finally:
            self._pending.pop(message_id, None)

    def close(self, reason: str) -> None:
        with self._lock:
            if self._closed:
                return
            self._closed = True
            pending = list(self._pending.values())
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()
        error = PeerAnswerLostError(
            f"connection lost: {reason}", step="peer.receive", peer=self._address
        )
        for future in pending:
            try:
                future.set_exception(error)
            except InvalidStateError:
                pass
        log_event(PEER_LOST, peer=self._address, error=reason)

    def _open(self) -> socket.socket:
        host, _, port = self._address.rpartition(":")
        try:
            connection = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        except ConnectionRefusedError as error:
            raise ConnectionRefusedByHostError(
                "connection refused", step="peer.connect", peer=self._address
            ) from error
        except OSError as error:
            raise PeerNotSentError(str(error), step="peer.connect", peer=self._address) from error
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(None)
        return connection

    def _send(self, envelope: Envelope) -> None:
        data = encode(envelope)
        with self._lock:
            send_frame(self._socket, data)

    def _read(self) -> None:
        reason = "closed by peer"
        try:
            while (data := receive_frame(self._socket)) is not None:
                envelope = decode(data)
                future = self._pending.get(envelope.id)
                if future is not None:
                    _resolve(future, envelope.message)
        except (OSError, FrameError) as error:
            reason = str(error)
        self.close(reason)


class TcpPeerNetwork:
    """Keeps one connection per peer, opened when first needed.

    :param hello: First message on each connection; identifies this instance.
    """

    def __init__(self, hello: Hello) -> None:
        self._hello = hello
        self._connections: dict[str, _Connection] = {}
        self._locks: dict[str, threading.Lock] = {}
        self._lock = threading.Lock()

    def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Sends a message and returns its answer."""
        return self._connection(address).call(message, timeout_s)

    def forget(self, address: str) -> None:
        """Closes the connection to an instance that has left."""
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close("instance is gone")

    def close(self) -> None:
        """Closes all connections."""
        for address in list(self._connections):
            self.forget(address)

    def _connection(self, address: str) -> _Connection:
        with self._lock:
            lock = self._locks.setdefault(address, threading.Lock())
        # One lock per peer: a connection attempt may take a second and must not delay calls to
        # other peers.
        with lock:
            connection = self._connections.get(address)
            if connection is None or connection.is_closed:
                connection = _Connection(address, self._hello)
                self._connections[address] = connection
            return connection


def _resolve(future: Future[Message], message: Message) -> None:
    try:
        future.set_result(message)
    except InvalidStateError:
        pass
