"""Baseline scheduling policies for comparison: no reservations, preemption or run time learning."""

from __future__ import annotations

from azurecleat_model import Scheduling
from azurecleat_policy import Scheduler, dominant_share
from azurecleat_policy._internal.jobs import Lane
from azurecleat_policy._internal.teams import TeamState


class BaselineFairShare(Scheduler):
    """Starts jobs of the team with the lowest ratio of dominant share to entitled share first."""

    def __init__(self, scheduling: Scheduling) -> None:
        super().__init__(scheduling._replace(waiting_weight=0.0))

    def _sort_key(self, lane: Lane) -> tuple | None:
        job = lane.head()
        team = self._teams[lane.team]
        if job is None or not team.has_headroom(job):
            return None
        return (self._rank(team), *job.submission_order)

    def _rank(self, team: TeamState) -> float:
        return dominant_share(team.held, self._workers.total) / team.entitled

    def _reserve_for_blocked_job(self, now: float) -> None:
        """Reserves nothing."""

    def _on_blocked(self, job, now: float) -> list:
        self._block(job, now)
        return []

    def _record_outcome(self, worker, job, task, result, now: float) -> None:
        """Neither learns run times nor marks workers as suspect."""


class FirstComeFirstServed(BaselineFairShare):
    """Starts jobs in order of arrival; a job that does not fit blocks all later ones."""

    def _rank(self, team: TeamState) -> float:
        return 0.0

    def decide(self, now: float, max_starts: int = 1_000_000) -> list:
        """Returns the starts in order of arrival, up to the first job that does not fit."""
        self._is_head_blocked = False
        self._index.unblock(lambda shape: shape.gang_size)
        return super().decide(now, max_starts)

    def _next_lane(self):
        return None if self._is_head_blocked else super()._next_lane()

    def _on_blocked(self, job, now: float) -> list:
        self._is_head_blocked = True
        return super()._on_blocked(job, now)
