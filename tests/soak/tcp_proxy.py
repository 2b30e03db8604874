"""TCP proxy on loopback that delays, holds back, stalls or resets connections."""

from __future__ import annotations

import socket
import struct
import threading
import time
from enum import Enum

CHUNK_BYTES = 65536
LINGER_RESET = struct.pack("ii", 1, 0)
"""``SO_LINGER`` with a timeout of 0: closing the socket sends a reset."""


class Direction(Enum):
    TO_SERVER = "to_server"
    TO_CALLER = "to_caller"


class _Connection:
    """One proxied connection, with a thread for each direction."""

    def __init__(self, proxy: TcpProxy, caller: socket.socket, server: socket.socket) -> None:
        self.is_stalled = False
        self._proxy = proxy
        self._sockets = (caller, server)
        for source, sink, direction in (
            (caller, server, Direction.TO_SERVER),
            (server, caller, Direction.TO_CALLER),
        ):
            threading.Thread(
                target=self._forward, args=(source, sink, direction), daemon=True
            ).start()

    def reset(self) -> None:
        for each in self._sockets:
            try:
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            except OSError:
                pass  # The socket is already closed.
        self.close()

    def close(self) -> None:
        for each in self._sockets:
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # The peer has closed the connection.
            each.close()

    def _forward(self, source: socket.socket, sink: socket.socket, direction: Direction) -> None:
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if not self._proxy.wait_to_forward(self, direction):
                    return
                sink.sendall(chunk)
        except OSError:
            pass  # The connection was reset, or the other direction closed it.
        finally:
            # A cut also holds back the end of the connection: the sockets close once it is over.
            if self._proxy.wait_to_forward(self, direction):
                self.close()
                self._proxy.remove_connection(self)


class TcpProxy:
    """Proxies connections from one client to one address.

    Bytes that a cut holds back arrive after :meth:`heal`, as TCP retransmits them on a network.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.partition(":")
        self._server_address = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._changed = threading.Condition()
        self._connections: set[_Connection] = set()
        self._cut: set[Direction] = set()
        self._delay_s = 0.0
        self._closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, *directions: Direction) -> None:
        """Holds back all bytes in the given directions, by default both, until :meth:`heal`."""
        with self._changed:
            self._cut.update(directions or Direction)

    def delay(self, seconds: float) -> None:
        with self._changed:
            self._delay_s = seconds

    def heal(self) -> None:
        with self._changed:
            self._cut.clear()
            self._delay_s = 0.0
            self._changed.notify_all()

    def stall_connections(self) -> None:
        """Stops forwarding on open connections, for good; new connections work."""
        with self._changed:
            for connection in self._connections:
                connection.is_stalled = True
            self._changed.notify_all()

    def reset_connections(self) -> None:
        with self._changed:
            connections, self._connections = self._connections, set()
        for connection in connections:
            connection.reset()

    def close(self) -> None:
        self._closed = True
        self._listener.close()
        self.heal()
        self.reset_connections()

    def remove_connection(self, connection: _Connection) -> None:
        with self._changed:
            self._connections.discard(connection)

    def wait_to_forward(self, connection: _Connection, direction: Direction) -> bool:
        """Waits while the direction is cut, then for the delay.

        :return: ``False`` for a stalled connection, which must forward nothing more.
        """
        with self._changed:
            while direction in self._cut and not connection.is_stalled and not self._closed:
                self._changed.wait()
            delay_s = self._delay_s
            if connection.is_stalled:
                return False
        time.sleep(delay_s)
        return True

    def _accept(self) -> None:
        while not self._closed:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(caller,), daemon=True).start()

    def _connect(self, caller: socket.socket) -> None:
        with self._changed:
            while self._cut and not self._closed:
                self._changed.wait()
        try:
            server = socket.create_connection(self._server_address, timeout=5.0)
        except OSError:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            caller.close()
            return
        server.settimeout(None)
        for each in (caller, server):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(self, caller, server)
        with self._changed:
            self._connections.add(connection)
