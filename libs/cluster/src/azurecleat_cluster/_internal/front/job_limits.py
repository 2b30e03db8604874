"""Bounds on the size of a job: an owner holds all its steps and tasks in memory."""

from __future__ import annotations

from azurecleat_cluster._internal.values import JobSpec

MAX_STEPS = 2_000
"""Most steps of a job, counted once for each occurrence."""

MAX_TASKS = 50_000
"""Most tasks of a job, over all its occurrences."""


def find_excess(spec: JobSpec) -> str:
    """Returns which bound a job exceeds, in words for its caller; empty if it exceeds none."""
    steps = len(spec.steps) * spec.occurrences
    tasks = sum(step.count for step in spec.steps) * spec.occurrences
    if steps > MAX_STEPS:
        return f"the job has {steps} steps over all its occurrences, at most {MAX_STEPS} are served"
    if tasks > MAX_TASKS:
        return f"the job has {tasks} tasks over all its occurrences, at most {MAX_TASKS} are served"
    return ""
