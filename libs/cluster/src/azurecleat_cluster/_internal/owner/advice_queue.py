"""Requests for advice that wait for a worker, and those in flight. No threads, no clock."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple

from azurecleat_cluster._internal.owner.model import StepInfo

SHORT_REQUEST_S = 0.1
"""Highest cost of a short request."""

OVERDUE_MARGIN_S = 0.25
"""Time beyond its cost after which a request is sent again elsewhere: 10 times the round trip to
the service through another instance."""

MAX_SENDS = 3
"""Most workers that one request is sent through: two of them may hang."""

MAX_WAITING_LONG = 1
"""Most long requests that wait for a worker. Which step is served next is decided as late as
possible, because ranks and free capacity change faster than the service answers."""


class RequestState(Enum):
    """State of a step's open request for advice."""

    NONE = ""
    """None is open: there was none, or it has been answered."""
    QUEUED = "queued"
    """It waits here for a worker."""
    SENT = "sent"


class Request(NamedTuple):
    """A request for advice.

    :param cost_s: Time that the service takes for it.
    :param valid_s: How long its tickets are valid.
    :param unasked_s: How long the step may have lacked advice before it could ask for it.
    """

    number: int
    step: StepInfo
    targets: tuple[str, ...]
    cost_s: float
    valid_s: float
    queued_at: float
    unasked_s: float = 0.0

    @property
    def is_short(self) -> bool:
        return self.cost_s <= SHORT_REQUEST_S


class _Open:
    """A request without an answer."""

    def __init__(self) -> None:
        self.sends = 0
        self.in_flight = 0
        self.last_sent_at = float("-inf")
        self.is_waiting = True
        self.due = float("inf")
        """When the request is overdue, counted from when it was last sent."""


class RequestQueue:
    """Requests in the order in which they are sent: the oldest first.

    The caller decides which step's request is submitted next, and submits no more than
    :meth:`accepts` allows, so that no request waits for long here.
    """

    def __init__(self) -> None:
        self._short: deque[Request] = deque()
        self._long: deque[Request] = deque()
        self._requests: dict[int, Request] = {}
        self._open: dict[int, _Open] = {}

    def __len__(self) -> int:
        return len(self._short) + len(self._long)

    @property
    def has_short(self) -> bool:
        return bool(self._short)

    def accepts(self, cost_s: float, workers: int) -> bool:
        """Whether a request of this cost would be sent soon: there is a worker or a place to wait.

        :param workers: Number of workers.
        """
        if cost_s <= SHORT_REQUEST_S:
            return len(self._short) < max(1, workers)
        return len(self._long) < MAX_WAITING_LONG

    def push(self, request: Request) -> None:
        self._requests[request.number] = request
        self._open[request.number] = _Open()
        self._of(request).append(request)

    def pop(self, may_take_long: bool, is_unsent: bool = False) -> Request | None:
        """Takes the oldest request that a worker may send; None if there is none.

        :param is_unsent: Only a request that no other worker has in flight.
        """
        queues = [self._short, self._long] if may_take_long else [self._short]
        requests = [
            request for queue in queues if (request := self._first(queue, is_unsent)) is not None
        ]
        if not requests:
            return None
        request = min(requests, key=lambda each: each.queued_at)
        self._of(request).remove(request)
        self._open[request.number].is_waiting = False
        return request

    def note_sent(self, request: Request, now: float) -> None:
        state = self._open.get(request.number)
        if state is not None:
            state.sends += 1
            state.in_flight += 1
            state.last_sent_at = now
            state.due = now + request.cost_s + OVERDUE_MARGIN_S

    def close(self, request: Request) -> bool:
        """Closes a request that was answered or dropped; False if it was closed before."""
        state = self._open.pop(request.number, None)
        if state is None:
            return False
        del self._requests[request.number]
        if state.is_waiting:
            self._of(request).remove(request)
        return True

    def note_failed(self, request: Request, sent_at: float) -> None:
        """Lets a request wait again that a worker could not send, unless one sent later may still
        be answered."""
        state = self._open.get(request.number)
        if state is None:
            return
        state.sends -= 1
        state.in_flight -= 1
        is_last = sent_at >= state.last_sent_at
        if not state.is_waiting and (is_last or not state.in_flight):
            self._wait_again(request, state)

    def retry_overdue(self, now: float) -> int:
        """Lets requests wait again that are overdue; returns their number."""
        overdue = [
            number
            for number, state in self._open.items()
            if now >= state.due and not state.is_waiting and state.sends < MAX_SENDS
        ]
        for number in overdue:
            self._wait_again(self._requests[number], self._open[number])
        return len(overdue)

    def state_of(self, step: StepInfo) -> RequestState:
        """Returns the state of a step's open request; one that waits to be sent again counts as
        queued."""
        if not step.advice.requested:
            return RequestState.NONE
        is_waiting = any(each.step is step for each in (*self._short, *self._long))
        return RequestState.QUEUED if is_waiting else RequestState.SENT

    def _first(self, queue: deque[Request], is_unsent: bool) -> Request | None:
        allowed = (each for each in queue if not (is_unsent and self._open[each.number].in_flight))
        return next(allowed, None)

    def _wait_again(self, request: Request, state: _Open) -> None:
        state.is_waiting = True
        state.due = float("inf")
        self._of(request).appendleft(request)

    def _of(self, request: Request) -> deque[Request]:
        return self._short if request.is_short else self._long
