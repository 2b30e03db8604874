"""Keeps capacity free for an urgent burst that has begun. No I/O, no clock.

Once urgent work had to wait, more of it is likely to follow at the rate of the last second. Without
free capacity each of its tasks would wait for the stop of another one.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable

from azurecleat_base import Resources

from azurecleat_cluster._internal.owner.model import StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import capacity_for

KEEP_S = 2.0
"""How long capacity is kept free after urgent work had to wait."""

WINDOW_S = 1.0
"""Time over which the starts of urgent work are counted."""

MAX_SHARE = 1 / 8
"""Share of a pool's capacity that is kept free at most."""


class Headroom:
    """The capacity of one pool to keep free for urgent work."""

    def __init__(self) -> None:
        self._waited_at = float("-inf")
        self._starts: deque[tuple[float, StepInfo, int]] = deque()

    def note_wait(self, now: float) -> None:
        """Notes that urgent work found no capacity."""
        self._waited_at = now

    def note_starts(self, step: StepInfo, count: int, now: float) -> None:
        """Notes that tasks of an urgent step were started."""
        self._starts.append((now, step, count))
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        while self._starts and now - self._starts[0][0] > WINDOW_S:
            self._starts.popleft()

    def is_active(self, now: float) -> bool:
        return now - self._waited_at < KEEP_S

    def wanted(self, capacity: Resources, now: float) -> list[tuple[StepInfo, int]]:
        """Returns for how many tasks, by shape, capacity is to be kept free.

        :param capacity: Capacity of the pool.
        :returns: One step for each shape of task, and the number of such tasks.
        """
        self._drop_old(now)
        if not self.is_active(now):
            return []
        steps: dict[Resources, StepInfo] = {}
        counts: Counter[Resources] = Counter()
        for _, step, count in self._starts:
            steps[step.spec.allocation] = step
            counts[step.spec.allocation] += count
        left = Resources(*(int(value * MAX_SHARE) for value in capacity))
        wanted = []
        for allocation, count in counts.items():
            count = _fitting(allocation, left, count)
            left = left.plus(allocation, -count)
            if count:
                wanted.append((steps[allocation], count))
        return wanted


def _fitting(allocation: Resources, left: Resources, count: int) -> int:
    for need, value in zip(allocation, left, strict=True):
        if need:
            count = min(count, value // need)
    return max(0, count)


def choose_holds(
    step: StepInfo, count: int, targets: Iterable[TargetInfo]
) -> list[tuple[TargetInfo, int]]:
    """Chooses where to keep capacity free for tasks like those of a step.

    The targets with the most free capacity come first: a step may use only some targets, and a
    burst needs few of them then.

    :returns: Pairs of a target and a number of tasks.
    """
    fitting = [(capacity_for(step, target), target) for target in targets]
    fitting.sort(key=lambda each: (-each[0], each[1].id))
    holds = []
    for tasks, target in fitting:
        if count <= 0 or tasks <= 0:
            break
        holds.append((target, min(tasks, count)))
        count -= tasks
    return holds
