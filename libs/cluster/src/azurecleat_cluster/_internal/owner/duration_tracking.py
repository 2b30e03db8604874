"""What a term learns from its runs about durations. Guarded by the lock of the owner's term."""

from __future__ import annotations

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.durations import LearnedDurations
from azurecleat_cluster._internal.owner.model import Run, TargetInfo
from azurecleat_cluster._internal.owner.placement import MIN_DURATION_S, Preferences
from azurecleat_cluster._internal.values import EndKind

RECORD_PERIOD_S = 5.0
"""Shortest time between two records of the learned durations."""

REPORT_PERIOD_S = 60.0
"""Shortest time between two log lines about the calibration."""


class DurationTracker:
    """Passes the ends of runs to the learned durations, and reports how good they are.

    :param is_on: Whether the feature is on; nothing is learned otherwise.
    """

    def __init__(
        self, is_on: bool, preferences: Preferences, events: EventLog, metrics: Metrics
    ) -> None:
        self.learned: LearnedDurations | None = LearnedDurations() if is_on else None
        self._preferences = preferences
        self._events = events
        self._metrics = metrics
        self._recorded_at = float("-inf")
        self._recorded_count = 0
        self._reported_at = float("-inf")
        self._reported_count = 0

    def restore(self, value: bytes | None, epoch: int) -> None:
        """Continues with what a previous owner recorded, or with nothing if that is unreadable."""
        if self.learned is None:
            return
        try:
            if value is None:
                raise ValueError("no record")
            self.learned = LearnedDurations.decode(value)
            self._preferences.restore(self.learned.kinds)
        except ValueError as error:
            self._events.write(eventlog.DURATIONS_EMPTY, reason=str(error), epoch=epoch)
        else:
            self._events.write(
                eventlog.DURATIONS_RESTORED,
                keys=len(self.learned),
                bytes=len(value),
                epoch=epoch,
            )

    def note_allocated(self, run: Run) -> None:
        """Notes what is expected of a run that is about to be started."""
        if self.learned is None or not run.step.has_learnable_duration:
            return
        run.slowness = self._preferences.relative_slowness(run.target.entry.kind)
        run.expectation = self.learned.expect(run.step.work_key, run.step.estimate_s)

    def note_end(self, target: TargetInfo, run: Run, kind: EndKind, now: float) -> None:
        """Learns from a run whose end its target reports."""
        if self.learned is None or not run.step.has_learnable_duration:
            return
        match kind:
            case EndKind.DONE:
                self._note_done(target, run, now)
            case EndKind.FAILED:
                self.learned.observe_failed()
            case _:
                self.note_lost(run)

    def note_lost(self, run: Run) -> None:
        """Learns from a run that was stopped or lost that it would have taken longer.

        How long it was at work is known up to its last report.
        """
        if self.learned is None or not run.step.has_learnable_duration:
            return
        at_least_s = run.reported_at - run.began_at if run.began_at else 0.0
        if at_least_s > 0.0 and not run.is_resumed:
            slowness = self._preferences.relative_slowness(run.target.entry.kind)
            self.learned.observe_censored(
                run.step.work_key, at_least_s, slowness, run.step.duration_weight
            )

    def encode(self) -> bytes | None:
        """Encodes the learned durations, with the slowness of the kinds that they are based on."""
        if self.learned is None:
            return None
        self.learned.kinds = self._preferences.log_durations
        return self.learned.encode()

    def is_record_due(self, now: float) -> bool:
        """Whether the learned durations are to be recorded now; at most once per period."""
        learned = self.learned
        if learned is None or learned.observed == self._recorded_count:
            return False
        if now - self._recorded_at < RECORD_PERIOD_S:
            return False
        self._recorded_at, self._recorded_count = now, learned.observed
        return True

    def report(self, now: float) -> None:
        """Updates the gauges and writes a log line, once per period, if there are new runs."""
        learned = self.learned
        if learned is None or learned.observed == self._reported_count:
            return
        if now - self._reported_at < REPORT_PERIOD_S:
            return
        self._reported_at, self._reported_count = now, learned.observed
        calibration = learned.calibration()
        gauge = self._metrics.duration_calibration
        gauge.labels("0.5").set(calibration.under_p50)
        gauge.labels("0.9").set(calibration.under_p90)
        gauge.labels("0.95").set(calibration.under_p95)
        self._events.write(
            eventlog.DURATIONS_CALIBRATION,
            runs=round(calibration.runs),
            under_p50=round(calibration.under_p50, 3),
            under_p90=round(calibration.under_p90, 3),
            under_p95=round(calibration.under_p95, 3),
            failed=calibration.failed,
            keys=len(learned),
        )

    def _note_done(self, target: TargetInfo, run: Run, now: float) -> None:
        step = run.step
        is_late = not target.responsive  # The run ended while its target was out of reach.
        if not run.has_known_start or run.is_resumed or run.first_percent or is_late:
            return
        if step.spec.gang and run.task.index in step.done:
            return  # The tasks of a gang end together.
        slowness = self._preferences.relative_slowness(target.entry.kind)
        took_s = max(now - run.began_at, MIN_DURATION_S)
        self.learned.observe(step.work_key, took_s, slowness, step.estimate_s, step.duration_weight)
        step.add_duration(took_s / slowness)
        if run.expectation is not None and run.expectation.p50_s:
            self._check(run, took_s / slowness)

    def _check(self, run: Run, took_s: float) -> None:
        self.learned.check(run.expectation, took_s)
        self._metrics.duration_ratio.observe(took_s / run.expectation.p50_s)
