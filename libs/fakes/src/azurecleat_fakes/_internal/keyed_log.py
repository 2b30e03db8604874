"""Stand-in for the platform's log of keyed streams, in memory."""

from __future__ import annotations

import threading
from collections.abc import Sequence

from azurecleat_base.exceptions import (
    AppendUnknownError,
    FencedError,
    LogError,
    LogUnavailableError,
    OffsetForgottenError,
)
from azurecleat_cluster.ports import LogPage, LogRecord, Writer

REPEATS_KEPT = 5
"""Appends of a writer whose repeat gets the first answer again."""


class _Stream:
    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.first = 0
        self.newest: dict[str, LogRecord] = {}
        self.epochs: dict[str, int] = {}
        self.sequences: dict[str, dict[int, int]] = {}
        self.changed = threading.Condition()

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class KeyedMemoryLog:
    """Keyed streams that can be told to be down, or to lose answers after the effect."""

    def __init__(self) -> None:
        self._streams: dict[str, _Stream] = {}
        self._lock = threading.Lock()
        self.down = False
        self.lose_answers = 0
        self.appends = 0

    def append(
        self,
        stream: str,
        records: Sequence[tuple[str, bytes | None]],
        timeout_s: float,
        writer: Writer | None = None,
    ) -> int:
        if self.down:
            raise LogUnavailableError("stand-in is down", step="log.append")
        target = self._stream(stream)
        with target.changed:
            self.appends += 1
            offset = self._append(target, records, writer)
            target.changed.notify_all()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise AppendUnknownError("stand-in drops the answer", step="log.append")
        return offset

    def _append(
        self, target: _Stream, records: Sequence[tuple[str, bytes | None]], writer: Writer | None
    ) -> int:
        offset = target.end
        if writer is not None:
            epoch = target.epochs.get(writer.name, 0)
            if writer.epoch < epoch:
                raise FencedError("a later epoch writes", epoch=epoch, step="log.append")
            if writer.epoch > epoch:
                target.epochs[writer.name] = writer.epoch
                target.sequences[writer.name] = {}
            known = target.sequences.setdefault(writer.name, {})
            if writer.sequence in known:
                return known[writer.sequence]
            if known and writer.sequence != max(known) + 1:
                raise LogError(f"sequence {writer.sequence} refused", step="log.append")
            known[writer.sequence] = offset
            for old in sorted(known)[:-REPEATS_KEPT]:
                del known[old]
        for key, value in records:
            record = LogRecord(key, value, target.end)
            target.records.append(record)
            if value is None:
                target.newest.pop(key, None)
            else:
                target.newest[key] = record
        return offset

    def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        target = self._stream(stream)
        with target.changed:
            if self.down:
                raise LogUnavailableError("stand-in is down", step="log.read")
            if start < target.first:
                raise OffsetForgottenError(f"first offset is {target.first}", step="log.read")
            if start >= target.end and wait_s > 0:
                target.changed.wait(wait_s)
            records = tuple(target.records[start - target.first :])
            return LogPage(records, start + len(records), target.end)

    def latency_s(self) -> float:
        return 0.0

    def newest(self, stream: str) -> LogPage:
        target = self._stream(stream)
        with target.changed:
            if self.down:
                raise LogUnavailableError("stand-in is down", step="log.newest")
            return LogPage(tuple(target.newest.values()), target.end, target.end)

    def forget(self, stream: str) -> None:
        """Drops the history of a stream; the newest record of each key stays."""
        target = self._stream(stream)
        with target.changed:
            target.first = target.end
            target.records.clear()

    def _stream(self, name: str) -> _Stream:
        with self._lock:
            return self._streams.setdefault(name, _Stream())
