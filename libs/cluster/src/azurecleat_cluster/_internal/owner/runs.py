"""Transitions of runs (started, refused, stopped, ended) and their effects on tasks and jobs."""

from __future__ import annotations

from azurecleat_base.exceptions import TargetError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.owner.model import (
    JobInfo,
    Run,
    RunState,
    StepInfo,
    TargetInfo,
)
from azurecleat_cluster._internal.owner.placement import is_kept_back
from azurecleat_cluster._internal.owner.preemption_outcomes import LOST, PREEMPTION_REASON
from azurecleat_cluster._internal.owner.start_attempts import StartOutcome
from azurecleat_cluster._internal.owner.state import TermState
from azurecleat_cluster._internal.owner.throttling import throttle_target
from azurecleat_cluster._internal.values import (
    EndKind,
    JobState,
    RunEnd,
    TaskId,
)

RESTART_PAUSE_S = 0.2
"""Pause before a long-running task is started again after it ended by itself."""

NO_CAPACITY_PAUSE_S = 0.5
"""How long a target gets no new tasks after it refused one for lack of capacity: until its next
reports have arrived."""

REFUSAL_PAUSE_S = 1.0
"""How long a target that is kept back gets no task at all after it refused one."""


class RunTransitions(TermState):
    """The part of a term that starts, stops and ends runs."""

    def _cancel(self, job: JobInfo) -> None:
        if job.cancelled:
            return
        job.cancelled = True
        self.open_jobs.pop(job.id, None)
        job.finished_at = self._clock.monotonic()
        self._stop_runs(job, "cancelled")

    def _finish(self, job: JobInfo, outcome: JobState) -> None:
        if job.outcome:
            return
        job.outcome = outcome.value
        self.open_jobs.pop(job.id, None)
        job.finished_at = self._clock.monotonic()
        self._events.write(
            eventlog.JOB_ENDED,
            job=job.id,
            outcome=outcome.value,
            age_s=round(job.finished_at - job.seen_at, 3),
            epoch=self.authority.epoch,
        )
        self._stop_runs(job, outcome.value)

    def _stop_runs(self, job: JobInfo, reason: str) -> None:
        for step in job.steps.values():
            backup_runs = [run for runs in step.backup_runs.values() for run in runs]
            for run in (*step.active.values(), *backup_runs):
                self.stop_run(run, reason)

    def allocate_run(self, step: StepInfo, index: int, target: TargetInfo, number: int) -> Run:
        """Creates a run and allocates its resources; :meth:`send_start` sends the command."""
        run = Run(step.task(index), step, number, target)
        run.commanded_at = step.started_at = self._clock.monotonic()
        run.checkpoint = step.checkpoints.get(index, "")
        run.is_resumed = bool(run.checkpoint)
        self.durations.note_allocated(run)
        step.take_task(index)
        step.active[index] = run
        step.last_run = max(step.last_run, number)
        target.add(run)
        if target.on_probation:
            target.probes.add(run)
        self.usage.add(run)
        return run

    def send_start(self, run: Run) -> None:
        ticket = run.step.advice.ticket(run.target.id)
        session = self.sessions[run.target.id]
        session.submit_start(run, run.step.job.submission.spec.payload, ticket)

    def stop_run(self, run: Run, reason: str) -> None:
        """Sends a stop. The run's resources stay allocated until its end is known."""
        session = self.sessions.get(run.target.id)
        if run.state is RunState.STOPPING or session is None or session.target is not run.target:
            return
        run.state = RunState.STOPPING
        run.confirmed_at = None
        run.stopped_at = self._clock.monotonic()
        self._events.write(
            eventlog.RUN_STOP_SENT,
            task=run.task,
            run=run.number,
            target=run.target.id,
            reason=reason,
        )
        session.submit_stop(run)

    def preempt_run(self, run: Run, step: StepInfo, now: float) -> None:
        """Stops a run so that tasks of an urgent step can start in its place."""
        self.stop_run(run, PREEMPTION_REASON)
        if run.state is RunState.STOPPING:
            run.preempted_for = step
            run.step.preempted_at.setdefault(run.task.index, []).append(now)

    def demote_to_backup(self, run: Run) -> bool:
        """Makes the run of a speculative task a backup run, so that the task may start elsewhere.

        The backup run goes on, and its end still counts. Returns whether the run was demoted.
        """
        step, index = run.step, run.task.index
        if not step.spec.speculative or step.active.get(index) is not run:
            return False
        if not run.has_survived_start and not step.may_run_ahead(index):
            return False
        del step.active[index]
        step.return_task(index, self._clock.monotonic())
        step.backup_runs.setdefault(index, set()).add(run)
        step.avoided.setdefault(index, set()).add(run.target.id)
        return True

    def move_slow_runs(self, now: float) -> None:
        """Moves runs away from targets that stall or are slow."""
        targets = [session.target for session in self.sessions.values()]
        self.poll_schedule.update(len(targets), sum(bool(target.runs) for target in targets))
        for run in self.health.evaluate(targets, now):
            if run.step.active.get(run.task.index) is not run:
                continue
            run.step.avoided.setdefault(run.task.index, set()).add(run.target.id)
            run.step.slow_on.setdefault(run.task.index, []).append(run.target.id)
            if not self.demote_to_backup(run):
                self.stop_run(run, "target is slow")

    def throttle_filling_runs(self, now: float) -> None:
        """Adapts the throttle percent of filling tasks, and moves those that stay at 0 percent."""
        for session in self.sessions.values():
            decision = throttle_target(session.target, now)
            for run, percent in decision.changes:
                run.throttle_percent = percent
                self._events.write(
                    eventlog.RUN_PACED,
                    task=run.task,
                    run=run.number,
                    target=session.target.id,
                    percent=percent,
                    tail_share=round(decision.worst_tail_share, 2),
                )
                session.submit_throttle(run, percent)
            for run in decision.moves:
                run.step.avoided.setdefault(run.task.index, set()).add(session.target.id)
                self.stop_run(run, "it slows serving tasks down")

    def may_start(self, run: Run) -> bool:
        """Whether the start of a run is still wanted; it may have waited behind other commands."""
        with self.lock:
            if run.key not in run.target.runs or run.state is not RunState.STARTING:
                return False
            # The command may have waited behind others for longer than an evacuation allows.
            if run.target.entry.zone in self.configuration.evacuated_zones:
                self.stop_run(run, "its zone is evacuated")
                self._stop_gang(run, "another task of the gang was not started")
                return False
            return True

    def on_start_unanswered(self, run: Run, attempt: int, error: TargetError) -> None:
        """Records that an attempt to start a run got no answer; it may still be executed."""
        self._metrics.retries.labels("start").inc()
        with self.lock:
            run.is_start_uncertain = True
        self._events.write(
            eventlog.RUN_UNANSWERED,
            task=run.task,
            run=run.number,
            target=run.target.id,
            attempt=attempt,
            error=error,
        )

    def on_start(self, run: Run, outcome: StartOutcome) -> None:
        """Handles an answered start."""
        result = outcome.result
        now = self._clock.monotonic()
        job = run.step.job
        self._metrics.command_s.observe(now - run.commanded_at)
        with self.lock:
            run.start_answered_at = now
            if run.key not in run.target.runs:
                return
            if not result.started:
                self._metrics.starts.labels(result.reason or "refused").inc()
                self._on_refused(run, result.reason, outcome.may_run)
                return
            self._metrics.starts.labels("started").inc()
            run.confirmed_at = now
            run.has_known_start = not run.is_start_uncertain
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            if not run.began_at:
                run.began_at = now
            if not job.begun:
                job.begun = True
                self._metrics.first_start_s.observe(now - job.seen_at)
                self.record(job)
            self._events.write(
                eventlog.RUN_STARTED,
                task=run.task,
                run=run.number,
                target=run.target.id,
                epoch=self.authority.epoch,
                waited_s=round(run.commanded_at - job.seen_at, 3),
            )

    def _on_refused(self, run: Run, reason: str, may_run: bool) -> None:
        """Handles a refused start.

        :param may_run: Whether an earlier attempt may have started the run, or may still do so.
        """
        self._events.write(
            eventlog.RUN_REFUSED,
            task=run.task,
            run=run.number,
            target=run.target.id,
            reason=reason,
        )
        step, now = run.step, self._clock.monotonic()
        if may_run:
            self._stop_uncertain(run)
        else:
            self._release(run)
        match reason:
            case "ticket":
                step.advice.invalidate_ticket(run.target.id)
            case "old":
                pass  # The target has seen this run number or a higher one; the next is higher.
            case "room":
                target = run.target
                target.suspect_until = max(target.suspect_until, now + NO_CAPACITY_PAUSE_S)
                target.refused_until = max(target.refused_until, now + NO_CAPACITY_PAUSE_S)
            case _:
                step.avoided.setdefault(run.task.index, set()).add(run.target.id)
                self.health.note_refusal(run.target, reason, now)
                if is_kept_back(run.target, now):  # Not if too many others refuse as well.
                    run.target.refused_until = now + REFUSAL_PAUSE_S
        self._stop_gang(run, "another task of the gang was refused")
        self.wake()

    def on_start_failed(self, run: Run, error: TargetError, may_run: bool) -> None:
        """Handles a start that failed.

        :param may_run: Whether the target may have received the start and run it.
        """
        with self.lock:
            if run.key not in run.target.runs:
                return
            self._metrics.starts.labels("uncertain" if may_run else "not_run").inc()
            self._events.write(
                eventlog.RUN_UNCERTAIN if may_run else eventlog.RUN_REFUSED,
                task=run.task,
                run=run.number,
                target=run.target.id,
                error=error,
            )
            if may_run:
                self._stop_uncertain(run)
            else:
                self._release(run)
                run.step.avoided.setdefault(run.task.index, set()).add(run.target.id)
            self._stop_gang(run, "another task of the gang was not started")
        self.wake()

    def _stop_uncertain(self, run: Run) -> None:
        """Stops a run that the target may have started, or may start later.

        An answered stop rules out a later start, and the report after it shows what became of the
        run. Until then its task is not started again.
        """
        if run.state is RunState.STARTING:
            self.stop_run(run, "start was not answered")

    def on_stop(self, run: Run) -> None:
        """Handles an answered stop; the next report shows whether the run ended."""
        with self.lock:
            run.confirmed_at = self._clock.monotonic()

    def _stop_gang(self, run: Run, reason: str) -> None:
        if run.step.spec.gang:
            for other in list(run.step.active.values()):
                if other is not run and other.number == run.number:
                    self.stop_run(other, reason)

    def _release(self, run: Run) -> None:
        """Frees the resources of a run that has ended, or has not begun and never will."""
        if run.key not in run.target.runs:
            return
        run.target.remove(run)
        run.target.note_released(run, self._clock.monotonic())
        self.usage.add(run, -1)
        self._note_preempted_end(run, LOST)
        step, index = run.step, run.task.index
        step.backup_runs.get(index, set()).discard(run)
        if step.active.get(index) is run:
            del step.active[index]
            if index not in step.done:
                step.return_task(index, self._clock.monotonic())
                if run.checkpoint:
                    self._store_checkpoint(step, index, run.checkpoint)

    def _note_preempted_end(self, run: Run, outcome: str) -> None:
        """Counts the end of a preempted run, and records the checkpoint that its task goes on from.

        The record is encoded later, with the checkpoint that comes with the end.
        """
        if run.preempted_for is None:
            return
        self.preemptions.note_end(run, outcome, self._clock.monotonic())
        run.preempted_for = None
        if run.step.job.is_open:
            self.record(run.step.job)

    def _process_end(self, target: TargetInfo, end: RunEnd, now: float) -> None:
        run = target.runs.get((end.task, end.run))
        step = self._step_of(end.task)
        self._metrics.ends.labels(end.kind.value).inc()
        self._events.write(
            eventlog.RUN_ENDED,
            task=end.task,
            run=end.run,
            target=target.id,
            kind=end.kind.value,
            took_s=round(now - run.commanded_at, 3) if run else None,
        )
        if run is not None:
            self.health.note_end(target, run, end.kind, now)
            run.note_checkpoint(end.checkpoint, now)
            self._note_preempted_end(run, end.kind.value)
            self.durations.note_end(target, run, end.kind, now)
            self._release(run)
        if step is None:
            return
        index = end.task.index
        step.last_run = max(step.last_run, end.run)
        if index in step.done:
            return
        if end.checkpoint:
            self._store_checkpoint(step, index, end.checkpoint)
        match end.kind:
            case EndKind.DONE if not step.spec.long_running:
                self._task_done(step, index)
            case EndKind.FAILED | EndKind.DONE:
                self._task_failed(step, index, end, target, now)
            case _:
                if step.spec.long_running:
                    step.not_before = max(step.not_before, now)

    def _step_of(self, task: TaskId) -> StepInfo | None:
        job = self.jobs.get(task.job)
        if job is None:
            return None
        step = job.steps.get((task.occurrence, task.step))
        return step if step is not None and task.index < step.spec.count else None

    def _store_checkpoint(self, step: StepInfo, index: int, checkpoint: str) -> None:
        indices = range(step.spec.count) if step.spec.gang else (index,)
        for each in indices:
            step.checkpoints[each] = checkpoint

    def _task_done(self, step: StepInfo, index: int) -> None:
        for each in range(step.spec.count) if step.spec.gang else (index,):
            step.done.add(each)
            step.take_task(each)
            step.checkpoints.pop(each, None)
            step.crash_history.forget(each)
            others = step.backup_runs.pop(each, set())
            if each in step.active:
                others.add(step.active.pop(each))
            if not step.spec.gang:
                for other in others:
                    self.stop_run(other, "another run of the task is done")
        job = step.job
        job.note_changed_expectation()
        if job.is_done and job.is_open:
            self._finish(job, JobState.COMPLETED)
        self.record(job)

    def _task_failed(
        self, step: StepInfo, index: int, end: RunEnd, target: TargetInfo, now: float
    ) -> None:
        job = step.job
        if step.spec.long_running:
            step.not_before = now + RESTART_PAUSE_S
            return
        # The failure counts even if a later run is active: the previous owner may have lost
        # ownership before it recorded this one.
        first, name = (0, f"{end.run}") if step.spec.gang else (index, f"{end.run}@{target.id}")
        failures = step.failures.setdefault(first, set())
        if name in failures:
            return
        failures.add(name)
        step.avoided.setdefault(index, set()).add(target.id)
        if len(failures) >= max(1, job.queue.attempts) and job.is_open:
            self._finish(job, JobState.FAILED)
        self.record(job)
