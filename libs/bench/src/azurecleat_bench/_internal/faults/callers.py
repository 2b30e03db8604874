"""Simulated callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from azurecleat_daemon import RefusalError
from azurecleat_model import RequestSpec

from azurecleat_bench._internal.faults.history import AcceptedJob, CallerResult
from azurecleat_bench._internal.faults.node import Node

OPEN_TEAM = "public"
REQUEST_DEADLINE_S = 10.0
MAX_KEPT_RETRIES = 20


class CallerKey(NamedTuple):
    """A key that callers use; the team :data:`OPEN_TEAM` means a call without a key."""

    team: str
    key_id: str
    token: str


if TYPE_CHECKING:
    from azurecleat_bench._internal.faults.simulation import Simulation


class Callers:
    """Sends requests and jobs through random instances and records the outcomes."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._retries: list[tuple[bytes, str, CallerKey]] = []

    def random_request(self) -> None:
        """Sends a new request, or retries a non-repeatable one that did not succeed."""
        node = self._simulation.random_live_node()
        if node is None or not self._simulation.keys:
            return
        if self._retries and self._simulation.rng.random() < 0.3:
            body, idempotency_key, key = self._simulation.rng.choice(self._retries)
        else:
            self._simulation.counter += 1
            body, key = b"body-%d" % self._simulation.counter, self._simulation.rng.choice(
                self._simulation.keys
            )
            idempotency_key = (
                "" if self._simulation.rng.random() < 0.6 else f"once-{self._simulation.counter}"
            )
        self.request(node, key, body, idempotency_key)

    def request(
        self, node: Node, key: CallerKey, body: bytes, idempotency_key: str = ""
    ) -> CallerResult:
        """Sends one request through an instance and records its outcome.

        :param idempotency_key: Marks the request as not repeatable; empty for a repeatable one.
        """
        assert node.components is not None
        at = self._simulation.clock.monotonic()
        outcome, code, answer = "done", "", b""
        try:
            is_open = key.team == OPEN_TEAM
            admit = node.components.admission
            team = admit.open_team(OPEN_TEAM) if is_open else admit.team(key.token)
            spec = RequestSpec(team, body, REQUEST_DEADLINE_S, not idempotency_key, idempotency_key)
            answer = node.components.router.run(spec)
        except RefusalError as refusal:
            outcome, code = refusal.ran.value, refusal.code
        repeatable = not idempotency_key
        result = CallerResult(
            at, node.name, key.team, key.key_id, body, repeatable, outcome, code, answer
        )
        self._simulation.history.callers.append(result)
        if idempotency_key and outcome != "done" and len(self._retries) < MAX_KEPT_RETRIES:
            self._retries.append((body, idempotency_key, key))
        return result

    def random_job(self) -> None:
        """Submits a job of random kind, size and run time through a random instance."""
        node = self._simulation.random_live_node()
        if node is not None and self._simulation.keys:
            self.submit(
                node,
                self._simulation.rng.choice(self._simulation.keys),
                tasks=self._simulation.rng.choice((1, 2, 4)),
                run_s=self._simulation.rng.choice((0.5, 2.0, 6.0)),
                repeatable=self._simulation.rng.random() < 0.7,
                kind=self._simulation.rng.choice(("batch", "batch", "all-at-once")),
            )

    def submit(
        self,
        node: Node,
        key: CallerKey,
        tasks: int,
        run_s: float,
        repeatable: bool,
        kind: str = "batch",
    ) -> None:
        """Submits a job through an instance and records the job if it is accepted."""
        body = {
            "name": f"name-{self._simulation.rng.randrange(5)}",
            "kind": kind,
            "size": {"cpu_milli": 1000, "memory_mb": 1000},
            "tasks": tasks,
            "run_s": run_s,
            "repeatable": repeatable,
        }
        assert node.components is not None
        try:
            team = node.components.admission.team(key.token)
            job_id = node.components.router.submit(team, body)["job"]
        except RefusalError:
            return
        at = self._simulation.clock.monotonic()
        self._simulation.history.jobs.append(AcceptedJob(at, job_id, key.team, tasks, repeatable))

    def cancel_job(self) -> None:
        """Cancels a random accepted job through a random instance."""
        node = self._simulation.random_live_node()
        if node is None or not self._simulation.history.jobs:
            return
        job = self._simulation.rng.choice(self._simulation.history.jobs)
        assert node.components is not None
        try:
            node.components.router.cancel(job.team, job.job_id)
        except RefusalError:
            return
