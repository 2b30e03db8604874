"""Membership in the fleet: joining, heartbeats, evictions, and the proof of fresh keys."""

from __future__ import annotations

import json
import threading
from collections import Counter
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor

from azurecleat_coordination import (
    Appender,
    Freshness,
    LocalState,
    Member,
    PeerStatus,
    Proof,
    Replica,
)
from azurecleat_coordination.records import Join, Leave
from azurecleat_model import Clock
from azurecleat_model.events import ADMISSION_RESUMED, ADMISSION_SUSPENDED, log_event
from azurecleat_model.exceptions import LogError, PeerError
from azurecleat_peers import ConnectionRefusedByHostError, PeerNetwork
from azurecleat_peers.messages import (
    Acknowledged,
    ConfigurationAnswer,
    FetchConfiguration,
    Goodbye,
    Message,
    NewEntriesNotification,
    Status,
    StatusAnswer,
    Withdraw,
)

from azurecleat_daemon._internal.evictions import Evictions
from azurecleat_daemon._internal.metrics import Metrics
from azurecleat_daemon._internal.settings import EntrySettings
from azurecleat_daemon._internal.withdrawals import NotificationResult, Withdrawal, Withdrawals

CALL_TIMEOUT_S = 1.0
JOIN_DEADLINE_S = 30.0
NOTIFICATION_THREADS = 4

MAX_MISSED_POLLS = 2
"""Consecutive polls without an answer after which a member counts as silent."""


class Membership:
    """This instance's membership in the fleet, and what it knows of the other members.

    :param settings: Settings of this instance.
    :param incarnation: Unique id of this process, a new one after each start.
    """

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: str,
        replica: Replica,
        appender: Appender,
        network: PeerNetwork,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._replica = replica
        self._appender = appender
        self._network = network
        self._clock = clock
        self._metrics = metrics
        timing = settings.timing
        self._freshness = Freshness(
            settings.instance, clock, timing.key_bound_s, timing.log_read_lag_s
        )
        self._lock = threading.RLock()
        self._last_answered_at: dict[str, float] = {}
        self._last_polled_at: dict[str, float] = {}
        self._first_seen_at: dict[str, float] = {}
        self._missed_polls: Counter[str] = Counter()
        """Consecutive polls of each member without an answer."""
        self._withdrawals = Withdrawals(replica, appender, clock)
        self._evictions = Evictions(settings.instance, timing.key_bound_s, appender, network, clock)
        self._departed: dict[str, str] = {}
        self._peer_address = ""
        self._joined = False
        self._joining = False
        self._proof = Proof.NONE
        self._acknowledged_by: set[str] = set()
        self._is_known_to_all = False
        self._on_new_entries: Callable[[], None] = _do_nothing
        self._notification_pool = ThreadPoolExecutor(
            NOTIFICATION_THREADS, thread_name_prefix="hint"
        )

    @property
    def incarnation(self) -> str:
        return self._incarnation

    @property
    def pending(self) -> frozenset[str]:
        """Ids of withdrawn keys whose withdrawal is not in the log yet."""
        return self._withdrawals.pending

    @property
    def is_known_to_all(self) -> bool:
        """Whether each member has known this incarnation at some time or has ended.

        This instance accepts keyed work only after that.
        """
        return self._is_known_to_all

    @property
    def last_proof(self) -> Proof:
        return self._proof

    def set_address(self, address: str) -> None:
        """Sets the address at which peers reach this instance."""
        self._peer_address = address

    def members(self) -> dict[str, Member]:
        """Returns the members in the roster, as of the last log entry read."""
        with self._replica.lock:
            return self._replica.fleet.roster.members

    def is_alive(self, instance: str) -> bool:
        """Tells whether an instance answered within the lease time and is not stopping."""
        return self._silence_s(instance) is None

    def _silence_s(self, instance: str) -> float | None:
        """Returns the seconds since a member's last answer, or None if it counts as alive."""
        if instance == self._settings.instance:
            return None
        now = self._clock.monotonic()
        last_answered_at = self._last_answered_at.get(instance)
        if last_answered_at is None:
            last_answered_at = self._first_seen_at.setdefault(instance, now)
        silence_s = now - last_answered_at
        is_alive = silence_s < self._settings.timing.lease_s
        return None if is_alive and instance not in self._departed else silence_s

    def proof(self) -> Proof:
        """Returns the proof that the keys known here are fresh, or ``Proof.NONE``."""
        proof = (
            self._freshness.proof(self._local_state()) if self._check_known_to_all() else Proof.NONE
        )
        if proof is not self._proof:
            self._on_proof_changed(proof)
        return proof

    def step(self) -> None:
        """Joins, polls the members that are due, and advances evictions and withdrawals."""
        self._join()
        members = self.members()
        self._poll_members(members)
        log_is_reachable = self._proof is Proof.LOG
        if log_is_reachable:
            self._evictions.step(members, self._silence_s)
        self._withdrawals.step(log_is_reachable)
        self.proof()

    def handle(self, message: Message) -> Message | None:
        """Answers a message about membership; returns None for other kinds of messages."""
        match message:
            case Status():
                self._departed.pop(message.instance, None)
                return StatusAnswer(self._status(message))
            case Withdraw():
                self._withdrawals.add_pending(message.key_id)
                return Acknowledged()
            case FetchConfiguration():
                with self._replica.lock:
                    dumped = self._replica.fleet.configuration.dump()
                return ConfigurationAnswer(json.dumps(dumped).encode())
            case Goodbye():
                self._on_goodbye(message)
                return Acknowledged()
            case NewEntriesNotification():
                self._on_new_entries()
                return Acknowledged()
            case _:
                return None

    def withdraw(self, key_id: str) -> Withdrawal:
        """Withdraws a key on all instances; see :meth:`Withdrawals.withdraw`."""
        own = self._settings.instance
        others = [member for member in self.members().values() if member.instance != own]
        return self._withdrawals.withdraw(
            key_id, others, self._notify, self._is_known_to_all, self._proof is Proof.LOG
        )

    def set_new_entries_listener(self, listener: Callable[[], None]) -> None:
        """Sets the function to call when a peer notifies of new log entries."""
        self._on_new_entries = listener

    def notify_new_entries(self, zone: str = "") -> None:
        """Notifies all members, or those of one zone, of new log entries.

        This only makes them read the log before their next poll, so no answer is awaited.

        :param zone: Zone of the members to notify; empty for all.
        """
        for member in self.members().values():
            if member.instance != self._settings.instance and zone in ("", member.zone):
                self._notification_pool.submit(self._notify, member, NewEntriesNotification())

    def close(self) -> None:
        """Stops sending notifications."""
        self._notification_pool.shutdown(wait=False, cancel_futures=True)

    def leave(self) -> None:
        """Notifies all peers of the shutdown and leaves the roster."""
        goodbye = Goodbye(self._settings.instance, self._incarnation)
        for member in self.members().values():
            if member.instance != self._settings.instance:
                self._notify(member, goodbye)
        try:
            self._appender.commit(Leave(self._settings.instance, self._incarnation), 1.0)
        except LogError:
            # Peers know of the shutdown. The roster keeps this member until a peer evicts it.
            return

    # Polling members.

    def _poll_members(self, members: Mapping[str, Member]) -> None:
        """Polls the members that are due, the silent ones last and in turn.

        A silent member takes the whole time limit of a call. After one without an answer, the other
        silent ones are left for the next step, so that they do not delay the polls of the others.
        """
        own = self._settings.instance
        due = [
            each for each in members.values() if each.instance != own and self._is_poll_due(each)
        ]
        silent = [each for each in due if self._is_silent(each)]
        for member in due:
            if member not in silent:
                self._poll_member(member)
        for member in sorted(silent, key=lambda each: self._last_polled_at[each.instance]):
            self._poll_member(member)
            if self._is_silent(member):
                break

    def _is_silent(self, member: Member) -> bool:
        return self._missed_polls[member.instance] >= MAX_MISSED_POLLS

    def _is_poll_due(self, member: Member) -> bool:
        last_polled_at = self._last_polled_at.get(member.instance)
        if last_polled_at is None:
            return True
        return self._clock.monotonic() - last_polled_at >= self._poll_period_s(member)

    def _poll_period_s(self, member: Member) -> float:
        timing = self._settings.timing
        # Members of other zones are needed only to prove fresh keys without the log.
        if member.zone == self._settings.zone or self._proof is not Proof.LOG:
            return timing.status_s
        return timing.remote_status_s

    def _poll_member(self, member: Member) -> None:
        sent_at = self._clock.monotonic()
        self._last_polled_at[member.instance] = sent_at
        query = Status(self._settings.instance, self._incarnation)
        try:
            answer = self._network.call(member.address, query, CALL_TIMEOUT_S)
        except ConnectionRefusedByHostError:
            self._metrics.retries.labels("peer.status", "refused").inc()
            self._freshness.on_stopped(member.instance, sent_at)
            # A process that has ended need not know this instance.
            self._acknowledged_by.add(member.instance)
            self._missed_polls.pop(member.instance, None)
            return
        except PeerError:
            self._metrics.retries.labels("peer.status", "no-answer").inc()
            self._missed_polls[member.instance] += 1
            return
        self._missed_polls.pop(member.instance, None)
        if not isinstance(answer, StatusAnswer) or answer.status.instance != member.instance:
            return
        self._last_answered_at[member.instance] = self._clock.monotonic()
        if answer.status.incarnation == member.incarnation:
            self._apply_status(member, answer.status, sent_at)

    def _apply_status(self, member: Member, status: PeerStatus, sent_at: float) -> None:
        for key_id in status.pending:
            self._withdrawals.add_pending(key_id)
        with self._replica.lock:
            known_at = self._replica.fleet.configuration.changed_at
        if status.configuration_at > known_at:
            self._fetch_configuration(member)
        if status.vouches:
            self._acknowledged_by.add(member.instance)
        self._freshness.on_status(sent_at, status)

    def _fetch_configuration(self, member: Member) -> None:
        try:
            answer = self._network.call(member.address, FetchConfiguration(), CALL_TIMEOUT_S)
        except PeerError:
            return
        if isinstance(answer, ConfigurationAnswer):
            self._replica.adopt_configuration(json.loads(answer.data))

    def _notify(self, member: Member, message: Message) -> NotificationResult:
        """Sends a message to a member; ``GONE`` means that the member's process has ended."""
        try:
            answer = self._network.call(member.address, message, CALL_TIMEOUT_S)
        except ConnectionRefusedByHostError:
            return NotificationResult.GONE
        except PeerError:
            return NotificationResult.UNSURE
        return (
            NotificationResult.CONFIRMED
            if isinstance(answer, Acknowledged)
            else NotificationResult.UNSURE
        )

    def _status(self, query: Status) -> PeerStatus:
        with self._replica.lock:
            fleet = self._replica.fleet
            known = fleet.roster.members.get(query.instance)
            configuration_at = fleet.configuration.changed_at
            roster_at = fleet.roster.changed_at
        reached_at = self._replica.reached_tail_at
        age_s = -1.0 if reached_at is None else self._clock.monotonic() - reached_at
        is_known = known is not None and known.incarnation == query.incarnation
        return PeerStatus(
            self._settings.instance,
            self._incarnation,
            age_s,
            configuration_at,
            roster_at,
            tuple(sorted(self.pending)),
            is_known and not known.evicted_by and not self._evictions.is_evicting(query.instance),
        )

    def _check_known_to_all(self) -> bool:
        """Tells whether each member has known this incarnation, or its process has ended.

        During an outage of the log, members know of withdrawn keys that are not in the log. A
        newly started instance has to learn of these keys from every member. A member that
        withdraws a key later has to know this instance in order to notify it.
        """
        if not self._is_known_to_all and self._joined:
            others = set(self.members()) - {self._settings.instance}
            self._is_known_to_all = others <= self._acknowledged_by
        return self._is_known_to_all

    def _local_state(self) -> LocalState:
        with self._replica.lock:
            fleet = self._replica.fleet
            return LocalState(
                frozenset(fleet.roster.members),
                fleet.configuration.changed_at,
                fleet.roster.changed_at,
                self.pending,
                self._replica.reached_tail_at,
            )

    def _on_proof_changed(self, proof: Proof) -> None:
        previous, self._proof = self._proof, proof
        self._metrics.proof.labels(previous.value).set(0)
        self._metrics.proof.labels(proof.value).set(1)
        if proof is Proof.NONE:
            log_event(ADMISSION_SUSPENDED, reason="no proof of fresh keys")
        elif previous is Proof.NONE:
            log_event(ADMISSION_RESUMED)

    # Joining and leaving.

    def _join(self) -> None:
        if self._joined or self._joining or not self._replica.is_ready:
            return
        self._joining = True
        event = Join(
            self._settings.instance, self._incarnation, self._peer_address, self._settings.zone
        )
        future = self._appender.submit(event, JOIN_DEADLINE_S)
        future.add_done_callback(self._on_joined)

    def _on_joined(self, future) -> None:
        self._joining = False
        self._joined = future.exception() is None

    def _on_goodbye(self, message: Goodbye) -> None:
        member = self.members().get(message.instance)
        if member is not None and member.incarnation == message.incarnation:
            self._departed[message.instance] = message.incarnation


def _do_nothing() -> None:
    """Ignores a notification of new entries; the next poll of the log reads them."""
