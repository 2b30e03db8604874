"""Explains from logs what happened to one job: a time line, and what took longest.

Reads the JSON lines of the instances' structured logs (docs/events.md); other text on a line before
the object, such as a collector's prefix, is skipped.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

CONTEXT_S = 1.0
"""How long before and after a job's own lines changes of its surroundings are shown."""

OWNER_EVENTS = frozenset(("owner.claimed", "owner.serving", "owner.ended"))
INSTANCE_EVENTS = frozenset(("dependency.lost", "dependency.back", "log.lines_left_out"))
TARGET_EVENTS = frozenset(
    ("target.lost", "target.back", "target.gone", "target.suspect", "target.draining")
)
HIDDEN_FIELDS = frozenset(("at", "event", "name", "instance", "job"))


class LogLine(NamedTuple):
    """One line: time (Unix seconds), event, instance, and all its fields."""

    at: float
    name: str
    instance: str
    fields: dict[str, Any]

    @property
    def target(self) -> str:
        return str(self.fields.get("target", ""))


class Phase(NamedTuple):
    """A part of a job's time, in seconds, and how to call it."""

    took_s: float
    text: str


class Explanation(NamedTuple):
    """A job's lines in the order of time, and the cause that binds."""

    lines: tuple[LogLine, ...]
    cause: str


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parses log lines; what is none is left out."""
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
    """Picks a job's lines and finds the cause.

    :param lines: Lines of any instances, in any order.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    job_lines = [line for line in ordered if _belongs_to_job(job, line)]
    if not job_lines:
        return Explanation((), f"nothing is known of {job} in these logs")
    return Explanation(
        tuple(_with_context(job_lines, ordered)), _find_cause(job, job_lines, ordered)
    )


def describe(line: LogLine, since: float) -> str:
    """Returns a line of the time line; ``since`` is the time that counts as 0."""
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
            _explain_refusal(job, refused, ordered) if refused else "these logs lack its submission"
        )
    ended = _first_named(job_lines, "job.ended")
    phases = [*_entry_phases(accepted, seen, ordered), *_start_phases(job_lines, seen)]
    phases.extend(_run_phases(job_lines))
    phase = max(phases, default=Phase(0.0, "nothing that took time"))
    if ended is None:
        cancelled = _first_named(job_lines, "job.cancelled")
        state = (
            "was cancelled" if cancelled else f"has not ended; its last line: {job_lines[-1].name}"
        )
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
            f"{text}; it had lost the {lost[-1].fields.get('dependency')} {lost_for_s:.2f} s before"
        )
    return f"{text}; configuration {fields.get('config')}, {fields.get('age_s')} s old"


def _entry_phases(
    accepted: LogLine | None, seen: LogLine | None, ordered: list[LogLine]
) -> Iterator[Phase]:
    if accepted is not None:
        yield Phase(float(accepted.fields.get("took_s", 0.0)), "the append to the log")
    if accepted is not None and seen is not None:
        between = [line for line in ordered if accepted.at <= line.at <= seen.at]
        is_change = any(line.name in ("owner.claimed", "owner.serving") for line in between)
        reason = "ownership changed" if is_change else "the owner read the log late"
        # The times are those of two machines; the append comes between both events.
        entered_at = accepted.at - float(accepted.fields.get("took_s", 0.0))
        yield Phase(max(0.0, seen.at - entered_at), f"until an owner saw it: {reason}")


def _start_phases(job_lines: list[LogLine], seen: LogLine | None) -> Iterator[Phase]:
    """Times from a step's turn to its first start: advice, then room."""
    since = seen.at if seen is not None else job_lines[0].at
    started = _first_named(job_lines, "run.started")
    if started is None:
        advice = [line for line in job_lines if line.name == "advice.given"]
        text = "no start: no room on allowed targets" if advice else "no start, and no advice"
        yield Phase(job_lines[-1].at - since, text)
        return
    advice = [line for line in job_lines if line.name == "advice.given" and line.at <= started.at]
    if advice:
        yield Phase(advice[-1].at - since, "advice before the first start")
        since = max(since, advice[-1].at)
    yield Phase(started.at - since, "room or a limit before the first start")


def _run_phases(job_lines: list[LogLine]) -> Iterator[Phase]:
    """Times of runs, and of those that had to be repeated."""
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
        if done and done[-1].fields.get("took_s") is not None:
            took_s = float(done[-1].fields["took_s"])
            yield Phase(took_s, f"{task} at work on {done[-1].target}")


def _end_reasons(lines: list[LogLine]) -> list[str]:
    """Names why runs of a task ended other than done, each with its target."""
    reasons = []
    for line in lines:
        if line.name == "run.ended" and line.fields.get("kind") in ("failed", "broken", "alone"):
            reasons.append(f"{line.fields['kind']} on {line.target}")
        elif line.name in ("run.lost", "run.stop_sent"):
            reasons.append(f"{line.fields.get('reason')} ({line.target})")
    return reasons


def _describe_failures(job_lines: list[LogLine]) -> str:
    failed: dict[str, list[str]] = defaultdict(list)
    for line in job_lines:
        if line.name == "run.ended" and line.fields.get("kind") == "failed":
            failed[str(line.fields["task"])].append(line.target)
    if not failed:
        return "these logs lack the runs that failed"
    task, targets = max(failed.items(), key=lambda each: len(each[1]))
    return f"{task} failed {len(targets)} times, on {', '.join(targets)}"


def _first_named(lines: list[LogLine], name: str) -> LogLine | None:
    return next((line for line in lines if line.name == name), None)
