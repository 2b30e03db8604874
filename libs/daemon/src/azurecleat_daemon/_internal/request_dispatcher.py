"""Admission, fair scheduling and dispatch of a partition's requests to runners.

The outcome of a dispatch is *done* (the complete answer was received), *not run* (the request was
certainly not run) or *unknown* (at least one byte was sent and no complete answer was received). A
request that is not repeatable reserves its single run in the log before it is dispatched.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import NamedTuple

from azurecleat_coordination import (
    Appender,
    ApplyResult,
    Backoff,
    CircuitBreaker,
    ControlLease,
    RetryBudget,
)
from azurecleat_coordination.records import Intend, ReleaseIntent
from azurecleat_model import (
    Clock,
    Environment,
    ExecutionStatus,
    Job,
    JobKind,
    JobSpec,
    Quota,
    RequestSpec,
    Resources,
    TaskSize,
    Team,
)
from azurecleat_model.exceptions import LogError, NotRunError, OutcomeUnknownError
from azurecleat_platform import EndedTask, RunningTask
from azurecleat_policy import (
    AdoptedTask,
    Expire,
    LimitNeed,
    Scheduler,
    Start,
    TaskResult,
    TeamPolicy,
    WorkerPolicy,
)

from azurecleat_daemon._internal.metrics import Metrics
from azurecleat_daemon._internal.refusal import RefusalError, status_for
from azurecleat_daemon._internal.target_session import TargetSession

SLOT_SIZE = TaskSize(1, 1, 0)
NOMINAL_RUN_S = 1.0
INTENT_DEADLINE_S = 2.0
LATE_RELEASE_DEADLINE_S = 30.0
"""Time within which the release of a key that was reserved late is still appended."""

INTENT_RELEASE_WAIT_S = 0.3
"""Longest time by which a refusal waits for the release of its key.

It is shorter than the time after a deadline within which a forwarded refusal may still arrive.
"""

MAX_TRIES = 4
SERVICE_TIME_SMOOTHING = 0.1
"""Weight of a new service time in the exponential moving average."""


class _Grant(NamedTuple):
    """A runner's slot granted to a waiting request."""

    session: TargetSession


class _UnconfirmedRequest(NamedTuple):
    """A request that may still run: its answer was lost, or a previous owner dispatched it.

    It keeps its slot until the runner no longer reports it.
    """

    team: str
    unconfirmed_at: float


class RequestDispatcher:
    """Serves requests on the runners of a partition while this instance owns it.

    A runner's slots are scheduled like a worker's capacity, one unit per request, so that the
    scheduler applies the same fairness, limits, queue bounds and deadlines as to tasks.

    :param appender: Records intents to run requests that are not repeatable.
    :param lease: Checked immediately before each dispatch.
    :param sleep: Waits between tries.
    :param may_block: False if a single thread runs everything, so that no slot can become free
        while a request waits.
    """

    def __init__(
        self,
        partition: str,
        epoch: int,
        environment: Environment,
        appender: Appender,
        lease: ControlLease,
        clock: Clock,
        metrics: Metrics,
        backoff: Backoff,
        sleep: Callable[[float], None],
        may_block: bool,
        new_id: Callable[[], str],
        wake: Callable[[], None],
    ) -> None:
        self._partition = partition
        self._epoch = epoch
        self._appender = appender
        self._lease = lease
        self._clock = clock
        self._metrics = metrics
        self._backoff = backoff
        self._sleep = sleep
        self._may_block = may_block
        self._new_id = new_id
        self._wake = wake
        self._lock = threading.RLock()
        self._scheduler = Scheduler(environment.scheduling)
        self._sessions: dict[str, TargetSession] = {}
        self._breakers: dict[str, CircuitBreaker] = {}
        self._grants: dict[str, Future[_Grant]] = {}
        self._unconfirmed: dict[str, _UnconfirmedRequest] = {}
        self._last_running: dict[str, set[str]] = {}
        self._unused_intents: set[str] = set()
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._mean_service_s = 0.0
        self._in_progress = 0
        self._is_open = False
        self._idle = threading.Condition(self._lock)

    @property
    def scheduler(self) -> Scheduler:
        return self._scheduler

    @property
    def in_progress(self) -> int:
        return self._in_progress

    def open(self) -> None:
        """Starts serving requests."""
        with self._lock:
            self._is_open = True
            self._assign_slots()

    def close(self) -> None:
        """Refuses all waiting requests; dispatched ones run to their end."""
        with self._lock:
            self._is_open = False
            waiting, self._grants = self._grants, {}
        for future in waiting.values():
            _fail_future(
                future,
                self._refusal("not-owner", "the partition was handed over", 0.5),
            )

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Waits until no request is in progress here."""
        with self._idle:
            return self._idle.wait_for(lambda: self._in_progress == 0, timeout_s)

    def set_team(self, team: Team, allotted: Quota) -> None:
        """Sets a team's share and the limit allotted to this partition."""
        policy = TeamPolicy(
            team.name,
            team.share,
            Quota(tasks=allotted.requests),
            team.queue_limit,
            Quota(tasks=team.limit.requests),
        )
        with self._lock:
            self._scheduler.set_team(policy)
            self._assign_slots()

    def remove_teams_except(self, names: set[str]) -> None:
        """Removes the teams that are no longer in the configuration."""
        with self._lock:
            for name in sorted(set(self._scheduler.teams) - names):
                self._scheduler.remove_team(name)

    def team_usage(self, name: str) -> int:
        """Returns the requests of a team in progress here."""
        with self._lock:
            team = self._scheduler.teams.get(name)
            return team.used.tasks if team else 0

    def blocked_by_limit(self) -> dict[str, LimitNeed]:
        """Returns the teams whose limit blocks a request, and how many of their requests wait."""
        with self._lock:
            return self._scheduler.blocked_by_limit(self._clock.monotonic())

    def serve(self, spec: RequestSpec) -> bytes:
        """Serves one request and returns the runner's complete answer.

        Blocks the calling thread until the answer, the deadline or a refusal.

        :raises RefusalError: The request was not served; ``ran`` says whether it was run.
        """
        ends_at = self._clock.monotonic() + spec.deadline_s
        with self._lock:
            if not self._is_open:
                raise self._refusal("not-owner", "the partition is being taken over", 0.5)
            self._in_progress += 1
        try:
            if spec.repeatable:
                return self._serve_repeatable(spec, ends_at)
            return self._serve_non_repeatable(spec, ends_at)
        finally:
            with self._idle:
                self._in_progress -= 1
                self._idle.notify_all()

    # Reports of sessions.

    def on_granted(self, session: TargetSession) -> None:
        """Adds a runner that granted control to this owner."""
        with self._lock:
            target = session.target
            self._sessions[target.name] = session
            self._breakers.setdefault(target.name, CircuitBreaker(self._clock))
            capacity = Resources(target.slots, target.slots, 0)
            self._scheduler.add_worker(WorkerPolicy(target.name, target.rack, capacity))
            self._scheduler.set_draining(target.name, target.leaving)
            self._assign_slots()
        self._wake()

    def on_target_updated(self, session: TargetSession) -> None:
        """Drains a runner that the instance list shows as leaving."""
        with self._lock:
            if session.target.name in self._scheduler.workers:
                self._scheduler.set_draining(session.target.name, session.target.leaving)

    def on_running(
        self, session: TargetSession, running: tuple[RunningTask, ...], sent_at: float
    ) -> None:
        """Adopts requests of a previous owner, and frees slots whose request has ended."""
        names = {task.task for task in running}
        with self._lock:
            self._last_running[session.target.name] = names
            for request_id in sorted(names):
                self._adopt(request_id, session.target.name, sent_at)
            self._free_slots(session.target.name, sent_at)

    def on_unchanged(self, session: TargetSession, sent_at: float) -> None:
        """Frees slots whose request never reached the runner, which therefore shows no change."""
        with self._lock:
            self._free_slots(session.target.name, sent_at)

    def _free_slots(self, runner: str, sent_at: float) -> None:
        """Frees the slots of unconfirmed requests that a later report does not show."""
        names = self._last_running.get(runner, set())
        for request_id, unconfirmed in list(self._unconfirmed.items()):
            job = self._scheduler.jobs.get(request_id)
            is_on_runner = job is not None and any(
                self._scheduler.worker_name(task) == runner for task in job.running.values()
            )
            if is_on_runner and request_id not in names and sent_at > unconfirmed.unconfirmed_at:
                self._end(request_id, TaskResult.LOST)

    def on_ended(self, session: TargetSession, ended: tuple[EndedTask, ...]) -> None:
        """Does nothing: runners report no ended attempts."""

    def on_refused(self, session: TargetSession, tasks: tuple[str, ...]) -> None:
        """Does nothing: runners receive no starts through their session."""

    def on_start_unknown(self, session: TargetSession, tasks: tuple[str, ...]) -> None:
        """Does nothing: runners receive no starts through their session."""

    def on_unresponsive(self, session: TargetSession) -> None:
        """Does nothing: requests are sent beside the session while the runner honours the lease."""

    def on_lost(self, session: TargetSession) -> None:
        """Removes a runner whose lease lapsed."""
        with self._lock:
            self._sessions.pop(session.target.name, None)
            self._last_running.pop(session.target.name, None)
            self._scheduler.remove_worker(session.target.name, self._clock.monotonic())
            for request_id in list(self._unconfirmed):
                if request_id not in self._scheduler.jobs:
                    del self._unconfirmed[request_id]
            self._assign_slots()

    def awaits_report(self, session: TargetSession) -> bool:
        """Tells whether a new report of the runner may free a slot."""
        return bool(self._unconfirmed)

    # Serving.

    def _serve_non_repeatable(self, spec: RequestSpec, ends_at: float) -> bytes:
        key = f"{spec.team}/{spec.idempotency_key}"
        self._reserve_intent(key)
        try:
            return self._try_once(spec, ends_at)
        except RefusalError as refusal:
            if refusal.ran is ExecutionStatus.NOT_RUN:
                self._release_intent(key)
            raise

    def _release_intent(self, key: str) -> None:
        """Gives back the key of a request that was certainly not run.

        The release should precede the refusal, because a retry that the log orders before the
        release is refused as a duplicate.
        """
        future = self._appender.submit(ReleaseIntent(key), INTENT_DEADLINE_S * 2)
        try:
            self._appender.wait(future, INTENT_RELEASE_WAIT_S)
        except (LogError, FutureTimeoutError) as error:
            reason = type(error).__name__
            self._metrics.retries.labels("request.release", reason).inc()

    def _reserve_intent(self, key: str) -> None:
        event = Intend(key, self._clock.wall())
        try:
            applied = self._appender.commit(
                event, INTENT_DEADLINE_S, lambda late: self._on_late_intent(key, late)
            )
        except LogError as error:
            detail = f"the single run could not be reserved: {error}"
            raise self._refusal("intent-unavailable", detail, 5.0) from error
        if not applied.accepted and key in self._unused_intents:
            detail = "the key is being given back after an earlier request that was not run"
            raise self._refusal("intent-unavailable", detail, 1.0)
        if not applied.accepted:
            raise RefusalError(
                "duplicate",
                f"a request with this idempotency key was submitted before: {applied.reason}",
                ran=ExecutionStatus.UNKNOWN,
                status=status_for("duplicate"),
                step="request.reserve",
            )

    def _on_late_intent(self, key: str, applied: ApplyResult) -> None:
        """Gives back a key that was reserved after its request was refused as not run."""
        if not applied.accepted:
            return
        self._unused_intents.add(key)
        future = self._appender.submit(ReleaseIntent(key), LATE_RELEASE_DEADLINE_S)
        # The release may have taken effect whatever the outcome of its append, and another request
        # may hold the key then.
        future.add_done_callback(lambda _: self._unused_intents.discard(key))

    def _serve_repeatable(self, spec: RequestSpec, ends_at: float) -> bytes:
        """Runs a repeatable request, with retries while budget and deadline allow."""
        budget = self._retry_budgets.setdefault(spec.team, RetryBudget())
        budget.on_first_try()
        tries = 0
        unknown: RefusalError | None = None
        while True:
            tries += 1
            try:
                return self._try_once(spec, ends_at)
            except RefusalError as refusal:
                if refusal.ran is ExecutionStatus.UNKNOWN:
                    unknown = refusal
                if not self._may_retry(refusal, budget, tries, ends_at):
                    # An earlier try may have run, even if the last one certainly did not.
                    raise unknown or refusal from None
                self._metrics.retries.labels("request", refusal.code).inc()

    def _may_retry(
        self, refusal: RefusalError, budget: RetryBudget, tries: int, ends_at: float
    ) -> bool:
        if refusal.code not in ("runner-refused", "outcome-unknown") or tries >= MAX_TRIES:
            return False
        delay_s = self._backoff.delay_s(tries)
        if self._clock.monotonic() + delay_s >= ends_at or not budget.take():
            return False
        self._sleep(delay_s)
        return True

    def _try_once(self, spec: RequestSpec, ends_at: float) -> bytes:
        request_id = f"{spec.team}/{self._new_id()}"
        queued_at = self._clock.monotonic()
        grant = self._wait_for_slot(request_id, spec, ends_at)
        self._metrics.waiting.labels("request").observe(self._clock.monotonic() - queued_at)
        return self._dispatch(request_id, grant.session, spec, ends_at)

    def _wait_for_slot(self, request_id: str, spec: RequestSpec, ends_at: float) -> _Grant:
        future: Future[_Grant] = Future()
        with self._lock:
            if not self._is_open:
                raise self._refusal("not-owner", "the partition was handed over", 0.5)
            job = self._make_job(request_id, spec.team)
            self._check(job, ends_at)
            self._grants[request_id] = future
            self._scheduler.submit(job)
            self._assign_slots()
        try:
            remaining_s = max(0.0, ends_at - self._clock.monotonic())
            return future.result(remaining_s if self._may_block else 0.0)
        except FutureTimeoutError:
            return self._abandon_wait(request_id, future)

    def _abandon_wait(self, request_id: str, future: Future[_Grant]) -> _Grant:
        with self._lock:
            if future.done():
                return future.result()
            self._grants.pop(request_id, None)
            self._scheduler.cancel(request_id)
        raise RefusalError(
            "deadline",
            "no slot was free before the deadline",
            status=status_for("deadline"),
            step="request.wait",
        )

    def _check(self, job: Job, ends_at: float) -> None:
        refused = self._scheduler.check(job)
        if refused is not None:
            raise self._refusal(refused.code, refused.detail, refused.retry_after_s)
        expected_s = self._expected_wait_s(job.team)
        if self._clock.monotonic() + expected_s > ends_at:
            detail = f"the expected wait of {expected_s:.1f} s exceeds the deadline"
            raise self._refusal("overloaded", detail, max(1.0, expected_s / 2))

    def _expected_wait_s(self, team: str) -> float:
        """Estimates the wait of a new request if the team gets no more than its share."""
        state = self._scheduler.teams[team]
        slots = sum(session.target.slots for session in self._sessions.values())
        if not slots or not state.waiting:
            return 0.0
        own_slots = max(1.0, slots * state.entitled)
        return state.waiting * self._mean_service_s / own_slots

    def _dispatch(
        self, request_id: str, session: TargetSession, spec: RequestSpec, ends_at: float
    ) -> bytes:
        name = session.target.name
        began_at = self._clock.monotonic()
        remaining_s = ends_at - began_at
        # The lease may still lapse after this check; the runner then rejects the old epoch.
        if remaining_s <= 0 or not self._lease.is_valid() or not self._lease.controls(name):
            self._end(request_id, TaskResult.NOT_STARTED)
            code = "deadline" if remaining_s <= 0 else "lease-lapsed"
            raise self._refusal(code, "the right to dispatch ran out", 0.5)
        try:
            answer = session.client.run(request_id, self._epoch, spec.body, remaining_s)
        except NotRunError as error:
            self._record_outcome(name, False)
            self._end(request_id, TaskResult.NOT_STARTED)
            raise self._refusal("runner-refused", str(error), 0.5) from error
        except OutcomeUnknownError as error:
            self._record_outcome(name, False)
            self._mark_unconfirmed(request_id, spec.team)
            self._count_outcome(ExecutionStatus.UNKNOWN)
            raise RefusalError(
                "outcome-unknown",
                str(error),
                ran=ExecutionStatus.UNKNOWN,
                status=status_for("outcome-unknown"),
                step=error.step,
                peer=error.peer,
            ) from error
        self._record_outcome(name, True)
        self._observe_service_time(self._clock.monotonic() - began_at)
        self._end(request_id, TaskResult.DONE)
        self._count_outcome(ExecutionStatus.DONE)
        return answer

    def _record_outcome(self, runner: str, succeeded: bool) -> None:
        with self._lock:
            breaker = self._breakers.get(runner)
            if breaker is None:
                return
            if succeeded:
                breaker.on_success()
            else:
                breaker.on_failure()

    def _observe_service_time(self, seconds: float) -> None:
        self._mean_service_s += SERVICE_TIME_SMOOTHING * (seconds - self._mean_service_s)

    def _mark_unconfirmed(self, request_id: str, team: str) -> None:
        with self._lock:
            unconfirmed_at = self._clock.monotonic()
            if request_id in self._scheduler.jobs:
                self._unconfirmed[request_id] = _UnconfirmedRequest(team, unconfirmed_at)

    def _end(self, request_id: str, result: TaskResult) -> None:
        with self._lock:
            self._unconfirmed.pop(request_id, None)
            job = self._scheduler.jobs.get(request_id)
            if job is not None:
                job.live = False
                self._scheduler.finish(request_id, 0, result, self._clock.monotonic())
                self._scheduler.cancel(request_id)
            self._assign_slots()

    def _assign_slots(self) -> None:
        """Grants free slots to waiting requests in fair order."""
        if not self._is_open:
            return
        self._apply_breakers()
        with self._metrics.decision.labels("request").time():
            decisions = self._scheduler.decide(self._clock.monotonic())
        for decision in decisions:
            match decision:
                case Start():
                    self._grant(decision)
                case Expire():
                    self._grants.pop(decision.job_id, None)

    def _grant(self, decision: Start) -> None:
        future = self._grants.pop(decision.job_id, None)
        session = self._sessions.get(decision.worker)
        if future is None or session is None:
            self._scheduler.finish(
                decision.job_id, 0, TaskResult.NOT_STARTED, self._clock.monotonic()
            )
            self._scheduler.cancel(decision.job_id)
            return
        future.set_result(_Grant(session))

    def _apply_breakers(self) -> None:
        for name, breaker in self._breakers.items():
            session = self._sessions.get(name)
            if session is not None and name in self._scheduler.workers:
                tripped = breaker.state.value == "open"
                self._scheduler.set_draining(name, session.target.leaving or tripped)

    def _adopt(self, request_id: str, runner: str, now: float) -> None:
        """Assigns its slot to a request that a previous owner dispatched."""
        team = request_id.partition("/")[0]
        known = request_id in self._scheduler.jobs
        if known or team not in self._scheduler.teams or runner not in self._sessions:
            return
        self._scheduler.submit(self._make_job(request_id, team))
        self._scheduler.adopt(request_id, [AdoptedTask(0, runner)], now)
        self._unconfirmed[request_id] = _UnconfirmedRequest(team, now)

    def _make_job(self, request_id: str, team: str) -> Job:
        spec = JobSpec("request", JobKind.BATCH, SLOT_SIZE, run_s=NOMINAL_RUN_S, preemptible=False)
        return Job(request_id, team, spec, self._clock.monotonic())

    def _count_outcome(self, ran: ExecutionStatus) -> None:
        self._metrics.outcomes.labels("request", ran.value).inc()

    def _refusal(self, code: str, detail: str, retry_after_s: float | None) -> RefusalError:
        return RefusalError(
            code,
            detail,
            status=status_for(code),
            retry_after_s=retry_after_s,
            step="request.admit",
            peer=self._partition,
        )


def _fail_future(future: Future[_Grant], error: RefusalError) -> None:
    try:
        future.set_exception(error)
    except InvalidStateError:
        pass
