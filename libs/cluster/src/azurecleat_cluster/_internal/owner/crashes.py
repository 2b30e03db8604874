"""Attributes the crash of a target to the runs that may have caused it. No I/O, no clock."""

from __future__ import annotations

from azurecleat_cluster._internal.owner.model import Run, TargetInfo

MIN_SURVIVAL_S = 0.1
"""Age of a run from which a report that shows it proves that its start did not crash the target."""

MAX_LISTED_TASKS = 5
"""Most tasks named in the log line of a crash."""


def has_survived(run: Run, now: float) -> bool:
    """Whether a report received now that shows the run proves that it survived its start."""
    return run.start_answered_at is not None and now - run.start_answered_at >= MIN_SURVIVAL_S


def runs_being_started(target: TargetInfo) -> list[Run]:
    """Returns the runs on a target that no report has shown to have survived their start."""
    return [run for run in target.runs.values() if not run.has_survived_start]


def describe_tasks(runs: list[Run]) -> str:
    """Names the tasks of some runs for the log."""
    names = [str(run.task) for run in runs[:MAX_LISTED_TASKS]]
    return ",".join(names + ["..."] if len(runs) > MAX_LISTED_TASKS else names)
