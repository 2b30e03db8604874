"""Faults of a world."""

from __future__ import annotations

from typing import TYPE_CHECKING

from azurecleat_fakes import StandInWorker

from azurecleat_bench._internal.faults.connections import LOG
from azurecleat_bench._internal.faults.history import Death, LeavingSpell
from azurecleat_bench._internal.faults.node import ZONES

if TYPE_CHECKING:
    from azurecleat_bench._internal.faults.world import World


class Injector:
    """Brings random faults about."""

    def __init__(self, world: World) -> None:
        self._world = world

    def cut(self) -> None:
        """Cuts an instance from another part, in one direction or both."""
        self._world.faults += 1
        node = self._world.rng.choice(list(self._world.nodes.values()))
        others = [LOG, *self._world.targets, *(n for n in self._world.nodes if n != node.name)]
        other = self._world.rng.choice(others)
        both = self._world.rng.random() < 0.6
        if both or self._world.rng.random() < 0.5:
            self._world.cuts.cut(node.name, other)
        if both or self._world.cuts.passes(node.name, other):
            self._world.cuts.cut(other, node.name)

    def heal(self) -> None:
        """Ends all cuts."""
        self._world.cuts.heal()

    def kill(self) -> None:
        """Ends an instance's process."""
        node = self._world.live_node()
        if node is not None and self._world.depth == 0:
            self._world.faults += 1
            node.core = None
            self._world.history.deaths.append(Death(self._world.clock.monotonic(), node.name))

    def revive(self) -> None:
        """Starts a dead instance again."""
        dead = [node for node in self._world.nodes.values() if node.core is None]
        if dead:
            self._world.restart(self._world.rng.choice(dead))

    def pause(self) -> None:
        """Pauses an instance."""
        node = self._world.live_node()
        if node is not None and self._world.depth == 0:
            self._world.faults += 1
            node.paused_until = self._world.clock.monotonic() + self._world.rng.choice(
                (1.0, 4.0, 10.0)
            )

    def log_outage(self) -> None:
        """Begins or ends an outage of the log."""
        self._world.faults += 1
        self._world.log.faults = self._world.log.faults._replace(
            down=not self._world.log.faults.down
        )

    def slow_log(self) -> None:
        """Begins or ends a time in which appends take effect long after their writers gave up."""
        self._world.faults += 1
        path = self._world.slow_path
        path.delay_s = 0.0 if path.delay_s else self._world.rng.choice((1.0, 4.0, 15.0))

    def lose_answers(self) -> None:
        """Drops the next answers of the log or of a target."""
        self._world.faults += 1
        if self._world.rng.random() < 0.5:
            self._world.log.faults = self._world.log.faults._replace(lose_answers=2)
        else:
            target = self._world.rng.choice(list(self._world.targets.values()))
            target.faults = target.faults._replace(lose_answers=2)

    def fail_worker(self) -> None:
        """Makes a worker fail all it runs, or ends that."""
        workers = [t for t in self._world.targets.values() if isinstance(t, StandInWorker)]
        worker = self._world.rng.choice(workers)
        self._world.faults += 1
        failing = not worker.faults.fail_tasks
        worker.faults = worker.faults._replace(fail_tasks=failing)

    def leave(self) -> None:
        """Shows a target as leaving."""
        staying = [name for name in self._world.targets if name not in self._world.leaving]
        if len(staying) > len(self._world.targets) - 2:
            self._world.faults += 1
            name = self._world.rng.choice(staying)
            self._world.leaving[name] = self._world.clock.monotonic()
            self._list()

    def come_back(self) -> None:
        """Shows a leaving target as staying again."""
        if self._world.leaving:
            self.stay(self._world.rng.choice(sorted(self._world.leaving)))

    def stay(self, name: str) -> None:
        """Ends the leaving of a target."""
        since = self._world.leaving.pop(name)
        self._world.history.leaving.append(LeavingSpell(name, since, self._world.clock.monotonic()))
        self._list()

    def _list(self) -> None:
        self._world.list.set_targets(
            [
                target.target._replace(leaving=name in self._world.leaving)
                for name, target in self._world.targets.items()
            ]
        )

    def forget_covered(self) -> None:
        """Forgets what snapshots cover, as retention does."""
        covered = [
            node.core.replica.snapshot_covers
            for node in self._world.nodes.values()
            if node.core is not None and node.core.replica.is_ready
        ]
        wanted = {"fleet", *(f"jobs/{zone}" for zone in ZONES)}
        offsets = {
            section: max((c.get(section, 0) for c in covered), default=0) for section in wanted
        }
        self._world.log.forget_before(min(offsets.values()))
