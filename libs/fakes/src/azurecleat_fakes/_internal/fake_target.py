"""Stand-ins for workers and runners: lease holders with fencing, as the platform promises them."""

from __future__ import annotations

import threading
from typing import NamedTuple

from azurecleat_model import ZERO, Clock, Resources
from azurecleat_model.exceptions import FencedError, NotRunError, OutcomeUnknownError
from azurecleat_platform import (
    ControlReply,
    ControlRequest,
    EndedTask,
    RunningTask,
    StopMode,
    Target,
    TaskStart,
    TaskStop,
)

from azurecleat_fakes._internal.faults import Faults


class Observation(NamedTuple):
    """One thing a target saw, for checkers: when, which target, what, and of which epoch."""

    at: float
    target: str
    event: str
    subject: str
    epoch: int


class TargetLease:
    """Grants control to one epoch at a time.

    :param clock: The target's own clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._epoch = 0
        self._expires_at = 0.0
        self._released = False

    @property
    def epoch(self) -> int:
        return self._epoch

    @property
    def expires_at(self) -> float:
        return self._expires_at

    def is_lapsed(self) -> bool:
        """Tells whether no owner has control now."""
        return self._clock.monotonic() >= self._expires_at

    def admit(self, request: ControlRequest, name: str) -> None:
        """Grants or renews control.

        A release lets the next epoch in at once, while tasks keep running to the lease's end.

        :raises FencedError: Another epoch has control.
        """
        may_replace = self._released or self.is_lapsed()
        if request.epoch < self._epoch or (request.epoch > self._epoch and not may_replace):
            raise FencedError(
                f"epoch {self._epoch} has control", epoch=self._epoch, step="control", peer=name
            )
        self._epoch = request.epoch
        self._released = request.release
        if not request.release:
            self._expires_at = self._clock.monotonic() + request.lease_s


class _Task(NamedTuple):
    start: TaskStart
    ends_at: float


class FakeWorker:
    """A worker that runs tasks for their ``run_s`` and stops all when its lease lapses.

    :param target: How the instance list shows it.
    :param clock: Clock of leases and tasks.
    :param history: Shared list that observations are appended to.
    """

    def __init__(self, target: Target, clock: Clock, history: list[Observation]) -> None:
        self._target = target
        self._clock = clock
        self._history = history
        self._lease = TargetLease(clock)
        self._running: dict[str, _Task] = {}
        self._ended: dict[str, str] = {}
        self._version = 0
        self._lock = threading.Lock()
        self.faults = Faults()

    @property
    def target(self) -> Target:
        return self._target

    @property
    def running(self) -> dict[str, TaskStart]:
        with self._lock:
            self._end_due_tasks()
            return {name: task.start for name, task in self._running.items()}

    def control(self, request: ControlRequest) -> ControlReply:
        """Renews the lease and carries out commands."""
        with self._lock:
            if self.faults.down:
                raise NotRunError("stand-in is down", step="control", peer=self._target.name)
            self._end_due_tasks()
            self._lease.admit(request, self._target.name)
            for stop in request.stop:
                self._stop(stop)
            for task in request.acknowledge:
                self._ended.pop(task, None)
            refused = tuple(s.task for s in request.start if not self._start(s))
            reply = self._reply(request.since, refused)
            if self.faults.lose_answers > 0:
                left = self.faults.lose_answers - 1
                self.faults = self.faults._replace(lose_answers=left)
                raise OutcomeUnknownError("answer dropped", step="control", peer=self._target.name)
            return reply

    def close(self) -> None:
        """Does nothing; there is no connection."""

    def _reply(self, since: int, refused: tuple[str, ...]) -> ControlReply:
        running = None
        if since != self._version:
            running = tuple(RunningTask(n, t.start.size) for n, t in self._running.items())
        ended = tuple(EndedTask(task, result) for task, result in self._ended.items())
        return ControlReply(self._version, running, ended, refused)

    def _start(self, start: TaskStart) -> bool:
        if start.task in self._running or start.task in self._ended:
            return True
        used = ZERO
        for task in self._running.values():
            used = used.plus(task.start.size)
        if not used.plus(start.size).fits_in(self._target.capacity):
            self._observe("overload", start.task)
            return False
        ends_at = self._clock.monotonic() + start.run_s
        self._running[start.task] = _Task(start, ends_at)
        self._version += 1
        self._observe("start", start.task)
        return True

    def _stop(self, stop: TaskStop) -> None:
        if stop.task not in self._running or stop.how is StopMode.THROTTLE:
            return
        result = "checkpointed" if stop.how is StopMode.CHECKPOINT else "stopped"
        self._end(stop.task, result, self._clock.monotonic())

    def _end_due_tasks(self) -> None:
        """Ends what ended since the last call, at the time at which it ended."""
        now = self._clock.monotonic()
        if self.faults.fail_tasks:
            for name in list(self._running):
                self._end(name, "failed", min(now, self._lease.expires_at))
        lapsed_at = self._lease.expires_at
        for name, task in list(self._running.items()):
            if task.ends_at <= min(now, lapsed_at):
                self._end(name, "done", task.ends_at)
            elif lapsed_at <= now:
                self._end(name, "stopped", lapsed_at)

    def _end(self, task: str, result: str, at: float) -> None:
        del self._running[task]
        self._ended[task] = result
        self._version += 1
        self._observe(result, task, at)

    def _observe(self, event: str, subject: str, at: float | None = None) -> None:
        moment = self._clock.monotonic() if at is None else at
        epoch = self._lease.epoch
        self._history.append(Observation(moment, self._target.name, event, subject, epoch))


class FakeRunner:
    """A runner that answers requests, with at most ``slots`` at one time.

    :param target: How the instance list shows it.
    :param clock: Clock of leases.
    :param history: Shared list that observations are appended to.
    :param serve: Computes the answer of a request; may sleep.
    """

    def __init__(self, target: Target, clock: Clock, history: list[Observation], serve) -> None:
        self._target = target
        self._clock = clock
        self._history = history
        self._serve = serve
        self._lease = TargetLease(clock)
        self._in_progress: set[str] = set()
        self._version = 0
        self._lock = threading.Lock()
        self.faults = Faults()

    @property
    def target(self) -> Target:
        return self._target

    @property
    def in_progress(self) -> frozenset[str]:
        return frozenset(self._in_progress)

    def control(self, request: ControlRequest) -> ControlReply:
        """Renews the lease and tells which requests are in progress."""
        with self._lock:
            if self.faults.down:
                raise NotRunError("stand-in is down", step="control", peer=self._target.name)
            self._lease.admit(request, self._target.name)
            running = None
            if request.since != self._version:
                running = tuple(RunningTask(r, Resources(1, 0, 0)) for r in self._in_progress)
            return ControlReply(self._version, running)

    def run(self, request_id: str, epoch: int, body: bytes, timeout_s: float) -> bytes:
        """Runs one request."""
        self._begin(request_id, epoch)
        try:
            answer = self._serve(body)
        finally:
            with self._lock:
                self._in_progress.discard(request_id)
                self._version += 1
                self._observe("finish", request_id)
        with self._lock:
            if self.faults.lose_answers > 0:
                left = self.faults.lose_answers - 1
                self.faults = self.faults._replace(lose_answers=left)
                raise OutcomeUnknownError("answer dropped", step="run", peer=self._target.name)
        return answer

    def close(self) -> None:
        """Does nothing; there is no connection."""

    def _begin(self, request_id: str, epoch: int) -> None:
        with self._lock:
            if self.faults.down or self.faults.busy:
                raise NotRunError("stand-in refuses", step="run", peer=self._target.name)
            if epoch != self._lease.epoch or self._lease.is_lapsed():
                raise FencedError(
                    f"epoch {self._lease.epoch} has control",
                    epoch=self._lease.epoch,
                    step="run",
                    peer=self._target.name,
                )
            if len(self._in_progress) >= self._target.slots:
                self._observe("overload", request_id)
                raise NotRunError("all slots are taken", step="run", peer=self._target.name)
            self._in_progress.add(request_id)
            self._version += 1
            self._observe("run", request_id)

    def _observe(self, event: str, subject: str) -> None:
        now = self._clock.monotonic()
        epoch = self._lease.epoch
        self._history.append(Observation(now, self._target.name, event, subject, epoch))
