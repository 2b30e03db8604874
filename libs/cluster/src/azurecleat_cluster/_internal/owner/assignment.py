"""Assigns the tasks of one step to targets, away from those on which they failed. No I/O, no clock.

Tasks of a step differ only in the targets that they avoid. If each target simply took the next
tasks, one that may use a single target could find that target full of tasks that may use any.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

Avoided = Mapping[int, Collection[str]]
"""Targets that each task avoids, by task index; tasks that avoid none may be left out."""


class Room(NamedTuple):
    """A target, and the number of tasks for which it has room."""

    target: str
    count: int


def assign(indices: Sequence[int], rooms: Sequence[Room], avoided: Avoided) -> dict[int, str]:
    """Assigns as many tasks as possible to targets that they do not avoid.

    :param indices: Indices of the tasks.
    :param rooms: The targets, best first: these are filled first.
    :returns: The target of each task that was assigned.
    """
    if not any(avoided.get(index) for index in indices):
        places = (target for target, count in rooms for _ in range(count))
        return dict(zip(indices, places, strict=False))
    # Tasks that avoid some targets choose before those that may use any.
    assigned = _fill(sorted(indices, key=lambda index: not avoided.get(index)), rooms, avoided)
    exchange = _Exchange(rooms, avoided, assigned)
    for index in indices:
        if index not in assigned:
            exchange.assign(index)
    return assigned


def assign_anywhere(
    indices: Sequence[int], rooms: Sequence[Room], assigned: dict[int, str]
) -> None:
    """Adds tasks to an assignment, as far as there is room, on targets that they may avoid."""
    if not indices:
        return
    left = _rooms_left(rooms, assigned)
    for index in indices:
        target = next((name for name, count in left.items() if count), None)
        if target is None:
            return
        assigned[index] = target
        left[target] -= 1


def _fill(indices: Sequence[int], rooms: Sequence[Room], avoided: Avoided) -> dict[int, str]:
    """Fills one target after the other with the first tasks that do not avoid it."""
    assigned: dict[int, str] = {}
    left = list(indices)
    for target, count in rooms:
        if not left:
            break
        fitting = [index for index in left if target not in avoided.get(index, ())][:count]
        assigned.update(dict.fromkeys(fitting, target))
        left = [index for index in left if index not in assigned]
    return assigned


def _rooms_left(rooms: Iterable[Room], assigned: Mapping[int, str]) -> dict[str, int]:
    left = {target: count for target, count in rooms}
    for target in assigned.values():
        left[target] -= 1
    return left


class _Exchange:
    """Moves assigned tasks to other targets to make room for one more.

    Searches the shortest chain of moves (an augmenting path of a bipartite matching). If there is
    none for a task, its targets are never part of one for another task.
    """

    def __init__(self, rooms: Sequence[Room], avoided: Avoided, assigned: dict[int, str]) -> None:
        self._avoided = avoided
        self._assigned = assigned
        self._left = _rooms_left(rooms, assigned)
        self._open = list(self._left)
        """Targets from which a chain of moves may lead to room."""
        self._tasks: dict[str, set[int]] = {target: set() for target in self._left}
        for index, target in assigned.items():
            self._tasks[target].add(index)

    def assign(self, index: int) -> None:
        """Assigns one more task if that is possible."""
        if not any(self._left[target] for target in self._open):
            return
        unseen = dict.fromkeys(self._open)
        reached_by: dict[str, int] = {}
        queue: deque[str] = deque()

        def reach(task: int) -> None:
            for target in list(unseen):
                if target not in self._avoided.get(task, ()):
                    del unseen[target]
                    reached_by[target] = task
                    queue.append(target)

        reach(index)
        while queue:
            target = queue.popleft()
            if self._left[target]:
                self._move(target, reached_by)
                return
            for task in sorted(self._tasks[target]):
                if not unseen:
                    break
                reach(task)
        self._open = list(unseen)

    def _move(self, target: str, reached_by: Mapping[str, int]) -> None:
        """Moves each task of a chain, from the last one on, to the target that it has reached."""
        self._left[target] -= 1
        while True:
            task = reached_by[target]
            previous = self._assigned.get(task)
            self._assigned[task] = target
            self._tasks[target].add(task)
            if previous is None:
                return
            self._tasks[previous].discard(task)
            target = previous
