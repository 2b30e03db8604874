"""Exhaustive search of a small model of ownership: claims, epochs, leases and delayed commands.

The model has two owners in turn, three targets and one task. Every action may happen at any tick or
never. Network cuts, pauses, and lost or late messages therefore need no actions of their own.
Time is counted in whole ticks. The code allows for clock errors with a margin that the model leaves
out.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from typing import NamedTuple

HORIZON_TICKS = 6
PROOF_TICKS = 1
"""How long a proof of ownership lets an owner act."""

LEASE_TICKS = 1
TARGETS = range(3)
MAJORITY = 2
NEVER = -9
FIRST_OWNERS_TARGET, SECOND_OWNERS_TARGET = 0, 1
"""Indices of the targets on which the owners start the task. The second owner may or may not reach
the first owner's target."""


class Safeguards(NamedTuple):
    """Which safeguards are enabled; a test disables each of them in turn."""

    targets_obey_the_highest_epoch: bool = True
    log_refuses_previous_owners: bool = True
    proofs_expire: bool = True
    successor_waits_for_leases: bool = True
    successor_waits_for_proofs: bool = True
    successor_reads_running_tasks: bool = True
    commands_expire: bool = True
    starts_follow_the_published_horizon: bool = True
    horizon_is_read_after_the_fence: bool = True


class Owner(NamedTuple):
    proved_at: int = NEVER
    reached: frozenset[int] = frozenset()
    majority_at: int = NEVER
    """When the owner had first reached a majority of the targets."""
    has_started: bool = False
    has_seen_run: bool = False
    """Whether a poll has shown the task running."""
    knows_unstarted: bool = False
    """Whether the previous owner had not published a horizon that covers the task's job."""


class Target(NamedTuple):
    epoch: int = 0
    running: bool = False
    until: int = NEVER


class Command(NamedTuple):
    target: int
    epoch: int
    until: int


class State(NamedTuple):
    now: int
    log_epoch: int
    owners: tuple[Owner, Owner]
    targets: tuple[Target, ...]
    commands: frozenset[Command]
    is_published: bool = False
    """Whether the first owner's horizon covers the task's job."""

    def with_owner(self, number: int, owner: Owner) -> State:
        owners = tuple(owner if n == number else each for n, each in enumerate(self.owners))
        return self._replace(owners=owners)

    def with_target(self, number: int, target: Target) -> State:
        targets = tuple(target if n == number else each for n, each in enumerate(self.targets))
        return self._replace(targets=targets)


INITIAL_STATE = State(0, 1, (Owner(proved_at=0), Owner()), (Target(),) * 3, frozenset())


def may_act(state: State, number: int, safeguards: Safeguards) -> bool:
    proved_at = state.owners[number].proved_at
    return proved_at != NEVER and (
        not safeguards.proofs_expire or state.now - proved_at <= PROOF_TICKS
    )


def is_settled(state: State, safeguards: Safeguards) -> bool:
    """Whether the second owner may assume that the task is not running anywhere."""
    owner = state.owners[1]
    if len(owner.reached) == len(TARGETS) or owner.knows_unstarted:
        return True
    if owner.majority_at == NEVER:
        return False
    wait = LEASE_TICKS if safeguards.successor_waits_for_leases else -1
    wait += PROOF_TICKS if safeguards.successor_waits_for_proofs else 0
    return state.now > owner.majority_at + wait


def next_states(state: State, safeguards: Safeguards) -> Iterator[State]:
    if state.now < HORIZON_TICKS:
        yield tick(state)
    if state.log_epoch == 1:
        yield claim(state, safeguards)
    can_append = state.log_epoch == 1 or not safeguards.log_refuses_previous_owners
    if can_append and not state.is_published:
        yield state._replace(is_published=True)
    for number in (0, 1):
        if number == 0 or state.owners[1].proved_at != NEVER:
            yield from owner_actions(state, number, safeguards)
    for command in state.commands:
        yield deliver(state._replace(commands=state.commands - {command}), command, safeguards)


def claim(state: State, safeguards: Safeguards) -> State:
    """Lets the second owner fence the log, and read whether the task's job may have been started.

    Without the safeguard the horizon is one that was read before the first owner published it.
    """
    is_known = not state.is_published or not safeguards.horizon_is_read_after_the_fence
    owner = Owner(proved_at=state.now, knows_unstarted=is_known)
    return state._replace(log_epoch=2).with_owner(1, owner)


def tick(state: State) -> State:
    now = state.now + 1
    targets = tuple(
        Target(target.epoch) if target.running and now > target.until else target
        for target in state.targets
    )
    return state._replace(now=now, targets=targets)


def owner_actions(state: State, number: int, safeguards: Safeguards) -> Iterator[State]:
    owner, epoch = state.owners[number], number + 1
    is_fenced = safeguards.log_refuses_previous_owners and state.log_epoch > epoch
    obeying = [target for target in state.targets if obeys(target, epoch, safeguards)]
    if not is_fenced or len(obeying) >= MAJORITY:
        yield state.with_owner(number, owner._replace(proved_at=state.now))
    if not may_act(state, number, safeguards):
        return
    for index in TARGETS:
        if obeys(state.targets[index], epoch, safeguards):
            yield poll(state, number, index, safeguards)
    if number == 0:
        may_start = state.is_published or not safeguards.starts_follow_the_published_horizon
    else:
        may_start = is_settled(state, safeguards) and not owner.has_seen_run
    index = FIRST_OWNERS_TARGET if number == 0 else SECOND_OWNERS_TARGET
    if may_start and not owner.has_started and index in owner.reached:
        command = Command(index, epoch, state.now + LEASE_TICKS)
        started = state.with_owner(number, owner._replace(has_started=True))
        yield started._replace(commands=state.commands | {command})


def obeys(target: Target, epoch: int, safeguards: Safeguards) -> bool:
    return epoch >= target.epoch or not safeguards.targets_obey_the_highest_epoch


def poll(state: State, number: int, index: int, safeguards: Safeguards) -> State:
    """Polls a target: reads what it runs and renews its lease."""
    target, owner, epoch = state.targets[index], state.owners[number], number + 1
    reached = owner.reached | {index}
    has_majority = owner.majority_at == NEVER and len(reached) >= MAJORITY
    majority_at = state.now if has_majority else owner.majority_at
    has_seen_run = owner.has_seen_run or (
        target.running and safeguards.successor_reads_running_tasks
    )
    until = max(target.until, state.now + LEASE_TICKS) if target.running else target.until
    polled = Target(max(target.epoch, epoch), target.running, until)
    owner = owner._replace(reached=reached, majority_at=majority_at, has_seen_run=has_seen_run)
    return state.with_target(index, polled).with_owner(number, owner)


def deliver(state: State, command: Command, safeguards: Safeguards) -> State:
    """Carries out a command. A command that is never delivered counts as lost."""
    target = state.targets[command.target]
    if not obeys(target, command.epoch, safeguards):
        return state
    if safeguards.commands_expire and state.now > command.until:
        return state
    until = max(target.until, command.until)
    return state.with_target(command.target, Target(max(target.epoch, command.epoch), True, until))


def search(safeguards: Safeguards) -> tuple[int, State | None]:
    """Returns the number of states searched, and a state in which the task runs twice, if any."""
    seen = {INITIAL_STATE}
    pending = [INITIAL_STATE]
    while pending:
        state = pending.pop()
        for next_state in next_states(state, safeguards):
            if next_state in seen:
                continue
            if sum(target.running for target in next_state.targets) > 1:
                return len(seen), next_state
            seen.add(next_state)
            pending.append(next_state)
    return len(seen), None


class OwnershipModelTest(unittest.TestCase):
    """Searches all states of the model up to ``HORIZON_TICKS``."""

    def test_the_task_never_runs_twice(self) -> None:
        states, broken = search(Safeguards())
        self.assertIsNone(broken)
        self.assertGreater(states, 10_000)

    def test_each_safeguard_is_needed(self) -> None:
        for name in Safeguards._fields:
            with self.subTest(safeguard=name):
                self.assertIsNotNone(search(Safeguards()._replace(**{name: False}))[1])


if __name__ == "__main__":
    unittest.main()
