"""Directed faults: situations that random ones reach too seldom."""

from __future__ import annotations

from azurecleat_bench._internal.faults.checker import Violation, check
from azurecleat_bench._internal.faults.connections import LOG
from azurecleat_bench._internal.faults.history import Withdrawn
from azurecleat_bench._internal.faults.node import Node
from azurecleat_bench._internal.faults.world import BOUNDS, TIMING, World

LONG_PAUSE_S = 4 * TIMING.lease_s


def cut_off_instance(seed: int) -> tuple[World, list[Violation]]:
    """Withdraws a key while one instance is cut off from the log and all peers."""
    world = _started(seed)
    lonely, other = world.nodes["hobart-0"], world.nodes["burnie-0"]
    isolate(world, lonely)
    key = world.keys[0]
    assert other.core is not None
    result = other.core.membership.withdraw(key.key_id)
    at = world.clock.monotonic()
    holders = (other.name, *result.confirmed)
    world.history.withdrawn.append(Withdrawn(at, key.key_id, result.recorded, holders))
    world.run_for(TIMING.key_bound_s + 1.0)
    for number in range(5):
        world.callers.request(lonely, key, b"late-%d" % number)
        world.run_for(0.5)
    return world, check(world.history, BOUNDS)


def deposed_owner(seed: int) -> tuple[World, list[Violation]]:
    """Pauses an owner beyond its lease while it is cut off from the log and its peers.

    More tasks wait than may run, so that a former owner that went on would start some that the
    new owner starts too.
    """
    world = _started(seed)
    owner = owner_of(world, "hobart")
    for node in world.nodes.values():
        if node.zone == "hobart":
            world.callers.submit(node, world.keys[1], tasks=30, run_s=4.0, repeatable=True)
            world.callers.submit(node, world.keys[0], tasks=12, run_s=4.0, repeatable=False)
    world.run_for(1.0)
    isolate(world, owner)
    owner.paused_until = world.clock.monotonic() + LONG_PAUSE_S
    world.run_for(LONG_PAUSE_S + 10.0)
    world.settle()
    return world, check(world.history, BOUNDS)


def every_instance_replaced(seed: int) -> tuple[World, list[Violation]]:
    """Kills all instances at once after the log forgot what snapshots cover."""
    world = _started(seed)
    for node in world.nodes.values():
        world.callers.submit(node, world.keys[0], tasks=20, run_s=5.0, repeatable=True)
    for number in range(80):
        for node in world.nodes.values():
            name = f"filler-{node.name}-{number}"
            world.callers.request(node, world.keys[1], name.encode(), key_name=name)
        world.run_for(0.5)
    world.injector.forget_covered()
    for node in world.nodes.values():
        node.core = None
    for node in world.nodes.values():
        world.restart(node)
    world.settle()
    return world, check(world.history, BOUNDS)


def isolate(world: World, node: Node) -> None:
    """Cuts an instance off from the log and all peers, but not from its targets."""
    for other in (LOG, *world.nodes):
        if other != node.name:
            world.cuts.cut(node.name, other)
            world.cuts.cut(other, node.name)


def owner_of(world: World, zone: str) -> Node:
    """Returns the instance that serves a zone's partition."""
    for node in world.nodes.values():
        if node.core is not None and node.core.partitions.engine(zone) is not None:
            return node
    raise AssertionError(f"nobody serves {zone}")


def _started(seed: int) -> World:
    world = World(seed)
    world.start()
    world.stalls_on = False
    return world
