"""Compares waiting time, share error and packing with two baseline policies."""

from __future__ import annotations

from typing import Any

from azurecleat_policy import Scheduler
from cleo.helpers import option

from azurecleat_bench._internal.base import COMMON_OPTIONS, Bench, quantile
from azurecleat_bench._internal.baseline_policies import BaselineFairShare, FirstComeFirstServed
from azurecleat_bench._internal.replay import (
    FAULTS,
    PROFILES,
    Replay,
    ReplayMeasures,
    make_arrivals,
)

POLICIES = {
    "azurecleat": Scheduler,
    "fcfs": FirstComeFirstServed,
    "fair_share": BaselineFairShare,
}


class PolicyCommand(Bench):
    """Replays the same arrivals through all policies."""

    name = "policy"
    description = "Waiting time, share error and packing compared with baseline policies."
    options = [
        *COMMON_OPTIONS,
        option("profile", "p", "ductline or klubnet.", flag=False, default="ductline"),
        option("fault", "f", f"One of {', '.join(FAULTS)}, all, none.", flag=False, default="none"),
    ]

    def measure(self) -> dict[str, Any]:
        """Measures each policy."""
        profile = PROFILES[self.option("profile")]
        fault = self.option("fault")
        faults = frozenset(FAULTS if fault == "all" else () if fault == "none" else (fault,))
        arrivals = make_arrivals(profile, faults, self.seed)
        result: dict[str, Any] = {"profile": profile.name, "fault": fault, "jobs": len(arrivals)}
        for name, make_scheduler in POLICIES.items():
            result[name] = summarize(Replay(profile, faults, arrivals, make_scheduler).run())
        return result


def summarize(measures: ReplayMeasures) -> dict[str, Any]:
    """Returns the measures of a replay as they are printed."""
    waits = [wait for values in measures.waits.values() for wait in values]
    kinds = sorted({kind for _, kind in measures.waits})
    teams = sorted({team for team, _ in measures.waits})
    return {
        "wait_mean_s": round(sum(waits) / len(waits), 1),
        "wait_p50_s": round(quantile(waits, 0.5), 1),
        "wait_p95_s": round(quantile(waits, 0.95), 1),
        "wait_p99_s": round(quantile(waits, 0.99), 1),
        "share_error_mean": (
            round(sum(measures.share_errors) / len(measures.share_errors), 4)
            if measures.share_errors
            else 0.0
        ),
        "share_error_max": round(max(measures.share_errors, default=0.0), 4),
        "packing": (
            round(sum(measures.packing) / len(measures.packing), 4) if measures.packing else 1
        ),
        "decision_ms_p99": round(quantile(measures.decisions_s, 0.99) * 1000, 2),
        "given_up": measures.given_up,
        "wait_p95_by_kind_s": {kind: _p95(measures, 1, kind) for kind in kinds},
        "wait_p95_by_team_s": {team: _p95(measures, 0, team) for team in teams},
    }


def _p95(measures: ReplayMeasures, position: int, wanted: str) -> float:
    values = [w for key, waits in measures.waits.items() if key[position] == wanted for w in waits]
    return round(quantile(values, 0.95), 1)
