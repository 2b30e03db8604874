"""Interfaces to the external systems that the cluster core uses; adapters implement them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from azurecleat_base import Resources

from azurecleat_cluster._internal.values import (
    Configuration,
    TargetEntry,
    TargetReport,
    TaskId,
)

CONFIGURATION = "configuration"
"""Stream written by operators: the newest configuration."""

TARGETS = "targets"
"""Stream written by targets: one entry per target."""

JOBS = "jobs"
"""Stream of submissions, cancellations, ownership claims and instance addresses."""

PROGRESS = "progress"
"""Stream written only by the owner: progress of jobs, and targets in use."""


class Writer(NamedTuple):
    """Identity of an exclusive writer.

    The log refuses an epoch lower than the highest that it has seen for this name.
    """

    name: str
    epoch: int
    sequence: int


class LogRecord(NamedTuple):
    """A record of a keyed stream. A value of None deletes the key.

    :param may_replace: Whether the log may have dropped earlier records of the key.
    """

    key: str
    value: bytes | None
    offset: int
    may_replace: bool = False


class LogPage(NamedTuple):
    """Records of one read, the offset to read next and the end offset of the stream."""

    records: tuple[LogRecord, ...]
    next_offset: int
    end: int


class Log(Protocol):
    """Keyed streams with compaction: the newest record of each key is kept."""

    def append(
        self,
        stream: str,
        records: Sequence[tuple[str, bytes | None]],
        timeout_s: float,
        writer: Writer | None = None,
    ) -> int:
        """Appends all records or none and returns the offset of the first.

        Without records, the call only registers the writer's epoch.

        :raises LogUnavailableError: Nothing was appended.
        :raises AppendUnknownError: The records may be in the log or may still be appended.
        :raises FencedError: The log has seen a higher epoch of this writer.
        """

    def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Returns records from an offset on. Waits up to ``wait_s`` seconds if there is none yet.

        :raises OffsetForgottenError: The log no longer holds the offset.
        :raises LogError: The log gave no answer.
        """

    def latency_s(self) -> float:
        """Returns the smoothed latency of the log's recent answers, in seconds."""

    def newest(self, stream: str) -> LogPage:
        """Returns the newest record of each key. The records need not be of one point in time."""


class Decoder(Protocol):
    """Decodes the records that operators and targets write."""

    def configuration(self, record: LogRecord) -> Configuration | None:
        """Returns the configuration, or None if the record holds something else.

        :raises DocumentError: The configuration is malformed.
        """

    def evacuated_zone(self, record: LogRecord) -> str | None:
        """Returns the zone that a record of the configuration stream evacuates while it exists.

        None if the record has another purpose. A record without a value ends the evacuation.
        """

    def target(self, record: LogRecord) -> TargetEntry:
        """Returns a target's entry.

        :raises DocumentError: The entry is malformed.
        """


class StartCommand(NamedTuple):
    """Command to start a run. ``until_ms`` is the end of its lease on the target's clock."""

    task: TaskId
    run: int
    payload: str
    until_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class StartResult(NamedTuple):
    """Answer to a start command.

    ``reason`` names why a target refused. ``clock_ms`` is the target's clock, 0 if not reported.
    """

    started: bool
    reason: str
    clock_ms: float


class TargetClient(Protocol):
    """Client of one incarnation of a target.

    Each call raises :class:`NotRunError` if the command had no effect, :class:`OutcomeUnknownError`
    if it may have had one, :class:`FencedError` if the target is controlled by another owner and
    :class:`TargetReplacedError` if another incarnation answers at the address.
    """

    def poll(
        self,
        fencing_token: int,
        acknowledged: int,
        until_ms: int | None,
        wait_s: float,
        timeout_s: float,
        same_connection: bool = False,
    ) -> TargetReport:
        """Long poll: renews the target's lease and returns its running and ended runs.

        :param acknowledged: Run ends up to this number are in the log; the target may drop them.
        :param until_ms: New end of the lease on the target's clock, None to leave the lease as is.
        :param wait_s: How long the target may hold back its answer while no run ends.
        :param same_connection: Uses only the connection of the last poll, which proves that the
            same incarnation answers. Another incarnation may have the same id, but numbers ends
            and measures time from a new start.
        :raises ConnectionChangedError: That connection is closed; nothing was sent.
        """

    def start(self, command: StartCommand, timeout_s: float) -> StartResult: ...

    def stop(self, task: TaskId, run: int, fencing_token: int, timeout_s: float) -> None: ...

    def throttle(
        self, task: TaskId, run: int, percent: int, fencing_token: int, timeout_s: float
    ) -> None: ...

    def close(self) -> None: ...


class Adviser(Protocol):
    """Advice service: decides which targets may run a step."""

    def advise(self, step: str, targets: Sequence[str], timeout_s: float) -> dict[str, str]:
        """Returns a ticket for each of the targets that may run the step.

        :raises TargetError: The service did not answer or is busy.
        """


class Directory(Protocol):
    """Directory of the target incarnations that exist."""

    def live_incarnations(self) -> Mapping[str, Resources | None]:
        """Returns the ids of all existing incarnations. Any other incarnation has ended.

        :returns: For each id the capacity that the directory knows, None if it knows none.

        :raises TargetError: The directory did not return the complete list.
        """
