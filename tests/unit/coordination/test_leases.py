"""Tests control leases, freshness proofs and retries on a manual clock."""

from __future__ import annotations

import random
import unittest

from azurecleat_coordination import (
    Backoff,
    BreakerState,
    CircuitBreaker,
    ControlLease,
    Freshness,
    LocalState,
    PeerStatus,
    Proof,
    RetryBudget,
    rank_candidates,
)
from azurecleat_model import ManualClock

TARGETS = ("a", "b", "c")


class ControlLeaseTest(unittest.TestCase):
    """Validity of a control lease depends on majorities of targets."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.lease = ControlLease(self.clock, TARGETS, 10.0)

    def test_majority_makes_lease_valid_counted_from_the_send_time(self) -> None:
        sent_at = self.clock.monotonic()
        self.clock.advance(4.0)
        self.lease.renew("a", sent_at)
        self.assertFalse(self.lease.is_valid())
        self.lease.renew("b", sent_at)
        self.assertTrue(self.lease.is_valid())
        self.clock.advance(5.8)
        self.assertTrue(self.lease.is_valid())
        self.clock.advance(0.2)
        self.assertFalse(
            self.lease.is_valid(), "the lease ends 10 s after the send time minus the clock skew"
        )

    def test_revoked_lease_stays_invalid(self) -> None:
        for target in TARGETS:
            self.lease.renew(target, self.clock.monotonic())
        self.lease.revoke()
        self.lease.renew("a", self.clock.monotonic())
        self.assertFalse(self.lease.is_valid())
        self.assertFalse(self.lease.controls("a"))

    def test_change_of_targets_needs_a_majority_of_each_set(self) -> None:
        for target in ("a", "b"):
            self.lease.renew(target, self.clock.monotonic())
        self.lease.set_targets(TARGETS, ("c", "d", "e"))
        self.assertFalse(self.lease.is_valid())
        for target in ("d", "e"):
            self.lease.renew(target, self.clock.monotonic())
        self.assertTrue(self.lease.is_valid())

    def test_two_owners_cannot_both_hold_a_majority(self) -> None:
        other = ControlLease(self.clock, TARGETS, 10.0)
        rng = random.Random(3)
        for target in TARGETS:
            rng.choice((self.lease, other)).renew(target, self.clock.monotonic())
        self.assertNotEqual(self.lease.is_valid(), other.is_valid())

    def test_pause_ends_validity_until_the_next_poll_of_the_targets(self) -> None:
        lease = ControlLease(self.clock, TARGETS, 10.0, max_pause_s=2.0)
        for target in TARGETS:
            lease.renew(target, self.clock.monotonic())
        self.clock.advance(3.0)
        self.assertFalse(lease.is_valid())
        lease.record_poll()
        self.assertTrue(lease.is_valid())

    def test_lease_without_targets_is_never_valid(self) -> None:
        self.assertFalse(ControlLease(self.clock, (), 10.0).is_valid())


class FreshnessTest(unittest.TestCase):
    """Proofs that all withdrawn keys are known."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.freshness = Freshness("me", self.clock, bound_s=5.0, read_lag_s=0.5)
        self.members = frozenset({"me", "a", "b"})

    def local_state(self, reached=None, pending=(), configuration_at=3, roster_at=2) -> LocalState:
        return LocalState(self.members, configuration_at, roster_at, frozenset(pending), reached)

    def answer(self, name: str, log_age_s=-1.0, vouches=True, pending=(), at=3, roster=2) -> None:
        status = PeerStatus(name, "1", log_age_s, at, roster, tuple(pending), vouches)
        self.freshness.on_status(self.clock.monotonic(), status)

    def proof(self, **known) -> Proof:
        return self.freshness.proof(self.local_state(**known))

    def test_own_read_is_a_proof_for_the_bound_minus_the_read_lag(self) -> None:
        read_at = self.clock.monotonic()
        self.clock.advance(4.4)
        self.assertEqual(self.proof(reached=read_at), Proof.LOG)
        self.clock.advance(0.2)
        self.assertEqual(self.proof(reached=read_at), Proof.NONE)

    def test_recent_log_read_of_a_peer_is_a_proof(self) -> None:
        self.answer("a", log_age_s=1.0)
        self.assertEqual(self.proof(), Proof.RELAY)
        self.clock.advance(4.0)
        self.assertEqual(self.proof(), Proof.NONE)

    def test_log_read_of_a_peer_counts_only_with_its_configuration(self) -> None:
        self.answer("a", log_age_s=1.0, at=9)
        self.assertEqual(self.proof(), Proof.NONE)
        self.assertEqual(self.proof(configuration_at=9), Proof.RELAY)

    def test_answers_of_all_members_are_a_proof_without_the_log(self) -> None:
        self.answer("a")
        self.assertEqual(self.proof(), Proof.NONE, "b may have the log")
        self.answer("b")
        self.assertEqual(self.proof(), Proof.PEERS)
        self.clock.advance(5.1)
        self.assertEqual(self.proof(), Proof.NONE)

    def test_stopped_member_need_not_answer(self) -> None:
        self.answer("a")
        self.freshness.on_stopped("b", self.clock.monotonic())
        self.assertEqual(self.proof(), Proof.PEERS)

    def test_no_proof_if_one_member_does_not_vouch(self) -> None:
        self.answer("a")
        self.answer("b", vouches=False)
        self.assertEqual(self.proof(), Proof.NONE)

    def test_no_proof_if_a_member_knows_an_unknown_withdrawal(self) -> None:
        self.answer("a")
        self.answer("b", pending=("k1",))
        self.assertEqual(self.proof(), Proof.NONE)
        self.assertEqual(self.proof(pending=("k1",)), Proof.PEERS)

    def test_no_proof_if_a_member_has_a_newer_roster(self) -> None:
        self.answer("a", roster=7)
        self.answer("b")
        self.assertEqual(self.proof(), Proof.NONE)

    def test_no_proof_without_log_and_peers(self) -> None:
        self.members = frozenset({"me"})
        self.assertEqual(self.proof(), Proof.NONE)


class RetryTest(unittest.TestCase):
    """Backoff, retry budget, circuit breaker and rendezvous hashing."""

    def test_delays_grow_and_stay_bounded(self) -> None:
        backoff = Backoff(0.1, 2.0, random.Random(1))
        for tries in range(1, 2000):
            self.assertLessEqual(backoff.delay_s(tries), min(2.0, 0.1 * 2 ** min(tries - 1, 30)))

    def test_budget_bounds_retries_to_a_fraction(self) -> None:
        budget = RetryBudget(ratio=0.1, capacity=5.0)
        retries = 0
        for _ in range(1000):
            budget.on_first_try()
            retries += budget.take()
        self.assertLessEqual(retries, 105)
        self.assertGreaterEqual(retries, 95)

    def test_breaker_opens_probes_once_and_closes(self) -> None:
        clock = ManualClock()
        breaker = CircuitBreaker(clock, threshold=2, open_s=3.0)
        breaker.on_failure()
        self.assertTrue(breaker.allow())
        breaker.on_failure()
        self.assertEqual(breaker.state, BreakerState.OPEN)
        self.assertFalse(breaker.allow())
        clock.advance(3.0)
        self.assertTrue(breaker.allow())
        self.assertFalse(breaker.allow(), "one probe at a time")
        breaker.on_failure()
        self.assertFalse(breaker.allow())
        clock.advance(3.0)
        self.assertTrue(breaker.allow())
        breaker.on_success()
        self.assertEqual(breaker.state, BreakerState.CLOSED)

    def test_rendezvous_moves_only_keys_of_the_removed_candidate(self) -> None:
        names = [f"i{n}" for n in range(6)]
        before = {key: rank_candidates(key, names)[0] for key in map(str, range(300))}
        after = {key: rank_candidates(key, names[:-1])[0] for key in before}
        moved = [key for key in before if before[key] != after[key]]
        self.assertTrue(all(before[key] == "i5" for key in moved))


if __name__ == "__main__":
    unittest.main()
