"""Explains from logs what happened to one job: a timeline and the main cause of delay or failure.

The input is the instances' structured logs (docs/events.md), one JSON object per line. Text before
the object, such as a log collector's prefix, is skipped.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

CONTEXT_S = 1.0
"""Time before and after the job's own lines for which events of its context are shown."""

OWNER_EVENTS = frozenset(("owner.claimed", "owner.serving", "owner.ended"))
INSTANCE_EVENTS = frozenset(("dependency.lost", "dependency.back", "log.lines_left_out"))
TARGET_EVENTS = frozenset(
    (
        "target.lost",
        "target.back",
        "target.gone",
        "target.suspect",
        "target.draining",
        "target.crashed",
    )
)
PREEMPTION_REASON = "preempted by urgent work"
"""Reason of the stop of a run in whose place urgent tasks start."""

HIDDEN_FIELDS = frozenset(("at", "event", "name", "instance", "job"))


class LogLine(NamedTuple):
    """One log line: time in Unix seconds, name of the event, instance, and all fields."""

    at: float
    name: str
    instance: str
    fields: dict[str, Any]

    @property
    def target(self) -> str:
        return str(self.fields.get("target", ""))


class Phase(NamedTuple):
    """A part of the time that a job took: its length in seconds and a description."""

    took_s: float
    text: str


class Explanation(NamedTuple):
    """The timeline of a job in order of time, and the main cause of its delay or failure."""

    lines: tuple[LogLine, ...]
    cause: str


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parses log lines; text that is not a log line is skipped."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            yield LogLine(float(fields["at"]), fields["name"], fields["instance"], fields)
        except (ValueError, KeyError, TypeError):
            continue


def explain(job: str, lines: Iterable[LogLine]) -> Explanation:
    """Returns the timeline of a job and the main cause of its delay or failure.

    :param job: Id of the job.
    :param lines: Log lines of any instances, in any order.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    job_lines = [line for line in ordered if _belongs_to_job(job, line)]
    if not job_lines:
        return Explanation((), f"no events of job {job} in these logs")
    return Explanation(
        tuple(_with_context(job_lines, ordered)), _find_cause(job, job_lines, ordered)
    )


def describe(line: LogLine, since: float) -> str:
    """Formats one line of the timeline; ``since`` is the Unix time shown as 0."""
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in HIDDEN_FIELDS
    )
    return f"{line.at - since:9.3f} {line.instance:<24} {line.name:<18} {fields}"


def _belongs_to_job(job: str, line: LogLine) -> bool:
    fields = line.fields
    names = (str(fields.get("task", "")), str(fields.get("step", "")))
    return fields.get("job") == job or any(name.startswith(f"{job}.") for name in names)


def _with_context(job_lines: list[LogLine], ordered: list[LogLine]) -> Iterator[LogLine]:
    first, last = job_lines[0].at - CONTEXT_S, job_lines[-1].at + CONTEXT_S
    targets = {line.target for line in job_lines if line.target}
    instances = {line.instance for line in job_lines}
    job_line_ids = {id(line) for line in job_lines}
    for line in ordered:
        is_context = (
            line.name in OWNER_EVENTS
            or (line.name in INSTANCE_EVENTS and line.instance in instances)
            or (line.name in TARGET_EVENTS and line.target in targets)
        )
        if id(line) in job_line_ids or (is_context and first <= line.at <= last):
            yield line


def _find_cause(job: str, job_lines: list[LogLine], ordered: list[LogLine]) -> str:
    accepted = _first_named(job_lines, "job.accepted")
    refused = [line for line in job_lines if line.name == "job.refused"]
    seen = _first_named(job_lines, "job.seen")
    if accepted is None and seen is None:
        return (
            _explain_refusal(job, refused, ordered)
            if refused
            else "the job's submission is not in these logs"
        )
    ended = _first_named(job_lines, "job.ended")
    phases = [*_entry_phases(accepted, seen, ordered), *_start_phases(job_lines, seen)]
    phases.extend(_run_phases(job_lines))
    phase = max(phases, default=Phase(0.0, "no phase with a known duration"))
    if ended is None:
        cancelled = _first_named(job_lines, "job.cancelled")
        state = "was cancelled" if cancelled else f"has not ended; last event: {job_lines[-1].name}"
        return f"{job} {state}; longest: {phase.text} ({phase.took_s:.2f} s)"
    outcome, age_s = ended.fields.get("outcome"), float(ended.fields.get("age_s", 0.0))
    if outcome == "failed":
        return f"{job} failed after {age_s:.2f} s: {_describe_failures(job_lines)}"
    return f"{job} {outcome} after {age_s:.2f} s; longest: {phase.text} ({phase.took_s:.2f} s)"


def _explain_refusal(job: str, refused: list[LogLine], ordered: list[LogLine]) -> str:
    last = refused[-1]
    fields = last.fields
    text = f"{job} got {fields.get('outcome')} at {last.instance}: {fields.get('reason')}"
    lost = [
        line
        for line in ordered
        if line.name == "dependency.lost" and line.instance == last.instance and line.at <= last.at
    ]
    back = [line for line in ordered if line.name == "dependency.back" and line.at <= last.at]
    if lost and not any(line.instance == last.instance and line.at > lost[-1].at for line in back):
        lost_for_s = last.at - lost[-1].at
        return (
            f"{text}; the instance had lost the {lost[-1].fields.get('dependency')} "
            f"{lost_for_s:.2f} s before"
        )
    return f"{text}; configuration {fields.get('config')}, {fields.get('age_s')} s old"


def _entry_phases(
    accepted: LogLine | None, seen: LogLine | None, ordered: list[LogLine]
) -> Iterator[Phase]:
    if accepted is not None:
        yield Phase(float(accepted.fields.get("took_s", 0.0)), "append to the log")
    if accepted is not None and seen is not None:
        between = [line for line in ordered if accepted.at <= line.at <= seen.at]
        is_change = any(line.name in ("owner.claimed", "owner.serving") for line in between)
        reason = "ownership changed" if is_change else "owner read the log late"
        # The two times are from the clocks of different machines, so their difference may be wrong
        # or negative. The phase starts before the append, because the owner can read the job before
        # the append is acknowledged.
        entered_at = accepted.at - float(accepted.fields.get("took_s", 0.0))
        yield Phase(max(0.0, seen.at - entered_at), f"wait until an owner read the job: {reason}")


def _start_phases(job_lines: list[LogLine], seen: LogLine | None) -> Iterator[Phase]:
    """Yields the phases from the time at which the owner read the job to its first start.

    The first phase ends with the last advice before the start, the second is the wait for free
    capacity or a limit.
    """
    since = seen.at if seen is not None else job_lines[0].at
    started = _first_named(job_lines, "run.started")
    if started is None:
        yield Phase(job_lines[-1].at - since, f"not started: {_missing_condition(job_lines)}")
        return
    advice = [line for line in job_lines if line.name == "advice.given" and line.at <= started.at]
    if advice:
        yield Phase(advice[-1].at - since, "wait for advice before the first start")
        since = max(since, advice[-1].at)
    yield Phase(started.at - since, "wait for free capacity or a limit before the first start")


def _missing_condition(job_lines: list[LogLine]) -> str:
    """Returns what a job that was not started lacked."""
    stalled = [line for line in job_lines if line.name == "step.stalled"]
    if stalled:
        return f"its step lacked {stalled[-1].fields.get('missing')}"
    if any(line.name == "advice.given" for line in job_lines):
        return "no free capacity on allowed targets"
    return "no advice"


def _run_phases(job_lines: list[LogLine]) -> Iterator[Phase]:
    """Yields the run time of each finished task and the time lost to repeated starts."""
    by_task: dict[str, list[LogLine]] = defaultdict(list)
    for line in job_lines:
        if "task" in line.fields:
            by_task[str(line.fields["task"])].append(line)
    for task, lines in by_task.items():
        starts = [line for line in lines if line.name == "run.started"]
        done = [line for line in lines if line.fields.get("kind") == "done"]
        if len(starts) > 1:
            reasons = ", ".join(_end_reasons(lines)) or "unknown"
            repeated_s = starts[-1].at - starts[0].at
            yield Phase(repeated_s, f"{task} was started {len(starts)} times: {reasons}")
        elif _is_preempted(lines):
            waited_s = job_lines[-1].at - lines[-1].at
            yield Phase(waited_s, f"{task} waits for capacity: {_end_reasons(lines)[-1]}")
        if done and done[-1].fields.get("took_s") is not None:
            took_s = float(done[-1].fields["took_s"])
            yield Phase(took_s, f"{task} running on {done[-1].target}")


def _is_preempted(lines: list[LogLine]) -> bool:
    """Whether the last that is known of a task is that its run was preempted."""
    stops = [line for line in lines if line.fields.get("reason") == PREEMPTION_REASON]
    later = ("run.started", "run.ended")
    ends = [line.fields.get("kind") for line in lines if line.name in later]
    return bool(stops) and ends[-1:] in ([None], ["stopped"])


def _end_reasons(lines: list[LogLine]) -> list[str]:
    """Returns why runs of a task ended without success, each reason with its target."""
    reasons = []
    for line in lines:
        if line.name == "run.ended" and line.fields.get("kind") in ("failed", "broken", "alone"):
            reasons.append(f"{line.fields['kind']} on {line.target}")
        elif line.name in ("run.lost", "run.stop_sent"):
            reasons.append(f"{line.fields.get('reason')} ({line.target})")
    return reasons


def _describe_failures(job_lines: list[LogLine]) -> str:
    given_up = _first_named(job_lines, "job.given_up")
    if given_up is not None:
        task, crashes = given_up.fields.get("task"), given_up.fields.get("crashes")
        return f"{task} was given up after {crashes} targets had crashed when they started it"
    failed: dict[str, list[str]] = defaultdict(list)
    for line in job_lines:
        if line.name == "run.ended" and line.fields.get("kind") == "failed":
            failed[str(line.fields["task"])].append(line.target)
    if not failed:
        return "the failed runs are not in these logs"
    task, targets = max(failed.items(), key=lambda each: len(each[1]))
    return f"{task} failed {len(targets)} times, on {', '.join(targets)}"


def _first_named(lines: list[LogLine], name: str) -> LogLine | None:
    return next((line for line in lines if line.name == name), None)
