"""Entry processes that are killed, paused, stopped and cut off from the log."""

from __future__ import annotations

import json
import signal
import threading
import time
import unittest

from azurecleat_bench._internal.processes import (
    LEASE_S,
    OPERATOR_TOKEN,
    EntryProcess,
    ProcessFleet,
    wait_until,
)
from azurecleat_cli._internal.client import ApiClient, ApiError, UnreachableError
from azurecleat_fakes import Faults

ZONES = ("burnie", "hobart")
JOB = {
    "name": "review",
    "kind": "batch",
    "size": {"cpu_milli": 1000, "memory_mb": 100},
    "tasks": 12,
    "run_s": 0.6,
}


def serve(body: bytes) -> bytes:
    """Answers a request at a runner; a body that begins with ``slow`` takes 1.5 s."""
    if body.startswith(b"slow"):
        time.sleep(1.5)
    return b"checked: " + body


class ProcessesTest(unittest.TestCase):
    """Each test has its own fleet of two zones, with two entry instances per zone."""

    def setUp(self) -> None:
        self.fleet = ProcessFleet(ZONES, 2, serve=serve)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def client(self, entry: EntryProcess) -> ApiClient:
        return entry.client(self.fleet.token)

    def serves_requests(self, entry: EntryProcess) -> bool:
        try:
            answer = self.client(entry).call("POST", "/v1/requests", b"hello")
        except (ApiError, UnreachableError):
            return False
        return answer.body == b"checked: hello"

    def refuses_key(self, entry: EntryProcess) -> bool:
        try:
            self.client(entry).call("POST", "/v1/requests", b"x")
        except ApiError as error:
            return error.problem["code"] in ("unauthorized", "keys-not-fresh")
        return False

    def test_killed_owner_is_replaced_and_its_job_finishes(self) -> None:
        owner = wait_until(lambda: self.fleet.owner_of("hobart"))
        job = self.client(owner).call("POST", "/v1/jobs", json.dumps(JOB).encode()).json()["job"]
        wait_until(lambda: any(w.running for w in self.fleet.workers.values()))
        owner.kill()
        other = next(e for e in self.fleet.others(owner) if e.settings["zone"] == "hobart")
        wait_until(lambda: self.fleet.owner_of("hobart") is other)

        def finished() -> bool:
            return self.client(other).call("GET", f"/v1/jobs/{job}").json()["done"] == 12

        wait_until(finished)
        done = [o.subject for o in self.fleet.history if o.event == "done"]
        self.assertEqual(len({name.rpartition(".")[0] for name in done}), 12)

    def test_owner_paused_beyond_its_lease_is_replaced_and_stops_serving(self) -> None:
        owner = wait_until(lambda: self.fleet.owner_of("hobart"))
        self.addCleanup(self.fleet.resume_all)
        owner.signal(signal.SIGSTOP)
        other = next(e for e in self.fleet.others(owner) if e.settings["zone"] == "hobart")
        wait_until(lambda: "hobart" in (self.fleet.status(other) or {"serving": ()})["serving"])
        owner.signal(signal.SIGCONT)
        wait_until(
            lambda: "hobart" not in (self.fleet.status(owner) or {"serving": "hobart"})["serving"]
        )
        wait_until(lambda: self.serves_requests(owner))
        self.assertFalse([o for o in self.fleet.history if o.event == "overload"])

    def test_sigterm_loses_no_request_in_progress(self) -> None:
        owner = wait_until(lambda: self.fleet.owner_of("hobart"))
        results: list[bytes] = []

        def request(number: int) -> None:
            body = b"slow %d" % number
            results.append(self.client(owner).call("POST", "/v1/requests", body).body)

        threads = [threading.Thread(target=request, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        wait_until(lambda: sum(len(r.in_progress) for r in self.fleet.runners.values()) == 6)
        owner.signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(results), [b"checked: slow %d" % n for n in range(6)])
        self.assertEqual(owner.process.wait(20), 0)
        wait_until(lambda: self.fleet.owner_of("hobart"))

    def test_withdrawn_key_is_refused_by_every_instance(self) -> None:
        for entry in self.fleet.entries:
            wait_until(lambda entry=entry: self.serves_requests(entry))
        operator = self.fleet.entries[0].client(OPERATOR_TOKEN)
        result = operator.call("DELETE", "/v1/operator/keys/crew-1").json()
        self.assertTrue(result["in_force"])
        for entry in self.fleet.entries:
            wait_until(lambda entry=entry: self.refuses_key(entry))

    def test_keys_work_and_withdrawals_reach_all_instances_without_the_log(self) -> None:
        for entry in self.fleet.entries:
            wait_until(lambda entry=entry: self.serves_requests(entry))
        # During the outage, instances confirm to each other that the keys they know are fresh.
        self.fleet.log.faults = Faults(down=True)
        key_proofs = lambda: {  # noqa: E731
            (self.fleet.status(entry) or {"proof": ""})["proof"] for entry in self.fleet.entries
        }
        wait_until(lambda: key_proofs() == {"peers"})
        for entry in self.fleet.entries:
            self.assertTrue(
                self.serves_requests(entry), f"{entry.name} does not serve during the log outage"
            )
        operator = self.fleet.entries[-1].client(OPERATOR_TOKEN)
        result = operator.call("DELETE", "/v1/operator/keys/crew-1").json()
        self.assertEqual((result["recorded"], result["in_force"]), (False, True), result)
        for entry in self.fleet.entries:
            self.assertTrue(self.refuses_key(entry), f"{entry.name} accepts the withdrawn key")
        self.fleet.log.faults = Faults()
        wait_until(lambda: self.fleet.status(self.fleet.entries[0])["proof"] == "log")
        shown = operator.call("GET", "/v1/operator/environment").json()
        self.assertIn("crew-1", shown["withdrawn"])

    def test_leaving_runner_gets_no_new_requests(self) -> None:
        wait_until(lambda: self.serves_requests(self.fleet.entries[0]))
        leaving_runner = "burnie-runner-0"
        targets = [
            t._replace(leaving=t.name == leaving_runner) for t in self.fleet.instance_list.targets()
        ]
        self.fleet.instance_list.set_targets(targets)
        time.sleep(2 * LEASE_S)
        since = time.clock_gettime(time.CLOCK_BOOTTIME)
        for _ in range(30):
            self.serves_requests(self.fleet.entries[0])
        late_observations = [
            o for o in self.fleet.history if o.target == leaving_runner and o.at > since
        ]
        self.assertEqual([o for o in late_observations if o.event == "run"], [])


if __name__ == "__main__":
    unittest.main()
