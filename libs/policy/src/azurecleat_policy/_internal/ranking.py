"""Order in which waiting work is considered.

Teams are compared by their weighted dominant share: the largest fraction of any resource that
a team holds, over its entitled fraction (A. Ghodsi et al., "Dominant Resource Fairness", 2011).
Past usage counts with exponential decay, so that a burst is paid back afterwards.
"""

from __future__ import annotations

from azurecleat_model import Resources

WAIT_SCALE_S = 60.0
"""Waiting this long weighs as much as being one entitled share ahead."""

DECAY_STEP_S = 5.0
"""Period in which averages of usage are brought forward."""

CURRENT_USAGE_WEIGHT = 0.5
"""Weight of what a team holds now against its decayed average."""


def dominant_share(used: Resources, total: Resources) -> float:
    """Returns the largest fraction of any resource."""
    share = used.cpu_milli / total.cpu_milli if total.cpu_milli else 0.0
    if total.memory_mb:
        share = max(share, used.memory_mb / total.memory_mb)
    if total.accelerators:
        share = max(share, used.accelerators / total.accelerators)
    return share


def decayed_average(average: float, current: float, elapsed_s: float, half_life_s: float) -> float:
    """Brings an exponentially weighted average forward by ``elapsed_s``."""
    keep = 0.5 ** (elapsed_s / half_life_s)
    return average * keep + current * (1.0 - keep)


def fair_rank(current: float, average: float, entitled: float) -> float:
    """Returns usage over entitlement: 1 means exactly at the entitled share."""
    usage = CURRENT_USAGE_WEIGHT * current + (1.0 - CURRENT_USAGE_WEIGHT) * average
    return usage / entitled


def score(rank: float, submitted_at: float, waiting_weight: float) -> float:
    """Returns the order of a waiting job: lower goes first.

    All jobs age at the same rate, so the age can be left out and only the time of submission
    kept; the score then changes only when the team's usage does.
    """
    return (1.0 - waiting_weight) * rank + waiting_weight * submitted_at / WAIT_SCALE_S
