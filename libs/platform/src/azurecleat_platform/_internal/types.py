"""Types of the interface between instances and targets, independent of the wire format."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

from azurecleat_model import Resources


class TargetKind(str, Enum):
    """Kind of a target: runners answer requests, workers run tasks."""

    RUNNER = "runner"
    WORKER = "worker"


class Target(NamedTuple):
    """A runner or worker in the platform's instance list.

    ``slots`` is the number of requests that a runner serves at once, ``connections`` the number
    that it accepts. A worker has ``capacity`` instead.
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
    """Command to start a task on a worker; starting the same id again has no effect."""

    task: str
    size: Resources
    run_s: float
    command: str = ""


class StopMode(str, Enum):
    """Ways to reclaim capacity from a task, least disruptive first."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


class TaskStop(NamedTuple):
    """Command to reclaim a task's capacity on a worker."""

    task: str
    how: StopMode = StopMode.STOP


class RunningTask(NamedTuple):
    """A task on a worker or a request on a runner, with its usage as last reported."""

    task: str
    used: Resources


class EndedTask(NamedTuple):
    """A task that ended; the worker reports it until it is acknowledged.

    ``result`` is ``done``, ``failed``, ``stopped`` or ``checkpointed``.
    """

    task: str
    result: str


class ControlRequest(NamedTuple):
    """Request of an owner to a target: lease renewal and commands in one message.

    ``since`` is the version of the last reply received; the target reports its tasks only if they
    have changed since then.
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
    """A target's answer to the owner that controls it. ``running`` is None if unchanged."""

    version: int
    running: tuple[RunningTask, ...] | None
    ended: tuple[EndedTask, ...] = ()
    refused: tuple[str, ...] = ()


class TargetClient(Protocol):
    """Control connection to a runner or worker."""

    def control(self, request: ControlRequest) -> ControlReply:
        """Renews the lease and sends commands.

        :raises FencedError: A higher epoch controls the target, or the lease of a lower one is
            still valid.
        :raises NotRunError: The request was not sent, or the target refused it.
        :raises OutcomeUnknownError: The request was sent, and it may have taken effect.
        """

    def close(self) -> None:
        """Closes the connection."""


class RunnerClient(TargetClient, Protocol):
    """Control and request connections to a runner."""

    def run(self, request_id: str, epoch: int, body: bytes, timeout_s: float) -> bytes:
        """Runs one request and returns its complete answer.

        :raises NotRunError: The request was not run.
        :raises OutcomeUnknownError: The request may have run.
        """


class InstanceList(Protocol):
    """The platform's list of instances, which may lag behind the actual state."""

    def targets(self) -> list[Target]:
        """Returns the runners and workers currently listed.

        :raises LogUnavailableError: The list could not be read.
        """
