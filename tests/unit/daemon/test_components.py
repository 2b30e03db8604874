"""Tests of the components of an instance that need no server."""

from __future__ import annotations

import unittest

from azurecleat_bench._internal.faults.simulation import Simulation
from azurecleat_peers.messages import (
    Acknowledged,
    Goodbye,
    RefusalAnswer,
    RunAnswer,
    RunRequest,
    Status,
    StatusAnswer,
    Unsupported,
    Withdraw,
)


class HandleTest(unittest.TestCase):
    """Dispatch of peers' messages to the component that answers them."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.simulation = Simulation(1)
        cls.simulation.start()
        cls.components = cls.simulation.nodes["hobart-0"].components

    def test_each_message_type_gets_its_answer_type(self) -> None:
        cases = [
            (Withdraw("nobody"), Acknowledged),
            (Goodbye("nobody", "1"), Acknowledged),
            (Status("hobart-1", "1"), StatusAnswer),
            (RunRequest("nowhere", "r", "crew", b"", 1.0, True, ""), RefusalAnswer),
            (RunAnswer(b""), Unsupported),
        ]
        for message, kind in cases:
            with self.subTest(message=message):
                self.assertIsInstance(self.components.handle(message), kind)

    def test_forwarded_request_is_not_forwarded_again(self) -> None:
        owners = [
            n
            for n in self.simulation.nodes.values()
            if n.components.partitions.local_owner("hobart")
        ]
        others = [n for n in self.simulation.nodes.values() if n not in owners]
        message = RunRequest("hobart", "r", "crew", b"", 1.0, True, "")
        for node in others:
            answer = node.components.handle(message)
            self.assertEqual((answer.code, answer.ran), ("not-owner", "not-run"))


if __name__ == "__main__":
    unittest.main()
