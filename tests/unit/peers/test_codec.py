"""Tests of the message encoding: round trips, and rejection of invalid bytes."""

from __future__ import annotations

import random
import unittest

from azurecleat_coordination import PeerStatus
from azurecleat_model import Quota
from azurecleat_model.exceptions import FrameError
from azurecleat_peers import messages as m

MESSAGES = [
    m.Hello("a", "1", "hobart"),
    m.Status("a", "1"),
    m.StatusAnswer(PeerStatus("a", "1", -1.0, 7, 8, ("k1", "k2"), True)),
    m.Withdraw("k1"),
    m.RunRequest("hobart", "r1", "crew", bytes(range(256)), 1.5, False, "key"),
    m.RunAnswer(b"\0" * 1000),
    m.Operation("hobart", "submit", "crew", "hobart-1", '{"a": 1}'),
    m.OperationAnswer("{}"),
    m.RefusalAnswer("deadline", "too late", "not-run", -1.0),
    m.Unsupported(),
    m.LimitRequest("hobart", "burnie", "crew", Quota(1, 2, 3, 4, 5), 2.5),
    m.Goodbye("a", "1"),
    m.NewEntriesNotification(),
    m.Acknowledged(),
    m.FetchConfiguration(),
    m.ConfigurationAnswer(b"{}"),
]


class CodecTest(unittest.TestCase):
    """Encoding and decoding of messages."""

    def test_round_trip_of_every_message(self) -> None:
        for message in MESSAGES:
            with self.subTest(message=message):
                envelope = m.Envelope(77, message)
                self.assertEqual(m.decode(m.encode(envelope)), envelope)

    def test_corrupted_frame_raises_no_error_but_frame_error(self) -> None:
        rng = random.Random(5)
        for message in MESSAGES:
            data = bytearray(m.encode(m.Envelope(1, message)))
            for _ in range(40):
                corrupted = bytearray(data)
                corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
                try:
                    m.decode(bytes(corrupted))
                except FrameError as error:
                    self.assertEqual(error.step, "peer.decode")

    def test_invalid_bytes_are_rejected(self) -> None:
        with self.assertRaises(FrameError):
            m.decode(b"\xff" * 50)


if __name__ == "__main__":
    unittest.main()
