"""Handles callers' requests: submissions, cancellations, job states and counts of pending jobs."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from azurecleat_base import Clock
from azurecleat_base.exceptions import LogError, LogUnavailableError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.features import NO_FEATURES, Features
from azurecleat_cluster._internal.front.admission_check import AdmissionCheck
from azurecleat_cluster._internal.front.answers import (
    Accepted,
    Answer,
    Invalid,
    NoJob,
    NoQueue,
    PendingOf,
    Refused,
    StateOf,
    Unauthorized,
    Undecided,
)
from azurecleat_cluster._internal.front.append_outcome import AppendOutcome
from azurecleat_cluster._internal.front.job_limits import find_excess
from azurecleat_cluster._internal.front.relay import Relay, RelayedValue
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.appender import GroupAppender
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster._internal.values import JobSpec, JobState, Queue, Team

RETRY_AFTER_S = 1.0
"""Retry hint sent with refusals: reaching another instance, or the log's return, takes about a
second."""

MIN_APPEND_S = 0.2
"""An append is not attempted with less than this left of the caller's time."""

BATCHER_CHECK_S = 0.5
"""Interval, about twenty typical appends, at which a handler that waits for the batching instance
checks whether the log is slow or only the batching instance cannot reach it."""

FAST_READ_S = 0.1
"""A read that takes less than this, about ten typical reads, shows that the log is not slow."""

LOG_LOST_BATCHER_WAIT_S = 0.3
"""Time given to the batching instance while this instance cannot reach the log either. It is short
because the caller does better to retry at another instance."""

LOG_LOST_CHECK_S = 0.1
"""Interval at which a waiting append checks whether this instance can still reach the log."""

ANSWER_MARGIN_S = 0.1
"""Time reserved for the answer to reach the caller before its deadline."""

MAX_JOBS_AGE_S = 2.5
"""Age of the job replica beyond which this instance neither reports a job as unknown nor counts
pending jobs. It is below the time after which every instance must know an accepted job."""


def _progress_of(state: JobState) -> int:
    """Returns the rank of a state; a job never goes to a state of a lower rank."""
    if state.is_final:
        return 2
    return int(state is JobState.RUNNING)


class FrontLimits(NamedTuple):
    """Limits on the age of the configuration that requests are checked against.

    :param max_age_to_admit_s: Maximum age at which a known key is accepted.
    :param max_age_to_deny_s: Maximum age at which an unknown key or queue is denied. With an older
        configuration the caller is asked to retry.
    :param balancer_removal_s: Time after which the balancer sends no new connections to an instance
        that is not ready.
    """

    max_age_to_admit_s: float
    max_age_to_deny_s: float
    balancer_removal_s: float = math.inf


class Caller(NamedTuple):
    """Host, path and API key of a request, and its deadline on this instance's monotonic clock."""

    host: str
    path: str
    key: str
    deadline: float


class Admitted(NamedTuple):
    """A request that the configuration allows.

    ``path_suffix`` is what follows the queue's prefix in the path: a job id, or nothing.
    """

    queue: Queue
    team: Team | None
    path_suffix: str


class OwnerClient:
    """Requests to other instances. This base class reaches none.

    Job states and counts come from the owner, which knows of changes first.
    """

    def state(self, job: str) -> JobState | None:
        """Returns a job's state, or None if the owner gave no answer or does not know the job."""
        return None

    def pending(self, queue: str) -> int | None:
        """Returns how many jobs of a queue have not begun, or None if the owner gave no answer."""
        return None

    def append(
        self, key: str, value: bytes, timeout_s: float, should_give_up: Callable[[], bool]
    ) -> AppendOutcome:
        """Appends a record through the instance that batches appends for all instances.

        :param timeout_s: Time limit for the whole call.
        :param should_give_up: Polled while the record is queued; True ends the wait.
        """
        return AppendOutcome.NOT_SENT


class BatcherTimeout:
    """Decides when to stop waiting for an append by the batching instance."""

    def __init__(self, config_follower: Follower, jobs_follower: Follower, clock: Clock) -> None:
        self._config_follower = config_follower
        self._jobs_follower = jobs_follower
        self._clock = clock
        self._since = clock.monotonic()
        self._next_check_at = self._since + BATCHER_CHECK_S

    def has_expired(self) -> bool:
        """Whether to stop waiting.

        True if the log is fast, so that a local append is quicker, or if this instance cannot reach
        the log and has waited ``LOG_LOST_BATCHER_WAIT_S``. To measure the log, this method polls
        the jobs stream every ``BATCHER_CHECK_S`` seconds, except while the stream is being loaded.
        """
        now = self._clock.monotonic()
        if self._config_follower.is_log_lost:
            return now - self._since > LOG_LOST_BATCHER_WAIT_S
        if now < self._next_check_at or self._jobs_follower.is_loading:
            return False
        self._next_check_at = now + BATCHER_CHECK_S
        try:
            self._jobs_follower.poll()
        except LogError:
            return False
        # If the log is slow, a second append would be just as slow and add to the log's load.
        return self._clock.monotonic() - now < FAST_READ_S


class RequestHandler:
    """Handles the requests that callers send to this instance."""

    def __init__(
        self,
        configuration: ConfigurationView,
        config_follower: Follower,
        jobs: JobReplica,
        jobs_follower: Follower,
        appender: GroupAppender,
        owner: OwnerClient,
        limits: FrontLimits,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        relay: Relay | None = None,
        features: Features = NO_FEATURES,
    ) -> None:
        self._admission = (
            AdmissionCheck(config_follower, jobs, jobs_follower, clock, events)
            if features.admission
            else None
        )
        self._configuration = configuration
        self._config_follower = config_follower
        self._jobs = jobs
        self._jobs_follower = jobs_follower
        self._appender = appender
        self._owner = owner
        self._limits = limits
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._relay = relay or Relay(config_follower)

    def apply_limits(self, limits: FrontLimits) -> None:
        """Replaces the limits for all later requests."""
        self._limits = limits

    def admit(self, caller: Caller) -> Admitted | Answer:
        """Checks queue and key. Refuses a request if the configuration is too old to decide on."""
        age_s = self._relay.age()
        if self._configuration.current is None:
            return self._refuse("no configuration yet")
        queue = self._configuration.queue_for(caller.host, caller.path)
        if queue is None:
            if age_s > self._limits.max_age_to_deny_s:
                return self._refuse("configuration out of date")
            return NoQueue()
        team = self._configuration.team_of_key(caller.key) if caller.key else None
        if not queue.is_open:
            if age_s > self._limits.max_age_to_admit_s:
                return self._refuse("configuration out of date")
            if team is None:
                if age_s > self._limits.max_age_to_deny_s:
                    return self._refuse("configuration out of date")
                return Unauthorized()
        return Admitted(queue, team, caller.path[len(queue.prefix) :])

    def submit(self, admitted: Admitted, job: str, spec: JobSpec, caller: Caller) -> Answer:
        """Accepts a job once it is in the log. Repeating a submission has no further effect."""
        started_at = self._clock.monotonic()
        config, age_s = self._configuration.version, self._relay.age()
        excess = find_excess(spec)
        if self._jobs.knows(job):
            answer: Answer = Accepted()
        elif excess:
            answer = Invalid(excess)
        elif self._admission is None:
            answer = self._append_submission(admitted, job, spec, caller)
        else:
            answer = self._admission.submit(
                admitted.queue,
                admitted.team.name if admitted.team else "",
                job,
                spec,
                caller.deadline,
                lambda: self._append_submission(admitted, job, spec, caller),
            )
        took_s = round(self._clock.monotonic() - started_at, 4)
        if isinstance(answer, Accepted):
            self._metrics.accept_s.observe(took_s)
            self._events.write(
                eventlog.JOB_ACCEPTED,
                job=job,
                queue=admitted.queue.name,
                team=admitted.team.name if admitted.team else "",
                tasks=sum(step.count for step in spec.steps),
                config=config,
                age_s=round(age_s, 3),
                took_s=took_s,
            )
        return answer

    def _append_submission(
        self, admitted: Admitted, job: str, spec: JobSpec, caller: Caller
    ) -> Answer:
        team = admitted.team.name if admitted.team else ""
        value = records.encode_submission(records.Submission(job, team, admitted.queue, spec))
        is_recorded: Callable[[], bool] = partial(self._jobs.knows, job)
        return self._append(records.SUBMISSION + job, value, caller.deadline, is_recorded)

    def log_answer(self, call: str, caller: Caller, answer: Answer) -> None:
        """Logs a cancellation or a denied request, with the ages of the data it was decided on."""
        job = caller.path.rpartition("/")[2]
        match answer:
            case StateOf() | PendingOf():
                return
            case Accepted() if call == "cancel":
                self._events.write(
                    eventlog.JOB_CANCELLED, job=job, config=self._configuration_version()
                )
                return
            case Accepted():
                return
            case Refused(reason=reason) | Undecided(reason=reason) | Invalid(reason=reason):
                pass
            case _:
                reason = ""
        self._events.write(
            eventlog.JOB_REFUSED,
            job=job,
            call=call,
            outcome=type(answer).__name__,
            reason=reason,
            config=self._configuration_version(),
            age_s=round(self._relay.age(), 3),
            jobs_age_s=round(self._jobs_follower.age(), 3),
        )

    def _configuration_version(self) -> int:
        return self._configuration.version

    def cancel(self, job: str, caller: Caller) -> Answer:
        """Appends the cancellation of a known job to the log."""
        if not self._is_known(job) and not self._is_known_elsewhere(job):
            return self._no_job()
        if self._jobs.is_cancelled(job):
            return Accepted()
        is_recorded: Callable[[], bool] = partial(self._jobs.is_cancelled, job)
        return self._append(records.CANCELLATION + job, b"1", caller.deadline, is_recorded)

    def state(self, job: str) -> Answer:
        """Returns a job's state. A state that may still change is requested from the owner."""
        state = self._jobs.state(job)
        if state is None or not state.is_final:
            state = None if self._is_cut_off() else self._owner.state(job)
            if state is None and (relayed := self._relay.state(job)) is not None:
                return self._relayed_state(job, relayed)
            state = state or self._jobs.state(job)
        if state is None and self._is_known(job):
            state = self._jobs.state(job)
        return self._no_job() if state is None else StateOf(state)

    def _relayed_state(self, job: str, relayed: RelayedValue) -> Answer:
        """Returns the later one of a peer's and of the own state; the peer's replica is fresh."""
        states = [state for state in (self._jobs.state(job), relayed.value) if state is not None]
        return StateOf(max(states, key=_progress_of)) if states else NoJob()

    def pending(self, queue: Queue) -> Answer:
        """Returns how many jobs of a queue have not begun, preferably as the owner counts them."""
        count = None if self._is_cut_off() else self._owner.pending(queue.name)
        if count is None:
            if self._jobs_follower.age() <= MAX_JOBS_AGE_S:
                count = self._jobs.pending(queue.name)
            elif (count := self._relay.pending(queue.name)) is None:
                return self._refuse("jobs out of date")
        return PendingOf(count)

    def _is_cut_off(self) -> bool:
        """Whether a request to another instance would only delay the answer to the caller."""
        is_alone = self._relay.is_isolated or self._relay.is_removed_by_balancer
        return is_alone and self._relay.is_log_lost

    def _refuse(self, reason: str) -> Refused:
        """Refuses a request, with a retry hint that depends on what has failed."""
        if self._relay.is_isolated or self._relay.is_removed_by_balancer:
            return Refused(reason, 0.0, is_local=True)
        return Refused(reason, RETRY_AFTER_S)

    def _is_known(self, job: str) -> bool:
        """Returns whether a job is known, after reading the log to its end if necessary.

        While the replica is being loaded this does not wait: the caller is refused sooner than the
        load ends. Nor does it wait for a lost log that peers replace.
        """
        is_unreadable = self._jobs_follower.is_loading or self._relay.is_log_lost
        if not self._jobs.knows(job) and not is_unreadable:
            try:
                self._jobs_follower.catch_up()
            except LogError:
                pass  # _no_job() checks the age of the replica before it denies the job.
        return self._jobs.knows(job)

    def _is_known_elsewhere(self, job: str) -> bool:
        """Whether a peer's fresh replica knows a job, while this instance cannot read the log."""
        relayed = self._relay.state(job)
        return relayed is not None and relayed.value is not None

    def _no_job(self) -> Answer:
        if self._jobs_follower.age() > MAX_JOBS_AGE_S:
            return self._refuse("jobs out of date")
        return NoJob()

    def _append(
        self, key: str, value: bytes, deadline: float, is_recorded: Callable[[], bool]
    ) -> Answer:
        """Appends a record through the batching instance or, if that fails, from this instance.

        :param is_recorded: Whether the replica shows the record's effect.
        :returns: ``Accepted`` if the record is in the log, ``Refused`` if it never will be and
            ``Undecided`` if neither is certain.
        """
        left_s = deadline - self._clock.monotonic()
        if left_s < MIN_APPEND_S:
            return self._refuse("too little time left")
        if self._is_cut_off():
            return self._refuse("log unavailable: it took nothing")
        # One instance batches the appends of all instances, because a slow log completes few calls.
        # The batching instance may also reach the log when this instance cannot.
        batcher_timeout = BatcherTimeout(self._config_follower, self._jobs_follower, self._clock)
        forwarded = self._owner.append(
            key, value, left_s - ANSWER_MARGIN_S, batcher_timeout.has_expired
        )
        if forwarded is AppendOutcome.DONE or is_recorded():
            return Accepted()
        left_s = deadline - self._clock.monotonic()
        outcome = AppendOutcome.NOT_SENT
        if left_s >= MIN_APPEND_S and not self._config_follower.is_log_lost:
            # A single attempt with all the remaining time: a retry would be one more record for a
            # slow log to append.
            outcome = self._append_here(key, value, deadline - ANSWER_MARGIN_S)
        if outcome is AppendOutcome.DONE or is_recorded():
            return Accepted()
        if outcome is AppendOutcome.NOT_SENT is forwarded:
            outcome = self._append_through_peer(key, value, deadline)
        if outcome is AppendOutcome.DONE or is_recorded():
            return Accepted()
        if outcome is AppendOutcome.NOT_SENT is forwarded:
            return self._refuse("log unavailable: it took nothing")
        return Undecided("the log gave no answer in time")

    def _append_through_peer(self, key: str, value: bytes, deadline: float) -> AppendOutcome:
        """Appends a record that was certainly not sent so far through one more instance."""
        left_s = deadline - ANSWER_MARGIN_S - self._clock.monotonic()
        return self._relay.append(key, value, left_s)

    def _append_here(self, key: str, value: bytes, deadline: float) -> AppendOutcome:
        """Appends a record from this instance, until the deadline or until the log is lost."""
        left_s = deadline - self._clock.monotonic()
        append = self._appender.submit(key, value, left_s)
        while (
            left_s := deadline - self._clock.monotonic()
        ) > 0 and not self._config_follower.is_log_lost:
            try:
                append.result(min(left_s, LOG_LOST_CHECK_S))
                return AppendOutcome.DONE
            except TimeoutError:
                continue
            except LogUnavailableError:
                return AppendOutcome.NOT_SENT
            except LogError:
                break
        self._metrics.retries.labels("append_unknown").inc()
        return AppendOutcome.UNKNOWN
