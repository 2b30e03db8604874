"""Lets urgent steps take the place of running tasks, and keeps capacity free for a burst of them.

Each dispatch round serves the urgent steps first. One that finds no capacity claims what is being
freed already, and has runs stopped for the rest. Its tasks start in a later round, when the ends
are known.
"""

from __future__ import annotations

from typing import NamedTuple

from azurecleat_base import ZERO, Resources

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.headroom import KEEP_S, Headroom, choose_holds
from azurecleat_cluster._internal.owner.model import StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import capacity_for, has_label
from azurecleat_cluster._internal.owner.preemption import (
    MAX_CHOICES_PER_ROUND,
    MAX_CLAIMS_PER_ROUND,
    MAX_FAILED_CHOICES_PER_ROUND,
    URGENT_PRIORITY,
    Choice,
    FreeingCapacity,
    can_be_on_time,
    choose,
)
from azurecleat_cluster._internal.owner.preemption_outcomes import LineLimit
from azurecleat_cluster._internal.owner.term import OwnerTerm
from azurecleat_cluster._internal.owner.usable_pools import UsablePool

MAX_YIELD_S = 1.5
"""Longest time for which a step that was tried in vain lets others have their turn."""


class _Reservation(NamedTuple):
    """Targets, by id, on which runs were stopped for a step, and when the last one was."""

    targets: frozenset[str]
    since: float


class Preemptor:
    """The part of a dispatcher that makes room for urgent steps. Guarded by the term's lock."""

    def __init__(self, term: OwnerTerm, events: EventLog, metrics: Metrics) -> None:
        self._term = term
        self._events = events
        self._metrics = metrics
        self._lines = LineLimit()
        self._headrooms: dict[str, Headroom] = {}
        self._kept_pools: set[str] = set()
        """Pools in which capacity is kept free, as last logged."""
        self._reservations: dict[StepInfo, _Reservation] = {}
        self._holds: dict[UsablePool, list[tuple[TargetInfo, Resources]]] = {}
        """Capacity held while steps with a higher priority number are served, by pool."""
        self._freeing: dict[UsablePool, FreeingCapacity] = {}
        self._claimed: dict[str, Resources] = {}
        self._claims_left = self._choices_left = self._failed_choices_left = 0
        self._tried_in_vain: dict[StepInfo, float] = {}
        """Steps for which nothing could be stopped since a round last reached all steps, and when
        that was."""
        self._is_any_left = False
        """Whether the round has left a step for the next one."""

    def begin_round(self, now: float) -> None:
        """Begins a dispatch round."""
        for holds in self._holds.values():
            for target, _ in holds:
                target.release_holds()
        self._holds.clear()
        self._freeing.clear()
        self._claimed.clear()
        self._claims_left = MAX_CLAIMS_PER_ROUND
        self._choices_left = MAX_CHOICES_PER_ROUND
        self._failed_choices_left = MAX_FAILED_CHOICES_PER_ROUND
        self._tried_in_vain = {
            step: tried_at
            for step, tried_at in self._tried_in_vain.items()
            if self._is_any_left and now - tried_at < MAX_YIELD_S
        }
        self._is_any_left = False
        self._reservations = {
            step: reservation
            for step, reservation in self._reservations.items()
            if step.pending and step.job.is_open and now - reservation.since < KEEP_S
        }

    def is_urgent(self, step: StepInfo) -> bool:
        """Whether runs may be stopped for a step at all."""
        is_urgent = step.job.queue.priority <= URGENT_PRIORITY
        return is_urgent and not step.spec.gang and not step.spec.long_running

    def claimed_by(self, team: str) -> Resources:
        """Returns what urgent tasks of a team will use when the stopping runs have ended."""
        return self._claimed.get(team, ZERO)

    def before_placement(self, step: StepInfo, pool: UsablePool, now: float) -> None:
        """Holds the headroom before a step with a higher priority number is placed.

        An urgent step that is served after such a step, as its job is over its share or too late,
        may use all capacity.
        """
        if step.job.queue.priority <= URGENT_PRIORITY:
            holds = self._holds.pop(pool, ())
            for target, held in holds:
                target.release_hold(held)
            if holds:
                pool.note_released_holds()
        elif pool not in self._holds:
            self._holds[pool] = holds = []
            for reserved_for, reservation in self._reservations.items():
                self._hold_reserved(reserved_for, pool.select(reservation.targets), holds)
            self._hold_headroom(pool, holds, now)

    def _hold_reserved(
        self,
        step: StepInfo,
        targets: list[TargetInfo],
        holds: list[tuple[TargetInfo, Resources]],
    ) -> None:
        """Holds freed capacity that a step cannot use yet.

        Its ticket has to be renewed, or another of the runs that were stopped for it has not ended.
        """
        left = len(step.pending)
        for target in targets:
            tasks = min(left, capacity_for(step, target))
            if tasks > 0:
                left -= tasks
                _hold(target, ZERO.plus(step.spec.allocation, tasks), holds)
            elif any(run.preempted_for is step for run in target.runs.values()):
                free = target.free.at_least(ZERO)
                _hold(target, Resources(*map(min, free, step.spec.allocation)), holds)

    def _hold_headroom(
        self, pool: UsablePool, holds: list[tuple[TargetInfo, Resources]], now: float
    ) -> None:
        targets = pool.targets
        name = targets[0].entry.pool
        headroom = self._headrooms.get(name)
        if headroom is None:
            return
        wanted = headroom.wanted(_capacity(targets), now) if headroom.is_active(now) else []
        self._log_headroom(name, wanted)
        for like, count in wanted:
            for target, tasks in choose_holds(like, count, targets):
                _hold(target, ZERO.plus(like.spec.allocation, tasks), holds)

    def _log_headroom(self, pool: str, wanted: list[tuple[StepInfo, int]]) -> None:
        if bool(wanted) == (pool in self._kept_pools):
            return
        self._kept_pools ^= {pool}
        self._events.write(
            eventlog.HEADROOM_CHANGED,
            pool=pool,
            kept=bool(wanted),
            tasks=sum(count for _, count in wanted),
            cpu_milli=sum(step.spec.allocation.cpu_milli * count for step, count in wanted),
        )

    def after_placement(
        self,
        step: StepInfo,
        pool: UsablePool,
        started: int,
        waiting: int,
        within_limit: int,
        allowed_share: float,
        now: float,
    ) -> None:
        """Stops runs for the tasks of an urgent step that found no capacity.

        :param started: Tasks of the step that have just been started.
        :param waiting: Tasks of the step that could start otherwise.
        :param within_limit: How many of them the account's limit allows.
        :param allowed_share: Share of the targets in requests for advice that will be allowed.
        """
        headroom = self._headrooms.setdefault(pool.targets[0].entry.pool, Headroom())
        if started:
            headroom.note_starts(step, started, now)
        if not waiting or step.job.is_over_share:
            return
        outcome = self._make_room(step, pool, waiting, within_limit, allowed_share, headroom, now)
        self._metrics.preemptions.labels(outcome).inc()

    def _make_room(
        self,
        step: StepInfo,
        pool: UsablePool,
        waiting: int,
        within_limit: int,
        allowed_share: float,
        headroom: Headroom,
        now: float,
    ) -> str:
        """Stops runs where that helps; returns the outcome for the counters."""
        if not within_limit:
            return "account limit"
        if not can_be_on_time(step, now):
            return "too late"
        if not self._claims_left:
            self._is_any_left = True
            return "left for the next round"
        if step in self._tried_in_vain:
            return "left for the next round"  # Those that were not reached yet have their turn.
        targets = _usable_targets(step, pool, now)
        if not targets:
            return "no tickets"
        self._claims_left -= 1
        in_flight = sum(capacity_for(step, each) for each in pool.select(step.advice.requested))
        missing = min(waiting, within_limit) - int(in_flight * allowed_share)
        if missing <= 0:
            return "advice in flight"
        freeing = self._freeing.get(pool)
        if freeing is None:
            freeing = self._freeing[pool] = FreeingCapacity(pool.targets, now)
        expected = freeing.claim(step, missing, targets)
        choice = Choice()
        if expected < missing:
            headroom.note_wait(now)
        if expected < missing and not (self._choices_left and self._failed_choices_left):
            self._is_any_left = True
        elif expected < missing:
            choice = choose(step, missing - expected, targets, freeing, now)
            self._choices_left -= bool(choice.runs)
            if not choice.runs:
                self._failed_choices_left -= 1
                self._tried_in_vain[step] = now
        self._claim(step, expected + choice.starts)
        if choice.runs:
            self._stop(step, choice, now)
            self._log(step, missing, expected, choice, freeing, now)
            return "stopped"
        return "capacity expected" if expected == missing else "no victims"

    def _claim(self, step: StepInfo, tasks: int) -> None:
        claimed = self.claimed_by(step.job.team)
        self._claimed[step.job.team] = claimed.plus(step.spec.need, tasks)

    def _stop(self, step: StepInfo, choice: Choice, now: float) -> None:
        known = self._reservations.get(step)
        targets = {run.target.id for run in choice.runs} | (known.targets if known else set())
        self._reservations[step] = _Reservation(frozenset(targets), now)
        for run in choice.runs:
            self._term.preempt_run(run, step, now)

    def _log(
        self,
        step: StepInfo,
        missing: int,
        expected: int,
        choice: Choice,
        freeing: FreeingCapacity,
        now: float,
    ) -> None:
        if not self._lines.may_write(now):
            return
        self._events.write(
            eventlog.PREEMPTION_DECIDED,
            step=step.name,
            tasks=missing,
            expected=expected,
            stopped=len(choice.runs),
            starts=choice.starts,
            lost_core_s=round(choice.lost_core_s, 2),
            stopping_milli=freeing.stopping.cpu_milli,
            limit_milli=freeing.limit.cpu_milli,
            waited_s=round(now - (step.ready_at or now), 3),
            unlogged=self._lines.unlogged,
        )
        self._lines.unlogged = 0


def _usable_targets(step: StepInfo, pool: UsablePool, now: float) -> list[TargetInfo]:
    """Returns the targets on which a step could start a task now if there was capacity."""
    if step.job.queue.advice is None:
        targets = pool.targets
    else:
        targets = pool.select(step.advice.valid_targets(now))
    return [target for target in targets if has_label(step, target)]


def _capacity(targets: list[TargetInfo]) -> Resources:
    total = ZERO
    for target in targets:
        total = total.plus(target.entry.capacity)
    return total


def _hold(target: TargetInfo, amount: Resources, holds: list[tuple[TargetInfo, Resources]]) -> None:
    target.hold(amount)
    holds.append((target, amount))
