"""Checks the users' promises from what targets, callers and operators saw.

Knows nothing of the instances: it works on a :class:`History` alone.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import NamedTuple

from azurecleat_bench._internal.faults.history import History

ENDS = ("done", "failed", "stopped", "checkpointed")


class Bounds(NamedTuple):
    """Stated bounds in seconds. ``stall_s`` is the longest injected pause before a send."""

    key_s: float
    leaving_s: float
    stall_s: float


class Violation(NamedTuple):
    """A broken promise."""

    promise: str
    detail: str


def check(history: History, bounds: Bounds) -> list[Violation]:
    """Returns all broken promises."""
    violations: list[Violation] = []
    for promise, rule in RULES.items():
        violations += [Violation(promise, detail) for detail in rule(history, bounds)]
    return violations


def _capacity(history: History, bounds: Bounds) -> list[str]:
    return [
        f"{seen.subject} given to full {seen.target} at {seen.at:.2f}"
        for seen in history.observations
        if seen.what == "overload"
    ]


def _one_place(history: History, bounds: Bounds) -> list[str]:
    running: dict[str, set[str]] = defaultdict(set)
    found = []
    for seen in _by_time(history):
        if seen.what == "start":
            if running[seen.subject]:
                found.append(f"{seen.subject} on {seen.target} and {running[seen.subject]}")
            running[seen.subject].add(seen.target)
        elif seen.what in ENDS:
            running[seen.subject].discard(seen.target)
    return found


def _keys(history: History, bounds: Bounds) -> list[str]:
    in_force = {w.key_id: w.at for w in history.withdrawn if w.in_force}
    found = []
    for result in history.callers:
        since = in_force.get(result.key_id)
        if since is None or result.at <= since + bounds.key_s:
            continue
        if result.code not in ("unauthorized", "keys-not-fresh"):
            found.append(f"{result.key_id} admitted {result.at - since:.2f} s after withdrawal")
    return found


def _limits(history: History, bounds: Bounds) -> list[str]:
    team_of = {job.job_id: job.team for job in history.jobs}
    limits: dict[str, tuple[int, int]] = {}
    changes = sorted(history.limits)
    tasks: Counter[str] = Counter()
    requests: Counter[str] = Counter()
    found = []
    for seen in _by_time(history):
        while changes and changes[0].at <= seen.at:
            change = changes.pop(0)
            limits[change.team] = (change.tasks, change.requests)
        if seen.what in ("run", "finish"):
            team = seen.subject.partition("/")[0]
            requests[team] += 1 if seen.what == "run" else -1
            if team in limits and requests[team] > limits[team][1]:
                found.append(f"{team} has {requests[team]} requests at {seen.at:.2f}")
        elif seen.what == "start" or seen.what in ENDS:
            team = team_of.get(seen.subject.rpartition(".")[0], "")
            tasks[team] += 1 if seen.what == "start" else -1
            if team in limits and tasks[team] > limits[team][0]:
                found.append(f"{team} has {tasks[team]} tasks at {seen.at:.2f}")
    return found


def _own_answer(history: History, bounds: Bounds) -> list[str]:
    return [
        f"{result.body!r} got {result.answer[:60]!r}"
        for result in history.callers
        if result.outcome == "done" and result.answer != b"checked: " + result.body
    ]


def _not_run(history: History, bounds: Bounds) -> list[str]:
    runs = Counter(execution.body for execution in history.executions)
    outcomes: dict[bytes, list[str]] = defaultdict(list)
    for result in history.callers:
        outcomes[result.body].append(result.outcome)
    # A request sent again by its caller may run then; only bodies that were never told anything
    # but not-run must not have run.
    return [
        f"{body!r} was told not-run and ran"
        for body, seen in outcomes.items()
        if runs[body] and all(outcome == "not-run" for outcome in seen)
    ]


def _at_most_once(history: History, bounds: Bounds) -> list[str]:
    runs = Counter(execution.body for execution in history.executions)
    once = {result.body for result in history.callers if not result.repeatable}
    found = [f"{body!r} ran {runs[body]} times" for body in sorted(once) if runs[body] > 1]
    single = {job.job_id for job in history.jobs if not job.repeatable}
    starts = Counter(s.subject for s in history.observations if s.what == "start")
    for task, count in sorted(starts.items()):
        if task.rpartition(".")[0] in single and count > 1:
            found.append(f"{task} started {count} times")
    return found


def _leaving(history: History, bounds: Bounds) -> list[str]:
    found = []
    allowed_s = bounds.leaving_s + bounds.stall_s
    for spell in history.leaving:
        for seen in history.observations:
            if seen.target != spell.target or seen.what not in ("start", "run"):
                continue
            if spell.since + allowed_s < seen.at < spell.until:
                late_s = seen.at - spell.since
                found.append(f"{seen.subject} given to {seen.target} {late_s:.2f} s into leaving")
    return found


def _never_reverts(history: History, bounds: Bounds) -> list[str]:
    latest: dict[str, int] = {}
    found = []
    for seen in history.versions:
        if seen.version < latest.get(seen.incarnation, 0):
            found.append(f"{seen.incarnation[:8]} went back to version {seen.version}")
        latest[seen.incarnation] = max(seen.version, latest.get(seen.incarnation, 0))
    return found


def _accepted_jobs_end(history: History, bounds: Bounds) -> list[str]:
    found = []
    for job in history.jobs:
        final = history.final_jobs.get(job.job_id)
        if final is None:
            found.append(f"{job.job_id} is gone")
        elif not final["finished"]:
            found.append(f"{job.job_id} did not finish: {final}")
    return found


def _by_time(history: History) -> list:
    # At the same moment an end comes before a start.
    order = {"start": 1, "run": 1}
    return sorted(history.observations, key=lambda seen: (seen.at, order.get(seen.what, 0)))


RULES = {
    "capacity": _capacity,
    "one-place": _one_place,
    "keys": _keys,
    "limits": _limits,
    "own-answer": _own_answer,
    "not-run": _not_run,
    "at-most-once": _at_most_once,
    "leaving": _leaving,
    "never-reverts": _never_reverts,
    "accepted-jobs-end": _accepted_jobs_end,
}
