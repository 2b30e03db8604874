"""Result of applying one event of the log."""

from __future__ import annotations

from typing import NamedTuple


class ApplyResult(NamedTuple):
    """Whether an event took effect, and if not, why."""

    accepted: bool
    reason: str = ""


ACCEPTED = ApplyResult(True)


def rejected(reason: str) -> ApplyResult:
    """Returns the result of an event that has no effect."""
    return ApplyResult(False, reason)
