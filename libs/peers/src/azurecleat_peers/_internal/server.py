"""Server for calls of other instances, with one thread per connection and bounded pools."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from azurecleat_model import ExecutionStatus
from azurecleat_model.events import BAD_FRAME, COMPONENT_FAILED, log_event
from azurecleat_model.exceptions import AzurecleatError, FrameError

from azurecleat_peers._internal.codec import Envelope, decode, encode
from azurecleat_peers._internal.framing import receive_frame, send_frame
from azurecleat_peers._internal.messages import (
    Hello,
    Message,
    Operation,
    RefusalAnswer,
    RunRequest,
)

MAX_FORWARDED_REQUESTS = 256
"""Limit on concurrent forwarded requests; requests above it are refused as not run."""

MAX_FORWARDED_OPERATIONS = 256
"""Limit on concurrent forwarded operations, which wait for the log."""

MAX_CONNECTIONS = 256
HELLO_TIMEOUT_S = 5.0

Handler = Callable[[Message], Message]


class _BoundedPool:
    """Threads for the calls of one kind. A call above the limit is rejected, not queued."""

    def __init__(self, limit: int, name: str) -> None:
        self._executor = ThreadPoolExecutor(limit, thread_name_prefix=name)
        self._slots = threading.BoundedSemaphore(limit)

    def submit(self, call: Callable[[], None]) -> bool:
        """Runs a call; returns False if there is no slot.

        :raises RuntimeError: The pool has been shut down.
        """
        if not self._slots.acquire(blocking=False):
            return False

        def run() -> None:
            try:
                call()
            finally:
                self._slots.release()

        try:
            self._executor.submit(run)
        except RuntimeError:
            self._slots.release()
            raise
        return True

    def shutdown(self) -> None:
        """Waits for the calls in progress."""
        self._executor.shutdown(wait=True)


class PeerServer:
    """Accepts connections and answers calls.

    Forwarded requests and operations may take long, so each kind runs in a pool of its own. All
    other messages are answered in order on the thread of their connection.

    :param address: ``ip:port`` to listen on; port 0 selects a free port.
    :param handler: Returns the answer to a message.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        host, _, port = address.rpartition(":")
        self._handler = handler
        self._listener = socket.create_server((host, int(port)), backlog=128)
        self._pools = {
            RunRequest: _BoundedPool(MAX_FORWARDED_REQUESTS, "peer-call"),
            Operation: _BoundedPool(MAX_FORWARDED_OPERATIONS, "peer-operation"),
        }
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._stopping = False
        self._thread = threading.Thread(target=self._accept, name="peer-accept", daemon=True)

    @property
    def address(self) -> str:
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Starts accepting connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stops accepting connections, finishes current calls and closes all connections."""
        self._stopping = True
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()
        for pool in self._pools.values():
            pool.shutdown()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            _close_socket(connection)

    def _accept(self) -> None:
        while not self._stopping:
            try:
                connection, peer = self._listener.accept()
            except OSError:
                return
            with self._lock:
                accepted = len(self._connections) < MAX_CONNECTIONS
                if accepted:
                    self._connections.add(connection)
            if not accepted:
                connection.close()
                continue
            name = f"{peer[0]}:{peer[1]}"
            threading.Thread(
                target=self._serve, args=(connection, name), name=f"from-{name}", daemon=True
            ).start()

    def _serve(self, connection: socket.socket, name: str) -> None:
        write_lock = threading.Lock()
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.settimeout(HELLO_TIMEOUT_S)
            self._expect_hello(connection)
            connection.settimeout(None)
            while (data := receive_frame(connection)) is not None:
                envelope = decode(data)
                pool = self._pools.get(type(envelope.message))
                if pool is not None:
                    self._submit(pool, connection, write_lock, envelope)
                else:
                    self._answer(connection, write_lock, envelope)
        except FrameError as error:
            log_event(BAD_FRAME, peer=name, error=error)
        except OSError:
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
            _close_socket(connection)

    def _expect_hello(self, connection: socket.socket) -> None:
        data = receive_frame(connection)
        if data is None or not isinstance(decode(data).message, Hello):
            raise FrameError("the first frame is not a hello", step="peer.hello")

    def _submit(
        self,
        pool: _BoundedPool,
        connection: socket.socket,
        lock: threading.Lock,
        envelope: Envelope,
    ) -> None:
        not_run = ExecutionStatus.NOT_RUN.value
        try:
            if pool.submit(partial(self._answer, connection, lock, envelope)):
                return
            refusal = RefusalAnswer("peer-busy", "too many forwarded calls", not_run, 1.0)
        except RuntimeError:
            refusal = RefusalAnswer("stopping", "instance stops", not_run, 1.0)
        self._send(connection, lock, Envelope(envelope.id, refusal))

    def _answer(self, connection: socket.socket, lock: threading.Lock, envelope: Envelope) -> None:
        try:
            answer = self._handler(envelope.message)
        except AzurecleatError as error:
            answer = RefusalAnswer("error", str(error), ExecutionStatus.UNKNOWN.value, -1.0)
        except Exception as error:  # A handler's bug must not break the peer's other calls.
            log_event(COMPONENT_FAILED, component="peer handler", error=repr(error))
            answer = RefusalAnswer(
                "internal", "internal error", ExecutionStatus.UNKNOWN.value, -1.0
            )
        self._send(connection, lock, Envelope(envelope.id, answer))

    def _send(self, connection: socket.socket, lock: threading.Lock, envelope: Envelope) -> None:
        with lock:
            try:
                send_frame(connection, encode(envelope))
            except OSError:
                pass


def _close_socket(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    connection.close()
