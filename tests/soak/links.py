"""Loopback proxies that delay, reset, cut and silence connections."""

from __future__ import annotations

import socket
import struct
import threading
import time
from enum import Enum

CHUNK = 65536
LINGER_RESET = struct.pack("ii", 1, 0)
"""Makes a close send a reset."""


class Direction(Enum):
    TO_SERVER = "to_server"
    TO_CALLER = "to_caller"


class _Connection:
    """One proxied connection: a thread for each direction."""

    def __init__(self, link: Link, caller: socket.socket, server: socket.socket) -> None:
        self.is_silent = False
        self._link = link
        self._sockets = (caller, server)
        for source, sink, direction in (
            (caller, server, Direction.TO_SERVER),
            (server, caller, Direction.TO_CALLER),
        ):
            threading.Thread(target=self._pump, args=(source, sink, direction), daemon=True).start()

    def reset(self) -> None:
        for each in self._sockets:
            try:
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            except OSError:
                pass  # It is closed already.
        self.close()

    def close(self) -> None:
        for each in self._sockets:
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # The peer has closed it.
            each.close()

    def _pump(self, source: socket.socket, sink: socket.socket, direction: Direction) -> None:
        try:
            while chunk := source.recv(CHUNK):
                if not self._link.pass_on(self, direction):
                    return
                sink.sendall(chunk)
        except OSError:
            pass  # Reset, or closed by the other direction.
        finally:
            # What a cut holds back also hides the end of a connection.
            if self._link.pass_on(self, direction):
                self.close()
                self._link.forget(self)


class Link:
    """A proxy in front of one address, for one caller.

    Bytes on a cut link arrive once it is healed, as a network's repeats would bring them.
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
        """Holds back all bytes of the given directions until :meth:`heal`."""
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

    def silence(self) -> None:
        """Lets open connections pass nothing more, for good; new ones work."""
        with self._changed:
            for connection in self._connections:
                connection.is_silent = True
            self._changed.notify_all()

    def reset(self) -> None:
        with self._changed:
            connections, self._connections = self._connections, set()
        for connection in connections:
            connection.reset()

    def close(self) -> None:
        self._closed = True
        self._listener.close()
        self.heal()
        self.reset()

    def forget(self, connection: _Connection) -> None:
        with self._changed:
            self._connections.discard(connection)

    def pass_on(self, connection: _Connection, direction: Direction) -> bool:
        """Waits while the link is cut; False if the connection passes nothing more."""
        with self._changed:
            while direction in self._cut and not connection.is_silent and not self._closed:
                self._changed.wait()
            delay_s = self._delay_s
            if connection.is_silent:
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
