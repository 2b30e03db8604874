"""The platform's list of machines as a directory of targets."""

from __future__ import annotations

import json
import unittest
from unittest.mock import patch

from adapter.machines import MachineDirectory
from azurecleat_base import HttpClient, HttpResponse, Resources

MACHINE = {"machine": "m-1", "pool": "p", "state": "up", "id": "i-1"}
CAPACITY = {"cpu": 2000, "mem_mb": 4000, "gpu": 1}


def list_targets(*machines: dict) -> dict[str, Resources | None]:
    body = json.dumps({"machines": machines, "next_token": None}).encode()
    with patch.object(
        HttpClient, "call", lambda *arguments, **options: HttpResponse(200, body, {})
    ):
        return MachineDirectory("127.0.0.1:1").live_incarnations()


class MachineListTest(unittest.TestCase):
    """Entries of the list."""

    def test_capacity_is_read(self) -> None:
        listed = list_targets({**MACHINE, "capacity": CAPACITY})
        self.assertEqual(listed, {"i-1": Resources(2000, 4000, 1)})

    # A malformed entry must neither end the reading nor hide a target that exists.
    def test_malformed_capacity_is_unknown(self) -> None:
        for capacity in (None, {}, [], "64", {"cpu": "many"}, {"cpu": -1}, {"cpu": True}):
            with self.subTest(capacity=capacity):
                self.assertEqual(list_targets({**MACHINE, "capacity": capacity}), {"i-1": None})

    def test_machine_that_is_down_runs_no_target(self) -> None:
        self.assertEqual(list_targets({**MACHINE, "state": "down"}), {})


if __name__ == "__main__":
    unittest.main()
