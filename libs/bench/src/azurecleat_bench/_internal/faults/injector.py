"""Random faults for a simulation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from azurecleat_fakes import FakeWorker

from azurecleat_bench._internal.faults.connections import LOG
from azurecleat_bench._internal.faults.history import Death, LeavingPeriod
from azurecleat_bench._internal.faults.node import ZONES

if TYPE_CHECKING:
    from azurecleat_bench._internal.faults.simulation import Simulation


class FaultInjector:
    """Injects random faults; each method injects or ends one kind of fault."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation

    def cut(self) -> None:
        """Cuts an instance off from another instance, a target or the log, one-way or both ways."""
        self._simulation.fault_count += 1
        node = self._simulation.rng.choice(list(self._simulation.nodes.values()))
        others = [
            LOG,
            *self._simulation.targets,
            *(n for n in self._simulation.nodes if n != node.name),
        ]
        other = self._simulation.rng.choice(others)
        both = self._simulation.rng.random() < 0.6
        if both or self._simulation.rng.random() < 0.5:
            self._simulation.cuts.cut(node.name, other)
        if both or self._simulation.cuts.passes(node.name, other):
            self._simulation.cuts.cut(other, node.name)

    def heal(self) -> None:
        """Removes all network cuts."""
        self._simulation.cuts.heal()

    def kill(self) -> None:
        """Ends the process of a random instance."""
        node = self._simulation.random_live_node()
        if node is not None and self._simulation.nesting_depth == 0:
            self._simulation.fault_count += 1
            node.components = None
            self._simulation.history.deaths.append(
                Death(self._simulation.clock.monotonic(), node.name)
            )

    def restart_dead(self) -> None:
        """Restarts a random dead instance."""
        dead = [node for node in self._simulation.nodes.values() if node.components is None]
        if dead:
            self._simulation.restart(self._simulation.rng.choice(dead))

    def pause(self) -> None:
        """Pauses a random instance."""
        node = self._simulation.random_live_node()
        if node is not None and self._simulation.nesting_depth == 0:
            self._simulation.fault_count += 1
            node.paused_until = self._simulation.clock.monotonic() + self._simulation.rng.choice(
                (1.0, 4.0, 10.0)
            )

    def toggle_log_outage(self) -> None:
        """Starts or ends an outage of the log."""
        self._simulation.fault_count += 1
        self._simulation.log.faults = self._simulation.log.faults._replace(
            down=not self._simulation.log.faults.down
        )

    def toggle_slow_log(self) -> None:
        """Starts or ends a period in which appends take effect after their writers timed out."""
        self._simulation.fault_count += 1
        appends = self._simulation.delayed_appends
        appends.delay_s = 0.0 if appends.delay_s else self._simulation.rng.choice((1.0, 4.0, 15.0))

    def lose_answers(self) -> None:
        """Drops the next two responses of the log or of a random target."""
        self._simulation.fault_count += 1
        if self._simulation.rng.random() < 0.5:
            self._simulation.log.faults = self._simulation.log.faults._replace(lose_answers=2)
        else:
            target = self._simulation.rng.choice(list(self._simulation.targets.values()))
            target.faults = target.faults._replace(lose_answers=2)

    def toggle_failing_worker(self) -> None:
        """Makes a random worker fail all its tasks, or run them normally again."""
        workers = [t for t in self._simulation.targets.values() if isinstance(t, FakeWorker)]
        worker = self._simulation.rng.choice(workers)
        self._simulation.fault_count += 1
        failing = not worker.faults.fail_tasks
        worker.faults = worker.faults._replace(fail_tasks=failing)

    def start_leaving(self) -> None:
        """Lists a random target as leaving, unless two are leaving already."""
        staying = [
            name for name in self._simulation.targets if name not in self._simulation.leaving
        ]
        if len(staying) > len(self._simulation.targets) - 2:
            self._simulation.fault_count += 1
            name = self._simulation.rng.choice(staying)
            self._simulation.leaving[name] = self._simulation.clock.monotonic()
            self._publish_targets()

    def end_random_leaving(self) -> None:
        """Lists a random leaving target as staying again."""
        if self._simulation.leaving:
            self.end_leaving(self._simulation.rng.choice(sorted(self._simulation.leaving)))

    def end_leaving(self, name: str) -> None:
        """Lists a leaving target as staying again and records the period."""
        since = self._simulation.leaving.pop(name)
        self._simulation.history.leaving.append(
            LeavingPeriod(name, since, self._simulation.clock.monotonic())
        )
        self._publish_targets()

    def _publish_targets(self) -> None:
        self._simulation.instance_list.set_targets(
            [
                target.target._replace(leaving=name in self._simulation.leaving)
                for name, target in self._simulation.targets.items()
            ]
        )

    def truncate_log(self) -> None:
        """Drops the log entries that snapshots cover, as the platform's retention does."""
        covered = [
            node.components.replica.snapshot_covers
            for node in self._simulation.nodes.values()
            if node.components is not None and node.components.replica.is_ready
        ]
        wanted = {"fleet", *(f"jobs/{zone}" for zone in ZONES)}
        offsets = {
            section: max((c.get(section, 0) for c in covered), default=0) for section in wanted
        }
        self._simulation.log.forget_before(min(offsets.values()))
