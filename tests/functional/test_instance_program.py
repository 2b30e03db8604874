"""Processes of ``platform/instance.py`` against a fake platform."""

from __future__ import annotations

import signal
import tempfile
import time
import unittest
from pathlib import Path

from tests.lib.fake_platform import FakePlatform
from tests.lib.instance_process import InstanceProcess, wait_for

JOB = {
    "spec": "payload",
    "steps": [
        {"count": 3, "cpu": 1000, "mem_mb": 100, "estimate_ms": 200},
        {"count": 2, "cpu": 2000, "mem_mb": 100, "estimate_ms": 200, "depends_on": [0]},
    ],
}


class InstanceProgramTest(unittest.TestCase):
    """Two instances, one of which owns the jobs."""

    def setUp(self) -> None:
        self.platform = FakePlatform()
        self.addCleanup(self.platform.close)
        self.platform.configure(1)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.instances = [self.start(f"n{number}") for number in range(2)]
        for instance in self.instances:
            wait_for(instance.is_ready, "an instance is ready")

    def start(self, node: str) -> InstanceProcess:
        instance = InstanceProcess(self.platform, self.folder, node)
        self.addCleanup(instance.kill)
        return instance

    def submit(self, number: int, instance: InstanceProcess) -> str:
        job = f"{number:016x}"
        self.platform.expect_job(job, JOB)
        self.assertEqual(instance.call("POST", f"/jobs/{job}", JOB)[0], 200)
        return job

    def wait_completed(self, job: str, instance: InstanceProcess) -> None:
        def is_completed() -> bool:
            return instance.call("GET", f"/jobs/{job}") == (200, {"state": "completed"})

        wait_for(is_completed, f"{job} is completed")

    def owner(self) -> InstanceProcess:
        def serving_instances() -> list[InstanceProcess]:
            return [
                each
                for each in self.instances
                if each.process.poll() is None
                and [event["name"] for event in each.events()].count("owner.serving")
                > [event["name"] for event in each.events()].count("owner.ended")
            ]

        wait_for(serving_instances, "an instance owns the jobs")
        return serving_instances()[0]

    def test_job_submitted_twice_runs_once_and_is_known_to_both_instances(self) -> None:
        first, second = self.instances
        job = self.submit(1, first)
        self.assertEqual(second.call("POST", f"/jobs/{job}", JOB)[0], 200)
        self.wait_completed(job, second)
        self.assertEqual(self.platform.checker.violations, [])
        self.assertEqual(first.call("GET", "/jobs/"), (200, {"pending": 0}))
        self.assertEqual(first.call("GET", f"/jobs/{99:016x}")[0], 410)

    def test_invalid_requests_and_revoked_keys_are_refused(self) -> None:
        first = self.instances[0]
        self.assertEqual(first.call("POST", f"/jobs/{1:016x}", JOB, key="other")[0], 401)
        self.assertEqual(first.call("POST", f"/none/{1:016x}", JOB)[0], 404)
        self.assertEqual(first.call("POST", "/jobs/short", JOB)[0], 400)
        for body in ({}, {"spec": "x", "steps": []}, {"spec": "x", "steps": [{"count": 0}]}):
            self.assertEqual(first.call("POST", f"/jobs/{1:016x}", body)[0], 400)
        self.platform.configure(2, keys=("new",))
        wait_for(
            lambda: first.call("GET", "/jobs/", key="key")[0] == 401,
            "the revoked key is refused",
            3.0,
        )
        self.assertEqual(first.call("GET", "/jobs/", key="new")[0], 200)

    def test_jobs_complete_after_the_owner_is_killed(self) -> None:
        owner = self.owner()
        other = next(each for each in self.instances if each is not owner)
        jobs = [self.submit(number, other) for number in range(5)]
        owner.kill()
        # Without job 7: tasks with index 2 of jobs whose ID ends with 7 always fail on the targets.
        jobs += [self.submit(number, other) for number in (5, 6, 8)]
        for job in jobs:
            self.wait_completed(job, other)
        self.assertEqual(self.platform.checker.violations, [])

    def test_owner_that_gets_sigterm_hands_over_within_two_seconds(self) -> None:
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
        self.assertEqual(self.platform.checker.violations, [])

    def test_jobs_are_refused_at_once_while_the_store_is_down(self) -> None:
        first = self.instances[0]
        self.platform.log.down = True
        wait_for(lambda: not first.is_ready(), "the instance is not ready", 4.0)
        began_at = time.monotonic()
        status, _ = first.call("POST", f"/jobs/{1:016x}", JOB)
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - began_at, 1.0)
        self.platform.log.down = False
        wait_for(first.is_ready, "the instance is ready again")
        self.wait_completed(self.submit(2, first), first)

    def test_changed_settings_are_reloaded_without_a_signal(self) -> None:
        first = self.instances[0]
        path = self.folder / f"{first.node}.toml"
        good = path.read_text(encoding="utf-8")
        for text, event in (("node = 3", "reload_refused"), (good + "#\n", "reloaded")):
            path.write_text(text, encoding="utf-8")
            wait_for(
                lambda event=event: any(
                    line["name"] == f"settings.{event}" for line in first.events()
                ),
                f"the settings are {event}",
                5.0,
            )
            self.wait_completed(self.submit(len(text) % 7 + 1, first), first)

    def test_unreadable_log_entries_do_not_stop_the_instance(self) -> None:
        first = self.instances[0]
        for value in (b"\xff\x00", b"[]", b'{"service": 3}', b'{"service":"pool","state":"odd"}'):
            self.platform.log.append("keyed.servers", [("i-bad", value)], 1.0)
            self.platform.log.append("keyed.op", [("config", value)], 1.0)
            self.platform.log.append("keyed.jobs", [("s/0000000000000bad", value)], 1.0)
        first.process.send_signal(signal.SIGHUP)
        self.wait_completed(self.submit(1, first), first)
        wait_for(
            lambda: any(event["name"] == "settings.reloaded" for event in first.events()),
            "the settings are read again",
        )
        self.assertIsNone(first.process.poll())


if __name__ == "__main__":
    unittest.main()
