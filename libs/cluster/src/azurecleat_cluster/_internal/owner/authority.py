"""Tracks whether an owner may still act, and when a previous owner's leases have expired.

Two owners never run the same task at the same time, for three reasons:

- A target rejects commands with a lower epoch than the highest one it has seen.
- The log rejects appends from a writer with an outdated epoch.
- An owner renews leases only within ``PROOF_VALIDITY_S`` of a proof that no later owner had acted
  before: an append under its epoch, or answers under its epoch from a majority of the targets in
  use.

A new owner that has reached a majority of the targets at time T therefore knows that the targets
it has not reached stop their runs by T + ``PROOF_VALIDITY_S`` + lease, on the slowest clock allowed
for.

An owner that knows that no earlier owner acts any more records so. If it ends later by a release or
with its process, its successor therefore waits for one lease only. Without that record the end of
the last owner shows nothing about the owners before it: one of them may be cut off together with
some targets, and still renew leases there.
"""

from __future__ import annotations

from collections.abc import Mapping

from azurecleat_base import Clock

PROOF_VALIDITY_S = 3.0
"""Age of the newest proof beyond which an owner sends no commands and renews no leases."""

LOG_SILENCE_S = 1.0
"""Age of the log's last proof from which the targets' answers may be needed soon: five heartbeats.
"""

MAX_CLOCK_STRETCH = 1.021
"""Longest real duration of one second on a target's clock: 2% slow, plus rounding."""

LEASE_MARGIN_S = 0.3
"""Added to the end of a lease: the time a target takes to stop its runs."""

NEVER = float("-inf")


class Authority:
    """Keeps the proofs of ownership of one term. Guarded by the term's lock.

    :param epoch: Epoch of the term; targets and the log use it as the fencing token.
    :param lease_s: Length of the leases given to targets.
    :param max_lease_s: Longest lease that a target grants, whatever length is requested.
    """

    def __init__(self, epoch: int, lease_s: float, clock: Clock, max_lease_s: float = 0.0) -> None:
        self.epoch = epoch
        self.lease_s = lease_s
        self.extra_lease_s = max(0.0, max_lease_s - lease_s) * MAX_CLOCK_STRETCH
        """How much later than a lease of ``lease_s`` the longest lease of a target may end."""
        self._clock = clock
        self._log_proof_at = NEVER
        self._target_proofs_at: dict[str, float] = {}
        self._lost_reason = ""

    @property
    def lost_reason(self) -> str:
        """Why ownership was lost for good; empty while it is not."""
        return self._lost_reason

    def revoke(self, reason: str) -> None:
        self._lost_reason = self._lost_reason or reason

    def add_log_proof(self, sent_at: float) -> None:
        """Records a successful append under the epoch.

        :param sent_at: Time at which the append was sent.
        """
        self._log_proof_at = max(self._log_proof_at, sent_at)

    def add_target_proof(self, target: str, sent_at: float) -> None:
        """Records a target's answer to a call under the epoch.

        :param sent_at: Time at which the call was sent.
        """
        self._target_proofs_at[target] = max(self._target_proofs_at.get(target, NEVER), sent_at)

    def add_target(self, target: str) -> None:
        self._target_proofs_at.setdefault(target, NEVER)

    def remove_target(self, target: str) -> None:
        self._target_proofs_at.pop(target, None)

    def majority_proof_at(self) -> float:
        """Returns the time at which a majority of the targets in use last accepted the epoch."""
        times = sorted(self._target_proofs_at.values(), reverse=True)
        return times[len(times) // 2] if times else NEVER

    def is_lease_over(self, lease_end: float) -> bool:
        """Whether a lease is certainly over on a target that does not answer.

        A later owner may have renewed the lease. Only an append sent after ``lease_end`` proves
        that no later owner existed by then. Answers from a majority of the targets don't, because
        the target in question may be outside that majority.
        """
        return self._log_proof_at > lease_end

    def may_act(self) -> bool:
        """Whether commands may be sent and leases renewed now."""
        if self._lost_reason:
            return False
        oldest = self._clock.monotonic() - PROOF_VALIDITY_S
        # The log's proof is checked first: it is nearly always there, and cheaper to evaluate.
        return self._log_proof_at > oldest or self.majority_proof_at() > oldest

    def is_log_silent(self) -> bool:
        """Whether the targets' answers may soon be the only proof of ownership."""
        return self._clock.monotonic() - self._log_proof_at > LOG_SILENCE_S

    def lease_end(self, renewed_at: float) -> float:
        """Returns when a lease last renewed at ``renewed_at`` is certainly over.

        Both times are on this instance's monotonic clock.
        """
        return renewed_at + self.lease_s * MAX_CLOCK_STRETCH + LEASE_MARGIN_S


class Takeover:
    """Tracks which of the previous owner's targets this owner has not reached yet.

    Guarded by the term's lock.

    :param targets: Ids of the targets that the previous owner used.
    :param previous_owners_gone: No earlier owner acts any more, neither the previous one nor those
        before it.
    :param first_epochs: Epoch of the owner that first used a target, by target id; without one, all
        earlier owners that may still act have used it.
    """

    def __init__(
        self,
        targets: set[str],
        authority: Authority,
        began_at: float,
        previous_owners_gone: bool,
        first_epochs: Mapping[str, int],
    ) -> None:
        self._targets = frozenset(targets)
        self._first_epochs = {name: first_epochs[name] for name in targets & first_epochs.keys()}
        self._unreached = set(targets)
        self._reached: set[str] = set()
        """Targets that accepted the new epoch and, as far as known, have not ended since."""
        self._partly_known: set[str] = set()
        """Unreached targets that have answered, and whose leases this owner renews."""
        self._authority = authority
        self._leases_end_at: float | None = None
        self._previous_owners_gone = previous_owners_gone
        if previous_owners_gone:
            self._leases_end_at = authority.lease_end(began_at)

    @property
    def unreached(self) -> frozenset[str]:
        return frozenset(self._unreached)

    @property
    def leases_end_at(self) -> float | None:
        """When the leases of unreached targets are over, on the monotonic clock; None if unknown.

        A lease that ends then counts as over only once :meth:`Authority.is_lease_over` agrees.
        """
        return self._leases_end_at

    def is_previous(self, target: str) -> bool:
        """Whether the previous owner used a target with this id."""
        return target in self._targets

    def mark_reached(self, target: str, now: float) -> None:
        """Notes that a target accepted the new epoch and that all its runs are known."""
        if target in self._unreached:
            self._unreached.discard(target)
            self._partly_known.discard(target)
            self._reached.add(target)
            self._check_majority(now)

    def mark_ended(self, target: str, now: float) -> None:
        """Notes that a target incarnation has ended, and that no other one has its id."""
        for targets in (self._unreached, self._partly_known, self._reached):
            targets.discard(target)
        self._check_majority(now)

    def mark_partly_known(self, target: str) -> None:
        """Notes that a target has answered, but with a part of its run ends only."""
        if target in self._unreached:
            self._partly_known.add(target)

    def mark_restarted(self, target: str) -> None:
        """Notes that a target has a new incarnation, which has not answered yet."""
        self._partly_known.discard(target)
        self._reached.discard(target)

    def _check_majority(self, now: float) -> None:
        """Notes when the leases end, once a majority of the targets has accepted the epoch.

        Each earlier owner that may still act has to lack a majority of the targets that it used.
        Targets that have ended count neither way: the previous owner no longer needs them for a
        majority either.
        """
        if self._leases_end_at is not None or len(self._reached) <= len(self._unreached):
            return
        if all(self._lacks_majority(epoch) for epoch in {0, *self._first_epochs.values()}):
            self._leases_end_at = self._authority.lease_end(now + PROOF_VALIDITY_S)

    def _lacks_majority(self, epoch: int) -> bool:
        """Whether an owner that uses the targets first used up to an epoch can't prove its own."""
        if not self._first_epochs:
            return True  # All owners used all targets, of which a majority is reached.
        reached, unreached = (
            sum(self._first_epochs.get(target, 0) <= epoch for target in targets)
            for targets in (self._reached, self._unreached)
        )
        return not unreached or reached > unreached

    def are_previous_owners_gone(self) -> bool:
        """Whether no earlier owner sends commands or renews leases any more.

        Leases that they gave may still be valid, but end within one lease from now.
        """
        return self._previous_owners_gone or self.is_complete()

    def is_complete(self) -> bool:
        """Whether every run of the previous owner is either known or certainly over."""
        if not self._unreached:
            return True
        if self._partly_known:
            return False
        return self._leases_end_at is not None and self._authority.is_lease_over(
            self._leases_end_at
        )
