"""Group commit: records that are queued at the same time are appended to the log in one call."""

from __future__ import annotations

import threading
import time
import traceback
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from typing import NamedTuple

from azurecleat_base.exceptions import LogError, LogUnavailableError

from azurecleat_cluster._internal.ports import Log
from azurecleat_cluster._internal.replica.call_size import count_for_call

WRITER_THREADS = 2
"""Maximum number of concurrent calls. With two, a call on an unresponsive connection does not block
the next one."""

MAX_BATCH_RECORDS = 64
"""Maximum number of records per call."""

STOP_TIMEOUT_S = 0.4
"""Maximum wait for pending appends when the instance stops. By then all callers have been answered,
and the platform kills a process that does not exit in time."""

OnAppended = Callable[[int, Sequence[tuple[str, bytes | None]]], None]


class _PendingAppend(NamedTuple):
    key: str
    value: bytes | None
    timeout_s: float
    done: Future[int]


class GroupAppender:
    """Appends single records to one stream; safe for use from many threads.

    :param on_appended: Called with the offset of the first appended record and the records.
    """

    def __init__(self, log: Log, stream: str, on_appended: OnAppended) -> None:
        self._log = log
        self._stream = stream
        self._on_appended = on_appended
        self._queue: list[_PendingAppend] = []
        self._changed = threading.Condition()
        self._stopping = False
        self._threads = [
            threading.Thread(target=self._run, name=f"append-{stream}-{n}", daemon=True)
            for n in range(WRITER_THREADS)
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Appends the queued records, for at most ``timeout_s`` seconds, and stops the threads."""
        deadline = time.monotonic() + timeout_s
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        for thread in self._threads:
            if thread.is_alive():
                thread.join(max(0.0, deadline - time.monotonic()))

    def append(self, key: str, value: bytes | None, timeout_s: float) -> int:
        """Appends one record, waits until it is in the log and returns its offset.

        :raises LogUnavailableError: The record was not appended.
        :raises AppendUnknownError: The record may be in the log or may still be appended.
        """
        return self.submit(key, value, timeout_s).result()

    def submit(self, key: str, value: bytes | None, timeout_s: float) -> Future[int]:
        """Queues one record. The future has the result or the exception of :meth:`append`.

        After :meth:`stop` it has the exception :class:`LogUnavailableError` at once.
        """
        entry = _PendingAppend(key, value, timeout_s, Future())
        with self._changed:
            if not self._stopping:
                self._queue.append(entry)
                self._changed.notify()
                return entry.done
        entry.done.set_exception(LogUnavailableError("this instance stops", step="log.append"))
        return entry.done

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._queue and not self._stopping:
                    self._changed.wait()
                if not self._queue:
                    return
                count = count_for_call(
                    (entry.key, entry.value) for entry in self._queue[:MAX_BATCH_RECORDS]
                )
                batch, self._queue = self._queue[:count], self._queue[count:]
            self._commit(batch)

    def _commit(self, batch: list[_PendingAppend]) -> None:
        records = [(entry.key, entry.value) for entry in batch]
        timeout_s = max(entry.timeout_s for entry in batch)
        try:
            offset = self._log.append(self._stream, records, timeout_s)
            self._on_appended(offset, records)
            for index, entry in enumerate(batch):
                entry.done.set_result(offset + index)
        except LogError as error:
            for entry in batch:
                entry.done.set_exception(error)
        except Exception as error:  # Without a result, callers would wait forever after a bug.
            for entry in batch:
                entry.done.set_exception(LogError(f"append failed: {error!r}"))
            traceback.print_exc()  # The thread goes on: later records have no other.
