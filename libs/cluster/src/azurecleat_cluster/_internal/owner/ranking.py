"""Ranks waiting steps: which of them is served first. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from typing import NamedTuple

from azurecleat_cluster._internal.objectives import MAX_LATE_OBJECTIVES
from azurecleat_cluster._internal.owner.model import StepInfo, TeamUsage
from azurecleat_cluster._internal.owner.pool_load import PoolLoad, dominant_share
from azurecleat_cluster._internal.owner.usable_pools import UsablePools
from azurecleat_cluster._internal.values import Configuration, Team

FULL_SHARE = 0.9
"""Used part of a pool above which accounts are ordered by their shares. Below it, what waits lacks
tickets or a large enough gap, which taking from another account would not give it."""

SHARES_PERIOD_S = 0.2
"""Pause between two computations of the shares: each scans all targets."""

LEVEL_WIDTH = 2.0
"""Width of the levels of dominant shares, in entitled shares. With 0.5 the levels of accounts with
equal loads differed by chance and overrode the due times: the mean value of urgent jobs was 0.88
instead of 0.91, that of wide ones 0.44 instead of 0.49."""

LEVEL_MARGIN = 0.25
"""How far, in entitled shares, an account has to leave its level to change it: an eighth of it."""

AGED_STARTS_SHARE = 0.2
"""Share of the starts that jobs older than their objective get before work that can be on time."""

AGED_STEPS = 4
"""Most steps put first in one round: the oldest may be a gang for which there is no gap."""

MAX_CREDIT_STARTS = 1
"""Most starts that aged jobs are owed: none are saved up while no aged job waits."""

MAX_DEBT_STARTS = 128
"""Most starts taken in advance that count: six wide jobs of 20 tasks."""


class Order(NamedTuple):
    """What decides the order of steps under scarcity; the lowest goes first.

    :param late: Whether the job will not be done by its due time.
    :param share_level: Level of the account's dominant share while the pool is nearly full.
    :param due: Time by which the job should be done.
    """

    over_share: bool
    too_late: bool
    priority: int
    late: bool
    share_level: int
    due: float
    name: str


class Rank(NamedTuple):
    """Rank of a step, with what a load report needs to know of it.

    :param order: Decides the rank alone, as it contains the step's name.
    """

    order: tuple
    over_share: bool
    too_late: bool
    priority: int
    late: bool


def rank_of(step: StepInfo, now: float) -> tuple:
    """Returns the rank of a step; the lowest rank goes first.

    Jobs over their team's share come last. Before them come jobs that are too late to be worth
    anything. The other jobs are ordered by their queue's priority, then by the time by which they
    should be done.
    """
    job = step.job
    objective_s = job.objective_s
    age_s = now - job.seen_at
    too_late = not step.spec.long_running and age_s > MAX_LATE_OBJECTIVES * objective_s
    return (
        job.is_over_share,
        too_late,
        job.queue.priority,
        job.seen_at + objective_s,
        step.name,
    )


class DominantShares:
    """Dominant shares of the accounts, over their entitled parts of a pool.

    An account that uses just its part has a share of 1. Levels change with a margin, so that the
    order of two accounts does not change with each start.
    """

    def __init__(self) -> None:
        self._levels: dict[tuple[str, str], int] = {}
        self.ratios: dict[tuple[str, str], float] = {}
        """Dominant share over entitled part, by pool and account."""
        self._full_pools: set[str] = set()

    def level(self, pool: str, team: str) -> int:
        return self._levels.get((pool, team), 0) if pool in self._full_pools else 0

    def update(
        self, loads: Mapping[str, PoolLoad], usage: TeamUsage, teams: Mapping[str, Team]
    ) -> None:
        weighted = [team for team in teams.values() if 0 < team.weight < inf]
        weights = sum(team.weight for team in weighted)
        self._full_pools = {name for name, load in loads.items() if load.fullness > FULL_SHARE}
        self.ratios = {
            (pool, team.name): dominant_share(usage.of(team.name), load.capacity)
            * weights
            / team.weight
            for pool, load in loads.items()
            for team in weighted
        }
        self._levels = {
            key: _level(ratio, self._levels.get(key, 0)) for key, ratio in self.ratios.items()
        }


def _level(ratio: float, previous: int) -> int:
    first, last = previous * LEVEL_WIDTH, (previous + 1) * LEVEL_WIDTH
    if first - LEVEL_MARGIN <= ratio < last + LEVEL_MARGIN:
        return previous
    return int(ratio / LEVEL_WIDTH)


class Ranking:
    """Order of the waiting steps of one term.

    :param is_scarcity_ordered: Whether lateness, age and shares count; else :func:`rank_of` alone.
    :param is_load_reported: Whether a load report needs the ranks, which are a :class:`Rank` then.
    """

    def __init__(self, is_scarcity_ordered: bool, is_load_reported: bool = False) -> None:
        self._is_scarcity_ordered = is_scarcity_ordered
        self._is_plain = not (is_scarcity_ordered or is_load_reported)
        self.shares = DominantShares()
        self._shares_at = float("-inf")
        self._credits: dict[tuple[str, int], float] = {}
        """Starts that aged jobs are owed, by pool and priority."""

    def begin_round(
        self, pools: UsablePools, usage: TeamUsage, configuration: Configuration, now: float
    ) -> None:
        if not self._is_plain and now - self._shares_at >= SHARES_PERIOD_S:
            self._shares_at = now
            self.shares.update(pools.loads(), usage, configuration.teams)

    def rank(self, step: StepInfo, pool: str, now: float) -> tuple:
        order = rank_of(step, now)
        if self._is_plain:
            return order
        over_share, too_late, priority, due, name = order
        late = self._will_be_late(step, due, now)
        if self._is_scarcity_ordered:
            level = self.shares.level(pool, step.job.team)
            order = Order(over_share, too_late, priority, late, level, due, name)
        return Rank(order, over_share, too_late, priority, late)

    def sort(self, waiting: list[tuple[tuple, StepInfo]], now: float) -> None:
        """Sorts steps by their ranks, and puts aged jobs first that are owed a start."""
        waiting.sort(key=lambda pair: pair[0])
        owed = {key: AGED_STEPS for key, credit in self._credits.items() if credit >= 1.0}
        if not owed:
            return
        # By age and not by due time: that of the largest jobs is the latest.
        for position in sorted(range(len(waiting)), key=lambda n: waiting[n][1].job.seen_at):
            rank, step = waiting[position]
            key = _credit_key(step)
            if owed.get(key) and rank.late and not rank.too_late and _is_aged(step, now):
                owed[key] -= 1
                order = rank.order._replace(late=False, share_level=-1)
                waiting[position] = (rank._replace(order=order), step)
        waiting.sort(key=lambda pair: pair[0])

    def note_started(self, step: StepInfo, count: int, now: float) -> None:
        """Counts started tasks: each fifth may be one of an aged job."""
        if not (self._is_scarcity_ordered and count) or step.job.is_over_share:
            return
        key = _credit_key(step)
        change = count * (AGED_STARTS_SHARE - _is_aged(step, now))
        credit = self._credits.get(key, 0.0) + change
        self._credits[key] = min(MAX_CREDIT_STARTS, max(-MAX_DEBT_STARTS, credit))

    def _will_be_late(self, step: StepInfo, due: float, now: float) -> bool:
        """Whether a step's job can't be done in time any more.

        A step of which tasks have started goes on: what they have done would otherwise be lost.
        """
        job = step.job
        if not _has_objective(step) or step.active or step.done:
            return False
        if now + job.expected_total_s <= due:
            return False
        return now + job.expected_chain_s > due


def _credit_key(step: StepInfo) -> tuple[str, int]:
    return step.job.queue.pool, step.job.queue.priority


def _has_objective(step: StepInfo) -> bool:
    """Whether a job is to be done by a time, and is neither lasting nor repeated."""
    job = step.job
    return (
        job.queue.objective_ms > 0
        and not step.spec.long_running
        and not job.submission.spec.repeats
    )


def _is_aged(step: StepInfo, now: float) -> bool:
    """Whether a job has waited for longer than its objective."""
    job = step.job
    return _has_objective(step) and now - job.seen_at > job.objective_s
