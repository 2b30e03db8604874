"""The set of targets whose majority grants the control lease of a partition."""

from __future__ import annotations

from concurrent.futures import Future
from typing import NamedTuple

from azurecleat_coordination import Appender, AppendOutcome, ApplyResult, ControlLease, Replica
from azurecleat_coordination.records import SetTargets
from azurecleat_model.exceptions import AppendUnknownError


class _Proposal(NamedTuple):
    targets: tuple[str, ...]
    future: Future[ApplyResult]


class LeaseQuorum:
    """Changes the quorum of a control lease through the log.

    As long as a proposed set may still take effect, the lease needs a majority of that set and of
    the committed one.
    """

    def __init__(
        self,
        partition: str,
        epoch: int,
        replica: Replica,
        appender: Appender,
        lease: ControlLease,
    ) -> None:
        self._partition = partition
        self._epoch = epoch
        self._replica = replica
        self._appender = appender
        self._lease = lease
        self._proposals: list[_Proposal] = []

    def update(self, granted: tuple[str, ...]) -> None:
        """Applies the set of targets in the log, and proposes the set that grants control now.

        Not to be called by two threads at once.

        :param granted: Sorted names of the targets that grant control; if empty, no change is
            proposed.
        """
        # The proposals come first: the owner read afterwards shows those that are dropped here.
        self._proposals = [p for p in self._proposals if self._may_take_effect(p)]
        with self._replica.lock:
            owner = self._replica.fleet.ownership.owner(self._partition)
        if owner is None or owner.epoch != self._epoch:
            return
        proposed = granted or owner.targets
        is_in_flight = any(p.targets == proposed and not p.future.done() for p in self._proposals)
        is_new = proposed != owner.targets and not is_in_flight
        needed = {p.targets for p in self._proposals} | ({proposed} if is_new else set())
        self._lease.set_targets(owner.targets, *needed)
        if is_new:
            event = SetTargets(self._partition, self._epoch, proposed)
            self._proposals.append(_Proposal(proposed, self._appender.submit(event)))

    def _may_take_effect(self, proposal: _Proposal) -> bool:
        """Tells whether a proposal may be applied later, as far as known."""
        if not proposal.future.done():
            return True
        error = proposal.future.exception()
        return (
            isinstance(error, AppendUnknownError)
            and self._appender.outcome(error.sequence) is AppendOutcome.OPEN
        )
