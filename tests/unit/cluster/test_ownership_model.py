"""Exhaustive search over a small model of ownership: claims, fences, leases and late orders.

Two owners in turn, three targets, one task. Every action may happen at any tick or never, so that
cuts, pauses, lost and late messages need no actions of their own: what is cut off does not happen.
Time is in whole ticks; what real clocks add is a margin in the code and not part of the model.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from typing import NamedTuple

HORIZON = 6
PROOF = 1
"""Ticks for which a proof lets an owner act."""

LEASE = 1
TARGETS = range(3)
MAJORITY = 2
NEVER = -9
FIRST_PLACE, SECOND_PLACE = 0, 1
"""Where the owners start the task; the second one may reach the first place or not."""


class Rules(NamedTuple):
    """Safeguards, each of which a test switches off."""

    targets_obey_the_highest_fence: bool = True
    log_refuses_former_owners: bool = True
    proofs_expire: bool = True
    successor_waits_for_leases: bool = True
    successor_waits_for_proofs: bool = True
    successor_reads_what_runs: bool = True
    orders_expire: bool = True


class Owner(NamedTuple):
    proved_at: int = NEVER
    reached: frozenset[int] = frozenset()
    majority_at: int = NEVER
    """When it first had reached a majority of the targets."""
    has_started: bool = False
    has_seen: bool = False
    """Whether a look has shown the task at work."""


class Target(NamedTuple):
    fence: int = 0
    running: bool = False
    until: int = NEVER


class Order(NamedTuple):
    target: int
    epoch: int
    until: int


class State(NamedTuple):
    now: int
    log_epoch: int
    owners: tuple[Owner, Owner]
    targets: tuple[Target, ...]
    orders: frozenset[Order]

    def with_owner(self, number: int, owner: Owner) -> State:
        owners = tuple(owner if n == number else each for n, each in enumerate(self.owners))
        return self._replace(owners=owners)

    def with_target(self, number: int, target: Target) -> State:
        targets = tuple(target if n == number else each for n, each in enumerate(self.targets))
        return self._replace(targets=targets)


FIRST = State(0, 1, (Owner(proved_at=0), Owner()), (Target(),) * 3, frozenset())


def may_act(state: State, number: int, rules: Rules) -> bool:
    proved_at = state.owners[number].proved_at
    return proved_at != NEVER and (not rules.proofs_expire or state.now - proved_at <= PROOF)


def is_settled(state: State, rules: Rules) -> bool:
    """Whether the second owner may take it that the task is nowhere at work."""
    owner = state.owners[1]
    if len(owner.reached) == len(TARGETS):
        return True
    if owner.majority_at == NEVER:
        return False
    wait = LEASE if rules.successor_waits_for_leases else -1
    wait += PROOF if rules.successor_waits_for_proofs else 0
    return state.now > owner.majority_at + wait


def successors(state: State, rules: Rules) -> Iterator[State]:
    if state.now < HORIZON:
        yield tick(state)
    if state.log_epoch == 1:
        yield state._replace(log_epoch=2).with_owner(1, Owner(proved_at=state.now))
    for number in (0, 1):
        if number == 0 or state.owners[1].proved_at != NEVER:
            yield from acts(state, number, rules)
    for order in state.orders:
        yield deliver(state._replace(orders=state.orders - {order}), order, rules)


def tick(state: State) -> State:
    now = state.now + 1
    targets = tuple(
        Target(target.fence) if target.running and now > target.until else target
        for target in state.targets
    )
    return state._replace(now=now, targets=targets)


def acts(state: State, number: int, rules: Rules) -> Iterator[State]:
    owner, epoch = state.owners[number], number + 1
    is_fenced = rules.log_refuses_former_owners and state.log_epoch > epoch
    obeying = [target for target in state.targets if obeys(target, epoch, rules)]
    if not is_fenced or len(obeying) >= MAJORITY:
        yield state.with_owner(number, owner._replace(proved_at=state.now))
    if not may_act(state, number, rules):
        return
    for place in TARGETS:
        if obeys(state.targets[place], epoch, rules):
            yield hold(state, number, place, rules)
    may_start = number == 0 or (is_settled(state, rules) and not owner.has_seen)
    place = FIRST_PLACE if number == 0 else SECOND_PLACE
    if may_start and not owner.has_started and place in owner.reached:
        order = Order(place, epoch, state.now + LEASE)
        started = state.with_owner(number, owner._replace(has_started=True))
        yield started._replace(orders=state.orders | {order})


def obeys(target: Target, epoch: int, rules: Rules) -> bool:
    return epoch >= target.fence or not rules.targets_obey_the_highest_fence


def hold(state: State, number: int, place: int, rules: Rules) -> State:
    """Looks at a target and renews its lease."""
    target, owner, epoch = state.targets[place], state.owners[number], number + 1
    reached = owner.reached | {place}
    has_majority = owner.majority_at == NEVER and len(reached) >= MAJORITY
    majority_at = state.now if has_majority else owner.majority_at
    has_seen = owner.has_seen or (target.running and rules.successor_reads_what_runs)
    until = max(target.until, state.now + LEASE) if target.running else target.until
    held = Target(max(target.fence, epoch), target.running, until)
    owner = owner._replace(reached=reached, majority_at=majority_at, has_seen=has_seen)
    return state.with_target(place, held).with_owner(number, owner)


def deliver(state: State, order: Order, rules: Rules) -> State:
    """Carries out an order; one that is never delivered was lost."""
    target = state.targets[order.target]
    if not obeys(target, order.epoch, rules):
        return state
    if rules.orders_expire and state.now > order.until:
        return state
    until = max(target.until, order.until)
    return state.with_target(order.target, Target(max(target.fence, order.epoch), True, until))


def search(rules: Rules) -> tuple[int, State | None]:
    """Returns the number of states, and the first in which the task is at work twice."""
    seen = {FIRST}
    waiting = [FIRST]
    while waiting:
        state = waiting.pop()
        for following in successors(state, rules):
            if following in seen:
                continue
            if sum(target.running for target in following.targets) > 1:
                return len(seen), following
            seen.add(following)
            waiting.append(following)
    return len(seen), None


class OwnershipModelTest(unittest.TestCase):
    """All courses of the model up to its horizon."""

    def test_no_course_has_the_task_twice_at_work(self) -> None:
        states, broken = search(Rules())
        self.assertIsNone(broken)
        self.assertGreater(states, 10_000)

    def test_each_safeguard_is_needed(self) -> None:
        for name in Rules._fields:
            with self.subTest(safeguard=name):
                self.assertIsNotNone(search(Rules()._replace(**{name: False}))[1])


if __name__ == "__main__":
    unittest.main()
