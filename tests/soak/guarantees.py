"""Checks what callers and targets see against what the scheduler guarantees.

The check shares no code with the scheduler. Each violation begins with a rule: ``CONFIG`` (a
revoked key works), ``LOST`` (an accepted job is unknown, unfinished or failed without cause),
``MIXED`` (a job is reported as completed before its tasks), ``REFUSED`` (a rejected job has run)
or ``UNASKED`` (a cancelled job starts a task). Violations from :class:`ExecutionChecker` are added
at the end of a test; they begin with a time, followed by a rule of that class.
"""

from __future__ import annotations

import threading
import time
from enum import Enum
from typing import Any

from tests.lib.fake_platform import FakePlatform

VISIBILITY_BOUND_S = 3.0
"""Time after which every instance knows an accepted job, or answers that it cannot tell. Status 410
(unknown job) is a violation from then on."""

REVOCATION_BOUND_S = 5.0
"""Time after which every instance refuses a revoked key."""

CANCELLATION_BOUND_S = 10.0
"""Time from an acknowledged cancellation after which no task of the job starts. A fault may delay
start commands that were sent before for as long as it lasts."""

REJECTION_STATUSES = frozenset((400, 401, 404, 429, 503))
"""Statuses which state that the job is not stored and never runs."""


class SubmissionOutcome(Enum):
    """What a caller knows about a job that it has submitted."""

    UNKNOWN = "unknown"
    ACCEPTED = "accepted"
    REJECTED = "rejected"


class Job:
    """A job as its caller sees it."""

    def __init__(self, name: str, body: dict[str, Any]) -> None:
        self.name = name
        self.body = body
        self.outcome = SubmissionOutcome.UNKNOWN
        self.may_be_stored = False
        """Whether an attempt got no response, or one that leaves open whether the job is stored."""
        self.accepted_at = 0.0
        self.cancelled_at: float | None = None
        self.cancel_requested = False
        self.state = ""

    @property
    def tasks(self) -> list[str]:
        return [
            f"{self.name}.0.{number}.{index}"
            for number, step in enumerate(self.body["steps"])
            for index in range(step["count"])
        ]


class GuaranteeChecker:
    """Collects violations from the responses to callers and from the runs at targets."""

    def __init__(self, platform: FakePlatform) -> None:
        self._platform = platform
        self._lock = threading.Lock()
        self._revoked: dict[str, float] = {}
        self.jobs: dict[str, Job] = {}
        self.violations: list[str] = []
        self.response_counts: dict[int, int] = {}

    def add(self, job: Job) -> None:
        self._platform.expect_job(job.name, job.body)
        with self._lock:
            self.jobs[job.name] = job

    def on_key_revoked(self, key: str) -> None:
        """Called when the store has acknowledged a configuration without this key."""
        with self._lock:
            self._revoked[key] = time.monotonic()

    def on_response(self, key: str, sent_at: float, status: int) -> None:
        with self._lock:
            self.response_counts[status] = self.response_counts.get(status, 0) + 1
            revoked_at = self._revoked.get(key)
        if revoked_at is not None and sent_at > revoked_at + REVOCATION_BOUND_S and status < 300:
            self._add_violation(
                f"CONFIG {key} was accepted {sent_at - revoked_at:.1f} s after its revocation"
            )

    def on_submit_response(self, job: Job, status: int | None) -> None:
        """Called after an attempt to submit a job.

        :param status: Status of the response; ``None`` if there was none.
        """
        if status is not None and status < 300:
            job.outcome = SubmissionOutcome.ACCEPTED
            job.accepted_at = time.monotonic()
        elif status not in REJECTION_STATUSES:
            job.may_be_stored = True
        elif job.outcome is SubmissionOutcome.UNKNOWN and not job.may_be_stored:
            job.outcome = SubmissionOutcome.REJECTED

    def on_state_response(self, job: Job, sent_at: float, status: int, state: str) -> None:
        if status == 410:
            should_be_known = job.outcome is SubmissionOutcome.ACCEPTED and job.cancelled_at is None
            if (
                should_be_known
                and not job.cancel_requested
                and sent_at > job.accepted_at + VISIBILITY_BOUND_S
            ):
                self._add_violation(
                    f"LOST {job.name} is unknown {sent_at - job.accepted_at:.1f} s after acceptance"
                )
        if status != 200:
            return
        job.state = state
        if state == "completed":
            completed = {str(task) for task in list(self._platform.completed_tasks)}
            missing = [task for task in job.tasks if task not in completed]
            if missing:
                self._add_violation(
                    f"MIXED {job.name} is reported as completed without task {missing[0]}"
                )

    def check_end(self) -> None:
        """Checks the final state, once all faults have ended and jobs had time to finish."""
        last_starts = self._last_start_times()
        for job in self.jobs.values():
            if job.outcome is SubmissionOutcome.REJECTED and job.name in last_starts:
                self._add_violation(f"REFUSED {job.name} was rejected on every attempt but has run")
            if job.outcome is SubmissionOutcome.ACCEPTED and not job.cancel_requested:
                if job.state not in ("completed", "failed"):
                    self._add_violation(f"LOST {job.name} is {job.state or 'unknown'} at the end")
                if job.state == "failed" and not self._may_fail(job):
                    self._add_violation(
                        f"LOST {job.name} is reported as failed although no task used all attempts "
                        f"and no two targets crashed under one"
                    )
            cancelled_at = job.cancelled_at
            if (
                cancelled_at is not None
                and last_starts.get(job.name, 0.0) > cancelled_at + CANCELLATION_BOUND_S
            ):
                self._add_violation(f"UNASKED {job.name} has started a task after its cancellation")
        self.violations.extend(self._platform.checker.violations)

    def _last_start_times(self) -> dict[str, float]:
        """Returns the time of the newest task start of each job."""
        started: dict[str, float] = {}
        for task, at in list(self._platform.checker.started_at.items()):
            started[task.job] = max(started.get(task.job, 0.0), at)
        return started

    def _may_fail(self, job: Job) -> bool:
        # The queue of the fake platform allows 3 attempts per task.
        failures = dict(self._platform.checker.failed_ends)
        crashes = dict(self._platform.checker.crashes)
        return any(
            task.job == job.name and count >= bound
            for counts, bound in ((failures, 3), (crashes, 2))
            for task, count in counts.items()
        )

    def _add_violation(self, text: str) -> None:
        with self._lock:
            self.violations.append(text)
