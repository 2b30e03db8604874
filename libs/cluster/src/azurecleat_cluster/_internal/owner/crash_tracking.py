"""Crashes of targets and their effects on the tasks that ran there."""

from __future__ import annotations

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.owner.crashes import (
    COINCIDENCE_S,
    LASTING_ISOLATION_S,
    MAX_EXPOSURES,
    STABLE_S,
    describe_tasks,
    is_crash_loop,
    is_one_machine,
    needs_strict_isolation,
    pause_s,
    runs_being_started,
    suspect_runs,
)
from azurecleat_cluster._internal.owner.model import Run, StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.runs import RunTransitions
from azurecleat_cluster._internal.replica.records import Crash
from azurecleat_cluster._internal.values import JobState


class CrashTracking(RunTransitions):
    """The part of a term that finds tasks which crash the targets that start them."""

    def note_crash(self, target: TargetInfo, reason: str) -> None:
        """Counts the crash of a target for the tasks there, and suspects those that may be why."""
        runs = (*target.runs.values(), *target.lapsed_runs)
        starting = runs_being_started(runs)
        suspicion = suspect_runs(runs, target.isolated_run)
        now = self._clock.monotonic()
        if not starting and suspicion.only is None:
            self._unexplained_crash_at = now
        suspects = "none" if not starting else "one" if suspicion.only else "several"
        self._metrics.target_crashes.labels(suspects).inc()
        self._events.write(
            eventlog.TARGET_CRASHED,
            target=target.id,
            address=target.entry.address,
            reason=reason,
            runs=len(runs),
            starting=len(starting),
            tasks=describe_tasks(starting),
        )
        is_alone = now - self._unexplained_crash_at >= COINCIDENCE_S
        for run in runs:
            if run.step.job.is_open and run.task.index not in run.step.done:
                is_clear = is_alone and run is suspicion.only
                self._count_crash(run, run in suspicion.runs, is_clear, now)

    def _count_crash(self, run: Run, is_suspected: bool, is_clear: bool, now: float) -> None:
        """Counts a crash under a run's task, and gives the task up if it is in a crash loop.

        A lasting task is contained instead, and so is one that ran on a single machine.
        """
        index, job, history = run.task.index, run.step.job, run.step.crash_history
        crash = Crash(run.number, run.target.entry.address, bool(run.began_at), is_suspected)
        may_end = not run.step.spec.long_running and not is_one_machine({crash, *history.of(index)})
        history.add(index, crash, now, None if may_end else MAX_EXPOSURES)
        crashes = history.of(index)
        if (is_suspected and not run.has_survived_start) or needs_strict_isolation(crashes):
            history.suspects.add(index)
        is_looping = is_crash_loop(crashes, is_clear)
        if run.step.spec.long_running or (is_looping and not may_end):
            self._contain(run, is_looping, now)
            return
        if is_looping:
            self._events.write(
                eventlog.JOB_GIVEN_UP, job=job.id, task=run.task, crashes=len(crashes)
            )
            self._metrics.jobs_given_up.inc()
            self._finish(job, JobState.FAILED)
        if index not in history.suspects:
            self.record(job)
            return
        # Not started again before the log has the crashes, so that the next owner goes on counting.
        # A task that only ran beside others is not held back by an outage of the log.
        history.unrecorded.add(index)
        self.record(job, lambda: self._on_crashes_recorded(run.step, index))

    def _contain(self, run: Run, is_looping: bool, now: float) -> None:
        """Keeps a task that is never given up from crashing target after target at full speed.

        Its crashes end no job, so that it need not wait until the log has them.
        """
        index, step = run.task.index, run.step
        crashes = step.crash_history.of(index)
        if is_looping:
            self._events.write(
                eventlog.TASK_CONTAINED,
                job=step.job.id,
                task=run.task,
                crashes=len(crashes),
                pause_s=pause_s(crashes),
            )
        if step.spec.gang:  # Its tasks start together, and none of them is isolated.
            step.not_before = max(step.not_before, now + pause_s(crashes))
        self.record(step.job)

    def _on_crashes_recorded(self, step: StepInfo, index: int) -> None:
        with self.lock:
            step.crash_history.unrecorded.discard(index)
        self.wake()

    def note_survived(self, target: TargetInfo, run: Run, now: float) -> None:
        """Notes that a run has survived its start, and ends its isolation if that is enough."""
        index, history = run.task.index, run.step.crash_history
        run.has_survived_start = True
        if now - run.began_at >= STABLE_S:
            history.forget(index)
        if not needs_strict_isolation(history.of(index)):
            history.suspects.discard(index)
            target.end_isolation(run)
        elif run.step.spec.long_running and now - run.began_at >= LASTING_ISOLATION_S:
            target.end_isolation(run)
