"""Polls of the other members while some of them are silent."""

from __future__ import annotations

import random
import unittest

from azurecleat_coordination import Appender, Backoff, PeerStatus, Replica
from azurecleat_coordination.records import Join
from azurecleat_daemon._internal.membership import Membership
from azurecleat_daemon._internal.metrics import Metrics
from azurecleat_daemon._internal.settings import EntrySettings
from azurecleat_fakes import MemoryLog
from azurecleat_model import ManualClock
from azurecleat_model.exceptions import PeerAnswerLostError
from azurecleat_peers.messages import Message, StatusAnswer

ADDRESS = "127.0.0.1:1"
STEP_S = 0.5

MAX_GAP_S = 3.0
"""Longest time between two polls of a member that answers, below the 5 s after which its answer
proves nothing any more."""


class PartlySilentNetwork:
    """A network with members that let calls time out."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.silent: set[str] = set()
        self.called_at: dict[str, list[float]] = {}

    def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Answers a status query in the name of the member with that address."""
        self.called_at.setdefault(address, []).append(self._clock.monotonic())
        if address in self.silent:
            self._clock.advance(timeout_s)
            raise PeerAnswerLostError("no answer", step="peer.receive", peer=address)
        return StatusAnswer(PeerStatus(address, f"{address}#1", -1.0, 0, 0, (), True))


class PollTest(unittest.TestCase):
    """One instance and eleven other members, most of which are silent."""

    def setUp(self) -> None:
        self.clock, log = ManualClock(), MemoryLog()
        replica = Replica(log, self.clock)
        backoff = Backoff(0.001, 0.001, random.Random(1))
        appender = Appender(log, replica, self.clock, "own", backoff)
        self.names = [f"m{number:02}" for number in range(11)]
        for name in self.names:
            appender.commit(Join(name, f"{name}#1", name, "hobart"))
        self.network = PartlySilentNetwork(self.clock)
        settings = EntrySettings("own", "hobart", *[ADDRESS] * 4, ("hobart",))
        self.membership = Membership(
            settings, "own#1", replica, appender, self.network, self.clock, Metrics()
        )
        self.addCleanup(self.membership.close)

    def run_for(self, seconds: float) -> float:
        """Makes steps for a while; returns when it began."""
        began_at = self.clock.monotonic()
        while self.clock.monotonic() - began_at < seconds:
            self.membership.step()
            self.clock.advance(STEP_S)
        return began_at

    def gap_s(self, name: str, since: float) -> float:
        """Returns the longest time without a poll of a member."""
        times = [at for at in self.network.called_at[name] if at >= since]
        return max(after - before for before, after in zip([since, *times], times, strict=False))

    # Each round of polls took a second for each silent member. With eight of them, the others were
    # polled every 8.5 s, while an answer proves something for 5 s.
    def test_silent_members_do_not_delay_the_polls_of_the_others(self) -> None:
        self.network.silent = set(self.names[:8])
        self.run_for(30.0)
        since = self.run_for(60.0)
        for name in self.names[8:]:
            self.assertLessEqual(self.gap_s(name, since), MAX_GAP_S)

    # Guards against a member that is never found to be back, as others are polled instead.
    def test_silent_members_are_polled_in_turn_and_found_at_once_when_back(self) -> None:
        self.network.silent = set(self.names[:8])
        self.run_for(30.0)
        since = self.run_for(60.0)
        for name in self.names[:8]:
            self.assertLessEqual(self.gap_s(name, since), 2 * len(self.network.silent))
        self.network.silent = set()
        self.run_for(MAX_GAP_S)
        self.assertTrue(all(self.membership.is_alive(name) for name in self.names))


if __name__ == "__main__":
    unittest.main()
