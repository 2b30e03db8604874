"""The time by which a job should be done, and after which it has lost its value."""

from __future__ import annotations

from azurecleat_cluster._internal.values import Queue

MAX_LATE_OBJECTIVES = 3.0
"""A job older than this many objectives has lost its value, so the other jobs go first."""


def objective_of(queue: Queue, estimate_s: float) -> float:
    """Returns the target completion time of a job in seconds.

    :param estimate_s: Sum of the estimates of the job's steps.
    """
    return queue.objective_ms / 1000.0 + queue.stretch * estimate_s
