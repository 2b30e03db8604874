"""Requests advice from the advice service: which targets a step may use.

The service handles one request at a time per calling instance. The owner therefore sends its
requests through all instances, with one worker thread for each. Some workers only take requests
with a low cost, so that urgent short steps never wait behind long ones. An overdue request is sent
again through another worker, because the first one's instance may be cut off from the network.
"""

from __future__ import annotations

import heapq
import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future
from enum import Enum
from typing import NamedTuple

from azurecleat_base import Clock

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.model import Advice, StepInfo
from azurecleat_cluster._internal.ports import Adviser

SHORT_REQUEST_S = 0.1
"""Highest cost of a short request."""

TIMEOUT_MARGIN_S = 2.0
"""Added to a request's cost for its timeout: the service may serve a few others first."""

OVERDUE_MARGIN_S = 0.25
"""Time beyond its cost after which a request is sent again elsewhere: 10 times the round trip to
the service through another instance."""

FAILURE_BACKOFF_S = 1.0
"""Pause of a worker after a failed request."""

TICKET_MARGIN_S = 0.4
"""Subtracted from the validity of tickets: the time until a command with one reaches its target."""


class RequestState(Enum):
    """What became of a step's last request for advice."""

    NONE = ""
    """None is open: there was none, or it has been answered."""
    QUEUED = "queued"
    """It waits here for a worker."""
    SENT = "sent"


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
    """A thread that sends requests through one instance, and the request assigned to it."""

    def __init__(self, name: str, short_only: bool) -> None:
        self.name = name
        self.short_only = short_only
        self.inbox: Future[_Request | None] = Future()


class AdviceClient:
    """Queues requests and assigns them to workers.

    :param on_advice: Called with a step and its answer, or None if the request was dropped.
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
        """Requests in flight that were sent once, with the time when each is overdue."""
        self._stopping = False

    @property
    def general_worker_count(self) -> int:
        """Number of workers that take requests of any cost."""
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
        """Starts a worker, unless there is one with that name."""
        with self._lock:
            if name in self._workers or self._stopping:
                return
            worker = self._workers[name] = _Worker(name, short_only)
        threading.Thread(
            target=self._serve, args=(worker, connect()), name=f"advice-{name}", daemon=True
        ).start()

    def submit(self, step: StepInfo, targets: list[str], rank: tuple) -> None:
        """Queues a request; lower ranks are sent first."""
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

    def state_of(self, step: StepInfo) -> RequestState:
        """Returns the state of a step's open request; one that waits to be sent again counts as
        queued."""
        if not step.advice.requested:
            return RequestState.NONE
        with self._lock:
            is_queued = any(each.step is step for each in (*self._short, *self._long))
        return RequestState.QUEUED if is_queued else RequestState.SENT

    def retry_overdue(self, now: float) -> None:
        """Queues overdue requests again; has to be called regularly."""
        with self._lock:
            overdue = [number for number, (due, _) in self._deadlines.items() if now >= due]
            for number in overdue:
                self._metrics.retries.labels("advice_overdue").inc()
                self._queue(self._deadlines.pop(number)[1])

    def _queue(self, request: _Request) -> None:
        heapq.heappush(self._short if request.is_short else self._long, request)
        self._assign()

    def _assign(self) -> None:
        """Assigns queued requests to idle workers."""
        while self._short and self._idle:
            # General workers stay free for long requests, which only they may take.
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
        except Exception as error:  # A lost request would block its step for good.
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
            queued=len(self._short) + len(self._long),
            over_share=step.job.is_over_share,
        )
        valid_until = now + request.valid_s - TICKET_MARGIN_S
        self._on_advice(step, Advice(tuple(request.targets), tickets, valid_until))
        return True

    def _set_deadline(self, request: _Request, sent_at: float) -> None:
        """Sets the time when a request that is sent for the first time is overdue."""
        if not request.is_retry:
            due = sent_at + request.cost_s + OVERDUE_MARGIN_S
            with self._lock:
                self._deadlines[request.number] = (due, request._replace(is_retry=True))

    def _retry(self, request: _Request) -> None:
        """Queues a failed request again, unless that has been done already."""
        with self._lock:
            if request.is_retry or self._deadlines.pop(request.number, None) is not None:
                self._queue(request)
