"""The owner's right to act, which ends by itself, and what bounds a former owner's.

Safety rests on three facts. A target obeys the highest fence it has seen. The log refuses a
writer whose epoch was overtaken. And an owner renews leases only within ``PROOF_S`` of a proof
that no successor had acted before: an append under its epoch, or answers of a majority of the
targets in use under its fence. A successor that fenced a majority at time T therefore knows that
targets it has not reached stop their runs by T + PROOF_S + lease, at the slowest clock.
"""

from __future__ import annotations

from azurecleat_base import Clock

PROOF_VALIDITY_S = 3.0
"""Age of the newest proof beyond which an owner sends no order and renews no lease."""

MAX_CLOCK_STRETCH = 1.021
"""Longest real time of one second on a target's clock: two percent slow, and rounding."""

LEASE_MARGIN_S = 0.3
"""Added to the end of a lease for the time that a target takes to stop what runs."""

NEVER = float("-inf")


class Authority:
    """Keeps the proofs of one term. Guarded by the lock of the term.

    :param lease_s: Length of the leases given to targets.
    :param longest_lease_s: Longest lease that a target grants, whatever it is asked for.
    """

    def __init__(self, epoch: int, lease_s: float, clock: Clock, max_lease_s: float = 0.0) -> None:
        self.epoch = epoch
        self.lease_s = lease_s
        self.extra_lease_s = max(0.0, max_lease_s - lease_s) * MAX_CLOCK_STRETCH
        self._clock = clock
        self._log_proof_at = NEVER
        self._target_proofs_at: dict[str, float] = {}
        self._lost_reason = ""

    @property
    def lost_reason(self) -> str:
        """Why the right is gone for good, empty while it is not."""
        return self._lost_reason

    def revoke(self, reason: str) -> None:
        self._lost_reason = self._lost_reason or reason

    def add_log_proof(self, sent_at: float) -> None:
        """Notes an append under the epoch that was sent at the given time."""
        self._log_proof_at = max(self._log_proof_at, sent_at)

    def add_target_proof(self, target: str, sent_at: float) -> None:
        """Notes an answer under the fence to a call that was sent at the given time."""
        self._target_proofs_at[target] = max(self._target_proofs_at.get(target, NEVER), sent_at)

    def add_target(self, target: str) -> None:
        self._target_proofs_at.setdefault(target, NEVER)

    def remove_target(self, target: str) -> None:
        self._target_proofs_at.pop(target, None)

    def majority_proof_at(self) -> float:
        """Time at which a majority of the targets in use was last known to obey the fence."""
        times = sorted(self._target_proofs_at.values(), reverse=True)
        return times[len(times) // 2] if times else NEVER

    def is_lease_over(self, lease_end: float) -> bool:
        """Whether a lease that ends at a time is surely over, on a target that is not reached.

        A successor may have renewed it. Only an append that was sent after the end proves that
        none had begun by then: a majority of targets says nothing of those it is without.
        """
        return self._log_proof_at > lease_end

    def may_act(self) -> bool:
        """Whether orders may be sent and leases renewed now."""
        if self._lost_reason:
            return False
        oldest = self._clock.monotonic() - PROOF_VALIDITY_S
        # The log's word is nearly always there, and cheaper than that of all targets.
        return self._log_proof_at > oldest or self.majority_proof_at() > oldest

    def lease_end(self, renewed_at: float) -> float:
        """Own time after which a lease given at the latest at ``renewed_at`` is surely over."""
        return renewed_at + self.lease_s * MAX_CLOCK_STRETCH + LEASE_MARGIN_S


class Takeover:
    """Targets of a former owner that have not been reached yet. Guarded by the term's lock.

    :param former_gone: The former owner gave up its right or its process has ended.
    """

    def __init__(
        self, targets: set[str], authority: Authority, began_at: float, previous_owner_gone: bool
    ) -> None:
        self._unreached = set(targets)
        self._authority = authority
        self._majority = len(targets) // 2 + 1
        self._reached_count = 0
        self._leases_end_at: float | None = None
        if previous_owner_gone:
            self._leases_end_at = authority.lease_end(began_at)

    @property
    def unreached(self) -> frozenset[str]:
        return frozenset(self._unreached)

    @property
    def leases_end_at(self) -> float | None:
        """Own time when runs on unreached targets are surely over; None if not yet known."""
        return self._leases_end_at

    def mark_reached(self, target: str, now: float) -> None:
        """Notes that a target obeys the new fence, or that its former life has ended."""
        if target not in self._unreached:
            return
        self._unreached.discard(target)
        self._reached_count += 1
        if self._reached_count >= self._majority and self._leases_end_at is None:
            self._leases_end_at = self._authority.lease_end(now + PROOF_VALIDITY_S)

    def is_complete(self) -> bool:
        """Whether every run of a former owner is known or surely over."""
        if not self._unreached:
            return True
        return self._leases_end_at is not None and self._authority.is_lease_over(
            self._leases_end_at
        )
