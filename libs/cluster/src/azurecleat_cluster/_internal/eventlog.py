"""Structured log: one JSON object per line, queued with a bound and written by a separate thread.

If the reader of the output is slow, lines are dropped and counted; callers of the log never block.
The catalogue in ``docs/events.md`` lists every event.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from collections import deque
from typing import Any, NamedTuple, TextIO

MAX_QUEUED_LINES = 4096
"""Maximum number of queued lines: two seconds of peak traffic, at about 200 bytes per line."""

MAX_LINES_PER_S = 2000
"""Rate of lines per second above which debug events are omitted. Not used: events have no level."""

FLUSH_S = 0.25
"""Maximum time that a line stays queued."""

FLUSH_LINES = 256
"""Number of queued lines that wakes the writer before ``FLUSH_S`` is over, and the most lines that
it takes from the queue at a time: these do not count against ``MAX_QUEUED_LINES``."""

LINES_PER_WRITE = 12
"""Lines per write. A write of up to 4 KiB to a pipe is atomic, so lines are not split."""


MAX_TEXT_CHARS = 1_000
"""Length to which a field's text is shortened."""


class LogEvent(NamedTuple):
    """A type of log line: a stable number, a name and the names of its fields."""

    number: int
    name: str
    fields: str


class EventLog:
    """Writes log events to a stream.

    :param instance: Instance name, written in every line.
    :param output: Text stream; standard output by default.
    """

    def __init__(self, instance: str, output: TextIO | None = None) -> None:
        self._instance = instance
        self._output = output or sys.stdout
        self._lines: deque[tuple[float, LogEvent, dict[str, Any]]] = deque()
        self._flush_requested = threading.Event()
        self._dropped_lines = 0
        self._stopping = False
        self._thread = threading.Thread(target=self._write_all, name="event-log", daemon=True)

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped because the reader was slow or a write failed."""
        return self._dropped_lines

    def start(self) -> None:
        self._thread.start()

    def stop(self, timeout_s: float = 0.2) -> None:
        """Writes the queued lines, for at most ``timeout_s`` seconds."""
        self._stopping = True
        self._flush_requested.set()
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    def write(self, event: LogEvent, **fields: Any) -> None:
        """Queues one line without blocking; drops it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped_lines += 1
            return
        self._lines.append((time.time(), event, fields))
        if len(self._lines) >= FLUSH_LINES:
            self._flush_requested.set()

    def _write_all(self) -> None:
        reported = 0
        while True:
            self._flush_requested.wait(FLUSH_S)
            self._flush_requested.clear()
            stopping = self._stopping
            batch = []
            while self._lines and len(batch) < FLUSH_LINES:
                batch.append(self._format(*self._lines.popleft()))
            if self._lines:
                self._flush_requested.set()
            if self._dropped_lines > reported:
                reported = self._dropped_lines
                batch.append(self._format(time.time(), LINES_LEFT_OUT, {"total": reported}))
            for first in range(0, len(batch), LINES_PER_WRITE):
                self._put(batch[first : first + LINES_PER_WRITE])
            if stopping and not self._lines:
                return

    def _put(self, lines: list[str]) -> None:
        try:
            self._output.write("".join(lines))
            self._output.flush()
        except (OSError, ValueError):
            self._dropped_lines += len(lines)

    def _format(self, at: float, event: LogEvent, fields: dict[str, Any]) -> str:
        line = {
            "at": round(at, 3),
            "event": event.number,
            "name": event.name,
            "instance": self._instance,
            **{name: _plain(value) for name, value in fields.items()},
        }
        return json.dumps(line, separators=(",", ":"), default=str) + "\n"


def _plain(value: Any) -> Any:
    """Converts errors, and tuples such as task ids, to text: JSON would write tuples as lists.

    Shortens texts, which may quote a document of another writer.
    """
    text = str(value) if isinstance(value, tuple | Exception) else value
    is_long = isinstance(text, str) and len(text) > MAX_TEXT_CHARS
    return f"{text[:MAX_TEXT_CHARS]}..." if is_long else text


LINES_LEFT_OUT = LogEvent(700, "log.lines_left_out", "total")
INSTANCE_STARTED = LogEvent(701, "instance.started", "zone, address")
INSTANCE_STOPPING = LogEvent(702, "instance.stopping", "signal")
INSTANCE_STOPPED = LogEvent(703, "instance.stopped", "seconds")
SETTINGS_RELOADED = LogEvent(704, "settings.reloaded", "changed")
SETTINGS_RELOAD_REFUSED = LogEvent(705, "settings.reload_refused", "error")
COMPONENT_FAILED = LogEvent(706, "component.failed", "component, error")
DEPENDENCY_LOST = LogEvent(710, "dependency.lost", "dependency, step, error")
DEPENDENCY_BACK = LogEvent(711, "dependency.back", "dependency, after_s")
RELAY_BEGUN = LogEvent(712, "relay.begun", "age_s, peers")
RELAY_STATE = LogEvent(713, "relay.state", "state, config, age_s")
RELAY_ENDED = LogEvent(714, "relay.ended", "after_s")
CONFIGURATION_IN_FORCE = LogEvent(720, "configuration.in_force", "version, queues, teams")
RECORD_UNREADABLE = LogEvent(721, "record.unreadable", "stream, key, error")
REPLICA_LOADED = LogEvent(722, "replica.loaded", "stream, records, kb, took_s")
ZONE_EVACUATED = LogEvent(723, "zone.evacuated", "zone")
ZONE_RESTORED = LogEvent(724, "zone.restored", "zone")
EVACUATION_APPLIED = LogEvent(725, "evacuation.applied", "zones, targets, runs, epoch")
JOB_ACCEPTED = LogEvent(730, "job.accepted", "job, queue, team, tasks, config, age_s, took_s")
JOB_REFUSED = LogEvent(731, "job.refused", "job, call, outcome, reason, config, age_s, jobs_age_s")
JOB_CANCELLED = LogEvent(732, "job.cancelled", "job, config")
JOB_SEEN = LogEvent(733, "job.seen", "job, epoch, over_share")
JOB_ENDED = LogEvent(734, "job.ended", "job, outcome, age_s, epoch")
JOB_GIVEN_UP = LogEvent(735, "job.given_up", "job, task, crashes")
TASK_CONTAINED = LogEvent(736, "task.contained", "job, task, crashes, pause_s")
OWNER_CLAIMED = LogEvent(740, "owner.claimed", "epoch, silent_s, reason")
OWNER_SERVING = LogEvent(741, "owner.serving", "epoch, jobs, targets, took_s")
OWNER_ENDED = LogEvent(742, "owner.ended", "epoch, reason")
OWNER_CLAIM_LOST = LogEvent(743, "owner.claim_lost", "epoch, winner")
OWNER_SLOW = LogEvent(744, "owner.slow", "epoch, slowdown")
OWNER_SETTLED = LogEvent(745, "owner.settled", "epoch, unreached, after_s")
TARGET_ADDED = LogEvent(750, "target.added", "target, address, born, reason")
TARGET_LOST = LogEvent(751, "target.lost", "target, step, error, runs")
TARGET_BACK = LogEvent(752, "target.back", "target, after_s, runs")
TARGET_GONE = LogEvent(753, "target.gone", "target, reason, runs")
TARGET_SUSPECT = LogEvent(754, "target.suspect", "target, reason, for_s")
TARGET_DRAINING = LogEvent(755, "target.draining", "target, remaining_ms")
TARGET_CRASHED = LogEvent(756, "target.crashed", "target, address, reason, runs, starting, tasks")
TARGET_PROBATION_ENDED = LogEvent(757, "target.probation_ended", "target, reason, after_s")
RUN_STARTED = LogEvent(760, "run.started", "task, run, target, epoch, waited_s")
RUN_REFUSED = LogEvent(761, "run.refused", "task, run, target, reason")
RUN_UNCERTAIN = LogEvent(762, "run.uncertain", "task, run, target, error")
RUN_ENDED = LogEvent(763, "run.ended", "task, run, target, kind, took_s")
RUN_LOST = LogEvent(764, "run.lost", "task, run, target, reason")
RUN_STOP_SENT = LogEvent(765, "run.stop_sent", "task, run, target, reason")
RUN_ADOPTED = LogEvent(766, "run.adopted", "task, run, target, percent")
RUN_PACED = LogEvent(767, "run.paced", "task, run, target, percent, tail_share")
RUN_UNANSWERED = LogEvent(768, "run.unanswered", "task, run, target, attempt, error")
STEP_STALLED = LogEvent(
    769,
    "step.stalled",
    "step, missing, pending, free, allowed, valid, unknown, suspect, on_probation, advice, "
    "over_share, waited_s",
)
ADVICE_GIVEN = LogEvent(
    770,
    "advice.given",
    "step, adviser, named, allowed, unasked_s, waited_s, took_s, queued, over_share",
)
ADVICE_FAILED = LogEvent(771, "advice.failed", "step, adviser, error")
DURATIONS_RESTORED = LogEvent(780, "durations.restored", "keys, bytes, epoch")
DURATIONS_EMPTY = LogEvent(781, "durations.empty", "reason, epoch")
DURATIONS_CALIBRATION = LogEvent(
    782, "durations.calibration", "runs, under_p50, under_p90, under_p95, failed, keys"
)
PREEMPTION_DECIDED = LogEvent(
    785,
    "preemption.decided",
    "step, tasks, expected, stopped, starts, lost_core_s, stopping_milli, limit_milli, waited_s, "
    "unlogged",
)
PREEMPTION_ENDED = LogEvent(
    786, "preemption.ended", "task, run, target, outcome, timing, took_s, lost_core_s, urgent_step"
)
HEADROOM_CHANGED = LogEvent(787, "headroom.changed", "pool, kept, tasks, cpu_milli")
ADMISSION_REFUSED = LogEvent(
    790,
    "admission.refused",
    "job, queue, account, reason, wait_s, report_age_s, objective_s, retry_after_s",
)
ADMISSION_RESUMED = LogEvent(791, "admission.resumed", "queue, account, wait_s")
LOAD_REPORTED = LogEvent(792, "load.reported", "epoch, queues, over_share, accounts")
