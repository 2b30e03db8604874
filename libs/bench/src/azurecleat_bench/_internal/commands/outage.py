"""Measures the share of work that is still served in each kind of outage."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from azurecleat_fakes import Faults

from azurecleat_bench._internal.base import Bench
from azurecleat_bench._internal.faults.callers import OPEN_TEAM, CallerKey
from azurecleat_bench._internal.faults.connections import LOG
from azurecleat_bench._internal.faults.simulation import Simulation

TRIES = 40
SETTLE_S = 8.0


class OutageCommand(Bench):
    """Simulates outages of in-process instances and counts what they still serve."""

    name = "outage"
    description = "Share of work still served, by kind of work and outage."

    def measure(self) -> dict[str, Any]:
        """Measures each row of the table in docs/design/outages.md."""
        return {
            name: measure_outage(apply_outage, self.seed, TRIES)
            for name, apply_outage in OUTAGES.items()
        }


def measure_outage(
    apply_outage: Callable[[Simulation], None], seed: int, tries: int
) -> dict[str, float]:
    """Returns the share of tries that the zone ``hobart`` serves in an outage, by kind of work."""
    simulation = Simulation(seed)
    simulation.start()
    simulation.stalls_enabled = False
    apply_outage(simulation)
    simulation.run_for(SETTLE_S)
    counts = {"open": 0, "repeatable": 0, "once": 0, "job": 0}
    nodes = [node for node in simulation.nodes.values() if node.zone == "hobart"]
    for number in range(tries):
        node, key = nodes[number % len(nodes)], simulation.keys[0]
        body = b"row-%d" % number
        open_result = simulation.callers.request(
            node, CallerKey(OPEN_TEAM, "", ""), b"open-" + body
        )
        counts["open"] += open_result.outcome == "done"
        counts["repeatable"] += simulation.callers.request(node, key, body).outcome == "done"
        once = simulation.callers.request(
            node, key, b"once-" + body, idempotency_key=f"once-{number}"
        )
        counts["once"] += once.outcome == "done"
        before = len(simulation.history.jobs)
        simulation.callers.submit(node, key, tasks=1, run_s=0.1, repeatable=True)
        counts["job"] += len(simulation.history.jobs) > before
        simulation.run_for(0.3)
    return {kind: round(count / tries, 3) for kind, count in counts.items()}


def _no_outage(simulation: Simulation) -> None:
    """Does nothing; the row for comparison."""


def _log_down(simulation: Simulation) -> None:
    simulation.log.faults = Faults(down=True)


def _cut_zone_from_platform(simulation: Simulation) -> None:
    _cut_zone(simulation, (LOG,))


def _cut_zone_from_zones(simulation: Simulation) -> None:
    _cut_zone(
        simulation, tuple(node.name for node in simulation.nodes.values() if node.zone != "hobart")
    )


def _cut_zone_from_both(simulation: Simulation) -> None:
    _cut_zone_from_platform(simulation)
    _cut_zone_from_zones(simulation)


def _cut_zone(simulation: Simulation, others: tuple[str, ...]) -> None:
    for node in simulation.nodes.values():
        if node.zone == "hobart":
            for other in others:
                simulation.cuts.cut(node.name, other)
                simulation.cuts.cut(other, node.name)


OUTAGES = {
    "none": _no_outage,
    "log down for all": _log_down,
    "zone cut from platform": _cut_zone_from_platform,
    "zone cut from other zones": _cut_zone_from_zones,
    "zone cut from both": _cut_zone_from_both,
}
