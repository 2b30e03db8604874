"""The owner's right to act, which ends by itself, and what bounds a former owner's.

Safety rests on three facts. A target obeys the highest fence it has seen. The log refuses a
writer whose epoch was overtaken. And an owner renews leases only within ``PROOF_S`` of a proof
that no successor had acted before: an append under its epoch, or answers of a majority of the
targets in use under its fence. A successor that fenced a majority at time T therefore knows that
targets it has not reached stop their runs by T + PROOF_S + lease, at the slowest clock.
"""

from __future__ import annotations

from azurecleat_base import Clock

PROOF_S = 3.0
"""Age of the newest proof beyond which an owner sends no order and renews no lease."""

CLOCK_RATE = 1.021
"""Longest real time of one second on a target's clock: two percent slow, and rounding."""

LEASE_MARGIN_S = 0.3
"""Added to the end of a lease for the time that a target takes to stop what runs."""

NEVER = float("-inf")


class Authority:
    """Keeps the proofs of one term. Guarded by the lock of the term.

    :param lease_s: Length of the leases given to targets.
    :param longest_lease_s: Longest lease that a target grants, whatever it is asked for.
    """

    def __init__(
        self, fence: int, lease_s: float, clock: Clock, longest_lease_s: float = 0.0
    ) -> None:
        self.fence = fence
        self.lease_s = lease_s
        self.lease_beyond_s = max(0.0, longest_lease_s - lease_s) * CLOCK_RATE
        self._clock = clock
        self._logged_at = NEVER
        self._answered: dict[str, float] = {}
        self._lost = ""

    @property
    def lost_reason(self) -> str:
        """Why the right is gone for good, empty while it is not."""
        return self._lost

    def lose(self, reason: str) -> None:
        self._lost = self._lost or reason

    def proved_by_log(self, sent_at: float) -> None:
        """Notes an append under the epoch that was sent at the given time."""
        self._logged_at = max(self._logged_at, sent_at)

    def proved_by_target(self, target: str, sent_at: float) -> None:
        """Notes an answer under the fence to a call that was sent at the given time."""
        self._answered[target] = max(self._answered.get(target, NEVER), sent_at)

    def add_target(self, target: str) -> None:
        self._answered.setdefault(target, NEVER)

    def remove_target(self, target: str) -> None:
        self._answered.pop(target, None)

    def majority_at(self) -> float:
        """Time at which a majority of the targets in use was last known to obey the fence."""
        times = sorted(self._answered.values(), reverse=True)
        return times[len(times) // 2] if times else NEVER

    def is_over(self, lease_end: float) -> bool:
        """Whether a lease that ends at a time is surely over, on a target that is not reached.

        A successor may have renewed it. Only an append that was sent after the end proves that
        none had begun by then: a majority of targets says nothing of those it is without.
        """
        return self._logged_at > lease_end

    def may_act(self) -> bool:
        """Whether orders may be sent and leases renewed now."""
        if self._lost:
            return False
        oldest = self._clock.monotonic() - PROOF_S
        # The log's word is nearly always there, and cheaper than that of all targets.
        return self._logged_at > oldest or self.majority_at() > oldest

    def lease_end(self, renewed_at: float) -> float:
        """Own time after which a lease given at the latest at ``renewed_at`` is surely over."""
        return renewed_at + self.lease_s * CLOCK_RATE + LEASE_MARGIN_S


class Succession:
    """Targets of a former owner that have not been reached yet. Guarded by the term's lock.

    :param former_gone: The former owner gave up its right or its process has ended.
    """

    def __init__(
        self, targets: set[str], authority: Authority, began_at: float, former_gone: bool
    ) -> None:
        self._unreached = set(targets)
        self._authority = authority
        self._majority = len(targets) // 2 + 1
        self._reached = 0
        self._bound: float | None = None
        if former_gone:
            self._bound = authority.lease_end(began_at)

    @property
    def unreached(self) -> frozenset[str]:
        return frozenset(self._unreached)

    @property
    def bound(self) -> float | None:
        """Own time when runs on unreached targets are surely over; None if not yet known."""
        return self._bound

    def reached(self, target: str, now: float) -> None:
        """Notes that a target obeys the new fence, or that its former life has ended."""
        if target not in self._unreached:
            return
        self._unreached.discard(target)
        self._reached += 1
        if self._reached >= self._majority and self._bound is None:
            self._bound = self._authority.lease_end(now + PROOF_S)

    def is_settled(self) -> bool:
        """Whether every run of a former owner is known or surely over."""
        if not self._unreached:
            return True
        return self._bound is not None and self._authority.is_over(self._bound)
