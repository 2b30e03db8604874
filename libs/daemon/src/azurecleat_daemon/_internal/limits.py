"""The limits of a partition: allotments in force, lending, borrowing, acknowledging reductions."""

from __future__ import annotations

import threading
from collections import defaultdict
from concurrent.futures import Future
from typing import NamedTuple

from azurecleat_coordination import Appender, AppendOutcome, ApplyResult, ControlLease, Replica
from azurecleat_coordination.records import AcknowledgeLimits, Transfer
from azurecleat_model import NO_QUOTA, Quota
from azurecleat_model.exceptions import AppendUnknownError, LogError

from azurecleat_daemon._internal.request_desk import RequestDesk
from azurecleat_daemon._internal.task_desk import TaskDesk


class Shortage(NamedTuple):
    """Part of a limit that a team lacks in a partition, and how long its oldest work waits."""

    amount: Quota
    waited_s: float


class LimitKeeper:
    """Keeps an owner within its allotments, and moves them to where the demand is.

    :param tasks: Told the limits of tasks, and asked what runs and waits.
    :param requests: The same for requests.
    """

    def __init__(
        self,
        partition: str,
        epoch: int,
        replica: Replica,
        appender: Appender,
        lease: ControlLease,
        tasks: TaskDesk,
        requests: RequestDesk,
    ) -> None:
        self._partition = partition
        self._epoch = epoch
        self._replica = replica
        self._appender = appender
        self._lease = lease
        self._tasks = tasks
        self._requests = requests
        self._lock = threading.RLock()
        self._given: dict[str, Quota] = {}
        self._open: defaultdict[int, list[tuple[str, Quota]]] = defaultdict(list)
        self._acknowledged_version = -1

    def give(self, team: str, need: Shortage, destination: str) -> bool:
        """Transfers unused allotment to another partition; returns whether any was given.

        If work waits for the limit here too, the longer wait goes first: without an order, two
        jobs that each need more than a partition holds would wait for each other for ever. The
        part given is set aside before the record is appended, so that it is never used on both
        sides whatever becomes of the append.
        """
        with self._lock:
            own = self.missing().get(team)
            goes_first = own is None or (own.waited_s, destination) < (
                need.waited_s,
                self._partition,
            )
            unused = self.allotted(team).minus(self._usage(team)).clamp()
            part = Quota(*map(min, need.amount, unused))
            may_give = self._lease.is_valid()
            if part == NO_QUOTA or not goes_first or not may_give:
                return False
            self._given[team] = self._given.get(team, NO_QUOTA).plus(part)
        self.follow()
        event = Transfer(team, self._partition, self._epoch, destination, part)
        future = self._appender.submit(event)
        future.add_done_callback(lambda done: self._on_given(done, team, part))
        return True

    def missing(self) -> dict[str, Shortage]:
        """Returns what teams with waiting work lack here."""
        missing: dict[str, Shortage] = {}
        for team, need in self._tasks.blocked_by_limit().items():
            lacking = self._usage(team).plus(need.quota).minus(self.allotted(team)).clamp()
            missing[team] = Shortage(lacking, need.waited_s)
        for team, need in self._requests.blocked_by_limit().items():
            former = missing.get(team, Shortage(NO_QUOTA, 0.0))
            lacking = former.amount._replace(requests=need.waiting_tasks)
            missing[team] = Shortage(lacking, max(former.waited_s, need.waited_s))
        return {team: need for team, need in missing.items() if need.amount != NO_QUOTA}

    def follow(self) -> None:
        """Takes over shares, limits and allotments as the log has them now."""
        self._settle_open()
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
        """Returns what this partition may have running of a team, less what is being given."""
        ledger = self._replica.fleet.ledger
        given = self._given.get(team, NO_QUOTA)
        return ledger.allotment(team, self._partition).minus(given).clamp()

    def _usage(self, team: str) -> Quota:
        return self._tasks.team_usage(team)._replace(requests=self._requests.team_usage(team))

    def acknowledge(self) -> None:
        """Tells the log when reduced limits are kept here, so that others may use the rest."""
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

    def _on_given(self, future: Future[ApplyResult], team: str, part: Quota) -> None:
        try:
            future.result()
        except AppendUnknownError as error:
            with self._lock:
                self._open[error.sequence].append((team, part))
            return
        except LogError:
            pass
        self._take_back(team, part)

    def _settle_open(self) -> None:
        """Ends setting aside what transfers of unknown fate moved, once their fate is known."""
        with self._lock:
            if not self._open:
                return
            settled = [n for n in self._open if self._appender.outcome(n) is not AppendOutcome.OPEN]
            parts = [entry for number in settled for entry in self._open.pop(number)]
            # A later entry of this instance settles the rest, so one is appended.
            self._acknowledged_version = -1
        for team, part in parts:
            self._take_back(team, part)

    def _take_back(self, team: str, part: Quota) -> None:
        with self._lock:
            self._given[team] = self._given[team].minus(part)
