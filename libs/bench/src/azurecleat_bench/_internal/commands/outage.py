"""Share of work still served in each cut."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from azurecleat_fakes import Faults

from azurecleat_bench._internal.base import Bench
from azurecleat_bench._internal.faults.callers import OPEN_TEAM, Key
from azurecleat_bench._internal.faults.connections import LOG
from azurecleat_bench._internal.faults.world import World

TRIES = 40
SETTLE_S = 8.0


class OutageCommand(Bench):
    """Cuts in-process instances on a manual clock and counts what is still served."""

    name = "outage"
    description = "Share of work still served, by kind, in each cut."

    def measure(self) -> dict[str, Any]:
        """Measures each row of the table in docs/design/outages.md."""
        return {name: measure_row(cut, self.seed, TRIES) for name, cut in CUTS.items()}


def measure_row(cut: Callable[[World], None], seed: int, tries: int) -> dict[str, float]:
    """Returns the share of tries served in the zone ``hobart`` under a cut, by kind of work."""
    world = World(seed)
    world.start()
    world.stalls_on = False
    cut(world)
    world.run_for(SETTLE_S)
    counts = {"open": 0, "repeatable": 0, "once": 0, "job": 0}
    nodes = [node for node in world.nodes.values() if node.zone == "hobart"]
    for number in range(tries):
        node, key = nodes[number % len(nodes)], world.keys[0]
        body = b"row-%d" % number
        anyone = world.callers.request(node, Key(OPEN_TEAM, "", ""), b"open-" + body)
        counts["open"] += anyone.outcome == "done"
        counts["repeatable"] += world.callers.request(node, key, body).outcome == "done"
        once = world.callers.request(node, key, b"once-" + body, key_name=f"once-{number}")
        counts["once"] += once.outcome == "done"
        before = len(world.history.jobs)
        world.callers.submit(node, key, tasks=1, run_s=0.1, repeatable=True)
        counts["job"] += len(world.history.jobs) > before
        world.run_for(0.3)
    return {kind: round(count / tries, 3) for kind, count in counts.items()}


def _nothing(world: World) -> None:
    """Cuts nothing."""


def _log_down(world: World) -> None:
    world.log.faults = Faults(down=True)


def _zone_from_platform(world: World) -> None:
    _cut(world, (LOG,))


def _zone_from_zones(world: World) -> None:
    _cut(world, tuple(node.name for node in world.nodes.values() if node.zone != "hobart"))


def _zone_from_both(world: World) -> None:
    _zone_from_platform(world)
    _zone_from_zones(world)


def _cut(world: World, others: tuple[str, ...]) -> None:
    for node in world.nodes.values():
        if node.zone == "hobart":
            for other in others:
                world.cuts.cut(node.name, other)
                world.cuts.cut(other, node.name)


CUTS = {
    "none": _nothing,
    "log down for all": _log_down,
    "zone cut from platform": _zone_from_platform,
    "zone cut from other zones": _zone_from_zones,
    "zone cut from both": _zone_from_both,
}
