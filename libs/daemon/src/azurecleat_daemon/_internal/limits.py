"""A partition's allotments of team limits, and their transfer between partitions."""

from __future__ import annotations

import threading
from collections import defaultdict
from concurrent.futures import Future
from typing import NamedTuple

from azurecleat_coordination import Appender, AppendOutcome, ApplyResult, ControlLease, Replica
from azurecleat_coordination.records import AcknowledgeLimits, Transfer
from azurecleat_model import NO_QUOTA, Quota
from azurecleat_model.exceptions import AppendUnknownError, LogError

from azurecleat_daemon._internal.request_dispatcher import RequestDispatcher
from azurecleat_daemon._internal.task_manager import TaskManager


class Shortage(NamedTuple):
    """Part of a limit that a team lacks in a partition, and how long its oldest work has waited."""

    amount: Quota
    waited_s: float


class LimitManager:
    """Enforces a partition's allotments and transfers unused ones to partitions that need them.

    :param tasks: Receives the limits of tasks, and reports what runs and waits.
    :param requests: The same for requests.
    """

    def __init__(
        self,
        partition: str,
        epoch: int,
        replica: Replica,
        appender: Appender,
        lease: ControlLease,
        tasks: TaskManager,
        requests: RequestDispatcher,
    ) -> None:
        self._partition = partition
        self._epoch = epoch
        self._replica = replica
        self._appender = appender
        self._lease = lease
        self._tasks = tasks
        self._requests = requests
        self._lock = threading.RLock()
        self._outgoing: dict[str, Quota] = {}
        self._unconfirmed_transfers: defaultdict[int, list[tuple[str, Quota]]] = defaultdict(list)
        self._acknowledged_version = -1

    def transfer_unused(self, team: str, need: Shortage, destination: str) -> bool:
        """Transfers unused allotment to another partition; returns whether any was transferred.

        If work waits for the limit here too, the work that has waited longer has precedence.
        Without an order, two jobs that each need more than a partition holds would deadlock.
        The amount is subtracted here before the transfer is appended to the log, so that both
        partitions never use it at once, whatever the outcome of the append.
        """
        with self._lock:
            local_shortage = self.shortages().get(team)
            destination_first = local_shortage is None or (local_shortage.waited_s, destination) < (
                need.waited_s,
                self._partition,
            )
            unused = self.allotted(team).minus(self._usage(team)).clamp()
            part = Quota(*map(min, need.amount, unused))
            may_transfer = self._lease.is_valid()
            if part == NO_QUOTA or not destination_first or not may_transfer:
                return False
            self._outgoing[team] = self._outgoing.get(team, NO_QUOTA).plus(part)
        self.refresh()
        event = Transfer(team, self._partition, self._epoch, destination, part)
        future = self._appender.submit(event)
        future.add_done_callback(lambda done: self._on_transferred(done, team, part))
        return True

    def shortages(self) -> dict[str, Shortage]:
        """Returns the part of its limit that each team with blocked work lacks here."""
        shortages: dict[str, Shortage] = {}
        for team, need in self._tasks.blocked_by_limit().items():
            lacking = self._usage(team).plus(need.quota).minus(self.allotted(team)).clamp()
            shortages[team] = Shortage(lacking, need.waited_s)
        for team, need in self._requests.blocked_by_limit().items():
            task_shortage = shortages.get(team, Shortage(NO_QUOTA, 0.0))
            lacking = task_shortage.amount._replace(requests=need.waiting_tasks)
            shortages[team] = Shortage(lacking, max(task_shortage.waited_s, need.waited_s))
        return {team: need for team, need in shortages.items() if need.amount != NO_QUOTA}

    def refresh(self) -> None:
        """Applies the shares, limits and allotments that are now in the log."""
        self._resolve_unconfirmed()
        with self._replica.lock:
            teams = list(self._replica.fleet.configuration.teams.values())
            allotted = [(team, self.allotted(team.name)) for team in teams]
        for team, amount in allotted:
            self._tasks.set_team(team, amount)
            self._requests.set_team(team, amount)
        names = {team.name for team in teams}
        self._tasks.remove_teams_except(names)
        self._requests.remove_teams_except(names)

    def allotted(self, team: str) -> Quota:
        """Returns the team's allotment in this partition, less outgoing transfers in progress."""
        ledger = self._replica.fleet.ledger
        outgoing = self._outgoing.get(team, NO_QUOTA)
        return ledger.allotment(team, self._partition).minus(outgoing).clamp()

    def _usage(self, team: str) -> Quota:
        return self._tasks.team_usage(team)._replace(requests=self._requests.team_usage(team))

    def acknowledge(self) -> None:
        """Records in the log that usage here is within the current allotments.

        Other partitions may use what a reduction freed only after this record.
        """
        with self._replica.lock:
            version = self._replica.fleet.configuration.version
            teams = list(self._replica.fleet.configuration.teams)
        if version == self._acknowledged_version:
            return
        if not all(self.allotted(team).covers(self._usage(team)) for team in teams):
            return
        self._acknowledged_version = version
        event = AcknowledgeLimits(self._partition, self._epoch, version)
        self._appender.submit(event).add_done_callback(self._on_acknowledged)

    def _on_acknowledged(self, future: Future[ApplyResult]) -> None:
        try:
            future.result()
        except LogError:
            self._acknowledged_version = -1

    def _on_transferred(self, future: Future[ApplyResult], team: str, part: Quota) -> None:
        try:
            future.result()
        except AppendUnknownError as error:
            with self._lock:
                self._unconfirmed_transfers[error.sequence].append((team, part))
            return
        except LogError:
            pass
        self._release_outgoing(team, part)

    def _resolve_unconfirmed(self) -> None:
        """Stops subtracting the unconfirmed transfers whose outcome has become known."""
        with self._lock:
            if not self._unconfirmed_transfers:
                return
            resolved = [
                sequence
                for sequence in self._unconfirmed_transfers
                if self._appender.outcome(sequence) is not AppendOutcome.OPEN
            ]
            parts = [
                entry
                for sequence in resolved
                for entry in self._unconfirmed_transfers.pop(sequence)
            ]
            # The outcome of an entry is known once a later entry of this instance is in the log.
            # Resetting the acknowledged version makes ``acknowledge`` append one.
            self._acknowledged_version = -1
        for team, part in parts:
            self._release_outgoing(team, part)

    def _release_outgoing(self, team: str, part: Quota) -> None:
        with self._lock:
            self._outgoing[team] = self._outgoing[team].minus(part)
