"""The set of targets whose majority grants the control lease of a partition."""

from __future__ import annotations

import threading
from concurrent.futures import Future

from azurecleat_coordination import Appender, ApplyResult, ControlLease, Replica
from azurecleat_coordination.records import SetTargets
from azurecleat_model.exceptions import AppendUnknownError, LogError


class LeaseQuorum:
    """Changes the quorum of a control lease through the log.

    While it is not known whether the log holds a change, the lease needs a majority of the
    committed set of targets and of each proposed set.

    :param targets: The targets named in the accepted claim.
    """

    def __init__(
        self,
        partition: str,
        epoch: int,
        replica: Replica,
        appender: Appender,
        lease: ControlLease,
        targets: tuple[str, ...],
    ) -> None:
        self._partition = partition
        self._epoch = epoch
        self._replica = replica
        self._appender = appender
        self._lease = lease
        self._lock = threading.Lock()
        self._committed = targets
        self._proposed: set[tuple[str, ...]] = set()

    def update(self, granted: tuple[str, ...]) -> None:
        """Applies the set of targets in the log, and proposes the set that grants control now.

        :param granted: Sorted names of the targets that grant control; if empty, no change is
            proposed.
        """
        with self._replica.lock:
            owner = self._replica.fleet.ownership.owner(self._partition)
        if owner is None or owner.epoch != self._epoch:
            return
        with self._lock:
            if owner.targets != self._committed:
                self._committed = owner.targets
                self._proposed.clear()
            proposed = granted or self._committed
            is_new = proposed != self._committed and proposed not in self._proposed
            if is_new:
                self._proposed.add(proposed)
            self._lease.set_targets(self._committed, *self._proposed)
        if is_new:
            event = SetTargets(self._partition, self._epoch, proposed)
            future = self._appender.submit(event)
            future.add_done_callback(lambda done: self._on_set(done, proposed))

    def _on_set(self, future: Future[ApplyResult], proposed: tuple[str, ...]) -> None:
        try:
            future.result()
        except AppendUnknownError:
            return
        except LogError:
            with self._lock:
                self._proposed.discard(proposed)
