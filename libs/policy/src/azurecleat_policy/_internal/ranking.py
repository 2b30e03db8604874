"""Order in which waiting work is considered.

Teams are compared by their weighted dominant share: the largest fraction of any resource that
a team holds, over its entitled fraction (A. Ghodsi et al., "Dominant Resource Fairness", 2011).
Past usage counts with exponential decay, so that a burst is paid back afterwards.
"""

from __future__ import annotations

import math

from azurecleat_model import Resources

WORK_PENALTY_S = 3000.0
"""Seconds by which a job that needs the whole fleet for a minute is put back, at full weight."""

RANK_QUANTUM = 1.25
"""Width of a step of ranks at full weight of waiting time, in entitled shares."""

MAX_PENALIZED_RUN_S = 600.0
"""Longer runs, services among them, are put back no further than this one."""

DECAY_INTERVAL_S = 5.0
"""Period in which averages of usage are brought forward."""

CURRENT_USAGE_WEIGHT = 0.9
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


def quantized_rank(rank: float, waiting_weight: float) -> float:
    """Returns a rank that treats teams as equal which are nearly equally far from their shares.

    The larger the weight of waiting time, the wider the steps: teams within one step are ordered
    by their jobs' virtual times alone.
    """
    step = RANK_QUANTUM * waiting_weight
    return math.floor(rank / step) * step if step else rank


def virtual_time(
    submitted_at: float, fleet_fraction: float, run_s: float, waiting_weight: float
) -> float:
    """Returns the time by which jobs of one team are ordered.

    Heavy work is put back in proportion to the fleet time it takes, so that light work does not
    wait behind it; since all jobs age alike, heavy work is overtaken only for that long. This is
    where waiting time is won without touching what teams get.
    """
    penalty_s = WORK_PENALTY_S * fleet_fraction * min(run_s, MAX_PENALIZED_RUN_S) / 60.0
    return submitted_at + waiting_weight * penalty_s
