"""Publishes the load report of one term while work waits."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.load_report import (
    DrainRate,
    WaitingWork,
    WorkClass,
    compute_report,
    work_of,
)
from azurecleat_cluster._internal.owner.model import StepInfo
from azurecleat_cluster._internal.owner.ranking import DominantShares, Rank
from azurecleat_cluster._internal.owner.term import OwnerTerm
from azurecleat_cluster._internal.owner.usable_pools import UsablePools
from azurecleat_cluster._internal.replica import load_record
from azurecleat_cluster._internal.replica.load_record import LoadReport

PUBLISH_PERIOD_S = 0.5
"""Pause between two reports. Callers' instances read them up to twice a second."""

LOG_PERIOD_S = 5.0
"""Pause between two log lines with a report."""

MAX_LABELLED_ACCOUNTS = 32
"""Most accounts with a gauge of their dominant share: those with the largest."""

MIN_FLOODING_JOBS = 3
"""Waiting jobs over its share from which on an account is reported as over it: more than a chance
meeting of two."""


class LoadPublisher:
    """Writes reports to the progress stream, and the last one when nothing has to wait any more."""

    def __init__(
        self, term: OwnerTerm, shares: DominantShares, events: EventLog, metrics: Metrics
    ) -> None:
        self._term = term
        self._shares = shares
        self._events = events
        self._metrics = metrics
        self._is_on = term.features.admission
        self._drain = DrainRate()
        self._published_at = float("-inf")
        self._logged_at = float("-inf")
        self._has_stated_wait = False

    def note_started(self, step: StepInfo, count: int, now: float) -> None:
        if self._is_on and count:
            work = work_of(step.spec.allocation, count, step.expected_s)
            self._drain.note(step.job.queue.pool, step.job.is_over_share, work, now)

    def update(
        self, waiting: Iterable[tuple[tuple, StepInfo]], pools: UsablePools, now: float
    ) -> None:
        """Publishes a report of the steps that wait after a dispatch round, if one is due."""
        if not self._is_on or now - self._published_at < PUBLISH_PERIOD_S:
            return
        if self._term.takeover is not None and not self._term.takeover.is_complete():
            return  # The capacity of targets that are not reached yet would be missing.
        steps = [(rank, step) for rank, step in waiting if step.pending]
        self._drain.forget_old(now)
        if not steps and not self._has_stated_wait:
            return
        self._published_at = now
        report = compute_report(
            self._term.authority.epoch,
            group(steps, now),
            pools.loads(),
            self._drain,
            self._term.configuration.current,
            self._flooding_accounts(steps, now),
            self._term.usage,
        )
        if report.states_wait or self._has_stated_wait:
            self._has_stated_wait = report.states_wait
            self._term.publish_load(load_record.encode(report))
            self._show(report, now)

    def _flooding_accounts(self, steps: Iterable[tuple[Rank, StepInfo]], now: float) -> list[str]:
        """Returns the accounts over their share that have jobs over it waiting.

        An account that submits two jobs at one moment is over its share until its next one.
        """
        jobs = {
            (step.job.team, step.job.id)
            for rank, step in steps
            if rank.over_share and not rank.too_late
        }
        counts = Counter(team for team, _ in jobs)
        return [
            team
            for team in self._term.accounts_over_share(now)
            if counts[team] >= MIN_FLOODING_JOBS
        ]

    def _show(self, report: LoadReport, now: float) -> None:
        waits, shares = self._metrics.expected_wait_s, self._metrics.dominant_share
        waits.clear()
        for name, wait in report.queues.items():
            waits.labels(name, "within").set(wait.within_s)
            waits.labels(name, "over").set(wait.over_s)
        shares.clear()
        ratios: dict[str, float] = {}
        for (_, account), ratio in self._shares.ratios.items():
            ratios[account] = max(ratio, ratios.get(account, 0.0))
        for account in sorted(ratios, key=lambda name: -ratios[name])[:MAX_LABELLED_ACCOUNTS]:
            shares.labels(account).set(round(ratios[account], 3))
        if now - self._logged_at >= LOG_PERIOD_S or not report.states_wait:
            self._logged_at = now
            self._events.write(
                eventlog.LOAD_REPORTED,
                epoch=report.epoch,
                queues={name: list(wait) for name, wait in report.queues.items()},
                over_share=len(report.over_share),
                accounts=len(report.accounts),
            )


def group(steps: Iterable[tuple[Rank, StepInfo]], now: float) -> dict[WorkClass, WaitingWork]:
    """Groups waiting steps by what decides who goes before whom."""
    groups: dict[WorkClass, WaitingWork] = {}
    for rank, step in steps:
        queue = step.job.queue
        key = WorkClass(queue.pool, queue.name, step.job.team, *_class_of(rank))
        need, count = step.spec.allocation, len(step.pending)
        work = work_of(need, count, step.expected_s)
        known = groups.get(key)
        waited_s = now - (step.ready_at if step.ready_at is not None else now)
        if known is None:
            groups[key] = WaitingWork(work, need.plus(need, count - 1), waited_s)
        else:
            groups[key] = WaitingWork(
                tuple(map(sum, zip(known.work, work, strict=True))),
                known.need.plus(need, count),
                max(known.waited_s, waited_s),
            )
    return groups


def _class_of(rank: Rank) -> tuple[int, bool, bool, bool]:
    return rank.priority, rank.over_share, rank.too_late, rank.late
