"""Order of waiting work: teams by dominant share, jobs of near-equal teams by virtual time.

A team's dominant share is the largest fraction that it holds of any resource. Its rank is the
dominant share divided by the share it is entitled to; the lowest rank goes first (A. Ghodsi et
al., "Dominant Resource Fairness", 2011). Past usage counts with exponential decay, so a team that
exceeded its share ranks behind the others for a while.
"""

from __future__ import annotations

import math

from azurecleat_model import Resources

WORK_PENALTY_S = 3000.0
"""Delay of a job that needs the whole fleet for a minute, at a waiting weight of 1."""

RANK_QUANTUM = 1.25
"""Size of the rank intervals at a waiting weight of 1, in multiples of the entitled share."""

MAX_PENALIZED_RUN_S = 600.0
"""Longer run times, such as those of services, do not add to the delay."""

DECAY_INTERVAL_S = 5.0
"""Interval between updates of the usage averages."""

CURRENT_USAGE_WEIGHT = 0.9
"""Weight of a team's current usage; the decayed average has the rest."""


def dominant_share(used: Resources, total: Resources) -> float:
    """Returns the largest fraction that ``used`` is of ``total`` in any resource."""
    share = used.cpu_milli / total.cpu_milli if total.cpu_milli else 0.0
    if total.memory_mb:
        share = max(share, used.memory_mb / total.memory_mb)
    if total.accelerators:
        share = max(share, used.accelerators / total.accelerators)
    return share


def decayed_average(average: float, current: float, elapsed_s: float, half_life_s: float) -> float:
    """Returns an exponentially decayed average after ``elapsed_s`` of ``current`` usage."""
    keep = 0.5 ** (elapsed_s / half_life_s)
    return average * keep + current * (1.0 - keep)


def fair_rank(current: float, average: float, entitled: float) -> float:
    """Returns usage divided by entitlement; 1 is exactly the entitled share."""
    usage = CURRENT_USAGE_WEIGHT * current + (1.0 - CURRENT_USAGE_WEIGHT) * average
    return usage / entitled


def quantized_rank(rank: float, waiting_weight: float) -> float:
    """Returns a rank rounded down to an interval, so that teams of similar rank compare equal.

    Jobs of teams in the same interval are ordered by virtual time alone. The larger the waiting
    weight, the larger the intervals; a weight of 0 leaves the rank as it is.
    """
    step = RANK_QUANTUM * waiting_weight
    return math.floor(rank / step) * step if step else rank


def virtual_time(
    submitted_at: float, fleet_fraction: float, run_s: float, waiting_weight: float
) -> float:
    """Returns the time by which jobs of equally ranked teams are ordered.

    A job is delayed in proportion to the fleet time it needs, so that small jobs do not wait
    behind large ones. Only jobs submitted within the delay overtake it, so large jobs do not
    starve. This shortens waiting times without changing what each team gets.
    """
    penalty_s = WORK_PENALTY_S * fleet_fraction * min(run_s, MAX_PENALIZED_RUN_S) / 60.0
    return submitted_at + waiting_weight * penalty_s
