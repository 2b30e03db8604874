"""Switches that make a stand-in fail on purpose."""

from __future__ import annotations

from typing import NamedTuple


class Faults(NamedTuple):
    """Faults of one stand-in.

    ``down`` refuses every call, ``lose_answers`` drops that many answers after the effect,
    ``delay_s`` waits before each call takes effect, and ``read_lag`` hides that many of the
    newest log entries from readers.
    """

    down: bool = False
    lose_answers: int = 0
    delay_s: float = 0.0
    read_lag: int = 0
    fail_tasks: bool = False
    busy: bool = False
