"""Control leases that targets grant to the owner of a partition.

The targets of a partition arbitrate between its previous and its new owner. Each target grants
control to one epoch at a time, and an owner acts only while a majority of the partition's targets
has renewed its lease. Two majorities of the same targets have a target in common, so two owners
are never valid at the same time.
"""

from __future__ import annotations

from azurecleat_model import Clock

CLOCK_RATE_SKEW = 0.01
"""Assumed bound on the relative difference between the rates of two clocks."""


class ControlLease:
    """Lease renewals by target. A renewal counts from the time at which its request was sent.

    :param clock: Monotonic clock that continues while the process is paused.
    :param targets: Names of the arbitrating targets.
    :param lease_s: Seconds for which a target honours a renewal.
    :param max_pause_s: Seconds after the last :meth:`record_poll` for which the lease is valid. An
        owner that was paused for less than ``lease_s`` may have an outdated list of targets.
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

        While a change is not yet committed to the log, both the old and the new set are passed.
        The lease then needs a majority of each, because a new owner may use either set.
        """
        self._target_sets = target_sets

    def record_poll(self) -> None:
        """Records that the owner polled the list of targets, successfully or not."""
        self._polled_at = self._clock.monotonic()

    def renew(self, target: str, sent_at: float) -> None:
        """Records that a target granted the renewal requested at ``sent_at``."""
        self._renewed_at[target] = max(sent_at, self._renewed_at.get(target, sent_at))

    def drop(self, target: str) -> None:
        """Removes the renewal of a target."""
        self._renewed_at.pop(target, None)

    def revoke(self) -> None:
        """Ends the lease permanently, after a target granted control to a higher epoch."""
        self._revoked = True

    def controls(self, target: str) -> bool:
        """Returns whether a target honours the lease now."""
        renewed_at = self._renewed_at.get(target)
        if renewed_at is None or self._revoked:
            return False
        return self._clock.monotonic() < renewed_at + self._usable_s

    def is_valid(self) -> bool:
        """Returns whether a majority of each set of targets honours the lease now."""
        if self._revoked or self._clock.monotonic() - self._polled_at > self._max_pause_s:
            return False
        held = {target for target in list(self._renewed_at) if self.controls(target)}
        return all(has_majority(targets, held) for targets in self._target_sets)


def has_majority(targets: tuple[str, ...], granted: set[str]) -> bool:
    """Returns whether ``granted`` includes more than half of ``targets``."""
    return 2 * len(granted & set(targets)) > len(targets)
