"""Fleet state: the result of applying the log's entries in order, the same on every replica.

The state consists of sections that are snapshotted and loaded separately: ``fleet`` with what
every instance needs, and ``jobs/<partition>`` with the jobs of a partition. A section never reads
another one when it applies an event, so sections may be loaded as of different log offsets.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from azurecleat_coordination._internal.configuration import Configuration
from azurecleat_coordination._internal.jobs import PartitionJobs
from azurecleat_coordination._internal.ledger import Ledger
from azurecleat_coordination._internal.ownership import Ownership
from azurecleat_coordination._internal.records import (
    AcceptJob,
    AcknowledgeLimits,
    BeginTask,
    CancelJob,
    Claim,
    EndTasks,
    Entry,
    Evict,
    Evicted,
    GiveKey,
    Intend,
    Join,
    Leave,
    Promote,
    RecordEvent,
    Release,
    ReleaseIntent,
    SetTargets,
    SnapshotChunk,
    Transfer,
    WithdrawKey,
)
from azurecleat_coordination._internal.result import ACCEPTED, ApplyResult, rejected
from azurecleat_coordination._internal.roster import Roster
from azurecleat_coordination._internal.run_intents import Intents

FLEET_SECTION = "fleet"
JOBS_PREFIX = "jobs/"
MAX_WRITERS = 4096
"""Number of writers whose last sequence number is kept; the least recent one is dropped."""


def sections_of(event: RecordEvent) -> tuple[str, ...]:
    """Returns the names of the sections that an event changes."""
    match event:
        case AcceptJob() | CancelJob() | BeginTask() | EndTasks():
            return (JOBS_PREFIX + event.partition,)
        case Claim():
            return (FLEET_SECTION, JOBS_PREFIX + event.partition)
        case SnapshotChunk():
            return ()
        case _:
            return (FLEET_SECTION,)


class FleetSection:
    """Section with configuration, roster, ownership, allotments and intents."""

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.roster = Roster()
        self.ownership = Ownership()
        self.ledger = Ledger()
        self.intents = Intents()
        self._writers: OrderedDict[str, int] = OrderedDict()

    def admit(self, entry: Entry) -> bool:
        """Returns whether an entry is new, and records its sequence number.

        Entries up to the last recorded sequence of their writer, such as repeated appends, are
        not new.
        """
        if entry.sequence <= self._writers.get(entry.writer, 0):
            return False
        self._writers[entry.writer] = entry.sequence
        self._writers.move_to_end(entry.writer)
        if len(self._writers) > MAX_WRITERS:
            self._writers.popitem(last=False)
        return True

    def apply(self, event: RecordEvent, offset: int) -> ApplyResult:
        """Applies one event."""
        match event:
            case Promote():
                return self._promote(event, offset)
            case GiveKey():
                return self.configuration.give_key(event, offset)
            case WithdrawKey():
                return self.configuration.withdraw_key(event, offset)
            case Join():
                return self.roster.join(event, offset)
            case Leave():
                return self.roster.leave(event, offset)
            case Evict():
                return self.roster.evict(event, offset)
            case Evicted():
                return self.roster.evicted(event, offset)
            case Claim():
                return self._claim(event)
            case SetTargets():
                return self.ownership.set_targets(event)
            case Release():
                return self.ownership.release(event)
            case Transfer():
                return self._check_owner(event.source, event.epoch) or self.ledger.transfer(event)
            case AcknowledgeLimits():
                return self._acknowledge(event)
            case Intend():
                return self.intents.intend(event)
            case ReleaseIntent():
                return self.intents.release(event)
            case _:
                return rejected(f"unexpected event {type(event).__name__}")

    def dump(self) -> dict[str, Any]:
        """Returns the section as JSON values."""
        return {
            "configuration": self.configuration.dump(),
            "roster": self.roster.dump(),
            "ownership": self.ownership.dump(),
            "ledger": self.ledger.dump(),
            "intents": self.intents.dump(),
            "writers": list(self._writers.items()),
        }

    def load(self, value: dict[str, Any]) -> None:
        """Replaces the section by a dumped one."""
        self.configuration.load(value["configuration"])
        self.roster.load(value["roster"])
        self.ownership.load(value["ownership"])
        self.ledger.load(value["ledger"])
        self.intents.load(value["intents"])
        self._writers = OrderedDict((writer, sequence) for writer, sequence in value["writers"])

    def _promote(self, event: Promote, offset: int) -> ApplyResult:
        result = self.configuration.promote(event, offset)
        if result.accepted:
            teams = self.configuration.environment.teams
            self.ledger.set_limits({team.name: team.limit for team in teams})
        return result

    def _claim(self, event: Claim) -> ApplyResult:
        result = self.ownership.claim(event)
        if result.accepted:
            self.ledger.add_partition(event.partition)
        return result

    def _acknowledge(self, event: AcknowledgeLimits) -> ApplyResult:
        if event.version != self.configuration.version:
            return rejected("the acknowledged version is not in force")
        rejection = self._check_owner(event.partition, event.epoch)
        return rejection or self.ledger.acknowledge(event)

    def _check_owner(self, partition: str, epoch: int) -> ApplyResult | None:
        if self.ownership.holds(partition, epoch):
            return None
        return rejected("the epoch is not that of the partition's owner")


class JobsSection:
    """Section with the jobs of one partition."""

    def __init__(self) -> None:
        self.jobs = PartitionJobs()

    def admit(self, entry: Entry) -> bool:
        """Returns True: applying an event of this section twice has no effect."""
        return True

    def apply(self, event: RecordEvent, offset: int) -> ApplyResult:
        """Applies one event."""
        match event:
            case AcceptJob():
                return self.jobs.accept(event)
            case CancelJob():
                return self.jobs.cancel(event)
            case BeginTask():
                return self.jobs.begin(event)
            case EndTasks():
                return self.jobs.end(event)
            case Claim():
                return self.jobs.claim(event)
            case _:
                return rejected(f"unexpected event {type(event).__name__}")

    def dump(self) -> dict[str, Any]:
        """Returns the section as JSON values."""
        return self.jobs.dump()

    def load(self, value: dict[str, Any]) -> None:
        """Replaces the section by a dumped one."""
        self.jobs.load(value)


Section = FleetSection | JobsSection


def new_section(name: str) -> Section:
    """Returns an empty section of the type that its name requires."""
    return FleetSection() if name == FLEET_SECTION else JobsSection()


def merge_results(results: list[ApplyResult]) -> ApplyResult:
    """Combines the results of all sections that an event changes: the first rejection counts."""
    return next((result for result in results if not result.accepted), ACCEPTED)
