"""What instances and targets tell each other, free of any wire format."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

from azurecleat_model import Resources


class TargetKind(str, Enum):
    """Back ends: runners answer requests, workers run tasks."""

    RUNNER = "runner"
    WORKER = "worker"


class Target(NamedTuple):
    """A runner or worker as the platform's list shows it.

    ``slots`` is the number of requests a runner serves at one time, ``connections`` the number
    it accepts; a worker has ``capacity`` instead.
    """

    name: str
    kind: TargetKind
    zone: str
    address: str
    rack: str = ""
    capacity: Resources = Resources(0, 0, 0)
    slots: int = 0
    connections: int = 0
    leaving: bool = False


class TaskStart(NamedTuple):
    """Orders a worker to start a task; starting the same id again changes nothing."""

    task: str
    size: Resources
    run_s: float
    command: str = ""


class StopMode(str, Enum):
    """Ways to take capacity back from a task, mildest first."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


class TaskStop(NamedTuple):
    """Orders a worker to give back a task's capacity."""

    task: str
    how: StopMode = StopMode.STOP


class RunningTask(NamedTuple):
    """A task on a worker, with its usage as last reported."""

    task: str
    used: Resources


class EndedTask(NamedTuple):
    """A task that ended; the worker repeats this until it is acknowledged.

    ``result`` is ``done``, ``failed``, ``stopped`` or ``checkpointed``.
    """

    task: str
    result: str


class ControlRequest(NamedTuple):
    """One exchange of an owner with a target: lease renewal and commands together.

    ``since`` is the version of the last reply seen; a target repeats its tasks only if they
    changed since then.
    """

    partition: str
    epoch: int
    owner: str
    lease_s: float
    start: tuple[TaskStart, ...] = ()
    stop: tuple[TaskStop, ...] = ()
    acknowledge: tuple[str, ...] = ()
    since: int = -1
    release: bool = False


class ControlReply(NamedTuple):
    """A target's answer to the owner it obeys. ``running`` is None if nothing changed."""

    version: int
    running: tuple[RunningTask, ...] | None
    ended: tuple[EndedTask, ...] = ()
    refused: tuple[str, ...] = ()


class TargetClient(Protocol):
    """Control connection to a runner or worker."""

    def control(self, request: ControlRequest) -> ControlReply:
        """Renews the lease and hands over commands.

        :raises FencedError: The target obeys another epoch, or its lease still runs.
        :raises NotRunError: The request was not sent.
        :raises OutcomeUnknownError: The request was sent; whether it took effect is not known.
        """

    def close(self) -> None:
        """Closes the connection."""


class RunnerClient(TargetClient, Protocol):
    """Connections to a runner."""

    def run(self, request_id: str, epoch: int, body: bytes, timeout_s: float) -> bytes:
        """Runs one request and returns its whole answer.

        :raises NotRunError: The request was not run.
        :raises OutcomeUnknownError: The request may have run.
        """


class InstanceList(Protocol):
    """The platform's lagging list of instances."""

    def targets(self) -> list[Target]:
        """Returns the runners and workers listed now.

        :raises LogUnavailableError: The platform was not reached.
        """
