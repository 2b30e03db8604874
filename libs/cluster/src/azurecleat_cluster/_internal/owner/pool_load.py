"""How full a pool is, and which part of it an amount of resources is."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from azurecleat_base import Resources

from azurecleat_cluster._internal.owner.model import TargetInfo


class PoolLoad(NamedTuple):
    """Capacity of a pool's usable targets, and what runs on them."""

    capacity: Resources
    used: Resources

    @property
    def fullness(self) -> float:
        """Used part of the scarcest resource."""
        return dominant_share(self.used, self.capacity)

    @property
    def free(self) -> Resources:
        return Resources(
            *(max(0, most - used) for most, used in zip(self.capacity, self.used, strict=True))
        )


def measure(targets: Iterable[TargetInfo]) -> PoolLoad:
    """Returns the load of some targets."""
    amounts = [(*target.entry.capacity, *target.used) for target in targets]
    sums = [sum(column) for column in zip(*amounts, strict=True)] or [0] * 6
    return PoolLoad(Resources(*sums[:3]), Resources(*sums[3:]))


def dominant_share(amount: Iterable[float], capacity: Iterable[float]) -> float:
    """Returns the largest part that an amount is of a capacity, over the resources."""
    return max(
        (used / most for used, most in zip(amount, capacity, strict=True) if most), default=0.0
    )
