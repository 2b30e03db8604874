"""Control leases that targets grant to the owner of a partition.

The targets of a partition arbitrate between a former and a new owner: each grants control to one
epoch at a time, and an owner acts only while a majority of the partition's targets has renewed.
Two majorities of the same targets share one, so two owners are never valid at once.
"""

from __future__ import annotations

from azurecleat_model import Clock

CLOCK_RATE_SKEW = 0.01
"""Largest relative difference between the rates of two clocks."""


class ControlLease:
    """Renewals by targets, counted from the moment each renewal was sent.

    :param clock: Monotonic clock that goes on while the process is paused.
    :param targets: Names of the arbitrating targets.
    :param lease_s: Seconds for which a target honours a renewal.
    :param max_pause_s: Seconds without :meth:`record_poll` after which nothing may be done. An
        owner that was paused for less than its lease still knows an old list of targets.
    """

    def __init__(
        self,
        clock: Clock,
        targets: tuple[str, ...],
        lease_s: float,
        max_pause_s: float = float("inf"),
    ) -> None:
        self._clock = clock
        self._max_pause_s = max_pause_s
        self._polled_at = clock.monotonic()
        self._target_sets: tuple[tuple[str, ...], ...] = (targets,)
        self._usable_s = lease_s * (1 - CLOCK_RATE_SKEW)
        self._renewed_at: dict[str, float] = {}
        self._revoked = False

    @property
    def is_revoked(self) -> bool:
        return self._revoked

    def set_targets(self, *target_sets: tuple[str, ...]) -> None:
        """Replaces the arbitrating targets.

        While a change is on its way to the log, both the old and the new set are given, and a
        majority of each is needed: a new owner may go by either of them.
        """
        self._target_sets = target_sets

    def record_poll(self) -> None:
        """Records that the owner looked at its list of targets, reached or not."""
        self._polled_at = self._clock.monotonic()

    def renew(self, target: str, sent_at: float) -> None:
        """Records a renewal granted by a target, sent at ``sent_at``."""
        self._renewed_at[target] = max(sent_at, self._renewed_at.get(target, sent_at))

    def drop(self, target: str) -> None:
        """Forgets the renewals of a target."""
        self._renewed_at.pop(target, None)

    def revoke(self) -> None:
        """Ends the lease for good, after a target obeyed a higher epoch."""
        self._revoked = True

    def controls(self, target: str) -> bool:
        """Tells whether this target honours the lease now."""
        renewed_at = self._renewed_at.get(target)
        if renewed_at is None or self._revoked:
            return False
        return self._clock.monotonic() < renewed_at + self._usable_s

    def is_valid(self) -> bool:
        """Tells whether a majority of each set of targets honours the lease now."""
        if self._revoked or self._clock.monotonic() - self._polled_at > self._max_pause_s:
            return False
        held = {target for target in list(self._renewed_at) if self.controls(target)}
        return all(has_majority(targets, held) for targets in self._target_sets)


def has_majority(targets: tuple[str, ...], granted: set[str]) -> bool:
    """Tells whether ``granted`` holds more than half of ``targets``."""
    return 2 * len(granted & set(targets)) > len(targets)
