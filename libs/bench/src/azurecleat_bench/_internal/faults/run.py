"""One run of random faults, checked."""

from __future__ import annotations

from collections import Counter
from typing import Any

from azurecleat_bench._internal.faults.checker import RULES, Violation, check
from azurecleat_bench._internal.faults.world import BOUNDS, World


def run_faults(seed: int, steps: int) -> tuple[World, list[Violation]]:
    """Runs a world for so many steps, lets it settle and checks it."""
    world = World(seed)
    world.start()
    for _ in range(steps):
        world.step()
    world.settle()
    return world, check(world.history, BOUNDS)


def summarize(world: World, steps: int, violations: list[Violation]) -> dict[str, Any]:
    """Returns the counts of a run."""
    outcomes = Counter(result.outcome for result in world.history.callers)
    return {
        "steps": steps,
        "faults": world.faults,
        "violations": len(violations),
        "promises_checked": len(RULES),
        "unknown": outcomes["unknown"],
        "not_run": outcomes["not-run"],
        "done": outcomes["done"],
        "jobs": len(world.history.jobs),
        "virtual_s": round(world.clock.monotonic() - 1000.0, 1),
    }
