"""An owner's session with one incarnation of a target.

One thread polls the target, which renews its lease and returns its report. Commands are sent by
threads that all sessions share.
"""

from __future__ import annotations

import math
import threading
from functools import partial
from typing import Protocol

from azurecleat_base import Clock
from azurecleat_base.exceptions import FencedError, NotRunError, OutcomeUnknownError, TargetError

from azurecleat_cluster._internal.exceptions import ConnectionChangedError, TargetReplacedError
from azurecleat_cluster._internal.owner.authority import MAX_CLOCK_STRETCH, Authority
from azurecleat_cluster._internal.owner.command_threads import CommandLane, CommandThreads
from azurecleat_cluster._internal.owner.model import UNKNOWN_THROTTLE_PERCENT, Run, TargetInfo
from azurecleat_cluster._internal.owner.poll_schedule import PollPace, PollSchedule
from azurecleat_cluster._internal.owner.start_attempts import StartAttempts, StartOutcome
from azurecleat_cluster._internal.ports import StartCommand, TargetClient
from azurecleat_cluster._internal.values import TargetReport

ISOLATION_POLL_WAIT_S = 0.1
"""Wait of a poll while one run keeps all others away until a report shows that it survived its
start."""

POLL_MARGIN_S = 0.25
"""Added to a poll's own wait for its timeout: 100 times the round trip to any target."""

COMMAND_TIMEOUT_S = 0.3
"""Timeout of a command. Commands are retried unchanged, because a target treats a start or a stop
that it has already seen as the same command."""

START_ATTEMPTS = 3
"""How often a start is sent before the run is given up and stopped."""

MAX_START_WAIT_S = 1.0
"""Wait of a start behind commands without an answer after which it is given up, so that its task
can start elsewhere. The commands in flight take 0.9 s more at most."""

LOSSY_PERIOD_S = 8.0
"""How long after a lost answer polls wait only for a short time."""

MAX_SAMPLE_AGE_S = 2.5
"""Age of a target's clock up to which it is assumed to be exact: the longest poll, and a margin."""

UNRESPONSIVE_POLLS = 2
"""Consecutive polls without an answer after which a target counts as unresponsive."""

RETRY_PAUSE_S = 0.25
"""Pause after a failed call to a target."""

PAUSE_CHECK_S = 0.5
"""How often a pause between polls checks whether the log still proves ownership."""

COMMIT_WAIT_S = 0.5
"""How long the next poll waits for the run ends of the last report to be committed to the log."""

COMMAND_THREADS = 3
"""Commands in flight to one target: one that gets no answer does not block the others. As many
stops that got no answer are in flight beside them, so that starts never wait for those."""


class SessionObserver(Protocol):
    """Receives the reports and failures of a session; called from the session's threads."""

    def on_report(self, session: TargetSession, report: TargetReport, sent_at: float) -> None: ...

    def on_poll_failed(self, session: TargetSession) -> None: ...

    def on_unresponsive(self, session: TargetSession, error: TargetError) -> None: ...

    def on_replaced(self, session: TargetSession, reason: str) -> None: ...

    def on_fenced(self, session: TargetSession, epoch: int) -> None: ...

    def may_start(self, run: Run) -> bool: ...

    def on_start_unanswered(self, run: Run, attempt: int, error: TargetError) -> None: ...

    def on_start(self, run: Run, outcome: StartOutcome) -> None: ...

    def on_start_failed(self, run: Run, error: TargetError, may_run: bool) -> None: ...

    def on_stop(self, run: Run) -> None: ...


class TargetClock:
    """Estimates a target's clock from its answers. The estimate is never ahead of the clock.

    A target's clock may be slow. The margin of a lease covers that for ``MAX_SAMPLE_AGE_S``.
    """

    def __init__(self) -> None:
        self._sample: tuple[float, float] | None = None

    def note(self, clock_ms: float, received_at: float) -> None:
        self._sample = (clock_ms, received_at)

    def until_ms(self, now: float, lease_s: float) -> int | None:
        """Returns the target's clock ``lease_s`` seconds from now; None if it is unknown.

        :param now: This instance's monotonic clock.
        """
        if self._sample is None:
            return None
        clock_ms, received_at = self._sample
        age_s = now - received_at
        slow_s = max(0.0, age_s - MAX_SAMPLE_AGE_S) * (1.0 - 1.0 / MAX_CLOCK_STRETCH)
        return math.floor(clock_ms + (age_s - slow_s + lease_s) * 1000.0)


class LossTracker:
    """Records, for all sessions of a term, when an answer was last lost."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lost_at = float("-inf")

    @property
    def has_recent(self) -> bool:
        return self._clock.monotonic() - self._lost_at < LOSSY_PERIOD_S

    def note(self) -> None:
        self._lost_at = self._clock.monotonic()


class TargetSession:
    """Renews a target's lease and sends it commands while the owner may act.

    :param threads: The threads that send commands; by default threads of this session only.
    :param schedule: The pace of the polls to all targets; by default that of few targets.
    """

    def __init__(
        self,
        target: TargetInfo,
        client: TargetClient,
        authority: Authority,
        observer: SessionObserver,
        losses: LossTracker,
        clock: Clock,
        threads: CommandThreads | None = None,
        schedule: PollSchedule | None = None,
    ) -> None:
        self.target = target
        self._client = client
        self._authority = authority
        self._observer = observer
        self._losses = losses
        self._schedule = schedule or PollSchedule()
        self._is_pausing = False
        self._is_proof_due = False
        """Whether the next poll has to be answered at once, as the log gives no proof."""
        self._clock = clock
        self._target_clock = TargetClock()
        self._changed = threading.Condition()
        self._stopping = False
        self._acknowledged = 0
        self._processed = 0
        self._failures = 0
        self._is_same_incarnation = False
        """Whether the last poll was answered, so that its connection leads to the same target
        incarnation."""
        self._is_reconnecting = False
        """Whether a connection was lost and no poll on a kept connection has succeeded since."""
        self._lease_renewed_at = float("-inf")
        self._unanswered_at = float("-inf")
        """When a command in the lane of the starts last got no answer."""
        threads = threads or CommandThreads()
        self._commands = CommandLane(threads, COMMAND_THREADS)
        self._stop_retries = CommandLane(threads, COMMAND_THREADS)
        self._thread = threading.Thread(target=self._run, name=f"hold-{target.id}", daemon=True)

    @property
    def lease_end(self) -> float:
        """When every lease known to be given to the target is over, on the monotonic clock."""
        return self._authority.lease_end(self._lease_renewed_at)

    @property
    def processed(self) -> int:
        """Number of the last run end that was processed."""
        return self._processed

    @processed.setter
    def processed(self, number: int) -> None:
        self._processed = number

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        """Stops polling and sending commands; commands in flight finish."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._commands.close()
        self._stop_retries.close()

    def join(self) -> None:
        """Waits for the commands in flight, and closes the client.

        A poll in flight need not be awaited, as its answer has no effect any more.
        """
        self._commands.join()
        self._stop_retries.join()
        self._client.close()

    def inherit_lease(self, reached_at: float) -> None:
        """Accounts for leases that the previous owner may have given until the target was reached.

        :param reached_at: When the target first answered under this epoch.
        """
        self._lease_renewed_at = max(self._lease_renewed_at, reached_at)

    def assume_max_lease(self) -> None:
        """Accounts for commands that reached the target with another incarnation's clock.

        Lease ends computed on that clock may give the target the longest lease that it grants.
        """
        assumed_at = self._clock.monotonic() + self._authority.extra_lease_s
        self._lease_renewed_at = max(self._lease_renewed_at, assumed_at)

    def acknowledge(self, number: int) -> None:
        """Lets the target discard run ends up to a number: they are committed to the log."""
        with self._changed:
            self._acknowledged = max(self._acknowledged, number)
            self._changed.notify_all()

    def submit_start(self, run: Run, payload: str, ticket: str) -> None:
        queued_at = self._clock.monotonic()
        self._commands.submit(partial(self._start_run, run, payload, ticket, queued_at))
        self.poll_now()

    def submit_stop(self, run: Run) -> None:
        self._commands.submit(partial(self._stop_run, run))

    def poll_now(self) -> None:
        """Ends the pause before the next poll."""
        if self._is_pausing:
            with self._changed:
                self._is_pausing = False
                self._changed.notify_all()

    def submit_throttle(self, run: Run, percent: int) -> None:
        self._commands.submit(partial(self._throttle_run, run, percent))

    def _run(self) -> None:
        while not self._stopping:
            try:
                if not self._authority.may_act():
                    self._pause(RETRY_PAUSE_S)
                    continue
                is_quiet = self._poll()
                self._failures = 0
                if is_quiet:
                    self._pause_polls(self._pace().pause_s)
            except ConnectionChangedError:
                # The next poll renews and acknowledges nothing. The pause limits the rate of polls
                # to a target that closes every connection.
                if self._is_reconnecting:
                    self._pause(RETRY_PAUSE_S)
                self._is_reconnecting = True
            except FencedError as error:
                self._observer.on_fenced(self, error.epoch)
                self._pause(RETRY_PAUSE_S)
            except TargetReplacedError as error:
                self._observer.on_replaced(self, str(error))
                return
            except TargetError as error:
                self._handle_poll_failure(error)
            except Exception as error:  # An unexpected answer must not end polling.
                self._handle_poll_failure(
                    TargetError(repr(error), step="hold", peer=self.target.id)
                )

    def _handle_poll_failure(self, error: TargetError) -> None:
        self._failures += 1
        self._losses.note()
        self._observer.on_poll_failed(self)
        if self._failures >= UNRESPONSIVE_POLLS:
            self._observer.on_unresponsive(self, error)
            self._pause(RETRY_PAUSE_S)

    def _poll(self) -> bool:
        """Polls once; returns whether the target has nothing new to report or to be told."""
        sent_at = self._clock.monotonic()
        # On a new connection another incarnation of the target may answer. The first poll on it
        # therefore only reads the clock and the runs: an acknowledgement could make the new
        # incarnation discard ends that nobody has seen, and a lease would be computed with the
        # clock of the old one.
        is_same_incarnation, self._is_same_incarnation = self._is_same_incarnation, False
        until_ms = self._renew_lease(sent_at) if is_same_incarnation else None
        acknowledged = self._acknowledged if is_same_incarnation else 0
        is_committed = until_ms is not None and self._acknowledged >= self._processed
        wait_s = self._pace().wait_s if is_committed and not self._is_proof_due else 0.0
        self._is_proof_due = False
        report = self._client.poll(
            self._authority.epoch,
            acknowledged,
            until_ms,
            wait_s,
            wait_s + POLL_MARGIN_S,
            is_same_incarnation,
        )
        self._is_same_incarnation = True
        self._is_reconnecting = self._is_reconnecting and not is_same_incarnation
        self._target_clock.note(report.clock_ms, self._clock.monotonic())
        self._observer.on_report(self, report, sent_at)
        self._wait_for_commit()
        return is_committed and not report.ended

    def _pace(self) -> PollPace:
        if self.target.is_isolated:
            return PollPace(ISOLATION_POLL_WAIT_S)
        return self._schedule.pace(
            bool(self.target.runs), self._losses.has_recent, self._authority.is_log_silent()
        )

    def _pause_polls(self, seconds: float) -> None:
        """Waits before the next poll, until the target has a run or the log is silent."""
        if seconds <= 0:
            return
        deadline = self._clock.monotonic() + seconds
        with self._changed:
            self._is_pausing = True
            while self._is_pausing and not self._stopping and not self.target.runs:
                left_s = deadline - self._clock.monotonic()
                self._is_proof_due = self._authority.is_log_silent()
                if left_s <= 0 or self._is_proof_due:
                    break
                self._changed.wait(min(left_s, PAUSE_CHECK_S))
            self._is_pausing = False

    def _wait_for_commit(self) -> None:
        """Waits for the processed ends to be committed; the timeout lets the lease be renewed."""
        deadline = self._clock.monotonic() + COMMIT_WAIT_S
        with self._changed:
            while self._acknowledged < self._processed and not self._stopping:
                left_s = deadline - self._clock.monotonic()
                if left_s <= 0:
                    return
                self._changed.wait(left_s)

    def _renew_lease(self, now: float) -> int | None:
        """Notes a renewal and returns the new lease end; does neither without the target's clock.

        :returns: The lease end on the target's clock; None if that clock is unknown.
        """
        until_ms = self._target_clock.until_ms(now, self._authority.lease_s)
        if until_ms is not None:
            self._lease_renewed_at = max(self._lease_renewed_at, now)
        return until_ms

    def _start_run(self, run: Run, payload: str, ticket: str, queued_at: float) -> None:
        now = self._clock.monotonic()
        obstacle, until_ms = "", None
        if not self._authority.may_act() or self._stopping:
            obstacle = "the owner may not act"
        elif self._unanswered_at >= queued_at and now - queued_at > MAX_START_WAIT_S:
            obstacle = "the commands before it got no answer"
        elif (until_ms := self._renew_lease(now)) is None:
            obstacle = "the target's clock is unknown"
        if until_ms is None:
            error = NotRunError(obstacle, step="run.start", peer=self.target.id)
            self._observer.on_start_failed(run, error, may_run=False)
            return
        run.valid_until = self._authority.lease_end(now)
        # Checked after the renewal: the run can't be released any more as one of an ended lease.
        if not self._observer.may_start(run):
            return
        command = StartCommand(
            run.task,
            run.number,
            payload,
            until_ms,
            self._authority.epoch,
            run.checkpoint,
            ticket,
        )
        try:
            outcome = self._send_start(run, command)
        except FencedError as error:
            # The run stays allocated: its task must not become free while this term may still act.
            self._observer.on_fenced(self, error.epoch)
        except TargetReplacedError as error:
            self._observer.on_start_failed(run, error, may_run=False)
            self._observer.on_replaced(self, str(error))
        except OutcomeUnknownError as error:
            self._observer.on_start_failed(run, error, may_run=True)
        except TargetError as error:
            self._observer.on_start_failed(run, error, may_run=False)
        except Exception as error:  # A run without an outcome would stay allocated for good.
            failure = OutcomeUnknownError(repr(error), step="run.start", peer=self.target.id)
            self._observer.on_start_failed(run, failure, may_run=True)
        else:
            if outcome.result.clock_ms:
                self._target_clock.note(outcome.result.clock_ms, self._clock.monotonic())
            self._observer.on_start(run, outcome)

    def _send_start(self, run: Run, command: StartCommand) -> StartOutcome:
        """Sends a start, and sends it again while no answer comes.

        :raises FencedError: The target is controlled by a newer owner.
        :raises NotRunError: The run was not started.
        :raises OutcomeUnknownError: The run may have been started.
        """
        attempts = StartAttempts()
        for number in range(1, START_ATTEMPTS + 1):
            if not self._authority.may_act():
                break
            try:
                result = self._client.start(command, COMMAND_TIMEOUT_S)
            except OutcomeUnknownError as error:
                self._unanswered_at = self._clock.monotonic()
                attempts.note_unanswered(error)
                self._losses.note()
                self._observer.on_start_unanswered(run, number, error)
            except FencedError:
                raise
            except NotRunError:
                self._unanswered_at = self._clock.monotonic()
                if attempts.unanswered is None:
                    raise
            else:
                return attempts.outcome_of(result)
        raise attempts.unanswered or NotRunError(
            "the owner may not act", step="run.start", peer=self.target.id
        )

    def _stop_run(self, run: Run) -> None:
        """Sends a stop, and sends it again behind other such stops until it is answered.

        A start that got no answer may reach the target after an unanswered stop.
        """
        if not self._send_stop(run):
            self._unanswered_at = self._clock.monotonic()
            self._stop_retries.submit(partial(self._retry_stop, run, self._unanswered_at))

    def _retry_stop(self, run: Run, failed_at: float) -> None:
        pause_s = failed_at + RETRY_PAUSE_S - self._clock.monotonic()
        if pause_s > 0:
            self._pause(pause_s)
        if not self._send_stop(run):
            failed_at = self._clock.monotonic()
            self._stop_retries.submit(partial(self._retry_stop, run, failed_at))

    def _send_stop(self, run: Run) -> bool:
        """Sends a stop once; returns whether it needs no further attempt."""
        if self._stopping or run.key not in self.target.runs:
            return True
        if not self._authority.may_act():
            return False
        try:
            self._client.stop(run.task, run.number, self._authority.epoch, COMMAND_TIMEOUT_S)
            self._observer.on_stop(run)
        except FencedError as error:
            self._observer.on_fenced(self, error.epoch)
        except TargetReplacedError as error:
            self._observer.on_replaced(self, str(error))
        except Exception:  # The polls detect a target that does not answer at all.
            return False
        return True

    def _throttle_run(self, run: Run, percent: int) -> None:
        if not self._authority.may_act():
            return
        try:
            self._client.throttle(
                run.task, run.number, percent, self._authority.epoch, COMMAND_TIMEOUT_S
            )
        except FencedError as error:
            self._observer.on_fenced(self, error.epoch)
        except TargetError:
            # The next evaluation of the target sends the percentage again.
            run.throttle_percent = UNKNOWN_THROTTLE_PERCENT

    def _pause(self, seconds: float) -> None:
        with self._changed:
            if not self._stopping:
                self._changed.wait(seconds)
