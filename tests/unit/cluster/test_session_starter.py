"""Start of the sessions of 300 and 3,000 targets, some of which do not answer."""

from __future__ import annotations

import unittest

from azurecleat_cluster._internal.owner.session_starter import (
    FREE_STARTS,
    MAX_UNANSWERED,
    MAX_WAIT_S,
    SessionStarter,
)


class SessionStarterTest(unittest.TestCase):
    """The order and the number of starts."""

    def setUp(self) -> None:
        self.starter = SessionStarter()

    def add(self, count: int, is_first: bool = False) -> list[str]:
        names = [f"{'r' if is_first else 't'}{number}" for number in range(count)]
        for name in names:
            self.starter.add(name, is_first)
        return names

    def test_few_hundred_start_at_once(self) -> None:
        # A zone of a site of 350 targets is lost: its sessions must not delay the others.
        names = self.add(FREE_STARTS)
        self.assertEqual(self.starter.take(0.0), names)
        self.assertFalse(self.starter.has_waiting)

    def test_many_start_as_earlier_ones_answer(self) -> None:
        # 3,000 sessions at once stopped the appends for 4.3 s.
        self.add(3000)
        started = self.starter.take(0.0)
        self.assertEqual(len(started), FREE_STARTS)
        for name in started[: FREE_STARTS - MAX_UNANSWERED + 5]:
            self.starter.note_answered(name)
        self.assertEqual(len(self.starter.take(0.1)), 5)

    def test_recorded_targets_go_first(self) -> None:
        # Tasks of cancelled jobs run on there until the new owner reaches them.
        self.add(3000)
        recorded = self.add(50, is_first=True)
        self.assertEqual(self.starter.take(0.0)[:50], recorded)

    def test_targets_without_an_answer_do_not_hold_up_the_others(self) -> None:
        self.add(3000)
        self.starter.take(0.0)
        self.assertEqual(self.starter.take(MAX_WAIT_S * 0.9), [])
        self.assertEqual(len(self.starter.take(MAX_WAIT_S)), MAX_UNANSWERED)

    def test_ended_and_repeated_targets(self) -> None:
        # A target that restarts while its session waits must not be started twice.
        names = self.add(FREE_STARTS + 2)
        self.starter.take(0.0)
        self.starter.remove(names[-1])
        self.starter.add(names[-2], is_first=True)
        self.assertEqual(self.starter.take(MAX_WAIT_S), [names[-2]])
        self.assertEqual(self.starter.take(3 * MAX_WAIT_S), [])


if __name__ == "__main__":
    unittest.main()
