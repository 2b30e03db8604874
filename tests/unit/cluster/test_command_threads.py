"""Threads that send commands: silent targets, the end of idle threads, and a limit of threads."""

from __future__ import annotations

import threading
import time
import unittest
from unittest import mock

from azurecleat_cluster._internal.owner.command_threads import CommandLane, CommandThreads

MAX_IN_FLIGHT = 3
TIMEOUT_S = 5.0


class CommandThreadsTest(unittest.TestCase):
    """Lanes that share threads."""

    def setUp(self) -> None:
        self.threads = CommandThreads(idle_s=0.05, min_threads=1)
        self.addCleanup(self.threads.close)
        self.answered = threading.Event()
        self.addCleanup(self.answered.set)

    def test_silent_targets_delay_no_other(self) -> None:
        # 100 of 3,000 targets lose their zone; all their lanes are full of unanswered commands.
        for _ in range(100):
            silent = CommandLane(self.threads, MAX_IN_FLIGHT)
            for _ in range(2 * MAX_IN_FLIGHT):
                silent.submit(self.answered.wait)
        sent = threading.Event()
        CommandLane(self.threads, MAX_IN_FLIGHT).submit(sent.set)
        self.assertTrue(sent.wait(TIMEOUT_S))
        self.assertLessEqual(self.threads.count, 100 * MAX_IN_FLIGHT + 1)

    def test_idle_threads_end(self) -> None:
        # 1,000 targets kept 3,000 threads after each had received a burst of commands.
        lanes = [CommandLane(self.threads, MAX_IN_FLIGHT) for _ in range(50)]
        for lane in lanes:
            lane.submit(self.answered.wait)
        self.answered.set()
        for lane in lanes:
            lane.join()
        deadline = time.monotonic() + TIMEOUT_S
        while self.threads.count > 1 and time.monotonic() < deadline:
            time.sleep(0.01)
        self.assertEqual(self.threads.count, 1)

    def test_command_is_sent_when_no_thread_can_be_started(self) -> None:
        # At the limit of threads, a stop was dropped and the task of a cancelled job ran on.
        lane, sent = CommandLane(self.threads, MAX_IN_FLIGHT), threading.Event()
        lane.submit(self.answered.wait)
        with mock.patch.object(threading.Thread, "start", side_effect=RuntimeError("limit")):
            CommandLane(self.threads, MAX_IN_FLIGHT).submit(sent.set)
        self.answered.set()
        self.assertTrue(sent.wait(TIMEOUT_S))

    def test_commands_are_sent_when_sessions_have_taken_all_threads(self) -> None:
        # 3,000 sessions took all threads before the first command: nothing was ever started.
        threads, sent = CommandThreads(min_threads=2), threading.Event()
        self.addCleanup(threads.close)
        threads.start()
        with mock.patch.object(threading.Thread, "start", side_effect=RuntimeError("limit")):
            CommandLane(threads, MAX_IN_FLIGHT).submit(self.answered.wait)
            CommandLane(threads, MAX_IN_FLIGHT).submit(sent.set)
        self.assertTrue(sent.wait(TIMEOUT_S))

    def test_end_of_a_session_does_not_wait_for_a_command_that_has_no_thread(self) -> None:
        # The owner's heartbeat would go on for ever, and nobody could claim.
        lane = CommandLane(CommandThreads(), MAX_IN_FLIGHT)
        with mock.patch.object(threading.Thread, "start", side_effect=RuntimeError("limit")):
            lane.submit(self.answered.wait)
        lane.close()
        began_at = time.monotonic()
        lane.join()
        self.assertLess(time.monotonic() - began_at, TIMEOUT_S)

    def test_closed_lane_drops_what_is_queued_and_finishes_what_is_in_flight(self) -> None:
        # A command sent after the session's end would act on a term that is over.
        lane, sent = CommandLane(self.threads, 1), threading.Event()
        lane.submit(self.answered.wait)
        lane.submit(sent.set)
        lane.close()
        lane.submit(sent.set)
        self.answered.set()
        lane.join()
        self.assertFalse(sent.is_set())


if __name__ == "__main__":
    unittest.main()
