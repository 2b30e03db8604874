"""Simulated targets, and a checker that observes only what the targets did."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from azurecleat_base import Resources
from azurecleat_base.exceptions import FencedError, OutcomeUnknownError
from azurecleat_cluster.ports import StartCommand, StartResult
from azurecleat_cluster.values import (
    EndKind,
    RunEnd,
    RunStatus,
    Step,
    TargetEntry,
    TargetReport,
    TargetState,
    TaskId,
)

FAILURE_RATE = 0.08
"""Fraction of runs that fail at random."""


def always_fails(task: TaskId) -> bool:
    """Returns whether every run of a task fails."""
    return task.index == 2 and task.job.endswith("7")


class ExpectedStep(NamedTuple):
    """A submitted step as the checker knows it.

    :param attempts: Number of failed runs after which the task must not be started again.
    """

    step: Step
    team: str
    attempts: int


MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 3
"""A task that crashes its targets must not be started this often after ``MAX_CRASHES`` crashes."""


class ExecutionChecker:
    """Checks each start against what the targets did before. Shares no code with the scheduler."""

    def __init__(self) -> None:
        self.expected_steps: dict[tuple[str, int], ExpectedStep] = {}
        self.limits: dict[str, Resources] = {}
        self.cancelled_at: dict[str, float] = {}
        self.running: dict[TaskId, set[tuple[str, int]]] = {}
        self.done: set[TaskId] = set()
        """Tasks with an acknowledged run that ended as done."""
        self._unacknowledged: dict[TaskId, set[tuple[str, int]]] = {}
        """Targets and numbers of runs that ended as done and are not acknowledged."""
        self._repeated: set[tuple[TaskId, str, int]] = set()
        """Those of them after whose end the task was started again."""
        self.acknowledged_failures: dict[TaskId, int] = {}
        self.violations: list[str] = []
        """One line per violation: time, rule, task and detail."""
        self.failed_ends: dict[TaskId, int] = {}
        """Number of failed runs of each task, acknowledged by an owner or not."""
        self.starts = 0
        self.started_at: dict[TaskId, float] = {}
        """Newest start of each task."""
        self.crashes: dict[TaskId, int] = {}
        """Number of targets that crashed while a run of the task was on them."""
        self._starts_after_crashes: dict[TaskId, int] = {}
        """Starts of a deadly task after ``MAX_CRASHES`` targets had crashed under it."""

    def on_start(self, target: SimTarget, command: StartCommand, now: float) -> None:
        task = command.task
        self.starts += 1
        self.started_at[task] = now
        expected = self.expected_steps.get((task.job, task.step))
        if expected is None:
            self._add_violation(now, "UNASKED", task, target.id)
            return
        if self.running.get(task) and not expected.step.speculative:
            self._add_violation(now, "TWICE running", task, f"{target.id} and {self.running[task]}")
        if task in self.done:
            self._add_violation(now, "TWICE after done", task, target.id)
        if not expected.step.speculative:
            ended = self._unacknowledged.get(task, ())
            self._repeated.update((task, where, run) for where, run in ended)
        if self.acknowledged_failures.get(task, 0) >= expected.attempts:
            self._add_violation(now, "BUDGET", task, target.id)
        for index in expected.step.depends_on:
            before = self.expected_steps[task.job, index].step
            for member in range(before.count):
                if TaskId(task.job, task.occurrence, index, member) not in target.completed_tasks:
                    self._add_violation(now, "ORDER", task, f"{index}.{member} is not done")
        self.running.setdefault(task, set()).add((target.id, command.run))
        if any(used > bound for used, bound in zip(target.used(), target.capacity, strict=True)):
            self._add_violation(now, "LIMIT", task, f"{target.id} {target.used()}")
        self._check_team(expected, task, now)

    def _check_team(self, expected: ExpectedStep, task: TaskId, now: float) -> None:
        limit = self.limits.get(expected.team)
        if limit is None or not limit.cpu_milli:
            return
        used = sum(
            self.expected_steps[each.job, each.step].step.need.cpu_milli * len(runs)
            for each, runs in self.running.items()
            if self.expected_steps[each.job, each.step].team == expected.team
        )
        if used > limit.cpu_milli * 1.1 + expected.step.need.cpu_milli:
            self._add_violation(now, "QUOTA", task, f"{used} of {limit.cpu_milli}")

    def on_end(self, target: SimTarget, task: TaskId, run: int, kind: EndKind) -> None:
        self.running.get(task, set()).discard((target.id, run))
        if kind is EndKind.DONE:
            self._unacknowledged.setdefault(task, set()).add((target.id, run))

    def on_deadly_start(self, target: SimTarget, task: TaskId, now: float) -> None:
        """Checks the start of a task that crashes each target that starts it."""
        if self.crashes.get(task, 0) < MAX_CRASHES:
            return
        starts = self._starts_after_crashes[task] = self._starts_after_crashes.get(task, 0) + 1
        if starts == MAX_STARTS_AFTER_CRASHES:
            self._add_violation(now, "BUDGET crashes", task, f"{starts} more starts, {target.id}")

    def on_crash(self, target: SimTarget, tasks: Iterable[TaskId] = ()) -> None:
        """Forgets the unacknowledged ends of an incarnation: no later one lists them.

        :param tasks: Tasks that the incarnation was running.
        """
        for task in tasks:
            self.crashes[task] = self.crashes.get(task, 0) + 1
        for runs in self._unacknowledged.values():
            runs.difference_update([each for each in runs if each[0] == target.id])
        self._repeated = {each for each in self._repeated if each[1] != target.id}

    def on_acknowledged(self, target: SimTarget, end: RunEnd, now: float) -> None:
        """Records a run end that was acknowledged before the target's lease expired.

        A task must not start again after an end as done, even if the acknowledgement comes later
        than the start.
        """
        if end.kind is EndKind.DONE:
            self.done.add(end.task)
            self._unacknowledged.get(end.task, set()).discard((target.id, end.run))
            if (end.task, target.id, end.run) in self._repeated:
                self._add_violation(now, "TWICE after done", end.task, f"{target.id} {end.run}")
        elif end.kind is EndKind.FAILED:
            self.acknowledged_failures[end.task] = self.acknowledged_failures.get(end.task, 0) + 1

    def _add_violation(self, now: float, rule: str, task: TaskId, detail: str) -> None:
        self.violations.append(f"{now:.3f} {rule} {task} {detail}")


class _SimRun:
    def __init__(
        self, command: StartCommand, ends_at: float, kind: EndKind, began_at: float
    ) -> None:
        self.command = command
        self.ends_at = ends_at
        self.kind = kind
        self.began_at = began_at
        self.stops_at: float | None = None

    def percent(self, now: float) -> float:
        whole_s = self.ends_at - self.began_at
        return min(99.0, 100.0 * (now - self.began_at) / whole_s)


class SimTarget:
    """One incarnation of a target on a simulated clock. It does not check its capacity.

    :param rate: Speed of the target's clock relative to real time; at least 0.98.
    :param completed_tasks: Tasks that are done on any target; shared by all targets.
    :param duration: Returns the duration of a task in seconds.
    """

    STOP_DELAY_S = 0.2
    MAX_REPORTED_ENDS = 500
    """Most run ends in one answer to a poll, the oldest first."""

    def __init__(
        self,
        entry: TargetEntry,
        checker: ExecutionChecker,
        rng: random.Random,
        rate: float,
        completed_tasks: set[TaskId],
        duration: Callable[[TaskId], float],
    ) -> None:
        self.entry = entry
        self.capacity = entry.capacity
        self.completed_tasks = completed_tasks
        self.is_up = True
        self.on_started: Callable[[TaskId], None] | None = None
        """Called with the task of each run that begins."""
        self._checker = checker
        self._rng = rng
        self.rate = rate
        self.duration = duration
        self._runs: dict[tuple[TaskId, int], _SimRun] = {}
        self._ended: list[tuple[RunEnd, bool]] = []
        """Unacknowledged run ends, and whether the lease has expired since."""
        self._highest: dict[TaskId, int] = {}
        """Highest number of a task's runs that have ended or were stopped before they started."""
        self._fencing_token = 0
        self._until_ms = 0.0
        """End of the lease on the target's clock."""
        self._count = 0

    @property
    def id(self) -> str:
        return self.entry.id

    def used(self) -> Resources:
        total = Resources(0, 0, 0)
        for run in self._runs.values():
            expected = self._checker.expected_steps[run.command.task.job, run.command.task.step]
            total = total.plus(expected.step.allocation)
        return total

    def clock_ms(self, now: float) -> float:
        return now * 1000.0 * self.rate

    def advance(self, now: float) -> None:
        """Ends the runs that are over at a time, and all runs if the lease has expired."""
        if self._runs and self.clock_ms(now) > self._until_ms:
            # The checker ignores run ends that were not acknowledged before the lease expired: an
            # owner that has not seen them may start the tasks again elsewhere.
            self._ended = [(end, True) for end, _ in self._ended]
            for key in list(self._runs):
                self._end(key, EndKind.LAPSED)
        elif self.clock_ms(now) > self._until_ms:
            self._ended = [(end, True) for end, _ in self._ended]
        for key, run in list(self._runs.items()):
            if run.stops_at is not None and now >= run.stops_at:
                self._end(key, EndKind.STOPPED)
            elif now >= run.ends_at:
                self._end(key, run.kind)

    def poll(
        self, fencing_token: int, acknowledged: int, until_ms: int | None, now: float
    ) -> TargetReport:
        self._check_fencing_token(fencing_token)
        self.advance(now)
        if until_ms is not None:
            self._until_ms = max(self._until_ms, until_ms)
        for end, lapsed in self._ended:
            if end.number <= acknowledged and not lapsed:
                self._checker.on_acknowledged(self, end, now)
        self._ended = [each for each in self._ended if each[0].number > acknowledged]
        running = tuple(
            RunStatus(task, number, "", run.percent(now), 0.0)
            for (task, number), run in self._runs.items()
        )
        ended = tuple(end for end, _ in self._ended[: self.MAX_REPORTED_ENDS])
        return TargetReport(self.clock_ms(now), self.entry.started_at_ms, running, ended)

    def start(self, command: StartCommand, now: float) -> StartResult:
        self._check_fencing_token(command.fencing_token)
        self.advance(now)
        key = (command.task, command.run)
        clock_ms = self.clock_ms(now)
        if key in self._runs:
            return StartResult(True, "", clock_ms)
        if command.run <= self._highest.get(command.task, 0):
            return StartResult(False, "old", clock_ms)
        if command.until_ms < clock_ms:
            return StartResult(False, "late", clock_ms)
        self._until_ms = max(self._until_ms, command.until_ms)
        fails = self._rng.random() < FAILURE_RATE or always_fails(command.task)
        kind = EndKind.FAILED if fails else EndKind.DONE
        self._runs[key] = _SimRun(command, now + self.duration(command.task), kind, now)
        self._checker.on_start(self, command, now)
        if self.on_started is not None:
            self.on_started(command.task)
        return StartResult(True, "", clock_ms)

    def stop(self, task: TaskId, run: int, fencing_token: int, now: float) -> None:
        self._check_fencing_token(fencing_token)
        self.advance(now)
        known = self._runs.get((task, run))
        if known is None:
            self._highest[task] = max(self._highest.get(task, 0), run)
        elif known.stops_at is None:
            known.stops_at = now + self.STOP_DELAY_S

    def crash(self) -> None:
        """Ends this incarnation. Its runs end without any report."""
        self.is_up = False
        for task, run in self._runs:
            self._checker.on_end(self, task, run, EndKind.LAPSED)
        self._checker.on_crash(self, [task for task, _ in self._runs])
        self._runs.clear()

    def _check_fencing_token(self, fencing_token: int) -> None:
        if not self.is_up:
            raise OutcomeUnknownError("down", step="sim", peer=self.id)
        if fencing_token < self._fencing_token:
            raise FencedError(
                "controlled by another owner", epoch=self._fencing_token, step="sim", peer=self.id
            )
        self._fencing_token = fencing_token

    def _end(self, key: tuple[TaskId, int], kind: EndKind) -> None:
        run = self._runs.pop(key)
        task, number = key
        self._highest[task] = max(self._highest.get(task, 0), number)
        self._count += 1
        self._ended.append((RunEnd(self._count, task, number, kind, ""), False))
        if kind is EndKind.DONE:
            self.completed_tasks.add(task)
        elif kind is EndKind.FAILED:
            failed = self._checker.failed_ends
            failed[task] = failed.get(task, 0) + 1
        self._checker.on_end(self, run.command.task, number, kind)


def make_entry(number: int, incarnation: int, cpu: int = 8000) -> TargetEntry:
    return TargetEntry(
        id=f"t{number}-{incarnation}",
        pool="pool",
        address=f"10.0.0.{number}:80",
        zone="z",
        state=TargetState.READY,
        started_at_ms=1000 + incarnation,
        capacity=Resources(cpu, 64_000, 0),
        labels=("a", f"r{number % 2}"),
    )
