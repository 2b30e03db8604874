"""What callers and targets may see. Shares no code with the program."""

from __future__ import annotations

import threading
import time
from enum import Enum
from typing import Any

from tests.lib.fake_platform import FakePlatform

VISIBLE_S = 3.0
"""Time after which every instance knows an accepted job, or says that it cannot tell."""

REVOKE_S = 5.0
"""Time after which a withdrawn key works nowhere."""

CANCEL_S = 10.0
"""Time after an acknowledged cancellation after which nothing starts: orders may be held up for
as long as a fault lasts."""


REJECTIONS = frozenset((400, 401, 404, 429, 503))
"""Answers that say that a job is not stored and never runs."""


class Verdict(Enum):
    """What a caller knows of a job that it has handed in."""

    UNKNOWN = "unknown"
    ACCEPTED = "accepted"
    REJECTED = "rejected"


class Job:
    """A job as its caller sees it."""

    def __init__(self, name: str, body: dict[str, Any]) -> None:
        self.name = name
        self.body = body
        self.verdict = Verdict.UNKNOWN
        self.may_be_stored = False
        """Whether an attempt got no answer, or one that leaves it open."""
        self.accepted_at = 0.0
        self.cancelled_at: float | None = None
        self.cancel_asked = False
        self.state = ""

    @property
    def tasks(self) -> list[str]:
        return [
            f"{self.name}.0.{number}.{index}"
            for number, step in enumerate(self.body["steps"])
            for index in range(step["count"])
        ]


class Promises:
    """Collects breaks of what callers were told."""

    def __init__(self, site: FakePlatform) -> None:
        self._site = site
        self._lock = threading.Lock()
        self._revoked: dict[str, float] = {}
        self.jobs: dict[str, Job] = {}
        self.broken: list[str] = []
        self.answers: dict[int, int] = {}

    def add(self, job: Job) -> None:
        self._site.expect_job(job.name, job.body)
        with self._lock:
            self.jobs[job.name] = job

    def note_revoked(self, key: str) -> None:
        """Notes that the store has acknowledged a configuration without a key."""
        with self._lock:
            self._revoked[key] = time.monotonic()

    def note_answer(self, key: str, sent_at: float, status: int) -> None:
        with self._lock:
            self.answers[status] = self.answers.get(status, 0) + 1
            revoked_at = self._revoked.get(key)
        if revoked_at is not None and sent_at > revoked_at + REVOKE_S and status < 300:
            self._break(f"CONFIG {key} still worked {sent_at - revoked_at:.1f} s after")

    def note_submitted(self, job: Job, status: int | None) -> None:
        """Takes in the answer to an attempt to hand a job in; None if there was none."""
        if status is not None and status < 300:
            job.verdict = Verdict.ACCEPTED
            job.accepted_at = time.monotonic()
        elif status not in REJECTIONS:
            job.may_be_stored = True
        elif job.verdict is Verdict.UNKNOWN and not job.may_be_stored:
            job.verdict = Verdict.REJECTED

    def note_state(self, job: Job, sent_at: float, status: int, state: str) -> None:
        if status == 410:
            is_known = job.verdict is Verdict.ACCEPTED and job.cancelled_at is None
            if is_known and not job.cancel_asked and sent_at > job.accepted_at + VISIBLE_S:
                self._break(f"LOST {job.name} is not known {sent_at - job.accepted_at:.1f} s after")
        if status != 200:
            return
        job.state = state
        if state == "completed":
            ended = {str(task) for task in self._site.completed_tasks}
            missing = [task for task in job.tasks if task not in ended]
            if missing:
                self._break(f"MIXED {job.name} is shown as completed without {missing[0]}")

    def check_end(self) -> None:
        """Judges what must hold once all faults are over and time has passed."""
        started = self._started()
        for job in self.jobs.values():
            if job.verdict is Verdict.REJECTED and job.name in started:
                self._break(f"REFUSED {job.name} was rejected each time and has run")
            if job.verdict is Verdict.ACCEPTED and not job.cancel_asked:
                if job.state not in ("completed", "failed"):
                    self._break(f"LOST {job.name} is {job.state or 'unknown'} at the end")
                if job.state == "failed" and not self._has_cause(job):
                    self._break(f"LOST {job.name} is shown as failed without cause")
            cancelled_at = job.cancelled_at
            if cancelled_at is not None and started.get(job.name, 0.0) > cancelled_at + CANCEL_S:
                self._break(f"UNASKED {job.name} has started a task after its cancelling")
        self.broken.extend(self._site.checker.violations)

    def _started(self) -> dict[str, float]:
        """Newest start of each job."""
        started: dict[str, float] = {}
        for task, at in list(self._site.checker.started_at.items()):
            started[task.job] = max(started.get(task.job, 0.0), at)
        return started

    def _has_cause(self, job: Job) -> bool:
        failures = self._site.checker.failed_ends
        return any(task.job == job.name and count >= 3 for task, count in failures.items())

    def _break(self, text: str) -> None:
        with self._lock:
            self.broken.append(text)
