"""Random faults: drawn from a seed before the soak, applied from outside the processes."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable
from typing import NamedTuple

from tests.soak.cluster import TEAM_KEYS, Cluster, Member
from tests.soak.links import Direction, Link
from tests.soak.promises import Promises

KINDS = (
    "delay",
    "reset",
    "cut",
    "cut_one_way",
    "silence",
    "cut_store",
    "cut_off",
    "kill",
    "terminate",
    "pause",
    "reload",
    "kill_all",
    "store_down",
    "store_loses",
    "target_dies",
    "target_reborn",
    "configure",
    "revoke",
)
SHORTEST_S, LONGEST_S = 0.1, 4.0
RESTART_S = 0.3
SERIES = 4
"""Most times that one fault is repeated in a row."""


class Fault(NamedTuple):
    """One fault: when it comes, for how long, and the number that chooses what it hits."""

    at_s: float
    kind: str
    for_s: float
    choice: int


def draw(seed: int, seconds: float, gap_s: float) -> list[Fault]:
    """Draws the faults of a soak. They overlap and come in series."""
    rng = random.Random(f"{seed}/faults")
    faults: list[Fault] = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(1.0 / gap_s)) < seconds:
        kind = rng.choice(KINDS)
        for_s = min(LONGEST_S, max(SHORTEST_S, rng.expovariate(1.0)))
        choice = rng.randrange(1 << 30)
        for number in range(rng.randint(1, SERIES) if rng.random() < 0.2 else 1):
            faults.append(Fault(at_s + number * for_s, kind, for_s, choice + number))
    return sorted(faults)


class FaultInjector:
    """Applies faults to a cluster and takes them back in time."""

    def __init__(self, cluster: Cluster, promises: Promises) -> None:
        self._cluster = cluster
        self._promises = promises
        self._later: list[tuple[float, Callable[[], None]]] = []

    def run(self, faults: list[Fault], seconds: float) -> None:
        began_at = time.monotonic()
        left = list(faults)
        while (now := time.monotonic() - began_at) < seconds:
            while left and left[0].at_s <= now:
                fault = left.pop(0)
                self._apply(fault, now)
            for due in [each for each in self._later if each[0] <= now]:
                self._later.remove(due)
                due[1]()
            self._cluster.site.advance()
            time.sleep(0.01)
        for _, undo in sorted(self._later, key=lambda each: each[0]):
            undo()

    def _apply(self, fault: Fault, now: float) -> None:
        cluster, until = self._cluster, now + fault.for_s
        member = cluster.members[fault.choice % len(cluster.members)]
        link = member.links[fault.choice // 7 % len(member.links)]
        match fault.kind:
            case "delay":
                link.delay(fault.for_s / 8)
                self._undo(until, link.heal)
            case "reset":
                link.reset()
            case "cut":
                self._cut([link], until)
            case "cut_one_way":
                self._cut([link], until, list(Direction)[fault.choice // 3 % 2])
            case "silence":
                link.silence()
            case "cut_store":
                self._cut([member.store], until)
            case "cut_off":
                others = [each for each in cluster.members if each is not member]
                towards = [each.peers[member.node] for each in others]
                inner = [each for each in member.links if each is not member.callers]
                self._cut([*inner, *towards], until)
            case "store_down":
                cluster.site.log.down = True
                self._undo(until, lambda: setattr(cluster.site.log, "down", False))
            case "store_loses":
                cluster.site.lose_answers = 1 + fault.choice % 3
            case "target_dies" | "target_reborn":
                number = fault.choice % len(cluster.site.target_addresses)
                cluster.site.replace_target(number, keeps_id=fault.kind == "target_reborn")
            case "configure":
                self._configure(cluster.keys)
            case "revoke":
                self._revoke()
            case _:
                self._signal(fault, member, until)

    def _signal(self, fault: Fault, member: Member, until: float) -> None:
        match fault.kind:
            case "kill":
                self._kill(member, until)
            case "kill_all":
                for each in self._cluster.members:
                    self._kill(each, until)
            case "terminate":
                member.signal(signal.SIGTERM)
                self._undo(until + RESTART_S, lambda: self._restart(member))
            case "pause":
                member.signal(signal.SIGSTOP)
                self._undo(until, lambda: member.signal(signal.SIGCONT))
            case "reload":
                member.signal(signal.SIGHUP)

    def _cut(self, links: list[Link], until: float, *directions: Direction) -> None:
        for link in links:
            link.cut(*directions)
            self._undo(until, link.heal)

    def _kill(self, member: Member, until: float) -> None:
        member.end()
        self._undo(until + RESTART_S, lambda: self._restart(member))

    def _restart(self, member: Member) -> None:
        """Starts a process that has ended; one that is still draining starts later."""
        if member.has_ended_by_itself():
            member.start()

    def _configure(self, keys: list[str]) -> None:
        if not self._cluster.site.log.down:
            self._cluster.configure(keys)

    def _revoke(self) -> None:
        """Takes the oldest key away and gives the team a new one."""
        cluster = self._cluster
        if cluster.site.log.down:
            return
        old = cluster.keys[0]
        new = f"{TEAM_KEYS[-1]}-{cluster.version}"
        cluster.configure([cluster.keys[1], new])
        self._promises.note_revoked(old)
        cluster.keys[:] = [cluster.keys[1], new]

    def _undo(self, at_s: float, call: Callable[[], None]) -> None:
        self._later.append((at_s, call))
