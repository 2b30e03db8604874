"""Events that instances commit to the platform's log, and the encoding of log entries.

A log entry is an :class:`Entry`: the writer and a sequence number, which make appends idempotent,
and the events that are committed together.
"""

from __future__ import annotations

import json
import zlib
from typing import Any, NamedTuple, get_args

from azurecleat_base import describe, parse_json
from azurecleat_model import Job, KeyHash, Quota, to_plain
from azurecleat_model.exceptions import DocumentError
from pydantic import TypeAdapter, ValidationError

MIN_COMPRESSED_BYTES = 512
_UNCOMPRESSED_MARKER = b"J"
_COMPRESSED_MARKER = b"Z"


DECODE_ERRORS = (
    DocumentError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    zlib.error,
    ValidationError,
)
"""Exceptions that decoding a malformed entry may raise."""


class Promote(NamedTuple):
    """Puts an environment document in force if ``base`` is still the version in force."""

    document: dict[str, Any]
    base: int


class GiveKey(NamedTuple):
    """Adds a key to a team."""

    team: str
    key: KeyHash


class WithdrawKey(NamedTuple):
    """Withdraws a key permanently; a later document cannot restore it."""

    key_id: str


class Join(NamedTuple):
    """Adds an instance to the roster."""

    instance: str
    incarnation: str
    address: str
    zone: str


class Leave(NamedTuple):
    """Removes an instance that stopped gracefully from the roster."""

    instance: str
    incarnation: str


class Evict(NamedTuple):
    """Begins the eviction of a member; the evicting instance no longer vouches for it."""

    instance: str
    incarnation: str
    by: str


class Evicted(NamedTuple):
    """Completes an eviction by the same instance, after the freshness bound has passed."""

    instance: str
    incarnation: str
    by: str


class Claim(NamedTuple):
    """Claims a partition with the next epoch; the first claim in the log wins."""

    partition: str
    epoch: int
    instance: str
    incarnation: str
    targets: tuple[str, ...]


class SetTargets(NamedTuple):
    """Replaces the targets whose control leases arbitrate a partition."""

    partition: str
    epoch: int
    targets: tuple[str, ...]


class Release(NamedTuple):
    """Gives up the ownership of a partition in a graceful handover."""

    partition: str
    epoch: int


class Transfer(NamedTuple):
    """Moves part of a team's allotment; only the owner of ``source`` may do so."""

    team: str
    source: str
    epoch: int
    destination: str
    amount: Quota


class AcknowledgeLimits(NamedTuple):
    """Confirms that a partition's owner stays within its allotments as of ``version``."""

    partition: str
    epoch: int
    version: int


class Intend(NamedTuple):
    """Reserves the single run of a request that is not repeatable; the first in the log wins."""

    key: str
    at: float


class ReleaseIntent(NamedTuple):
    """Cancels the reservation of a request that certainly did not run."""

    key: str


class AcceptJob(NamedTuple):
    """Accepts a job into a partition's queue."""

    partition: str
    job: Job


class CancelJob(NamedTuple):
    """Cancels a job; its waiting tasks never start."""

    partition: str
    job_id: str


class BeginTask(NamedTuple):
    """Reserves the single run of a task that is not repeatable, before the task starts."""

    partition: str
    epoch: int
    job_id: str
    index: int


class EndTasks(NamedTuple):
    """Records final results of tasks, as inclusive ``[first, last]`` index ranges per result."""

    partition: str
    epoch: int
    job_id: str
    done: tuple[tuple[int, int], ...] = ()
    failed: tuple[tuple[int, int], ...] = ()
    unknown: tuple[tuple[int, int], ...] = ()
    expired: tuple[tuple[int, int], ...] = ()


class SnapshotChunk(NamedTuple):
    """One chunk of a snapshot: a section's state with all entries up to offset ``covers``."""

    section: str
    snapshot: str
    covers: int
    index: int
    count: int
    data: str


RecordEvent = (
    Promote
    | GiveKey
    | WithdrawKey
    | Join
    | Leave
    | Evict
    | Evicted
    | Claim
    | SetTargets
    | Release
    | Transfer
    | AcknowledgeLimits
    | Intend
    | ReleaseIntent
    | AcceptJob
    | CancelJob
    | BeginTask
    | EndTasks
    | SnapshotChunk
)

_ADAPTERS = {kind.__name__: TypeAdapter(kind) for kind in get_args(RecordEvent)}


class Entry(NamedTuple):
    """One entry of the log.

    ``writer`` is the incarnation of the appending instance and ``sequence`` counts its entries.
    Readers ignore an entry unless its sequence is higher than the last one of that writer.
    """

    writer: str
    sequence: int
    events: tuple[RecordEvent, ...]


def encode_entry(entry: Entry) -> bytes:
    """Encodes an entry as JSON, compressed unless it is short."""
    events = [{"k": type(event).__name__, **to_plain(event)} for event in entry.events]
    text = json.dumps([entry.writer, entry.sequence, events], separators=(",", ":")).encode()
    if len(text) < MIN_COMPRESSED_BYTES:
        return _UNCOMPRESSED_MARKER + text
    return _COMPRESSED_MARKER + zlib.compress(text)


def decode_entry(data: bytes) -> Entry:
    """Decodes an entry.

    :raises DocumentError: The data is not a valid entry.
    """
    try:
        text = zlib.decompress(data[1:]) if data[:1] == _COMPRESSED_MARKER else data[1:]
        writer, sequence, events = parse_json(text, "log entry")
        decoded = tuple(_decode_event(event) for event in events)
    except DECODE_ERRORS as error:
        raise DocumentError(
            f"log entry cannot be decoded: {describe(error)}", step="log.decode"
        ) from None
    if not isinstance(writer, str) or not isinstance(sequence, int):
        raise DocumentError("log entry names no writer and sequence", step="log.decode")
    return Entry(writer, sequence, decoded)


def _decode_event(value: dict[str, Any]) -> RecordEvent:
    kind = value.pop("k")
    return _ADAPTERS[kind].validate_python(value)
