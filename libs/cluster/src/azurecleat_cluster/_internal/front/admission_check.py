"""Asks for admission before a submission is sent to the log."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable

from azurecleat_base import Clock
from azurecleat_base.exceptions import LogError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.front.admission import (
    Admission,
    Refusal,
    Situation,
    SubmissionCall,
)
from azurecleat_cluster._internal.front.answers import Accepted, Answer, Refused, Undecided
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster._internal.values import JobSpec, Queue

MAX_UNKNOWN_JOBS = 4096
"""Most jobs with an unknown outcome that are remembered."""

SLOW_APPEND_S = 1.0
"""Time of an append from which on the log counts as delayed: a third of the time that callers
usually wait. Under a flood of jobs appends through a busy batching instance take up to 0.5 s."""


class AdmissionCheck:
    """Admission of one instance, with what the decision needs to know of the log."""

    def __init__(
        self,
        config_follower: Follower,
        jobs: JobReplica,
        jobs_follower: Follower,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._admission = Admission()
        self._config_follower = config_follower
        self._jobs = jobs
        self._jobs_follower = jobs_follower
        self._clock = clock
        self._events = events
        self._lock = threading.Lock()
        self._read_lock = threading.Lock()
        """Held while the end of the jobs stream is read, so that one read serves many callers."""
        self._sending: dict[str, int] = {}
        """Number of calls that are sending a job to the log."""
        self._unknown: OrderedDict[str, None] = OrderedDict()
        """Jobs of which it is not known whether the log has them."""
        self._log_trouble_at = float("-inf")

    def submit(
        self,
        queue: Queue,
        account: str,
        job: str,
        spec: JobSpec,
        deadline: float,
        append: Callable[[], Answer],
    ) -> Answer:
        """Refuses a job that would wait for too long, and sends any other to the log."""
        now = self._clock.monotonic()
        call = SubmissionCall(job, queue, account, spec, deadline - now)
        refusal = self._refusal_of(call, now)
        if refusal is None:
            return self._send(job, append)
        if not self._is_certainly_new(job, now):
            return Accepted() if self._jobs.knows(job) else self._send(job, append)
        self._events.write(
            eventlog.ADMISSION_REFUSED,
            job=job,
            queue=queue.name,
            account=account,
            reason=refusal.reason,
            wait_s=round(refusal.wait_s, 3),
            report_age_s=round(self._report_age_s(now), 3),
            objective_s=round(refusal.objective_s, 3),
            retry_after_s=round(refusal.retry_after_s, 3),
        )
        return Refused(refusal.reason, refusal.retry_after_s)

    def _refusal_of(self, call: SubmissionCall, now: float) -> Refusal | None:
        load = self._jobs.load
        if self._config_follower.is_failing:
            self._log_trouble_at = now
        situation = Situation(
            load.report if load is not None else None,
            self._report_age_s(now),
            self._jobs.claim.epoch,
            now - self._log_trouble_at,
            now,
        )
        decision = self._admission.decide(call, situation)
        if decision.has_resumed:
            self._events.write(
                eventlog.ADMISSION_RESUMED,
                queue=call.queue.name,
                account=call.account,
                wait_s=round(decision.wait_s, 3),
            )
        return decision.refusal

    def _report_age_s(self, now: float) -> float:
        load = self._jobs.load
        return now - load.received_at if load is not None else float("inf")

    def _is_certainly_new(self, job: str, called_at: float) -> bool:
        """Whether no earlier call can have put a job into the log.

        Reads the jobs stream to its end, unless that was done since the call began.
        """
        with self._lock:
            if job in self._sending or job in self._unknown:
                return False
        if self._jobs_follower.is_loading:
            return False
        try:
            with self._read_lock:
                if self._log_trouble_at >= called_at:
                    return False  # The read that another call waited for has failed.
                if self._jobs_follower.fresh_at < called_at:
                    self._jobs_follower.catch_up()
        except LogError:
            self._log_trouble_at = self._clock.monotonic()
            return False
        return not self._jobs.knows(job)

    def _send(self, job: str, append: Callable[[], Answer]) -> Answer:
        """Sends a job to the log, and notes if the log loses or delays the answer."""
        began_at = self._clock.monotonic()
        with self._lock:
            self._sending[job] = self._sending.get(job, 0) + 1
        answer: Answer | None = None
        try:
            answer = append()
        finally:
            now = self._clock.monotonic()
            is_unknown = answer is None or isinstance(answer, Undecided)
            if now - began_at > SLOW_APPEND_S:
                self._log_trouble_at = now
            with self._lock:
                if is_unknown:
                    self._unknown[job] = None
                    if len(self._unknown) > MAX_UNKNOWN_JOBS:
                        self._unknown.popitem(last=False)
                self._sending[job] -= 1
                if not self._sending[job]:
                    del self._sending[job]
        return answer
