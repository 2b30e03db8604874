"""How long targets delay their answers to polls, and how long an owner pauses between polls.

No I/O, no clock. A poll costs the owner 0.55 ms of a core. At two polls a second, 733 targets with
runs took a whole core, and the pause between two appends reached 1.5 s, so that a standby claimed
ownership. Above a few hundred targets the period therefore grows with their number.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_POLLS_PER_S = 400
"""Polls per second of one owner, as far as the bounds below allow."""

MIN_IDLE_POLLS_PER_S = 100
"""Part of these polls that targets without runs get, however many others there are."""

BUSY_WAIT_S = 0.5
"""Shortest wait of a poll to a target with runs: a run that stalls is noticed within two polls."""

MAX_BUSY_WAIT_S = 1.2
"""Longest wait of such a poll. If the next poll is lost on its way and the one after it renews
nothing, as its connection is new, two waits have to fit into a lease of 3.2 s, with time for an
owner that is half a second behind."""

MAX_WAIT_S = 2.0
"""Longest wait that targets allow, and the wait for a target without runs."""

MAX_IDLE_PAUSE_S = 6.0
"""Longest pause before the next poll of a target without runs."""

LOSSY_WAIT_S = 0.3
"""Wait while answers get lost: a lost answer delays run ends by the whole wait."""

MAX_LOSSY_POLLS_PER_S = 1000
"""Polls per second while answers get lost. If lost answers raised the rate without a bound, an
owner that is too slow to receive answers in time would become slower still."""

PROOF_WAIT_S = 1.5
"""Longest wait while the log gives no proof of ownership: an answer proves ownership until 3 s
after its poll was sent, and the next answer has to arrive before that."""


class PollPace(NamedTuple):
    """When the next poll of a target is sent and answered.

    :param wait_s: How long the target delays its answer while no run ends.
    :param pause_s: Pause before the poll; it ends early if the target gets a run.
    """

    wait_s: float
    pause_s: float = 0.0


class PollSchedule:
    """The pace of the polls to all targets of a term."""

    def __init__(self) -> None:
        self._targets = 0
        self._busy = 0

    def add_target(self) -> None:
        """Notes a further target; it counts as one with runs until it has answered."""
        self._targets += 1
        self._busy += 1

    def note_idle(self) -> None:
        """Notes that the first answer of a target shows no runs."""
        self._busy = max(0, self._busy - 1)

    def update(self, targets: int, busy: int) -> None:
        """Notes the number of targets, and of those with runs."""
        self._targets, self._busy = targets, busy

    def pace(self, has_runs: bool, is_lossy: bool, is_log_silent: bool) -> PollPace:
        """Returns the pace of one target.

        :param is_lossy: Whether answers got lost recently.
        :param is_log_silent: Whether only answers of targets prove ownership now.
        """
        busy_wait_s = _between(BUSY_WAIT_S, self._busy / MAX_POLLS_PER_S, MAX_BUSY_WAIT_S)
        lossy_wait_s = max(LOSSY_WAIT_S, self._targets / MAX_LOSSY_POLLS_PER_S)
        if has_runs:
            wait_s = min(lossy_wait_s, busy_wait_s) if is_lossy else busy_wait_s
            return PollPace(min(wait_s, PROOF_WAIT_S) if is_log_silent else wait_s)
        if is_lossy and lossy_wait_s < BUSY_WAIT_S:
            return PollPace(lossy_wait_s)
        idle_polls_per_s = max(MIN_IDLE_POLLS_PER_S, MAX_POLLS_PER_S - self._busy / busy_wait_s)
        period_s = (self._targets - self._busy) / idle_polls_per_s
        if is_log_silent and period_s > MAX_WAIT_S:
            return PollPace(PROOF_WAIT_S)
        return PollPace(MAX_WAIT_S, _between(0.0, period_s - MAX_WAIT_S, MAX_IDLE_PAUSE_S))


def _between(low: float, value: float, high: float) -> float:
    return min(high, max(low, value))
