"""The state of one ownership term, and how log records and target reports change it.

One lock guards all state. The threads of target sessions, of the log and of the adviser call in
with events and wake the dispatcher, which chooses what to start next.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from azurecleat_base.exceptions import TargetError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.owner.authority import Takeover
from azurecleat_cluster._internal.owner.crashes import has_survived
from azurecleat_cluster._internal.owner.model import (
    UNKNOWN_THROTTLE_PERCENT,
    JobInfo,
    Run,
    RunState,
    StepInfo,
    TargetInfo,
)
from azurecleat_cluster._internal.owner.state import Session
from azurecleat_cluster._internal.owner.target_lifecycle import TargetLifecycle, encode_target
from azurecleat_cluster._internal.ports import TargetClient
from azurecleat_cluster._internal.replica import records as r
from azurecleat_cluster._internal.values import (
    JobSpec,
    RunStatus,
    TargetEntry,
    TargetReport,
    TaskId,
)

MAX_REPORTED_ENDS = 500
"""Most run ends that a target puts into one report; a report with fewer is complete."""

Connect = Callable[[TargetEntry], TargetClient]


class OwnerTerm(TargetLifecycle):
    """One ownership term: its jobs and targets, and the handling of target reports."""

    # -- start and stop -----------------------------------------------------------------------

    def take_over(self, targets: dict[str, str], previous_owner_gone: bool) -> None:
        """Starts the term with the replica's jobs and the previous owner's targets.

        :param targets: Log records of the targets that the previous owner used, by target id.
        :param previous_owner_gone: The previous owner released ownership or its process has ended.
        """
        now = self._clock.monotonic()
        with self.lock:
            # The end of the previous owner shows nothing about the owners before it.
            settled = self._replica.settled_epoch
            gone = previous_owner_gone and settled >= self.authority.epoch - 1
            first_epochs = {
                name: epoch for name, epoch in self._replica.first_epochs.items() if epoch > settled
            }
            self.takeover = Takeover(set(targets), self.authority, now, gone, first_epochs)
            self.record_settled()
            self.durations.restore(self._replica.durations, self.authority.epoch)
            horizon = self._previous_horizon()
            for job in self._replica.job_ids():
                offset = self._replica.first_offset(job)
                is_later = None not in (horizon, offset) and offset >= horizon
                self._add_job(job, before_claim=bool(targets) and not is_later)
            for name in self._replica.deleted_jobs_with_progress():
                self._writer.put(r.JOB + name, lambda: None)
        # A later claim may have been read before this term was told of new records.
        self._check_claim()

    def _previous_horizon(self) -> int | None:
        """Returns from which offset on the previous owner has started no job; None if unknown."""
        heartbeat = self._replica.heartbeat
        if heartbeat is None or heartbeat.epoch != self.authority.epoch - 1:
            return None
        return heartbeat.horizon

    def _check_claim(self) -> None:
        claim = self._replica.claim
        if claim.epoch > self.authority.epoch:
            self.lose_ownership(f"epoch {claim.epoch} was claimed by {claim.instance}")

    def record_settled(self) -> None:
        """Records, as soon as it is so, that no earlier owner acts any more."""
        with self.lock:
            takeover = self.takeover
            if self._is_settled or takeover is None or not takeover.are_previous_owners_gone():
                return
            self._is_settled = True
            encoded = r.encode_epoch(self.authority.epoch)
            self._writer.put(r.SETTLED, lambda: encoded)
            self._events.write(
                eventlog.OWNER_SETTLED,
                epoch=self.authority.epoch,
                unreached=len(takeover.unreached),
                after_s=round(self._clock.monotonic() - self._began_at, 3),
            )

    def stop(self) -> None:
        """Stops sending commands and renewing leases."""
        with self.changed:
            self.record_settled()
            self._stopping = True
            self.ending.set()
            sessions = list(self.sessions.values())
            self.changed.notify_all()
        for session in sessions:
            session.stop()

    def join(self) -> None:
        """Waits until the commands in flight have finished."""
        for session in list(self.sessions.values()):
            session.join()

    # -- jobs ---------------------------------------------------------------------------------

    def on_job_record(self, key: str) -> None:
        """Handles a record of the jobs stream that the replica has applied."""
        kind, _, name = key.partition("/")
        match kind + "/":
            case r.SUBMISSION:
                with self.lock:
                    if self._replica.knows(name):
                        self._add_job(name, before_claim=False)
                    else:
                        self._drop_deleted_job(name)
            case r.CANCELLATION:
                with self.lock:
                    if name in self.jobs:
                        self._cancel(self.jobs[name])
            case r.CLAIM | r.RELEASE:
                self._check_claim()
                return
            case _:
                return
        self.wake()

    def _add_job(self, name: str, before_claim: bool) -> None:
        """Adds a job of the log. One that can't be added is logged, and the others are served."""
        try:
            self._try_to_add_job(name, before_claim)
        except Exception as error:
            self.jobs.pop(name, None)
            self.open_jobs.pop(name, None)
            self._events.write(
                eventlog.RECORD_UNREADABLE, stream="jobs", key=name, error=repr(error)
            )

    def _try_to_add_job(self, name: str, before_claim: bool) -> None:
        if name in self.jobs or not self._replica.knows(name):
            return
        submission = self._replica.submission(name)
        progress = self._replica.progress(name)
        now = self._clock.monotonic()
        offset = self._replica.last_offset(name)
        job = JobInfo(submission, now, before_claim, offset, self.durations.learned)
        if not submission.spec.repeats:
            job.open_occurrences(1)
        if progress is not None:
            job.restore(progress)
        elif not before_claim:
            # Jobs from before the claim are all added at once, so their submission rate is unknown.
            team = self.configuration.team_named(job.team)
            job.is_over_share = team is not None and self._share_limiter.exceeds_share(
                team.name, team.weight, now
            )
        self.jobs[name] = job
        if job.is_open:
            self.open_jobs[name] = job
        if not self.start_horizon.allows(job.offset):
            # The append publishes a higher horizon.
            self._writer.call_after_commit(self.wake)
        self.open_due_occurrences(job)
        if job.outcome:
            job.finished_at = now
        self._events.write(
            eventlog.JOB_SEEN,
            job=name,
            epoch=self.authority.epoch,
            over_share=job.is_over_share,
        )
        if self._replica.is_cancelled(name):
            self._cancel(job)

    def open_due_occurrences(self, job: JobInfo) -> float | None:
        """Opens the occurrences that are due.

        :returns: Seconds until the next occurrence is due; None if there is no further one.
        """
        spec = job.submission.spec
        while spec.repeats and job.occurrences_open < spec.occurrences and job.is_open:
            left_s = _due_in_s(spec, job.occurrences_open)
            if left_s > 0:
                return left_s
            job.open_occurrences(job.occurrences_open + 1)
        return None

    def _open_reported_occurrence(self, task: TaskId, now: float) -> None:
        """Opens the occurrence of a task that a target reports, if it is not due here yet.

        The previous owner's clock may have been ahead. The occurrence's other tasks wait until it
        is due by the clock of this instance.
        """
        job = self.jobs.get(task.job)
        if job is None:
            return
        spec, first = job.submission.spec, job.occurrences_open
        if not first <= task.occurrence < spec.occurrences:
            return
        job.open_occurrences(task.occurrence + 1)
        for (occurrence, _), step in job.steps.items():
            if occurrence >= first:
                step.not_before = now + _due_in_s(spec, occurrence)

    # -- reports of sessions ------------------------------------------------------------------

    def on_report(self, session: Session, report: TargetReport, sent_at: float) -> None:
        """Handles a target's report of its running and ended runs.

        :param sent_at: Time at which the poll was sent, on this instance's monotonic clock.
        """
        target = session.target
        now = self._clock.monotonic()
        with self.lock:
            if self.sessions.get(target.id) is not session:
                return
            if (
                report.started_at_ms
                and target.entry.started_at_ms
                and report.started_at_ms != target.entry.started_at_ms
            ):
                self._drop_target(
                    session, "another incarnation answers under its id", is_restarted=True
                )
                new_entry = target.entry._replace(started_at_ms=report.started_at_ms)
                self._add_target(new_entry)
                return
            if report.started_at_ms and not target.entry.started_at_ms:
                self._note_start_time(target, report.started_at_ms)
            is_complete = len(report.ended) < MAX_REPORTED_ENDS
            self.authority.add_target_proof(target.id, sent_at)
            if self.takeover is not None and is_complete:
                self.takeover.mark_reached(target.id, now)
            elif self.takeover is not None:
                self.takeover.mark_partly_known(target.id)
            if not target.reached:
                session.inherit_lease(now)
                self.session_starter.note_answered(target.id)
                self.start_sessions()
                if not report.running:
                    self.poll_schedule.note_idle()
            if not target.responsive and target.reached:
                self._events.write(eventlog.TARGET_BACK, target=target.id, runs=len(target.runs))
            for reported in (*report.ended, *report.running):
                self._open_reported_occurrence(reported.task, now)
            runs_before, was_known = len(target.runs), target.reached and target.responsive
            ended = {(end.task, end.run) for end in report.ended}
            for end in report.ended:
                if end.number > session.processed:
                    self._process_end(target, end, now)
                    session.processed = end.number
            for status in report.running:
                self._process_status(target, status, sent_at, now)
            if is_complete:
                running = {(status.task, status.run) for status in report.running}
                self._drop_missing(target, running | ended, sent_at)
            target.reached = target.responsive = True
            target.lapsed_runs = ()
            if report.ended:
                number = session.processed
                self._writer.call_after_commit(lambda: session.acknowledge(number))
            is_changed = bool(report.ended) or len(target.runs) != runs_before or not was_known
        if is_changed:
            self.wake()

    def _note_start_time(self, target: TargetInfo, started_at_ms: int) -> None:
        """Notes which incarnation answers, where the target's entry does not say it."""
        target.entry = target.entry._replace(started_at_ms=started_at_ms)
        encoded = encode_target(target.entry)
        self._writer.put(r.TARGET + target.id, lambda: encoded)

    def _process_status(
        self, target: TargetInfo, status: RunStatus, sent_at: float, now: float
    ) -> None:
        run = target.runs.get((status.task, status.run))
        if run is None:
            run = self._adopt(target, status)
            if run is None:
                return
        if run.start_answered_at is not None and run.start_answered_at < sent_at:
            run.is_reported = True
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.confirmed_at = run.confirmed_at or now
        if has_survived(run, now):
            self.note_survived(target, run, now)
        run.update_progress(status.percent, now)
        run.load = status.load
        run.note_checkpoint(status.checkpoint, now)

    def _adopt(self, target: TargetInfo, status: RunStatus) -> Run | None:
        """Adds a run that is not known here, and stops it if its task does not need it.

        The previous owner started it, or this owner had dropped it as lost. Returns None if the
        run belongs to no known step.
        """
        step = self._step_of(status.task)
        if step is None:
            return None
        run = Run(status.task, step, status.run, target)
        run.state = RunState.RUNNING
        run.confirmed_at = self._clock.monotonic()
        run.commanded_at = run.confirmed_at
        run.start_answered_at = float("-inf")
        run.throttle_percent = UNKNOWN_THROTTLE_PERCENT
        index = status.task.index
        step.last_run = max(step.last_run, status.run)
        target.add(run)
        self.usage.add(run)
        _note_running(step, index)
        is_wanted = step.job.is_open and index in step.pending and index not in step.active
        if is_wanted:
            step.take_task(index)
            step.active[index] = run
        else:
            self.stop_run(run, "not wanted")
        self._events.write(
            eventlog.RUN_ADOPTED,
            task=status.task,
            run=status.run,
            target=target.id,
            percent=status.percent,
        )
        return run

    def _drop_missing(
        self, target: TargetInfo, reported: set[tuple[TaskId, int]], sent_at: float
    ) -> None:
        """Drops runs that should be in a report but are neither running nor ended there.

        These are runs that the target had confirmed before the poll was sent, and runs that were
        not running and whose lease was over by then.
        """
        for run in list(target.runs.values()):
            is_old = run.confirmed_at is not None and run.confirmed_at < sent_at
            is_lease_over = (
                run.state is not RunState.RUNNING and run.valid_until and run.valid_until < sent_at
            )
            if run.key not in reported and (is_old or is_lease_over):
                self._events.write(
                    eventlog.RUN_LOST,
                    task=run.task,
                    run=run.number,
                    target=target.id,
                    reason="not in the target's report",
                )
                self.durations.note_lost(run)
                self._release(run)

    def on_poll_failed(self, session: Session) -> None:
        """Handles a poll without an answer: speculative tasks may start a second run elsewhere."""
        with self.lock:
            demoted = [
                run for run in list(session.target.runs.values()) if self.demote_to_backup(run)
            ]
        if demoted:
            self.wake()

    def on_unresponsive(self, session: Session, error: TargetError) -> None:
        """Handles a target that has not answered several polls.

        All its runs are over once its lease has ended.
        """
        target = session.target
        with self.lock:
            if self.sessions.get(target.id) is not session:
                return
            if target.responsive:
                target.responsive = False
                self._events.write(
                    eventlog.TARGET_LOST,
                    target=target.id,
                    step=error.step,
                    error=error,
                    runs=len(target.runs),
                )
            if self.authority.is_lease_over(session.lease_end) and self._may_drop(target):
                if not target.registered:
                    self._drop_target(
                        session, "no entry, and its lease is over", may_be_unreachable=True
                    )
                else:
                    target.lapsed_runs += tuple(target.runs.values())
                    self._release_lost_runs(target, "its lease is over")
                    if self.takeover is not None and target.reached:
                        self.takeover.mark_reached(target.id, self._clock.monotonic())
        self.wake()

    def _may_drop(self, target: TargetInfo) -> bool:
        """Whether no lease given by a previous owner can still be valid on a target."""
        takeover = self.takeover
        if takeover is None or target.reached or target.id not in takeover.unreached:
            return True
        return takeover.is_complete()

    def on_replaced(self, session: Session, reason: str) -> None:
        with self.lock:
            self._drop_target(session, reason)
        self.wake()

    def on_fenced(self, session: Session, epoch: int) -> None:
        self.lose_ownership(f"target {session.target.id} has accepted a higher epoch")

    # -- clean-up -----------------------------------------------------------------------------

    def old_jobs(self, retention_s: float) -> list[str]:
        """Returns the ids of the jobs that ended more than ``retention_s`` seconds ago.

        Such a job stays known, with its progress, until the deletion of its submission has been
        read from the log: a submission without progress is a new job.
        """
        now = self._clock.monotonic()
        with self.lock:
            return [
                job.id
                for job in self.jobs.values()
                if job.finished_at is not None
                and now - job.finished_at > retention_s
                and not any(step.active for step in job.steps.values())
            ]

    def _drop_deleted_job(self, name: str) -> None:
        """Drops an ended job, and deletes its progress, after its submission was deleted."""
        job = self.jobs.get(name)
        if job is not None and job.finished_at is not None:
            del self.jobs[name]
            self._writer.put(r.JOB + name, lambda: None)


def _note_running(step: StepInfo, index: int) -> None:
    """Notes that a task runs under this epoch.

    The previous owner has seen no end of it, so that it has neither started the task elsewhere nor
    any step that depends on it. A speculative task may have several runs.
    """
    job = step.job
    if step.spec.speculative or not job.before_claim:
        return
    step.uncertain.discard(index)
    for each in job.submission.spec.dependents_of(step.index):
        job.steps[step.occurrence, each].uncertain.clear()


def _due_in_s(spec: JobSpec, occurrence: int) -> float:
    """Returns the seconds until an occurrence is due, by the clock of this instance."""
    return (spec.first_ms + occurrence * spec.interval_ms) / 1000.0 - time.time()
