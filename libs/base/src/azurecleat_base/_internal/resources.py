"""Amounts of resources: worker capacity and team limits."""

from __future__ import annotations

from typing import NamedTuple

UNLIMITED = 1 << 40
"""Value of a quota dimension without a limit."""


class Resources(NamedTuple):
    """Capacity of a worker or requirements of a task.

    ``cpu_milli`` is in thousandths of a core, ``memory_mb`` in MiB, ``accelerators`` in devices.
    """

    cpu_milli: int
    memory_mb: int
    accelerators: int = 0

    def fits_in(self, free: Resources) -> bool:
        """Returns whether every dimension is at most that of ``free``."""
        return (
            self.cpu_milli <= free.cpu_milli
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def plus(self, other: Resources, times: int = 1) -> Resources:
        """Returns this amount plus ``other`` multiplied by ``times``."""
        return Resources(
            self.cpu_milli + times * other.cpu_milli,
            self.memory_mb + times * other.memory_mb,
            self.accelerators + times * other.accelerators,
        )

    def at_least(self, other: Resources) -> Resources:
        """Returns the maximum of both amounts in each dimension."""
        return Resources(*map(max, self, other))


ZERO = Resources(0, 0, 0)


class Quota(NamedTuple):
    """Upper limit on what a team may have running at one time, per dimension."""

    requests: int = UNLIMITED
    tasks: int = UNLIMITED
    cpu_milli: int = UNLIMITED
    memory_mb: int = UNLIMITED
    accelerators: int = UNLIMITED

    # Written out field by field for speed: each placement calls these methods several times.

    def plus(self, other: Quota) -> Quota:
        return Quota(
            self.requests + other.requests,
            self.tasks + other.tasks,
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Quota) -> Quota:
        return Quota(
            self.requests - other.requests,
            self.tasks - other.tasks,
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def covers(self, other: Quota) -> bool:
        """Returns whether ``other`` is at most this quota in every dimension."""
        return (
            self.requests >= other.requests
            and self.tasks >= other.tasks
            and self.cpu_milli >= other.cpu_milli
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )

    def clamp(self, low: int = 0) -> Quota:
        return Quota(*(max(low, a) for a in self))


NO_QUOTA = Quota(0, 0, 0, 0, 0)


def task_quota(resources: Resources, tasks: int = 1) -> Quota:
    """Returns how much of a team's limit ``tasks`` running tasks of this size use."""
    return Quota(
        0,
        tasks,
        tasks * resources.cpu_milli,
        tasks * resources.memory_mb,
        tasks * resources.accelerators,
    )


REQUEST_QUOTA = Quota(1, 0, 0, 0, 0)
"""How much of a team's limit one request in progress uses."""
