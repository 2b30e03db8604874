"""Owners on machines that become slow."""

from __future__ import annotations

import unittest
from unittest.mock import Mock, patch

from azurecleat_base import ManualClock
from azurecleat_cluster import Features
from azurecleat_cluster._internal.owner import service
from azurecleat_cluster._internal.owner.machine_speed import (
    RECENT_COUNT,
    SLOW_FACTOR,
    SpeedMonitor,
    measure_work_s,
)
from azurecleat_cluster._internal.owner.service import SLOW_CLAIM_DELAY_S, OwnerService
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster._internal.replica.records import (
    INSTANCE,
    Claim,
    InstanceEntry,
    claim_key,
    encode_claim,
    encode_instance,
)
from azurecleat_cluster.ports import LogRecord

USUAL_S = 0.0001


class SpeedMonitorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.monitor = SpeedMonitor()
        for _ in range(20):
            self.monitor.note(USUAL_S)

    def note(self, *factors: float) -> bool:
        for factor in factors:
            self.monitor.note(USUAL_S * factor)
        return self.monitor.is_slow

    def test_machine_that_stays_slow_for_a_second_is_slow(self) -> None:
        self.assertFalse(self.note(*[5.0] * (RECENT_COUNT - 1)))
        self.assertTrue(self.note(5.0))
        self.assertTrue(self.note(*[5.0] * 500), "a slow time does not become the usual one")
        self.assertFalse(self.note(1.0))

    # A busy owner's threads interrupt some measurements.
    def test_single_slow_measurements_do_not_count(self) -> None:
        self.assertFalse(self.note(*[9.0, 9.0, 9.0, 1.0] * 20))

    def test_machine_that_is_a_little_slower_is_not_slow(self) -> None:
        self.assertFalse(self.note(*[SLOW_FACTOR * 0.9] * 20))

    def test_nothing_is_known_at_the_start(self) -> None:
        monitor = SpeedMonitor()
        for factor in (1.0, 1.0, 9.0, 9.0, 9.0, 9.0):
            monitor.note(USUAL_S * factor)
        self.assertFalse(monitor.is_slow)

    def test_work_takes_some_time(self) -> None:
        self.assertGreater(measure_work_s(), 0.0)


class SlowOwnerTest(unittest.TestCase):
    """The instance ``a`` and its part in ownership."""

    def setUp(self) -> None:
        self.clock, self.replica = ManualClock(), JobReplica()
        self.add_instance("a")
        settings = Mock(features=Features(handover=True))
        dependencies = Mock(
            instance="a#1", replica=self.replica, clock=self.clock, settings=settings
        )
        dependencies.ports.log.latency_s.return_value = 0.0
        self.service = OwnerService(dependencies, Mock())
        self.service._activity_at = self.clock.monotonic()

    def add_instance(self, node: str) -> None:
        entry = encode_instance(InstanceEntry(f"{node}:1", 0.0))
        self.replica.apply_job(LogRecord(INSTANCE + node, entry, 0))

    def be_slow(self) -> None:
        for factor in [1.0] * 20 + [6.0] * RECENT_COUNT:
            self.service.note_speed(USUAL_S * factor)

    # Callers waited for an owner whose machine was six times slower for as long as that lasted.
    def test_slow_owner_gives_up(self) -> None:
        self.add_instance("b")
        runner = self.service._runner = Mock()
        self.be_slow()
        runner.give_up.assert_called_once_with()

    def test_only_instance_stays_the_owner(self) -> None:
        runner = self.service._runner = Mock()
        self.be_slow()
        runner.give_up.assert_not_called()

    # Where all machines were slow for long, or the other instances had ended, each claim was given
    # up after a quarter of a second, and nobody owned for the two seconds until the next.
    def test_slow_instance_that_nobody_relieved_stays_the_owner(self) -> None:
        self.add_instance("b")
        self.be_slow()
        runner = self.serve()
        self.stay_slow()
        runner.give_up.assert_not_called()
        self.add_instance("c")
        self.stay_slow()
        runner.give_up.assert_called()

    def test_slow_instance_gives_up_again_after_it_was_fast(self) -> None:
        self.add_instance("b")
        self.be_slow()
        runner = self.serve()
        for _ in range(RECENT_COUNT):
            self.service.note_speed(USUAL_S)
        runner.give_up.assert_not_called()
        self.be_slow()
        runner.give_up.assert_called()

    def stay_slow(self) -> None:
        for _ in range(2 * RECENT_COUNT):
            self.service.note_speed(USUAL_S * 6.0)

    def serve(self) -> Mock:
        """Begins a term of this instance, and returns what runs it."""
        runner = Mock()
        with patch.object(service, "TermRunner", return_value=runner):
            self.service._serve(1, previous_owner_gone=True)
        self.service._runner = runner
        return runner

    # Without a delay a slow instance claims what it has just released; without an end of the
    # delay nobody owns while all machines are slow.
    def test_slow_instance_leaves_the_claim_to_others_for_a_while(self) -> None:
        claim = Claim(1, "b#1", "b:1", released=True)
        self.replica.apply_job(LogRecord(claim_key(claim), encode_claim(claim), 1))
        now = self.clock.monotonic()
        self.assertEqual(self.service._claim_reason(now), "released")
        self.be_slow()
        self.assertEqual(self.service._claim_reason(now), "")
        self.assertEqual(self.service._claim_reason(now + SLOW_CLAIM_DELAY_S), "released")
