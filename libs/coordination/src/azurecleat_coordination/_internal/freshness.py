"""Proof that this instance knows all withdrawn keys.

Work that is authenticated by a key is admitted only while one of these proofs holds and is no
older than the freshness bound:

- ``LOG``: this instance read the log up to its tail.
- ``RELAY``: a peer reported such a read of its own, and this instance has the peer's
  configuration.
- ``PEERS``: every other member of the roster either vouches for this instance or has stopped (its
  host refused the connection), and no answer shows a withdrawal, configuration or roster that is
  unknown here.

``PEERS`` keeps admission going while the log is down for all instances. It is safe because a
withdrawal takes effect only when every member has confirmed it or has lost its own proof: each
member that answers would report a withdrawal that this instance does not know.
"""

from __future__ import annotations

import threading
from enum import Enum
from typing import NamedTuple

from azurecleat_model import Clock

from azurecleat_coordination._internal.lease import CLOCK_RATE_SKEW


class Proof(str, Enum):
    """What proves that the configuration is fresh."""

    LOG = "log"
    RELAY = "relay"
    PEERS = "peers"
    NONE = "none"


class PeerStatus(NamedTuple):
    """A member's answer to a status query.

    ``log_age_s`` is the number of seconds since the member sent its last read that reached the
    tail of the log, or negative if there was none. ``configuration_at`` and ``roster_at`` are log
    offsets of the last changes, ``pending`` the withdrawn keys that are not in the log yet.
    ``vouches`` is False if the member is evicting the querying instance or does not know its
    incarnation.
    """

    instance: str
    incarnation: str
    log_age_s: float
    configuration_at: int
    roster_at: int
    pending: tuple[str, ...]
    vouches: bool


class LocalState(NamedTuple):
    """What this instance knows; status answers of peers are compared with it.

    ``reached_tail_at`` is the monotonic send time of its last read that reached the log's tail.
    """

    members: frozenset[str]
    configuration_at: int
    roster_at: int
    pending: frozenset[str]
    reached_tail_at: float | None


class _ReceivedStatus(NamedTuple):
    sent_at: float
    status: PeerStatus


class Freshness:
    """Keeps the status answers of peers and decides whether the configuration is fresh.

    :param instance: Name of this instance.
    :param clock: Monotonic clock.
    :param bound_s: Seconds after which a withdrawn key must no longer work.
    :param read_lag_s: Largest lag in seconds of the log's replicas behind an append.
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
        """Records the answer to a status query sent at ``sent_at``."""
        with self._lock:
            self._stopped_at.pop(status.instance, None)
            previous = self._received.get(status.instance)
            if previous is None or previous.sent_at <= sent_at:
                self._received[status.instance] = _ReceivedStatus(sent_at, status)

    def on_stopped(self, instance: str, sent_at: float) -> None:
        """Records that a member has stopped: its host refused the connection for a query.

        :param sent_at: Monotonic time at which the query was sent.
        """
        with self._lock:
            self._stopped_at[instance] = sent_at
            self._received.pop(instance, None)

    def proof(self, local_state: LocalState) -> Proof:
        """Returns the proof that the local configuration is fresh, or ``Proof.NONE``."""
        now = self._clock.monotonic()
        if self._is_recent(local_state.reached_tail_at, now, self._read_lag_s):
            return Proof.LOG
        with self._lock:
            if any(self._relays(answer, local_state, now) for answer in self._received.values()):
                return Proof.RELAY
            others = local_state.members - {self._instance}
            # Without peers, a log outage cannot be told from a network partition of this instance.
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
