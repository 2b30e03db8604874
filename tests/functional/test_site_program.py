"""The program for the users' platform, as real processes against a stand-in of the platform."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from tests.lib.site_standin import Site

ROOT = Path(__file__).resolve().parents[2]
JOB = {
    "spec": "payload",
    "steps": [
        {"count": 3, "cpu": 1000, "mem_mb": 100, "estimate_ms": 200},
        {"count": 2, "cpu": 2000, "mem_mb": 100, "estimate_ms": 200, "depends_on": [0]},
    ],
}
TIMEOUT_S = 20.0


def free_ports() -> list[int]:
    """Returns two free ports, and the first of two neighbouring ones."""
    while True:
        sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
        ports = [each.getsockname()[1] for each in sockets]
        try:
            sockets.append(socket.create_server(("127.0.0.1", ports[2] + 1)))
            return ports
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()


class Instance:
    """One process of the program."""

    def __init__(self, site: Site, folder: Path, node: str) -> None:
        self._ports = free_ports()
        self._log_path = folder / f"{node}-{time.monotonic_ns()}.log"
        path = site.write_settings(folder, node, self._ports)
        with self._log_path.open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "instance.py")],
                env={**os.environ, "AZURECLEAT_SETTINGS": str(path)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def call(
        self, method: str, path: str, body: Any = None, key: str = "key"
    ) -> tuple[int, dict[str, Any]]:
        connection = http.client.HTTPConnection("127.0.0.1", self._ports[0], timeout=5.0)
        try:
            headers = {"Host": "h.example", "Api-Key": key, "X-Deadline-Ms": "3000"}
            payload = None if body is None else json.dumps(body)
            connection.request(method, path, payload, headers)
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        finally:
            connection.close()

    def is_ready(self) -> bool:
        connection = http.client.HTTPConnection("127.0.0.1", self._ports[1], timeout=2.0)
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


class SiteProgramTest(unittest.TestCase):
    """Whole paths through two instances."""

    def setUp(self) -> None:
        self.site = Site()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.instances = [self.start(f"n{number}") for number in range(2)]
        for instance in self.instances:
            wait_for(instance.is_ready, "an instance is ready")

    def start(self, node: str) -> Instance:
        instance = Instance(self.site, self.folder, node)
        self.addCleanup(instance.kill)
        return instance

    def submit(self, number: int, instance: Instance) -> str:
        job = f"{number:016x}"
        self.site.promise(job, JOB)
        self.assertEqual(instance.call("POST", f"/jobs/{job}", JOB)[0], 200)
        return job

    def wait_completed(self, job: str, instance: Instance) -> None:
        def completed() -> bool:
            return instance.call("GET", f"/jobs/{job}") == (200, {"state": "completed"})

        wait_for(completed, f"{job} is completed")

    def owner(self) -> Instance:
        def serving() -> list[Instance]:
            return [
                each
                for each in self.instances
                if each.process.poll() is None
                and [event["name"] for event in each.events()].count("owner.serving")
                > [event["name"] for event in each.events()].count("owner.ended")
            ]

        wait_for(serving, "an instance owns the jobs")
        return serving()[0]

    def test_a_job_is_run_once_and_told_everywhere(self) -> None:
        first, second = self.instances
        job = self.submit(1, first)
        self.assertEqual(second.call("POST", f"/jobs/{job}", JOB)[0], 200)
        self.wait_completed(job, second)
        self.assertEqual(self.site.checker.broken, [])
        self.assertEqual(first.call("GET", "/jobs/"), (200, {"pending": 0}))
        self.assertEqual(first.call("GET", f"/jobs/{99:016x}")[0], 410)

    def test_what_is_not_allowed_is_refused(self) -> None:
        first = self.instances[0]
        self.assertEqual(first.call("POST", f"/jobs/{1:016x}", JOB, key="other")[0], 401)
        self.assertEqual(first.call("POST", f"/none/{1:016x}", JOB)[0], 404)
        self.assertEqual(first.call("POST", "/jobs/short", JOB)[0], 400)
        for body in ({}, {"spec": "x", "steps": []}, {"spec": "x", "steps": [{"count": 0}]}):
            self.assertEqual(first.call("POST", f"/jobs/{1:016x}", body)[0], 400)
        self.site.configure(2, keys=("new",))
        wait_for(
            lambda: first.call("GET", "/jobs/", key="key")[0] == 401, "the key is withdrawn", 3.0
        )
        self.assertEqual(first.call("GET", "/jobs/", key="new")[0], 200)

    def test_jobs_go_on_when_the_owner_is_killed(self) -> None:
        owner = self.owner()
        other = next(each for each in self.instances if each is not owner)
        jobs = [self.submit(number, other) for number in range(5)]
        owner.kill()
        # Jobs whose number ends with 7 are poisoned on these targets.
        jobs += [self.submit(number, other) for number in (5, 6, 8)]
        for job in jobs:
            self.wait_completed(job, other)
        self.assertEqual(self.site.checker.broken, [])

    def test_a_stopping_owner_hands_over_at_once(self) -> None:
        owner = self.owner()
        other = next(each for each in self.instances if each is not owner)
        job = self.submit(1, other)
        began_at = time.monotonic()
        owner.process.send_signal(signal.SIGTERM)
        wait_for(
            lambda: any(event["name"] == "owner.serving" for event in other.events()),
            "the other instance owns the jobs",
            2.0,
        )
        self.assertEqual(owner.process.wait(timeout=6.0), 0)
        self.assertLess(time.monotonic() - began_at, 6.0)
        self.wait_completed(job, other)
        self.assertEqual(self.site.checker.broken, [])

    def test_a_store_that_is_away_is_told_at_once(self) -> None:
        first = self.instances[0]
        self.site.log.down = True
        wait_for(lambda: not first.is_ready(), "the instance is not ready", 4.0)
        began_at = time.monotonic()
        status, _ = first.call("POST", f"/jobs/{1:016x}", JOB)
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - began_at, 1.0)
        self.site.log.down = False
        wait_for(first.is_ready, "the instance is ready again")
        self.wait_completed(self.submit(2, first), first)

    def test_bad_entries_and_settings_end_nothing(self) -> None:
        first = self.instances[0]
        for value in (b"\xff\x00", b"[]", b'{"service": 3}', b'{"service":"pool","state":"odd"}'):
            self.site.log.append("keyed.servers", [("i-bad", value)], 1.0)
            self.site.log.append("keyed.op", [("config", value)], 1.0)
            self.site.log.append("keyed.jobs", [("s/0000000000000bad", value)], 1.0)
        first.process.send_signal(signal.SIGHUP)
        self.wait_completed(self.submit(1, first), first)
        wait_for(
            lambda: any(event["name"] == "settings.reloaded" for event in first.events()),
            "the settings are read again",
        )
        self.assertIsNone(first.process.poll())


if __name__ == "__main__":
    unittest.main()
