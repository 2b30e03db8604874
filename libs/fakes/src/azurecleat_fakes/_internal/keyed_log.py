"""In-memory fake of the platform's log of keyed streams."""

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

DEDUPLICATION_WINDOW = 5
"""Number of each writer's latest appends whose repetition returns the original offset."""


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
    """Keyed streams with injectable faults.

    While ``down`` is true, every call fails. ``lose_answers`` is the number of next appends that
    take effect but whose responses are dropped.
    """

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
            raise LogUnavailableError("fake log is down", step="log.append")
        log_stream = self._stream(stream)
        with log_stream.changed:
            self.appends += 1
            offset = self._append(log_stream, records, writer)
            log_stream.changed.notify_all()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise AppendUnknownError("fake log dropped the response", step="log.append")
        return offset

    def _append(
        self,
        log_stream: _Stream,
        records: Sequence[tuple[str, bytes | None]],
        writer: Writer | None,
    ) -> int:
        offset = log_stream.end
        if writer is not None:
            epoch = log_stream.epochs.get(writer.name, 0)
            if writer.epoch < epoch:
                raise FencedError(
                    "the writer has appended with a higher epoch", epoch=epoch, step="log.append"
                )
            if writer.epoch > epoch:
                log_stream.epochs[writer.name] = writer.epoch
                log_stream.sequences[writer.name] = {}
            offset_by_sequence = log_stream.sequences.setdefault(writer.name, {})
            if writer.sequence in offset_by_sequence:
                return offset_by_sequence[writer.sequence]
            if offset_by_sequence and writer.sequence != max(offset_by_sequence) + 1:
                raise LogError(f"sequence {writer.sequence} refused", step="log.append")
            offset_by_sequence[writer.sequence] = offset
            for old in sorted(offset_by_sequence)[:-DEDUPLICATION_WINDOW]:
                del offset_by_sequence[old]
        for key, value in records:
            record = LogRecord(key, value, log_stream.end)
            log_stream.records.append(record)
            if value is None:
                log_stream.newest.pop(key, None)
            else:
                log_stream.newest[key] = record
        return offset

    def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        log_stream = self._stream(stream)
        with log_stream.changed:
            if self.down:
                raise LogUnavailableError("fake log is down", step="log.read")
            if start < log_stream.first:
                raise OffsetForgottenError(
                    f"offset was truncated, first offset is {log_stream.first}", step="log.read"
                )
            if start >= log_stream.end and wait_s > 0:
                log_stream.changed.wait(wait_s)
            records = tuple(log_stream.records[start - log_stream.first :])
            return LogPage(records, start + len(records), log_stream.end)

    def latency_s(self) -> float:
        return 0.0

    def newest(self, stream: str) -> LogPage:
        log_stream = self._stream(stream)
        with log_stream.changed:
            if self.down:
                raise LogUnavailableError("fake log is down", step="log.newest")
            return LogPage(tuple(log_stream.newest.values()), log_stream.end, log_stream.end)

    def forget(self, stream: str) -> None:
        """Drops all records of a stream except the newest of each key, as compaction does."""
        log_stream = self._stream(stream)
        with log_stream.changed:
            log_stream.first = log_stream.end
            log_stream.records.clear()

    def _stream(self, name: str) -> _Stream:
        with self._lock:
            return self._streams.setdefault(name, _Stream())
