"""One term of ownership: what is known, and what follows from each report.

All state is guarded by one lock. Threads of links, of the log and of the adviser bring events;
the dispatcher, woken by them, chooses what starts next.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from azurecleat_base.exceptions import TargetError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.owner.authority import Succession
from azurecleat_cluster._internal.owner.runs import RunTransitions
from azurecleat_cluster._internal.owner.state import Link
from azurecleat_cluster._internal.owner.work import (
    UNKNOWN_PACE,
    JobWork,
    Run,
    RunState,
    TargetWork,
)
from azurecleat_cluster._internal.ports import TargetClient
from azurecleat_cluster._internal.replica import records as r
from azurecleat_cluster._internal.values import (
    RunStatus,
    TargetEntry,
    TargetReport,
    TargetState,
    TaskId,
)

ENDS_A_PAGE = 500
"""Ends that a target reports at most; with fewer, the report is complete."""

Connect = Callable[[TargetEntry], TargetClient]


class OwnerTerm(RunTransitions):
    """One term: its jobs and targets, and what reports of targets change."""

    # -- life cycle ---------------------------------------------------------------------------

    def take_over(self, targets: dict[str, str], former_gone: bool) -> None:
        """Begins the term with the jobs of the replica and a former owner's targets."""
        now = self._clock.monotonic()
        with self.lock:
            self.succession = Succession(set(targets), self.authority, now, former_gone)
            for job in self._replica.job_ids():
                self._add_job(job, before_claim=bool(targets))

    def stop(self) -> None:
        """Sends nothing more."""
        with self.changed:
            self._stopping = True
            self.ending.set()
            links = list(self.links.values())
            self.changed.notify_all()
        for link in links:
            link.stop()

    def join(self) -> None:
        """Waits for orders on their way."""
        for link in list(self.links.values()):
            link.join()

    # -- jobs ---------------------------------------------------------------------------------

    def on_job_record(self, key: str) -> None:
        """Takes in a record of the jobs stream that the replica has applied."""
        kind, _, name = key.partition("/")
        match kind + "/":
            case r.SUBMISSION:
                with self.lock:
                    self._add_job(name, before_claim=False)
            case r.CANCELLATION:
                with self.lock:
                    if name in self.jobs:
                        self._cancel(self.jobs[name])
            case r.CLAIM | r.RELEASE:
                claim = self._replica.claim
                if claim.epoch > self.authority.fence:
                    self.lose(f"epoch {claim.epoch} was claimed by {claim.instance}")
                return
            case _:
                return
        self.wake()

    def _add_job(self, name: str, before_claim: bool) -> None:
        if name in self.jobs or not self._replica.knows(name):
            return
        try:
            submission = self._replica.submission(name)
            progress = self._replica.progress(name)
        except ValueError as error:
            self._events.write(eventlog.RECORD_UNREADABLE, stream="jobs", key=name, error=error)
            return
        now = self._clock.monotonic()
        job = JobWork(submission, now, before_claim)
        if not submission.spec.repeats:
            job.open_occurrence(0)
        if progress is not None:
            job.restore(progress)
        elif not before_claim:
            # Those of before the claim come all at once, which says nothing of their rate.
            team = self.configuration.team_named(job.team)
            job.is_beyond_share = team is not None and self._shares.is_beyond(
                team.name, team.weight, now
            )
        self.jobs[name] = job
        if job.is_open:
            self.open_jobs[name] = job
        self.open_due_occurrences(job)
        if job.outcome:
            job.finished_at = now
        self._events.write(eventlog.JOB_SEEN, job=name, epoch=self.authority.fence)
        if self._replica.is_cancelled(name):
            self._cancel(job)

    def open_due_occurrences(self, job: JobWork) -> float | None:
        """Opens occurrences whose time has come; returns seconds until the next, if any."""
        spec = job.submission.spec
        while spec.repeats and job.occurrences_open < spec.occurrences and job.is_open:
            due_ms = spec.first_ms + job.occurrences_open * spec.interval_ms
            left_s = due_ms / 1000.0 - time.time()
            if left_s > 0:
                return left_s
            job.open_occurrence(job.occurrences_open)
        return None

    # -- targets ------------------------------------------------------------------------------

    def on_target(self, entry: TargetEntry) -> None:
        """Takes in a target's entry."""
        with self.lock:
            link = self.links.get(entry.id)
            if link is not None and _is_former_life(link.work.entry, entry):
                return  # Its next life has answered already.
            if link is not None and _same_life(link.work.entry, entry):
                self._update_entry(link.work, entry)
            else:
                if link is not None:
                    self._forget(link, "another life registered under its id")
                if not self._is_replaced(entry):
                    self._add_target(entry)
        self.wake()

    def on_target_gone(self, target: str) -> None:
        """Notes that a target's entry is no longer there."""
        with self.lock:
            link = self.links.get(target)
            if link is not None and link.work.listed:
                link.work.listed = False
                link.work.unlisted_at = self._clock.monotonic()

    def add_former_target(self, entry: TargetEntry) -> None:
        """Adds a target that a former owner used and that has no entry now."""
        with self.lock:
            if entry.id not in self.links and not self._is_replaced(entry):
                self._add_target(entry)
                work = self.links[entry.id].work
                work.listed, work.unlisted_at = False, float("-inf")

    def _update_entry(self, work: TargetWork, entry: TargetEntry) -> None:
        was_ready = work.entry.state is TargetState.READY
        work.renew(entry)
        work.listed = True
        if was_ready and entry.state is TargetState.DRAINING:
            self._events.write(
                eventlog.TARGET_DRAINING, target=entry.id, remaining_ms=entry.remaining_ms
            )
            self.evacuate(work)

    def evacuate(self, work: TargetWork) -> None:
        """Stops what would be lost with a leaving target and can go on elsewhere."""
        for run in list(work.runs.values()):
            spec = run.step.spec
            if spec.long_running or spec.checkpointing:
                self.stop_run(run, "target leaves")

    def _is_replaced(self, entry: TargetEntry) -> bool:
        """Keeps the newest life of an address: another one there proves that it has ended."""
        for link in list(self.links.values()):
            known = link.work.entry
            if known.address != entry.address:
                continue
            if known.started_at_ms > entry.started_at_ms:
                if self.succession is not None:
                    self.succession.reached(entry.id, self._clock.monotonic())
                return True
            self._forget(link, f"{entry.id} is at its address")
        return False

    def _add_target(self, entry: TargetEntry) -> None:
        work = TargetWork(entry)
        link = self._make_link(work, self)
        self.links[entry.id] = link
        doubtful = self._doubtful.pop(entry.id, ())
        for run in doubtful:
            self._make_sure(run, work)
        if doubtful:
            link.doubt_lease()
        self._events.write(
            eventlog.TARGET_ADDED,
            target=entry.id,
            address=entry.address,
            born=entry.started_at_ms,
            reason=entry.state.value,
        )
        # Registered before its first order: a successor has to reach it or wait for its lease.
        encoded = r.dump([entry.address, entry.pool, entry.started_at_ms])
        if self._replica.targets_in_use.get(entry.id) == encoded.decode():
            self._begin(link)
        else:
            self._writer.put(r.TARGET + entry.id, lambda: encoded, lambda: self._begin(link))

    def _make_sure(self, run: Run, work: TargetWork) -> None:
        """Makes sure that a run that was ordered of a target's former life is not in its next one.

        An order names only the target's id, which both share. The task waits, if it is not at work
        elsewhere, until the next life has answered a stop and a look.
        """
        step, index = run.step, run.task.index
        run.target, run.settled_at, run.until = work, None, 0.0
        run.state = RunState.RUNNING
        work.add(run)
        self.use.add(run)
        if index in step.pending and index not in step.active:
            step.pending.discard(index)
            step.active[index] = run
        self.stop_run(run, "its target began anew")

    def _begin(self, link: Link) -> None:
        with self.lock:
            if self._stopping or self.links.get(link.work.id) is not link:
                return
            self.authority.add_target(link.work.id)
        link.start()

    def _forget(self, link: Link, reason: str) -> None:
        """Drops a life of a target that has surely ended, and all that it ran."""
        work = link.work
        if self.links.get(work.id) is not link:
            return
        del self.links[work.id]
        doubtful = [run for run in work.runs.values() if not run.is_listed]
        if doubtful:
            self._doubtful[work.id] = doubtful
        self._events.write(eventlog.TARGET_GONE, target=work.id, reason=reason, runs=len(work.runs))
        self._lose_runs(work, reason)
        self.authority.remove_target(work.id)
        if self.succession is not None:
            self.succession.reached(work.id, self._clock.monotonic())
        self._writer.put(r.TARGET + work.id, lambda: None)
        link.stop()

    def _lose_runs(self, work: TargetWork, reason: str) -> None:
        for run in list(work.runs.values()):
            self._events.write(
                eventlog.RUN_LOST,
                task=run.task,
                run=run.number,
                target=work.id,
                reason=reason,
            )
            self._release(run)

    # -- reports of links ---------------------------------------------------------------------

    def on_report(self, link: Link, report: TargetReport, sent_at: float) -> None:
        """Takes in what runs and what ended on a target."""
        work = link.work
        now = self._clock.monotonic()
        with self.lock:
            if self.links.get(work.id) is not link:
                return
            if (
                report.started_at_ms
                and work.entry.started_at_ms
                and report.started_at_ms != work.entry.started_at_ms
            ):
                self._forget(link, "another life answers under its id")
                reborn = work.entry._replace(started_at_ms=report.started_at_ms)
                self._add_target(reborn)
                return
            self.authority.proved_by_target(work.id, sent_at)
            if self.succession is not None:
                self.succession.reached(work.id, now)
            if not work.reached:
                link.inherit_lease(now)
            if not work.answering and work.reached:
                self._events.write(eventlog.TARGET_BACK, target=work.id, runs=len(work.runs))
            runs_before, was_known = len(work.runs), work.reached and work.answering
            ended = {(end.task, end.run) for end in report.ended}
            for end in report.ended:
                if end.number > link.processed:
                    self._take_end(work, end, now)
                    link.processed = end.number
            for status in report.running:
                self._take_status(work, status, now)
            if len(report.ended) < ENDS_A_PAGE:
                running = {(status.task, status.run) for status in report.running}
                self._drop_missing(work, running | ended, sent_at)
            work.reached = work.answering = True
            if report.ended:
                number = link.processed
                self._writer.after(lambda: link.acknowledge(number))
            is_changed = bool(report.ended) or len(work.runs) != runs_before or not was_known
        if is_changed:
            self.wake()

    def _take_status(self, work: TargetWork, status: RunStatus, now: float) -> None:
        run = work.runs.get((status.task, status.run))
        if run is None:
            run = self._adopt(work, status)
            if run is None:
                return
        run.is_listed = True
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.settled_at = run.settled_at or now
        run.look(status.percent, now)
        run.load = status.load
        if status.checkpoint:
            run.checkpoint = status.checkpoint

    def _adopt(self, work: TargetWork, status: RunStatus) -> Run | None:
        """Takes over a run that a former owner started, or stops it if it is not wanted."""
        step = self._step_of(status.task)
        if step is None:
            return None
        run = Run(status.task, step, status.run, work)
        run.state = RunState.RUNNING
        run.settled_at = self._clock.monotonic()
        run.ordered_at = run.settled_at
        run.pace = UNKNOWN_PACE
        index = status.task.index
        step.last_run = max(step.last_run, status.run)
        work.add(run)
        self.use.add(run)
        is_wanted = step.job.is_open and index in step.pending and index not in step.active
        if is_wanted:
            step.pending.discard(index)
            step.active[index] = run
        else:
            self.stop_run(run, "not wanted")
        self._events.write(
            eventlog.RUN_ADOPTED,
            task=status.task,
            run=status.run,
            target=work.id,
            percent=status.percent,
        )
        return run

    def _drop_missing(
        self, work: TargetWork, listed: set[tuple[TaskId, int]], sent_at: float
    ) -> None:
        """Drops runs that were settled before the look and are neither at work nor ended."""
        for run in list(work.runs.values()):
            is_old = run.settled_at is not None and run.settled_at < sent_at
            is_over = run.state is not RunState.RUNNING and run.until and run.until < sent_at
            if run.key not in listed and (is_old or is_over):
                self._events.write(
                    eventlog.RUN_LOST,
                    task=run.task,
                    run=run.number,
                    target=work.id,
                    reason="not listed",
                )
                self._release(run)

    def on_doubt(self, link: Link) -> None:
        """Notes a hold without an answer: copies of speculative tasks may start elsewhere."""
        with self.lock:
            spared = [run for run in list(link.work.runs.values()) if self.spare(run)]
        if spared:
            self.wake()

    def on_silent(self, link: Link, error: TargetError) -> None:
        """Notes a hold without an answer; after the lease all runs there are over."""
        work = link.work
        with self.lock:
            if self.links.get(work.id) is not link:
                return
            if work.answering:
                work.answering = False
                self._events.write(
                    eventlog.TARGET_LOST,
                    target=work.id,
                    step=error.step,
                    error=error,
                    runs=len(work.runs),
                )
            if self.authority.is_over(link.lease_end) and self._may_drop(work):
                if not work.listed:
                    self._forget(link, "no entry, and its lease is over")
                else:
                    self._lose_runs(work, "its lease is over")
        self.wake()

    def known_lives(self) -> frozenset[str]:
        """Ids of targets that exist, or existed for a former owner."""
        with self.lock:
            unreached = self.succession.unreached if self.succession is not None else frozenset()
            reached = {name for name, link in self.links.items() if link.work.reached}
            return unreached | reached

    def on_lives_ended(self, targets: frozenset[str]) -> None:
        """Drops lives of targets that the directory no longer has."""
        if not targets:
            return
        with self.lock:
            for name in targets:
                if name in self.links:
                    self._forget(self.links[name], "no longer in the directory")
                elif self.succession is not None:
                    self.succession.reached(name, self._clock.monotonic())
        self.wake()

    def _may_drop(self, work: TargetWork) -> bool:
        """Whether no former owner's lease can still hold on a target."""
        succession = self.succession
        if succession is None or work.id not in succession.unreached:
            return True
        return succession.is_settled()

    def on_replaced(self, link: Link, reason: str) -> None:
        with self.lock:
            self._forget(link, reason)
        self.wake()

    def on_fenced(self, link: Link, epoch: int) -> None:
        self.lose(f"target {link.work.id} obeys another owner")

    # -- orders -------------------------------------------------------------------------------

    # -- clean-up -----------------------------------------------------------------------------

    def expire(self, kept_s: float) -> list[str]:
        """Drops jobs that ended longer than ``kept_s`` ago and returns their names."""
        now = self._clock.monotonic()
        with self.lock:
            old = [
                job.id
                for job in self.jobs.values()
                if job.finished_at is not None
                and now - job.finished_at > kept_s
                and not any(step.active for step in job.steps.values())
            ]
            for name in old:
                del self.jobs[name]
                self._writer.put(r.JOB + name, lambda: None)
        return old


def _same_life(known: TargetEntry, reported: TargetEntry) -> bool:
    same_address = known.address == reported.address
    same_birth = known.started_at_ms == reported.started_at_ms or not (
        known.started_at_ms and reported.started_at_ms
    )
    return same_address and same_birth


def _is_former_life(known: TargetEntry, reported: TargetEntry) -> bool:
    return known.address == reported.address and 0 < reported.started_at_ms < known.started_at_ms
