"""A complete system in one process, with embedded fakes of the platform."""

from __future__ import annotations

import json
import time
from typing import NamedTuple

from azurecleat_fakes import FakeRunner, FakeWorker, MemoryInstanceList, MemoryLog
from azurecleat_model import (
    Environment,
    Quota,
    Resources,
    SystemClock,
    Team,
    generate_key,
    hash_token,
    to_plain,
)
from azurecleat_model.exceptions import AzurecleatError
from azurecleat_platform import RunnerClient, Target, TargetKind

from azurecleat_daemon._internal.application import Application
from azurecleat_daemon._internal.composition import wire
from azurecleat_daemon._internal.settings import EntrySettings, Timing

OPERATOR_TOKEN = "operator:standalone"
READY_TIMEOUT_S = 15.0
RUNNER_COUNT = 2
WORKER_COUNT = 4


class Standalone(NamedTuple):
    """A standalone system with a team's key and the operators' token."""

    application: Application
    key: str
    operator_token: str
    environment: Environment


def build_standalone(callers: str = "127.0.0.1:0") -> Standalone:
    """Creates a standalone system: two runners, four workers, a team and an open queue.

    :param callers: Address to serve callers at; port 0 selects a free port.
    """
    clock = SystemClock()
    history: list = []
    targets = _targets()
    clients: dict[str, RunnerClient] = {}
    for target in targets:
        if target.kind is TargetKind.WORKER:
            clients[target.name] = FakeWorker(target, clock, history)
        else:
            clients[target.name] = FakeRunner(target, clock, history, _echo)
    settings = EntrySettings(
        instance="entry-1",
        zone="local",
        callers=callers,
        peers="127.0.0.1:0",
        log="127.0.0.1:1",
        instances="127.0.0.1:1",
        partitions=("local",),
        operator_sha256=hash_token(OPERATOR_TOKEN),
        timing=Timing(lease_s=3.0, poll_s=0.2, list_s=0.5),
    )
    application = wire(
        settings,
        MemoryLog(),
        MemoryInstanceList(targets),
        lambda target: clients[target.name],
        clock,
    )
    token, key = generate_key("demo-1")
    team = Team("demo", 1.0, Quota(requests=64, tasks=1000), keys=(key,))
    teams = (team, Team("public", 1.0, open=True))
    return Standalone(application, token, OPERATOR_TOKEN, Environment("standalone", teams))


def start_standalone(standalone: Standalone) -> None:
    """Starts the system and waits until it serves.

    :raises AzurecleatError: The system did not become ready in time.
    """
    application = standalone.application
    application.start()
    application.dependencies.components.operators.promote(
        json.dumps(to_plain(standalone.environment)), 0
    )
    ends_at = time.monotonic() + READY_TIMEOUT_S
    while application.dependencies.components.partitions.local_owner("local") is None:
        if time.monotonic() > ends_at:
            raise AzurecleatError(
                "the standalone system did not become ready in time",
                step="standalone.start",
                hint="run with --log-level DEBUG to see what it waits for",
            )
        time.sleep(0.05)


def _targets() -> list[Target]:
    runners = [
        Target(f"runner-{i}", TargetKind.RUNNER, "local", "127.0.0.1:1", slots=8, connections=64)
        for i in range(RUNNER_COUNT)
    ]
    workers = [
        Target(
            f"worker-{i}",
            TargetKind.WORKER,
            "local",
            "127.0.0.1:1",
            rack=f"rack-{i // 2}",
            capacity=Resources(8000, 32_000, 1 if i == 0 else 0),
        )
        for i in range(WORKER_COUNT)
    ]
    return runners + workers


def _echo(body: bytes) -> bytes:
    return b"checked: " + body
