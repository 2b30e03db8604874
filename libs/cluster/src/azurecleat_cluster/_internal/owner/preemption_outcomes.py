"""Counts and logs what became of preempted runs."""

from __future__ import annotations

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.model import Run
from azurecleat_cluster._internal.owner.preemption import LATE_STOP_S, lost_core_s

PREEMPTION_REASON = "preempted by urgent work"
"""Reason in the log line of the stop."""

LOST = "lost"
"""Outcome of a run whose end its target never reported."""

MAX_LINES_PER_S = 50
"""Most log lines of one kind per second: a burst of urgent jobs stops some hundred runs."""


class LineLimit:
    """Bounds the rate of log lines of one kind."""

    def __init__(self, lines_per_s: int = MAX_LINES_PER_S) -> None:
        self._lines_per_s = lines_per_s
        self._since = float("-inf")
        self._lines = 0
        self.unlogged = 0
        """Lines left out since the last one that was written."""

    def may_write(self, now: float) -> bool:
        if now - self._since >= 1.0:
            self._since, self._lines = now, 0
        self._lines += 1
        is_allowed = self._lines <= self._lines_per_s
        self.unlogged += not is_allowed
        return is_allowed


class PreemptionOutcomes:
    """The outcomes of preemptions under one term."""

    def __init__(self, events: EventLog, metrics: Metrics) -> None:
        self._events = events
        self._metrics = metrics
        self._lines = LineLimit()

    def note_end(self, run: Run, outcome: str, now: float) -> None:
        """Notes the end of a run that was being stopped for an urgent step.

        :param outcome: The kind of the end, or ``LOST``.
        """
        lost = 0.0 if outcome == "done" else lost_core_s(run, now)
        timing = _timing(run, now)
        self._metrics.preempted_runs.labels(outcome, timing).inc()
        self._metrics.preempted_core_s.labels(outcome).inc(lost)
        if self._lines.may_write(now):
            self._events.write(
                eventlog.PREEMPTION_ENDED,
                task=run.task,
                run=run.number,
                target=run.target.id,
                outcome=outcome,
                timing=timing,
                took_s=round(now - run.stopped_at, 3),
                lost_core_s=round(lost, 2),
                urgent_step=run.preempted_for.name,
            )


def _timing(run: Run, now: float) -> str:
    """Returns whether the capacity came in time for the step that it was freed for."""
    step = run.preempted_for
    if not step.pending or not step.job.is_open:
        return "not needed"
    return "late" if now - run.stopped_at > LATE_STOP_S else "in time"
