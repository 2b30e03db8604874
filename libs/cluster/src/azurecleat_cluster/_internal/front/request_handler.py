"""Decides on callers' requests: submissions, cancellations, states and counts."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import NamedTuple

from azurecleat_base import Clock
from azurecleat_base.exceptions import LogError, LogUnavailableError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.eventlog import EventLog
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
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.appender import GroupAppender
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster._internal.values import JobSpec, JobState, Queue, Team

RETRY_AFTER_S = 1.0
"""Hint with refusals: another instance or the log's return is a matter of a second."""

MIN_APPEND_S = 0.2
"""No append is tried with less time than this left."""

BATCHER_CHECK_S = 0.5
"""How long a gathering instance may take for an append before a front looks whether the log is slow
or that instance has lost its way to it: twenty usual appends."""

FAST_READ_S = 0.1
"""Time for a read below which the log is not slow: ten usual ones."""

LOG_LOST_BATCHER_WAIT_S = 0.3
"""The same time while the log does not answer here: a caller had better ask elsewhere."""

LOG_LOST_CHECK_S = 0.1

ANSWER_MARGIN_S = 0.1
"""Time kept for the answer to reach the caller."""

MAX_JOBS_AGE_S = 2.5
"""Age of the view of jobs beyond which a job is not called unknown: under the visibility bound."""


class FrontLimits(NamedTuple):
    """Bounds on what a front may answer from its own view.

    ``keyed_age_s`` is the age of the configuration up to which keys are accepted;
    ``denial_age_s`` the age up to which an unknown key or queue is denied.
    """

    max_age_to_admit_s: float
    max_age_to_deny_s: float


class Caller(NamedTuple):
    """Who calls, and until when they wait (on the instance's own clock)."""

    host: str
    path: str
    key: str
    deadline: float


class Admitted(NamedTuple):
    """A call that the configuration allows."""

    queue: Queue
    team: Team | None
    path_suffix: str


class AppendOutcome(Enum):
    """What became of a record that the owner was asked to append."""

    DONE = "done"
    QUEUED = "queued"
    """It is on its way to the log, behind others."""
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


class OwnerClient:
    """Questions that the owner answers best; each returns None if it cannot be asked."""

    def state(self, job: str) -> JobState | None:
        return None

    def pending(self, queue: str) -> int | None:
        return None

    def append(
        self, key: str, value: bytes, timeout_s: float, should_give_up: Callable[[], bool]
    ) -> AppendOutcome:
        """Lets one instance append a record for all; ``timeout_s`` bounds all of it.

        :param give_up: Tells that waiting on is of no use.
        """
        return AppendOutcome.NOT_SENT


class BatcherTimeout:
    """Tells when to wait no longer for an append by a gathering instance."""

    def __init__(self, config_follower: Follower, jobs_follower: Follower, clock: Clock) -> None:
        self._config_follower = config_follower
        self._jobs_follower = jobs_follower
        self._clock = clock
        self._since = clock.monotonic()
        self._next_check_at = self._since + BATCHER_CHECK_S

    def has_expired(self) -> bool:
        """Whether the gathering instance takes longer than an append from here would."""
        now = self._clock.monotonic()
        if self._config_follower.is_log_lost:
            return now - self._since > LOG_LOST_BATCHER_WAIT_S
        if now < self._next_check_at:
            return False
        self._next_check_at = now + BATCHER_CHECK_S
        try:
            self._jobs_follower.poll()
        except LogError:
            return False
        # A slow log would take a second append as slowly, and both of them.
        return self._clock.monotonic() - now < FAST_READ_S


class RequestHandler:
    """Answers callers of one instance."""

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
    ) -> None:
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

    def apply_limits(self, limits: FrontLimits) -> None:
        """Puts other limits in force for calls from now on."""
        self._limits = limits

    def admit(self, caller: Caller) -> Admitted | Answer:
        """Checks queue and key against a configuration that is fresh enough."""
        age_s = self._config_follower.age()
        if self._configuration.current is None:
            return Refused("no configuration yet", RETRY_AFTER_S)
        queue = self._configuration.queue_for(caller.host, caller.path)
        if queue is None:
            if age_s > self._limits.max_age_to_deny_s:
                return Refused("configuration out of date", RETRY_AFTER_S)
            return NoQueue()
        team = self._configuration.team_of_key(caller.key) if caller.key else None
        if not queue.is_open:
            if age_s > self._limits.max_age_to_admit_s:
                return Refused("configuration out of date", RETRY_AFTER_S)
            if team is None:
                if age_s > self._limits.max_age_to_deny_s:
                    return Refused("configuration out of date", RETRY_AFTER_S)
                return Unauthorized()
        return Admitted(queue, team, caller.path[len(queue.prefix) :])

    def submit(self, admitted: Admitted, job: str, spec: JobSpec, caller: Caller) -> Answer:
        """Accepts a job once it is in the log; a repeat of an accepted one is the same job."""
        started_at = self._clock.monotonic()
        config, age_s = self._configuration.version, self._config_follower.age()
        if self._jobs.knows(job):
            answer: Answer = Accepted()
        else:
            team = admitted.team.name if admitted.team else ""
            value = records.encode_submission(records.Submission(job, team, admitted.queue, spec))
            is_recorded: Callable[[], bool] = partial(self._jobs.knows, job)
            answer = self._append(records.SUBMISSION + job, value, caller.deadline, is_recorded)
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

    def log_answer(self, call: str, caller: Caller, answer: Answer) -> None:
        """Logs what a caller was denied, with the inputs that decided it, and cancellations."""
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
            age_s=round(self._config_follower.age(), 3),
            jobs_age_s=round(self._jobs_follower.age(), 3),
        )

    def _configuration_version(self) -> int:
        return self._configuration.version

    def cancel(self, job: str, caller: Caller) -> Answer:
        """Records the cancellation of a known job."""
        if not self._is_known(job):
            return self._no_job()
        if self._jobs.is_cancelled(job):
            return Accepted()
        is_recorded: Callable[[], bool] = partial(self._jobs.is_cancelled, job)
        return self._append(records.CANCELLATION + job, b"1", caller.deadline, is_recorded)

    def state(self, job: str) -> Answer:
        """Returns a job's state, from the owner where it may have changed meanwhile."""
        state = self._jobs.state(job)
        if state is None or not state.is_final:
            state = self._owner.state(job) or self._jobs.state(job)
        if state is None and self._is_known(job):
            state = self._jobs.state(job)
        return self._no_job() if state is None else StateOf(state)

    def pending(self, queue: Queue) -> Answer:
        """Returns how many jobs of a queue have not begun."""
        count = self._owner.pending(queue.name)
        if count is None:
            if self._jobs_follower.age() > MAX_JOBS_AGE_S:
                return Refused("jobs out of date", RETRY_AFTER_S)
            count = self._jobs.pending(queue.name)
        return PendingOf(count)

    def _is_known(self, job: str) -> bool:
        """Tells whether a job is known, after reading the log to its end if need be."""
        if not self._jobs.knows(job):
            try:
                self._jobs_follower.catch_up()
            except LogError:
                pass  # The age of the view decides what may be said.
        return self._jobs.knows(job)

    def _no_job(self) -> Answer:
        if self._jobs_follower.age() > MAX_JOBS_AGE_S:
            return Refused("jobs out of date", RETRY_AFTER_S)
        return NoJob()

    def _append(
        self, key: str, value: bytes, deadline: float, is_recorded: Callable[[], bool]
    ) -> Answer:
        """Appends until it is sure that the record is in the log, or that it never will be."""
        left_s = deadline - self._clock.monotonic()
        if left_s < MIN_APPEND_S:
            return Refused("too little time left", RETRY_AFTER_S)
        # One instance gathers what comes in at all of them: a slow log takes few appends. It may
        # reach the log where this instance does not.
        batcher_timeout = BatcherTimeout(self._config_follower, self._jobs_follower, self._clock)
        forwarded = self._owner.append(
            key, value, left_s - ANSWER_MARGIN_S, batcher_timeout.has_expired
        )
        if forwarded is AppendOutcome.DONE or is_recorded():
            return Accepted()
        left_s = deadline - self._clock.monotonic()
        outcome = AppendOutcome.NOT_SENT
        if left_s >= MIN_APPEND_S and not self._config_follower.is_log_lost:
            # One try with all the time there is: a slow log would take a repeat as well.
            outcome = self._append_here(key, value, deadline - ANSWER_MARGIN_S)
        if outcome is AppendOutcome.DONE or is_recorded():
            return Accepted()
        if outcome is AppendOutcome.NOT_SENT is forwarded:
            return Refused("log unavailable: it took nothing", RETRY_AFTER_S)
        return Undecided("the log gave no answer in time")

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
