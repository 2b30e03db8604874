"""Session of a partition's owner with one target.

Each exchange renews the owner's lease, sends commands and returns the target's reports.
"""

from __future__ import annotations

import random
import threading
from typing import NamedTuple, Protocol

from azurecleat_coordination import CLOCK_RATE_SKEW, ControlLease
from azurecleat_model import Clock
from azurecleat_model.events import TARGET_BACK, TARGET_FAILED, log_event
from azurecleat_model.exceptions import FencedError, NotRunError, OutcomeUnknownError
from azurecleat_platform import (
    ControlReply,
    ControlRequest,
    EndedTask,
    RunningTask,
    Target,
    TargetClient,
    TaskStart,
    TaskStop,
)

RENEWALS_PER_LEASE = 3
RENEWAL_JITTER = 0.2
"""Largest fraction by which a renewal period is shortened at random."""

CONTROL_RETRY_S = 0.2
LATE_ARRIVAL_S = 60.0
"""Longest time after which a request that was sent and not answered takes effect."""

UNRESPONSIVE_AFTER_LEASES = 0.5
"""Fraction of a lease without an answer after which the session stops renewing."""


class SessionListener(Protocol):
    """Receives a target's reports, on the session's thread and without its lock held."""

    def on_granted(self, session: TargetSession) -> None:
        """Called when the target grants control to this owner, for the first time or again."""

    def on_running(
        self, session: TargetSession, running: tuple[RunningTask, ...], sent_at: float
    ) -> None:
        """Called with the tasks or requests running on the target.

        :param sent_at: When the request that the target answered was sent.
        """

    def on_unchanged(self, session: TargetSession, sent_at: float) -> None:
        """Called when the target runs the same as it last reported.

        :param sent_at: When the request that the target answered was sent.
        """

    def on_ended(self, session: TargetSession, ended: tuple[EndedTask, ...]) -> None:
        """Called with attempts that ended and were not acknowledged yet."""

    def on_refused(self, session: TargetSession, tasks: tuple[str, ...]) -> None:
        """Called with starts that the target refused; none of them was run."""

    def on_start_unknown(self, session: TargetSession, tasks: tuple[str, ...]) -> None:
        """Called with starts that the target refused after an exchange without an answer.

        The refusal concerns only the repeated start. The target may have run the task after the
        earlier exchange, or may still run it if that exchange arrives late.
        """

    def on_unresponsive(self, session: TargetSession) -> None:
        """Called when the session has stopped renewing the lease of a target that is silent.

        Nothing is sent to the target until its lease has lapsed.
        """

    def on_lost(self, session: TargetSession) -> None:
        """Called when the target's lease has certainly lapsed, which ends all that it ran."""


class SessionSettings(NamedTuple):
    """Identity of the owner and length of its leases."""

    partition: str
    epoch: int
    owner: str
    lease_s: float


class TargetSession:
    """Exchanges commands and reports with one target.

    Commands stay queued until an answer confirms them, so they are sent again after a lost
    answer; they are idempotent at the target. The session stops renewing the lease of a target
    that does not answer, so that the lease is sure to lapse. The work on the target counts as
    lost only after that.
    """

    def __init__(
        self,
        target: Target,
        client: TargetClient,
        settings: SessionSettings,
        lease: ControlLease,
        clock: Clock,
        listener: SessionListener,
    ) -> None:
        self._target = target
        self._client = client
        self._settings = settings
        self._lease = lease
        self._clock = clock
        self._listener = listener
        self._rng = random.Random(target.name)
        self._lock = threading.Lock()
        self._starts: dict[str, TaskStart] = {}
        self._sent_starts: set[str] = set()
        self._first_sent: set[str] = set()
        """Starts that the last exchange was the first to contain."""
        self._unanswered_starts: dict[str, float] = {}
        self._stops: dict[str, TaskStop] = {}
        self._acknowledge: dict[str, None] = {}
        self._last_version = -1
        self._granted = False
        self._lost = False
        self._is_silence_reported = False
        self._last_sent_at: float | None = None
        self._last_answer_at = clock.monotonic()
        self._created_at = clock.monotonic()

    @property
    def target(self) -> Target:
        return self._target

    @property
    def client(self) -> TargetClient:
        return self._client

    @property
    def is_granted(self) -> bool:
        """Whether the target granted control to this owner, as far as known."""
        return self._granted

    @property
    def is_unresponsive(self) -> bool:
        """Whether nothing is sent to the target until its lease has lapsed."""
        return self._is_unresponsive(self._clock.monotonic())

    @property
    def has_commands(self) -> bool:
        with self._lock:
            return bool(self._starts or self._stops or self._due_acknowledgements())

    def update_target(self, target: Target) -> None:
        """Replaces the target's description by the current one of the instance list."""
        self._target = target

    def start_task(self, start: TaskStart) -> None:
        """Queues a start."""
        with self._lock:
            self._starts[start.task] = start

    def cancel_start(self, task: str) -> None:
        """Drops a queued start; if it was already sent, the task must also be stopped."""
        with self._lock:
            self._starts.pop(task, None)

    def take_unsent_starts(self) -> list[str]:
        """Removes and returns the queued starts that were not sent yet."""
        with self._lock:
            unsent = [task for task in self._starts if task not in self._sent_starts]
            for task in unsent:
                del self._starts[task]
            return unsent

    def stop_task(self, stop: TaskStop) -> None:
        """Queues a stop."""
        with self._lock:
            self._stops[stop.task] = stop

    def acknowledge(self, task: str) -> None:
        """Queues the acknowledgement of an ended task."""
        with self._lock:
            self._acknowledge[task] = None

    def next_exchange_delay_s(self) -> float:
        """Returns the seconds until the next exchange is due."""
        if not self._granted or self.is_unresponsive:
            return CONTROL_RETRY_S
        if self.has_commands:
            return 0.0
        # Without jitter, sessions opened at the same time would always renew at the same time.
        jitter = self._rng.uniform(1.0 - RENEWAL_JITTER, 1.0)
        return jitter * self._settings.lease_s / RENEWALS_PER_LEASE

    def exchange(self) -> None:
        """Makes one exchange, or only checks for lapse if the target is unresponsive."""
        now = self._clock.monotonic()
        if self._lease.is_revoked:
            return
        if self._is_unresponsive(now):
            if self._granted and not self._is_silence_reported:
                self._is_silence_reported = True
                self._listener.on_unresponsive(self)
            self._check_lapse(now)
            return
        request = self._request()
        sent_at = self._last_sent_at = self._clock.monotonic()
        try:
            reply = self._client.control(request)
        except FencedError as error:
            self._on_fenced(error)
        except NotRunError as error:
            with self._lock:
                self._sent_starts -= self._first_sent
            self._on_failure(error)
        except OutcomeUnknownError as error:
            with self._lock:
                sent_by = self._clock.monotonic()
                self._unanswered_starts.update((start.task, sent_by) for start in request.start)
            self._on_failure(error)
        else:
            self._on_reply(request, reply, sent_at)

    def release(self) -> None:
        """Releases the lease at the target, so that the next epoch can take control at once."""
        try:
            self._client.control(self._request()._replace(release=True, start=()))
        except (NotRunError, OutcomeUnknownError):
            # The lease lapses without a release as well, only later.
            return

    def close(self) -> None:
        """Closes the connection."""
        self._client.close()

    def _request(self) -> ControlRequest:
        with self._lock:
            self._forget_arrived_starts()
            # Commands need a valid lease (a majority of the targets). A renewal does not: each
            # target decides by itself whether to grant it.
            may_act = self._lease.is_valid()
            starts = tuple(self._starts.values()) if may_act and self._granted else ()
            self._first_sent = {start.task for start in starts} - self._sent_starts
            self._sent_starts |= self._first_sent
            return ControlRequest(
                *self._settings,
                start=starts,
                stop=tuple(self._stops.values()) if may_act else (),
                acknowledge=self._due_acknowledgements() if may_act else (),
                since=self._last_version,
            )

    def _forget_arrived_starts(self) -> None:
        arrived_before = self._clock.monotonic() - LATE_ARRIVAL_S
        self._unanswered_starts = {
            task: at for task, at in self._unanswered_starts.items() if at > arrived_before
        }

    def _due_acknowledgements(self) -> tuple[str, ...]:
        """Returns the ended tasks that the target may forget.

        Until it forgets a task, the target ignores a start of it that arrives late.
        """
        return tuple(task for task in self._acknowledge if task not in self._unanswered_starts)

    def _on_reply(self, request: ControlRequest, reply: ControlReply, sent_at: float) -> None:
        self._lease.renew(self._target.name, sent_at)
        self._last_answer_at = self._clock.monotonic()
        self._is_silence_reported = False
        self._last_version = reply.version
        with self._lock:
            unknown = tuple(task for task in reply.refused if task in self._unanswered_starts)
            for start in request.start:
                self._starts.pop(start.task, None)
                self._sent_starts.discard(start.task)
            for stop in request.stop:
                if self._stops.get(stop.task) == stop:
                    del self._stops[stop.task]
            # Ends that the target was told to forget, or will be, were processed before.
            processed = {*request.acknowledge, *self._acknowledge}
            for task in request.acknowledge:
                self._acknowledge.pop(task, None)
        if not self._granted:
            self._granted = True
            if self._lost:
                log_event(TARGET_BACK, target=self._target.name)
            self._lost = False
            self._listener.on_granted(self)
        refused = tuple(task for task in reply.refused if task not in unknown)
        if refused:
            self._listener.on_refused(self, refused)
        if unknown:
            self._listener.on_start_unknown(self, unknown)
        ended = tuple(end for end in reply.ended if end.task not in processed)
        if ended:
            self._listener.on_ended(self, ended)
        if reply.running is not None:
            self._listener.on_running(self, reply.running, sent_at)
        else:
            self._listener.on_unchanged(self, sent_at)

    def _on_fenced(self, error: FencedError) -> None:
        self._last_answer_at = self._clock.monotonic()
        self._lease.drop(self._target.name)
        if error.epoch > self._settings.epoch:
            self._lease.revoke()
        self._granted = False

    def _on_failure(self, error: Exception) -> None:
        if self._granted and self._is_unresponsive(self._clock.monotonic()):
            step = getattr(error, "step", "")
            log_event(TARGET_FAILED, target=self._target.name, step=step, error=error)

    def _is_unresponsive(self, now: float) -> bool:
        if self._lost or self._last_sent_at is None:
            return False
        return now - self._last_answer_at > UNRESPONSIVE_AFTER_LEASES * self._settings.lease_s

    def _check_lapse(self, now: float) -> None:
        assert self._last_sent_at is not None
        if now < self._last_sent_at + self._settings.lease_s * (1 + CLOCK_RATE_SKEW):
            return
        with self._lock:
            self._starts.clear()
            self._sent_starts.clear()
            self._stops.clear()
            self._acknowledge.clear()
        self._lost = True
        self._granted = False
        self._last_version = -1
        self._listener.on_lost(self)
