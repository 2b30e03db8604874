"""Part of the fleet state: how each team's limit is divided among the partitions.

Invariant at every log offset: the ceilings of a team add up to at most the largest limit that an
owner may still apply, because grants are made only out of ``limit - sum(ceilings)``. The
fleet-wide limit therefore holds without communication between partitions before a start.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from azurecleat_model import NO_QUOTA, Quota

from azurecleat_coordination._internal.records import AcknowledgeLimits, Transfer
from azurecleat_coordination._internal.result import ACCEPTED, ApplyResult, rejected


class Allotment(NamedTuple):
    """Part of a team's limit that one partition may use.

    ``amount`` is the current allotment. ``ceiling`` is what the owner may still be using until it
    acknowledges a reduction; it is at least ``amount`` in every dimension.
    """

    amount: Quota = NO_QUOTA
    ceiling: Quota = NO_QUOTA


class Ledger:
    """Allotments of limits, by team and partition."""

    def __init__(self) -> None:
        self._allotments: dict[str, dict[str, Allotment]] = {}
        self._limits: dict[str, Quota] = {}
        self._partitions: tuple[str, ...] = ()

    @property
    def partitions(self) -> tuple[str, ...]:
        return self._partitions

    def allotment(self, team: str, partition: str) -> Quota:
        """Returns the part of a team's limit that a partition may use."""
        return self._allotments.get(team, {}).get(partition, Allotment()).amount

    def ceilings(self, team: str) -> Quota:
        """Returns the sum of a team's ceilings: what all owners together may be using."""
        total = NO_QUOTA
        for allotment in self._allotments.get(team, {}).values():
            total = total.plus(allotment.ceiling)
        return total

    def set_limits(self, limits: dict[str, Quota]) -> None:
        """Applies changed limits: reduces allotments in proportion, grants in equal parts."""
        for team in sorted(set(limits) | set(self._limits)):
            self._limits[team] = limits.get(team, NO_QUOTA)
            self._reduce(team)
            self._grant(team)

    def add_partition(self, partition: str) -> None:
        """Adds a partition, and grants what is not yet allotted."""
        if partition in self._partitions:
            return
        self._partitions = tuple(sorted((*self._partitions, partition)))
        for team in sorted(self._limits):
            self._grant(team)

    def transfer(self, event: Transfer) -> ApplyResult:
        """Moves part of an allotment from one partition to another."""
        if event.destination not in self._partitions or event.destination == event.source:
            return rejected(
                f"unknown destination, or the same as the source: {event.destination!r}"
            )
        if min(event.amount) < 0:
            return rejected("cannot transfer a negative amount")
        by_partition = self._allotments.get(event.team, {})
        source = by_partition.get(event.source, Allotment())
        if not source.amount.covers(event.amount):
            return rejected("the source holds less than the amount")
        destination = by_partition.get(event.destination, Allotment())
        by_partition[event.source] = Allotment(
            source.amount.minus(event.amount), source.ceiling.minus(event.amount)
        )
        by_partition[event.destination] = Allotment(
            destination.amount.plus(event.amount), destination.ceiling.plus(event.amount)
        )
        return ACCEPTED

    def acknowledge(self, event: AcknowledgeLimits) -> ApplyResult:
        """Lowers the ceilings of a partition to its amounts, and grants what this frees."""
        for team, by_partition in sorted(self._allotments.items()):
            allotment = by_partition.get(event.partition)
            if allotment is None or allotment.amount == allotment.ceiling:
                continue
            by_partition[event.partition] = Allotment(allotment.amount, allotment.amount)
            self._grant(team)
        return ACCEPTED

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "partitions": list(self._partitions),
            "limits": {team: list(limit) for team, limit in self._limits.items()},
            "allotments": {
                team: {p: [list(a.amount), list(a.ceiling)] for p, a in by_partition.items()}
                for team, by_partition in self._allotments.items()
            },
        }

    def load(self, value: dict[str, Any]) -> None:
        """Replaces this state by a dumped one."""
        self._partitions = tuple(value["partitions"])
        self._limits = {team: Quota(*limit) for team, limit in value["limits"].items()}
        self._allotments = {
            team: {p: Allotment(Quota(*a), Quota(*c)) for p, (a, c) in by_partition.items()}
            for team, by_partition in value["allotments"].items()
        }

    def _reduce(self, team: str) -> None:
        by_partition = self._allotments.setdefault(team, {})
        limit = self._limits[team]
        total = NO_QUOTA
        for allotment in by_partition.values():
            total = total.plus(allotment.amount)
        for partition, allotment in by_partition.items():
            amount = Quota(
                *(
                    a if total_amount <= limit_amount else a * limit_amount // total_amount
                    for a, total_amount, limit_amount in zip(
                        allotment.amount, total, limit, strict=True
                    )
                )
            )
            by_partition[partition] = Allotment(amount, allotment.ceiling)

    def _grant(self, team: str) -> None:
        if not self._partitions:
            return
        by_partition = self._allotments.setdefault(team, {})
        # What an owner may still be using counts against the limit, hence ceilings, not amounts.
        free = self._limits[team].minus(self.ceilings(team)).clamp()
        for position, partition in enumerate(self._partitions):
            part = Quota(*(self._portion(amount, position) for amount in free))
            allotment = by_partition.get(partition, Allotment())
            by_partition[partition] = Allotment(
                allotment.amount.plus(part), allotment.ceiling.plus(part)
            )

    def _portion(self, amount: int, position: int) -> int:
        quotient, remainder = divmod(amount, len(self._partitions))
        return quotient + (1 if position < remainder else 0)
