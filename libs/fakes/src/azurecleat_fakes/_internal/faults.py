"""Injectable faults of a fake."""

from __future__ import annotations

from typing import NamedTuple


class Faults(NamedTuple):
    """Faults that one fake injects.

    ``down``: Every call fails without effect.
    ``lose_answers``: Number of the next appends to a log, control requests to a worker or requests
    to a runner that take effect but whose responses are dropped.
    ``delay_s``: Wait before each HTTP call takes effect.
    ``read_lag``: Number of the newest log entries that are hidden from readers.
    ``fail_tasks``: A worker ends all its tasks as failed.
    ``busy``: A runner refuses every request.
    """

    down: bool = False
    lose_answers: int = 0
    delay_s: float = 0.0
    read_lag: int = 0
    fail_tasks: bool = False
    busy: bool = False
