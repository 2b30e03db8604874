"""Interfaces of the systems around the cluster core."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from azurecleat_cluster._internal.values import (
    Configuration,
    TargetEntry,
    TargetReport,
    TaskId,
)

CONFIGURATION = "configuration"
"""Stream that operators write: the newest configuration."""

TARGETS = "targets"
"""Stream that targets write: one entry each."""

JOBS = "jobs"
"""Stream of submissions, cancellations, ownership claims and instance addresses."""

PROGRESS = "progress"
"""Stream that only the owner writes: progress of jobs and targets in use."""


class Writer(NamedTuple):
    """Identity of an exclusive writer: a lower epoch than the highest seen is refused."""

    name: str
    epoch: int
    sequence: int


class LogRecord(NamedTuple):
    """A record of a keyed stream; a value of None drops the key."""

    key: str
    value: bytes | None
    offset: int


class LogPage(NamedTuple):
    """Records read; ``following`` is the offset to read next, ``end`` that of the stream."""

    records: tuple[LogRecord, ...]
    next_offset: int
    end: int


class Log(Protocol):
    """Streams of keyed records that keep the newest record of each key."""

    def append(
        self,
        stream: str,
        records: Sequence[tuple[str, bytes | None]],
        timeout_s: float,
        writer: Writer | None = None,
    ) -> int:
        """Appends all records or none and returns the offset of the first.

        With no records, only the writer's epoch is set.

        :raises LogUnavailableError: Nothing was appended.
        :raises AppendUnknownError: The records may be in the log, or may come to be there.
        :raises FencedError: A writer with a higher epoch was seen.
        """

    def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Returns records from an offset on; waits for one if there is none.

        :raises OffsetForgottenError: The offset is no longer kept.
        :raises LogError: The log gave no answer.
        """

    def latency_s(self) -> float:
        """Returns how long the log took for its last answers, smoothed."""

    def newest(self, stream: str) -> LogPage:
        """Returns the newest record of each key, not necessarily of one moment."""


class Decoder(Protocol):
    """Decodes what operators and targets write."""

    def configuration(self, record: LogRecord) -> Configuration | None:
        """Returns the configuration, or None if the record holds something else.

        :raises DocumentError: The record cannot be read.
        """

    def target(self, record: LogRecord) -> TargetEntry:
        """Returns a target's entry.

        :raises DocumentError: The record names no usable target.
        """


class StartCommand(NamedTuple):
    """A start as sent; ``until_ms`` is on the target's clock."""

    task: TaskId
    run: int
    payload: str
    until_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class StartResult(NamedTuple):
    """Whether a target began a run; ``reason`` names the refusal."""

    started: bool
    reason: str
    clock_ms: float


class TargetClient(Protocol):
    """Calls to one life of a target.

    Each raises :class:`NotRunError` if nothing was done, :class:`OutcomeUnknownError` if it may
    have been done, :class:`FencedError` if a newer owner has control and
    :class:`TargetReplacedError` if another life answers at the address.
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
        """Returns what runs and what ended.

        :param same_connection: Asks only over the connection of the last hold, whose other end is
            the same life of the target. Both lives may share an id, and count ends and time anew.
        :raises ConnectionChangedError: It is gone; nothing was asked.
        """

    def start(self, command: StartCommand, timeout_s: float) -> StartResult: ...

    def stop(self, task: TaskId, run: int, fencing_token: int, timeout_s: float) -> None: ...

    def throttle(
        self, task: TaskId, run: int, percent: int, fencing_token: int, timeout_s: float
    ) -> None: ...

    def close(self) -> None: ...


class Adviser(Protocol):
    """Service that knows which targets may run a step."""

    def advise(self, step: str, targets: Sequence[str], timeout_s: float) -> dict[str, str]:
        """Returns a ticket for each target that may run the step.

        :raises TargetError: The service gave no answer or is busy.
        """


class Directory(Protocol):
    """Authority on which lives of targets exist."""

    def live_incarnations(self) -> frozenset[str]:
        """Returns the ids of all lives that exist now; one that is missing has ended.

        :raises TargetError: The directory gave no whole answer.
        """
