"""Requests advice from the advice service: which targets a step may use.

The service handles one request at a time per calling instance. The owner therefore sends its
requests through all instances, with one worker thread for each. Some workers only take requests
with a low cost, so that urgent short steps never wait behind long ones. An overdue request is sent
again through another worker, because the first one's instance may be cut off from the network.
"""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future

from azurecleat_base import Clock

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice_queue import Request, RequestQueue, RequestState
from azurecleat_cluster._internal.owner.model import Advice, StepInfo
from azurecleat_cluster._internal.ports import Adviser

TIMEOUT_MARGIN_S = 2.0
"""Added to a request's cost for its timeout: the service may serve a few others first."""

FAILURE_BACKOFF_S = 1.0
MAX_FAILURE_BACKOFF_S = 8.0
"""Pause of a worker after its first failed request in a row, and the longest such pause. It doubles
with each failure while other workers get answers; otherwise the service itself may be out."""

TICKET_MARGIN_S = 0.4
"""Subtracted from the validity of tickets: the time until a command with one reaches its target."""


class _Worker:
    """A thread that sends requests through one instance, and the request assigned to it."""

    def __init__(self, name: str, short_only: bool) -> None:
        self.name = name
        self.short_only = short_only
        self.failures = 0
        """Requests that have failed since the last answer."""
        self.inbox: Future[Request | None] = Future()


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
        self._queue = RequestQueue()
        self._numbers = itertools.count()
        self._workers: dict[str, _Worker] = {}
        self._idle: list[_Worker] = []
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

    def accepts(self, cost_s: float) -> bool:
        """Whether a request of this cost would be sent soon."""
        with self._lock:
            return self._queue.accepts(cost_s, len(self._workers))

    def submit(self, step: StepInfo, targets: list[str], unasked_s: float = 0.0) -> None:
        """Queues a request. Requests are sent in the order in which they are submitted.

        :param unasked_s: How long the step may have lacked advice before it could ask for it.
        """
        terms = step.job.queue.advice
        request = Request(
            next(self._numbers),
            step,
            tuple(targets),
            terms.cost_s(len(targets)),
            terms.valid_ms / 1000.0,
            self._clock.monotonic(),
            unasked_s,
        )
        with self._lock:
            self._queue.push(request)
            self._assign()

    def state_of(self, step: StepInfo) -> RequestState:
        """Returns the state of a step's open request."""
        with self._lock:
            return self._queue.state_of(step)

    def retry_overdue(self, now: float) -> None:
        """Queues overdue requests again; has to be called regularly."""
        with self._lock:
            retried = self._queue.retry_overdue(now)
            if retried:
                self._metrics.retries.labels("advice_overdue").inc(retried)
                self._assign()

    def _assign(self) -> None:
        """Assigns queued requests to idle workers, first to those that fail least."""
        self._idle.sort(key=lambda worker: worker.failures)
        while self._queue.has_short and self._idle:
            # General workers stay free for long requests, which only they may take.
            worker = next((each for each in self._idle if each.short_only), None)
            if worker is None:
                break
            self._assign_to(worker)
        while len(self._queue) and self._idle:
            is_alone = len(self._workers) == 1
            worker = next((each for each in self._idle if is_alone or not each.short_only), None)
            if worker is None:
                return
            self._assign_to(worker, may_take_long=True)

    def _assign_to(self, worker: _Worker, may_take_long: bool = False) -> None:
        self._idle.remove(worker)
        worker.inbox.set_result(self._queue.pop(may_take_long))

    def _serve(self, worker: _Worker, adviser: Adviser) -> None:
        while (request := self._next_request(worker)) is not None:
            if not request.step.job.is_open:
                with self._lock:
                    self._queue.close(request)
                self._on_advice(request.step, None)
            elif self._send(worker, adviser, request):
                worker.failures = 0
            else:
                worker.failures += 1
                threading.Event().wait(self._backoff_s(worker))

    def _backoff_s(self, worker: _Worker) -> float:
        """Returns the pause of a worker after a failed request."""
        others = [each for each in list(self._workers.values()) if not each.short_only]
        if all(each.failures for each in others):
            return FAILURE_BACKOFF_S
        return min(MAX_FAILURE_BACKOFF_S, FAILURE_BACKOFF_S * 2.0 ** (worker.failures - 1))

    def _next_request(self, worker: _Worker) -> Request | None:
        with self._lock:
            if self._stopping:
                return None
            worker.inbox = Future()
            self._idle.append(worker)
            self._assign()
        return worker.inbox.result()

    def _send(self, worker: _Worker, adviser: Adviser, request: Request) -> bool:
        sent_at = self._clock.monotonic()
        step = request.step
        with self._lock:
            self._queue.note_sent(request, sent_at)
        try:
            tickets = adviser.advise(
                step.name, list(request.targets), request.cost_s + TIMEOUT_MARGIN_S
            )
        except Exception as error:  # A lost request would block its step for good.
            self._metrics.retries.labels("advice").inc()
            self._events.write(
                eventlog.ADVICE_FAILED, step=step.name, adviser=worker.name, error=error
            )
            with self._lock:
                self._queue.note_failed(request, sent_at)
                self._assign()
            return False
        now = self._clock.monotonic()
        with self._lock:
            is_first = self._queue.close(request)
            queued = len(self._queue)
        if not is_first:
            return True  # Another worker has received the answer before.
        self._metrics.advice_s.observe(now - request.queued_at)
        self._events.write(
            eventlog.ADVICE_GIVEN,
            step=step.name,
            adviser=worker.name,
            named=len(request.targets),
            allowed=len(tickets),
            unasked_s=round(request.unasked_s, 3),
            waited_s=round(sent_at - request.queued_at, 3),
            took_s=round(now - sent_at, 3),
            queued=queued,
            over_share=step.job.is_over_share,
        )
        valid_until = now + request.valid_s - TICKET_MARGIN_S
        self._on_advice(step, Advice(request.targets, tickets, valid_until))
        return True
