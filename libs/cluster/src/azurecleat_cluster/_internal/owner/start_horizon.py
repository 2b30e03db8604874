"""Up to which offset of the jobs stream an owner may start jobs.

An owner publishes this horizon in the log before it starts a job beyond it. A successor therefore
knows that the previous owner has started none of the later jobs, not even on targets that the
successor can't reach. The horizon is published ahead of the jobs read, so that jobs need not wait.
"""

from __future__ import annotations

import math
import threading
from collections import deque
from collections.abc import Callable

from azurecleat_base import Clock

from azurecleat_cluster._internal.replica import records as r

MIN_RECORDS_AHEAD = 4
"""Fewest records by which the horizon is ahead of the last one read."""

PUBLISH_PERIOD_S = 0.05
"""Time between two appends of a busy owner."""

LATENCIES_AHEAD = 2
"""How many times the log's latency is added to ``PUBLISH_PERIOD_S`` for the time that the horizon
covers in advance."""

RATE_PERIOD_S = 2.0
"""Period over which the rate of records is measured."""


class StartHorizon:
    """The horizon of one term.

    :param next_offset: Returns the offset of the next record of the jobs stream to read.
    :param latency_s: Returns the log's recent latency in seconds.
    """

    def __init__(
        self,
        epoch: int,
        next_offset: Callable[[], int],
        latency_s: Callable[[], float],
        clock: Clock,
    ) -> None:
        self._epoch = epoch
        self._next_offset = next_offset
        self._latency_s = latency_s
        self._clock = clock
        self._lock = threading.Lock()
        self._samples: deque[tuple[float, int]] = deque()
        self._committed: int | None = None

    def allows(self, offset: int) -> bool:
        """Whether a job submitted at an offset, or before, may be started; at first, none may."""
        return self._committed is not None and offset < self._committed

    def propose(self) -> int:
        """Returns the horizon to publish next."""
        now, offset = self._clock.monotonic(), self._next_offset()
        with self._lock:
            self._samples.append((now, offset))
            while now - self._samples[0][0] > RATE_PERIOD_S:
                self._samples.popleft()
            since, first = self._samples[0]
        rate = (offset - first) / (now - since) if now > since else 0.0
        covered_s = PUBLISH_PERIOD_S + LATENCIES_AHEAD * self._latency_s()
        proposed = offset + max(MIN_RECORDS_AHEAD, math.ceil(rate * covered_s))
        return max(proposed, self._committed or 0)

    def is_news(self, horizon: int) -> bool:
        """Whether a horizon is higher than the one published."""
        return self._committed is None or horizon > self._committed

    def encode(self, horizon: int) -> tuple[str, bytes]:
        """Returns the record that publishes a horizon."""
        return r.HEARTBEAT, r.encode_heartbeat(r.Heartbeat(self._epoch, horizon))

    def commit(self, horizon: int) -> None:
        """Notes that the record of a horizon is in the log."""
        self._committed = max(self._committed or 0, horizon)
