"""Threads that send commands to targets, shared by all sessions of a term.

Each target has a lane with a bounded number of commands in flight, so that a target that does not
answer occupies only its own lane. Threads are started when a command finds none idle, and end when
they have been idle: 1,000 targets with three permanent threads each would need 3,000 threads, of
which a few dozen have work at one time.
"""

from __future__ import annotations

import threading
import traceback
from collections import deque
from collections.abc import Callable

IDLE_S = 2.0
"""Time without work after which a thread ends: starting one costs less than one command."""


MIN_THREADS = 8
"""Threads that are started in advance and stay. If sessions take all threads that the system
allows, these still send commands: 8 at 2 ms a command are 4,000 commands a second."""

JOIN_TIMEOUT_S = 1.0
"""Longest wait for commands in flight at the end of a session: each has a shorter timeout."""


class CommandThreads:
    """Runs functions at once, each in a thread of its own while it runs.

    :param min_threads: Threads that :meth:`start` starts and that stay until :meth:`close`.
    """

    def __init__(self, idle_s: float = IDLE_S, min_threads: int = MIN_THREADS) -> None:
        self._idle_s = idle_s
        self._min_threads = max(1, min_threads)
        self._changed = threading.Condition()
        self._ready: deque[Callable[[], None]] = deque()
        self._idle_count = 0
        self._count = 0
        self._closed = False

    @property
    def count(self) -> int:
        """Number of threads."""
        return self._count

    def start(self) -> None:
        """Starts the threads that stay. Without this call they are started by commands."""
        for _ in range(self._min_threads):
            with self._changed:
                self._count += 1
            self._start_thread()

    def run(self, work: Callable[[], None]) -> None:
        """Runs ``work`` in a thread.

        If the system allows no further thread, it runs after the work of another one.
        """
        with self._changed:
            self._ready.append(work)
            if self._idle_count >= len(self._ready):
                self._changed.notify()
                return
            self._count += 1
        self._start_thread()

    def _start_thread(self) -> None:
        try:
            threading.Thread(target=self._serve, name="command", daemon=True).start()
        except RuntimeError:  # The limit of threads or of memory is reached.
            with self._changed:
                self._count -= 1

    def close(self) -> None:
        """Lets all threads end once they have no work."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def _serve(self) -> None:
        while (work := self._next()) is not None:
            work()

    def _next(self) -> Callable[[], None] | None:
        with self._changed:
            self._idle_count += 1
            try:
                while not self._ready:
                    is_timed_out = not self._changed.wait(self._idle_s)
                    is_spare = is_timed_out and self._count > self._min_threads
                    if not self._ready and (self._closed or is_spare):
                        self._count -= 1
                        return None
                return self._ready.popleft()
            finally:
                self._idle_count -= 1


class CommandLane:
    """The commands to one target, in order, with at most ``max_in_flight`` of them in flight."""

    def __init__(self, threads: CommandThreads, max_in_flight: int) -> None:
        self._threads = threads
        self._max_in_flight = max_in_flight
        self._changed = threading.Condition()
        self._queue: deque[Callable[[], None]] = deque()
        self._in_flight = 0
        self._closed = False

    def submit(self, command: Callable[[], None]) -> None:
        """Queues a command; does nothing after :meth:`close`."""
        with self._changed:
            if self._closed:
                return
            self._queue.append(command)
            if self._in_flight >= self._max_in_flight:
                return
            self._in_flight += 1
        self._threads.run(self._serve)

    def close(self) -> None:
        """Drops the queued commands; those in flight finish."""
        with self._changed:
            self._closed = True
            self._queue.clear()

    def join(self) -> None:
        """Waits for the commands in flight, up to ``JOIN_TIMEOUT_S``.

        A command that no thread could be started for is not sent, as the session has ended.
        """
        with self._changed:
            self._changed.wait_for(lambda: not self._in_flight, JOIN_TIMEOUT_S)

    def _serve(self) -> None:
        while True:
            with self._changed:
                if not self._queue:
                    self._in_flight -= 1
                    self._changed.notify_all()
                    return
                command = self._queue.popleft()
            try:
                command()
            except Exception:  # An error in one command must not block its lane.
                traceback.print_exc()
