"""Part of the fleet state: the owner and the epoch of each partition."""

from __future__ import annotations

from typing import Any, NamedTuple

from azurecleat_coordination._internal.records import Claim, Release, SetTargets
from azurecleat_coordination._internal.result import ACCEPTED, ApplyResult, rejected


class Owner(NamedTuple):
    """The latest claim on a partition.

    ``targets`` are the targets whose control leases the owner needs. ``former_targets`` are those
    of the previous epoch: a new owner first needs leases from a majority of them.
    """

    partition: str
    epoch: int
    instance: str
    incarnation: str
    targets: tuple[str, ...]
    former_targets: tuple[str, ...] = ()
    former_released: bool = True
    released: bool = False


class Ownership:
    """Owners by partition name. The epoch of a partition only increases."""

    def __init__(self) -> None:
        self._owners: dict[str, Owner] = {}

    @property
    def owners(self) -> dict[str, Owner]:
        return dict(self._owners)

    def owner(self, partition: str) -> Owner | None:
        """Returns the latest claim on a partition, or None if there never was one."""
        return self._owners.get(partition)

    def holds(self, partition: str, epoch: int) -> bool:
        """Returns whether ``epoch`` is the latest of the partition and was not released."""
        owner = self._owners.get(partition)
        return owner is not None and owner.epoch == epoch and not owner.released

    def claim(self, event: Claim) -> ApplyResult:
        """Accepts a claim if its epoch is the next one."""
        previous = self._owners.get(event.partition)
        expected = previous.epoch + 1 if previous else 1
        if event.epoch != expected:
            return rejected(f"next epoch of {event.partition} is {expected}, not {event.epoch}")
        self._owners[event.partition] = Owner(
            *event,
            former_targets=previous.targets if previous else (),
            former_released=previous.released if previous else True,
        )
        return ACCEPTED

    def set_targets(self, event: SetTargets) -> ApplyResult:
        """Replaces the arbitrating targets; only the owner may do so."""
        if not self.holds(event.partition, event.epoch):
            return rejected("the epoch is not that of the partition's owner")
        owner = self._owners[event.partition]
        self._owners[event.partition] = owner._replace(targets=event.targets)
        return ACCEPTED

    def release(self, event: Release) -> ApplyResult:
        """Ends an ownership, so that the next owner need not wait for the lease to expire."""
        if not self.holds(event.partition, event.epoch):
            return rejected("the epoch is not that of the partition's owner")
        owner = self._owners[event.partition]
        self._owners[event.partition] = owner._replace(released=True)
        return ACCEPTED

    def dump(self) -> list[Any]:
        """Returns the state as JSON values."""
        return [list(owner) for owner in self._owners.values()]

    def load(self, value: list[Any]) -> None:
        """Replaces this state by a dumped one."""
        owners = (Owner(*fields) for fields in value)
        self._owners = {
            owner.partition: owner._replace(
                targets=tuple(owner.targets), former_targets=tuple(owner.former_targets)
            )
            for owner in owners
        }
