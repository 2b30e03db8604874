"""Evacuation of zones: no task starts there, whenever the owner learns of the request."""

from __future__ import annotations

import io
import unittest

from adapter.documents import PlatformDecoder
from azurecleat_base import ManualClock, Resources
from azurecleat_cluster import EventLog
from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.ports import CONFIGURATION, LogRecord
from azurecleat_cluster.values import JobSpec, Step, TargetEntry, TargetState
from azurecleat_fakes import KeyedMemoryLog

from tests.lib.term_harness import TermHarness, done, make_entry, running, submit, task

STEP = Step(count=8, need=Resources(32_000, 1000, 0))
"""Two tasks fill a target."""


def make_zone_entry(name: str, zone: str) -> TargetEntry:
    return make_entry(name)._replace(zone=zone)


class EvacuationTest(unittest.TestCase):
    """An owner with two targets in each of two zones."""

    def setUp(self) -> None:
        self.replica = JobReplica()
        self.harness = self.make_owner()

    def make_owner(self, epoch: int = 1, evacuated: str = "") -> TermHarness:
        harness = TermHarness(ManualClock(), self.replica, epoch)
        if evacuated:
            self.request(evacuated, harness)
        for name, zone in (("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b")):
            harness.term.on_target_entry(make_zone_entry(name, zone))
            harness.writer.commit()
            harness.report(name)
        return harness

    def request(self, zone: str, harness: TermHarness | None = None, is_end: bool = False) -> None:
        """Lets the operator evacuate a zone, or take it back."""
        record = LogRecord(f"evacuate/{zone}", None if is_end else b"{}", 1)
        (harness or self.harness).configuration.apply(record)

    def started_in(self, zone: str, harness: TermHarness | None = None) -> int:
        sessions = (harness or self.harness).sessions
        return sum(len(each.started) for each in sessions if each.target.entry.zone == zone)

    # EVAC 2,118 times in one day: nothing read the request.
    def test_no_start_in_an_evacuated_zone(self) -> None:
        self.request("a")
        submit(self.replica, JobSpec("payload", (STEP,)))
        self.harness.term.on_job_record("s/" + "0" * 16)
        self.harness.dispatch()
        self.assertEqual((self.started_in("a"), self.started_in("b")), (0, 4))

    def test_zone_is_used_again_once_it_is_taken_back(self) -> None:
        self.test_no_start_in_an_evacuated_zone()
        self.request("a", is_end=True)
        self.harness.dispatch()
        self.assertEqual((self.started_in("a"), self.started_in("b")), (4, 4))

    def test_next_owner_keeps_to_a_request_made_before_its_term(self) -> None:
        submit(self.replica, JobSpec("payload", (STEP,)))
        harness = self.make_owner(2, evacuated="b")
        harness.dispatch()
        self.assertEqual((self.started_in("a", harness), self.started_in("b", harness)), (4, 0))

    def test_target_that_registers_during_an_evacuation_gets_no_task(self) -> None:
        self.request("a")
        self.request("b")
        self.harness.dispatch()
        self.harness.term.on_target_entry(make_zone_entry("a2", "a"))
        self.harness.writer.commit()
        self.harness.report("a2")
        submit(self.replica, JobSpec("payload", (STEP,)))
        self.harness.term.on_job_record("s/" + "0" * 16)
        self.assertEqual(self.harness.dispatch(), [])

    def test_zone_that_does_not_exist_changes_nothing(self) -> None:
        self.request("nowhere")
        submit(self.replica, JobSpec("payload", (STEP,)))
        self.harness.term.on_job_record("s/" + "0" * 16)
        self.assertEqual(len(self.harness.dispatch()), 8)

    # A start that waits behind commands to a silent target can be sent seconds after its dispatch.
    def test_queued_start_is_not_sent_after_the_request(self) -> None:
        submit(self.replica, JobSpec("payload", (STEP,)))
        self.harness.term.on_job_record("s/" + "0" * 16)
        self.harness.dispatch()
        run = self.harness.session("a0").started[0]
        self.assertTrue(self.harness.term.may_start(run))
        self.request("a")
        self.assertFalse(self.harness.term.may_start(run))
        self.assertIn(run, self.harness.session("a0").stopped)

    def test_running_tasks_go_on_and_their_ends_count(self) -> None:
        submit(self.replica, JobSpec("payload", (STEP._replace(count=1),)))
        self.harness.term.on_job_record("s/" + "0" * 16)
        self.harness.dispatch()
        session = next(each for each in self.harness.sessions if each.started)
        self.harness.answer_start(session)
        self.harness.report(session.target.id, running=(running(task(0)),))
        self.request(session.target.entry.zone)
        self.harness.dispatch()
        self.assertEqual(session.stopped, [])
        self.harness.report(session.target.id, ended=(done(1, task(0)),))
        self.assertEqual(self.harness.term.jobs["0" * 16].outcome, "completed")


class EvacuationRecordTest(unittest.TestCase):
    """The operator's records as an instance reads them from the log."""

    def setUp(self) -> None:
        self.log = KeyedMemoryLog()
        events = EventLog("test", io.StringIO())
        self.view = ConfigurationView(PlatformDecoder(), events)
        self.follower = Follower(self.log, CONFIGURATION, self.view.apply, ManualClock(), events)

    def write(self, key: str, value: bytes | None) -> None:
        self.log.append(CONFIGURATION, [(key, value)], 1.0)
        self.follower.poll()

    def test_requests_are_added_and_removed_by_zone(self) -> None:
        self.write("evacuate/a", b"{}")
        self.write("evacuate/b", b"{}")
        self.write("evacuate/a", None)
        self.assertEqual(self.view.evacuated_zones, {"b"})

    def test_request_renewed_at_once_stays_in_force(self) -> None:
        for value in (b"{}", None, b"{}"):
            self.write("evacuate/a", value)
        self.assertEqual(self.view.evacuated_zones, {"a"})

    def test_request_with_an_unreadable_value_counts(self) -> None:
        self.write("evacuate/a", b"\x00")
        self.assertEqual(self.view.evacuated_zones, {"a"})

    def test_instance_that_starts_during_an_evacuation_knows_it(self) -> None:
        self.log.append(CONFIGURATION, [("evacuate/a", b"{}")], 1.0)
        self.follower.poll()
        self.assertEqual(self.view.evacuated_zones, {"a"})


class EvacuatedRackTest(unittest.TestCase):
    """A step that prefers a rack of an evacuated zone runs elsewhere rather than wait."""

    def test_gang_of_one_rack_is_started_in_another_zone(self) -> None:
        replica = JobReplica()
        harness = TermHarness(ManualClock(), replica)
        for name, zone in (("a0", "a"), ("b0", "b")):
            entry = make_zone_entry(name, zone)._replace(labels=("k", f"rack-{zone}"))
            harness.term.on_target_entry(entry._replace(state=TargetState.READY))
            harness.writer.commit()
            harness.report(name)
        harness.configuration.apply(LogRecord("evacuate/a", b"{}", 1))
        step = STEP._replace(count=2, gang=True, same_rack=True, data_rack="rack-a")
        submit(replica, JobSpec("payload", (step,)))
        harness.term.on_job_record("s/" + "0" * 16)
        harness.dispatch()
        self.assertEqual([len(each.started) for each in harness.sessions], [0, 2])
