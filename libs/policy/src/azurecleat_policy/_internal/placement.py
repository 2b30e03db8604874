"""Placement policies per kind of work."""

from __future__ import annotations

from dataclasses import dataclass

from azurecleat_model import JobKind


@dataclass(frozen=True, slots=True)
class Spread:
    """Services: fewest tasks of the job per rack, then per worker, then tight packing."""


@dataclass(frozen=True, slots=True)
class Pack:
    """Batch: the worker that is fullest after placement."""


@dataclass(frozen=True, slots=True)
class AllOrNone:
    """All-at-once: places for all waiting tasks in one decision, or none."""


Placement = Spread | Pack | AllOrNone

SERVICE_LOSS_FACTOR = 10.0
"""A running second of a service counts this much more than one of batch when preempting."""


def placement_for(kind: JobKind) -> Placement:
    """Returns the policy of a job."""
    match kind:
        case JobKind.SERVICE:
            return Spread()
        case JobKind.BATCH:
            return Pack()
        case JobKind.ALL_AT_ONCE:
            return AllOrNone()


def loss_factor(kind: JobKind) -> float:
    """Returns the weight of lost running time of a kind."""
    match kind:
        case JobKind.SERVICE | JobKind.ALL_AT_ONCE:
            return SERVICE_LOSS_FACTOR
        case JobKind.BATCH:
            return 1.0
