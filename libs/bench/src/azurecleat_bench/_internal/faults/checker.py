"""Checks the guarantees given to users against what targets, callers and operators observed.

The checks use only a :class:`History`, never the state of the instances.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from itertools import pairwise
from typing import NamedTuple

from azurecleat_bench._internal.faults.history import History, WithdrawnKey

END_EVENTS = ("done", "failed", "stopped", "checkpointed")


class TimeBounds(NamedTuple):
    """Time bounds of the guarantees, in seconds.

    ``key_s``: Longest time after its withdrawal for which a key may still be admitted.
    ``leaving_s``: Longest time for which a leaving target may still get work.
    ``stall_s``: Longest injected pause of an instance before a send; added to ``leaving_s``.
    """

    key_s: float
    leaving_s: float
    stall_s: float


class Violation(NamedTuple):
    """A violated guarantee."""

    guarantee: str
    detail: str


class Interval(NamedTuple):
    """Time during which a target ran a task attempt or a request; ``until`` may be infinite."""

    subject: str
    target: str
    since: float
    until: float


def check(history: History, bounds: TimeBounds) -> list[Violation]:
    """Returns all violations."""
    violations: list[Violation] = []
    for guarantee, find_violations in CHECKS.items():
        violations += [Violation(guarantee, detail) for detail in find_violations(history, bounds)]
    return violations


def _check_capacity(history: History, bounds: TimeBounds) -> list[str]:
    """Targets never get more work than they have capacity for."""
    return [
        f"{seen.subject} given to full {seen.target} at {seen.at:.2f}"
        for seen in history.observations
        if seen.event == "overload"
    ]


def _check_one_place(history: History, bounds: TimeBounds) -> list[str]:
    """Two attempts of a task never run at the same time."""
    by_task: dict[str, list[Interval]] = defaultdict(list)
    for interval in _intervals(history, "start", END_EVENTS):
        by_task[_task_of(interval.subject)].append(interval)
    found = []
    for intervals in by_task.values():
        intervals.sort(key=lambda interval: interval.since)
        for earlier, later in pairwise(intervals):
            if later.since < earlier.until and later.since < later.until:
                found.append(f"{later} while {earlier}")
    return found


def _check_withdrawn_keys(history: History, bounds: TimeBounds) -> list[str]:
    """No key is admitted later than ``key_s`` after its withdrawal."""
    withdrawn = {w.key_id: w for w in history.withdrawn}
    found = []
    for result in history.callers:
        withdrawal = withdrawn.get(result.key_id)
        if withdrawal is None or result.at <= withdrawal.at + bounds.key_s:
            continue
        refused = result.code in ("unauthorized", "keys-not-fresh")
        if not refused and _is_still_known(history, withdrawal, result.at):
            late_s = result.at - withdrawal.at
            found.append(f"{result.key_id} admitted {late_s:.2f} s after withdrawal")
    return found


def _is_still_known(history: History, withdrawn: WithdrawnKey, now: float) -> bool:
    """Returns whether the log or a live instance still knows of a withdrawal.

    Instances store nothing locally, so a withdrawal that is not yet in the log is lost when the
    last instance that knows of it dies.
    """
    if withdrawn.recorded:
        return True
    dead = {d.instance for d in history.deaths if withdrawn.at <= d.at <= now}
    return not set(withdrawn.known_by) <= dead


def _check_limits(history: History, bounds: TimeBounds) -> list[str]:
    """No team ever runs more tasks or requests than its limits allow."""
    team_of = {job.job_id: job.team for job in history.jobs}
    tasks = [
        (interval, team_of.get(_job_of(interval.subject), ""))
        for interval in _intervals(history, "start", END_EVENTS)
    ]
    requests = [
        (interval, interval.subject.partition("/")[0])
        for interval in _intervals(history, "run", ("finish",))
    ]
    found = []
    for team in sorted({change.team for change in history.limits}):
        changes = [change for change in history.limits if change.team == team]
        task_limits = [(change.at, change.tasks) for change in changes]
        request_limits = [(change.at, change.requests) for change in changes]
        found += _find_excess(f"tasks of {team}", team, tasks, task_limits)
        found += _find_excess(f"requests of {team}", team, requests, request_limits)
    return found


def _find_excess(
    label: str,
    team: str,
    running: list[tuple[Interval, str]],
    limits: list[tuple[float, int]],
) -> list[str]:
    changes = []
    for interval, running_team in running:
        if running_team == team and interval.since < interval.until:
            changes += [(interval.since, 1), (interval.until, -1)]
    count = 0
    found = []
    # At the same time, ends (-1) sort before starts (+1).
    for at, change in sorted(changes):
        count += change
        limit = max((allowed for since, allowed in limits if since <= at), default=0)
        if change > 0 and count > limit:
            found.append(f"{count} {label} at {at:.2f}, limit {limit}")
    return found


def _check_own_answer(history: History, bounds: TimeBounds) -> list[str]:
    """Callers get the response to their own request."""
    return [
        f"{result.body!r} got {result.answer[:60]!r}"
        for result in history.callers
        if result.outcome == "done" and result.answer != b"checked: " + result.body
    ]


def _check_not_run(history: History, bounds: TimeBounds) -> list[str]:
    """A request that is reported as not run has never run."""
    runs = Counter(execution.body for execution in history.executions)
    outcomes: dict[bytes, list[str]] = defaultdict(list)
    for result in history.callers:
        outcomes[result.body].append(result.outcome)
    # A retry of a request that was answered with not-run may run. Only if every answer for a body
    # was not-run must the body never have run.
    return [
        f"{body!r} was reported as not-run but ran"
        for body, seen in outcomes.items()
        if runs[body] and all(outcome == "not-run" for outcome in seen)
    ]


def _check_at_most_once(history: History, bounds: TimeBounds) -> list[str]:
    """Requests and tasks that are not repeatable run at most once."""
    runs = Counter(execution.body for execution in history.executions)
    non_repeatable_bodies = {result.body for result in history.callers if not result.repeatable}
    found = [
        f"{body!r} ran {runs[body]} times"
        for body in sorted(non_repeatable_bodies)
        if runs[body] > 1
    ]
    non_repeatable_jobs = {job.job_id for job in history.jobs if not job.repeatable}
    starts = Counter(_task_of(s.subject) for s in history.observations if s.event == "start")
    for task, count in sorted(starts.items()):
        if task.rpartition(".")[0] in non_repeatable_jobs and count > 1:
            found.append(f"{task} started {count} times")
    return found


def _check_leaving(history: History, bounds: TimeBounds) -> list[str]:
    """A leaving target gets no work after ``leaving_s``."""
    found = []
    allowed_s = bounds.leaving_s + bounds.stall_s
    for period in history.leaving:
        for seen in history.observations:
            if seen.target != period.target or seen.event not in ("start", "run"):
                continue
            if not period.since + allowed_s < seen.at < period.until:
                continue
            # An owner that cannot read the instance list cannot know that the target is leaving,
            # and must keep serving.
            if not _was_list_unreachable(history, seen.target, seen.at - allowed_s, seen.at):
                late_s = seen.at - period.since
                found.append(f"{seen.subject} given to {seen.target} {late_s:.2f} s into leaving")
    return found


def _was_list_unreachable(history: History, target: str, since: float, until: float) -> bool:
    return any(
        target.startswith(outage.zone) and since <= outage.at <= until
        for outage in history.list_outages
    )


def _check_never_reverts(history: History, bounds: TimeBounds) -> list[str]:
    """The configuration version of an incarnation never decreases."""
    latest: dict[str, int] = {}
    found = []
    for seen in history.versions:
        if seen.version < latest.get(seen.incarnation, 0):
            found.append(f"{seen.incarnation[:8]} went back to version {seen.version}")
        latest[seen.incarnation] = max(seen.version, latest.get(seen.incarnation, 0))
    return found


def _check_accepted_jobs_end(history: History, bounds: TimeBounds) -> list[str]:
    """Every accepted job finishes."""
    found = []
    for job in history.jobs:
        final = history.final_jobs.get(job.job_id)
        if final is None:
            found.append(f"{job.job_id} is unknown to the instances of its zone")
        elif not final["finished"]:
            found.append(f"{job.job_id} did not finish: {final}")
    return found


def _task_of(subject: str) -> str:
    """Returns the task of an attempt named ``task.attempt``."""
    return subject.rpartition(".")[0]


def _job_of(subject: str) -> str:
    return subject.rsplit(".", 2)[0]


def _intervals(history: History, start: str, ends: tuple[str, ...]) -> list[Interval]:
    """Returns the time for which each attempt ran on each target.

    Ended attempts come first, in the order in which their ends were recorded; the others end at
    infinity.
    """
    began: dict[tuple[str, str], float] = {}
    intervals = []
    for seen in history.observations:
        key = (seen.subject, seen.target)
        if seen.event == start:
            began[key] = seen.at
        elif seen.event in ends and key in began:
            intervals.append(Interval(seen.subject, seen.target, began.pop(key), seen.at))
    intervals += [Interval(*key, since, float("inf")) for key, since in began.items()]
    return intervals


CHECKS = {
    "capacity": _check_capacity,
    "one-place": _check_one_place,
    "keys": _check_withdrawn_keys,
    "limits": _check_limits,
    "own-answer": _check_own_answer,
    "not-run": _check_not_run,
    "at-most-once": _check_at_most_once,
    "leaving": _check_leaving,
    "never-reverts": _check_never_reverts,
    "accepted-jobs-end": _check_accepted_jobs_end,
}
