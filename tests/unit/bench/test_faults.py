"""Random faults violate no guarantee, and each check fails when its mechanism is disabled."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from contextlib import ExitStack
from typing import NamedTuple
from unittest import mock

from azurecleat_bench._internal.faults.checker import Violation
from azurecleat_bench._internal.faults.run import run_faults
from azurecleat_bench._internal.faults.scenarios import (
    all_instances_replaced,
    isolated_instance,
    owner_with_expired_lease,
)
from azurecleat_bench._internal.faults.simulation import Simulation
from azurecleat_coordination import ControlLease, Freshness, Proof
from azurecleat_coordination._internal.configuration import Configuration
from azurecleat_coordination._internal.jobs import PartitionJobs
from azurecleat_coordination._internal.ledger import Ledger
from azurecleat_coordination._internal.result import ACCEPTED
from azurecleat_coordination._internal.run_intents import Intents
from azurecleat_daemon import RefusalError
from azurecleat_daemon._internal.target_session import TargetSession
from azurecleat_fakes import TargetLease
from azurecleat_model import ExecutionStatus, Quota
from azurecleat_policy import Scheduler

STEPS = 300
SEEDS = (1, 12, 20, 24, 121, 122, 213, 227, 307, 327)
MUTATION_SEEDS = range(12)


def is_always_valid(lease: ControlLease) -> bool:
    """Replaces the lease check: an owner takes its lease as valid for ever."""
    return True


def admit_anyone(lease: TargetLease, request, name: str) -> None:
    """Replaces fencing at targets: commands of any epoch are accepted."""
    lease._epoch = request.epoch
    lease._expires_at = lease._clock.monotonic() + request.lease_s


def whole_limit(ledger: Ledger, team: str, partition: str) -> Quota:
    """Replaces allotments: each partition uses the whole limit."""
    return ledger._limits.get(team, Quota())


def forget_withdrawals(configuration: Configuration, token: str, also=frozenset()) -> str | None:
    """Replaces authentication: a withdrawn key is still accepted."""
    for team in configuration.environment.teams:
        if any(key.id == token.partition(":")[0] for key in team.keys):
            return team.name
    found = configuration._added_keys.get(token.partition(":")[0])
    return found[0] if found else None


def claim_not_run(refusal: RefusalError, code: str, detail: str, **fields) -> None:
    """Replaces the refusal's outcome: an unknown outcome is reported as not run."""
    make_refusal(refusal, code, detail, **{**fields, "ran": ExecutionStatus.NOT_RUN})


make_refusal = RefusalError.__init__


def load_older(configuration: Configuration, value) -> None:
    """Replaces loading of a configuration: an older version overwrites a newer one."""
    configuration._version = max(0, value["version"] - 1)


def lose_jobs(jobs: PartitionJobs, value) -> None:
    """Replaces loading of a jobs snapshot: live jobs are dropped."""
    jobs._epoch = value["epoch"]
    jobs._live = {}


def first_worker(scheduler: Scheduler, job, now: float) -> list:
    """Replaces the search for free capacity: the first worker gets every task."""
    return scheduler._workers.live()[:1] * job.gang_size


def lose_at_once(session: TargetSession, now: float) -> None:
    """Replaces the wait for the lease's expiry: a silent target counts as lost at once."""
    session._lost = True
    session._granted = False
    session._last_version = -1
    session._listener.on_lost(session)


def random_run(seed: int) -> list[Violation]:
    """Runs random faults; the scenario of most mutations."""
    return run_faults(seed, STEPS)[1]


class Mutation(NamedTuple):
    """A mechanism that is disabled by replacing methods.

    ``guarantees`` are the ones of which at least one must be reported as violated.
    """

    name: str
    replacements: tuple[tuple[type, str, Callable], ...]
    guarantees: set[str]
    scenario: Callable[[int], list[Violation]] = random_run


MUTATIONS = (
    Mutation("no search for capacity", ((Scheduler, "_find_workers", first_worker),), {"capacity"}),
    Mutation(
        "silent targets count as lost at once",
        ((TargetSession, "_check_lapse", lose_at_once),),
        {"one-place", "limits", "capacity"},
    ),
    Mutation(
        "withdrawals forgotten",
        ((Configuration, "authenticate", forget_withdrawals),),
        {"keys"},
    ),
    Mutation(
        "freshness of keys not checked",
        ((Freshness, "proof", lambda self, local_state: Proof.LOG),),
        {"keys"},
        lambda seed: isolated_instance(seed)[1],
    ),
    Mutation("allotments off", ((Ledger, "allotment", whole_limit),), {"limits"}),
    Mutation(
        "responses swapped",
        ((Simulation, "_serve", lambda simulation, runner, body: b"checked: another"),),
        {"own-answer"},
    ),
    Mutation(
        "unknown outcome reported as not run",
        ((RefusalError, "__init__", claim_not_run),),
        {"not-run"},
    ),
    Mutation(
        "intents off",
        ((Intents, "intend", lambda self, event: ACCEPTED),),
        {"at-most-once"},
    ),
    Mutation(
        "leaving ignored",
        ((Scheduler, "set_draining", lambda self, name, draining: None),),
        {"leaving"},
    ),
    Mutation(
        "older configuration loaded", ((Configuration, "load", load_older),), {"never-reverts"}
    ),
    Mutation(
        "jobs lost from snapshots",
        ((PartitionJobs, "load", lose_jobs),),
        {"accepted-jobs-end"},
        lambda seed: all_instances_replaced(seed)[1],
    ),
    Mutation(
        "fencing and leases off",
        (
            (TargetLease, "admit", admit_anyone),
            (ControlLease, "is_valid", is_always_valid),
        ),
        {"one-place", "limits", "capacity", "at-most-once"},
        lambda seed: owner_with_expired_lease(seed)[1],
    ),
)


class FaultsTest(unittest.TestCase):
    """Short runs of ``azurecleat-bench faults``, its scripted scenarios, and mutations."""

    def test_random_faults_violate_no_guarantee(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                _, violations = run_faults(seed, STEPS)
                self.assertEqual(violations, [])

    def test_same_seed_gives_the_same_run(self) -> None:
        first, _ = run_faults(5, 100)
        second, _ = run_faults(5, 100)
        self.assertEqual(first.history.callers, second.history.callers)
        self.assertEqual(first.history.observations, second.history.observations)

    def test_isolated_instance_refuses_withdrawn_key(self) -> None:
        simulation, violations = isolated_instance(1)
        self.assertEqual(violations, [])
        late = [result for result in simulation.history.callers if result.body.startswith(b"late")]
        self.assertEqual({result.code for result in late}, {"keys-not-fresh"})

    def test_owner_with_expired_lease_issues_no_commands(self) -> None:
        simulation, violations = owner_with_expired_lease(1)
        self.assertEqual(violations, [])
        epochs = {seen.epoch for seen in simulation.history.observations if seen.event == "start"}
        self.assertIn(2, epochs, "no other instance took over")

    def test_accepted_jobs_survive_replaced_instances_and_log_retention(self) -> None:
        simulation, violations = all_instances_replaced(1)
        self.assertEqual(violations, [])
        self.assertGreater(simulation.log.first_offset(), 0, "the log dropped no entries")
        self.assertEqual(len(simulation.history.jobs), 4)

    def test_each_mutation_is_detected(self) -> None:
        for mutation in MUTATIONS:
            with self.subTest(mutation=mutation.name):
                self.assertTrue(self.is_detected(mutation))

    def is_detected(self, mutation: Mutation) -> bool:
        """Runs the scenario with several seeds until an expected guarantee is violated."""
        for seed in MUTATION_SEEDS:
            with ExitStack() as stack:
                for owner, name, replacement in mutation.replacements:
                    stack.enter_context(mock.patch.object(owner, name, replacement))
                violations = mutation.scenario(seed)
            if mutation.guarantees & {violation.guarantee for violation in violations}:
                return True
        return False


if __name__ == "__main__":
    unittest.main()
