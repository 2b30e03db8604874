"""Eviction of members that have been silent for long."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from azurecleat_coordination import Appender, Member
from azurecleat_coordination.records import Evict, Evicted
from azurecleat_model import Clock
from azurecleat_peers import PeerNetwork

EVICT_AFTER_S = 60.0
EVICT_JITTER_FACTOR = 1.5
"""Largest factor on ``EVICT_AFTER_S``, drawn per member so that few evictions coincide."""


class _Eviction(NamedTuple):
    """An eviction begun by this instance, completed after twice the bound on withdrawn keys."""

    member: Member
    began_at: float


class Evictions:
    """Evicts members in two steps, each recorded in the log.

    After the first record, this instance does not vouch for the member any more, so the member's
    proof of fresh keys expires within the bound. The second record, which removes the member, is
    appended after that.

    :param bound_s: Seconds within which a withdrawn key stops working everywhere.
    """

    def __init__(
        self,
        instance: str,
        bound_s: float,
        appender: Appender,
        network: PeerNetwork,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._bound_s = bound_s
        self._appender = appender
        self._network = network
        self._clock = clock
        self._in_progress: dict[str, _Eviction] = {}

    def is_evicting(self, instance: str) -> bool:
        """Tells whether this instance is evicting the given member."""
        return instance in self._in_progress

    def step(self, members: dict[str, Member], silence_s: Callable[[str], float | None]) -> None:
        """Begins and completes evictions; to be called only while the log is reachable.

        :param silence_s: Returns the seconds since a member's last answer, None if it is alive.
        """
        now = self._clock.monotonic()
        for member in members.values():
            if member.instance == self._instance:
                continue
            eviction = self._in_progress.get(member.instance)
            if eviction is not None and eviction.member.incarnation == member.incarnation:
                if now - eviction.began_at <= self._bound_s * 2:
                    continue
                if member.evicted_by:
                    self._finish_eviction(eviction)
                    continue
                # The first record did not reach the log, so the eviction may begin again.
            if not member.evicted_by and _is_long_dead(member.instance, silence_s(member.instance)):
                self._begin(member)
        for instance in set(self._in_progress) - set(members):
            del self._in_progress[instance]

    def _begin(self, member: Member) -> None:
        self._in_progress[member.instance] = _Eviction(member, self._clock.monotonic())
        event = Evict(member.instance, member.incarnation, self._instance)
        self._appender.submit(event)

    def _finish_eviction(self, eviction: _Eviction) -> None:
        member = eviction.member
        event = Evicted(member.instance, member.incarnation, self._instance)
        self._appender.submit(event)
        self._in_progress[member.instance] = eviction._replace(began_at=self._clock.monotonic())
        self._network.forget(member.address)


def _is_long_dead(instance: str, silence_s: float | None) -> bool:
    if silence_s is None:
        return False
    return silence_s > EVICT_AFTER_S * random.Random(instance).uniform(1.0, EVICT_JITTER_FACTOR)
