"""Ranks waiting steps: which of them is served first."""

from __future__ import annotations

from azurecleat_cluster._internal.owner.model import StepInfo

MAX_LATE_OBJECTIVES = 3.0
"""A job older than this many objectives has lost its value, so the other jobs go first."""


def rank_of(step: StepInfo, now: float) -> tuple:
    """Returns the rank of a step; the lowest rank goes first.

    Jobs over their team's share come last. Before them come jobs that are too late to be worth
    anything. The other jobs are ordered by their queue's priority, then by the time by which they
    should be done.
    """
    job = step.job
    objective_s = job.queue.objective_ms / 1000.0 + job.queue.stretch * job.total_estimate_s
    age_s = now - job.seen_at
    too_late = not step.spec.long_running and age_s > MAX_LATE_OBJECTIVES * objective_s
    return (
        job.is_over_share,
        too_late,
        job.queue.priority,
        job.seen_at + objective_s,
        step.name,
    )
