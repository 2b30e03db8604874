"""Proof that no key was withdrawn, anywhere, that this instance does not know of.

Keyed work may be admitted only while one of these holds, each no older than the bound:

- ``LOG``: a read of the log reached its tail.
- ``RELAY``: a peer answered that its own read did, and its configuration is held here.
- ``PEERS``: every member of the roster answered that it vouches for this instance, or its
  process is proven gone; nobody knows of a withdrawal or configuration unknown here.

``PEERS`` serves a log-wide outage. It is safe because a withdrawal is in force only when every
member confirmed it or its proof ran out: each member asked is a member that would have to tell.
"""

from __future__ import annotations

import threading
from enum import Enum
from typing import NamedTuple

from azurecleat_model import Clock

from azurecleat_coordination._internal.lease import CLOCK_RATE_SKEW


class Proof(str, Enum):
    """What a fresh configuration is proved by."""

    LOG = "log"
    RELAY = "relay"
    PEERS = "peers"
    NONE = "none"


class PeerStatus(NamedTuple):
    """A member's answer to a status query.

    ``log_age_s`` is the seconds since the send time of its last read that reached the tail, or a
    negative number if there was none. ``vouches`` is False while it evicts the asker, and before
    it knows the asker's incarnation.
    """

    instance: str
    incarnation: str
    log_age_s: float
    configuration_at: int
    roster_at: int
    pending: tuple[str, ...]
    vouches: bool


class LocalState(NamedTuple):
    """What this instance knows, to compare peers' answers with."""

    members: frozenset[str]
    configuration_at: int
    roster_at: int
    pending: frozenset[str]
    reached_tail_at: float | None


class _ReceivedStatus(NamedTuple):
    sent_at: float
    status: PeerStatus


class Freshness:
    """Keeps peers' answers and decides whether keyed work may be admitted.

    :param instance: Name of this instance.
    :param clock: Monotonic clock.
    :param bound_s: Seconds within which a withdrawn key has to stop working.
    :param read_lag_s: Largest lag of the log's replicas behind its appends, in seconds.
    """

    def __init__(self, instance: str, clock: Clock, bound_s: float, read_lag_s: float) -> None:
        self._instance = instance
        self._clock = clock
        self._bound_s = bound_s * (1 - CLOCK_RATE_SKEW)
        self._read_lag_s = read_lag_s
        self._received: dict[str, _ReceivedStatus] = {}
        self._stopped_at: dict[str, float] = {}
        self._lock = threading.Lock()

    def on_status(self, sent_at: float, status: PeerStatus) -> None:
        """Records an answer to a query sent at ``sent_at``."""
        with self._lock:
            self._stopped_at.pop(status.instance, None)
            previous = self._received.get(status.instance)
            if previous is None or previous.sent_at <= sent_at:
                self._received[status.instance] = _ReceivedStatus(sent_at, status)

    def on_stopped(self, instance: str, sent_at: float) -> None:
        """Records that a member's host refused a connection, or that it said goodbye."""
        with self._lock:
            self._stopped_at[instance] = sent_at
            self._received.pop(instance, None)

    def proof(self, local_state: LocalState) -> Proof:
        """Returns what proves that the configuration known here is fresh, if anything does."""
        now = self._clock.monotonic()
        if self._is_recent(local_state.reached_tail_at, now, self._read_lag_s):
            return Proof.LOG
        with self._lock:
            if any(self._relays(answer, local_state, now) for answer in self._received.values()):
                return Proof.RELAY
            others = local_state.members - {self._instance}
            # Without peers nobody can tell whether the log is down or this instance is cut off.
            if others and all(self._is_vouched_for(name, local_state, now) for name in others):
                return Proof.PEERS
        return Proof.NONE

    def _relays(self, answer: _ReceivedStatus, local_state: LocalState, now: float) -> bool:
        status = answer.status
        if status.log_age_s < 0 or not self._is_known_here(status, local_state):
            return False
        read_at = answer.sent_at - status.log_age_s * (1 + CLOCK_RATE_SKEW)
        return self._is_recent(read_at, now, self._read_lag_s)

    def _is_vouched_for(self, name: str, local_state: LocalState, now: float) -> bool:
        if self._is_recent(self._stopped_at.get(name), now):
            return True
        answer = self._received.get(name)
        if answer is None or not self._is_recent(answer.sent_at, now):
            return False
        return answer.status.vouches and self._is_known_here(answer.status, local_state)

    def _is_known_here(self, status: PeerStatus, local_state: LocalState) -> bool:
        return (
            status.configuration_at <= local_state.configuration_at
            and status.roster_at <= local_state.roster_at
            and local_state.pending.issuperset(status.pending)
        )

    def _is_recent(self, at: float | None, now: float, lag_s: float = 0.0) -> bool:
        return at is not None and now - at <= self._bound_s - lag_s
