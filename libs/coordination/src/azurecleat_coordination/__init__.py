"""Coordination of equal instances without local storage through an append-only log.

The library's README lists the guarantees of each part and has a runnable example.
"""

from azurecleat_coordination._internal.appender import AppendCounts, Appender, AppendOutcome
from azurecleat_coordination._internal.fleet import FleetSection
from azurecleat_coordination._internal.freshness import Freshness, LocalState, PeerStatus, Proof
from azurecleat_coordination._internal.jobs import JobState, to_ranges
from azurecleat_coordination._internal.lease import CLOCK_RATE_SKEW, ControlLease, has_majority
from azurecleat_coordination._internal.log import Log, ReadResult
from azurecleat_coordination._internal.ownership import Owner
from azurecleat_coordination._internal.rendezvous import rank_candidates
from azurecleat_coordination._internal.replica import Replica
from azurecleat_coordination._internal.result import ApplyResult
from azurecleat_coordination._internal.retry import (
    Backoff,
    BreakerState,
    CircuitBreaker,
    RetryBudget,
)
from azurecleat_coordination._internal.roster import Member
from azurecleat_coordination._internal.snapshots import to_chunks

__all__ = [
    "CLOCK_RATE_SKEW",
    "AppendCounts",
    "Appender",
    "ApplyResult",
    "Backoff",
    "BreakerState",
    "CircuitBreaker",
    "ControlLease",
    "FleetSection",
    "Freshness",
    "JobState",
    "LocalState",
    "Log",
    "Member",
    "AppendOutcome",
    "Owner",
    "PeerStatus",
    "Proof",
    "ReadResult",
    "Replica",
    "RetryBudget",
    "has_majority",
    "rank_candidates",
    "to_chunks",
    "to_ranges",
]
