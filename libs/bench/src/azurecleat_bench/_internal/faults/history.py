"""What callers and operators saw, for the checker."""

from __future__ import annotations

from typing import Any, NamedTuple


class CallerResult(NamedTuple):
    """One request and its outcome: ``done``, ``not-run`` or ``unknown``."""

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
    """A request run by a runner."""

    at: float
    runner: str
    body: bytes


class WithdrawnKey(NamedTuple):
    """A key said to be withdrawn in force, at the time the operator was told so.

    ``holders`` are the instances that know of it; they matter until it is ``recorded``.
    """

    at: float
    key_id: str
    recorded: bool
    known_by: tuple[str, ...]


class Death(NamedTuple):
    """An instance whose process ended."""

    at: float
    instance: str


class LeavingPeriod(NamedTuple):
    """Time during which the list showed a target as leaving."""

    target: str
    since: float
    until: float


class ListOutage(NamedTuple):
    """A moment at which an instance of a zone could not read the instance list."""

    at: float
    zone: str


class LimitChange(NamedTuple):
    """A promoted limit of a team."""

    at: float
    team: str
    tasks: int
    requests: int


class VersionSeen(NamedTuple):
    """The configuration version at an instance; ``ready`` once it has read the log."""

    at: float
    incarnation: str
    version: int
    ready: bool


class AcceptedJob(NamedTuple):
    """A job that its caller was told is accepted."""

    at: float
    job_id: str
    team: str
    tasks: int
    repeatable: bool


class History(NamedTuple):
    """Everything seen from outside."""

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
