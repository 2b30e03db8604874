"""Scripted fault scenarios that random faults rarely produce."""

from __future__ import annotations

from azurecleat_bench._internal.faults.checker import Violation, check
from azurecleat_bench._internal.faults.connections import LOG
from azurecleat_bench._internal.faults.history import WithdrawnKey
from azurecleat_bench._internal.faults.node import Node
from azurecleat_bench._internal.faults.simulation import BOUNDS, TIMING, Simulation

LONG_PAUSE_S = 4 * TIMING.lease_s


def isolated_instance(seed: int) -> tuple[Simulation, list[Violation]]:
    """Withdraws a key while one instance is isolated, then uses the key at that instance."""
    simulation = _start_simulation(seed)
    isolated, other = simulation.nodes["hobart-0"], simulation.nodes["burnie-0"]
    isolate(simulation, isolated)
    key = simulation.keys[0]
    assert other.components is not None
    result = other.components.membership.withdraw(key.key_id)
    at = simulation.clock.monotonic()
    known_by = (other.name, *result.confirmed)
    simulation.history.withdrawn.append(WithdrawnKey(at, key.key_id, result.recorded, known_by))
    simulation.run_for(TIMING.key_bound_s + 1.0)
    for number in range(5):
        simulation.callers.request(isolated, key, b"late-%d" % number)
        simulation.run_for(0.5)
    return simulation, check(simulation.history, BOUNDS)


def owner_with_expired_lease(seed: int) -> tuple[Simulation, list[Violation]]:
    """Pauses an isolated owner for longer than its lease.

    More tasks are queued than can run at a time: if the previous owner continued after the pause,
    it would start tasks that the new owner starts as well.
    """
    simulation = _start_simulation(seed)
    owner = owner_of(simulation, "hobart")
    for node in simulation.nodes.values():
        if node.zone == "hobart":
            simulation.callers.submit(
                node, simulation.keys[1], tasks=30, run_s=4.0, repeatable=True
            )
            simulation.callers.submit(
                node, simulation.keys[0], tasks=12, run_s=4.0, repeatable=False
            )
    simulation.run_for(1.0)
    isolate(simulation, owner)
    owner.paused_until = simulation.clock.monotonic() + LONG_PAUSE_S
    simulation.run_for(LONG_PAUSE_S + 10.0)
    simulation.settle()
    return simulation, check(simulation.history, BOUNDS)


def all_instances_replaced(seed: int) -> tuple[Simulation, list[Violation]]:
    """Replaces all instances at once after the entries covered by snapshots were dropped."""
    simulation = _start_simulation(seed)
    for node in simulation.nodes.values():
        simulation.callers.submit(node, simulation.keys[0], tasks=20, run_s=5.0, repeatable=True)
    for number in range(80):
        for node in simulation.nodes.values():
            name = f"filler-{node.name}-{number}"
            simulation.callers.request(
                node, simulation.keys[1], name.encode(), idempotency_key=name
            )
        simulation.run_for(0.5)
    simulation.injector.truncate_log()
    for node in simulation.nodes.values():
        node.components = None
    for node in simulation.nodes.values():
        simulation.restart(node)
    simulation.settle()
    return simulation, check(simulation.history, BOUNDS)


def isolate(simulation: Simulation, node: Node) -> None:
    """Cuts an instance off from the log and its peers, but not from its targets."""
    for other in (LOG, *simulation.nodes):
        if other != node.name:
            simulation.cuts.cut(node.name, other)
            simulation.cuts.cut(other, node.name)


def owner_of(simulation: Simulation, zone: str) -> Node:
    """Returns the instance that owns a zone's partition.

    :raises AssertionError: No instance owns it.
    """
    for node in simulation.nodes.values():
        if node.components is not None and node.components.partitions.local_owner(zone) is not None:
            return node
    raise AssertionError(f"no instance owns partition {zone}")


def _start_simulation(seed: int) -> Simulation:
    simulation = Simulation(seed)
    simulation.start()
    simulation.stalls_enabled = False
    return simulation
