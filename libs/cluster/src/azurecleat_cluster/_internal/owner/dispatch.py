"""Chooses which tasks to start next, and in which order."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from azurecleat_base import ZERO, Clock, Resources

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice import AdviceClient
from azurecleat_cluster._internal.owner.advice_requester import AdviceRequester
from azurecleat_cluster._internal.owner.crashes import MAX_ISOLATED_SHARE, place_isolated
from azurecleat_cluster._internal.owner.last_resort import begin_probation, last_resorts
from azurecleat_cluster._internal.owner.load_publisher import LoadPublisher
from azurecleat_cluster._internal.owner.model import Advice, JobInfo, StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import (
    IGNORE_EXPIRY,
    Preferences,
    is_kept_back,
    place,
    place_gang,
)
from azurecleat_cluster._internal.owner.preemptor import Preemptor
from azurecleat_cluster._internal.owner.ranking import Ranking
from azurecleat_cluster._internal.owner.stalls import StallReporter
from azurecleat_cluster._internal.owner.term import OwnerTerm
from azurecleat_cluster._internal.owner.usable_pools import UsablePool, UsablePools

MAX_IDLE_S = 0.25
"""Longest pause between two dispatch rounds, for tasks that become startable by time alone."""

EVALUATION_PERIOD_S = 0.2
"""Pause between two evaluations of all runs: targets report every half second."""

MAX_BUSY_SHARE = 0.3
"""Share of the time that may be spent on dispatching; processing reports needs the rest."""

MAX_PAUSE_S = 0.03
MIN_PAUSE_S = 0.005
"""Bounds of the pause between two dispatch rounds: 1/10 and 1/50 of the shortest objective."""

FAILED_STEP_PAUSE_S = 5.0
"""How long a step waits after an error in its dispatch."""


class Dispatcher:
    """Thread that places the tasks of a term on targets."""

    def __init__(
        self,
        term: OwnerTerm,
        advice: AdviceClient,
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
        self._evaluated_at = float("-inf")
        self._is_takeover_complete = False
        self._possible_usage: dict[str, Resources] = {}
        self._held_targets: list[TargetInfo] = []
        """Targets with capacity held for gangs that wait for tickets."""
        self._requester = AdviceRequester(advice, preferences, self._pool_of, self._is_within_limit)
        self._stalls = StallReporter(events, metrics, advice.state_of)
        self._preemptor = Preemptor(term, events, metrics) if term.features.preemption else None
        self._ranking = Ranking(term.features.ordering, term.features.admission)
        self._load = LoadPublisher(term, self._ranking.shares, events, metrics)
        self._thread = threading.Thread(target=self._run, name="dispatch", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def join(self, timeout_s: float) -> None:
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    def on_advice(self, step: StepInfo, advice: Advice | None) -> None:
        """Handles an answer of the advice service; None if the request was dropped."""
        with self._term.lock:
            self._requester.add_answer(step, advice, self._clock.monotonic())
        self._term.wake()

    def _run(self) -> None:
        term = self._term
        while not term.stopping and not term.authority.lost_reason:
            with term.changed:
                if not term.dirty:
                    term.changed.wait(MAX_IDLE_S)
                term.dirty = False
                if term.stopping or not term.authority.may_act():
                    continue
                began_at = self._clock.monotonic()
                try:
                    self.dispatch(began_at)
                except Exception as error:  # An error in one job must not stop all dispatching.
                    self._events.write(
                        eventlog.COMPONENT_FAILED, component="dispatch", error=repr(error)
                    )
            took_s = self._clock.monotonic() - began_at
            self._advice.retry_overdue(began_at)
            pause_s = took_s * (1.0 / MAX_BUSY_SHARE - 1.0)
            term.ending.wait(min(MAX_PAUSE_S, max(MIN_PAUSE_S, pause_s)))

    def dispatch(self, now: float) -> int:
        """Starts the tasks that can start now, best rank first.

        :returns: The number of starts.
        """
        term = self._term
        if now - self._evaluated_at >= EVALUATION_PERIOD_S:
            self._evaluated_at = now
            term.start_sessions()
            term.move_slow_runs(now)
            term.throttle_filling_runs(now)
            term.maintain_durations(now)
        term.apply_evacuations()
        self._release_holds()
        if self._preemptor is not None:
            self._preemptor.begin_round(now)
        self._requester.begin_round()
        self._stalls.begin_round()
        pools = UsablePools([session.target for session in term.sessions.values()], now)
        self._ranking.begin_round(pools, term.usage, term.configuration.current, now)
        is_takeover_complete = term.takeover is None or term.takeover.is_complete()
        self._is_takeover_complete = is_takeover_complete
        term.record_settled()
        self._possible_usage = {} if is_takeover_complete else self._estimate_possible_usage()
        waiting: list[tuple[tuple, StepInfo]] = []
        upcoming: list[tuple[tuple, StepInfo]] = []
        for job in list(term.open_jobs.values()):
            if not term.start_horizon.allows(job.offset):
                continue
            for step in job.steps.values():
                if step.pending and step.startable(is_takeover_complete):
                    with self._postpone_on_error(step, now):
                        self._consider(step, waiting, upcoming, now)
        self._ranking.sort(waiting, now)
        steps = [step for _, step in waiting]
        self._requester.attend_overdue(steps, pools, now, self._postpone_on_error)
        started = 0
        # The first waiting steps, one per general worker, also renew tickets for full targets.
        renewals_left = self._advice.general_worker_count
        for step in steps:
            with self._postpone_on_error(step, now):
                started += self._serve(step, pools, now, include_full=renewals_left > 0)
                renewals_left -= bool(step.pending and step.job.queue.advice)
                self._report_stall(step, now)
        for _, step in sorted(upcoming, key=lambda pair: pair[0]):
            with self._postpone_on_error(step, now):
                self._requester.request(step, pools, now)
        self._metrics.waiting_tasks.set(sum(len(step.pending) for _, step in waiting))
        self._load.update(waiting, pools, now)
        return started

    @contextmanager
    def _postpone_on_error(self, step: StepInfo, now: float) -> Iterator[None]:
        """Logs an error in one step and postpones the step, so that the others have their turn."""
        try:
            yield
        except Exception as error:
            step.not_before = now + FAILED_STEP_PAUSE_S
            self._events.write(
                eventlog.COMPONENT_FAILED, component=f"dispatch of {step.name}", error=repr(error)
            )

    def _serve(self, step: StepInfo, pools: UsablePools, now: float, include_full: bool) -> int:
        """Starts what can start of a waiting step, and asks for what it lacks.

        :param include_full: Also renews tickets for full targets.
        :returns: The number of starts.
        """
        pool = pools.of(self._pool_of(step.job))
        if pool is None:
            started = self._place_on_kept_back(step, None, pools, now)
            self._requester.request(step, pools, now, include_full)
            return started
        if self._preemptor is not None:
            self._preemptor.before_placement(step, pool, now)
        started = self._place(step, pool, now)
        started += self._place_on_kept_back(step, pool, pools, now)
        self._ranking.note_started(step, started, now)
        self._load.note_started(step, started, now)
        self._requester.request(step, pools, now, include_full)
        self._hold_capacity(step, pool)
        if self._preemptor is not None and self._preemptor.is_urgent(step):
            self._preempt(step, pool, started, now)
        return started

    def _report_stall(self, step: StepInfo, now: float) -> None:
        """Reports what a step lacks that has waited for long."""
        if not step.pending or not self._stalls.is_due(step, now):
            return
        pool = self._pool_of(step.job)
        targets = [
            session.target
            for session in self._term.sessions.values()
            if session.target.entry.pool == pool
        ]
        within_limit = self._count_within_limit(step, len(step.pending))
        self._stalls.report(step, targets, within_limit, now)

    def _preempt(self, step: StepInfo, pool: UsablePool, started: int, now: float) -> None:
        """Stops runs for the tasks of an urgent step that found no capacity."""
        startable = step.startable(self._is_takeover_complete)
        count = len(startable - step.suspects_among(startable))
        claimed = self._preemptor.claimed_by(step.job.team)
        within_limit = self._count_within_limit(step, count, claimed)
        share = self._requester.allowed_share(step.job.queue.name)
        self._preemptor.after_placement(step, pool, started, count, within_limit, share, now)

    def _estimate_possible_usage(self) -> dict[str, Resources]:
        """Returns what teams may use on targets that this owner has not reached yet.

        Counts every task that a previous owner may have started and that no target has reported.
        """
        possible: dict[str, Resources] = {}
        for job in self._term.open_jobs.values():
            if not job.before_claim:
                continue
            for step in job.steps.values():
                uncertain = len(step.pending & step.uncertain)
                if uncertain and step.is_ready:
                    known = possible.get(job.team, ZERO)
                    possible[job.team] = known.plus(step.spec.need, uncertain)
        return possible

    def _consider(
        self,
        step: StepInfo,
        waiting: list[tuple[tuple, StepInfo]],
        upcoming: list[tuple[tuple, StepInfo]],
        now: float,
    ) -> None:
        """Adds a step that may start tasks to ``waiting``, with its rank.

        Adds one that is nearly ready, and requests advice in advance, to ``upcoming``.
        """
        if step.is_ready:
            if step.ready_at is None:
                step.ready_at = now
            step.considered_at = now
            if now >= step.not_before:
                waiting.append((self.rank(step, now), step))
        elif self._requester.is_due_in_advance(step, now):
            step.considered_at = now
            upcoming.append((self.rank(step, now), step))

    def rank(self, step: StepInfo, now: float) -> tuple:
        """Returns the rank of a step; the lowest rank goes first."""
        return self._ranking.rank(step, self._pool_of(step.job), now)

    def _pool_of(self, job: JobInfo) -> str:
        """Returns the pool of a job's queue.

        The current configuration decides; if it has no such queue, the one that the job was
        accepted with.
        """
        queue = self._term.configuration.queue_named(job.queue.name)
        return (queue or job.queue).pool

    def _place(self, step: StepInfo, pool: UsablePool, now: float) -> int:
        if not pool.may_fit(step.spec.allocation):
            return 0
        targets = pool.with_room(step, now)
        if step.spec.gang:
            return self._place_gang(step, targets, now)
        startable = step.startable(self._is_takeover_complete)
        suspects = step.suspects_among(startable)
        started = self._place_isolated(step, sorted(suspects), pool.targets, targets, now)
        others = startable - suspects
        indices = sorted(others)[: self._count_within_limit(step, len(others))]
        chosen = place(step, indices, targets, now, self._preferences)
        for index, target in chosen:
            run = self._term.allocate_run(step, index, target, step.last_run + 1)
            self._term.send_start(run)
        return started + len(chosen)

    def _place_on_kept_back(
        self, step: StepInfo, pool: UsablePool | None, pools: UsablePools, now: float
    ) -> int:
        """Starts tasks that have waited for long on targets that are kept back, one on each.

        A gang may use all targets, so that it is started whole.
        """
        pool_name = self._pool_of(step.job)
        kept_back = pools.kept_back(pool_name)
        if kept_back and step.job.queue.advice is not None:
            valid = set(step.advice.valid_targets(now))
            kept_back = [target for target in kept_back if target.id in valid] if valid else []
        kept_back = last_resorts(step, kept_back, pools, pool_name, now)
        if not kept_back:
            return 0
        if step.spec.gang:
            usable = [] if pool is None else pool.with_room(step, now)
            return self._place_gang(step, usable + kept_back, now)
        startable = step.startable(self._is_takeover_complete)
        suspects = step.suspects_among(startable)
        pool_targets = [*([] if pool is None else pool.targets), *kept_back]
        started = self._place_isolated(step, sorted(suspects), pool_targets, kept_back, now)
        indices = sorted(startable - suspects)
        indices = indices[: self._count_within_limit(step, len(indices))]
        used: set[str] = set()
        for index, target in place(step, indices, kept_back, now, self._preferences):
            if target.id in used:
                continue  # The others wait for what becomes of the first one there.
            used.add(target.id)
            begin_probation(target, now)
            run = self._term.allocate_run(step, index, target, step.last_run + 1)
            self._term.send_start(run)
        return started + len(used)

    def _place_isolated(
        self,
        step: StepInfo,
        suspects: list[int],
        pool_targets: list[TargetInfo],
        targets: list[TargetInfo],
        now: float,
    ) -> int:
        """Starts tasks that may crash their target, each on a target that starts nothing else.

        :param pool_targets: The targets of which a share may be isolated.
        :param targets: Those on which the tasks may be started.
        """
        if not suspects:
            return 0
        isolated = sum(target.is_isolated for target in pool_targets)
        max_count = min(
            max(1, int(len(pool_targets) * MAX_ISOLATED_SHARE)) - isolated,
            self._count_within_limit(step, len(suspects)),
        )
        chosen = place_isolated(step, suspects, targets, max_count, now)
        for index, target in chosen:
            if is_kept_back(target, now):
                begin_probation(target, now)
            run = self._term.allocate_run(step, index, target, step.last_run + 1)
            target.isolate(run)
            self._term.send_start(run)
        return len(chosen)

    def _place_gang(self, step: StepInfo, targets: list[TargetInfo], now: float) -> int:
        """Starts all tasks of a gang with the same run number, or none."""
        count = step.spec.count
        if (
            len(step.pending) < count
            or step.active
            or self._count_within_limit(step, count) < count
        ):
            return 0
        number = step.last_run + 1
        chosen = place_gang(step, targets, now, self._preferences)
        for _, target in chosen:
            if is_kept_back(target, now):
                begin_probation(target, now)
        runs = [self._term.allocate_run(step, index, target, number) for index, target in chosen]
        for run in runs:
            self._term.send_start(run)
        return len(runs)

    def _hold_capacity(self, step: StepInfo, pool: UsablePool) -> None:
        """Holds capacity for a gang whose request for tickets is in flight.

        The steps after it in this round would otherwise take the capacity before the answer.
        """
        if not (step.spec.gang and step.advice.requested and len(step.pending) == step.spec.count):
            return
        targets = pool.select(step.advice.allowed_targets())
        for _, target in place_gang(step, targets, IGNORE_EXPIRY, self._preferences):
            target.hold(step.spec.allocation)
            self._held_targets.append(target)

    def _release_holds(self) -> None:
        for target in self._held_targets:
            target.release_holds()
        self._held_targets.clear()

    def _is_within_limit(self, step: StepInfo) -> bool:
        """Whether the team's resource limit allows a step to start anything."""
        wanted = step.spec.count if step.spec.gang else 1
        return self._count_within_limit(step, wanted) >= wanted

    def _count_within_limit(self, step: StepInfo, count: int, claimed: Resources = ZERO) -> int:
        """Returns how many of ``count`` tasks the team's resource limit allows.

        :param claimed: What other tasks of the team will use when capacity is freed for them.
        """
        team = self._term.configuration.team_named(step.job.team)
        if team is None:
            return count
        used = self._term.usage.of(team.name).plus(self._possible_usage.get(team.name, ZERO))
        used = used.plus(claimed)
        for value, need, bound in zip(used, step.spec.need, team.limit, strict=True):
            if need and bound:
                count = min(count, (bound - value) // need)
        return max(0, count)
