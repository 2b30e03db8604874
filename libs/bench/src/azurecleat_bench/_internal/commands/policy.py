"""Waiting time, nearness to share and packing against two plain policies."""

from __future__ import annotations

from typing import Any

from azurecleat_policy import Scheduler
from cleo.helpers import option

from azurecleat_bench._internal.base import COMMON_OPTIONS, Bench, quantile
from azurecleat_bench._internal.plain_policies import FirstComeFirstServed, PlainFairShare
from azurecleat_bench._internal.replay import FAULTS, PROFILES, Outcome, Replay, arrivals

POLICIES = {
    "azurecleat": Scheduler,
    "fcfs": FirstComeFirstServed,
    "fair_share": PlainFairShare,
}


class PolicyCommand(Bench):
    """Replays the same arrivals through three policies."""

    name = "policy"
    description = "Waiting, share error and packing against plain policies."
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
        work = arrivals(profile, faults, self.seed)
        result: dict[str, Any] = {"profile": profile.name, "fault": fault, "jobs": len(work)}
        for name, make in POLICIES.items():
            result[name] = summarize(Replay(profile, faults, work, make).run())
        return result


def summarize(outcome: Outcome) -> dict[str, Any]:
    """Returns the measures of a replay."""
    waits = [wait for values in outcome.waits.values() for wait in values]
    kinds = sorted({kind for _, kind in outcome.waits})
    teams = sorted({team for team, _ in outcome.waits})
    return {
        "wait_mean_s": round(sum(waits) / len(waits), 1),
        "wait_p50_s": round(quantile(waits, 0.5), 1),
        "wait_p95_s": round(quantile(waits, 0.95), 1),
        "wait_p99_s": round(quantile(waits, 0.99), 1),
        "share_error_mean": (
            round(sum(outcome.share_errors) / len(outcome.share_errors), 4)
            if outcome.share_errors
            else 0.0
        ),
        "share_error_max": round(max(outcome.share_errors, default=0.0), 4),
        "packing": round(sum(outcome.packing) / len(outcome.packing), 4) if outcome.packing else 1,
        "decision_ms_p99": round(quantile(outcome.decisions_s, 0.99) * 1000, 2),
        "given_up": outcome.given_up,
        "wait_p95_by_kind_s": {kind: _p95(outcome, 1, kind) for kind in kinds},
        "wait_p95_by_team_s": {team: _p95(outcome, 0, team) for team in teams},
    }


def _p95(outcome: Outcome, position: int, wanted: str) -> float:
    values = [w for key, waits in outcome.waits.items() if key[position] == wanted for w in waits]
    return round(quantile(values, 0.95), 1)
