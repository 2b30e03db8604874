"""Probation of workers on which every task fails.

Only failures of several job names and of several teams, without a success between them, put a
worker on probation: one broken job does not. On probation, a worker gets one task at a time as a
probe, or the tasks of one all-at-once job, after a delay that doubles with each failed probe. A
success ends the probation, and so does a probe that has been at work for long. Tasks from before
the probation are no probes: a worker may fail all that it starts while they go on.
"""

from __future__ import annotations

from collections.abc import Iterable

MIN_FAILED_JOB_NAMES = 3
MIN_FAILED_TEAMS = 2
FIRST_PROBE_DELAY_S = 30.0
MAX_PROBE_DELAY_S = 1800.0

PROOF_S = 30.0
"""Time at work after which a probe counts as a success: a service never ends as done."""


class Probation:
    """Failure record and probation of one worker."""

    __slots__ = (
        "_failed_names",
        "_failed_teams",
        "_began_at",
        "_delay_s",
        "_probe_at",
        "_probe_due",
    )

    def __init__(self) -> None:
        self._failed_names: set[tuple[str, str]] = set()
        self._failed_teams: set[str] = set()
        self._began_at = 0.0
        self._delay_s = 0.0
        self._probe_at = 0.0
        self._probe_due = False

    @property
    def is_active(self) -> bool:
        return self._delay_s > 0

    @property
    def failed_names(self) -> frozenset[tuple[str, str]]:
        """Team and job name of each failure since the last success."""
        return frozenset(self._failed_names)

    def is_probe(self, started_at: float) -> bool:
        """Returns whether a task that was started at this time is a probe."""
        return self.is_active and started_at > self._began_at

    def admits(self, started_at: Iterable[float]) -> bool:
        """Returns whether a worker may get another task.

        :param started_at: When each of its tasks was started.
        """
        return not self.is_active or (
            self._probe_due and not any(self.is_probe(each) for each in started_at)
        )

    def tick(self, now: float) -> bool:
        """Makes the probe due if its delay has passed; returns whether it became due."""
        if not self.is_active or self._probe_due or now < self._probe_at:
            return False
        self._probe_due = True
        return True

    def on_success(self) -> bool:
        """Clears the failure record; returns whether this ended a probation."""
        was_active = self.is_active
        self._failed_names.clear()
        self._failed_teams.clear()
        self._delay_s = 0.0
        self._probe_due = False
        return was_active

    def on_failure(self, team: str, name: str, started_at: float, now: float) -> bool:
        """Records a failure; returns whether this began a probation.

        :param started_at: When the task that failed was started.
        """
        self._failed_names.add((team, name))
        self._failed_teams.add(team)
        if self.is_active:
            if self.is_probe(started_at):
                self._schedule_probe(now, min(self._delay_s * 2, MAX_PROBE_DELAY_S))
            return False
        if (
            len(self._failed_names) < MIN_FAILED_JOB_NAMES
            or len(self._failed_teams) < MIN_FAILED_TEAMS
        ):
            return False
        self._began_at = now
        self._schedule_probe(now, FIRST_PROBE_DELAY_S)
        return True

    def _schedule_probe(self, now: float, delay_s: float) -> None:
        self._delay_s = delay_s
        self._probe_at = now + delay_s
        self._probe_due = False
