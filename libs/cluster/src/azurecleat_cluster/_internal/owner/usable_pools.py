"""The targets that one dispatch round may use."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from azurecleat_base import ZERO, Resources

from azurecleat_cluster._internal.owner.model import StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import is_available, is_kept_back
from azurecleat_cluster._internal.owner.pool_load import PoolLoad, measure

MAX_ADVISABLE_TARGETS = 400
"""Most targets considered for a step's requests, which name at most 100: 1,000 take 10 ms."""

EXCERPT_PERIOD_S = 0.1
"""How long a step's excerpt of a larger pool stays the same: until its next check."""


class UsablePool:
    """The usable targets of one pool, as they are in one dispatch round."""

    def __init__(self) -> None:
        self._by_id: dict[str, TargetInfo] = {}
        self._largest = ZERO
        self._with_room: dict[int, dict[str, TargetInfo]] = {}
        """Targets with free processor capacity of at least a power of two, by its exponent."""

    @property
    def targets(self) -> list[TargetInfo]:
        return list(self._by_id.values())

    def add(self, target: TargetInfo) -> None:
        self._by_id[target.id] = target
        self._largest = Resources(*map(max, self._largest, target.free))

    def note_released_holds(self) -> None:
        """Takes the free capacities anew after capacity that was held has been released."""
        self._with_room.clear()
        for target in self._by_id.values():
            self._largest = Resources(*map(max, self._largest, target.free))

    def select(self, names: Iterable[str]) -> list[TargetInfo]:
        return [self._by_id[name] for name in names if name in self._by_id]

    def with_room(self, step: StepInfo, now: float) -> list[TargetInfo]:
        """Returns the targets that may have a valid ticket and free capacity for a step.

        Those left out certainly have none, because capacity only shrinks in a dispatch round. With
        many waiting steps most targets are full, so that few have to be examined for each step.
        """
        targets = self._roomy_targets(step.spec.allocation)
        if step.job.queue.advice is None:
            return list(targets.values())
        return [targets[name] for name in step.advice.valid_targets(now) if name in targets]

    def advisable(self, step: StepInfo, now: float, include_full: bool) -> list[TargetInfo]:
        """Returns the targets that requests of a step for advice may name.

        A full target matters only to the first request, and for the renewal of its ticket.
        """
        is_allowed = step.advice.is_allowed
        if not step.advice.has_answers:
            targets = self._by_id
        else:
            targets = self._roomy_targets(step.spec.allocation)
        if len(targets) > MAX_ADVISABLE_TARGETS and _may_run_anywhere(step):
            targets = _excerpt(targets, step.name, now)
            include_full = True  # The step's allowed targets, which the excerpt may not contain.
        if not include_full:
            return list(targets.values())
        return [
            target for name, target in self._by_id.items() if name in targets or is_allowed(name)
        ]

    def _roomy_targets(self, allocation: Resources) -> dict[str, TargetInfo]:
        exponent = allocation.cpu_milli.bit_length() - 1
        if exponent < 0:
            return self._by_id
        if exponent not in self._with_room:
            least = 1 << exponent
            self._with_room[exponent] = {
                name: target
                for name, target in self._by_id.items()
                if target.free.cpu_milli >= least
            }
        return self._with_room[exponent]

    def may_fit(self, allocation: Resources) -> bool:
        """Whether a target may have free capacity for a task.

        False is certain, because capacity only shrinks in a dispatch round.
        """
        return allocation.fits_in(self._largest)


def _may_run_anywhere(step: StepInfo) -> bool:
    spec = step.spec
    return not (spec.gang or spec.same_rack or spec.data_rack or spec.required_label)


def _excerpt(targets: dict[str, TargetInfo], step: str, now: float) -> dict[str, TargetInfo]:
    """Returns some of the targets: others for each step, and others at each check."""
    turn = int(now / EXCERPT_PERIOD_S)
    first = zlib.crc32(f"{step}/{turn}".encode()) % len(targets)
    names = list(targets)
    chosen = (names[first:] + names[:first])[:MAX_ADVISABLE_TARGETS]
    return {name: targets[name] for name in chosen}


class UsablePools:
    """The usable pools of one dispatch round, built on first use: most rounds need none."""

    def __init__(self, targets: list[TargetInfo], now: float) -> None:
        self._targets = targets
        self._now = now
        self._pools: dict[str, UsablePool] | None = None
        self._kept_back: dict[str, list[TargetInfo]] = {}
        self._fullness: dict[str, float] = {}

    def of(self, name: str) -> UsablePool | None:
        """Returns a pool, None if it has no usable target."""
        return self._all().get(name)

    def kept_back(self, name: str) -> list[TargetInfo]:
        """Returns the available targets of a pool that are kept back because they may be faulty."""
        self._all()
        return self._kept_back.get(name, [])

    def fullness(self, name: str) -> float:
        """Returns the used part of a pool, with the targets that are kept back."""
        if name not in self._fullness:
            pool = self.of(name)
            targets = [] if pool is None else pool.targets
            self._fullness[name] = measure(targets + self.kept_back(name)).fullness
        return self._fullness[name]

    def loads(self) -> dict[str, PoolLoad]:
        """Returns the load of each pool that has a usable target."""
        return {name: measure(pool.targets) for name, pool in self._all().items()}

    def _all(self) -> dict[str, UsablePool]:
        if self._pools is None:
            self._pools = {}
            for target in self._targets:
                if not is_available(target, self._now):
                    continue
                if is_kept_back(target, self._now):
                    self._kept_back.setdefault(target.entry.pool, []).append(target)
                else:
                    self._pools.setdefault(target.entry.pool, UsablePool()).add(target)
        return self._pools
