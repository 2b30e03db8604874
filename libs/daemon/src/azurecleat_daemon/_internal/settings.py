"""Settings of an entry instance, read from JSON with comments."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, NamedTuple

from azurecleat_model import Name, parse_jsonc, validate
from azurecleat_model.exceptions import DocumentError
from pydantic import Field, TypeAdapter

Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Seconds = Annotated[float, Field(gt=0, le=3600)]

MAX_LIST_PERIOD_S = 1.0
"""Longest period of polls of the instance list.

An owner stops dispatching after two seconds without a poll.
"""


class Timing(NamedTuple):
    """Leases, bounds and periods in seconds.

    - ``lease_s``: how long a target honours an owner's renewal, and how long a member that does
      not answer still counts as alive.
    - ``key_bound_s``: the time within which a withdrawn key stops working everywhere.
    - ``log_read_lag_s``: the largest lag of the log's replicas.
    - ``poll_s``: the period of polls of the log.
    - ``status_s``: the period of heartbeats within the availability zone.
    - ``remote_status_s``: the period of heartbeats between zones while the log is reachable.
    - ``list_s``: the period of polls of the instance list.
    - ``request_deadline_s``: the deadline of requests that name none.
    - ``append_interval_s``: the minimum time between two appends of one instance.
    """

    lease_s: Seconds = 15.0
    key_bound_s: Seconds = 5.0
    log_read_lag_s: Annotated[float, Field(ge=0, le=60)] = 0.5
    poll_s: Seconds = 1.0
    status_s: Seconds = 1.0
    remote_status_s: Seconds = 10.0
    list_s: Annotated[float, Field(gt=0, le=MAX_LIST_PERIOD_S)] = 1.0
    request_deadline_s: Seconds = 30.0
    append_interval_s: Annotated[float, Field(ge=0.01, le=10)] = 0.1


class Bounds(NamedTuple):
    """Limits that protect the instance from overload, and the interval between snapshots.

    - ``callers``: the maximum number of concurrent callers.
    - ``body_bytes``: the maximum size of a request body.
    - ``snapshot_every``: the number of log entries between snapshots of a section.
    """

    callers: Annotated[int, Field(ge=1, le=1000)] = 128
    body_bytes: Annotated[int, Field(ge=1, le=1 << 20)] = 256 << 10
    snapshot_every: Annotated[int, Field(ge=10, le=1_000_000)] = 2000


class EntrySettings(NamedTuple):
    """All settings of an entry instance."""

    instance: Name
    zone: Name
    callers: Address
    peers: Address
    log: Address
    instances: Address
    partitions: tuple[Name, ...]
    operator_sha256: Annotated[str, Field(pattern=r"^([0-9a-f]{64})?$")] = ""
    timing: Timing = Timing()
    bounds: Bounds = Bounds()
    log_level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


_ADAPTER = TypeAdapter(EntrySettings)


def parse_settings(text: str, source: str = "settings") -> EntrySettings:
    """Parses and validates settings.

    :raises DocumentError: The settings are not valid; the error names the field.
    """
    settings = validate(_ADAPTER, parse_jsonc(text, source), source)
    if not settings.partitions:
        raise DocumentError("partitions: at least one is required", step="check")
    if settings.timing.log_read_lag_s >= settings.timing.key_bound_s:
        raise DocumentError("timing.log_read_lag_s must be below key_bound_s", step="check")
    for address in (settings.callers, settings.peers, settings.log, settings.instances):
        _check_address(address)
    return settings


def load_settings(path: Path) -> EntrySettings:
    """Reads a settings file.

    :raises DocumentError: The file cannot be read or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError(
            f"cannot read settings {path}: {error}",
            step="settings.read",
            hint="use --settings with a readable file, or --standalone",
        ) from None
    return parse_settings(text, str(path))


def _check_address(address: str) -> None:
    numbers = [int(number) for number in re.findall(r"\d+", address)]
    if max(numbers[:4]) > 255 or numbers[4] > 65_535:
        raise DocumentError(f"{address!r} is not a valid IP address and port", step="check")
