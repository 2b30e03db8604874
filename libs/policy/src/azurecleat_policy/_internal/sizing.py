"""Reduction of estimated sizes to what the workers can hold and the team's limit allows.

Admission checks the declared size of a job. The estimated size may exceed every worker or the
limit, or leave an all-at-once job without enough places. Without the reduction, such a job would
never start.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from functools import lru_cache

from azurecleat_model import Quota, Resources

from azurecleat_policy._internal.reservation import tasks_that_fit

MAX_CACHED_SIZES = 10_000


def reduce_to_limit(
    estimated: Resources, declared: Resources, gang_size: int, limit: Quota
) -> Resources:
    """Returns the estimated size, reduced so that ``gang_size`` tasks stay within a limit.

    :return: A size that is nowhere below the declared one.
    """
    if estimated == declared:
        return estimated
    limits = (limit.cpu_milli, limit.memory_mb, limit.accelerators)
    allowed = [amount // gang_size for amount in limits]
    return declared.at_least(Resources(*map(min, estimated, allowed)))


class FleetCapacity:
    """Capacities of the workers that take tasks.

    :param capacities: One entry for each worker.
    """

    def __init__(self, capacities: Iterable[Resources]) -> None:
        self._workers = Counter(capacities)
        self._cached_reduce = lru_cache(MAX_CACHED_SIZES)(self._reduce)

    @property
    def is_empty(self) -> bool:
        return not self._workers

    def fits(self, size: Resources, gang_size: int) -> bool:
        """Returns whether ``gang_size`` tasks of a size fit on idle workers at the same time."""
        places = 0
        for capacity, workers in self._workers.items():
            places += workers * tasks_that_fit(size, capacity)
            if places >= gang_size:
                return True
        return False

    def reduce(self, estimated: Resources, declared: Resources, gang_size: int) -> Resources:
        """Returns the largest size up to the estimated one of which ``gang_size`` tasks fit.

        :param gang_size: Number of tasks that have to run at the same time.
        :return: The declared size if no larger one fits; the estimated size if there are no
            workers.
        """
        if estimated == declared or self.is_empty:
            return estimated
        return self._cached_reduce(estimated, declared, gang_size)

    def _reduce(self, estimated: Resources, declared: Resources, gang_size: int) -> Resources:
        if self.fits(estimated, gang_size):
            return estimated
        reduced = {
            Resources(*map(min, estimated, capacity))
            for capacity in self._workers
            if declared.fits_in(capacity)
        }
        fitting = (size for size in sorted(reduced, reverse=True) if self.fits(size, gang_size))
        return next(fitting, declared)
