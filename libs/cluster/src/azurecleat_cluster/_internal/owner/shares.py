"""Determines which jobs exceed their team's share, from the rate at which the team submits jobs."""

from __future__ import annotations

BURST_S = 1.0
"""Seconds' worth of a team's share that may be submitted at one moment."""


class TeamShareLimiter:
    """A token bucket per team, refilled at the team's share in jobs per second."""

    def __init__(self) -> None:
        self._tokens: dict[str, tuple[float, float]] = {}

    def exceeds_share(self, team: str, share_per_s: float, now: float) -> bool:
        """Counts a job submitted now and returns whether it exceeds the team's share.

        :param share_per_s: Jobs per second; 0 means no limit.
        """
        if share_per_s <= 0:
            return False
        burst = max(1.0, share_per_s * BURST_S)
        tokens, since = self._tokens.get(team, (burst, now))
        tokens = min(burst, tokens + (now - since) * share_per_s)
        exceeds_share = tokens < 1.0
        self._tokens[team] = (tokens if exceeds_share else tokens - 1.0, now)
        return exceeds_share
