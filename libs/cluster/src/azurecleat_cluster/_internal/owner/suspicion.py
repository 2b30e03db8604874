"""Recognises targets that fail or stall what they run, from the ends and progress of runs.

A target's failures are weighed against those of the jobs: one job that fails everywhere says
nothing of the target, several unlike jobs that fail on one target do.
"""

from __future__ import annotations

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.owner.work import Run, TargetWork
from azurecleat_cluster._internal.values import EndKind

WINDOW_S = 6.0
"""How long an end counts: about ten short tasks."""

FAILED_JOBS = 2
"""Unlike jobs that must have failed on a target before it is left alone."""

PAUSE_S = 4.0
"""How long a suspect target gets nothing new before it is tried again."""


class Suspicions:
    """Judges targets. Guarded by the lock of the owner's term."""

    def __init__(self, events: EventLog) -> None:
        self._events = events

    def note_end(self, work: TargetWork, run: Run, kind: EndKind, now: float) -> None:
        if kind not in (EndKind.DONE, EndKind.FAILED):
            return
        work.outcomes.append((now, run.task.job, kind is EndKind.DONE))
        self._judge(work, now)

    def note_refusal(self, work: TargetWork, reason: str, now: float) -> None:
        """Notes a start that an unhealthy target turned away."""
        self._suspect(work, f"refused: {reason}", now)

    def examine(self, work: TargetWork, now: float) -> None:
        """Drops outcomes that are too old to count."""
        work.outcomes = [each for each in work.outcomes if now - each[0] < WINDOW_S]

    def _judge(self, work: TargetWork, now: float) -> None:
        recent = [each for each in work.outcomes if now - each[0] < WINDOW_S]
        failed = {job for _, job, done in recent if not done}
        failures = sum(not done for _, _, done in recent)
        if len(failed) >= FAILED_JOBS and failures * 2 > len(recent):
            self._suspect(work, f"{failures} of {len(recent)} runs failed", now)

    def _suspect(self, work: TargetWork, reason: str, now: float) -> None:
        if work.suspect_until <= now:
            self._events.write(
                eventlog.TARGET_SUSPECT, target=work.id, reason=reason, for_s=PAUSE_S
            )
        work.suspect_until = now + PAUSE_S
