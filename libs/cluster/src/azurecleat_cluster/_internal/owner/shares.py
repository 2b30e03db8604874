"""Determines which jobs exceed their team's share, from the rate at which the team submits jobs."""

from __future__ import annotations

BURST_S = 1.0
"""Seconds' worth of a team's share that may be submitted at one moment."""


RECENT_S = 0.5
"""Time for which a team counts as over its share after a job that was: a load report's period. Its
tokens do not tell: a team within a share of one job per second mostly has none, either."""


class TeamShareLimiter:
    """A token bucket per team, refilled at the team's share in jobs per second."""

    def __init__(self) -> None:
        self._tokens: dict[str, tuple[float, float]] = {}
        self._exceeded_at: dict[str, float] = {}
        """When each team last submitted a job over its share."""

    def exceeds_share(self, team: str, share_per_s: float, now: float) -> bool:
        """Counts a job submitted now and returns whether it exceeds the team's share.

        :param share_per_s: Jobs per second; 0 means no limit.
        """
        if share_per_s <= 0:
            return False
        tokens = self._tokens_of(team, share_per_s, now)
        exceeds_share = tokens < 1.0
        if exceeds_share:
            self._exceeded_at[team] = now
        self._tokens[team] = (tokens if exceeds_share else tokens - 1.0, now)
        return exceeds_share

    def is_over_share(self, team: str, share_per_s: float, now: float) -> bool:
        """Returns whether jobs that the team submits at present exceed its share."""
        return share_per_s > 0 and now - self._exceeded_at.get(team, float("-inf")) < RECENT_S

    def _tokens_of(self, team: str, share_per_s: float, now: float) -> float:
        burst = max(1.0, share_per_s * BURST_S)
        tokens, since = self._tokens.get(team, (burst, now))
        return min(burst, tokens + (now - since) * share_per_s)
