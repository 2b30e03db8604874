"""Placement strategies and preemption costs by kind of job."""

from __future__ import annotations

from dataclasses import dataclass

from azurecleat_model import JobKind


@dataclass(frozen=True, slots=True)
class Spread:
    """Service: fewest tasks of the job per rack, then per worker, then the fullest worker."""


@dataclass(frozen=True, slots=True)
class Pack:
    """Batch: the fullest worker with enough free capacity."""


@dataclass(frozen=True, slots=True)
class AllOrNone:
    """All-at-once: all waiting tasks are placed in one decision, or none is."""


Placement = Spread | Pack | AllOrNone

SERVICE_LOSS_FACTOR = 10.0
"""Cost of losing a second of running time of a service or all-at-once job, relative to batch."""


def placement_for(kind: JobKind) -> Placement:
    """Returns the placement strategy for a kind of job."""
    match kind:
        case JobKind.SERVICE:
            return Spread()
        case JobKind.BATCH:
            return Pack()
        case JobKind.ALL_AT_ONCE:
            return AllOrNone()


def loss_factor(kind: JobKind) -> float:
    """Returns the weight of running time that preemption loses."""
    match kind:
        case JobKind.SERVICE | JobKind.ALL_AT_ONCE:
            return SERVICE_LOSS_FACTOR
        case JobKind.BATCH:
            return 1.0
