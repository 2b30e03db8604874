"""Callers that hand jobs in, repeat what got no answer, ask and cancel."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from collections.abc import Sequence
from typing import Any

from tests.soak.promises import Job, Promises, Verdict

TIMEOUT_S = 3.0
TRIES = 4
CANCEL_SHARE = 0.1
ASK_SHARE = 0.6


class Caller:
    """A thread with kept connections to all instances.

    :param addresses: Where the instances are reached.
    :param keys: Keys in force, changed by the faults of the soak.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        addresses: Sequence[str],
        keys: list[str],
        promises: Promises,
        rate_s: float,
    ) -> None:
        self._number = number
        self._rng = random.Random(f"{seed}/{number}")
        self._addresses = addresses
        self._keys = keys
        self._promises = promises
        self._rate_s = rate_s
        self._connections: dict[str, http.client.HTTPConnection] = {}
        self._own: list[Job] = []
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"caller-{number}", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join(TRIES * TIMEOUT_S + 1.0)

    def ask_all(self) -> bool:
        """Asks for the state of each job that is not over; True if none is left."""
        left = 0
        for job in self._own:
            if job.verdict is Verdict.UNKNOWN:
                self._submit_once(job)
            if job.verdict is Verdict.ACCEPTED and not job.cancel_asked:
                if job.state not in ("completed", "failed"):
                    self._ask(job)
                left += job.state not in ("completed", "failed")
        return left == 0

    def _run(self) -> None:
        count = 0
        while not self._stopping.wait(self._rng.expovariate(1.0 / self._rate_s)):
            count += 1
            job = Job(f"{self._number:06x}{count:010x}", self._make_body())
            self._own.append(job)
            self._promises.add(job)
            self._submit(job)
            if job.verdict is Verdict.ACCEPTED and self._rng.random() < CANCEL_SHARE:
                self._cancel(job)
            if self._rng.random() < ASK_SHARE:
                self._ask(self._rng.choice(self._own))

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
        return {"spec": "soak", "steps": steps}

    def _submit(self, job: Job) -> None:
        """Hands a job in; without an answer, or with one that leaves it open, again elsewhere."""
        for _ in range(TRIES):
            self._submit_once(job)
            if job.verdict is not Verdict.UNKNOWN or self._stopping.is_set():
                return

    def _submit_once(self, job: Job) -> None:
        status, _ = self._call("POST", job.name, job.body)
        self._promises.note_submitted(job, status)

    def _ask(self, job: Job) -> None:
        sent_at = time.monotonic()
        status, value = self._call("GET", job.name)
        if status is not None:
            self._promises.note_state(job, sent_at, status, str(value.get("state", "")))

    def _cancel(self, job: Job) -> None:
        job.cancel_asked = True
        status, _ = self._call("DELETE", job.name)
        if status is not None and status < 300:
            job.cancelled_at = time.monotonic()

    def _call(self, method: str, job: str, body: Any = None) -> tuple[int | None, dict[str, Any]]:
        address = self._rng.choice(self._addresses)
        connection = self._connections.get(address)
        if connection is None:
            connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
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
        self._promises.note_answer(key, sent_at, status)
        return status, json.loads(answer or b"{}")
