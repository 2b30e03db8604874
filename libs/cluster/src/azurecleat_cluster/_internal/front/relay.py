"""Serves callers through other instances while this instance cannot read the log."""

from __future__ import annotations

import math
import threading
from collections.abc import Mapping, Sequence
from concurrent.futures import Executor, ThreadPoolExecutor
from itertools import repeat
from typing import Any, NamedTuple, Protocol

from azurecleat_base import Clock
from azurecleat_base.exceptions import AzurecleatError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.exceptions import PeerStatusError
from azurecleat_cluster._internal.front.append_outcome import AppendOutcome
from azurecleat_cluster._internal.front.relay_state import (
    MAX_SOURCE_AGE_S,
    PEERS_PER_STAGE,
    PeerAddress,
    PeerRotation,
    RelayState,
)
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.ports import LogRecord
from azurecleat_cluster._internal.replica.follower import NEVER, Follower
from azurecleat_cluster._internal.values import JobState

ROUND_PAUSE_S = 0.3
"""Pause between two rounds of requests for the configuration."""

YOUNG_AGE_S = 1.65
"""Age of the relayed view up to which peers of other zones are not asked: keys may be denied with
it, and the view of most peers that reach the log is younger."""

MAX_EXTRA_S = 0.4
"""Time that a request to a peer may add to the answer to a caller."""

MIN_EXTRA_S = 0.05
"""A record is not sent to a peer with less than this left of the caller's time."""

MAX_RELAYED_JOBS_AGE_S = 2.5
"""Age of a peer's replica beyond which its states and counts are not used, as for the own one."""

MIN_LINE_GAP_S = 1.0
"""Minimum time between two lines of the log about the relay."""

DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
"""Exceptions that decoding a malformed answer of a peer may raise."""


class RelayedConfiguration(NamedTuple):
    """A peer's newest configuration.

    :param age_s: Age of the peer's view, as the peer itself read it from the log.
    :param record: The record; None if its version is not newer than the one in the request.
    """

    version: int
    age_s: float
    record: LogRecord | None


class RelayedValue(NamedTuple):
    """A state or a count from a peer's replica, and the age of the replica."""

    value: Any
    age_s: float


class RelayPeers(Protocol):
    """Requests to other instances.

    Each of them raises :class:`PeerStatusError` if the peer answered that it does not serve the
    request, another :class:`AzurecleatError` without an answer, or one of ``DECODE_ERRORS``.
    """

    def known(self) -> Sequence[PeerAddress]:
        """Returns all other instances, reachable or not."""

    def is_backing_off(self, address: str) -> bool:
        """Whether a peer gave no answer shortly before, so that no request is sent to it."""

    def batcher_address(self) -> str | None:
        """Returns the address of the instance that batches appends for all instances."""

    def configuration(self, address: str, version: int) -> RelayedConfiguration:
        """Requests the newest configuration, with its record if it is newer than a version."""

    def state(self, address: str, job: str) -> RelayedValue:
        """Requests a job's state. The value is None if the replica does not know the job."""

    def pending(self, address: str, queue: str) -> RelayedValue:
        """Requests the number of a queue's jobs that have not begun."""

    def append(self, address: str, key: str, value: bytes, timeout_s: float) -> AppendOutcome:
        """Appends a record through a peer. Raises nothing; never returns ``QUEUED``."""


class Relay:
    """Service through other instances. This base class provides none.

    :param follower: Reads the configuration stream for this instance.
    """

    def __init__(self, follower: Follower) -> None:
        self._follower = follower

    @property
    def is_isolated(self) -> bool:
        """Whether only this instance is cut off: it reaches neither the log nor any peer."""
        return False

    @property
    def is_removed_by_balancer(self) -> bool:
        """Whether the balancer sends new connections elsewhere, as the instance's zone is cut off.

        An instance that cannot reach the log is not ready. In an outage of the log itself no other
        instance serves either, so the callers of such an instance are not sent away.
        """
        return False

    @property
    def is_log_lost(self) -> bool:
        """Whether callers should not wait for this instance's own reads of the log."""
        return False

    def age(self) -> float:
        """Returns the age of the configuration by this instance's reads or by those of peers."""
        return self._follower.age()

    def append(self, key: str, value: bytes, left_s: float) -> AppendOutcome:
        """Appends a record through one peer with a fresh view, in at most ``MAX_EXTRA_S``.

        :param left_s: What is left of the caller's time.
        """
        return AppendOutcome.NOT_SENT

    def state(self, job: str) -> RelayedValue | None:
        """Returns a job's state from one peer's fresh replica; None if there is none.

        The value is None if the replica does not know the job.
        """
        return None

    def pending(self, queue: str) -> int | None:
        """Returns a count from one peer's fresh replica; None if there is none."""
        return None

    def wake(self) -> None:
        """Reports that a read of this instance failed."""

    def run(self, stopping: threading.Event) -> None:
        """Requests the configuration from peers while reads of this instance fail."""


class PeerRelay(Relay):
    """Keeps the configuration fresh through peers, and forwards requests to one of them.

    :param balancer_removal_s: Time after which the balancer sends no new connections to an instance
        that is not ready.
    """

    def __init__(
        self,
        zone: str,
        view: ConfigurationView,
        follower: Follower,
        peers: RelayPeers,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        balancer_removal_s: float = math.inf,
    ) -> None:
        super().__init__(follower)
        self._view = view
        self._peers = peers
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._zone = zone
        self._rotation = PeerRotation(zone)
        self._balancer_removal_s = balancer_removal_s
        self._began_at = NEVER
        self._is_zone_cut_off = False
        self._state: RelayState | None = None
        """None while the reads of this instance work."""
        self._lock = threading.Lock()
        self._fresh_at = NEVER
        self._is_isolated = False
        self._wake = threading.Event()
        self._report = _Report(events, clock)

    @property
    def is_isolated(self) -> bool:
        return self._is_isolated and self._follower.is_failing

    @property
    def is_removed_by_balancer(self) -> bool:
        failing_s = self._clock.monotonic() - self._began_at
        is_removed_by_balancer = self._is_zone_cut_off and failing_s >= self._balancer_removal_s
        return is_removed_by_balancer and self._follower.is_failing

    @property
    def is_log_lost(self) -> bool:
        return self._follower.is_log_lost

    def age(self) -> float:
        return self._clock.monotonic() - max(self._follower.fresh_at, self._fresh_at)

    def wake(self) -> None:
        self._wake.set()

    def run(self, stopping: threading.Event) -> None:
        while not stopping.is_set():
            if not self._follower.is_failing:
                self._wake.wait()
                self._wake.clear()
                continue
            try:
                with ThreadPoolExecutor(PEERS_PER_STAGE, "relay") as executor:
                    self._relay(executor, stopping)
            except Exception as error:  # A bug must not end the relay for good.
                self._events.write(eventlog.COMPONENT_FAILED, component="relay", error=repr(error))
                stopping.wait(ROUND_PAUSE_S)

    def append(self, key: str, value: bytes, left_s: float) -> AppendOutcome:
        timeout_s = min(left_s, MAX_EXTRA_S)
        address = self._source(self._peers.batcher_address())
        if address is None or timeout_s < MIN_EXTRA_S:
            return AppendOutcome.NOT_SENT
        outcome = self._peers.append(address, key, value, timeout_s)
        self._metrics.relayed_calls.labels("append", outcome.value).inc()
        return outcome

    def state(self, job: str) -> RelayedValue | None:
        return self._look_up("state", job)

    def pending(self, queue: str) -> int | None:
        answer = self._look_up("pending", queue)
        return None if answer is None else answer.value

    def _look_up(self, call: str, name: str) -> RelayedValue | None:
        """Requests a state or a count from one peer; None unless its replica is fresh."""
        address = self._source()
        if address is None:
            return None
        sent_at = self._clock.monotonic()
        request = self._peers.state if call == "state" else self._peers.pending
        try:
            answer = request(address, name)
        except (AzurecleatError, *DECODE_ERRORS):
            self._metrics.relayed_calls.labels(call, "no answer").inc()
            return None
        age_s = answer.age_s + self._clock.monotonic() - sent_at
        is_fresh = age_s <= MAX_RELAYED_JOBS_AGE_S
        self._metrics.relayed_calls.labels(call, "done" if is_fresh else "stale").inc()
        return answer._replace(age_s=age_s) if is_fresh else None

    def _source(self, avoided: str | None = None) -> str | None:
        """Returns the peer with the youngest view, None if there is none or reads work."""
        with self._lock:
            if self._state is None or not self._follower.is_failing:
                return None
            address = self._state.best_source(self._clock.monotonic(), avoided)
        if address is None or self._peers.is_backing_off(address):
            return None
        return address

    def _relay(self, executor: Executor, stopping: threading.Event) -> None:
        """Makes rounds of requests until the reads of this instance work again."""
        self.begin()
        try:
            while self._follower.is_failing and not stopping.is_set():
                self.make_round(executor)
                stopping.wait(ROUND_PAUSE_S)
        finally:
            self.end()

    def begin(self) -> None:
        """Begins to keep the answers of peers."""
        with self._lock:
            self._state = RelayState()
            self._began_at = self._clock.monotonic()
        self._metrics.relaying.set(1)
        self._report.begin(self._follower.age(), len(self._peers.known()))

    def end(self) -> None:
        """Forgets the answers of peers: the reads of this instance work."""
        with self._lock:
            self._state = None
            self._is_isolated = self._is_zone_cut_off = False
        self._metrics.relaying.set(0)
        self._metrics.isolated.set(0)
        self._report.end()

    def make_round(self, executor: Executor) -> None:
        """Requests the configuration from peers of this zone and, if it is stale, of others."""
        known = self._peers.known()
        usable = [peer for peer in known if not self._peers.is_backing_off(peer.address)]
        with self._lock:
            sources = self._state.sources(self._clock.monotonic())
        for is_elsewhere, stage in enumerate(self._rotation.choose(usable, sources)):
            list(executor.map(self._request_configuration, stage, repeat(is_elsewhere)))
            if self.age() <= YOUNG_AGE_S:
                break
        elsewhere = sum(peer.zone != self._zone for peer in known)
        with self._lock:
            self._is_isolated = self._state.is_isolated(len(known))
            self._is_zone_cut_off = self._state.is_zone_cut_off(elsewhere)
        self._metrics.isolated.set(int(self._is_isolated))
        self._report.round_done(self._describe(), self._view.version, self.age())

    def _describe(self) -> str:
        if self._is_isolated:
            return "no peer answers"
        return "fresh" if self.age() <= MAX_SOURCE_AGE_S else "peers out of date"

    def _request_configuration(self, address: str, is_elsewhere: bool) -> None:
        """Requests the configuration from one peer and applies the answer.

        :param is_elsewhere: The peer is in another zone.
        """
        # The answer's way and any pause of the peer or of this instance count into the age.
        sent_at = self._clock.monotonic()
        try:
            answer = self._peers.configuration(address, self._view.version)
            result = self._apply(address, answer, sent_at, is_elsewhere)
        except (PeerStatusError, *DECODE_ERRORS):
            result = "refused"
            with self._lock:
                self._state.on_other_answer(address, is_elsewhere)
        except AzurecleatError:
            result = "no answer"
            with self._lock:
                self._state.on_silence(address, is_elsewhere)
        self._metrics.relay_requests.labels(result).inc()

    def _apply(
        self, address: str, answer: RelayedConfiguration, sent_at: float, is_elsewhere: bool
    ) -> str:
        """Applies a peer's configuration and its age. Returns the result for the metrics."""
        if answer.record is not None:
            self._view.apply(answer.record)
        fresh_at = sent_at - answer.age_s
        with self._lock:
            if self._view.version > answer.version:
                # The peer has not read the version that this instance has, whatever its age.
                self._state.on_other_answer(address, is_elsewhere)
                return "older"
            if self._view.version < answer.version:
                self._state.on_other_answer(
                    address, is_elsewhere
                )  # This instance cannot decode the record.
                return "unreadable"
            self._state.on_view(address, fresh_at, is_elsewhere)
            self._fresh_at = max(self._fresh_at, fresh_at)
        return "fresh" if answer.age_s <= MAX_SOURCE_AGE_S else "stale"


class _Report:
    """Log lines about the relay, one for each change of its state, at a bounded rate."""

    def __init__(self, events: EventLog, clock: Clock) -> None:
        self._events = events
        self._clock = clock
        self._began_at = NEVER
        self._written_at = NEVER
        self._is_begun = False
        self._state = ""

    def begin(self, age_s: float, peers: int) -> None:
        self._began_at = self._clock.monotonic()
        self._state = ""
        self._is_begun = self._began_at - self._written_at >= MIN_LINE_GAP_S
        if self._is_begun:
            self._written_at = self._began_at
            self._events.write(eventlog.RELAY_BEGUN, age_s=_rounded(age_s), peers=peers)

    def round_done(self, state: str, version: int, age_s: float) -> None:
        now = self._clock.monotonic()
        is_due = self._state == "" or now - self._written_at >= MIN_LINE_GAP_S
        if state == self._state or not self._is_begun or not is_due:
            return
        self._state, self._written_at = state, now
        self._events.write(eventlog.RELAY_STATE, state=state, config=version, age_s=_rounded(age_s))

    def end(self) -> None:
        if self._is_begun:
            after_s = self._clock.monotonic() - self._began_at
            self._events.write(eventlog.RELAY_ENDED, after_s=round(after_s, 3))


def encode_configuration(answer: RelayedConfiguration) -> dict[str, Any]:
    """Encodes a configuration as the answer to a request for it."""
    record = answer.record
    encoded = None
    if record is not None and record.value is not None:
        value = record.value.decode("utf-8", "surrogateescape")
        encoded = {"key": record.key, "value": value, "offset": record.offset}
    return {"version": answer.version, "age_s": answer.age_s, "record": encoded}


def decode_configuration(answer: Mapping[str, Any]) -> RelayedConfiguration:
    """Decodes an answer. Raises one of ``DECODE_ERRORS`` if it is malformed."""
    record = answer["record"]
    decoded = None
    if record is not None:
        value = record["value"].encode("utf-8", "surrogateescape")
        decoded = LogRecord(str(record["key"]), value, int(record["offset"]))
    return RelayedConfiguration(int(answer["version"]), decode_age(answer["age_s"]), decoded)


def decode_state(answer: Mapping[str, Any]) -> RelayedValue:
    """Decodes a job's state. Raises one of ``DECODE_ERRORS`` if it is malformed."""
    state = JobState(answer["state"]) if answer["state"] else None
    return RelayedValue(state, decode_age(answer["age_s"]))


def decode_pending(answer: Mapping[str, Any]) -> RelayedValue:
    """Decodes a count. Raises one of ``DECODE_ERRORS`` if it is malformed."""
    return RelayedValue(int(answer["count"]), decode_age(answer["age_s"]))


def decode_age(value: Any) -> float:
    """Decodes an age in seconds.

    :raises ValueError: The age is negative or not a number, as with a faulty clock.
    """
    age_s = float(value)
    if not math.isfinite(age_s) or age_s < 0.0:
        raise ValueError(f"age {value!r}")
    return age_s


def _rounded(age_s: float) -> float | None:
    """Returns an age for a log line; None if there was no view at all."""
    return round(age_s, 3) if math.isfinite(age_s) else None
