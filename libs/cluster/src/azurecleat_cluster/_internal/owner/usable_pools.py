"""The targets that one dispatch round may use."""

from __future__ import annotations

from collections.abc import Iterable

from azurecleat_base import ZERO, Resources

from azurecleat_cluster._internal.owner.model import TargetInfo
from azurecleat_cluster._internal.owner.placement import is_usable
from azurecleat_cluster._internal.owner.pool_load import PoolLoad, measure


class UsablePool:
    """The usable targets of one pool, as they are in one dispatch round."""

    def __init__(self) -> None:
        self._by_id: dict[str, TargetInfo] = {}
        self._largest = ZERO

    @property
    def targets(self) -> list[TargetInfo]:
        return list(self._by_id.values())

    def add(self, target: TargetInfo) -> None:
        self._by_id[target.id] = target
        self._largest = Resources(*map(max, self._largest, target.free))

    def select(self, names: Iterable[str]) -> list[TargetInfo]:
        return [self._by_id[name] for name in names if name in self._by_id]

    def may_fit(self, allocation: Resources) -> bool:
        """Whether a target may have free capacity for a task.

        False is certain, because capacity only shrinks in a dispatch round.
        """
        return allocation.fits_in(self._largest)


class UsablePools:
    """The usable pools of one dispatch round, built on first use: most rounds need none."""

    def __init__(self, targets: list[TargetInfo], now: float) -> None:
        self._targets = targets
        self._now = now
        self._pools: dict[str, UsablePool] | None = None

    def of(self, name: str) -> UsablePool | None:
        """Returns a pool, None if it has no usable target."""
        return self._all().get(name)

    def loads(self) -> dict[str, PoolLoad]:
        """Returns the load of each pool that has a usable target."""
        return {name: measure(pool.targets) for name, pool in self._all().items()}

    def _all(self) -> dict[str, UsablePool]:
        if self._pools is None:
            self._pools = {}
            for target in self._targets:
                if is_usable(target, self._now):
                    self._pools.setdefault(target.entry.pool, UsablePool()).add(target)
        return self._pools
