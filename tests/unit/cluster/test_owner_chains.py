"""Chains of owners: what the last one's end shows about the owners before it.

An owner that was cut off may renew leases for a few seconds. Its successor may end before it knows
that these leases are over, and then the next owner must still wait for them.
"""

from __future__ import annotations

import itertools
import unittest
from unittest.mock import patch

from azurecleat_base import ManualClock, SystemClock
from azurecleat_cluster._internal.owner.authority import (
    LEASE_MARGIN_S,
    MAX_CLOCK_STRETCH,
    PROOF_VALIDITY_S,
)
from azurecleat_cluster._internal.owner.term_runner import TermRunner
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.ports import JOBS, PROGRESS, LogRecord
from azurecleat_fakes import KeyedMemoryLog

from tests.lib.cluster_simulation import LEASE_S, SimNode, Simulation
from tests.lib.term_harness import TermHarness, make_entry
from tests.unit.cluster.test_no_second_start import make_dependencies
from tests.unit.cluster.test_odd_records import NoClient

NODES = 5
TASKS = 20
"""Tasks of the job, each of which takes longer than the test."""

LEASE_END_S = LEASE_S * MAX_CLOCK_STRETCH + LEASE_MARGIN_S
"""Time after its last renewal at which a lease is certainly over."""

REACTION_S = 0.5
"""Time for reports, appends and starts."""

CUT_S = 6.1
"""Longest cut of a zone in the days of klubnet."""

ENDS = ("stopped", "killed", "restarted", "failed")
"""Ways in which an owner ends. One that failed did so before it had polled a target."""


class Chain:
    """Owners in turn, the first of which is cut off, together with a zone, while it owns."""

    def __init__(self, seed: int = 1) -> None:
        self.simulation = Simulation(seed, nodes=NODES, max_task_s=60.0)
        self.simulation.set_durations(60.0)
        self.nodes = list(self.simulation.nodes)
        self.owner = self.nodes.pop(0)
        self.owner.take_over()
        self.simulation.submit("0" * 16, tasks=TASKS)
        self.simulation.run(2.0)
        busy = [target.id for target in self.simulation.targets if any(target.used())]
        idle = [target.id for target in self.simulation.targets if not any(target.used())]
        self.zone = {busy[0], *idle[:1]}
        """Targets of the zone of the first owner."""

    @property
    def violations(self) -> list[str]:
        return self.simulation.checker.violations

    def cut_zone(self, owner_too: bool = True) -> None:
        """Cuts off the zone.

        :param owner_too: Whether the owner is in the zone, or outside it with the other instances.
        """
        inside = [self.owner] if owner_too else []
        for node in self.simulation.nodes:
            if node in inside:
                node.log.is_unreachable = True
                ids = {target.id for target in self.simulation.targets}
                node.unreachable_targets = ids - self.zone
            else:
                node.unreachable_targets = set(self.zone)

    def take_over(self, node: SimNode | None = None, served_s: float = 0.6) -> None:
        """Lets the next instance take over, and serve for a time."""
        self.owner = node or self.nodes.pop(0)
        self.owner.take_over()
        self.simulation.run(served_s)

    def end(self, how: str, served_s: float = 0.6) -> None:
        """Ends the present owner, and lets the next one take over as the service does."""
        ended = self.owner
        match how:
            case "stopped" | "failed":
                ended.release()
                self.take_over(served_s=served_s)
            case "restarted":
                ended.restart()
                self.take_over(ended, served_s=served_s)
            case "killed":
                ended.restart()
                self.take_over(served_s=served_s)

    def play(self, ends: tuple[str, ...], served_s: float = 0.6) -> None:
        """Cuts off the first owner, and lets its successors end one after the other."""
        self.cut_zone()
        served = [0.0 if how == "failed" else served_s for how in ends]
        self.take_over(served_s=served[0])
        for how, following_s in zip(ends, [*served[1:], CUT_S], strict=True):
            self.end(how, following_s)
        self.simulation.heal()
        self.simulation.run(4.0)

    def seconds_until_complete(self) -> float:
        """Returns the time until the owner knows of every run or that it is over."""
        began_at = self.simulation.clock.monotonic()
        while not self.owner.term.takeover.is_complete():
            self.simulation.run(0.02)
            if self.simulation.clock.monotonic() - began_at > 20.0:
                raise AssertionError("the takeover is not completed")
        return self.simulation.clock.monotonic() - began_at


class CutOffOwnerTest(unittest.TestCase):
    """The first owner renews its leases beside its successors."""

    # A task ran twice: the release of an owner that did not know of all runs counted for the owner
    # before it as well.
    def test_successor_of_a_stopped_owner_waits_for_the_owner_before(self) -> None:
        chain = Chain()
        chain.play(("stopped",))
        self.assertEqual(chain.violations, [])

    # The same with a restart of the successor under its node.
    def test_restarted_successor_waits_for_the_owner_before(self) -> None:
        chain = Chain()
        chain.play(("restarted",))
        self.assertEqual(chain.violations, [])

    # The same with a term that ends by an error before it serves.
    def test_successor_of_a_failed_owner_waits_for_the_owner_before(self) -> None:
        chain = Chain()
        chain.play(("failed",))
        self.assertEqual(chain.violations, [])

    def test_chains_of_up_to_four_owners(self) -> None:
        for length in (2, 3):
            for ends in itertools.product(ENDS, repeat=length):
                chain = Chain()
                chain.play(ends, served_s=0.9 / length)
                with self.subTest(ends=ends):
                    self.assertEqual(chain.violations, [])

    def test_tasks_start_elsewhere_once_the_leases_are_over(self) -> None:
        chain = Chain()
        chain.cut_zone()
        chain.take_over()
        chain.end("stopped", served_s=0.0)
        bound_s = PROOF_VALIDITY_S + LEASE_END_S + REACTION_S
        self.assertLess(chain.seconds_until_complete(), bound_s)
        chain.simulation.run(REACTION_S)
        running = chain.simulation.checker.running.values()
        self.assertEqual(sum(map(bool, running)), TASKS)
        self.assertEqual(chain.violations, [])


class AddedTargetsTest(unittest.TestCase):
    """Targets are added while the first owner still acts through those that it knows."""

    def add_targets(self, chain: Chain, count: int) -> None:
        for target in chain.simulation.add_targets(count):
            target.duration = lambda task: 60.0
            chain.simulation.nodes[0].unreachable_targets.add(target.id)

    def cut_majority(self) -> Chain:
        """Cuts off the first owner with a majority of the targets that it uses."""
        chain = Chain()
        chain.zone = {target.id for target in chain.simulation.targets[:4]}
        chain.cut_zone()
        chain.take_over()
        self.add_targets(chain, 6)
        chain.simulation.run(1.0)
        return chain

    # A task ran twice: targets that the second owner had added counted for the third one's majority
    # against the first, which did not use them.
    def test_added_targets_are_no_majority_against_an_owner_that_did_not_use_them(self) -> None:
        for ends in itertools.chain.from_iterable(
            itertools.product(("stopped", "killed", "restarted"), repeat=n) for n in (0, 1, 2)
        ):
            chain = self.cut_majority()
            for how in ends:
                chain.end(how)
            chain.simulation.run(12.0)
            with self.subTest(ends=ends):
                self.assertTrue(chain.simulation.nodes[0].term.authority.may_act())
                self.assertEqual(chain.violations, [])
            chain.simulation.heal()
            chain.simulation.run(4.0)
            with self.subTest(ends=ends, healed=True):
                self.assertTrue(chain.owner.term.takeover.is_complete())
                self.assertEqual(chain.violations, [])

    # The added targets count once an owner knew that no earlier one acts: it used them itself.
    def test_added_targets_count_against_an_owner_that_used_them(self) -> None:
        chain = self.cut_majority()
        chain.simulation.heal()
        chain.simulation.run(4.0)
        self.add_targets(chain, 2)
        chain.simulation.run(1.0)
        used = chain.simulation.targets
        chain.zone = {target.id for target in used[:5]}
        chain.cut_zone()
        chain.end("killed", served_s=0.0)
        bound_s = PROOF_VALIDITY_S + LEASE_END_S + REACTION_S
        self.assertLess(chain.seconds_until_complete(), bound_s)
        self.assertEqual(chain.violations, [])


class PlannedStopTest(unittest.TestCase):
    """An owner that knew of every run ends, and its successor can't reach some targets."""

    def wait_after(self, *ends: str) -> float:
        chain = Chain()
        chain.cut_zone(owner_too=False)
        for how in ends:
            chain.end(how, served_s=0.0)
        waited_s = chain.seconds_until_complete()
        chain.simulation.run(REACTION_S)
        self.assertEqual(chain.violations, [])
        return waited_s

    # A release recorded by an owner that knew of every run still cuts the wait for leases short.
    def test_successor_waits_for_one_lease_only(self) -> None:
        for how in ("stopped", "restarted"):
            with self.subTest(how=how):
                self.assertLess(self.wait_after(how), LEASE_END_S + REACTION_S)

    # So does a chain of releases, none of whose owners had the time to reach the targets.
    def test_successor_of_several_waits_for_one_lease_only(self) -> None:
        waited_s = self.wait_after("stopped", "stopped", "stopped")
        self.assertLess(waited_s, LEASE_END_S + REACTION_S)


class SettledRecordTest(unittest.TestCase):
    """The record that no owner before a certain one acts any more."""

    def take_over(self, *values: bytes) -> TermHarness:
        replica = JobReplica()
        for value in values:
            replica.apply_progress(LogRecord(records.SETTLED, value, 0))
        targets = [make_entry(f"t{number}") for number in range(3)]
        return TermHarness(ManualClock(), replica, 3, targets, previous_owner_gone=True)

    def test_release_of_an_owner_that_recorded_it_starts_the_wait(self) -> None:
        self.assertIsNotNone(self.take_over(records.encode_epoch(2)).term.takeover.leases_end_at)

    # Logs of earlier versions lack the record; that of an earlier owner shows nothing.
    def test_release_without_the_record_starts_no_wait(self) -> None:
        for values in ((), (records.encode_epoch(1),), (b"7",), (b'{"epoch":true}',), (b"[",)):
            with self.subTest(values=values):
                self.assertIsNone(self.take_over(*values).term.takeover.leases_end_at)

    def end_term(self, recorded_target: bool, failing_step: str = "_watch_directory") -> set[str]:
        """Serves a real term that fails, or is given up, and returns the keys in the log.

        :param recorded_target: Whether the previous owner used a target, which never answers.
        :param failing_step: Method of the term's runner that fails; empty to give the term up.
        """
        log = KeyedMemoryLog()
        if recorded_target:
            log.append(PROGRESS, [(records.TARGET + "t0", b'["t0:80","pool",1]')], 1.0)
        dependencies = make_dependencies(log, SystemClock())
        ports = dependencies.ports._replace(connect=lambda entry: NoClient())
        runner = TermRunner(1, False, dependencies._replace(ports=ports), lambda epoch: None)
        if failing_step:
            with patch.object(runner, failing_step, side_effect=OSError("no more threads")):
                self.assertRaises(OSError, runner.serve)
        else:
            runner.give_up()
            runner.serve()
        return {record.key for stream in (JOBS, PROGRESS) for record in log.newest(stream).records}

    def test_owner_records_it_before_its_release(self) -> None:
        keys = self.end_term(recorded_target=False, failing_step="")
        self.assertLessEqual({f"{records.RELEASE}1", records.SETTLED}, keys)

    # A term that ended by an error before it had reached a target released ownership, and its
    # successor took that for the end of all owners before.
    def test_owner_that_reached_no_target_records_nothing(self) -> None:
        for failing_step in ("", "_watch_directory"):
            with self.subTest(failing_step=failing_step):
                keys = self.end_term(recorded_target=True, failing_step=failing_step)
                self.assertIn(f"{records.RELEASE}1", keys)
                self.assertNotIn(records.SETTLED, keys)


if __name__ == "__main__":
    unittest.main()
