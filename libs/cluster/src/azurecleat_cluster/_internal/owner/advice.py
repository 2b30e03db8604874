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
from azurecleat_cluster._internal.owner.work import Advice, StepWork
from azurecleat_cluster._internal.ports import Adviser

SHORT_S = 0.1
"""Cost up to which a question counts as short."""

CALL_MARGIN_S = 2.0
"""Added to a question's cost for its timeout: a few others may be served before it."""

OVERDUE_S = 0.25
"""Time beyond its cost after which a question is asked again elsewhere: the way to the service and
back through another instance takes a tenth of it."""

FAILED_PAUSE_S = 1.0
"""Pause of a caller after a failed question."""

VALID_MARGIN_S = 0.4
"""Taken off the validity of tickets for the way to the target."""


class _Question(NamedTuple):
    rank: tuple
    number: int
    step: StepWork
    targets: list[str]
    cost_s: float
    valid_s: float
    asked_at: float
    is_repeat: bool = False

    @property
    def is_short(self) -> bool:
        return self.cost_s <= SHORT_S


class _Caller:
    """An instance that asks, and the question it was given last."""

    def __init__(self, name: str, short_only: bool) -> None:
        self.name = name
        self.short_only = short_only
        self.inbox: Future[_Question | None] = Future()


class AdvicePool:
    """Queues questions and hands them to callers.

    :param on_advice: Receives the answer of a step, None if there is none.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        on_advice: Callable[[StepWork, Advice | None], None],
    ) -> None:
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._on_advice = on_advice
        self._lock = threading.Lock()
        self._short: list[_Question] = []
        self._long: list[_Question] = []
        self._numbers = itertools.count()
        self._callers: dict[str, _Caller] = {}
        self._idle: list[_Caller] = []
        self._due: dict[int, tuple[float, _Question]] = {}
        """Questions on their way that were asked once, and when each is overdue."""
        self._stopping = False

    @property
    def callers(self) -> int:
        """Number of callers that ask anything, however long its answer takes."""
        return sum(not caller.short_only for caller in list(self._callers.values()))

    def stop(self) -> None:
        with self._lock:
            self._stopping = True
            for caller in self._idle:
                caller.inbox.set_result(None)
            self._idle.clear()

    def add_caller(
        self, name: str, connect: Callable[[], Adviser], short_only: bool = False
    ) -> None:
        """Starts a caller; a name that is there already is left alone."""
        with self._lock:
            if name in self._callers or self._stopping:
                return
            caller = self._callers[name] = _Caller(name, short_only)
        threading.Thread(
            target=self._serve, args=(caller, connect()), name=f"advice-{name}", daemon=True
        ).start()

    def ask(self, step: StepWork, targets: list[str], rank: tuple) -> None:
        """Queues a question; lower ranks are asked first."""
        terms = step.job.queue.advice
        question = _Question(
            rank,
            next(self._numbers),
            step,
            targets,
            terms.cost_s(len(targets)),
            terms.valid_ms / 1000.0,
            self._clock.monotonic(),
        )
        with self._lock:
            self._queue(question)

    def repeat_overdue(self, now: float) -> None:
        """Asks questions again that should have been answered by now; called now and then."""
        with self._lock:
            overdue = [number for number, (due, _) in self._due.items() if now >= due]
            for number in overdue:
                self._metrics.retries.labels("advice_overdue").inc()
                self._queue(self._due.pop(number)[1])

    def _queue(self, question: _Question) -> None:
        heapq.heappush(self._short if question.is_short else self._long, question)
        self._assign()

    def _assign(self) -> None:
        """Hands questions to idle callers."""
        while self._short and self._idle:
            # Callers that may ask anything are kept for what only they may ask.
            caller = next((each for each in self._idle if each.short_only), self._idle[0])
            self._hand(caller, heapq.heappop(self._short))
        while self._long:
            is_alone = len(self._callers) == 1
            caller = next((each for each in self._idle if is_alone or not each.short_only), None)
            if caller is None:
                return
            self._hand(caller, heapq.heappop(self._long))

    def _hand(self, caller: _Caller, question: _Question) -> None:
        self._idle.remove(caller)
        caller.inbox.set_result(question)

    def _serve(self, caller: _Caller, adviser: Adviser) -> None:
        while (question := self._take(caller)) is not None:
            if not question.step.job.is_open:
                self._on_advice(question.step, None)
            elif not self._ask(caller, adviser, question):
                threading.Event().wait(FAILED_PAUSE_S)

    def _take(self, caller: _Caller) -> _Question | None:
        with self._lock:
            if self._stopping:
                return None
            caller.inbox = Future()
            self._idle.append(caller)
            self._assign()
        return caller.inbox.result()

    def _ask(self, caller: _Caller, adviser: Adviser, question: _Question) -> bool:
        sent_at = self._clock.monotonic()
        step = question.step
        self._note_sent(question, sent_at)
        try:
            tickets = adviser.advise(step.name, question.targets, question.cost_s + CALL_MARGIN_S)
        except Exception as error:  # A question that is lost would hold up its step for good.
            self._metrics.retries.labels("advice").inc()
            self._events.write(
                eventlog.ADVICE_FAILED, step=step.name, adviser=caller.name, error=error
            )
            self._ask_again(question)
            return False
        now = self._clock.monotonic()
        with self._lock:
            self._due.pop(question.number, None)
        self._metrics.advice_s.observe(now - question.asked_at)
        self._events.write(
            eventlog.ADVICE_GIVEN,
            step=step.name,
            adviser=caller.name,
            named=len(question.targets),
            allowed=len(tickets),
            waited_s=round(sent_at - question.asked_at, 3),
            took_s=round(now - sent_at, 3),
        )
        valid_until = now + question.valid_s - VALID_MARGIN_S
        self._on_advice(step, Advice(tuple(question.targets), tickets, valid_until))
        return True

    def _note_sent(self, question: _Question, sent_at: float) -> None:
        """Notes when a question that was asked for the first time is overdue."""
        if not question.is_repeat:
            due = sent_at + question.cost_s + OVERDUE_S
            with self._lock:
                self._due[question.number] = (due, question._replace(is_repeat=True))

    def _ask_again(self, question: _Question) -> None:
        """Queues a question that failed, unless it was asked again already."""
        with self._lock:
            if question.is_repeat or self._due.pop(question.number, None) is not None:
                self._queue(question)
