"""Requests advice for the steps of a term: which step asks next, and for which targets."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager

from azurecleat_cluster._internal.owner.advice import AdviceClient
from azurecleat_cluster._internal.owner.advice_queue import SHORT_REQUEST_S
from azurecleat_cluster._internal.owner.advice_requests import (
    MIN_FIRST_TARGETS,
    AllowedShareEstimator,
    add_cheap_targets,
    select_targets,
    split_into_requests,
)
from azurecleat_cluster._internal.owner.last_resort import OVERDUE_S, is_overdue, last_resorts
from azurecleat_cluster._internal.owner.model import Advice, JobInfo, StepInfo
from azurecleat_cluster._internal.owner.placement import Preferences
from azurecleat_cluster._internal.owner.usable_pools import MAX_ADVISABLE_TARGETS, UsablePools

ADVICE_LEAD_S = 0.3
"""How long before a step is expected to become ready its advice should have arrived."""

ADVICE_CHECK_PAUSE_S = 0.1
"""Pause between two checks of a waiting step for missing advice: each check scans all targets."""

MAX_EXAMINED_TARGETS = 6_000
"""Most targets that the checks of one round examine: at 10 us each, reports wait for 60 ms. The
steps left out are checked in the next round."""

REQUEST_PAUSE_COSTS = 2.0
"""Pause between two requests of a step, in costs of a request that names one target. Many steps
wait when the targets are full, and the workers bound how many requests all of them can send."""

OVERDUE_ADVICE_SHARE = 1 / 3
"""Share of the requests that overdue steps make before others, oldest first."""

MAX_OVERDUE_CHECKS = 4
"""Most overdue steps of each kind checked in one round: many of them turn out to need no advice."""

OVERDUE_REQUEST_PAUSE_COSTS = 1.0
"""``REQUEST_PAUSE_COSTS`` of overdue steps that last: they ask again as soon as they may."""

Guard = Callable[[StepInfo, float], AbstractContextManager[None]]


class AdviceRequester:
    """Decides which step asks for advice next. Guarded by the lock of the owner's term.

    :param pool_of: Returns the pool of a job.
    :param may_start: Whether the resource limit of a step's account allows it to start anything.
    """

    def __init__(
        self,
        client: AdviceClient,
        preferences: Preferences,
        pool_of: Callable[[JobInfo], str],
        may_start: Callable[[StepInfo], bool],
    ) -> None:
        self._client = client
        self._preferences = preferences
        self._pool_of = pool_of
        self._may_start = may_start
        self._allowed_shares = AllowedShareEstimator()
        self._targets_left = MAX_EXAMINED_TARGETS
        self._overdue_credits = {True: 0.0, False: 0.0}
        """Requests that overdue steps are owed: short ones, and long ones."""

    def allowed_share(self, queue: str) -> float:
        """Returns the expected share of allowed targets among those that a queue's steps name."""
        return self._allowed_shares.of(queue)

    def begin_round(self) -> None:
        self._targets_left = MAX_EXAMINED_TARGETS

    def add_answer(self, step: StepInfo, advice: Advice | None, now: float) -> None:
        """Notes an answer of the advice service; None if the request was dropped."""
        step.advice.attended_at = now
        if advice is None:
            step.advice.requested.clear()
            return
        first = [name for name in advice.targets if step.advice.is_unknown(name)]
        step.advice.add(advice)
        allowed = sum(name in advice.tickets for name in first)
        self._allowed_shares.note(step.job.queue.name, len(first), allowed)

    def attend_overdue(
        self, waiting: Iterable[StepInfo], pools: UsablePools, now: float, guard: Guard
    ) -> None:
        """Requests advice for steps that others have kept from asking for too long.

        Steps whose tasks last have no bound, as their callers have no use for them until they run;
        the other steps have a share of the requests. In both groups the oldest goes first.

        :param guard: Context in which each step is served.
        """
        lasting: list[tuple[float, StepInfo]] = []
        others: list[tuple[float, StepInfo]] = []
        for step in waiting:
            since = _unattended_since(step, now)
            if (
                now - since >= OVERDUE_S
                and _may_request_advice(step, now)
                and self._may_start(step)
            ):
                (lasting if step.spec.long_running else others).append((since, step))
        # What the others are owed comes before, as lasting tasks would leave none of it.
        for group in (others, lasting):
            group.sort(key=lambda pair: pair[0])
            self._attend([step for _, step in group], pools, now, guard)

    def _attend(self, steps: list[StepInfo], pools: UsablePools, now: float, guard: Guard) -> None:
        """Requests advice for overdue steps, in their order, as far as they are owed requests."""
        checks_left = MAX_OVERDUE_CHECKS
        for step in steps:
            is_short = _is_short(step)
            is_owed = step.spec.long_running or self._overdue_credits[is_short] >= 1.0
            if not is_owed or not self._client.accepts(step.job.queue.advice.cost_s(1)):
                continue
            with guard(step, now):
                if self.request(step, pools, now) and not step.spec.long_running:
                    self._overdue_credits[is_short] -= 1.0
            checks_left -= 1
            if not checks_left:
                return

    def is_due_in_advance(self, step: StepInfo, now: float) -> bool:
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

    def request(
        self, step: StepInfo, pools: UsablePools, now: float, include_full: bool = False
    ) -> bool:
        """Requests the advice that pending tasks of a step still lack.

        :returns: Whether a request was made.
        """
        if not step.pending or self._targets_left <= 0 or not _may_request_advice(step, now):
            return False
        terms = step.job.queue.advice
        if not self._client.accepts(terms.cost_s(1)):
            return False
        step.advice.checked_at = now
        requests = self._choose_requests(step, pools, now, include_full)
        if requests and not self._client.accepts(terms.cost_s(len(requests[0]))):
            return False
        unasked_s = now - _unattended_since(step, now)
        step.advice.attended_at = now
        if not requests:
            return False
        step.advice.requested_at = now
        for names in requests:
            step.advice.requested.update(names)
            self._client.submit(step, names, unasked_s)
        is_short = _is_short(step)
        credit = self._overdue_credits[is_short] + OVERDUE_ADVICE_SHARE
        self._overdue_credits[is_short] = min(1.0, credit)
        return True

    def _choose_requests(
        self, step: StepInfo, pools: UsablePools, now: float, include_full: bool
    ) -> list[list[str]]:
        """Returns the targets that each of a step's next requests names; empty for no request."""
        pool_name = self._pool_of(step.job)
        pool, kept_back = pools.of(pool_name), pools.kept_back(pool_name)
        resorts = last_resorts(step, kept_back, pools, pool_name, now)
        has_room = pool is not None and pool.may_fit(step.spec.allocation)
        if not (has_room or include_full or resorts or _is_short(step)):
            return []  # The tickets would lapse before there is room.
        targets = [] if pool is None else pool.advisable(step, now, include_full)
        self._targets_left -= len(targets)
        names = select_targets(
            step,
            targets + resorts,
            now,
            self._allowed_shares.of(step.job.queue.name),
            self._preferences,
            include_full or bool(resorts),
        )
        requests = split_into_requests(step, names) if names else []
        if len(requests) == 1:
            if pool is not None and len(pool.targets) <= MAX_ADVISABLE_TARGETS:
                targets = pool.targets  # Full ones as well, which a larger pool has too many of.
                self._targets_left -= len(targets)
            requests = [add_cheap_targets(step, names, [*targets, *resorts])]
        return requests


def _may_request_advice(step: StepInfo, now: float) -> bool:
    """Whether a step needs advice, has no request in flight, and made no recent one."""
    terms = step.job.queue.advice
    if (
        terms is None
        or step.advice.requested
        or now - step.advice.checked_at < ADVICE_CHECK_PAUSE_S
    ):
        return False
    is_urgent = step.spec.long_running and is_overdue(step, now)
    pause_costs = OVERDUE_REQUEST_PAUSE_COSTS if is_urgent else REQUEST_PAUSE_COSTS
    return now - step.advice.requested_at >= pause_costs * terms.cost_s(1)


def _is_short(step: StepInfo) -> bool:
    """Whether a request of a step counts as short."""
    return step.job.queue.advice.cost_s(1) <= SHORT_REQUEST_S


def _unattended_since(step: StepInfo, now: float) -> float:
    """Returns since when a step may lack advice without having been able to ask for it."""
    return max(step.waiting_since(now), step.advice.attended_at)
