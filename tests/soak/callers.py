"""Callers that submit jobs, retry unclear submissions, query job states and cancel some jobs."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from collections.abc import Sequence
from typing import Any

from tests.lib.fake_platform import DEADLY_SPEC
from tests.soak.guarantees import GuaranteeChecker, Job, SubmissionOutcome

REQUEST_TIMEOUT_S = 3.0
MAX_ATTEMPTS = 4
DEADLY_PROBABILITY = 0.05
CANCEL_PROBABILITY = 0.1
QUERY_PROBABILITY = 0.6


class Caller:
    """A thread that submits jobs over persistent connections to all instances.

    :param addresses: Addresses of the instances.
    :param keys: Keys in force; faults change this list while the thread runs.
    :param mean_submit_interval_s: Mean time between two submissions.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        addresses: Sequence[str],
        keys: list[str],
        guarantee_checker: GuaranteeChecker,
        mean_submit_interval_s: float,
    ) -> None:
        self._number = number
        self._rng = random.Random(f"{seed}/{number}")
        # A generator of its own, so that each seed keeps its other jobs.
        self._deadly_rng = random.Random(f"{seed}/{number}/deadly")
        self._addresses = addresses
        self._keys = keys
        self._guarantee_checker = guarantee_checker
        self._mean_submit_interval_s = mean_submit_interval_s
        self._connections: dict[str, http.client.HTTPConnection] = {}
        self._jobs: list[Job] = []
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"caller-{number}", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join(MAX_ATTEMPTS * REQUEST_TIMEOUT_S + 1.0)

    def query_unfinished_jobs(self) -> bool:
        """Submits jobs of unknown outcome again and queries the states of unfinished ones.

        :return: Whether all accepted jobs have finished, except for jobs that this caller cancels.
        """
        unfinished = 0
        for job in self._jobs:
            if job.outcome is SubmissionOutcome.UNKNOWN:
                self._submit_once(job)
            if job.outcome is SubmissionOutcome.ACCEPTED and not job.cancel_requested:
                if job.state not in ("completed", "failed"):
                    self._query_state(job)
                unfinished += job.state not in ("completed", "failed")
        return unfinished == 0

    def _run(self) -> None:
        count = 0
        while not self._stopping.wait(self._rng.expovariate(1.0 / self._mean_submit_interval_s)):
            count += 1
            job = Job(f"{self._number:06x}{count:010x}", self._make_body())
            self._jobs.append(job)
            self._guarantee_checker.add(job)
            self._submit(job)
            if (
                job.outcome is SubmissionOutcome.ACCEPTED
                and self._rng.random() < CANCEL_PROBABILITY
            ):
                self._cancel(job)
            if self._rng.random() < QUERY_PROBABILITY:
                self._query_state(self._rng.choice(self._jobs))

    def _make_body(self) -> dict[str, Any]:
        steps: list[dict[str, Any]] = []
        for number in range(self._rng.randint(1, 3)):
            step: dict[str, Any] = {
                "count": self._rng.randint(1, 4),
                "cpu": self._rng.choice((500, 1000, 2000)),
                "mem_mb": 100,
                "estimate_ms": 300,
            }
            if number:
                step["depends_on"] = [number - 1]
            steps.append(step)
        is_deadly = self._deadly_rng.random() < DEADLY_PROBABILITY
        return {"spec": DEADLY_SPEC if is_deadly else "soak", "steps": steps}

    def _submit(self, job: Job) -> None:
        """Submits a job; retries at a random instance while it is unknown whether it is stored."""
        for _ in range(MAX_ATTEMPTS):
            self._submit_once(job)
            if job.outcome is not SubmissionOutcome.UNKNOWN or self._stopping.is_set():
                return

    def _submit_once(self, job: Job) -> None:
        status, _ = self._call("POST", job.name, job.body)
        self._guarantee_checker.on_submit_response(job, status)

    def _query_state(self, job: Job) -> None:
        sent_at = time.monotonic()
        status, value = self._call("GET", job.name)
        if status is not None:
            self._guarantee_checker.on_state_response(
                job, sent_at, status, str(value.get("state", ""))
            )

    def _cancel(self, job: Job) -> None:
        job.cancel_requested = True
        status, _ = self._call("DELETE", job.name)
        if status is not None and status < 300:
            job.cancelled_at = time.monotonic()

    def _call(self, method: str, job: str, body: Any = None) -> tuple[int | None, dict[str, Any]]:
        address = self._rng.choice(self._addresses)
        connection = self._connections.get(address)
        if connection is None:
            connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
            self._connections[address] = connection
        key = self._rng.choice(self._keys)
        headers = {"Host": "h.example", "Api-Key": key, "X-Deadline-Ms": "3000"}
        sent_at = time.monotonic()
        try:
            payload = None if body is None else json.dumps(body)
            connection.request(method, f"/jobs/{job}", payload, headers)
            response = connection.getresponse()
            status, answer = response.status, response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return None, {}
        self._guarantee_checker.on_response(key, sent_at, status)
        return status, json.loads(answer or b"{}")
