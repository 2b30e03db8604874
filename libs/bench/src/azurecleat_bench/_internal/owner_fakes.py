"""Fakes for the benchmark of an owner: targets and an advice service, without a network."""

from __future__ import annotations

import random
import threading
import time
import zlib
from collections.abc import Sequence

from azurecleat_base import Resources
from azurecleat_cluster.ports import LogRecord, StartCommand, StartResult
from azurecleat_cluster.values import (
    AdviceTerms,
    Configuration,
    EndKind,
    Pool,
    Queue,
    RunEnd,
    RunStatus,
    Step,
    TargetEntry,
    TargetReport,
    TargetState,
    TaskId,
    Team,
)

URGENT = Queue(
    "urgent",
    "host",
    "/u/",
    "pool",
    attempts=4,
    stretch=1.5,
    objective_ms=250,
    advice=AdviceTerms(32, 0.28, 2500),
)
PATIENT = Queue(
    "patient", "host", "/p/", "pool", 2, 2, 2.2, 1200, advice=AdviceTerms(624, 5.6, 2500)
)
NO_LIMIT = Resources(0, 0, 0)
CAPACITY = Resources(64_000, 256_000, 0)
TARGETS_PER_RACK = 20
ZONE_COUNT = 3
MEAN_RUN_S = {"urgent": 0.64, "patient": 3.8}


class BenchTarget:
    """A target that accepts every start; run times are random around the queue's mean."""

    def __init__(self, entry: TargetEntry, seed: int) -> None:
        self.entry = entry
        self._rng = random.Random(f"{seed}/{entry.id}")
        self._changed = threading.Condition()
        self._running: dict[tuple[TaskId, int], tuple[float, float]] = {}
        self._ended: list[RunEnd] = []
        self._count = 0

    def poll(
        self,
        fencing_token: int,
        acknowledged: int,
        until_ms: int | None,
        wait_s: float,
        timeout_s: float,
        same_connection: bool = False,
    ) -> TargetReport:
        deadline = time.monotonic() + wait_s
        with self._changed:
            self._ended = [end for end in self._ended if end.number > acknowledged]
            while not self._end_due_tasks() and (now := time.monotonic()) < deadline:
                next_end = min((end for _, end in self._running.values()), default=deadline)
                self._changed.wait(max(0.0, min(deadline, next_end) - now))
            now = time.monotonic()
            running = tuple(
                RunStatus(task, run, "", round(100 * (now - began) / (end - began)), 1.0)
                for (task, run), (began, end) in self._running.items()
            )
            return TargetReport(now * 1000, self.entry.started_at_ms, running, tuple(self._ended))

    def start(self, command: StartCommand, timeout_s: float) -> StartResult:
        now = time.monotonic()
        took_s = MEAN_RUN_S[command.payload] * self._rng.uniform(0.6, 1.5)
        with self._changed:
            self._running[command.task, command.run] = (now, now + took_s)
            self._changed.notify_all()
        return StartResult(True, "", now * 1000)

    def stop(self, task: TaskId, run: int, fencing_token: int, timeout_s: float) -> None:
        with self._changed:
            self._running.pop((task, run), None)

    def throttle(
        self, task: TaskId, run: int, percent: int, fencing_token: int, timeout_s: float
    ) -> None:
        pass  # Throttling is ignored: tasks of this fake do not interfere with each other.

    def close(self) -> None:
        pass  # The fake has no connection.

    def _end_due_tasks(self) -> bool:
        now = time.monotonic()
        for key, (_, end) in list(self._running.items()):
            if end <= now:
                del self._running[key]
                self._count += 1
                self._ended.append(RunEnd(self._count, *key, EndKind.DONE, ""))
        return bool(self._ended)


class BenchAdviser:
    """Allows half of the targets for each step, after the delay of a request for urgent work."""

    def advise(self, step: str, targets: Sequence[str], timeout_s: float) -> dict[str, str]:
        time.sleep(URGENT.advice.cost_s(len(targets)))
        return {target: "ticket" for target in targets if _is_allowed(step, target)}


def _is_allowed(step: str, target: str) -> bool:
    return zlib.crc32(f"{step}/{target}".encode()) % 2 == 0


class BenchDecoder:
    """Decodes every record to the same configuration."""

    def configuration(self, record: LogRecord) -> Configuration:
        team = Team("team", frozenset(("key",)), 1e6, NO_LIMIT)
        return Configuration(1, (URGENT, PATIENT), {"pool": Pool("pool")}, {"team": team})

    def evacuated_zone(self, record: LogRecord) -> None:
        return None

    def target(self, record: LogRecord) -> TargetEntry:
        raise NotImplementedError("the benchmark adds targets without the log")


def make_target_entry(number: int) -> TargetEntry:
    return TargetEntry(
        id=f"t{number}",
        pool="pool",
        address=f"10.0.{number // 250}.{number % 250}:80",
        zone=f"z{number % ZONE_COUNT}",
        state=TargetState.READY,
        started_at_ms=1,
        capacity=CAPACITY,
        labels=(f"k{number % 3}", f"r{number // TARGETS_PER_RACK}"),
    )


def make_steps(queue: Queue, rng: random.Random) -> tuple[Step, ...]:
    """Returns one or two steps whose task counts and sizes match those of large sites."""
    if queue is URGENT:
        first = Step(count=10, need=Resources(8_900, 1_000, 0), estimate_ms=640)
        return (first, first._replace(depends_on=(0,))) if rng.random() < 0.6 else (first,)
    first = Step(count=21, need=Resources(9_000, 1_000, 0), estimate_ms=3800)
    return first, first._replace(depends_on=(0,))
