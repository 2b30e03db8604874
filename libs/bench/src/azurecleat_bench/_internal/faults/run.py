"""Runs a simulation with random faults and checks the guarantees."""

from __future__ import annotations

from collections import Counter
from typing import Any

from azurecleat_bench._internal.faults.checker import CHECKS, Violation, check
from azurecleat_bench._internal.faults.simulation import BOUNDS, Simulation


def run_faults(seed: int, steps: int) -> tuple[Simulation, list[Violation]]:
    """Runs ``steps`` random events, ends all faults, and returns the simulation and violations."""
    simulation = Simulation(seed)
    simulation.start()
    for _ in range(steps):
        simulation.step()
    simulation.settle()
    return simulation, check(simulation.history, BOUNDS)


def summarize(simulation: Simulation, steps: int, violations: list[Violation]) -> dict[str, Any]:
    """Returns the counts that the benchmark prints."""
    outcomes = Counter(result.outcome for result in simulation.history.callers)
    return {
        "steps": steps,
        "faults": simulation.fault_count,
        "violations": len(violations),
        "promises_checked": len(CHECKS),
        "unknown": outcomes["unknown"],
        "not_run": outcomes["not-run"],
        "done": outcomes["done"],
        "jobs": len(simulation.history.jobs),
        "virtual_s": round(simulation.clock.monotonic() - 1000.0, 1),
    }
