"""Chooses which tasks to start next, in which order, and when to request advice."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from azurecleat_base import ZERO, Clock, Resources

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice import AdviceClient
from azurecleat_cluster._internal.owner.advice_queue import SHORT_REQUEST_S
from azurecleat_cluster._internal.owner.advice_requests import (
    MIN_FIRST_TARGETS,
    AllowedShareEstimator,
    add_cheap_targets,
    select_targets,
    split_into_requests,
)
from azurecleat_cluster._internal.owner.crashes import MAX_ISOLATED_SHARE, place_isolated
from azurecleat_cluster._internal.owner.load_publisher import LoadPublisher
from azurecleat_cluster._internal.owner.model import Advice, JobInfo, StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import (
    IGNORE_EXPIRY,
    Preferences,
    has_label,
    is_kept_back,
    place,
    place_gang,
)
from azurecleat_cluster._internal.owner.preemptor import Preemptor
from azurecleat_cluster._internal.owner.ranking import Ranking
from azurecleat_cluster._internal.owner.stalls import StallReporter
from azurecleat_cluster._internal.owner.term import OwnerTerm
from azurecleat_cluster._internal.owner.usable_pools import (
    MAX_ADVISABLE_TARGETS,
    UsablePool,
    UsablePools,
)

MAX_IDLE_S = 0.25
"""Longest pause between two dispatch rounds, for tasks that become startable by time alone."""

ADVICE_LEAD_S = 0.3
"""How long before a step is expected to become ready its advice should have arrived."""

EVALUATION_PERIOD_S = 0.2
"""Pause between two evaluations of all runs: targets report every half second."""

ADVICE_CHECK_PAUSE_S = 0.1
"""Pause between two checks of a waiting step for missing advice: each check scans all targets."""

MAX_EXAMINED_TARGETS = 6_000
"""Most targets that the checks of one round examine: at 10 us each, reports wait for 60 ms. The
steps left out are checked in the next round."""

REQUEST_PAUSE_COSTS = 2.0
"""Pause between two requests of a step, in costs of a request that names one target. Many steps
wait when the targets are full, and the workers bound how many requests all of them can send."""

OVERDUE_S = 1.0
"""Wait after which a step asks for advice before others with a better rank, and may use targets
that are kept back: a third of the time within which tasks that last have to run again."""

MAX_FULLNESS_FOR_KEPT_BACK = 0.5
"""Used part of a pool up to which tasks that do not last may use targets that are kept back."""

OVERDUE_ADVICE_SHARE = 1 / 3
"""Share of the requests that overdue steps make before others, oldest first."""

MAX_OVERDUE_CHECKS = 4
"""Most overdue steps of each kind checked in one round: many of them turn out to need no advice."""

OVERDUE_REQUEST_PAUSE_COSTS = 1.0
"""``REQUEST_PAUSE_COSTS`` of overdue steps that last: they ask again as soon as they may."""

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
        self._targets_left = MAX_EXAMINED_TARGETS
        self._overdue_credits = {True: 0.0, False: 0.0}
        """Requests that overdue steps are owed: short ones, and long ones."""
        self._is_takeover_complete = False
        self._possible_usage: dict[str, Resources] = {}
        self._held_targets: list[TargetInfo] = []
        """Targets with capacity held for gangs that wait for tickets."""
        self._allowed_shares = AllowedShareEstimator()
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
            step.advice.attended_at = self._clock.monotonic()
            if advice is None:
                step.advice.requested.clear()
            else:
                first = [name for name in advice.targets if step.advice.is_unknown(name)]
                step.advice.add(advice)
                allowed = sum(name in advice.tickets for name in first)
                self._allowed_shares.note(step.job.queue.name, len(first), allowed)
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
        self._targets_left = MAX_EXAMINED_TARGETS
        self._stalls.begin_round()
        pools = UsablePools([session.target for session in term.sessions.values()], now)
        self._ranking.begin_round(pools, term.usage, term.configuration.current, now)
        is_takeover_complete = term.takeover is None or term.takeover.is_complete()
        self._is_takeover_complete = is_takeover_complete
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
        self._attend_overdue(waiting, pools, now)
        started = 0
        # The first waiting steps, one per general worker, also renew tickets for full targets.
        renewals_left = self._advice.general_worker_count
        for _, step in waiting:
            with self._postpone_on_error(step, now):
                started += self._serve(step, pools, now, include_full=renewals_left > 0)
                renewals_left -= bool(step.pending and step.job.queue.advice)
                self._report_stall(step, now)
        for _, step in sorted(upcoming, key=lambda pair: pair[0]):
            with self._postpone_on_error(step, now):
                self._request_advice(step, pools, now)
        self._metrics.waiting_tasks.set(sum(len(step.pending) for _, step in waiting))
        self._load.update(waiting, pools, now)
        return started

    def _attend_overdue(
        self, waiting: list[tuple[tuple, StepInfo]], pools: UsablePools, now: float
    ) -> None:
        """Requests advice for steps that others have kept from asking for too long.

        Steps whose tasks last have no bound, as their callers have no use for them until they run;
        the other steps have a share of the requests. In both groups the oldest goes first.
        """
        lasting: list[tuple[float, StepInfo]] = []
        others: list[tuple[float, StepInfo]] = []
        for _, step in waiting:
            since = _unattended_since(step, now)
            if (
                now - since >= OVERDUE_S
                and _may_request_advice(step, now)
                and self._is_within_limit(step)
            ):
                (lasting if step.spec.long_running else others).append((since, step))
        # What the others are owed comes before, as lasting tasks would leave none of it.
        for group in (others, lasting):
            group.sort(key=lambda pair: pair[0])
            self._attend([step for _, step in group], pools, now)

    def _attend(self, steps: list[StepInfo], pools: UsablePools, now: float) -> None:
        """Requests advice for overdue steps, in their order, as far as they are owed requests."""
        checks_left = MAX_OVERDUE_CHECKS
        for step in steps:
            is_short = _is_short(step)
            is_owed = step.spec.long_running or self._overdue_credits[is_short] >= 1.0
            if not is_owed or not self._advice.accepts(step.job.queue.advice.cost_s(1)):
                continue
            with self._postpone_on_error(step, now):
                if self._request_advice(step, pools, now) and not step.spec.long_running:
                    self._overdue_credits[is_short] -= 1.0
            checks_left -= 1
            if not checks_left:
                return

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
            self._request_advice(step, pools, now, include_full)
            return started
        if self._preemptor is not None:
            self._preemptor.before_placement(step, pool, now)
        started = self._place(step, pool, now)
        started += self._place_on_kept_back(step, pool, pools, now)
        self._ranking.note_started(step, started, now)
        self._load.note_started(step, started, now)
        self._request_advice(step, pools, now, include_full)
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
        share = self._allowed_shares.of(step.job.queue.name)
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
        elif self._is_nearly_ready(step, now):
            step.considered_at = now
            upcoming.append((self.rank(step, now), step))

    def _is_nearly_ready(self, step: StepInfo, now: float) -> bool:
        """Whether advice must be requested now to arrive before the steps depended on end."""
        if not _may_request_advice(step, now):
            return False
        lead_s = step.job.queue.advice.cost_s(MIN_FIRST_TARGETS) + ADVICE_LEAD_S
        for index in step.spec.depends_on:
            dependency = step.job.steps[step.occurrence, index]
            if dependency.pending or (not dependency.active and not dependency.is_done):
                return False
            if any(run.remaining_s(now) > lead_s for run in dependency.active.values()):
                return False
        return True

    def _request_advice(
        self, step: StepInfo, pools: UsablePools, now: float, include_full: bool = False
    ) -> bool:
        """Requests the advice that pending tasks of a step still lack.

        :returns: Whether a request was made.
        """
        if not step.pending or self._targets_left <= 0 or not _may_request_advice(step, now):
            return False
        terms = step.job.queue.advice
        if not self._advice.accepts(terms.cost_s(1)):
            return False
        step.advice.checked_at = now
        requests = self._choose_requests(step, pools, now, include_full)
        if requests and not self._advice.accepts(terms.cost_s(len(requests[0]))):
            return False
        unasked_s = now - _unattended_since(step, now)
        step.advice.attended_at = now
        if not requests:
            return False
        step.advice.requested_at = now
        for names in requests:
            step.advice.requested.update(names)
            self._advice.submit(step, names, unasked_s)
        is_short = _is_short(step)
        credit = self._overdue_credits[is_short] + OVERDUE_ADVICE_SHARE
        self._overdue_credits[is_short] = min(1.0, credit)
        return True

    def _choose_requests(
        self, step: StepInfo, pools: UsablePools, now: float, include_full: bool
    ) -> list[list[str]]:
        """Returns the targets that each of a step's next requests names; empty for no request."""
        pool = pools.of(self._pool_of(step.job))
        kept_back = pools.kept_back(self._pool_of(step.job))
        last_resorts = self._last_resorts(step, kept_back, pools, now)
        has_room = pool is not None and pool.may_fit(step.spec.allocation)
        if not (has_room or include_full or last_resorts or _is_short(step)):
            return []  # The tickets would lapse before there is room.
        targets = [] if pool is None else pool.advisable(step, now, include_full)
        self._targets_left -= len(targets)
        names = select_targets(
            step,
            targets + last_resorts,
            now,
            self._allowed_shares.of(step.job.queue.name),
            self._preferences,
            include_full or bool(last_resorts),
        )
        requests = split_into_requests(step, names) if names else []
        if len(requests) == 1:
            if pool is not None and len(pool.targets) <= MAX_ADVISABLE_TARGETS:
                targets = pool.targets  # Full ones as well, which a larger pool has too many of.
                self._targets_left -= len(targets)
            requests = [add_cheap_targets(step, names, [*targets, *last_resorts])]
        return requests

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

    def _last_resorts(
        self, step: StepInfo, kept_back: list[TargetInfo], pools: UsablePools, now: float
    ) -> list[TargetInfo]:
        """Returns the targets kept back that a step may use, as it has waited for long.

        The users want a task to run that has room somewhere, and the advice may leave a step no
        other target. For a task with a limited number of attempts this holds only while its job
        has no run and half of the pool is free, and not for its last attempt: it could fail on such
        a target.
        """
        if not kept_back or not step.pending or not _is_overdue(step, now):
            return []
        if not step.spec.long_running:
            is_busy = pools.fullness(self._pool_of(step.job)) > MAX_FULLNESS_FOR_KEPT_BACK
            if is_busy or _is_last_attempt(step):
                return []
            if any(each.active for each in step.job.steps.values()):
                return []
        return [
            target
            for target in kept_back
            if target.id not in step.advice.denied
            and has_label(step, target)
            and step.spec.allocation.fits_in(target.free)
        ]

    def _place_on_kept_back(
        self, step: StepInfo, pool: UsablePool | None, pools: UsablePools, now: float
    ) -> int:
        """Starts tasks that have waited for long on targets that are kept back, one on each.

        A gang may use all targets, so that it is started whole.
        """
        kept_back = pools.kept_back(self._pool_of(step.job))
        if kept_back and step.job.queue.advice is not None:
            valid = set(step.advice.valid_targets(now))
            kept_back = [target for target in kept_back if target.id in valid] if valid else []
        kept_back = self._last_resorts(step, kept_back, pools, now)
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
            _begin_probation(target, now)
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
                _begin_probation(target, now)
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
                _begin_probation(target, now)
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


def _is_overdue(step: StepInfo, now: float) -> bool:
    """Whether a task of a step has waited for too long."""
    return now - step.waiting_since(now) >= OVERDUE_S


def _is_last_attempt(step: StepInfo) -> bool:
    """Whether a pending task of a step fails its job if it fails once more."""
    failures = max((len(step.failures.get(index, ())) for index in step.pending), default=0)
    return failures + 1 >= max(1, step.job.queue.attempts)


def _begin_probation(target: TargetInfo, now: float) -> None:
    """Puts a target that is kept back on probation, so that it starts one run at a time."""
    if not target.on_probation:
        target.begin_probation(now)


def _may_request_advice(step: StepInfo, now: float) -> bool:
    """Whether a step needs advice, has no request in flight, and made no recent one."""
    terms = step.job.queue.advice
    if (
        terms is None
        or step.advice.requested
        or now - step.advice.checked_at < ADVICE_CHECK_PAUSE_S
    ):
        return False
    is_urgent = step.spec.long_running and _is_overdue(step, now)
    pause_costs = OVERDUE_REQUEST_PAUSE_COSTS if is_urgent else REQUEST_PAUSE_COSTS
    return now - step.advice.requested_at >= pause_costs * terms.cost_s(1)


def _is_short(step: StepInfo) -> bool:
    """Whether a request of a step counts as short."""
    return step.job.queue.advice.cost_s(1) <= SHORT_REQUEST_S


def _unattended_since(step: StepInfo, now: float) -> float:
    """Returns since when a step may lack advice without having been able to ask for it."""
    return max(step.waiting_since(now), step.advice.attended_at)
