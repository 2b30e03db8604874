"""Index that finds the next lane without scanning all lanes.

Lanes of the same shape need the same capacity. If the first of them fits on no worker, none of
them does, so the whole shape is blocked until enough capacity is freed. These are the equivalence
classes of A. Verma et al., "Large-scale cluster management at Google with Borg", 2015.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection

from azurecleat_policy._internal.jobs import Lane, Shape

SortKey = tuple
HeapEntry = tuple[SortKey, int, int, Lane]
"""Sort key, tie-breaker, stamp of the lane when it was pushed, lane."""


class _ShapeQueue:
    """Lanes of one shape.

    While the shape is blocked, ``missing`` is the number of tasks for which capacity has to be
    freed. ``freed`` are the slots of the workers that gained capacity since it was last blocked.
    """

    __slots__ = ("shape", "heap", "missing", "freed")

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.heap: list[HeapEntry] = []
        self.missing = 0
        self.freed: set[int] | None = None

    @property
    def blocked(self) -> bool:
        return self.missing > 0


class LaneIndex:
    """One heap of lanes per shape, and one heap of the shapes by their first lane.

    A changed lane is pushed again and its old entry stays in the heap. Only the entry whose stamp
    equals the lane's current ``stamp`` is valid; others are dropped when they reach the top.

    :param key: Returns the sort key of a lane, or None if the lane has nothing to start.
    """

    def __init__(self, key: Callable[[Lane], SortKey | None]) -> None:
        self._sort_key = key
        self._shapes: dict[Shape, _ShapeQueue] = {}
        self._shape_heap: list[tuple[SortKey, int, _ShapeQueue]] = []
        self._counter = 0

    def update(self, lane: Lane) -> None:
        """Reinserts a lane after its head or the rank of its team changed."""
        lane.stamp += 1
        key = self._sort_key(lane)
        if key is None:
            return
        queue = self._shapes.get(lane.shape)
        if queue is None:
            queue = self._shapes[lane.shape] = _ShapeQueue(lane.shape)
        heapq.heappush(queue.heap, (key, self._next_tiebreaker(), lane.stamp, lane))
        top = self._top(queue)
        if not queue.blocked and top is not None and top[3] is lane:
            heapq.heappush(self._shape_heap, (key, self._next_tiebreaker(), queue))

    def best(self) -> Lane | None:
        """Returns the first lane among the shapes that are not blocked."""
        while self._shape_heap:
            key, _, queue = self._shape_heap[0]
            top = self._top(queue)
            if queue.blocked or top is None or top[0] != key:
                heapq.heappop(self._shape_heap)
                if not queue.blocked and top is not None and top[0] > key:
                    heapq.heappush(self._shape_heap, (top[0], self._next_tiebreaker(), queue))
                continue
            return top[3]
        return None

    def block(self, shape: Shape, missing: int) -> None:
        """Blocks a shape whose first lane finds no capacity for ``missing`` of its tasks."""
        queue = self._shapes[shape]
        queue.missing = missing
        queue.freed = set()

    def freed_since_blocked(self, shape: Shape) -> set[int] | None:
        """Returns the slots of the workers that gained capacity since a shape was blocked.

        No other worker can take a task of the shape. None if the shape was never blocked.
        """
        queue = self._shapes.get(shape)
        return queue.freed if queue is not None else None

    def unblock(self, gain: Callable[[Shape], int], slot: int | None = None) -> None:
        """Unblocks the shapes that may fit again.

        :param gain: Returns the largest number of tasks of a shape that may now fit in addition.
            An all-at-once shape is unblocked once the gains add up to its missing tasks.
        :param slot: Slot of the worker that gained capacity; None if no worker did.
        """
        for queue in self._shapes.values():
            if queue.freed is None:
                continue
            gained = gain(queue.shape)
            if not gained:
                continue
            if slot is not None:
                queue.freed.add(slot)
            if queue.missing <= 0:
                continue
            queue.missing -= gained
            if queue.missing <= 0:
                top = self._top(queue)
                if top is not None:
                    heapq.heappush(self._shape_heap, (top[0], self._next_tiebreaker(), queue))

    def first_blocked(
        self, qualifies: Callable[[Lane], bool], excluded: Collection[Shape] = ()
    ) -> Lane | None:
        """Returns the first qualifying lane among the blocked shapes, in sort order.

        :param excluded: Shapes of which no lane qualifies.
        """
        best: HeapEntry | None = None
        for queue in self._shapes.values():
            if not queue.blocked or queue.shape in excluded:
                continue
            entry = self._first_in(queue, qualifies)
            if entry is not None and (best is None or entry[0] < best[0]):
                best = entry
        return best[3] if best is not None else None

    def _first_in(self, queue: _ShapeQueue, qualifies: Callable[[Lane], bool]) -> HeapEntry | None:
        top = self._top(queue)
        if top is None or qualifies(top[3]):
            return top
        current = (e for e in queue.heap if e[2] == e[3].stamp and qualifies(e[3]))
        return min(current, key=lambda entry: entry[0], default=None)

    def rebuild(self, lanes: list[Lane]) -> None:
        """Recomputes all sort keys and drops outdated entries. Blocked shapes stay blocked."""
        previous = self._shapes
        self._shapes = {}
        self._shape_heap = []
        for lane in lanes:
            queue = self._shapes.get(lane.shape)
            if queue is None:
                queue = self._shapes[lane.shape] = _ShapeQueue(lane.shape)
                if lane.shape in previous:
                    queue.missing = previous[lane.shape].missing
                    queue.freed = previous[lane.shape].freed
            self.update(lane)

    def _top(self, queue: _ShapeQueue) -> HeapEntry | None:
        while queue.heap:
            top = queue.heap[0]
            if top[2] == top[3].stamp:
                return top
            heapq.heappop(queue.heap)
        return None

    def _next_tiebreaker(self) -> int:
        self._counter += 1
        return self._counter
