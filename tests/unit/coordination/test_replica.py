"""Tests the appender, and replicas that read the log from its beginning or from snapshots."""

from __future__ import annotations

import random
import unittest

from azurecleat_coordination import (
    Appender,
    AppendOutcome,
    ApplyResult,
    Backoff,
    Replica,
    to_chunks,
)
from azurecleat_coordination.records import (
    AcceptJob,
    Claim,
    Entry,
    GiveKey,
    Intend,
    Promote,
    Transfer,
    WithdrawKey,
    encode_entry,
)
from azurecleat_fakes import Faults, MemoryLog
from azurecleat_model import (
    Environment,
    Job,
    JobKind,
    JobSpec,
    KeyHash,
    ManualClock,
    Quota,
    TaskSize,
    Team,
    generate_key,
    to_plain,
)
from azurecleat_model.exceptions import AppendUnknownError, LogUnavailableError

MAX_WAIT_S = 3.0
"""Longest wait of a caller whose own deadline is shorter."""

DOCUMENT = to_plain(Environment("test", (Team("crew", 1.0, Quota(tasks=10)),)))


class Instance:
    """An instance: a replica and an appender on a shared log."""

    def __init__(self, log: MemoryLog, name: str) -> None:
        self.clock = ManualClock()
        self.replica = Replica(log, self.clock)
        backoff = Backoff(0.001, 0.001, random.Random(1))
        self.appender = Appender(log, self.replica, self.clock, name, backoff)


def job(job_id: str) -> Job:
    return Job(job_id, "crew", JobSpec("check", JobKind.BATCH, TaskSize(1, 1)), 0.0)


class AppenderTest(unittest.TestCase):
    """Group commit to a log with faults."""

    def setUp(self) -> None:
        self.log = MemoryLog()
        self.one = Instance(self.log, "one")

    def test_lost_answer_is_resolved_by_reading(self) -> None:
        self.log.faults = Faults(lose_answers=1)
        self.assertTrue(self.one.appender.commit(Promote(DOCUMENT, 0)).accepted)
        self.assertEqual(self.log.tail, 1)

    def test_entry_appended_twice_by_the_platform_takes_effect_once(self) -> None:
        self.one.appender.commit(Promote(DOCUMENT, 0))
        self.one.appender.commit(Claim("burnie", 1, "one", "one", ()))
        self.one.appender.commit(Claim("hobart", 1, "one", "one", ()))
        transfer = Transfer("crew", "burnie", 1, "hobart", Quota(0, 2, 0, 0, 0))
        self.one.appender.commit(transfer)
        # A delayed retry inside the platform may append an entry a second time.
        self.log.append(self.log.read(self.log.tail - 1, 1).entries[0][1])
        self.one.replica.catch_up()
        self.assertEqual(self.one.replica.fleet.ledger.allotment("crew", "hobart").tasks, 2)

    def test_append_to_an_unavailable_log_fails_for_certain(self) -> None:
        self.log.faults = Faults(down=True)
        with self.assertRaises(LogUnavailableError):
            self.one.appender.commit(Promote(DOCUMENT, 0))
        self.log.faults = Faults()
        self.one.appender.step()
        self.assertEqual(self.log.tail, 0, "an event that failed is not appended later")

    def test_append_without_answer_or_read_is_unknown(self) -> None:
        class AppendOnlyLog(MemoryLog):
            """Accepts appends, loses all answers and cannot be read."""

            def append(self, data: bytes) -> int:
                super().append(data)
                raise AppendUnknownError("lost", step="log.append")

            def read(self, offset: int, limit: int):
                raise LogUnavailableError("cut", step="log.read")

        instance = Instance(AppendOnlyLog(), "one")
        with self.assertRaises(AppendUnknownError):
            instance.appender.commit(Promote(DOCUMENT, 0))

    def test_outcome_of_a_lost_append_is_final_after_a_later_entry(self) -> None:
        class SlowLog(MemoryLog):
            """Loses answers and holds entries back while ``is_slow``."""

            held: list[bytes] = []
            is_slow = True

            def append(self, data: bytes) -> int:
                if not self.is_slow:
                    return super().append(data)
                self.held.append(data)
                raise AppendUnknownError("late", step="log.append")

        for arrives, expected in ((True, AppendOutcome.APPLIED), (False, AppendOutcome.NEVER)):
            log = SlowLog()
            log.held = []
            instance = Instance(log, "one")
            with self.subTest(arrives=arrives):
                with self.assertRaises(AppendUnknownError) as caught:
                    instance.appender.commit(Intend("k1", 0.0))
                number = caught.exception.sequence
                self.assertEqual(instance.appender.outcome(number), AppendOutcome.OPEN)
                log.is_slow = False
                if arrives:
                    log.append(log.held[0])
                instance.appender.commit(Intend("k2", 0.0))
                # An entry that arrives after a later entry of its writer has no effect.
                log.append(log.held[0])
                instance.replica.catch_up()
                self.assertEqual(instance.appender.outcome(number), expected)
                self.assertEqual("k1" in instance.replica.fleet.intents, arrives)

    # Guards against taking the refusal of a repeated append as the outcome of the first one.
    def test_append_without_answer_stays_unknown_if_its_repeat_is_refused(self) -> None:
        self.log.faults = Faults(lose_answers=1, read_lag=10)
        future = self.one.appender.submit(Intend("k1", 0.0), 5.0)
        self.one.appender.step()
        self.log.faults = Faults(down=True)
        self.one.appender.step()
        self.one.clock.advance(6.0)
        self.one.appender.step()
        self.assertIsInstance(future.exception(), AppendUnknownError)

    # Guards against a caller that waits for the longest deadline of all events in its entry:
    # results of tasks have 30 s, the reservation of a request 2 s.
    def test_event_with_a_short_deadline_does_not_wait_for_others_of_its_entry(self) -> None:
        late: list[ApplyResult] = []
        short = self.one.appender.submit(Intend("k1", 0.0), 2.0, late.append)
        long = self.one.appender.submit(Intend("k2", 0.0), 30.0)
        self.log.faults = Faults(lose_answers=1, read_lag=10)
        self.one.appender.step()
        self.log.faults = Faults(down=True)
        self.one.clock.advance(MAX_WAIT_S)
        self.assertFalse(self.one.appender.step())
        self.assertIsInstance(short.exception(0.0), AppendUnknownError)
        sequence = short.exception().sequence
        self.assertEqual(self.one.appender.outcome(sequence), AppendOutcome.OPEN)
        self.assertFalse(long.done())
        self.log.faults = Faults()
        self.one.appender.step()
        self.assertTrue(long.result(0.0).accepted)
        self.assertEqual([result.accepted for result in late], [True])
        self.assertEqual(self.one.appender.outcome(sequence), AppendOutcome.APPLIED)

    # Guards against a caller that waits for the deadlines of events in the entry before its own.
    def test_event_with_a_short_deadline_does_not_wait_for_those_before_it(self) -> None:
        self.log.faults = Faults(lose_answers=1, read_lag=10)
        self.one.appender.submit(Intend("k1", 0.0), 30.0)
        self.one.appender.step()
        queued = self.one.appender.submit(Intend("k2", 0.0), 2.0)
        self.log.faults = Faults(down=True)
        self.one.clock.advance(MAX_WAIT_S)
        self.one.appender.step()
        self.assertIsInstance(queued.exception(0.0), LogUnavailableError)
        self.log.faults = Faults()
        while not self.one.appender.step():
            pass
        self.assertNotIn("k2", self.one.replica.fleet.intents)

    def test_late_result_is_reported_to_the_listener_of_its_event_only(self) -> None:
        late = []
        self.log.faults = Faults(lose_answers=1, read_lag=10)
        with self.assertRaises(AppendUnknownError):
            self.one.appender.commit(Intend("k1", 0.0), on_late=late.append)
        self.log.faults = Faults()
        self.assertEqual(late, [])
        self.assertTrue(self.one.appender.commit(Intend("k2", 0.0), on_late=late.append).accepted)
        self.assertEqual([result.accepted for result in late], [True])

    def test_events_submitted_together_share_an_entry(self) -> None:
        futures = [self.one.appender.submit(Intend(f"k{i}", 0.0)) for i in range(50)]
        self.one.appender.step()
        self.assertTrue(all(future.result().accepted for future in futures))
        self.assertEqual(self.log.tail, 1)

    # The repeat of a key's addition whose answer was lost was rejected as a conflict, as if the key
    # were not in force.
    def test_repeated_addition_of_a_key_is_accepted(self) -> None:
        _, key = generate_key("k1")
        commit = self.one.appender.commit
        commit(Promote(to_plain(Environment("test", (Team("crew", 1.0), Team("other", 1.0)))), 0))
        results = [
            commit(event).accepted
            for event in (
                GiveKey("crew", key),
                GiveKey("crew", key),
                GiveKey("other", key),
                GiveKey("crew", key._replace(sha256="0" * 64)),
                WithdrawKey("k1"),
                GiveKey("crew", key),
            )
        ]
        self.assertEqual(results, [True, True, False, False, True, False])

    def test_first_of_two_racing_promotions_wins(self) -> None:
        two = Instance(self.log, "two")
        two.replica.catch_up()
        self.assertTrue(self.one.appender.commit(Promote(DOCUMENT, 0)).accepted)
        result = two.appender.commit(Promote(DOCUMENT, 0))
        self.assertFalse(result.accepted)
        self.assertIn("version 1 is in force", result.reason)

    def test_first_of_two_racing_claims_wins(self) -> None:
        two = Instance(self.log, "two")
        first = self.one.appender.commit(Claim("hobart", 1, "one", "one", ()))
        second = two.appender.commit(Claim("hobart", 1, "two", "two", ()))
        self.assertEqual((first.accepted, second.accepted), (True, False))


class SnapshotTest(unittest.TestCase):
    """Replicas that read a log whose oldest entries are gone."""

    def setUp(self) -> None:
        self.log = MemoryLog()
        self.one = Instance(self.log, "one")
        token, key = generate_key("k1")
        self.token = token
        commit = self.one.appender.commit
        commit(Promote(DOCUMENT, 0))
        commit(GiveKey("crew", key))
        commit(Claim("hobart", 1, "one", "one", ("w1",)))
        commit(AcceptJob("hobart", job("hobart-1")))
        commit(Intend("crew/invoice", 0.0))

    def snapshot(self) -> None:
        for section in self.one.replica.complete_sections():
            for chunk in to_chunks(section, *self.one.replica.dump(section)):
                self.one.appender.commit(chunk)

    def test_new_replica_loads_the_same_state_from_snapshots(self) -> None:
        covered = self.log.tail
        self.snapshot()
        self.one.appender.commit(AcceptJob("hobart", job("hobart-2")))
        self.log.forget_before(covered)
        replica = Replica(self.log, ManualClock())
        replica.catch_up()
        self.assertTrue(replica.is_ready)
        for section in self.one.replica.complete_sections():
            self.assertEqual(replica.dump(section), self.one.replica.dump(section))

    def test_replica_without_a_snapshot_is_not_ready(self) -> None:
        self.log.forget_before(2)
        replica = Replica(self.log, ManualClock())
        replica.catch_up()
        self.assertFalse(replica.is_ready)
        self.assertIsNone(replica.jobs("hobart"))

    def test_replica_behind_the_oldest_entry_loads_a_snapshot(self) -> None:
        slow = Replica(self.log, ManualClock())
        slow.catch_up()
        self.one.appender.commit(WithdrawKey("k1"))
        covered = self.log.tail
        self.snapshot()
        self.log.forget_before(covered)
        slow.catch_up()
        self.assertIsNone(slow.fleet.configuration.authenticate(self.token))

    def test_reserved_run_is_kept_in_snapshots(self) -> None:
        covered = self.log.tail
        self.snapshot()
        self.log.forget_before(covered)
        new_instance = Instance(self.log, "late")
        new_instance.replica.catch_up()
        self.assertFalse(new_instance.appender.commit(Intend("crew/invoice", 1.0)).accepted)

    def test_undecodable_entry_is_counted_and_skipped(self) -> None:
        self.log.append(b"J{not json")
        self.log.append(encode_entry(Entry("x", 1, (WithdrawKey("k9"),))))
        self.one.replica.catch_up()
        self.assertEqual(self.one.replica.undecodable, 1)
        self.assertIn("k9", self.one.replica.fleet.configuration.withdrawn)

    def test_read_from_a_lagging_log_replica_does_not_count_as_reaching_the_tail(self) -> None:
        before = self.one.replica.reached_tail_at
        self.log.faults = Faults(read_lag=3)
        self.one.clock.advance(10)
        self.one.replica.catch_up()
        self.assertEqual(self.one.replica.reached_tail_at, before)

    def test_withdrawn_key_cannot_be_restored_by_a_document(self) -> None:
        self.one.appender.commit(WithdrawKey("k1"))
        key = KeyHash("k1", "0" * 64)
        team = Team("crew", 1.0, Quota(tasks=10), keys=(key,))
        revived = to_plain(Environment("test", (team,)))
        self.assertTrue(self.one.appender.commit(Promote(revived, 1)).accepted)
        self.assertIsNone(self.one.replica.fleet.configuration.authenticate("k1:x"))
        self.assertIsNone(self.one.replica.fleet.configuration.authenticate(self.token))


if __name__ == "__main__":
    unittest.main()
