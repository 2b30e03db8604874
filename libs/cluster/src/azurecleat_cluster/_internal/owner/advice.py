"""Asks an advice service which targets a step may use.

The service handles one question at a time for each calling instance, so that the owner spreads its
questions: each instance is a caller with a thread of its own, and some callers only take
questions that cost little, so that urgent short steps never wait behind long ones. A question that
is overdue is asked again by another caller: the first may be cut off.
"""

from __future__ import annotations

import heapq
import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import NamedTuple

from azurecleat_base import Clock

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.model import Advice, StepInfo
from azurecleat_cluster._internal.ports import Adviser

SHORT_REQUEST_S = 0.1
"""Cost up to which a question counts as short."""

TIMEOUT_MARGIN_S = 2.0
"""Added to a question's cost for its timeout: a few others may be served before it."""

OVERDUE_MARGIN_S = 0.25
"""Time beyond its cost after which a question is asked again elsewhere: the way to the service and
back through another instance takes a tenth of it."""

FAILURE_BACKOFF_S = 1.0
"""Pause of a caller after a failed question."""

TICKET_MARGIN_S = 0.4
"""Taken off the validity of tickets for the way to the target."""


class _Request(NamedTuple):
    rank: tuple
    number: int
    step: StepInfo
    targets: list[str]
    cost_s: float
    valid_s: float
    queued_at: float
    is_retry: bool = False

    @property
    def is_short(self) -> bool:
        return self.cost_s <= SHORT_REQUEST_S


class _Worker:
    """An instance that asks, and the question it was given last."""

    def __init__(self, name: str, short_only: bool) -> None:
        self.name = name
        self.short_only = short_only
        self.inbox: Future[_Request | None] = Future()


class AdviceClient:
    """Queues questions and hands them to callers.

    :param on_advice: Receives the answer of a step, None if there is none.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        on_advice: Callable[[StepInfo, Advice | None], None],
    ) -> None:
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._on_advice = on_advice
        self._lock = threading.Lock()
        self._short: list[_Request] = []
        self._long: list[_Request] = []
        self._numbers = itertools.count()
        self._workers: dict[str, _Worker] = {}
        self._idle: list[_Worker] = []
        self._deadlines: dict[int, tuple[float, _Request]] = {}
        """Questions on their way that were asked once, and when each is overdue."""
        self._stopping = False

    @property
    def general_worker_count(self) -> int:
        """Number of callers that ask anything, however long its answer takes."""
        return sum(not worker.short_only for worker in list(self._workers.values()))

    def stop(self) -> None:
        with self._lock:
            self._stopping = True
            for worker in self._idle:
                worker.inbox.set_result(None)
            self._idle.clear()

    def add_worker(
        self, name: str, connect: Callable[[], Adviser], short_only: bool = False
    ) -> None:
        """Starts a caller; a name that is there already is left alone."""
        with self._lock:
            if name in self._workers or self._stopping:
                return
            worker = self._workers[name] = _Worker(name, short_only)
        threading.Thread(
            target=self._serve, args=(worker, connect()), name=f"advice-{name}", daemon=True
        ).start()

    def submit(self, step: StepInfo, targets: list[str], rank: tuple) -> None:
        """Queues a question; lower ranks are asked first."""
        terms = step.job.queue.advice
        request = _Request(
            rank,
            next(self._numbers),
            step,
            targets,
            terms.cost_s(len(targets)),
            terms.valid_ms / 1000.0,
            self._clock.monotonic(),
        )
        with self._lock:
            self._queue(request)

    def retry_overdue(self, now: float) -> None:
        """Asks questions again that should have been answered by now; called now and then."""
        with self._lock:
            overdue = [number for number, (due, _) in self._deadlines.items() if now >= due]
            for number in overdue:
                self._metrics.retries.labels("advice_overdue").inc()
                self._queue(self._deadlines.pop(number)[1])

    def _queue(self, request: _Request) -> None:
        heapq.heappush(self._short if request.is_short else self._long, request)
        self._assign()

    def _assign(self) -> None:
        """Hands questions to idle callers."""
        while self._short and self._idle:
            # Callers that may ask anything are kept for what only they may ask.
            worker = next((each for each in self._idle if each.short_only), self._idle[0])
            self._assign_to(worker, heapq.heappop(self._short))
        while self._long:
            is_alone = len(self._workers) == 1
            worker = next((each for each in self._idle if is_alone or not each.short_only), None)
            if worker is None:
                return
            self._assign_to(worker, heapq.heappop(self._long))

    def _assign_to(self, worker: _Worker, request: _Request) -> None:
        self._idle.remove(worker)
        worker.inbox.set_result(request)

    def _serve(self, worker: _Worker, adviser: Adviser) -> None:
        while (request := self._next_request(worker)) is not None:
            if not request.step.job.is_open:
                self._on_advice(request.step, None)
            elif not self._send(worker, adviser, request):
                threading.Event().wait(FAILURE_BACKOFF_S)

    def _next_request(self, worker: _Worker) -> _Request | None:
        with self._lock:
            if self._stopping:
                return None
            worker.inbox = Future()
            self._idle.append(worker)
            self._assign()
        return worker.inbox.result()

    def _send(self, worker: _Worker, adviser: Adviser, request: _Request) -> bool:
        sent_at = self._clock.monotonic()
        step = request.step
        self._set_deadline(request, sent_at)
        try:
            tickets = adviser.advise(step.name, request.targets, request.cost_s + TIMEOUT_MARGIN_S)
        except Exception as error:  # A question that is lost would hold up its step for good.
            self._metrics.retries.labels("advice").inc()
            self._events.write(
                eventlog.ADVICE_FAILED, step=step.name, adviser=worker.name, error=error
            )
            self._retry(request)
            return False
        now = self._clock.monotonic()
        with self._lock:
            self._deadlines.pop(request.number, None)
        self._metrics.advice_s.observe(now - request.queued_at)
        self._events.write(
            eventlog.ADVICE_GIVEN,
            step=step.name,
            adviser=worker.name,
            named=len(request.targets),
            allowed=len(tickets),
            waited_s=round(sent_at - request.queued_at, 3),
            took_s=round(now - sent_at, 3),
        )
        valid_until = now + request.valid_s - TICKET_MARGIN_S
        self._on_advice(step, Advice(tuple(request.targets), tickets, valid_until))
        return True

    def _set_deadline(self, request: _Request, sent_at: float) -> None:
        """Notes when a question that was asked for the first time is overdue."""
        if not request.is_retry:
            due = sent_at + request.cost_s + OVERDUE_MARGIN_S
            with self._lock:
                self._deadlines[request.number] = (due, request._replace(is_retry=True))

    def _retry(self, request: _Request) -> None:
        """Queues a question that failed, unless it was asked again already."""
        with self._lock:
            if request.is_retry or self._deadlines.pop(request.number, None) is not None:
                self._queue(request)
