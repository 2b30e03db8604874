"""Group commit: many callers' events share one append, each applied exactly once."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError
from typing import NamedTuple

from azurecleat_model import Clock
from azurecleat_model.exceptions import AppendUnknownError, LogUnavailableError

from azurecleat_coordination._internal.log import Log
from azurecleat_coordination._internal.records import Entry, RecordEvent, encode_entry
from azurecleat_coordination._internal.replica import Replica
from azurecleat_coordination._internal.result import Applied
from azurecleat_coordination._internal.retry import Backoff

MIN_APPEND_INTERVAL_S = 0.1
MAX_EVENTS_PER_ENTRY = 500
DEFAULT_DEADLINE_S = 5.0


class _Pending(NamedTuple):
    event: RecordEvent
    deadline: float
    future: Future[Applied]


class AppendCounts(NamedTuple):
    """What the appender did so far."""

    appends: int = 0
    events: int = 0
    bytes: int = 0
    unavailable: int = 0
    unknown: int = 0


class Appender:
    """Appends events in order of submission, at most one append at a time.

    An append whose answer is lost is repeated with the same sequence number, which every replica
    applies once. A future resolves only when the own replica has applied the event, so its
    result says whether the event took effect in the agreed order.

    :param log: The platform's log.
    :param replica: The own replica, read after each append.
    :param clock: Clock of deadlines.
    :param writer: The incarnation of this instance, unique for all time.
    :param backoff: Delays between tries.
    """

    def __init__(
        self, log: Log, replica: Replica, clock: Clock, writer: str, backoff: Backoff
    ) -> None:
        self._log = log
        self._replica = replica
        self._clock = clock
        self._writer = writer
        self._backoff = backoff
        self._sequence = 0
        self._queue: list[_Pending] = []
        self._wakeup = threading.Condition()
        self._stopping = False
        self._in_flight: tuple[int, list[_Pending]] | None = None
        self._in_flight_lock = threading.Lock()
        self._last_append_at = clock.monotonic() - MIN_APPEND_INTERVAL_S
        self._counts = AppendCounts()
        self._thread: threading.Thread | None = None
        replica.add_listener(self._on_applied)

    @property
    def counts(self) -> AppendCounts:
        return self._counts

    def start(self) -> None:
        """Starts the appending thread."""
        self._thread = threading.Thread(target=self._run, name="appender", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Appends what is queued as far as deadlines allow, then stops."""
        with self._wakeup:
            self._stopping = True
            self._wakeup.notify_all()
        if self._thread:
            self._thread.join()

    def submit(self, event: RecordEvent, deadline_s: float = DEFAULT_DEADLINE_S) -> Future[Applied]:
        """Queues an event.

        :param deadline_s: Seconds after which the caller no longer wants the event.
        :return: Resolves to the outcome, or raises :class:`LogUnavailableError` when the event
            is certain not to be in the log, :class:`AppendUnknownError` when it may be.
        """
        pending = _Pending(event, self._clock.monotonic() + deadline_s, Future())
        with self._wakeup:
            if self._stopping:
                pending.future.set_exception(
                    LogUnavailableError("this instance is stopping", step="log.append")
                )
                return pending.future
            self._queue.append(pending)
            self._wakeup.notify_all()
        return pending.future

    def commit(self, event: RecordEvent, deadline_s: float = DEFAULT_DEADLINE_S) -> Applied:
        """Submits an event and waits for its outcome; raises like the future of ``submit``."""
        return self.submit(event, deadline_s).result()

    def append_batch(self, batch: list[_Pending]) -> None:
        """Appends one batch, trying again until it is known to be in or its deadlines passed."""
        may_be_in = False
        self._sequence += 1
        tries = 0
        while True:
            if not may_be_in:
                batch = self._without_expired(batch)
            if not batch or all(p.future.done() for p in batch):
                return
            if self._has_expired(batch):
                self._fail(batch, AppendUnknownError("no answer in time", step="log.append"))
                return
            may_be_in = self._try_append(batch, may_be_in)
            if all(p.future.done() for p in batch):
                return
            tries += 1
            self._pause(self._backoff.delay_s(tries))

    def _run(self) -> None:
        while True:
            with self._wakeup:
                while not self._queue and not self._stopping:
                    self._wakeup.wait()
                if not self._queue:
                    return
                since = self._clock.monotonic() - self._last_append_at
                if since < MIN_APPEND_INTERVAL_S:
                    self._wakeup.wait_for(
                        lambda: self._stopping, timeout=MIN_APPEND_INTERVAL_S - since
                    )
                batch = self._queue[:MAX_EVENTS_PER_ENTRY]
                del self._queue[:MAX_EVENTS_PER_ENTRY]
            self.append_batch(batch)

    def _try_append(self, batch: list[_Pending], may_be_in: bool) -> bool:
        """Tries once and returns whether the entry may be in the log."""
        data = encode_entry(Entry(self._writer, self._sequence, tuple(p.event for p in batch)))
        with self._in_flight_lock:
            self._in_flight = (self._sequence, batch)
        self._last_append_at = self._clock.monotonic()
        try:
            self._log.append(data)
            may_be_in = True
            self._count(appends=1, events=len(batch), bytes=len(data))
        except LogUnavailableError:
            self._count(unavailable=1)
        except AppendUnknownError:
            may_be_in = True
            self._count(unknown=1)
        if may_be_in:
            self._read_own()
        return may_be_in

    def _read_own(self) -> None:
        try:
            self._replica.catch_up()
        except LogUnavailableError:
            return

    def _on_applied(self, writer: str, sequence: int, results: list[Applied]) -> None:
        if writer != self._writer:
            return
        with self._in_flight_lock:
            if self._in_flight is None or self._in_flight[0] != sequence:
                return
            batch = self._in_flight[1]
            self._in_flight = None
        for pending, result in zip(batch, results, strict=True):
            _resolve(pending.future.set_result, result)

    def _without_expired(self, batch: list[_Pending]) -> list[_Pending]:
        now = self._clock.monotonic()
        for pending in batch:
            if pending.deadline <= now:
                error = LogUnavailableError("the log was not reached in time", step="log.append")
                _resolve(pending.future.set_exception, error)
        return [pending for pending in batch if not pending.future.done()]

    def _has_expired(self, batch: list[_Pending]) -> bool:
        now = self._clock.monotonic()
        return all(pending.deadline <= now for pending in batch)

    def _fail(self, batch: list[_Pending], error: Exception) -> None:
        for pending in batch:
            _resolve(pending.future.set_exception, error)

    def _pause(self, seconds: float) -> None:
        with self._wakeup:
            self._wakeup.wait_for(lambda: self._stopping, timeout=seconds)

    def _count(self, **increments: int) -> None:
        values = self._counts._asdict()
        self._counts = AppendCounts(**{k: v + increments.get(k, 0) for k, v in values.items()})


def _resolve(setter: Callable[[object], None], value: object) -> None:
    try:
        setter(value)
    except InvalidStateError:
        pass
