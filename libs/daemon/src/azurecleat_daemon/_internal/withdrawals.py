"""Withdrawal of keys: sent to all members at once, and recorded in the log."""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from azurecleat_coordination import Appender, Member, Replica
from azurecleat_coordination.records import WithdrawKey
from azurecleat_model import Clock
from azurecleat_model.events import KEY_WITHDRAWN, log_event
from azurecleat_model.exceptions import LogError
from azurecleat_peers.messages import Message, Withdraw

RECORD_RETRY_S = 5.0
RECORD_DEADLINE_S = 2.0


class Withdrawal(NamedTuple):
    """Result of a withdrawal.

    Once a withdrawal is ``in_force``, no instance accepts work for the key after the bound. Until
    it is ``recorded`` in the log, it is kept by the instances that ``confirmed`` it and by the
    one that received it. The processes of the ``gone`` instances have ended; ``unsure``
    instances did not answer.
    """

    key_id: str
    recorded: bool
    in_force: bool
    confirmed: tuple[str, ...]
    gone: tuple[str, ...]
    unsure: tuple[str, ...]


class NotificationResult(str, Enum):
    """Result of sending a message to a member."""

    CONFIRMED = "confirmed"
    GONE = "gone"
    UNSURE = "unsure"


class Withdrawals:
    """Withdrawals known here that are not in the log yet.

    Each is stored with the time of the last attempt to record it.
    """

    def __init__(self, replica: Replica, appender: Appender, clock: Clock) -> None:
        self._replica = replica
        self._appender = appender
        self._clock = clock
        self._lock = threading.Lock()
        self._pending: dict[str, float] = {}

    @property
    def pending(self) -> frozenset[str]:
        """Ids of withdrawn keys whose withdrawal is not in the log yet."""
        with self._lock:
            return frozenset(self._pending)

    def withdraw(
        self,
        key_id: str,
        members: list[Member],
        notify: Callable[[Member, Message], NotificationResult],
        accepts_keyed_work: bool,
        log_is_reachable: bool,
    ) -> Withdrawal:
        """Withdraws a key: notifies all members at once, and records it in the log.

        Without the log, the withdrawal is in force only if this instance itself may accept keyed
        work, and every member confirmed the withdrawal or has ended. No instance is missed: an
        instance accepts keyed work only once every member, including this one, knows it.

        :param members: All other members.
        :param notify: Sends a message to a member.
        :param accepts_keyed_work: Whether this instance itself may accept keyed work.
        :param log_is_reachable: Whether to try to record the withdrawal now.
        """
        self.add_pending(key_id)
        results: dict[NotificationResult, list[str]] = {
            NotificationResult.CONFIRMED: [],
            NotificationResult.GONE: [],
            NotificationResult.UNSURE: [],
        }
        for member in members:
            results[notify(member, Withdraw(key_id))].append(member.instance)
        # Without the log, step() records the withdrawal later; the operator need not wait for it.
        recorded = log_is_reachable and self._record(key_id)
        in_force = recorded or (accepts_keyed_work and not results[NotificationResult.UNSURE])
        log_event(KEY_WITHDRAWN, key=key_id, recorded=recorded)
        return Withdrawal(key_id, recorded, in_force, *(tuple(names) for names in results.values()))

    def add_pending(self, key_id: str) -> None:
        """Refuses a key from now on, even while its withdrawal is not in the log."""
        with self._replica.lock:
            if key_id in self._replica.fleet.configuration.withdrawn:
                return
        with self._lock:
            self._pending.setdefault(key_id, self._clock.monotonic())

    def step(self, log_is_reachable: bool) -> None:
        """Drops the withdrawals that are in the log, and retries to record the others."""
        with self._replica.lock:
            recorded = self._replica.fleet.configuration.withdrawn
        now = self._clock.monotonic()
        with self._lock:
            for key_id in set(self._pending) & recorded:
                del self._pending[key_id]
            due = [k for k, at in self._pending.items() if now - at > RECORD_RETRY_S]
            for key_id in due:
                self._pending[key_id] = now
        if log_is_reachable:
            for key_id in due:
                self._appender.submit(WithdrawKey(key_id))

    def _record(self, key_id: str) -> bool:
        try:
            return self._appender.commit(WithdrawKey(key_id), RECORD_DEADLINE_S).accepted
        except LogError:
            return False
