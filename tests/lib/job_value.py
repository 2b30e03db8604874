"""What jobs are worth to their callers, by when they ended."""

from __future__ import annotations

from azurecleat_cluster._internal.objectives import objective_of

from tests.lib.pool_simulation import JobResult


def value_of(result: JobResult) -> float:
    """Returns what a job is worth: all within its objective, a fifth up to three objectives."""
    arrival = result.arrival
    if result.ended_at is None:
        return 0.0
    estimate_s = sum(step.estimate_ms for step in arrival.spec.steps) / 1000.0
    objectives = (result.ended_at - arrival.at) / objective_of(arrival.queue, estimate_s)
    return 1.0 if objectives <= 1.0 else 0.2 if objectives <= 3.0 else 0.0


def mean_value(results: list[JobResult]) -> float:
    return sum(map(value_of, results)) / max(1, len(results))
