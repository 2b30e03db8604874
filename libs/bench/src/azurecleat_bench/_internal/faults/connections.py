"""Connections between named endpoints that can be cut, stalled, or lose responses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from azurecleat_coordination import ReadResult
from azurecleat_fakes import MemoryInstanceList, MemoryLog
from azurecleat_model import ManualClock
from azurecleat_model.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    NotRunError,
    OutcomeUnknownError,
    PeerAnswerLostError,
    PeerNotSentError,
)
from azurecleat_peers import ConnectionRefusedByHostError
from azurecleat_peers.messages import Envelope, Message, decode, encode
from azurecleat_platform import ControlReply, ControlRequest, Target

LOG = "log"


class NetworkCuts:
    """One-way network cuts between named endpoints."""

    def __init__(self) -> None:
        self._cut: set[tuple[str, str]] = set()

    def cut(self, source: str, destination: str) -> None:
        """Drops everything that is sent from ``source`` to ``destination``."""
        self._cut.add((source, destination))

    def heal(self) -> None:
        """Removes all cuts."""
        self._cut.clear()

    def passes(self, source: str, destination: str) -> bool:
        """Returns whether messages pass in this direction."""
        return (source, destination) not in self._cut


class DelayedAppends:
    """Delivers appends to the log after their writers have timed out.

    :param log: Log to which the entries are appended.
    """

    def __init__(self, log: MemoryLog, clock: ManualClock) -> None:
        self._log = log
        self._clock = clock
        self._in_flight: list[tuple[float, bytes]] = []
        self.delay_s = 0.0

    def send(self, data: bytes) -> None:
        """Schedules an entry to be appended after ``delay_s``."""
        self._in_flight.append((self._clock.monotonic() + self.delay_s, data))

    def deliver(self) -> None:
        """Appends the entries that are due; they stay scheduled while the log is down."""
        now = self._clock.monotonic()
        arrived = [entry for entry in self._in_flight if entry[0] <= now]
        for entry in arrived:
            try:
                self._log.append(entry[1])
            except LogUnavailableError:
                return
            except AppendUnknownError:
                pass
            self._in_flight.remove(entry)


class UnreliableLog:
    """The log as seen by one instance, through the network cuts.

    :param name: Name of the instance.
    :param delayed_appends: Receives the appends while its ``delay_s`` is not 0.
    """

    def __init__(
        self, log: MemoryLog, name: str, cuts: NetworkCuts, delayed_appends: DelayedAppends
    ) -> None:
        self._delayed_appends = delayed_appends
        self._log = log
        self._name = name
        self._cuts = cuts

    def append(self, data: bytes) -> int:
        """Appends one entry and returns its offset.

        :raises LogUnavailableError: The connection to the log is cut or the log is down; the append
            did not take effect.
        :raises AppendUnknownError: The response is late or lost.
        """
        if not self._cuts.passes(self._name, LOG):
            raise LogUnavailableError("cut", step="log.append")
        if self._delayed_appends.delay_s:
            self._delayed_appends.send(data)
            raise AppendUnknownError("append delayed beyond the timeout", step="log.append")
        offset = self._log.append(data)
        if not self._cuts.passes(LOG, self._name):
            raise AppendUnknownError("response cut", step="log.append")
        return offset

    def read(self, offset: int, limit: int) -> ReadResult:
        """Returns up to ``limit`` entries, starting at ``offset``."""
        self._check()
        return self._log.read(offset, limit)

    def first_offset(self) -> int:
        """Returns the offset of the oldest entry that the log keeps."""
        self._check()
        return self._log.first_offset()

    def _check(self) -> None:
        if not (self._cuts.passes(self._name, LOG) and self._cuts.passes(LOG, self._name)):
            raise LogUnavailableError("cut", step="log.read")


class UnreliableInstanceList:
    """The instance list as seen by one instance, through the network cuts."""

    def __init__(self, instances: MemoryInstanceList, name: str, cuts: NetworkCuts) -> None:
        self._instances = instances
        self._name = name
        self._cuts = cuts

    def targets(self) -> list[Target]:
        """Returns the targets that are currently listed."""
        if not self._cuts.passes(self._name, LOG):
            raise LogUnavailableError("cut", step="list.read")
        return self._instances.targets()


class UnreliableTarget:
    """A target as seen by one instance, through the network cuts.

    :param stall: Called between the instance's last check and the send; may pause the instance.
    """

    def __init__(
        self, target: Any, name: str, cuts: NetworkCuts, stall: Callable[[str], None]
    ) -> None:
        self._target = target
        self._name = name
        self._cuts = cuts
        self._stall = stall

    def control(self, request: ControlRequest) -> ControlReply:
        """Sends one control request and returns the reply."""
        self._stall(self._name)
        self._check_request_path("control")
        reply = self._target.control(request)
        self._check_reply_path("control")
        return reply

    def run(self, request_id: str, epoch: int, body: bytes, timeout_s: float) -> bytes:
        """Runs one request and returns its response."""
        self._stall(self._name)
        self._check_request_path("run")
        answer = self._target.run(request_id, epoch, body, timeout_s)
        self._check_reply_path("run")
        return answer

    def close(self) -> None:
        """Does nothing: there is no connection."""

    def _check_request_path(self, step: str) -> None:
        if not self._cuts.passes(self._name, self._target.target.name):
            raise NotRunError("cut", step=step, peer=self._target.target.name)

    def _check_reply_path(self, step: str) -> None:
        if not self._cuts.passes(self._target.target.name, self._name):
            raise OutcomeUnknownError("response cut", step=step, peer=self._target.target.name)


class LocalNetwork:
    """Calls to peers in the same process; messages pass through the real encoding.

    :param name: Name of the calling instance.
    :param find: Returns the node of a live instance by its name, ``None`` for a dead one.
    """

    def __init__(
        self, name: str, cuts: NetworkCuts, find: Callable[[str], Any], clock: ManualClock
    ) -> None:
        self._clock = clock
        self._name = name
        self._cuts = cuts
        self._find = find

    def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Sends a message and returns the answer.

        :raises PeerNotSentError: The connection to the peer is cut.
        :raises ConnectionRefusedByHostError: The peer's process is dead.
        :raises PeerAnswerLostError: The peer is paused, or the connection back is cut.
        """
        if not self._cuts.passes(self._name, address):
            raise PeerNotSentError("cut", step="peer.connect", peer=address)
        node = self._find(address)
        if node is None:
            raise ConnectionRefusedByHostError("refused", step="peer.connect", peer=address)
        if node.is_paused(self._clock.monotonic()):
            raise PeerAnswerLostError("paused", step="peer.receive", peer=address)
        arrived = decode(encode(Envelope(1, message))).message
        answer = node.components.handle(arrived)
        if not self._cuts.passes(address, self._name):
            raise PeerAnswerLostError("response cut", step="peer.receive", peer=address)
        return decode(encode(Envelope(1, answer))).message

    def forget(self, address: str) -> None:
        """Does nothing: there is no connection."""
