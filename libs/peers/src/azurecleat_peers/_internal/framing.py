"""Frames on a TCP connection: a four-byte big-endian length, then that many bytes."""

from __future__ import annotations

import socket
import struct

from azurecleat_model import TRAFFIC
from azurecleat_model.exceptions import FrameError

MAX_FRAME_BYTES = 4 << 20
_LENGTH_PREFIX = struct.Struct("!I")


def send_frame(connection: socket.socket, data: bytes) -> None:
    """Sends one frame.

    :raises FrameError: The frame is too large; nothing was sent.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {len(data)} bytes is too large", step="peer.send")
    connection.sendall(_LENGTH_PREFIX.pack(len(data)) + data)
    TRAFFIC.add("peer", _LENGTH_PREFIX.size + len(data))


def receive_frame(connection: socket.socket) -> bytes | None:
    """Receives one frame, or None if the peer closed the connection between frames.

    :raises FrameError: The frame is too large, or the peer closed the connection within a frame.
    """
    prefix = _receive_exactly(connection, _LENGTH_PREFIX.size, eof_allowed=True)
    if prefix is None:
        return None
    (length,) = _LENGTH_PREFIX.unpack(prefix)
    if length > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {length} bytes is too large", step="peer.receive")
    TRAFFIC.add("peer", _LENGTH_PREFIX.size + length)
    return _receive_exactly(connection, length, eof_allowed=False)


def _receive_exactly(connection: socket.socket, count: int, eof_allowed: bool) -> bytes | None:
    chunks: list[bytes] = []
    remaining = count
    while remaining:
        chunk = connection.recv(min(remaining, 1 << 16))
        if not chunk:
            if eof_allowed and remaining == count:
                return None
            raise FrameError("connection closed within a frame", step="peer.receive")
        chunks.append(chunk)
        remaining -= len(chunk)
    return b"".join(chunks)
