"""Snapshots of sections, split into chunks that fit into log entries."""

from __future__ import annotations

import base64
import json
import uuid
import zlib
from typing import Any

from azurecleat_coordination._internal.records import SnapshotChunk

MAX_CHUNK_CHARACTERS = 48_000


def to_chunks(section: str, covers: int, state: Any) -> list[SnapshotChunk]:
    """Encodes a section's state; ``covers`` is the last offset that it includes."""
    packed = zlib.compress(json.dumps(state, separators=(",", ":")).encode())
    text = base64.b85encode(packed).decode()
    parts = [text[i : i + MAX_CHUNK_CHARACTERS] for i in range(0, len(text), MAX_CHUNK_CHARACTERS)]
    snapshot = uuid.uuid4().hex
    return [
        SnapshotChunk(section, snapshot, covers, index, len(parts), part)
        for index, part in enumerate(parts)
    ]


class SnapshotAssembler:
    """Collects chunks until a snapshot is complete."""

    def __init__(self) -> None:
        self._parts: dict[str, dict[int, str]] = {}

    def add(self, chunk: SnapshotChunk) -> Any | None:
        """Adds a chunk; returns the state if this completes the snapshot, otherwise None."""
        parts = self._parts.setdefault(chunk.snapshot, {})
        parts[chunk.index] = chunk.data
        if len(parts) < chunk.count:
            return None
        del self._parts[chunk.snapshot]
        text = "".join(parts[index] for index in range(chunk.count))
        return json.loads(zlib.decompress(base64.b85decode(text)))
