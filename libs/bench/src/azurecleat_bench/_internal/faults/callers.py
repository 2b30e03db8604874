"""What callers do in a world."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from azurecleat_daemon import RefusalError
from azurecleat_model import RequestSpec

from azurecleat_bench._internal.faults.history import AcceptedJob, CallerResult
from azurecleat_bench._internal.faults.node import Node

OPEN_TEAM = "public"
REQUEST_DEADLINE_S = 10.0
RETRIES_KEPT = 20


class Key(NamedTuple):
    """A key that callers use; one of :data:`OPEN_TEAM` stands for no key."""

    team: str
    key_id: str
    token: str


if TYPE_CHECKING:
    from azurecleat_bench._internal.faults.world import World


class Callers:
    """Sends requests and jobs through random instances and records the outcomes."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._retries: list[tuple[bytes, str, Key]] = []

    def random_request(self) -> None:
        """Sends a new request, or one again that was not done."""
        node = self._world.live_node()
        if node is None or not self._world.keys:
            return
        if self._retries and self._world.rng.random() < 0.3:
            body, key_name, key = self._world.rng.choice(self._retries)
        else:
            self._world.count += 1
            body, key = b"body-%d" % self._world.count, self._world.rng.choice(self._world.keys)
            key_name = "" if self._world.rng.random() < 0.6 else f"once-{self._world.count}"
        self.request(node, key, body, key_name)

    def request(self, node: Node, key: Key, body: bytes, key_name: str = "") -> CallerResult:
        """Sends one request through an instance and records its outcome."""
        assert node.core is not None
        at = self._world.clock.monotonic()
        outcome, code, answer = "done", "", b""
        try:
            is_open = key.team == OPEN_TEAM
            admit = node.core.admission
            team = admit.open_team(OPEN_TEAM) if is_open else admit.team(key.token)
            spec = RequestSpec(team, body, REQUEST_DEADLINE_S, not key_name, key_name)
            answer = node.core.router.run(spec)
        except RefusalError as refusal:
            outcome, code = refusal.ran.value, refusal.code
        repeatable = not key_name
        result = CallerResult(
            at, node.name, key.team, key.key_id, body, repeatable, outcome, code, answer
        )
        self._world.history.callers.append(result)
        if key_name and outcome != "done" and len(self._retries) < RETRIES_KEPT:
            self._retries.append((body, key_name, key))
        return result

    def random_job(self) -> None:
        """Submits a job of random size."""
        node = self._world.live_node()
        if node is not None and self._world.keys:
            self.submit(
                node,
                self._world.rng.choice(self._world.keys),
                tasks=self._world.rng.choice((1, 2, 4)),
                run_s=self._world.rng.choice((0.5, 2.0, 6.0)),
                repeatable=self._world.rng.random() < 0.7,
                kind=self._world.rng.choice(("batch", "batch", "all-at-once")),
            )

    def submit(
        self,
        node: Node,
        key: Key,
        tasks: int,
        run_s: float,
        repeatable: bool,
        kind: str = "batch",
    ) -> None:
        """Submits a job through an instance and records it if it is accepted."""
        body = {
            "name": f"name-{self._world.rng.randrange(5)}",
            "kind": kind,
            "size": {"cpu_milli": 1000, "memory_mb": 1000},
            "tasks": tasks,
            "run_s": run_s,
            "repeatable": repeatable,
        }
        assert node.core is not None
        try:
            team = node.core.admission.team(key.token)
            job_id = node.core.router.submit(team, body)["job"]
        except RefusalError:
            return
        at = self._world.clock.monotonic()
        self._world.history.jobs.append(AcceptedJob(at, job_id, key.team, tasks, repeatable))

    def cancel_job(self) -> None:
        """Cancels an accepted job."""
        node = self._world.live_node()
        if node is None or not self._world.history.jobs:
            return
        job = self._world.rng.choice(self._world.history.jobs)
        assert node.core is not None
        try:
            node.core.router.cancel(job.team, job.job_id)
        except RefusalError:
            return
