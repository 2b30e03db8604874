"""Value types of the cluster: jobs, queues, teams, targets and runs."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from azurecleat_base import Resources


class Step(NamedTuple):
    """Tasks of one job that are alike.

    ``estimate_ms`` is the submitter's guess of a task's duration. ``max_per_target`` of 0 means
    no bound. ``fills`` tasks use processor time that others leave, so that their ``cpu_milli``
    does not count against a target. ``may_miss`` bounds how many long-running tasks the system
    may take away at one time.
    """

    count: int
    need: Resources
    estimate_ms: float = 0.0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_target: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    may_miss: int = 0

    @property
    def allocation(self) -> Resources:
        """What one task takes of a target's capacity."""
        return self.need._replace(cpu_milli=0) if self.fills else self.need


class JobSpec(NamedTuple):
    """A job as submitted; ``repeats`` of 0 means once, at submission."""

    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        return max(1, self.repeats)


class AdviceTerms(NamedTuple):
    """Cost of asking which targets a step may use, and how long an answer is valid."""

    decide_ms: float
    period_ms: float
    valid_ms: float

    def cost_s(self, targets: int) -> float:
        return (self.decide_ms + self.period_ms * targets) / 1000.0


class Queue(NamedTuple):
    """A route on which jobs are submitted; lower ``priority`` goes first."""

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    objective_ms: float = 0.0
    timeout_ms: float = 0.0
    is_open: bool = False
    advice: AdviceTerms | None = None


class Pool(NamedTuple):
    """Targets that serve the same queues; ``guards`` tells that they check admission."""

    name: str
    checks_admission: bool = False
    standby: bool = False


class Team(NamedTuple):
    """A client account. ``weight`` is its share in jobs per second, 0 in ``limit`` no bound."""

    name: str
    keys: frozenset[str]
    weight: float = 0.0
    limit: Resources = Resources(0, 0, 0)


class Configuration(NamedTuple):
    """One version of what operators have set."""

    version: int
    queues: tuple[Queue, ...]
    pools: Mapping[str, Pool]
    teams: Mapping[str, Team]


class TargetState(Enum):
    READY = "ready"
    DRAINING = "draining"


class TargetEntry(NamedTuple):
    """What a target reports of itself. ``born_ms`` differs between lives under one id."""

    id: str
    pool: str
    address: str
    zone: str
    state: TargetState
    started_at_ms: int
    capacity: Resources
    labels: tuple[str, ...] = ()
    remaining_ms: int = 0

    @property
    def kind(self) -> str:
        return self.labels[0] if self.labels else ""

    @property
    def rack(self) -> str:
        return self.labels[1] if len(self.labels) > 1 else ""


class TaskId(NamedTuple):
    """One task of one occurrence of a job's step."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> TaskId:
        """Parses the form that :meth:`__str__` writes.

        :raises ValueError: The text has another form.
        """
        job, occurrence, step, index = text.split(".")
        return cls(job, int(occurrence), int(step), int(index))


class EndKind(Enum):
    """How a run ended, as its target reports it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunStatus(NamedTuple):
    """A run at work. ``load`` is the tail latency in ms of a serving task, else processor use."""

    task: TaskId
    run: int
    checkpoint: str
    percent: float
    load: float


class RunEnd(NamedTuple):
    """A run that ended; ``number`` rises within one life of the target."""

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


class TargetReport(NamedTuple):
    """Answer to a hold: everything that runs, and the ends not yet acknowledged."""

    clock_ms: float
    started_at_ms: int
    running: tuple[RunStatus, ...]
    ended: tuple[RunEnd, ...]


class JobState(Enum):
    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        return self not in (JobState.QUEUED, JobState.RUNNING)
