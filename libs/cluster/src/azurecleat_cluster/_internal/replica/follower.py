"""Follows one keyed stream of the log and applies its records in order of their offsets."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from azurecleat_base import Clock, describe
from azurecleat_base.exceptions import LogError, OffsetForgottenError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.ports import Log, LogRecord

NEVER = float("-inf")

Apply = Callable[[LogRecord], None]

RETRY_PAUSE_S = 0.1
"""Pause after a failed read; short compared with the bound on the age of the configuration."""

LOG_LOST_AGE_S = 1.5
"""Age of the view above which the log counts as lost if the last read failed. In normal operation
reads are up to 1.6 s apart."""


class Follower:
    """Keeps a local view of a stream up to date.

    :param apply: Called with each record in order of its offset, for some records more than once.
        A record for which it raises a decoding error is logged and skipped.
    """

    def __init__(self, log: Log, stream: str, apply: Apply, clock: Clock, events: EventLog) -> None:
        self._log = log
        self._stream = stream
        self._apply = apply
        self._clock = clock
        self._events = events
        self._lock = threading.RLock()
        self._load_lock = threading.Lock()
        """Held during a load: loads at the same time would share the network link and time out."""
        self._next: int | None = None
        self._keys: set[str] = set()
        self._fresh_at = NEVER
        self._applied = 0
        self._is_failing = False

    @property
    def fresh_at(self) -> float:
        """Monotonic time at which the last read that reached the end of the stream was sent."""
        return self._fresh_at

    @property
    def applied(self) -> int:
        """Number of records applied so far."""
        return self._applied

    @property
    def is_failing(self) -> bool:
        """Whether the last read of :meth:`run` failed."""
        return self._is_failing

    @property
    def is_log_lost(self) -> bool:
        """Whether this instance cannot reach the log, so that callers should not wait for it."""
        return self._is_failing and self.age() > LOG_LOST_AGE_S

    @property
    def is_loading(self) -> bool:
        """Whether a thread is rebuilding the view; a read would have to wait for it."""
        return self._load_lock.locked()

    @property
    def next_offset(self) -> int:
        return self._next or 0

    def age(self) -> float:
        """Returns the seconds since the view was last known to be complete."""
        return self._clock.monotonic() - self._fresh_at

    def poll(self, wait_s: float = 0.0) -> bool:
        """Reads once and returns whether any record was applied.

        :param wait_s: How long to wait for a record if there is none yet.
        :raises LogError: The log did not answer.
        """
        sent_at = self._clock.monotonic()
        start = self._next
        if start is None:
            return self._load(start)
        try:
            page = self._log.read(self._stream, start, wait_s)
        except OffsetForgottenError:
            return self._load(start)
        with self._lock:
            # Another thread may have applied some of these records in the meantime.
            fresh = [record for record in page.records if record.offset >= self._next]
            self._apply_records(fresh)
            self._next = max(self._next, page.next_offset)
            if page.next_offset >= page.end:
                self._fresh_at = max(self._fresh_at, sent_at)
        return bool(fresh)

    def apply_appended(self, offset: int, records: Sequence[tuple[str, bytes | None]]) -> None:
        """Applies records that this instance has appended, if they are the next records to read.

        Otherwise the records are left to the next read, so that records of other writers with lower
        offsets are not skipped.
        """
        with self._lock:
            if offset != self._next:
                return
            self._apply_records(
                [LogRecord(key, value, offset + n) for n, (key, value) in enumerate(records)]
            )
            self._next = offset + len(records)

    def catch_up(self) -> None:
        """Reads at least up to the end of the stream at the time of this call.

        :raises LogError: The log did not answer.
        """
        called_at = self._clock.monotonic()
        self.poll()
        while self._fresh_at < called_at:
            self.poll()

    def run(self, stopping: threading.Event, wait_s: float, on_error: Callable) -> None:
        """Polls until stopped. After an error calls ``on_error(stream, error)`` and pauses."""
        while not stopping.is_set():
            try:
                self.poll(wait_s)
                self._is_failing = False
            except Exception as error:
                # An answer that can't be read must not end the following: an owner that reads no
                # cancellations any more would run cancelled tasks on.
                self._is_failing = True
                if not isinstance(error, LogError):
                    error = LogError(repr(error), step="log.read")
                on_error(self._stream, error)
                stopping.wait(RETRY_PAUSE_S)

    def _load(self, start: int | None) -> bool:
        """Rebuilds the view from the newest record of each key; deletes keys that are gone.

        :param start: Next offset that the caller saw. If it has changed, another thread has rebuilt
            the view meanwhile, and nothing is read.
        """
        with self._load_lock:
            if self._next != start:
                return False
            sent_at = self._clock.monotonic()
            page = self._log.newest(self._stream)
            self._events.write(
                eventlog.REPLICA_LOADED,
                stream=self._stream,
                records=len(page.records),
                kb=sum(len(record.value or b"") for record in page.records) // 1024,
                took_s=round(self._clock.monotonic() - sent_at, 3),
            )
            with self._lock:
                if self._next is not None and page.next_offset < self._next:
                    return False
                dropped = self._keys - {record.key for record in page.records}
                self._apply_records([LogRecord(key, None, page.next_offset) for key in dropped])
                ordered = sorted(page.records, key=lambda record: record.offset)
                self._apply_records([each._replace(may_replace=True) for each in ordered])
                self._next = page.next_offset
                self._fresh_at = max(self._fresh_at, sent_at)
            return bool(page.records)

    def _apply_records(self, records: Sequence[LogRecord]) -> None:
        for record in records:
            if record.value is None:
                self._keys.discard(record.key)
            else:
                self._keys.add(record.key)
            try:
                self._apply(record)
            except Exception as error:
                # A record that can't be applied must not keep later ones from being applied.
                self._events.write(
                    eventlog.RECORD_UNREADABLE,
                    stream=self._stream,
                    key=record.key,
                    error=describe(error),
                )
        self._applied += len(records)
