"""Tells jobs within a team's share from those beyond it, by the rate at which they come."""

from __future__ import annotations

BURST_S = 1.0
"""Seconds of a team's share that may come at one moment."""


class TeamShareLimiter:
    """A token bucket for each team, filled with its share in jobs a second."""

    def __init__(self) -> None:
        self._tokens: dict[str, tuple[float, float]] = {}

    def exceeds_share(self, team: str, share_per_s: float, now: float) -> bool:
        """Counts a job that has come now; tells whether it is beyond the team's share.

        :param share_per_s: Jobs a second; 0 means no bound.
        """
        if share_per_s <= 0:
            return False
        burst = max(1.0, share_per_s * BURST_S)
        tokens, since = self._tokens.get(team, (burst, now))
        tokens = min(burst, tokens + (now - since) * share_per_s)
        exceeds_share = tokens < 1.0
        self._tokens[team] = (tokens if exceeds_share else tokens - 1.0, now)
        return exceeds_share
