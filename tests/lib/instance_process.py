"""Starts and controls processes of ``platform/instance.py`` for tests."""

from __future__ import annotations

import http.client
import json
import os
import random
import socket
import subprocess
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from azurecleat_cluster import Features

from tests.lib.fake_platform import FakePlatform

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 20.0
PORTS = range(15_000, 30_000, 2)

_reservations: list[socket.socket] = []


def free_ports() -> list[int]:
    """Returns two free ports and the first of two free consecutive ports.

    The ports are below the ephemeral range, so that the system assigns them to no other process.
    They stay reserved until this process ends: no other call returns them, in any process.
    """
    while True:
        ports = random.sample(PORTS, 3)
        sockets = []
        try:
            for port in (*ports, ports[2] + 1):
                sockets.append(_reserve(port))
        except OSError:
            for each in sockets:
                each.close()
            continue
        _reservations.extend(sockets)
        return ports


def _reserve(port: int) -> socket.socket:
    """Binds a port for which a process with ``SO_REUSEADDR`` can still listen.

    :raises OSError: The port is in use or reserved.
    """
    reservation = socket.socket()
    try:
        reservation.bind(("127.0.0.1", port))
    except OSError:
        reservation.close()
        raise
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reservation


class InstanceProcess:
    """One process of an instance, and its log.

    :param ports: Ports for callers, for readiness and the first of two for other instances.
    :param addresses: See :meth:`FakePlatform.settings`.
    """

    def __init__(
        self,
        platform: FakePlatform,
        folder: Path,
        node: str,
        ports: list[int] | None = None,
        addresses: Mapping[str, str] | None = None,
    ) -> None:
        self.node = node
        self.ports = ports or free_ports()
        self._log_path = folder / f"{node}-{time.monotonic_ns()}.log"
        path = platform.write_settings(folder, node, self.ports, addresses)
        with self._log_path.open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "instance.py")],
                env={
                    **os.environ,
                    "AZURECLEAT_SETTINGS": str(path),
                    "AZURECLEAT_FEATURES": ",".join(Features._fields),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def call(
        self, method: str, path: str, body: Any = None, key: str = "key"
    ) -> tuple[int, dict[str, Any]]:
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[0], timeout=5.0)
        try:
            headers = {"Host": "h.example", "Api-Key": key, "X-Deadline-Ms": "3000"}
            payload = None if body is None else json.dumps(body)
            connection.request(method, path, payload, headers)
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        finally:
            connection.close()

    def is_ready(self) -> bool:
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[1], timeout=2.0)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def events(self) -> list[dict[str, Any]]:
        lines = self._log_path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()


def wait_for(condition: Any, what: str, timeout_s: float = TIMEOUT_S) -> None:
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not in time: {what}")
        time.sleep(0.05)
