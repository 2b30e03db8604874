"""Follows one keyed stream of the log and applies its records in order."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from azurecleat_base import Clock
from azurecleat_base.exceptions import LogError, OffsetForgottenError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.ports import Log, LogRecord

NEVER = float("-inf")

Apply = Callable[[LogRecord], None]

RETRY_PAUSE_S = 0.1
"""Pause after a failed read: short beside the bound on stale configuration."""

LOG_LOST_AGE_S = 1.5
"""Age of the last read that was answered from which the log counts as lost, if a read since has
failed. While all is well, reads are up to 1.6 s apart."""


class Follower:
    """Keeps a local view of a stream up to date.

    :param apply: Receives each record, in order of its offset; a record may come twice. One that
        it cannot read is logged and left out.
    """

    def __init__(self, log: Log, stream: str, apply: Apply, clock: Clock, events: EventLog) -> None:
        self._log = log
        self._stream = stream
        self._apply = apply
        self._clock = clock
        self._events = events
        self._lock = threading.RLock()
        self._next: int | None = None
        self._keys: set[str] = set()
        self._fresh_at = NEVER
        self._applied = 0
        self._is_failing = False

    @property
    def fresh_at(self) -> float:
        """Time when the read was sent that last reached the end of the stream."""
        return self._fresh_at

    @property
    def applied(self) -> int:
        """Number of records applied so far."""
        return self._applied

    @property
    def is_failing(self) -> bool:
        """Whether the last read of :meth:`run` gave no answer."""
        return self._is_failing

    @property
    def is_log_lost(self) -> bool:
        """Whether the log no longer answers this instance: waiting on would help nobody."""
        return self._is_failing and self.age() > LOG_LOST_AGE_S

    @property
    def next_offset(self) -> int:
        return self._next or 0

    def age(self) -> float:
        """Seconds by which the view may be out of date."""
        return self._clock.monotonic() - self._fresh_at

    def poll(self, wait_s: float = 0.0) -> bool:
        """Reads once, waiting for a record if there is none; tells whether any was applied.

        :raises LogError: The log gave no answer.
        """
        sent_at = self._clock.monotonic()
        start = self._next
        if start is None:
            return self._load(sent_at)
        try:
            page = self._log.read(self._stream, start, wait_s)
        except OffsetForgottenError:
            return self._load(sent_at)
        with self._lock:
            # Another thread may have applied some of these records meanwhile.
            fresh = [record for record in page.records if record.offset >= self._next]
            self._apply_records(fresh)
            self._next = max(self._next, page.next_offset)
            if page.next_offset >= page.end:
                self._fresh_at = max(self._fresh_at, sent_at)
        return bool(fresh)

    def apply_appended(self, offset: int, records: Sequence[tuple[str, bytes | None]]) -> None:
        """Takes records that were just appended, if they are the next ones to be read.

        Records in between, which may be of other writers, are never passed over.
        """
        with self._lock:
            if offset != self._next:
                return
            self._apply_records(
                [LogRecord(key, value, offset + n) for n, (key, value) in enumerate(records)]
            )
            self._next = offset + len(records)

    def catch_up(self) -> None:
        """Reads until the end of the stream as of this call.

        :raises LogError: The log gave no answer.
        """
        called_at = self._clock.monotonic()
        self.poll()
        while self._fresh_at < called_at:
            self.poll()

    def run(self, stopping: threading.Event, wait_s: float, on_error: Callable) -> None:
        """Polls until stopped; errors are reported and followed by a short pause."""
        while not stopping.is_set():
            try:
                self.poll(wait_s)
                self._is_failing = False
            except LogError as error:
                self._is_failing = True
                on_error(self._stream, error)
                stopping.wait(RETRY_PAUSE_S)

    def _load(self, sent_at: float) -> bool:
        """Replaces the view by the newest record of each key."""
        page = self._log.newest(self._stream)
        with self._lock:
            if self._next is not None and page.next_offset < self._next:
                return False
            dropped = self._keys - {record.key for record in page.records}
            self._apply_records([LogRecord(key, None, page.next_offset) for key in dropped])
            self._apply_records(sorted(page.records, key=lambda record: record.offset))
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
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                # A record that cannot be read is left out: the next ones must still be.
                self._events.write(
                    eventlog.RECORD_UNREADABLE,
                    stream=self._stream,
                    key=record.key,
                    error=repr(error),
                )
        self._applied += len(records)
