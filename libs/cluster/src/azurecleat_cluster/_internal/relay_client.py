"""Requests of an instance without the log to its peers, and the service that answers them."""

from __future__ import annotations

import math
import secrets
import threading
from collections.abc import Callable, Sequence
from typing import Any

from azurecleat_base import Clock
from azurecleat_base.exceptions import AzurecleatError, PeerNotSentError

from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.exceptions import PeerStatusError
from azurecleat_cluster._internal.front.append_outcome import AppendOutcome
from azurecleat_cluster._internal.front.relay import (
    DECODE_ERRORS,
    RelayedConfiguration,
    RelayedValue,
    RelayPeers,
    decode_configuration,
    decode_pending,
    decode_state,
    encode_configuration,
)
from azurecleat_cluster._internal.front.relay_state import PeerAddress
from azurecleat_cluster._internal.peers import (
    APPEND_ID_BYTES,
    BackOff,
    Peer,
    decode_append_outcome,
)
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica

CONNECT_TIMEOUT_S = 0.1
"""Time limit for a connection. Together with ``ANSWER_TIMEOUT_S`` it is what a request to a peer
may add to the answer to a caller."""

ANSWER_TIMEOUT_S = 0.3
MIN_ANSWER_TIMEOUT_S = 0.01


class RelayClient(RelayPeers):
    """Sends the relay's requests over connections of its own, with short time limits.

    :param backoff: Peers without an answer, shared with the other clients of this instance.
    :param batcher_address: Returns the address of the batching instance.
    """

    def __init__(
        self,
        own_address: str,
        replica: JobReplica,
        backoff: BackOff,
        batcher_address: Callable[[], str | None],
        clock: Clock,
    ) -> None:
        self._own_address = own_address
        self._replica = replica
        self._backoff = backoff
        self._batcher_address = batcher_address
        self._clock = clock
        self._lock = threading.Lock()
        self._peers: dict[str, Peer] = {}

    def known(self) -> Sequence[PeerAddress]:
        zones = self._replica.zones
        return [
            PeerAddress(entry.address, zones.get(node, ""))
            for node, entry in self._replica.instances.items()
            if entry.address != self._own_address
        ]

    def is_backing_off(self, address: str) -> bool:
        return self._backoff.is_on(address)

    def batcher_address(self) -> str | None:
        return self._batcher_address()

    def configuration(self, address: str, version: int) -> RelayedConfiguration:
        return decode_configuration(self._request(address, "configuration", {"version": version}))

    def state(self, address: str, job: str) -> RelayedValue:
        return decode_state(self._request(address, "replica-state", {"job": job}))

    def pending(self, address: str, queue: str) -> RelayedValue:
        return decode_pending(self._request(address, "replica-pending", {"queue": queue}))

    def append(self, address: str, key: str, value: bytes, timeout_s: float) -> AppendOutcome:
        deadline = self._clock.monotonic() + timeout_s
        fields = {"key": key, "id": secrets.token_hex(APPEND_ID_BYTES)}
        left_s = self._answer_timeout_s(deadline)
        try:
            answer = self._request(address, "append", fields | {"value": value.decode()}, left_s)
            outcome = decode_append_outcome(answer, fields["id"])
        except PeerNotSentError:
            return AppendOutcome.NOT_SENT
        except (AzurecleatError, *DECODE_ERRORS):
            return AppendOutcome.UNKNOWN
        if outcome is not AppendOutcome.QUEUED:
            return outcome
        # The peer may have sent the record to the log: from here on, no answer means "unknown". It
        # is no sign of a lost peer either, which holds back its answer while the log is slow.
        left_s = self._answer_timeout_s(deadline)
        try:
            answer = self._peer(address).request("appended", fields, left_s)
            outcome = decode_append_outcome(answer, fields["id"])
        except (AzurecleatError, *DECODE_ERRORS):
            return AppendOutcome.UNKNOWN
        return AppendOutcome.UNKNOWN if outcome is AppendOutcome.QUEUED else outcome

    def _answer_timeout_s(self, deadline: float) -> float:
        left_s = deadline - self._clock.monotonic() - CONNECT_TIMEOUT_S
        return min(max(left_s, MIN_ANSWER_TIMEOUT_S), ANSWER_TIMEOUT_S)

    def _peer(self, address: str) -> Peer:
        with self._lock:
            peer = self._peers.get(address)
            if peer is None:
                peer = self._peers[address] = Peer(address, CONNECT_TIMEOUT_S)
            return peer

    def _request(
        self,
        address: str,
        operation: str,
        fields: dict[str, Any],
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> dict[str, Any]:
        try:
            return self._peer(address).request(operation, fields, timeout_s)
        except PeerStatusError:
            raise  # A peer of an earlier version is alive and may batch appends.
        except AzurecleatError:
            self._backoff.start(address)
            raise


class RelayService:
    """Answers peers without the log from what this instance itself has read from the log.

    :param is_owner: Whether this instance owns the jobs. The owner writes the progress stream, so
        that its replica of that stream is complete without reads.
    """

    def __init__(
        self,
        view: ConfigurationView,
        config_follower: Follower,
        replica: JobReplica,
        jobs_follower: Follower,
        progress_follower: Follower,
        is_owner: Callable[[], bool],
    ) -> None:
        self._view = view
        self._config_follower = config_follower
        self._replica = replica
        self._jobs_follower = jobs_follower
        self._progress_follower = progress_follower
        self._is_owner = is_owner

    def configuration(self, version: int) -> dict[str, Any] | None:
        """Returns the newest configuration and the age of this instance's direct view.

        :param version: The record is left out unless it is newer.
        """
        # The age must be read first: a version that arrives in between is younger than the age.
        age_s = self._config_follower.age()
        newest = self._view.newest
        if newest is None or not math.isfinite(age_s):
            return None
        own_version, record = newest
        answer = RelayedConfiguration(own_version, age_s, record if own_version > version else None)
        return encode_configuration(answer)

    def state(self, job: str) -> dict[str, Any] | None:
        age_s = self._replica_age()
        if age_s is None:
            return None
        state = self._replica.state(job)
        return {"state": state.value if state else "", "age_s": age_s}

    def pending(self, queue: str) -> dict[str, Any] | None:
        age_s = self._replica_age()
        return None if age_s is None else {"count": self._replica.pending(queue), "age_s": age_s}

    def _replica_age(self) -> float | None:
        """Returns the age of the replica, None if it was never complete."""
        age_s = self._jobs_follower.age()
        if not self._is_owner():
            age_s = max(age_s, self._progress_follower.age())
        return age_s if math.isfinite(age_s) else None
