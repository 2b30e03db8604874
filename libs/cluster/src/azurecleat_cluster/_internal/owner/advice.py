"""Asks the advice service which targets may run a step, through several instances at once.

The service handles one call at a time for each calling instance, so that the owner spreads its
questions: each instance is a caller with a thread of its own, and one caller only takes
questions that cost little, so that urgent short steps never wait behind long ones.
"""

from __future__ import annotations

import heapq
import itertools
import threading
from collections.abc import Callable
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
        self._short: list[_Question] = []
        self._long: list[_Question] = []
        self._numbers = itertools.count()
        self._changed = threading.Condition()
        self._callers: set[str] = set()
        self._stopping = False

    def stop(self) -> None:
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def add_caller(
        self, name: str, connect: Callable[[], Adviser], short_only: bool = False
    ) -> None:
        """Starts a caller; a name that is there already is left alone."""
        with self._changed:
            if name in self._callers or self._stopping:
                return
            self._callers.add(name)
        threading.Thread(
            target=self._serve,
            args=(name, connect(), short_only),
            name=f"advice-{name}",
            daemon=True,
        ).start()

    def remove_caller(self, name: str) -> None:
        with self._changed:
            self._callers.discard(name)
            self._changed.notify_all()

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
        with self._changed:
            queue = self._short if question.cost_s <= SHORT_S else self._long
            heapq.heappush(queue, question)
            self._changed.notify_all()

    def _serve(self, name: str, adviser: Adviser, short_only: bool) -> None:
        while (question := self._take(name, short_only)) is not None:
            if not question.step.job.is_open:
                self._on_advice(question.step, None)
            elif not self._ask(name, adviser, question):
                threading.Event().wait(FAILED_PAUSE_S)

    def _take(self, name: str, short_only: bool) -> _Question | None:
        with self._changed:
            while not self._stopping and name in self._callers:
                if self._short:
                    return heapq.heappop(self._short)
                if self._long and (not short_only or len(self._callers) == 1):
                    return heapq.heappop(self._long)
                self._changed.wait()
            return None

    def _ask(self, name: str, adviser: Adviser, question: _Question) -> bool:
        sent_at = self._clock.monotonic()
        step = question.step
        try:
            tickets = adviser.advise(step.name, question.targets, question.cost_s + CALL_MARGIN_S)
        except Exception as error:  # A question that is lost would hold up its step for good.
            self._metrics.retries.labels("advice").inc()
            self._events.write(eventlog.ADVICE_FAILED, step=step.name, adviser=name, error=error)
            with self._changed:
                queue = self._short if question.cost_s <= SHORT_S else self._long
                heapq.heappush(queue, question)
                self._changed.notify_all()
            return False
        now = self._clock.monotonic()
        self._metrics.advice_s.observe(now - question.asked_at)
        self._events.write(
            eventlog.ADVICE_GIVEN,
            step=step.name,
            adviser=name,
            named=len(question.targets),
            allowed=len(tickets),
            waited_s=round(sent_at - question.asked_at, 3),
            took_s=round(now - sent_at, 3),
        )
        valid_until = now + question.valid_s - VALID_MARGIN_S
        self._on_advice(step, Advice(tuple(question.targets), tickets, valid_until))
        return True
