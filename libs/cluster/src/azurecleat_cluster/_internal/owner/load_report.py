"""Computes how long new jobs will have to wait. No I/O and no clock.

Each rule errs towards a shorter wait, because a job that is refused can't be served any more.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from azurecleat_base import Resources

from azurecleat_cluster._internal.owner.model import TeamUsage
from azurecleat_cluster._internal.owner.pool_load import PoolLoad
from azurecleat_cluster._internal.replica.load_record import LoadReport, QueueWait
from azurecleat_cluster._internal.values import Configuration, Queue, Team

DRAIN_WINDOW_S = 3.0
"""Time over which starts are counted: about one wide task, so that a few freed targets at once do
not look like a rate."""

MIN_OVER_SHARE_RATE = 0.02
"""Least rate, in pools, at which work over its account's share is expected to be served: over it
the wait is past every objective, so that a smaller rate would not change a decision."""

MIN_OVER_SHARE_WAIT_S = 1.0
"""Time for which work over its account's share has to have waited before the pool counts as one
that leaves it little."""

MIN_STATED_WAIT_S = 0.25
"""Waits below this are left out: they are within a round of dispatch and one of advice."""

MAX_STATED_ACCOUNTS = 32
"""Most accounts with a wait of their own in a report, the longest waits first."""

MAX_LIMIT_STEPS = 32
"""Most iterations of the bound by the accounts' limits; each only shortens the wait. With limits of
half the pool it is exact to a millisecond, however much work waits."""

LIMIT_PRECISION = 0.99

MAX_COUNTED_S = 60.0
"""Longest time for which a task counts. Callers estimate it, and the estimate of one of them must
not keep the jobs of the others out."""

Work = tuple[float, float, float]
"""Resources times seconds."""

NO_WORK: Work = (0.0, 0.0, 0.0)


class WorkClass(NamedTuple):
    """What the waiting work of a report is grouped by."""

    pool: str
    queue: str
    account: str
    priority: int
    over_share: bool
    too_late: bool
    late: bool


class WaitingWork(NamedTuple):
    """Waiting work of one class.

    :param work: Resources times seconds, by the expected durations.
    :param need: Resources of all its tasks together.
    :param waited_s: Time for which its oldest step has been ready.
    """

    work: Work
    need: Resources
    waited_s: float


class DrainRate:
    """Work started in a pool in the last seconds, by whether it was over its account's share."""

    def __init__(self) -> None:
        self._starts: deque[tuple[float, str, bool, Work]] = deque()

    def note(self, pool: str, over_share: bool, work: Work, now: float) -> None:
        self._starts.append((now, pool, over_share, work))

    def forget_old(self, now: float) -> None:
        while self._starts and now - self._starts[0][0] > DRAIN_WINDOW_S:
            self._starts.popleft()

    def of(self, pool: str) -> Work:
        """Returns resources times seconds started per second."""
        return self._rate([work for _, name, _, work in self._starts if name == pool])

    def rest_of(self, pool: str, capacity: Resources) -> Work:
        """Returns the rate at which work over its account's share is served.

        This is what work within its share leaves of the capacity, or what was started if that is
        more: expected durations, and so the rates, may be too long.
        """
        rates = [
            self._rate([w for _, name, over, w in self._starts if name == pool and over is kind])
            for kind in (False, True)
        ]
        return tuple(
            max(MIN_OVER_SHARE_RATE * most, most - within, over)
            for most, within, over in zip(capacity, *rates, strict=True)
        )

    def _rate(self, works: list[Work]) -> Work:
        return _scaled(_sum(works), 1.0 / DRAIN_WINDOW_S)


def compute_report(
    epoch: int,
    waiting: Mapping[WorkClass, WaitingWork],
    loads: Mapping[str, PoolLoad],
    drain: DrainRate,
    configuration: Configuration,
    over_share: Iterable[str],
    usage: TeamUsage,
) -> LoadReport:
    """Returns the report of the present waits."""
    flagged = frozenset(over_share)
    queues, accounts = {}, {}
    for queue in configuration.queues:
        load = loads.get(queue.pool)
        if load is None or queue.objective_ms <= 0:
            continue
        ahead = {key: work for key, work in waiting.items() if key.pool == queue.pool}
        if not ahead:
            continue
        wait = _wait_of_queue(queue, ahead, load, drain, configuration)
        if wait.over_s >= MIN_STATED_WAIT_S:
            queues[queue.name] = wait
        for name, wait_s in _waits_of_accounts(queue, ahead, configuration, flagged, usage).items():
            accounts.setdefault(name, {})[queue.name] = wait_s
    chosen = sorted(accounts, key=lambda name: -max(accounts[name].values()))
    stated = {name: accounts[name] for name in chosen[:MAX_STATED_ACCOUNTS]}
    return LoadReport(epoch, queues, flagged, stated)


def _wait_of_queue(
    queue: Queue,
    waiting: Mapping[WorkClass, WaitingWork],
    load: PoolLoad,
    drain: DrainRate,
    configuration: Configuration,
) -> QueueWait:
    within = [(key, work) for key, work in waiting.items() if _is_ahead(key, queue, False)]
    over = [(key, work) for key, work in waiting.items() if _is_ahead(key, queue, True)]
    started = drain.of(queue.pool)
    rate = [max(most, each) for most, each in zip(load.capacity, started, strict=True)]
    within_s = _time_to_drain(within, load, rate, configuration.teams)
    over_s = _time_to_drain(over, load, rate, configuration.teams)
    rest = [(key, work) for key, work in over if key.over_share]
    if any(work.waited_s >= MIN_OVER_SHARE_WAIT_S for _, work in rest):
        # What work within its share leaves is known only while other work has to wait for it.
        rest_rate = drain.rest_of(queue.pool, load.capacity)
        over_s = max(over_s, _time_to_drain(rest, load, rest_rate, configuration.teams))
    return QueueWait(round(within_s, 2), round(max(within_s, over_s), 2))


def _is_ahead(key: WorkClass, queue: Queue, is_over_share: bool) -> bool:
    """Whether work is served before a new job of a queue.

    :param is_over_share: Whether the new job is over its account's share.
    """
    if key.over_share != is_over_share:
        return is_over_share
    if key.too_late or key.priority != queue.priority:
        return not key.too_late and key.priority < queue.priority
    # Work over its share has no guarantee: what is late shares what little capacity there is.
    return key.queue == queue.name and (is_over_share or not key.late)


def _time_to_drain(
    waiting: Sequence[tuple[WorkClass, WaitingWork]],
    load: PoolLoad,
    rate: Sequence[float],
    teams: Mapping[str, Team],
) -> float:
    """Returns the seconds until waiting work has been started.

    Free capacity is taken as usable by the work, and an account's work counts at most as far as
    its limit lets it be served in that time.
    """
    by_account: dict[str, list[Work]] = {}
    for key, work in waiting:
        by_account.setdefault(key.account, []).append(work.work)
    works = {name: _sum(each) for name, each in by_account.items()}
    total = _sum(works.values())
    needs = _sum(work.need for _, work in waiting)
    seconds = 0.0
    for index, per_s in enumerate(rate):
        placed = _placeable(total[index], needs[index], load.free[index])
        if not per_s or placed >= total[index]:
            continue
        left_s = (total[index] - placed) / per_s
        for _ in range(MAX_LIMIT_STEPS):
            counted = sum(
                min(work[index], _limit(teams, name, index) * left_s)
                for name, work in works.items()
            )
            previous_s, left_s = left_s, max(0.0, min(left_s, (counted - placed) / per_s))
            if left_s >= LIMIT_PRECISION * previous_s:
                break
        seconds = max(seconds, left_s)
    return seconds


def _placeable(work: float, need: float, free: float) -> float:
    """Returns the part of some work that free capacity takes at once."""
    return work * min(1.0, max(0.0, free) / need) if need else work


def _waits_of_accounts(
    queue: Queue,
    waiting: Mapping[WorkClass, WaitingWork],
    configuration: Configuration,
    over_share: frozenset[str],
    usage: TeamUsage,
) -> dict[str, float]:
    """Returns how long accounts' own limits will delay their next job of a queue."""
    ahead: dict[str, list[WaitingWork]] = {}
    for key, work in waiting.items():
        if _is_ahead(key, queue, key.account in over_share):
            ahead.setdefault(key.account, []).append(work)
    waits = {}
    for name, works in ahead.items():
        team = configuration.teams.get(name)
        wait_s = 0.0 if team is None else _wait_at_limit(works, team, usage.of(name))
        if wait_s >= MIN_STATED_WAIT_S:
            waits[name] = round(wait_s, 2)
    return waits


def _wait_at_limit(works: Sequence[WaitingWork], team: Team, used: Resources) -> float:
    """Returns the seconds until a limit has let an account's waiting work start."""
    total = _sum(each.work for each in works)
    needs = _sum(each.need for each in works)
    seconds = 0.0
    for index, bound in enumerate(team.limit):
        if bound:
            placed = _placeable(total[index], needs[index], bound - used[index])
            seconds = max(seconds, (total[index] - placed) / bound)
    return seconds


def _limit(teams: Mapping[str, Team], name: str, index: int) -> float:
    """Returns an account's limit of one resource, infinite if it has none."""
    team = teams.get(name)
    return (team.limit[index] if team is not None else 0) or float("inf")


def _sum(works: Iterable[Sequence[float]]) -> Work:
    columns = list(zip(*works, strict=True))
    return tuple(sum(column) for column in columns) if columns else NO_WORK


def _scaled(work: Work, factor: float) -> Work:
    return tuple(each * factor for each in work)


def work_of(need: Resources, count: int, seconds: float) -> Work:
    """Returns the work of some tasks, from their need and expected seconds."""
    return _scaled(need, count * min(seconds, MAX_COUNTED_S))
