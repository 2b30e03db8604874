"""Group commit: events of several callers share one append, and none is applied twice."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError
from enum import Enum
from typing import NamedTuple

from azurecleat_model import Clock
from azurecleat_model.exceptions import AppendUnknownError, LogUnavailableError

from azurecleat_coordination._internal.log import Log
from azurecleat_coordination._internal.records import Entry, RecordEvent, encode_entry
from azurecleat_coordination._internal.replica import Replica
from azurecleat_coordination._internal.result import ApplyResult
from azurecleat_coordination._internal.retry import Backoff

MIN_APPEND_INTERVAL_S = 0.1
MAX_EVENTS_PER_ENTRY = 500
DEFAULT_DEADLINE_S = 5.0


LateListener = Callable[[ApplyResult], None]
"""Called with the result of an event that is applied after it was reported as unknown."""


class _PendingEvent(NamedTuple):
    event: RecordEvent
    deadline: float
    future: Future[ApplyResult]
    on_late: LateListener | None = None


class AppendOutcome(str, Enum):
    """Outcome of an entry that was reported as :class:`AppendUnknownError`.

    ``OPEN`` means that it is not known yet, ``NEVER`` that the entry never takes effect.
    """

    OPEN = "open"
    APPLIED = "applied"
    NEVER = "never"


class _Batch:
    """Events of one entry, until each of their futures is resolved."""

    def __init__(self, sequence: int, pending: list[_PendingEvent]) -> None:
        self.sequence = sequence
        self.pending = pending
        self.may_be_in_log = False

    @property
    def is_decided(self) -> bool:
        return all(pending.future.done() for pending in self.pending)


class AppendCounts(NamedTuple):
    """Counters of the appender.

    ``unavailable`` counts appends that certainly failed, ``unknown`` those whose answer was lost.
    """

    appends: int = 0
    events: int = 0
    bytes: int = 0
    unavailable: int = 0
    unknown: int = 0


class Appender:
    """Appends events in order of submission, with at most one append in progress.

    An append whose answer is lost is repeated with the same sequence number; replicas apply an
    entry once. A future resolves when this instance's replica has applied the event, so its
    result says whether the event took effect in the order of the log.

    :param log: The platform's log.
    :param replica: This instance's replica; it is updated after each append.
    :param clock: Clock for deadlines and intervals.
    :param writer: Incarnation of this instance; never reused.
    :param backoff: Delays between retries.
    :param min_interval_s: Minimum seconds between two appends, so that all instances get a share
        of the log's append rate.
    """

    def __init__(
        self,
        log: Log,
        replica: Replica,
        clock: Clock,
        writer: str,
        backoff: Backoff,
        min_interval_s: float = MIN_APPEND_INTERVAL_S,
    ) -> None:
        self._min_interval_s = min_interval_s
        self._log = log
        self._replica = replica
        self._clock = clock
        self._writer = writer
        self._backoff = backoff
        self._sequence = 0
        self._queue: list[_PendingEvent] = []
        self._wakeup = threading.Condition()
        self._stopping = False
        self._batch: _Batch | None = None
        self._undecided: dict[int, _Batch] = {}
        self._applied_late: set[int] = set()
        self._last_append_at = clock.monotonic() - min_interval_s
        self._counts = AppendCounts()
        self._thread: threading.Thread | None = None
        replica.add_listener(self._on_applied)

    @property
    def counts(self) -> AppendCounts:
        return self._counts

    def outcome(self, sequence: int) -> AppendOutcome:
        """Returns the outcome of an entry, by the sequence of its :class:`AppendUnknownError`.

        Replicas ignore an entry after a later entry of the same writer. Once a later entry is
        applied, the outcome of an earlier one is therefore final.
        """
        if sequence in self._undecided:
            return AppendOutcome.OPEN
        return AppendOutcome.APPLIED if sequence in self._applied_late else AppendOutcome.NEVER

    def start(self) -> None:
        """Starts the thread that appends."""
        self._thread = threading.Thread(target=self._run, name="appender", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Appends the queued events whose deadlines allow it, then stops the thread."""
        with self._wakeup:
            self._stopping = True
            self._wakeup.notify_all()
        if self._thread:
            self._thread.join()

    def submit(
        self,
        event: RecordEvent,
        deadline_s: float = DEFAULT_DEADLINE_S,
        on_late: LateListener | None = None,
    ) -> Future[ApplyResult]:
        """Queues an event.

        :param deadline_s: Seconds after which the event is no longer appended.
        :param on_late: Called if the event is applied after its future has raised
            :class:`AppendUnknownError`, by the thread that reads the log.
        :return: Future of the result. It raises :class:`LogUnavailableError` if the event is
            certainly not in the log, and :class:`AppendUnknownError` if it may be.
        """
        pending = _PendingEvent(event, self._clock.monotonic() + deadline_s, Future(), on_late)
        with self._wakeup:
            if self._stopping:
                pending.future.set_exception(
                    LogUnavailableError("this instance is stopping", step="log.append")
                )
                return pending.future
            self._queue.append(pending)
            self._wakeup.notify_all()
        return pending.future

    def commit(
        self,
        event: RecordEvent,
        deadline_s: float = DEFAULT_DEADLINE_S,
        on_late: LateListener | None = None,
    ) -> ApplyResult:
        """Submits an event and waits for its result; raises like the future of :meth:`submit`."""
        return self.wait(self.submit(event, deadline_s, on_late))

    def wait(self, future: Future[ApplyResult], timeout_s: float | None = None) -> ApplyResult:
        """Waits for a submitted event.

        Without a thread, appends in the calling thread and fails the event if one try does not
        resolve it.

        :param timeout_s: Longest time to wait, in seconds; None waits until the event's deadline.
        :raises TimeoutError: The event is not resolved yet; it is still appended if possible.
        """
        if self._thread is None:
            while not future.done():
                if not self.step():
                    self._expire_batch()
        return future.result(timeout_s)

    def step(self) -> bool:
        """Tries once to append the next batch; returns whether nothing is left to append.

        A batch that is certainly not in the log drops its expired events. A batch that may be in
        the log stays unchanged until a read shows it or all its deadlines have passed; the outcome
        of an event whose own deadline has passed is reported as unknown before.
        """
        self._fail_expired_queued()
        if self._batch is None:
            with self._wakeup:
                batch = self._queue[:MAX_EVENTS_PER_ENTRY]
                del self._queue[:MAX_EVENTS_PER_ENTRY]
            if not batch:
                return True
            self._sequence += 1
            self._batch = _Batch(self._sequence, batch)
        self._fail_expired(self._batch)
        if not self._batch.is_decided:
            self._try_append(self._batch)
        if not self._batch.is_decided:
            return False
        self._batch = None
        return not self._queue

    def _run(self) -> None:
        tries = 0
        while True:
            with self._wakeup:
                while not self._queue and self._batch is None and not self._stopping:
                    self._wakeup.wait()
                if not self._queue and self._batch is None:
                    return
            self._pause(self._last_append_at + self._min_interval_s - self._clock.monotonic())
            self.step()
            tries = 0 if self._batch is None else tries + 1
            if tries:
                self._pause(self._backoff.delay_s(tries))

    def _try_append(self, batch: _Batch) -> None:
        events = tuple(pending.event for pending in batch.pending)
        data = encode_entry(Entry(self._writer, batch.sequence, events))
        self._last_append_at = self._clock.monotonic()
        try:
            self._log.append(data)
            batch.may_be_in_log = True
            self._count(appends=1, events=len(events), bytes=len(data))
        except LogUnavailableError:
            self._count(unavailable=1)
        except AppendUnknownError:
            batch.may_be_in_log = True
            self._count(unknown=1)
        if batch.may_be_in_log:
            self._catch_up_replica()

    def _catch_up_replica(self) -> None:
        try:
            self._replica.catch_up()
        except LogUnavailableError:
            return

    def _on_applied(self, writer: str, sequence: int, results: list[ApplyResult]) -> None:
        if writer != self._writer:
            return
        current = self._batch
        batch = self._undecided.get(sequence)
        if batch is not None:
            self._applied_late.add(sequence)
        elif current is not None and current.sequence == sequence:
            batch = current
        self._undecided = {o: other for o, other in self._undecided.items() if o > sequence}
        if batch is not None:
            for pending, result in zip(batch.pending, results, strict=True):
                _report(pending, result)

    def _fail_expired_queued(self) -> None:
        """Fails events that expired behind a batch that is not decided yet."""
        now = self._clock.monotonic()
        with self._wakeup:
            expired = [pending for pending in self._queue if pending.deadline <= now]
            if expired:
                self._queue = [pending for pending in self._queue if pending.deadline > now]
        for pending in expired:
            _resolve(pending.future.set_exception, _not_reached_in_time())

    def _fail_expired(self, batch: _Batch) -> None:
        now = self._clock.monotonic()
        expired = [p for p in batch.pending if p.deadline <= now and not p.future.done()]
        if not batch.may_be_in_log:
            for pending in expired:
                _resolve(pending.future.set_exception, _not_reached_in_time())
            batch.pending = [pending for pending in batch.pending if not pending.future.done()]
        elif expired:
            self._undecided[batch.sequence] = batch
            unknown = AppendUnknownError(
                "no answer in time",
                step="log.append",
                sequence=batch.sequence,
            )
            for pending in expired:
                _resolve(pending.future.set_exception, unknown)

    def _expire_batch(self) -> None:
        """Ends the current batch as if all its deadlines had passed."""
        if self._batch is not None:
            past = self._clock.monotonic() - 1.0
            self._batch.pending = [p._replace(deadline=past) for p in self._batch.pending]
            self._fail_expired(self._batch)

    def _pause(self, seconds: float) -> None:
        if seconds > 0:
            with self._wakeup:
                self._wakeup.wait_for(lambda: self._stopping, timeout=seconds)

    def _count(self, **increments: int) -> None:
        values = self._counts._asdict()
        self._counts = AppendCounts(**{k: v + increments.get(k, 0) for k, v in values.items()})


def _not_reached_in_time() -> LogUnavailableError:
    return LogUnavailableError("the log was not reached in time", step="log.append")


def _report(pending: _PendingEvent, result: ApplyResult) -> None:
    # The deadline may pass at the same time in another thread. Only one of the two resolves the
    # future, so that its caller and ``on_late`` never both get the result.
    is_first = _resolve(pending.future.set_result, result)
    if not is_first and pending.on_late is not None and pending.future.exception() is not None:
        pending.on_late(result)


def _resolve(setter: Callable[[object], None], value: object) -> bool:
    """Resolves a future; returns False if it was resolved before."""
    try:
        setter(value)
    except InvalidStateError:
        return False
    return True
