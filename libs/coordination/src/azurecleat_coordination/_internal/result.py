"""Outcome of applying one event of the log."""

from __future__ import annotations

from typing import NamedTuple


class ApplyResult(NamedTuple):
    """Whether an event took effect; ``reason`` says why not."""

    accepted: bool
    reason: str = ""


ACCEPTED = ApplyResult(True)


def rejected(reason: str) -> ApplyResult:
    """Returns the outcome of an event without effect."""
    return ApplyResult(False, reason)
