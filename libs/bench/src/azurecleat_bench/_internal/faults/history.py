"""Records of what targets, callers and operators observed; the input of the checker."""

from __future__ import annotations

from typing import Any, NamedTuple


class CallerResult(NamedTuple):
    """One request and its outcome: ``done``, ``not-run`` or ``unknown``.

    ``code`` is the refusal's code, empty if the request was done.
    """

    at: float
    instance: str
    team: str
    key_id: str
    body: bytes
    repeatable: bool
    outcome: str
    code: str
    answer: bytes


class Execution(NamedTuple):
    """A request that a runner has executed."""

    at: float
    runner: str
    body: bytes


class WithdrawnKey(NamedTuple):
    """A key whose withdrawal an instance reported as in force at the time ``at``.

    ``recorded`` says whether the withdrawal is in the log. If not, only the instances ``known_by``
    know of it.
    """

    at: float
    key_id: str
    recorded: bool
    known_by: tuple[str, ...]


class Death(NamedTuple):
    """The end of an instance's process."""

    at: float
    instance: str


class LeavingPeriod(NamedTuple):
    """Time during which the list showed a target as leaving."""

    target: str
    since: float
    until: float


class ListOutage(NamedTuple):
    """One failed read of the instance list by an instance of ``zone``."""

    at: float
    zone: str


class LimitChange(NamedTuple):
    """The largest limits of a team that may be in force from ``at`` on."""

    at: float
    team: str
    tasks: int
    requests: int


class VersionSeen(NamedTuple):
    """The configuration version of an instance; ``ready`` if its replica has caught up."""

    at: float
    incarnation: str
    version: int
    ready: bool


class AcceptedJob(NamedTuple):
    """A job that was acknowledged to its caller."""

    at: float
    job_id: str
    team: str
    tasks: int
    repeatable: bool


class History(NamedTuple):
    """Everything that is observed from outside the instances during one run.

    ``final_jobs`` holds the last summary of each job by its id.
    """

    callers: list[CallerResult]
    executions: list[Execution]
    observations: list[Any]
    withdrawn: list[WithdrawnKey]
    deaths: list[Death]
    leaving: list[LeavingPeriod]
    list_outages: list[ListOutage]
    limits: list[LimitChange]
    versions: list[VersionSeen]
    jobs: list[AcceptedJob]
    final_jobs: dict[str, dict[str, Any]]


def new_history() -> History:
    """Returns an empty history."""
    return History([], [], [], [], [], [], [], [], [], [], {})
