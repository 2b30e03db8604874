"""Connection of an owner to one life of a target: a thread for holds, a few for orders."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from azurecleat_base import Clock
from azurecleat_base.exceptions import FencedError, NotRunError, OutcomeUnknownError, TargetError

from azurecleat_cluster._internal.exceptions import (
    ConnectionChangedError,
    TargetReplacedError,
)
from azurecleat_cluster._internal.owner.authority import Authority
from azurecleat_cluster._internal.owner.work import UNKNOWN_PACE, Run, TargetWork
from azurecleat_cluster._internal.ports import StartCommand, StartResult, TargetClient
from azurecleat_cluster._internal.values import TargetReport

HOLD_WAIT_S = 0.5
"""How long a target keeps a hold back until a run ends: runs that stall are seen in two."""

IDLE_WAIT_S = 2.0
"""The same for a target that runs nothing; the longest that targets allow."""

HOLD_MARGIN_S = 0.25
"""Longest wait for the answer to a hold beside its own wait: a hundred times any distance."""

ORDER_TIMEOUT_S = 0.3
"""Longest wait for the answer to an order. An order is repeated as it is: a target takes a
start or a stop that it has seen already for the same one."""

START_TRIES = 3
"""Times that a start is sent before the run is given up and stopped."""

LOSSY_WAIT_S = 0.3
"""Wait of a hold while answers get lost: a lost one hides ends for as long as it was to take."""

LOSSY_S = 8.0
"""How long after a lost answer holds are short."""

SILENT_HOLDS = 2
"""Holds without an answer, one after the other, after which a target counts as silent."""

RETRY_PAUSE_S = 0.25
"""Pause after a failed call to a target."""

RECORD_WAIT_S = 0.5
"""How long the next hold waits for the log to take the ends of the one before."""

ORDER_THREADS = 3
"""Orders on the way to one target at one time: one without an answer holds up no other."""


class LinkObserver(Protocol):
    """Receives what a link learns; called from the link's threads."""

    def on_report(self, link: TargetLink, report: TargetReport, sent_at: float) -> None: ...

    def on_doubt(self, link: TargetLink) -> None: ...

    def on_silent(self, link: TargetLink, error: TargetError) -> None: ...

    def on_replaced(self, link: TargetLink, reason: str) -> None: ...

    def on_fenced(self, link: TargetLink, epoch: int) -> None: ...

    def on_start(self, run: Run, result: StartResult) -> None: ...

    def on_start_failed(self, run: Run, error: TargetError, may_run: bool) -> None: ...

    def on_stop(self, run: Run) -> None: ...


class TargetClock:
    """Estimates a target's clock from its answers, never ahead of it."""

    def __init__(self) -> None:
        self._sample: tuple[float, float] | None = None

    def note(self, clock_ms: float, received_at: float) -> None:
        self._sample = (clock_ms, received_at)

    def until_ms(self, now: float, lease_s: float) -> int | None:
        """Returns the target's time in ``lease_s`` seconds from now, None if it is unknown."""
        if self._sample is None:
            return None
        clock_ms, received_at = self._sample
        return math.floor(clock_ms + (now - received_at + lease_s) * 1000.0)


class Losses:
    """Remembers, for all links of a term, when an answer was last lost."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lost_at = float("-inf")

    @property
    def are_recent(self) -> bool:
        return self._clock.monotonic() - self._lost_at < LOSSY_S

    def note(self) -> None:
        self._lost_at = self._clock.monotonic()


class TargetLink:
    """Holds a target's runs and sends it orders while the owner may act."""

    def __init__(
        self,
        work: TargetWork,
        client: TargetClient,
        authority: Authority,
        observer: LinkObserver,
        losses: Losses,
        clock: Clock,
    ) -> None:
        self.work = work
        self._client = client
        self._authority = authority
        self._observer = observer
        self._losses = losses
        self._clock = clock
        self._target_clock = TargetClock()
        self._changed = threading.Condition()
        self._stopping = False
        self._acknowledged = 0
        self._processed = 0
        self._failures = 0
        self._is_same_life = False
        """Whether the connection of the last hold, which showed the life, is still in use."""
        self._is_looking = False
        self._renewed_at = float("-inf")
        self._orders = ThreadPoolExecutor(ORDER_THREADS, thread_name_prefix=f"order-{work.id}")
        self._thread = threading.Thread(target=self._run, name=f"hold-{work.id}", daemon=True)

    @property
    def lease_end(self) -> float:
        """Own time after which no lease known of still holds there."""
        return self._authority.lease_end(self._renewed_at)

    @property
    def processed(self) -> int:
        """Number of the last end that was taken in."""
        return self._processed

    @processed.setter
    def processed(self, number: int) -> None:
        self._processed = number

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        """Sends nothing more; orders on their way finish."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._orders.shutdown(wait=False, cancel_futures=True)

    def join(self) -> None:
        """Waits for orders on their way; a hold on its way changes nothing any more."""
        self._orders.shutdown(wait=True)
        self._client.close()

    def inherit_lease(self, reached_at: float) -> None:
        """Notes that a former owner may have renewed the target's lease until now."""
        self._renewed_at = max(self._renewed_at, reached_at)

    def doubt_lease(self) -> None:
        """Notes that orders with another life's clock may have given the longest lease."""
        doubted_at = self._clock.monotonic() + self._authority.lease_beyond_s
        self._renewed_at = max(self._renewed_at, doubted_at)

    def acknowledge(self, number: int) -> None:
        """Lets the target forget ends up to a number: they are in the log."""
        with self._changed:
            self._acknowledged = max(self._acknowledged, number)
            self._changed.notify_all()

    def order_start(self, run: Run, payload: str, ticket: str) -> None:
        self._submit(self._start_run, run, payload, ticket)

    def order_stop(self, run: Run) -> None:
        self._submit(self._stop_run, run)

    def order_pace(self, run: Run, percent: int) -> None:
        self._submit(self._pace_run, run, percent)

    def _submit(self, call: Callable, *arguments: object) -> None:
        try:
            self._orders.submit(call, *arguments)
        except RuntimeError:
            pass  # The link has stopped: the term, or the target's life, is over.

    def _run(self) -> None:
        while not self._stopping:
            try:
                if not self._authority.may_act():
                    self._pause(RETRY_PAUSE_S)
                    continue
                self._hold()
                self._failures = 0
            except ConnectionChangedError:
                # The next hold only looks. A target that keeps no connection gets no storm.
                if self._is_looking:
                    self._pause(RETRY_PAUSE_S)
                self._is_looking = True
            except FencedError as error:
                self._observer.on_fenced(self, error.epoch)
                self._pause(RETRY_PAUSE_S)
            except TargetReplacedError as error:
                self._observer.on_replaced(self, str(error))
                return
            except TargetError as error:
                self._note_silence(error)
            except Exception as error:  # An odd answer must not end the holds of a target.
                self._note_silence(TargetError(repr(error), step="hold", peer=self.work.id))

    def _note_silence(self, error: TargetError) -> None:
        self._failures += 1
        self._losses.note()
        self._observer.on_doubt(self)
        if self._failures >= SILENT_HOLDS:
            self._observer.on_silent(self, error)
            self._pause(RETRY_PAUSE_S)

    def _hold(self) -> None:
        sent_at = self._clock.monotonic()
        # Only a look, which learns the clock and what runs, may meet another life of the target:
        # ends would be acknowledged there that nobody has seen, and leases given by a clock that
        # it does not have.
        is_same_life, self._is_same_life = self._is_same_life, False
        until_ms = self._lease(sent_at) if is_same_life else None
        acknowledged = self._acknowledged if is_same_life else 0
        is_settled = until_ms is not None and self._acknowledged >= self._processed
        wait_s = self._wait_s() if is_settled else 0.0
        report = self._client.poll(
            self._authority.fence,
            acknowledged,
            until_ms,
            wait_s,
            wait_s + HOLD_MARGIN_S,
            is_same_life,
        )
        self._is_same_life = True
        self._is_looking = self._is_looking and not is_same_life
        self._target_clock.note(report.clock_ms, self._clock.monotonic())
        self._observer.on_report(self, report, sent_at)
        self._await_record()

    def _wait_s(self) -> float:
        if self._losses.are_recent:
            return LOSSY_WAIT_S
        return HOLD_WAIT_S if self.work.runs else IDLE_WAIT_S

    def _await_record(self) -> None:
        """Waits until the ends taken in are in the log, or until the lease wants renewing."""
        deadline = self._clock.monotonic() + RECORD_WAIT_S
        with self._changed:
            while self._acknowledged < self._processed and not self._stopping:
                left_s = deadline - self._clock.monotonic()
                if left_s <= 0:
                    return
                self._changed.wait(left_s)

    def _lease(self, now: float) -> int | None:
        until_ms = self._target_clock.until_ms(now, self._authority.lease_s)
        if until_ms is not None:
            self._renewed_at = max(self._renewed_at, now)
        return until_ms

    def _start_run(self, run: Run, payload: str, ticket: str) -> None:
        if not self._authority.may_act() or self._stopping:
            error = NotRunError("no right to act", step="run.start", peer=self.work.id)
            self._observer.on_start_failed(run, error, may_run=False)
            return
        now = self._clock.monotonic()
        until_ms = self._lease(now)
        if until_ms is None:
            error = NotRunError("target clock unknown", step="run.start", peer=self.work.id)
            self._observer.on_start_failed(run, error, may_run=False)
            return
        run.until = self._authority.lease_end(now)
        order = StartCommand(
            run.task,
            run.number,
            payload,
            until_ms,
            self._authority.fence,
            run.checkpoint,
            ticket,
        )
        try:
            result = self._send_start(order)
        except FencedError as error:
            self._observer.on_start_failed(run, error, may_run=False)
            self._observer.on_fenced(self, error.epoch)
        except TargetReplacedError as error:
            self._observer.on_start_failed(run, error, may_run=False)
            self._observer.on_replaced(self, str(error))
        except OutcomeUnknownError as error:
            self._observer.on_start_failed(run, error, may_run=True)
        except TargetError as error:
            self._observer.on_start_failed(run, error, may_run=False)
        else:
            if result.clock_ms:
                self._target_clock.note(result.clock_ms, self._clock.monotonic())
            self._observer.on_start(run, result)

    def _send_start(self, order: StartCommand) -> StartResult:
        """Sends a start, and sends it again if no answer came.

        :raises TargetError: It was not started, or that is not known.
        """
        unknown: OutcomeUnknownError | None = None
        for _ in range(START_TRIES):
            if not self._authority.may_act():
                break
            try:
                return self._client.start(order, ORDER_TIMEOUT_S)
            except OutcomeUnknownError as error:
                unknown = error
                self._losses.note()
            except NotRunError as error:
                if unknown is None:
                    raise
                unknown = OutcomeUnknownError(str(error), step=error.step, peer=error.peer)
        raise unknown or NotRunError("no right to act", step="run.start", peer=self.work.id)

    def _stop_run(self, run: Run) -> None:
        """Repeats the stop until it is answered: an unanswered start may arrive after it."""
        while not self._stopping and run.key in self.work.runs:
            if self._authority.may_act():
                try:
                    self._client.stop(run.task, run.number, self._authority.fence, ORDER_TIMEOUT_S)
                    self._observer.on_stop(run)
                    return
                except FencedError as error:
                    self._observer.on_fenced(self, error.epoch)
                    return
                except TargetReplacedError as error:
                    self._observer.on_replaced(self, str(error))
                    return
                except TargetError:
                    pass  # The next holds tell whether the target answers at all.
            self._pause(RETRY_PAUSE_S)

    def _pace_run(self, run: Run, percent: int) -> None:
        if not self._authority.may_act():
            return
        try:
            self._client.throttle(
                run.task, run.number, percent, self._authority.fence, ORDER_TIMEOUT_S
            )
        except FencedError as error:
            self._observer.on_fenced(self, error.epoch)
        except TargetError:
            run.pace = UNKNOWN_PACE  # The next look at the target sends it again.

    def _pause(self, seconds: float) -> None:
        with self._changed:
            if not self._stopping:
                self._changed.wait(seconds)
