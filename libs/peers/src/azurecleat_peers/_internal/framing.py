"""Frames on a TCP connection: a four-byte length, then that many bytes."""

from __future__ import annotations

import socket
import struct

from azurecleat_model import TRAFFIC
from azurecleat_model.exceptions import FrameError

MAX_FRAME_BYTES = 4 << 20
_LENGTH = struct.Struct("!I")


def send_frame(connection: socket.socket, data: bytes) -> None:
    """Sends one frame.

    :raises FrameError: The frame is too large; nothing was sent.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {len(data)} bytes is too large", step="peer.send")
    connection.sendall(_LENGTH.pack(len(data)) + data)
    TRAFFIC.add("peer", _LENGTH.size + len(data))


def receive_frame(connection: socket.socket) -> bytes | None:
    """Receives one frame, or None if the peer closed the connection between frames.

    :raises FrameError: The peer announces too large a frame or closes within one.
    """
    head = _receive_exactly(connection, _LENGTH.size, may_end=True)
    if head is None:
        return None
    (length,) = _LENGTH.unpack(head)
    if length > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {length} bytes is too large", step="peer.receive")
    TRAFFIC.add("peer", _LENGTH.size + length)
    return _receive_exactly(connection, length, may_end=False)


def _receive_exactly(connection: socket.socket, count: int, may_end: bool) -> bytes | None:
    parts: list[bytes] = []
    missing = count
    while missing:
        part = connection.recv(min(missing, 1 << 16))
        if not part:
            if may_end and missing == count:
                return None
            raise FrameError("connection closed within a frame", step="peer.receive")
        parts.append(part)
        missing -= len(part)
    return b"".join(parts)
