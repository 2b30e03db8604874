"""The platform's list of machines as a directory of targets."""

from __future__ import annotations

import json
import unittest
from unittest.mock import patch

from adapter.machines import MachineDirectory
from azurecleat_base import HttpClient, HttpResponse, Resources
from azurecleat_base.exceptions import TargetError

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

    # The target of such an entry counted as ended, or the thread that reads the list ended.
    def test_list_with_a_malformed_machine_is_not_complete(self) -> None:
        for machine in ([], "m-1", None, 7):
            with self.subTest(machine=machine), self.assertRaises(TargetError):
                list_targets(MACHINE, machine)

    def test_machine_that_is_down_runs_no_target(self) -> None:
        self.assertEqual(list_targets({**MACHINE, "state": "down"}), {})


if __name__ == "__main__":
    unittest.main()
