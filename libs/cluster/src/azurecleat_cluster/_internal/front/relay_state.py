"""What an instance without the log knows of its peers: whom to ask next, and who may serve."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence
from itertools import count
from typing import NamedTuple

PEERS_PER_STAGE = 2
"""Peers asked at the same time: two of the instance's zone, then two of other zones."""

PEERS_PER_ROUND = 2 * PEERS_PER_STAGE

MAX_SOURCE_AGE_S = 2.2
"""Age of a peer's view above which the peer is not used to serve callers. The view of an instance
that reaches the log was over 1.66 s old in a trial, and a round of requests adds up to 0.8 s."""


class PeerAddress(NamedTuple):
    """Address of another instance and its zone; the zone is empty if it is not known."""

    address: str
    zone: str


class PeerRotation:
    """Chooses the peers of each round: the one that was asked longest ago goes first.

    A peer that is left out of some rounds, as it gave no answer, therefore keeps its turn, and so
    do the others.

    :param zone: The zone of this instance.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._turns: dict[str, int] = {}
        """Number of the request last sent to a peer."""
        self._next_turn = count(1)

    def choose(
        self, peers: Sequence[PeerAddress], sources: Collection[str] = ()
    ) -> Iterator[list[str]]:
        """Yields the peers to ask first, of this zone, and those to ask next, of other zones.

        :param sources: Peers with a fresh view. Each stage asks one of them, so that the view that
            came through it stays fresh while silent peers have their turns.
        """
        for is_elsewhere in (False, True):
            group = [peer.address for peer in peers if (peer.zone != self._zone) is is_elsewhere]
            group.sort(key=lambda address: (self._turns.get(address, 0), address))
            first = [address for address in group if address in sources][:1]
            others = [address for address in group if address not in first]
            stage = [*first, *others][:PEERS_PER_STAGE]
            self._turns.update(zip(stage, self._next_turn, strict=False))
            yield stage


class RelayState:
    """The answers of peers since the reads of this instance began to fail."""

    def __init__(self) -> None:
        self._fresh_at: dict[str, float] = {}
        self._silent: set[str] = set()
        self._silent_elsewhere: set[str] = set()
        """Silent peers of other zones since the last answer from another zone."""

    def on_view(self, address: str, fresh_at: float, is_elsewhere: bool = False) -> None:
        """Notes the time at which a peer's view was known to be complete, on this clock.

        :param is_elsewhere: The peer is in another zone.
        """
        self._note_answer(is_elsewhere)
        self._fresh_at[address] = max(fresh_at, self._fresh_at.get(address, fresh_at))

    def on_other_answer(self, address: str, is_elsewhere: bool = False) -> None:
        """Notes that a peer answered without a usable view."""
        self._note_answer(is_elsewhere)
        self._fresh_at.pop(address, None)

    def on_silence(self, address: str, is_elsewhere: bool = False) -> None:
        """Notes that a peer gave no answer."""
        self._silent.add(address)
        if is_elsewhere:
            self._silent_elsewhere.add(address)
        self._fresh_at.pop(address, None)

    def _note_answer(self, is_elsewhere: bool) -> None:
        self._silent.clear()
        if is_elsewhere:
            self._silent_elsewhere.clear()

    def is_isolated(self, peers: int) -> bool:
        """Whether no peer answers: a round's worth of peers were silent since the last answer.

        :param peers: Number of known peers. Without any, nothing shows that another instance could
            serve the caller.
        """
        return 0 < min(peers, PEERS_PER_ROUND) <= len(self._silent)

    def is_zone_cut_off(self, peers_elsewhere: int) -> bool:
        """Whether no peer of another zone answers, so that the whole zone may be cut off.

        :param peers_elsewhere: Number of known peers in other zones.
        """
        wanted = min(peers_elsewhere, 2 * PEERS_PER_STAGE)
        return 0 < wanted <= len(self._silent_elsewhere)

    def best_source(self, now: float, avoided: str | None = None) -> str | None:
        """Returns the peer with the youngest view, None if no view is fresh.

        :param avoided: Peer that is chosen only if there is no other.
        """
        fresh = [(a != avoided, self._fresh_at[a], a) for a in self.sources(now)]
        return max(fresh)[2] if fresh else None

    def sources(self, now: float) -> list[str]:
        """Returns the peers with a fresh view."""
        fresh = self._fresh_at.copy().items()
        return [address for address, at in fresh if now - at <= MAX_SOURCE_AGE_S]
