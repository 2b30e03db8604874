"""``./dev demo``: calls the standalone system through its HTTP API, as a caller does."""

from __future__ import annotations

import json
import sys
import time
from typing import Any

from azurecleat_daemon._internal.main import configure_logging
from azurecleat_daemon._internal.standalone import build_standalone, start_standalone

from azurecleat_cli._internal.client import ApiClient, ApiError

WAIT_S = 20.0

JOBS: list[dict[str, Any]] = [
    {
        "name": "route-review",
        "kind": "batch",
        "size": {"cpu_milli": 1000, "memory_mb": 2000},
        "tasks": 6,
        "run_s": 0.4,
    },
    {
        "name": "schedule-build",
        "kind": "all-at-once",
        "size": {"cpu_milli": 2000, "memory_mb": 4000},
        "tasks": 4,
        "run_s": 0.4,
        "repeatable": False,
    },
    {
        "name": "traction-feed",
        "kind": "service",
        "size": {"cpu_milli": 500, "memory_mb": 500},
        "tasks": 2,
    },
    {
        "name": "oversized",
        "kind": "batch",
        "size": {"cpu_milli": 900_000, "memory_mb": 500},
    },
]


class Counts:
    """Counts that the demo prints at its end."""

    def __init__(self) -> None:
        self.requests_done = 0
        self.tasks_done = 0
        self.refused = 0


def main() -> int:
    """Runs the demo and returns its exit code."""
    configure_logging("WARNING")
    began_at = time.monotonic()
    standalone = build_standalone()
    start_standalone(standalone)
    address = standalone.application.callers_address
    print(f"azurecleat listens for callers at {address}")
    counts = Counts()
    try:
        _run_calls(ApiClient(address, standalone.key), ApiClient(address, "no:key"), counts)
    finally:
        standalone.application.stop()
    seconds = round(time.monotonic() - began_at, 2)
    print(json.dumps({**vars(counts), "seconds": seconds}))
    return 0


def _run_calls(client: ApiClient, keyless_client: ApiClient, counts: Counts) -> None:
    answer = client.call("POST", "/v1/requests", b"pit 7")
    counts.requests_done += 1
    print(f"request 'pit 7'      -> {answer.body.decode()!r}")
    once = {"X-Repeatable": "false", "Idempotency-Key": "invoice-1"}
    answer = client.call("POST", "/v1/requests", b"invoice 1", once)
    counts.requests_done += 1
    print(f"request once         -> {answer.body.decode()!r}")
    _print_refusal(client, "same request again  ", "/v1/requests", b"invoice 1", once, counts)
    _print_refusal(keyless_client, "request, no key     ", "/v1/requests", b"pit 8", {}, counts)
    ids = {}
    for job in JOBS:
        body = json.dumps(job).encode()
        try:
            ids[job["name"]] = client.call("POST", "/v1/jobs", body).json()["job"]
            print(f"{job['kind']:<12} job     -> accepted as {ids[job['name']]}")
        except ApiError as error:
            counts.refused += 1
            print(f"{job['kind']:<12} job     -> refused: {error.problem['detail']}")
    _wait_for_jobs(client, ids, counts)


def _print_refusal(
    client: ApiClient, label: str, path: str, body: bytes, headers: dict[str, str], counts: Counts
) -> None:
    """Sends a request that is meant to be refused; counts and prints the refusal."""
    try:
        client.call("POST", path, body, headers)
    except ApiError as error:
        counts.refused += 1
        print(f"{label} -> refused: {error.problem['code']}, ran: {error.problem['ran']}")


def _wait_for_jobs(client: ApiClient, ids: dict[str, str], counts: Counts) -> None:
    ends_at = time.monotonic() + WAIT_S
    waiting = {name: job for name, job in ids.items() if name != "traction-feed"}
    while waiting and time.monotonic() < ends_at:
        time.sleep(0.2)
        for name, job_id in list(waiting.items()):
            state = client.call("GET", f"/v1/jobs/{job_id}").json()
            if state["finished"]:
                counts.tasks_done += state["done"]
                print(f"job {name:<16} -> {state['done']} of {state['tasks']} tasks done")
                del waiting[name]
    service = client.call("GET", f"/v1/jobs/{ids['traction-feed']}/why").json()
    print(f"service traction-feed -> {service['why']['running_tasks']} tasks running")


if __name__ == "__main__":
    sys.exit(main())
