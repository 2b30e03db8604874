"""Real ``azurecleat-entry`` processes that run against fakes served by this process."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from azurecleat_cli._internal.client import ApiClient, ApiError, UnreachableError
from azurecleat_fakes import (
    FakeRunner,
    FakeWorker,
    MemoryInstanceList,
    MemoryLog,
    Observation,
    serve_instance_list,
    serve_log,
    serve_runner,
    serve_worker,
)
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
from azurecleat_platform import Target, TargetKind

OPERATOR_TOKEN = "operator:test"
LEASE_S = 2.0


def wait_until(condition: Callable[[], Any], timeout_s: float = 20.0) -> Any:
    """Polls a condition and returns its first true value.

    The timeout only ends a test that hangs; it is not part of any measurement.

    :raises AssertionError: The condition was not true within ``timeout_s``.
    """
    ends_at = time.monotonic() + timeout_s
    while time.monotonic() < ends_at:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError("the condition was not true before the timeout")


def free_port() -> int:
    """Returns a loopback port that is currently free."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


class EntryProcess:
    """An entry instance in a process of its own.

    :param settings: Settings of the instance, written to its settings file.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.process: subprocess.Popen | None = None

    @property
    def name(self) -> str:
        return self.settings["instance"]

    @property
    def caller_address(self) -> str:
        return self.settings["callers"]

    def start(self) -> None:
        """Starts the process."""
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            json.dump(self.settings, file)
        program = Path(sys.executable).with_name("azurecleat-entry")
        self.process = subprocess.Popen(
            [program, "--settings", file.name, "--log-level", "ERROR"],
            stdout=subprocess.DEVNULL,
            stderr=None if os.environ.get("AZURECLEAT_TEST_LOG") else subprocess.DEVNULL,
        )

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process, even if it is paused, and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def client(self, token: str) -> ApiClient:
        """Returns an HTTP client for this instance."""
        return ApiClient(self.caller_address, token, timeout_s=20.0)


class ProcessFleet:
    """Fake platform and entry processes of several availability zones.

    :param zones: Names of the zones; each has its own partition, runners and workers.
    :param entries: Number of entry instances per zone.
    :param limit: Fleet-wide limit of the team ``crew``.
    :param serve: Computes the runners' response to a request body.
    :param key_bound_s: Longest time in seconds for which a withdrawn key may still be admitted.
    :param timing: Timing settings that replace the short ones used here.
    :param targets_per_zone: Number of targets per zone, half of them runners, half workers.
    """

    def __init__(
        self,
        zones: tuple[str, ...] = ("hobart",),
        entries: int = 2,
        limit: Quota | None = None,
        serve: Callable[[bytes], bytes] = lambda body: b"checked: " + body,
        key_bound_s: float = 2.0,
        timing: dict[str, float] | None = None,
        targets_per_zone: int = 4,
    ) -> None:
        clock = SystemClock()
        self._timing = {
            "lease_s": LEASE_S,
            "key_bound_s": key_bound_s,
            "log_read_lag_s": 0.1,
            "poll_s": 0.2,
            "status_s": 0.4,
            "list_s": 0.3,
            **(timing or {}),
        }
        self.zones = zones
        self.history: list[Observation] = []
        self.log = MemoryLog()
        self.log_server = serve_log(self.log).start()
        self.workers: dict[str, FakeWorker] = {}
        self.runners: dict[str, FakeRunner] = {}
        self.servers = [self.log_server]
        targets = []
        for zone in zones:
            for index in range(targets_per_zone // 2):
                runner = FakeRunner(self._runner(zone, index), clock, self.history, serve)
                server = serve_runner(runner).start()
                targets.append(runner.target._replace(address=server.address))
                self.runners[runner.target.name] = runner
                self.servers.append(server)
                worker = FakeWorker(self._worker(zone, index), clock, self.history)
                server = serve_worker(worker).start()
                targets.append(worker.target._replace(address=server.address))
                self.workers[worker.target.name] = worker
                self.servers.append(server)
        self.instance_list = MemoryInstanceList(targets)
        self.list_server = serve_instance_list(self.instance_list).start()
        self.servers.append(self.list_server)
        self.entries = [
            EntryProcess(self._settings(zone, index)) for zone in zones for index in range(entries)
        ]
        self.token, key = generate_key("crew-1")
        teams = (
            Team("crew", 1.0, limit or Quota(), keys=(key,)),
            Team("public", 1.0, open=True),
        )
        self.environment = Environment("test", teams)

    def start(self) -> ProcessFleet:
        """Starts all entries, promotes the document and waits until each zone has an owner."""
        for entry in self.entries:
            entry.start()
        self.wait_ready(self.entries)
        self.promote(self.environment, 0)
        for entry in self.entries:
            wait_until(lambda entry=entry: (self.status(entry) or {"version": 0})["version"])
        for zone in self.zones:
            wait_until(lambda zone=zone: self.owner_of(zone))
        return self

    def stop(self) -> None:
        """Stops all entries and fakes."""
        for entry in self.entries:
            entry.kill()
        for server in self.servers:
            server.stop()

    def wait_ready(self, entries: list[EntryProcess]) -> None:
        """Waits until the entries report that they are ready."""
        for entry in entries:
            wait_until(lambda entry=entry: self._is_ready(entry))

    def promote(self, environment: Environment, base: int) -> None:
        """Promotes a document through the first entry; ``base`` is the version it replaces."""
        text = json.dumps(to_plain(environment)).encode()
        path = f"/v1/operator/environment/promote/{base}"
        self.entries[0].client(OPERATOR_TOKEN).call("POST", path, text)

    def owner_of(self, zone: str) -> EntryProcess | None:
        """Returns the entry that reports that it serves a zone's partition, or None."""
        for entry in self.entries:
            status = self.status(entry)
            if status and zone in status["serving"]:
                return entry
        return None

    def status(self, entry: EntryProcess) -> dict[str, Any] | None:
        """Returns the operator status of an entry, or None if the entry does not answer."""
        if entry.process is None or entry.process.poll() is not None:
            return None
        try:
            client = ApiClient(entry.caller_address, OPERATOR_TOKEN, timeout_s=1.0)
            return client.call("GET", "/v1/operator/status").json()
        except (ApiError, UnreachableError):
            return None

    def others(self, entry: EntryProcess) -> list[EntryProcess]:
        """Returns all entries except the given one."""
        return [other for other in self.entries if other is not entry]

    def resume_all(self) -> None:
        """Resumes all paused entries."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.signal(signal.SIGCONT)

    def _is_ready(self, entry: EntryProcess) -> bool:
        try:
            return entry.client("").call("GET", "/readyz").status == 200
        except (ApiError, UnreachableError):
            return False

    def _settings(self, zone: str, index: int) -> dict[str, Any]:
        return {
            "instance": f"{zone}-{index}",
            "zone": zone,
            "callers": f"127.0.0.1:{free_port()}",
            "peers": f"127.0.0.1:{free_port()}",
            "log": self.log_server.address,
            "instances": self.list_server.address,
            "partitions": [zone],
            "operator_sha256": hash_token(OPERATOR_TOKEN),
            "timing": self._timing,
        }

    @staticmethod
    def _runner(zone: str, index: int) -> Target:
        name = f"{zone}-runner-{index}"
        return Target(name, TargetKind.RUNNER, zone, "", f"{zone}-r{index}", slots=8)

    @staticmethod
    def _worker(zone: str, index: int) -> Target:
        capacity = Resources(8000, 32_000, 0)
        name = f"{zone}-worker-{index}"
        return Target(name, TargetKind.WORKER, zone, "", f"{zone}-r{index}", capacity)
