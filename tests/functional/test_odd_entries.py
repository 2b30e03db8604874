"""Processes of an instance while another writer leaves odd entries in the stream of targets."""

from __future__ import annotations

import http.client
import json
import tempfile
import time
import unittest
from pathlib import Path

from tests.lib.fake_platform import FakePlatform
from tests.lib.instance_process import InstanceProcess, wait_for
from tests.lib.odd_documents import (
    EXTREME_DEPTH,
    HUGE_NUMBERS,
    nested_values,
    odd_target_entries,
    with_field,
)

ENTRY = {
    "service": "pool",
    "address": "127.0.0.1:9",
    "zone": "z",
    "state": "ready",
    "born": 5,
    "remaining_ms": 0,
    "slots": 8,
    "seq": 1,
    "capacity": {"cpu": 16000, "mem_mb": 64000, "gpu": 0},
    "labels": ["a", "r1"],
}
WHOLE_TARGET = {"count": 4, "cpu": 16000, "mem_mb": 100, "estimate_ms": 200}
"""As many tasks as there are targets in the end; each needs a target of its own."""

OBSERVED_S = 4.0
"""How long the processes are observed: longer than a silent owner stays the owner."""


class OddEntriesTest(unittest.TestCase):
    """Two instances and three targets; a fourth target registers after the odd entries."""

    def setUp(self) -> None:
        self.platform = FakePlatform()
        self.addCleanup(self.platform.close)
        self.platform.configure(1)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.instances = []
        for number in range(2):
            instance = InstanceProcess(self.platform, Path(folder.name), f"n{number}")
            self.addCleanup(instance.kill)
            self.instances.append(instance)
        for instance in self.instances:
            wait_for(instance.is_ready, "an instance is ready")
        wait_for(lambda: self.names("owner.serving"), "an instance owns the jobs")

    def names(self, name: str) -> list[dict]:
        return [
            event for each in self.instances for event in each.events() if event["name"] == name
        ]

    def front(self, number: int) -> tuple[str, int]:
        return "127.0.0.1", self.instances[number].ports[0]

    def check_later_target_is_used(self, odd: list[tuple[str, bytes]]) -> None:
        for key, value in odd:
            self.platform.log.append("keyed.servers", [(key, value)], 1.0)
        later = self.platform.add_target()
        time.sleep(OBSERVED_S)
        self.assertEqual([each.process.poll() for each in self.instances], [None, None])
        job = f"{1:016x}"
        body = {"spec": "payload", "steps": [WHOLE_TARGET]}
        self.platform.expect_job(job, body)
        self.assertEqual(self.instances[0].call("POST", f"/jobs/{job}", body)[0], 200)
        wait_for(
            lambda: self.instances[1].call("GET", f"/jobs/{job}")[1].get("state") == "completed",
            "the job is completed",
        )
        self.assertIn(later, [event["target"] for event in self.names("run.started")])
        self.assertEqual(self.platform.checker.violations, [])
        changes = [
            event
            for name in ("owner.claimed", "owner.slow", "owner.ended", "component.failed")
            for event in self.names(name)
        ]
        self.assertEqual(len(self.names("owner.serving")), 1, f"the owner has changed: {changes}")
        targets = {event["target"] for event in self.names("target.added")}
        self.assertEqual(targets, set(self.platform.targets), "an odd entry names a target")
        self.assertEqual(self.names("target.gone"), [])

    # A value nested nearly as deeply as the parser allows ended each process that owned the jobs.
    def test_odd_entries_of_unknown_targets(self) -> None:
        odd = [(f"i-odd-{number}", value) for number, value in enumerate(odd_target_entries(ENTRY))]
        self.check_later_target_is_used(odd)

    # The entry of a target was replaced by one that nothing can run on.
    def test_odd_entries_under_the_id_of_a_known_target(self) -> None:
        self.check_later_target_is_used([("i-0", value) for value in odd_target_entries(ENTRY)])

    # A caller's job with a nested value ended the process that it was sent to.
    def test_odd_jobs_of_callers(self) -> None:
        good = {"spec": "payload", "steps": [{"count": 1, "cpu": 1, "image": "i"}]}
        odd = [
            with_field(good, path, text)
            for text in nested_values()
            for path in ("spec", "steps", "steps.0.cpu", "steps.0.image", "steps.0.count")
        ]
        odd += [
            with_field(good, path, number)
            for number in HUGE_NUMBERS
            for path in ("steps.0.count", "steps.0.cpu")
        ]
        odd += [b"\xff", b"[" * EXTREME_DEPTH]
        for number, body in enumerate(odd):
            connection = http.client.HTTPConnection(*self.front(0), timeout=5.0)
            headers = {"Host": "h.example", "Api-Key": "key"}
            connection.request("POST", f"/jobs/{number:016x}", body, headers)
            with self.subTest(body=body[:90]):
                self.assertEqual(connection.getresponse().status, 400)
            connection.close()
        self.check_later_target_is_used([])

    # A nested value ended all processes, as each of them reads the configuration.
    def test_odd_configurations(self) -> None:
        good = json.loads(self.platform.log.newest("keyed.op").records[0].value)
        paths = ("version", "routes", "routes.0.name", "routes.0.stretch", "tenants.0.api_keys")
        odd = [with_field(good, path, text) for text in nested_values() for path in paths]
        odd += [with_field(good, "version", number) for number in HUGE_NUMBERS]
        for value in odd:
            self.platform.log.append("keyed.op", [("config", value)], 1.0)
        self.platform.configure(2, keys=("key", "new"))
        wait_for(
            lambda: self.instances[0].call("GET", "/jobs/", key="new")[0] == 200,
            "the next version is in force",
        )
        self.check_later_target_is_used([])

    # The record of a target in use got a key longer than the log allows; writing progress ended.
    def test_ids_that_cannot_be_written_to_the_log_or_sent(self) -> None:
        value = with_address("127.0.0.1:9")
        names = ("x" * 255, "x" * 254, "\u00e9" * 127, "id with\nlines", "\x00", " ")
        self.check_later_target_is_used([(name, value) for name in names])


def with_address(address: str) -> bytes:
    return json.dumps(ENTRY | {"address": address}).encode()


if __name__ == "__main__":
    unittest.main()
