"""Chooses what starts next, in which order, and when advice is asked."""

from __future__ import annotations

import threading

from azurecleat_base import ZERO, Clock, Resources

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice import AdvicePool
from azurecleat_cluster._internal.owner.placement import (
    Preferences,
    is_usable,
    place,
    place_gang,
)
from azurecleat_cluster._internal.owner.term import OwnerTerm
from azurecleat_cluster._internal.owner.work import Advice, JobWork, StepWork, TargetWork

IDLE_S = 0.25
"""Longest time between two looks: for what becomes possible by time alone."""

ADVICE_LEAD_S = 0.3
"""How long before a step is expected to become ready its advice should be there."""

JUDGE_S = 0.2
"""Pause between two judgements of all runs: targets are looked at each half second."""

RENEW_ADVICE_S = 0.15
"""Advice with less validity left is asked anew while tasks of the step wait."""

MAX_LATE_OBJECTIVES = 3.0
"""A job later than this many objectives is worth nothing more; others go first."""


class Dispatcher:
    """Thread that places tasks of a term."""

    def __init__(
        self,
        term: OwnerTerm,
        advice: AdvicePool,
        preferences: Preferences,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._term = term
        self._advice = advice
        self._preferences = preferences
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._judged_at = float("-inf")
        self._hidden: dict[str, Resources] = {}
        self._thread = threading.Thread(target=self._run, name="dispatch", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def join(self, timeout_s: float) -> None:
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    def on_advice(self, step: StepWork, advice: Advice | None) -> None:
        """Takes in the adviser's answer."""
        with self._term.lock:
            step.asking = False
            step.advice = advice
        self._term.wake()

    def _run(self) -> None:
        term = self._term
        while not term.stopping and not term.authority.lost_reason:
            with term.changed:
                if not term.dirty:
                    term.changed.wait(IDLE_S)
                term.dirty = False
                if term.stopping or not term.authority.may_act():
                    continue
                try:
                    self.dispatch(self._clock.monotonic())
                except Exception as error:  # One bad job must not end all dispatching.
                    self._events.write(eventlog.FAILED, component="dispatch", error=repr(error))

    def dispatch(self, now: float) -> int:
        """Starts what can start now, best ranked first; returns the number of starts."""
        term = self._term
        if now - self._judged_at >= JUDGE_S:
            self._judged_at = now
            term.move_slow_runs(now)
        usable = [link.work for link in term.links.values() if is_usable(link.work, now)]
        if not usable:
            return 0
        settled = term.succession is None or term.succession.is_settled()
        self._hidden = {} if settled else self._hidden_use()
        waiting: list[tuple[tuple, StepWork]] = []
        for job in list(term.open_jobs.values()):
            for step in job.steps.values():
                if step.pending and (settled or not job.before_claim):
                    self._consider(step, waiting, usable, now)
        waiting.sort(key=lambda pair: pair[0])
        pools = _by_pool(usable)
        started = 0
        for _, step in waiting:
            started += self._place(step, pools.get(self._pool_of(step.job), []), now)
        self._metrics.waiting.set(sum(len(step.pending) for _, step in waiting))
        return started

    def _hidden_use(self) -> dict[str, Resources]:
        """What teams may have running on targets that this owner has not reached yet.

        Every task that a former owner may have started, and that is seen nowhere, counts.
        """
        hidden: dict[str, Resources] = {}
        for job in self._term.open_jobs.values():
            if not job.before_claim:
                continue
            for step in job.steps.values():
                if step.pending and step.is_ready:
                    known = hidden.get(job.team, ZERO)
                    hidden[job.team] = known.plus(step.spec.need, len(step.pending))
        return hidden

    def _consider(
        self,
        step: StepWork,
        waiting: list[tuple[tuple, StepWork]],
        usable: list[TargetWork],
        now: float,
    ) -> None:
        """Adds a step that may start tasks; asks for advice ahead where it is due."""
        if step.is_ready:
            if step.ready_at is None:
                step.ready_at = now
            if now >= step.not_before:
                rank = self.rank(step, now)
                waiting.append((rank, step))
                self._ask(step, usable, rank, now)
        elif step.job.queue.advice is not None and self._is_near(step, usable, now):
            self._ask(step, usable, self.rank(step, now), now)

    def _is_near(self, step: StepWork, usable: list[TargetWork], now: float) -> bool:
        """Whether the steps before this one are expected to end before advice could come."""
        lead_s = step.job.queue.advice.cost_s(len(usable)) + ADVICE_LEAD_S
        for index in step.spec.depends_on:
            before = step.job.steps[step.occurrence, index]
            if before.pending or (not before.active and not before.is_done):
                return False
            for run in before.active.values():
                left_s = before.spec.estimate_ms / 1000.0 - (now - run.ordered_at)
                if left_s > lead_s:
                    return False
        return True

    def _ask(self, step: StepWork, usable: list[TargetWork], rank: tuple, now: float) -> None:
        if step.job.queue.advice is None or step.asking:
            return
        if step.advice is not None and now < step.advice.valid_until - RENEW_ADVICE_S:
            return
        names = [work.id for work in usable if work.entry.pool == self._pool_of(step.job)]
        if names:
            step.asking = True
            self._advice.ask(step, names, rank)

    def rank(self, step: StepWork, now: float) -> tuple:
        """Orders steps: the lowest goes first.

        Jobs beyond their team's share come last, then jobs too late to be worth anything; of
        the others the queue's priority decides, then the time by which they should be done.
        """
        job = step.job
        spec = job.submission.spec
        chain_s = sum(each.estimate_ms for each in spec.steps) / 1000.0
        objective_s = job.queue.objective_ms / 1000.0 + job.queue.stretch * chain_s
        age_s = now - job.seen_at
        too_late = not step.spec.long_running and age_s > MAX_LATE_OBJECTIVES * objective_s
        return (
            job.is_beyond_share,
            too_late,
            job.queue.priority,
            job.seen_at + objective_s,
            step.name,
        )

    def _pool_of(self, job: JobWork) -> str:
        """Pool of a job's queue: as configured now, or as it was when the job was accepted."""
        queue = self._term.configuration.queue_named(job.queue.name)
        return (queue or job.queue).pool

    def _place(self, step: StepWork, targets: list[TargetWork], now: float) -> int:
        if step.spec.gang:
            return self._place_gang(step, targets, now)
        indices = sorted(step.pending)[: self._affordable(step, len(step.pending))]
        chosen = place(step, indices, targets, now, self._preferences)
        for index, target in chosen:
            run = self._term.start_run(step, index, target, step.last_run + 1)
            self._term.send_start(run)
        return len(chosen)

    def _place_gang(self, step: StepWork, targets: list[TargetWork], now: float) -> int:
        """Starts all members with one run number, or none."""
        count = step.spec.count
        if len(step.pending) < count or step.active or self._affordable(step, count) < count:
            return 0
        number = step.last_run + 1
        chosen = place_gang(step, targets, now, self._preferences)
        runs = [self._term.start_run(step, index, target, number) for index, target in chosen]
        for run in runs:
            self._term.send_start(run)
        return len(runs)

    def _affordable(self, step: StepWork, count: int) -> int:
        """Returns how many of so many tasks the team's limit allows."""
        team = self._term.configuration.team_named(step.job.team)
        if team is None:
            return count
        used = self._term.use.of(team.name).plus(self._hidden.get(team.name, ZERO))
        for value, need, bound in zip(used, step.spec.need, team.limit, strict=True):
            if need and bound:
                count = min(count, (bound - value) // need)
        return max(0, count)


def _by_pool(targets: list[TargetWork]) -> dict[str, list[TargetWork]]:
    pools: dict[str, list[TargetWork]] = {}
    for target in targets:
        pools.setdefault(target.entry.pool, []).append(target)
    return pools
