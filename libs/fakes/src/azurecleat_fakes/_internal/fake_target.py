"""Fakes of workers and runners, with the leases and fencing that the platform specifies."""

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
    """One event at a target, recorded for invariant checks.

    ``at`` is the clock reading in seconds, ``event`` what happened, ``subject`` the task or
    request concerned and ``epoch`` the epoch that had control.
    """

    at: float
    target: str
    event: str
    subject: str
    epoch: int


class TargetLease:
    """The lease under which a target accepts commands of one epoch at a time.

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
        """Returns whether the lease has expired, so that no owner has control."""
        return self._clock.monotonic() >= self._expires_at

    def admit(self, request: ControlRequest, name: str) -> None:
        """Grants or renews the lease.

        After a release, a higher epoch gets control at once, while tasks keep running until the
        lease expires.

        :raises FencedError: The epoch is lower than the current one, or the current one is neither
            released nor expired.
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
    """A worker that runs each task for its ``run_s`` and stops all tasks when its lease expires.

    :param target: Entry of this worker in the instance list.
    :param clock: Clock of leases and tasks.
    :param history: Shared list to which observations are appended.
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
        """Renews the lease, executes the commands and reports running and ended tasks."""
        with self._lock:
            if self.faults.down:
                raise NotRunError("fake target is down", step="control", peer=self._target.name)
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
                raise OutcomeUnknownError(
                    "fake target dropped the response", step="control", peer=self._target.name
                )
            return reply

    def close(self) -> None:
        """Does nothing: a fake has no connection."""

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
        """Ends all tasks that are due, recording the time at which each one was due.

        A task is due at the end of its run time or at the expiry of the lease, whichever is first.
        While ``fail_tasks`` is set, every running task ends at once, as failed.
        """
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
    """A runner that serves at most ``slots`` requests at a time.

    :param target: Entry of this runner in the instance list.
    :param clock: Clock of leases.
    :param history: Shared list to which observations are appended.
    :param serve: Computes the response to a request body; may sleep.
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
        """Renews the lease and reports the requests in progress."""
        with self._lock:
            if self.faults.down:
                raise NotRunError("fake target is down", step="control", peer=self._target.name)
            self._lease.admit(request, self._target.name)
            running = None
            if request.since != self._version:
                running = tuple(RunningTask(r, Resources(1, 0, 0)) for r in self._in_progress)
            return ControlReply(self._version, running)

    def run(self, request_id: str, epoch: int, body: bytes, timeout_s: float) -> bytes:
        """Runs one request and returns its response.

        :raises NotRunError: The runner is down, busy or has no free slot.
        :raises FencedError: ``epoch`` does not hold an unexpired lease.
        :raises OutcomeUnknownError: The request ran, but its response is dropped.
        """
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
                raise OutcomeUnknownError(
                    "fake runner dropped the response", step="run", peer=self._target.name
                )
        return answer

    def close(self) -> None:
        """Does nothing: a fake has no connection."""

    def _begin(self, request_id: str, epoch: int) -> None:
        with self._lock:
            if self.faults.down or self.faults.busy:
                raise NotRunError("fake runner is down or busy", step="run", peer=self._target.name)
            if epoch != self._lease.epoch or self._lease.is_lapsed():
                raise FencedError(
                    f"epoch {self._lease.epoch} has control",
                    epoch=self._lease.epoch,
                    step="run",
                    peer=self._target.name,
                )
            if len(self._in_progress) >= self._target.slots:
                self._observe("overload", request_id)
                raise NotRunError("all slots are in use", step="run", peer=self._target.name)
            self._in_progress.add(request_id)
            self._version += 1
            self._observe("run", request_id)

    def _observe(self, event: str, subject: str) -> None:
        now = self._clock.monotonic()
        epoch = self._lease.epoch
        self._history.append(Observation(now, self._target.name, event, subject, epoch))
