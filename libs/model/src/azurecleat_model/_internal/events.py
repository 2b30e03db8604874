"""Numbered log events.

``docs/events.md`` lists every event. A test checks that the list is complete.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from loguru import logger


class Event(NamedTuple):
    """One type of log line: number, level and message with named fields. Numbers never change."""

    number: int
    level: str
    message: str


INSTANCE_STARTED = Event(100, "INFO", "instance {instance} started in {zone}, callers on {port}")
INSTANCE_STOPPING = Event(101, "INFO", "instance {instance} stops admitting and drains")
INSTANCE_STOPPED = Event(102, "INFO", "instance {instance} stopped")
COMPONENT_FAILED = Event(103, "ERROR", "{component} failed: {error}")
PARTITION_CLAIMED = Event(200, "INFO", "claimed {partition} with epoch {epoch}")
PARTITION_SERVING = Event(201, "INFO", "serving {partition} with epoch {epoch}")
PARTITION_LOST = Event(202, "WARNING", "lost {partition} epoch {epoch}: {reason}")
PARTITION_RELEASED = Event(203, "INFO", "released {partition} epoch {epoch}")
LOG_UNREACHABLE = Event(300, "WARNING", "log unreachable: {error}")
LOG_REACHED = Event(301, "INFO", "log reachable again at offset {offset}")
LOG_GAP = Event(302, "WARNING", "log forgot offset {offset}; loading a snapshot")
SNAPSHOT_WRITTEN = Event(303, "INFO", "snapshot of {section} up to offset {offset}, {size} bytes")
CONFIG_IN_FORCE = Event(400, "INFO", "environment version {version} in force")
KEY_WITHDRAWN = Event(401, "INFO", "key {key} withdrawn (recorded: {recorded})")
ADMISSION_SUSPENDED = Event(402, "WARNING", "keyed admission suspended: {reason}")
ADMISSION_RESUMED = Event(403, "INFO", "keyed admission resumed")
TARGET_FAILED = Event(500, "WARNING", "target {target} failed at {step}: {error}")
TARGET_BACK = Event(501, "INFO", "target {target} answers again")
TARGET_SUSPECT = Event(502, "WARNING", "worker {target} put on probation")
PEER_LOST = Event(600, "WARNING", "peer {peer} lost: {error}")
PEER_CONNECTED = Event(601, "INFO", "peer {peer} connected")
BAD_FRAME = Event(602, "WARNING", "peer {peer} sent a bad frame: {error}")


def log_event(event: Event, **fields: Any) -> None:
    """Writes a log line with the event's number; ``fields`` fill the message."""
    logger.opt(depth=1).log(event.level, f"E{event.number} {event.message}", **fields)
