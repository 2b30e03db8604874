"""Teams with their limits, usage and lanes."""

from __future__ import annotations

from azurecleat_model import NO_QUOTA, ZERO, Quota, Resources

from azurecleat_policy._internal.jobs import Lane, PolicyJob, Shape
from azurecleat_policy._internal.ranking import decayed_average, dominant_share, fair_rank
from azurecleat_policy._internal.types import TeamPolicy


class TeamState:
    """One team: usage, rank and waiting work.

    ``used`` counts against the limit by the sizes of tasks; ``held`` includes reported usage.
    ``average`` is the decayed dominant share, ``entitled`` the fraction the team is entitled to.
    """

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
        """Returns the lane of a shape; creates it if there is none."""
        lane = self.lanes.get(shape)
        if lane is None:
            lane = self.lanes[shape] = Lane(self.policy.name, shape)
        return lane

    def has_headroom(self, job: PolicyJob) -> bool:
        """Returns whether the next decision for a job stays within the team's limit."""
        return self.policy.limit.covers(self.used.plus(job.next_start_quota))

    def add_usage(self, quota: Quota, size: Resources, total: Resources) -> None:
        """Adds a started task."""
        self.used = self.used.plus(quota)
        self.held = self.held.plus(size)
        self.update_rank(total)

    def remove_usage(self, quota: Quota, size: Resources, total: Resources) -> None:
        """Subtracts an ended task."""
        self.used = self.used.minus(quota)
        self.held = self.held.plus(size, -1)
        self.update_rank(total)

    def update_rank(self, total: Resources) -> None:
        """Recomputes the rank: usage divided by entitlement."""
        self.rank = fair_rank(dominant_share(self.held, total), self.average, self.entitled)

    def decay(self, elapsed_s: float, half_life_s: float, total: Resources) -> None:
        """Updates the decayed average of usage after ``elapsed_s``."""
        current = dominant_share(self.held, total)
        self.average = decayed_average(self.average, current, elapsed_s, half_life_s)
        self.update_rank(total)
