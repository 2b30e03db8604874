"""Random faults, generated from a seed in advance and injected from outside the processes."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from tests.soak.cluster import TEAM_KEYS, Cluster, Member
from tests.soak.guarantees import GuaranteeChecker
from tests.soak.tcp_proxy import Direction, TcpProxy

FAULT_KINDS = (
    "delay",  # Delays the traffic of one proxy.
    "reset",  # Resets the open connections of one proxy.
    "cut",  # Holds back the traffic of one proxy.
    "cut_one_way",  # Holds back one direction of the traffic of one proxy.
    "stall",  # Open connections of one proxy carry nothing more, without being closed.
    "cut_store",  # Cuts one instance off from the store.
    "cut_off",  # Cuts one instance off from everything but its callers.
    "kill",
    "terminate",  # Sends SIGTERM and restarts the process later.
    "pause",  # Stops the process with SIGSTOP, then resumes it.
    "reload",  # Sends SIGHUP, on which the instance reads its settings again.
    "kill_all",
    "store_down",  # The store refuses all calls.
    "store_loses",  # The next 1 to 3 appends take effect but get no answer.
    "target_replaced",  # A target crashes; another with a new ID takes over its address.
    "target_restarted",  # A target crashes and starts again under the same ID.
    "configure",  # Writes the configuration again under a new version.
    "revoke",  # Replaces the oldest API key by a new one.
)
LOSS_KIND = "target_loses"
"""A target leaves some calls unanswered, and executes these at once or late."""

LOSS_INTERVAL_FACTOR = 6.0
"""Mean time between two losses, relative to the mean time between two faults of the other kinds."""

MIN_DURATION_S, MAX_DURATION_S = 0.1, 4.0
RESTART_DELAY_S = 0.3
MAX_SERIES_LENGTH = 4
"""Maximum number of times that one fault occurs in a row."""


class Fault(NamedTuple):
    """One fault.

    :param at_s: Time from the start of the soak test.
    :param selector: Random number that selects the instance, proxy or target concerned.
    """

    at_s: float
    kind: str
    duration_s: float
    selector: int


def generate_faults(seed: int, seconds: float, mean_interval_s: float) -> list[Fault]:
    """Returns the faults of a soak test, ordered by time. They overlap, and some repeat in a row.

    :param seconds: Length of the soak test; repeats of a fault may lie beyond its end.
    """
    # Losses have their own generator, so that each seed keeps its faults of the other kinds.
    return sorted(
        _draw_faults(f"{seed}/faults", FAULT_KINDS, seconds, mean_interval_s)
        + _draw_faults(
            f"{seed}/losses", (LOSS_KIND,), seconds, mean_interval_s * LOSS_INTERVAL_FACTOR
        )
    )


def _draw_faults(
    seed: str, kinds: Sequence[str], seconds: float, mean_interval_s: float
) -> list[Fault]:
    rng = random.Random(seed)
    faults: list[Fault] = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(1.0 / mean_interval_s)) < seconds:
        kind = rng.choice(kinds)
        duration_s = min(MAX_DURATION_S, max(MIN_DURATION_S, rng.expovariate(1.0)))
        selector = rng.randrange(1 << 30)
        for number in range(rng.randint(1, MAX_SERIES_LENGTH) if rng.random() < 0.2 else 1):
            faults.append(Fault(at_s + number * duration_s, kind, duration_s, selector + number))
    return faults


class FaultInjector:
    """Applies faults to a cluster and ends each after its duration."""

    def __init__(self, cluster: Cluster, guarantee_checker: GuaranteeChecker) -> None:
        self._cluster = cluster
        self._guarantee_checker = guarantee_checker
        self._scheduled: list[tuple[float, Callable[[], None]]] = []

    def run(self, faults: list[Fault], seconds: float) -> None:
        began_at = time.monotonic()
        pending = list(faults)
        while (now := time.monotonic() - began_at) < seconds:
            while pending and pending[0].at_s <= now:
                fault = pending.pop(0)
                self._apply(fault, now)
            for due in [each for each in self._scheduled if each[0] <= now]:
                self._scheduled.remove(due)
                due[1]()
            self._cluster.platform.advance()
            time.sleep(0.01)
        for _, call in sorted(self._scheduled, key=lambda each: each[0]):
            call()

    def _apply(self, fault: Fault, now: float) -> None:
        cluster, ends_at = self._cluster, now + fault.duration_s
        member = cluster.members[fault.selector % len(cluster.members)]
        proxy = member.proxies[fault.selector // 7 % len(member.proxies)]
        match fault.kind:
            case "delay":
                proxy.delay(fault.duration_s / 8)
                self._schedule(ends_at, proxy.heal)
            case "reset":
                proxy.reset_connections()
            case "cut":
                self._cut([proxy], ends_at)
            case "cut_one_way":
                self._cut([proxy], ends_at, list(Direction)[fault.selector // 3 % 2])
            case "stall":
                proxy.stall_connections()
            case "cut_store":
                self._cut([member.store_proxy], ends_at)
            case "cut_off":
                others = [each for each in cluster.members if each is not member]
                inbound = [each.peer_proxies[member.node] for each in others]
                outbound = [each for each in member.proxies if each is not member.caller_proxy]
                self._cut([*outbound, *inbound], ends_at)
            case "store_down":
                cluster.platform.log.down = True
                self._schedule(ends_at, lambda: setattr(cluster.platform.log, "down", False))
            case "store_loses":
                cluster.platform.lose_answers = 1 + fault.selector % 3
            case "target_loses":
                number = fault.selector % len(cluster.platform.target_addresses)
                cluster.platform.lose_calls(number, random.Random(fault.selector))
                self._schedule(ends_at, lambda: cluster.platform.answer_calls(number))
            case "target_replaced" | "target_restarted":
                number = fault.selector % len(cluster.platform.target_addresses)
                cluster.platform.replace_target(number, keeps_id=fault.kind == "target_restarted")
            case "configure":
                self._configure(cluster.keys)
            case "revoke":
                self._revoke()
            case _:
                self._signal(fault, member, ends_at)

    def _signal(self, fault: Fault, member: Member, ends_at: float) -> None:
        match fault.kind:
            case "kill":
                self._kill(member, ends_at)
            case "kill_all":
                for each in self._cluster.members:
                    self._kill(each, ends_at)
            case "terminate":
                member.signal(signal.SIGTERM)
                self._schedule(ends_at + RESTART_DELAY_S, lambda: self._restart(member))
            case "pause":
                member.signal(signal.SIGSTOP)
                self._schedule(ends_at, lambda: member.signal(signal.SIGCONT))
            case "reload":
                member.signal(signal.SIGHUP)

    def _cut(self, proxies: list[TcpProxy], ends_at: float, *directions: Direction) -> None:
        for proxy in proxies:
            proxy.cut(*directions)
            self._schedule(ends_at, proxy.heal)

    def _kill(self, member: Member, ends_at: float) -> None:
        member.kill()
        self._schedule(ends_at + RESTART_DELAY_S, lambda: self._restart(member))

    def _restart(self, member: Member) -> None:
        """Starts the process again if it has exited.

        A process that is still draining after SIGTERM is left to exit; a later restart or
        :meth:`Cluster.heal` starts it.
        """
        if member.has_exited():
            member.start()

    def _configure(self, keys: list[str]) -> None:
        if not self._cluster.platform.log.down:
            self._cluster.configure(keys)

    def _revoke(self) -> None:
        """Replaces the oldest key of the team by a new one."""
        cluster = self._cluster
        if cluster.platform.log.down:
            return
        old = cluster.keys[0]
        new = f"{TEAM_KEYS[-1]}-{cluster.version}"
        cluster.configure([cluster.keys[1], new])
        self._guarantee_checker.on_key_revoked(old)
        cluster.keys[:] = [cluster.keys[1], new]

    def _schedule(self, at_s: float, call: Callable[[], None]) -> None:
        self._scheduled.append((at_s, call))
