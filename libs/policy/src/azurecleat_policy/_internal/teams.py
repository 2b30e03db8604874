"""Teams with their usage, limits and lanes."""

from __future__ import annotations

from azurecleat_model import NO_QUOTA, ZERO, Quota, Resources

from azurecleat_policy._internal.jobs import Lane, PolicyJob, Shape
from azurecleat_policy._internal.ranking import decayed_average, dominant_share, fair_rank
from azurecleat_policy._internal.types import TeamPolicy


class TeamState:
    """One team: what it holds, its decayed usage, and its waiting work."""

    __slots__ = ("policy", "used", "held", "average", "entitled", "waiting", "lanes", "rank")

    def __init__(self, policy: TeamPolicy) -> None:
        self.policy = policy
        self.used: Quota = NO_QUOTA
        self.held: Resources = ZERO
        self.average = 0.0
        self.entitled = 1.0
        self.waiting = 0
        self.lanes: dict[Shape, Lane] = {}
        self.rank = 0.0

    def lane_for(self, shape: Shape) -> Lane:
        """Returns the lane of a shape, making it if needed."""
        lane = self.lanes.get(shape)
        if lane is None:
            lane = self.lanes[shape] = Lane(self.policy.name, shape)
        return lane

    def has_headroom(self, job: PolicyJob) -> bool:
        """Tells whether the next decision for a job stays within the team's limit."""
        return self.policy.limit.covers(self.used.plus(job.next_start_quota))

    def add_usage(self, quota: Quota, size: Resources, total: Resources) -> None:
        """Counts a started task."""
        self.used = self.used.plus(quota)
        self.held = self.held.plus(size)
        self.update_rank(total)

    def remove_usage(self, quota: Quota, size: Resources, total: Resources) -> None:
        """Counts an ended task."""
        self.used = self.used.minus(quota)
        self.held = self.held.plus(size, -1)
        self.update_rank(total)

    def update_rank(self, total: Resources) -> None:
        """Recomputes usage over entitlement."""
        self.rank = fair_rank(dominant_share(self.held, total), self.average, self.entitled)

    def decay(self, elapsed_s: float, half_life_s: float, total: Resources) -> None:
        """Brings the average of usage forward."""
        current = dominant_share(self.held, total)
        self.average = decayed_average(self.average, current, elapsed_s, half_life_s)
        self.update_rank(total)
