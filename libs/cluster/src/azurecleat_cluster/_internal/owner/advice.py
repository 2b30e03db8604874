"""Requests advice from the advice service: which targets a step may use.

The service handles one request at a time per calling instance. The owner therefore sends its
requests through all instances, with one worker thread for each. Requests with a high cost leave a
part of the workers free, so that urgent short steps never wait behind them. An overdue request is
sent again through another worker, because the first one's instance may be cut off from the network.

An instance may also be gone for good. Workers whose last request failed or is overdue are therefore
left out of the count of which a part stays free, and the others go first, until an answer comes.
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
from azurecleat_cluster._internal.owner.advice_queue import (
    OVERDUE_MARGIN_S,
    Request,
    RequestQueue,
    RequestState,
)
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


SHORT_WORKERS_SHARE = 0.25
"""Share of the other instances' workers that long requests leave free, beside one more worker:
after a change of owner all steps request advice at once, and a long request takes as long as a
whole urgent task."""


class _Worker:
    """A thread that sends requests through one instance, and the request assigned to it."""

    def __init__(self, name: str, is_own: bool) -> None:
        self.name = name
        self.is_own = is_own
        self.failures = 0
        """Requests that have failed since the last answer."""
        self.request: Request | None = None
        """The request assigned to it, until it has been answered or has failed."""
        self.due = float("inf")
        """When the request in flight is overdue."""
        self.inbox: Future[Request | None] = Future()

    @property
    def has_long(self) -> bool:
        return self.request is not None and not self.request.is_short

    def is_responsive(self, now: float) -> bool:
        """Whether its last request was answered, and the one in flight is not overdue."""
        return not self.failures and now < self.due

    def note_end(self, is_answered: bool) -> None:
        """Notes that its request was answered or has failed."""
        self.request, self.due = None, float("inf")
        self.failures = 0 if is_answered else self.failures + 1


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
        self._counted_total = 0
        """Number of counted workers; kept, as each waiting step asks for it in each round."""
        self._stopping = False

    @property
    def general_worker_count(self) -> int:
        """Number of requests of any cost that may be in flight."""
        return self._counted_total - _reserved(self._counted_total)

    def stop(self) -> None:
        with self._lock:
            self._stopping = True
            for worker in self._idle:
                worker.inbox.set_result(None)
            self._idle.clear()

    def add_worker(self, name: str, connect: Callable[[], Adviser], is_own: bool = False) -> None:
        """Starts a worker, unless there is one with that name.

        :param is_own: Whether it sends through the owner's own instance. Such a worker takes a long
            request only if no other one is idle.
        """
        with self._lock:
            if name in self._workers or self._stopping:
                return
            worker = self._workers[name] = _Worker(name, is_own)
            self._counted_total = len(self._counted(self._clock.monotonic()))
        threading.Thread(
            target=self._serve, args=(worker, connect()), name=f"advice-{name}", daemon=True
        ).start()

    def accepts(self, cost_s: float) -> bool:
        """Whether a request of this cost would be sent soon."""
        with self._lock:
            return self._queue.accepts(cost_s, self._counted_total)

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
            self._counted_total = len(self._counted(now))
            if retried:
                self._metrics.retries.labels("advice_overdue").inc(retried)
            # A worker whose request has become overdue changes what the others may take.
            self._assign()

    def _counted(self, now: float) -> list[_Worker]:
        """Returns the responsive workers, or all if none is responsive."""
        workers = list(self._workers.values())
        return [worker for worker in workers if worker.is_responsive(now)] or workers

    def _assign(self) -> None:
        """Assigns queued requests to idle workers."""
        while len(self._queue) and self._idle:
            request, idle = self._take_request(self._clock.monotonic())
            if request is None:
                return
            worker = min(idle, key=lambda each: (each.failures, each.is_own != request.is_short))
            self._idle.remove(worker)
            worker.request = request
            worker.inbox.set_result(request)

    def _take_request(self, now: float) -> tuple[Request | None, list[_Worker]]:
        """Takes the next request from the queue; returns it and the workers that may send it."""
        counted = set(self._counted(now))
        long_left = len(counted) - _reserved(len(counted))
        long_left -= sum(worker.has_long for worker in counted)
        idle = [worker for worker in self._idle if worker in counted]
        request = None
        if idle:
            # The workers that stay free for short requests take them at once, whatever their age.
            is_short_next = self._queue.has_short and len(idle) > max(0, long_left)
            request = self._queue.pop(may_take_long=long_left > 0 and not is_short_next)
        if request is None:
            # What no responsive worker may take shows whether the others answer again. A request
            # that is in flight waits for a responsive one: the next might hang as well.
            idle = [worker for worker in self._idle if worker not in counted]
            request = self._queue.pop(may_take_long=True, is_unsent=True) if idle else None
        return request, idle

    def _serve(self, worker: _Worker, adviser: Adviser) -> None:
        while (request := self._next_request(worker)) is not None:
            if not request.step.job.is_open:
                with self._lock:
                    self._queue.close(request)
                self._on_advice(request.step, None)
            elif not self._send(worker, adviser, request):
                threading.Event().wait(self._backoff_s(worker))

    def _backoff_s(self, worker: _Worker) -> float:
        """Returns the pause of a worker after a failed request."""
        if all(each.failures for each in list(self._workers.values())):
            return FAILURE_BACKOFF_S
        return min(MAX_FAILURE_BACKOFF_S, FAILURE_BACKOFF_S * 2.0 ** (worker.failures - 1))

    def _next_request(self, worker: _Worker) -> Request | None:
        with self._lock:
            if self._stopping:
                return None
            worker.request = None
            worker.inbox = Future()
            self._idle.append(worker)
            self._assign()
        return worker.inbox.result()

    def _send(self, worker: _Worker, adviser: Adviser, request: Request) -> bool:
        sent_at = self._clock.monotonic()
        step = request.step
        with self._lock:
            self._queue.note_sent(request, sent_at)
            worker.due = sent_at + request.cost_s + OVERDUE_MARGIN_S
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
                worker.note_end(is_answered=False)
                self._queue.note_failed(request, sent_at)
                self._assign()
            return False
        now = self._clock.monotonic()
        with self._lock:
            worker.note_end(is_answered=True)
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


def _reserved(workers: int) -> int:
    """Returns how many workers long requests leave free; a single one takes all requests."""
    return 1 + int((workers - 1) * SHORT_WORKERS_SHARE) if workers > 1 else 0
