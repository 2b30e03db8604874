"""Outcome of applying one event of the log."""

from __future__ import annotations

from typing import NamedTuple


class Applied(NamedTuple):
    """Whether an event took effect; ``reason`` says why not."""

    accepted: bool
    reason: str = ""


ACCEPTED = Applied(True)


def rejected(reason: str) -> Applied:
    """Returns the outcome of an event without effect."""
    return Applied(False, reason)
