"""Two processes, one of which is cut off from the store."""

from __future__ import annotations

import http.client
import json
import tempfile
import time
import unittest
from pathlib import Path

from tests.functional.test_instance_program import JOB
from tests.lib.fake_platform import FakePlatform
from tests.lib.instance_process import InstanceProcess, wait_for
from tests.soak.tcp_proxy import TcpProxy


class RelayTest(unittest.TestCase):
    """Instance ``n0`` reaches the store through a proxy; ``n1``, which owns the jobs, directly."""

    def setUp(self) -> None:
        self.platform = FakePlatform()
        self.addCleanup(self.platform.close)
        self.platform.configure(1)
        self.proxy = TcpProxy(self.platform.store_address)
        self.addCleanup(self.proxy.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.instances = []
        for node, addresses in (("n1", {}), ("n0", {"store": self.proxy.address})):
            instance = InstanceProcess(self.platform, Path(folder.name), node, None, addresses)
            self.addCleanup(instance.kill)
            self.instances.append(instance)
            wait_for(instance.is_ready, "an instance is ready")
            time.sleep(0.5)  # The first instance announces itself before the second one starts.

    def relay_states(self) -> list[str]:
        events = self.instances[1].events()
        return [event["state"] for event in events if event["name"] == "relay.state"]

    # Guards against calls that are refused by an instance without the log although another one
    # could serve them, and against callers that stay with an instance that nobody reaches.
    def test_cut_off_instance_serves_through_the_other_one(self) -> None:
        other, cut_off = self.instances
        self.proxy.cut()
        wait_for(lambda: "fresh" in self.relay_states(), "the relay works")
        time.sleep(4.0)  # Longer than the own view may admit keys.
        self.assertFalse(cut_off.is_ready())
        job = f"{1:016x}"
        self.platform.expect_job(job, JOB)
        began_at = time.monotonic()
        self.assertEqual(cut_off.call("POST", f"/jobs/{job}", JOB)[0], 200)
        self.assertLess(time.monotonic() - began_at, 1.0)
        self.assertEqual(cut_off.call("POST", f"/jobs/{job}", JOB, key="other")[0], 401)

        def is_completed() -> bool:
            return cut_off.call("GET", f"/jobs/{job}") == (200, {"state": "completed"})

        wait_for(is_completed, "the job is completed")
        other.kill()
        wait_for(lambda: self.relay_states()[-1] == "no peer answers", "the instance is isolated")
        time.sleep(2.0)
        connection = http.client.HTTPConnection("127.0.0.1", cut_off.ports[0], timeout=5.0)
        self.addCleanup(connection.close)
        headers = {"Host": "h.example", "Api-Key": "key"}
        connection.request("POST", f"/jobs/{2:016x}", json.dumps(JOB), headers)
        response = connection.getresponse()
        hint = (response.status, response.headers["Retry-After"], response.headers["Connection"])
        self.assertEqual(hint, (503, "0", "close"))
        self.assertEqual(self.platform.checker.violations, [])


if __name__ == "__main__":
    unittest.main()
