"""Value types of the cluster: jobs, queues, teams, targets and runs."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from azurecleat_base import Resources


class Step(NamedTuple):
    """A group of identical tasks of a job.

    ``estimate_ms`` is the submitter's estimate of a task's duration. ``max_per_target`` of 0 means
    no limit. Tasks with ``fills`` use only processor time that other tasks leave idle, so their
    ``cpu_milli`` does not count against a target's capacity. ``target_ms`` bounds the tail latency
    of a serving task. ``may_miss`` is the number of long-running tasks that may be stopped at one
    time; the scheduler does not enforce it.
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
        """Capacity of a target that one task occupies."""
        return self.need._replace(cpu_milli=0) if self.fills else self.need


class JobSpec(NamedTuple):
    """A job as submitted.

    The job runs ``repeats`` times, every ``interval_ms`` from ``first_ms`` (Unix time). With
    ``repeats`` of 0 it runs once, at submission.
    """

    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        return max(1, self.repeats)

    def dependents_of(self, index: int) -> list[int]:
        """Returns the steps that depend on a step, directly or not."""
        affected = {index}
        for number in range(index + 1, len(self.steps)):
            if not affected.isdisjoint(self.steps[number].depends_on):
                affected.add(number)
        return sorted(affected - {index})


class AdviceTerms(NamedTuple):
    """Cost of a request for advice, and how long the answer is valid."""

    decide_ms: float
    period_ms: float
    valid_ms: float

    def cost_s(self, targets: int) -> float:
        """Returns how long the advice service takes for a request with this many targets."""
        return (self.decide_ms + self.period_ms * targets) / 1000.0


class Queue(NamedTuple):
    """A route on which jobs are submitted.

    A lower ``priority`` is served first. The target completion time of a job is ``objective_ms``
    plus ``stretch`` times the sum of its steps' estimates. An ``is_open`` queue accepts jobs
    without an API key.
    """

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
    """Targets that serve the same queues.

    With ``checks_admission`` the targets themselves refuse tasks that do not fit.
    """

    name: str
    checks_admission: bool = False
    standby: bool = False


class Team(NamedTuple):
    """A client account.

    ``weight`` is its share in jobs per second. A 0 in ``limit`` means no limit.
    """

    name: str
    keys: frozenset[str]
    weight: float = 0.0
    limit: Resources = Resources(0, 0, 0)


class Configuration(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...]
    pools: Mapping[str, Pool]
    teams: Mapping[str, Team]


class TargetState(Enum):
    READY = "ready"
    DRAINING = "draining"


class TargetEntry(NamedTuple):
    """A target's own entry in the log. ``started_at_ms`` tells incarnations of one id apart."""

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
    """State of a running run.

    ``load`` is the tail latency in milliseconds of a serving task, otherwise processor usage.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: float
    load: float


class RunEnd(NamedTuple):
    """A run that ended. ``number`` increases within one incarnation of the target."""

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


class TargetReport(NamedTuple):
    """Answer to a poll: all running runs, and the run ends not yet acknowledged."""

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
