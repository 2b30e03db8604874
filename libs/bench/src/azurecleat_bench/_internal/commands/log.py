"""Measures the load on the log per unit of work, and the time to replay it."""

from __future__ import annotations

import json
import time
from typing import Any

from azurecleat_coordination import Replica
from azurecleat_coordination.records import AcceptJob, Entry, Promote, encode_entry
from azurecleat_fakes import MemoryLog
from azurecleat_model import (
    Environment,
    Job,
    JobKind,
    JobSpec,
    Quota,
    SystemClock,
    TaskSize,
    Team,
    to_plain,
)

from azurecleat_bench._internal.base import Bench
from azurecleat_bench._internal.processes import ProcessFleet, wait_until

JOBS = 60
TASKS_PER_JOB = 5
NON_REPEATABLE_REQUESTS = 40
REPLAY_SIZES = (1000, 4000, 16_000)


class LogCommand(Bench):
    """Counts the appends for jobs and requests in one zone, and replays logs of three sizes."""

    name = "log"
    description = "Log appends and bytes per unit of work, and replay time by state size."

    def measure(self) -> dict[str, Any]:
        """Measures the appends and the replays."""
        return {
            **self._measure_work(),
            "replay_s": {str(size): _replay_s(size) for size in REPLAY_SIZES},
        }

    def _measure_work(self) -> dict[str, Any]:
        fleet = ProcessFleet(("hobart",), 2)
        try:
            fleet.start()
            owner = wait_until(lambda: fleet.owner_of("hobart"))
            client = owner.client(fleet.token)
            appends, size, began = fleet.log.tail, fleet.log.appended_bytes, time.monotonic()
            spec = {
                "name": "check",
                "kind": "batch",
                "size": {"cpu_milli": 500, "memory_mb": 100},
                "tasks": TASKS_PER_JOB,
                "run_s": 0.1,
            }
            body = json.dumps(spec).encode()
            ids = [client.call("POST", "/v1/jobs", body).json()["job"] for _ in range(JOBS)]
            for job in ids:
                wait_until(lambda job=job: client.call("GET", f"/v1/jobs/{job}").json()["finished"])
            job_appends, job_bytes = fleet.log.tail - appends, fleet.log.appended_bytes - size
            seconds = time.monotonic() - began
            appends = fleet.log.tail
            once_s = []
            for number in range(NON_REPEATABLE_REQUESTS):
                headers = {"X-Repeatable": "false", "Idempotency-Key": f"once-{number}"}
                called = time.monotonic()
                client.call("POST", "/v1/requests", b"x", headers)
                once_s.append(time.monotonic() - called)
            return {
                "tasks": JOBS * TASKS_PER_JOB,
                "seconds": round(seconds, 2),
                "appends_per_s": round(job_appends / seconds, 2),
                "appends_per_task": round(job_appends / (JOBS * TASKS_PER_JOB), 4),
                "bytes_per_task": round(job_bytes / (JOBS * TASKS_PER_JOB), 1),
                "once_appends_per_request": round(
                    (fleet.log.tail - appends) / NON_REPEATABLE_REQUESTS, 3
                ),
                "once_mean_ms": round(1000 * sum(once_s) / NON_REPEATABLE_REQUESTS, 2),
            }
        finally:
            fleet.stop()


def _replay_s(jobs: int) -> float:
    """Returns the time in seconds in which a new replica reads a log with ``jobs`` jobs."""
    log = MemoryLog()
    document = to_plain(Environment("bench", (Team("crew", 1.0, Quota()),)))
    log.append(encode_entry(Entry("w", 1, (Promote(document, 0),))))
    spec = JobSpec("check", JobKind.BATCH, TaskSize(1, 1))
    for number in range(jobs):
        event = AcceptJob("hobart", Job(f"hobart-{number}", "crew", spec, 0.0))
        log.append(encode_entry(Entry("w", number + 2, (event,))))
    replica = Replica(log, SystemClock())
    began = time.perf_counter()
    replica.catch_up()
    return round(time.perf_counter() - began, 3)
