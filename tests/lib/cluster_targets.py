"""Simulated targets, and a checker that sees only what they did."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from azurecleat_base import Resources
from azurecleat_base.exceptions import FencedError, OutcomeUnknownError
from azurecleat_cluster.ports import StartOrder, StartResult
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

FAILURES = 0.08
"""Share of runs that fail by chance."""


def is_poisoned(task: TaskId) -> bool:
    """Whether a task fails each time."""
    return task.index == 2 and task.job.endswith("7")


class Promise(NamedTuple):
    """What the checker knows of a submitted step."""

    step: Step
    team: str
    attempts: int


class Checker:
    """Judges starts by what targets saw. It shares no code with the scheduler."""

    def __init__(self) -> None:
        self.promises: dict[tuple[str, int], Promise] = {}
        self.limits: dict[str, Resources] = {}
        self.cancelled_at: dict[str, float] = {}
        self.running: dict[TaskId, set[tuple[str, int]]] = {}
        self.done: set[TaskId] = set()
        self.noted_failures: dict[TaskId, int] = {}
        self.broken: list[str] = []
        self.failed_ends: dict[TaskId, int] = {}
        """Runs that ended as failed, whether anybody took note of it or not."""
        self.starts = 0
        self.started_at: dict[TaskId, float] = {}
        """Newest start of each task."""

    def on_start(self, target: SimTarget, order: StartOrder, now: float) -> None:
        task = order.task
        self.starts += 1
        self.started_at[task] = now
        promise = self.promises.get((task.job, task.step))
        if promise is None:
            self._break(now, "UNASKED", task, target.id)
            return
        if self.running.get(task) and not promise.step.speculative:
            self._break(now, "TWICE at work", task, f"{target.id} and {self.running[task]}")
        if task in self.done:
            self._break(now, "TWICE after done", task, target.id)
        if self.noted_failures.get(task, 0) >= promise.attempts:
            self._break(now, "BUDGET", task, target.id)
        for index in promise.step.depends_on:
            before = self.promises[task.job, index].step
            for member in range(before.count):
                if TaskId(task.job, task.occurrence, index, member) not in target.world_ended:
                    self._break(now, "ORDER", task, f"{index}.{member} is not done")
        self.running.setdefault(task, set()).add((target.id, order.run))
        if any(used > bound for used, bound in zip(target.used(), target.capacity, strict=True)):
            self._break(now, "LIMIT", task, f"{target.id} {target.used()}")
        self._check_team(promise, task, now)

    def _check_team(self, promise: Promise, task: TaskId, now: float) -> None:
        limit = self.limits.get(promise.team)
        if limit is None or not limit.cpu_milli:
            return
        used = sum(
            self.promises[each.job, each.step].step.need.cpu_milli * len(runs)
            for each, runs in self.running.items()
            if self.promises[each.job, each.step].team == promise.team
        )
        if used > limit.cpu_milli * 1.1 + promise.step.need.cpu_milli:
            self._break(now, "QUOTA", task, f"{used} of {limit.cpu_milli}")

    def on_end(self, target: SimTarget, task: TaskId, run: int) -> None:
        self.running.get(task, set()).discard((target.id, run))

    def on_noted(self, end: RunEnd) -> None:
        """Takes in that an end was acknowledged while its lease had not lapsed since."""
        if end.kind is EndKind.DONE:
            self.done.add(end.task)
        elif end.kind is EndKind.FAILED:
            self.noted_failures[end.task] = self.noted_failures.get(end.task, 0) + 1

    def _break(self, now: float, rule: str, task: TaskId, detail: str) -> None:
        self.broken.append(f"{now:.3f} {rule} {task} {detail}")


class _SimRun:
    def __init__(self, order: StartOrder, ends_at: float, kind: EndKind, began_at: float) -> None:
        self.order = order
        self.ends_at = ends_at
        self.kind = kind
        self.began_at = began_at
        self.stops_at: float | None = None

    def percent(self, now: float) -> float:
        whole_s = self.ends_at - self.began_at
        return min(99.0, 100.0 * (now - self.began_at) / whole_s)


class SimTarget:
    """One life of a target on a simulated clock; it starts whatever it is told.

    :param rate: Speed of its clock, 0.98 at the slowest.
    :param world_ended: Tasks that have ended done anywhere; shared by all targets.
    """

    STOP_S = 0.2

    def __init__(
        self,
        entry: TargetEntry,
        checker: Checker,
        rng: random.Random,
        rate: float,
        world_ended: set[TaskId],
        duration: Callable[[TaskId], float],
    ) -> None:
        self.entry = entry
        self.capacity = entry.capacity
        self.world_ended = world_ended
        self.is_up = True
        self._checker = checker
        self._rng = rng
        self._rate = rate
        self._duration = duration
        self._runs: dict[tuple[TaskId, int], _SimRun] = {}
        self._ended: list[tuple[RunEnd, bool]] = []
        self._highest: dict[TaskId, int] = {}
        self._fence = 0
        self._until_ms = 0.0
        self._count = 0

    @property
    def id(self) -> str:
        return self.entry.id

    def used(self) -> Resources:
        total = Resources(0, 0, 0)
        for run in self._runs.values():
            promise = self._checker.promises[run.order.task.job, run.order.task.step]
            total = total.plus(promise.step.room)
        return total

    def clock_ms(self, now: float) -> float:
        return now * 1000.0 * self._rate

    def advance(self, now: float) -> None:
        """Ends what is over at a time."""
        if self._runs and self.clock_ms(now) > self._until_ms:
            # Ends that nobody has taken note of do not bind once the lease has lapsed.
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

    def hold(self, fence: int, acknowledged: int, until_ms: int | None, now: float) -> TargetReport:
        self._obey(fence)
        self.advance(now)
        if until_ms is not None:
            self._until_ms = max(self._until_ms, until_ms)
        for end, lapsed in self._ended:
            if end.number <= acknowledged and not lapsed:
                self._checker.on_noted(end)
        self._ended = [each for each in self._ended if each[0].number > acknowledged]
        running = tuple(
            RunStatus(task, number, "", run.percent(now), 0.0)
            for (task, number), run in self._runs.items()
        )
        ended = tuple(end for end, _ in self._ended)
        return TargetReport(self.clock_ms(now), self.entry.born_ms, running, ended)

    def start(self, order: StartOrder, now: float) -> StartResult:
        self._obey(order.fence)
        self.advance(now)
        key = (order.task, order.run)
        clock_ms = self.clock_ms(now)
        if key in self._runs:
            return StartResult(True, "", clock_ms)
        if order.run <= self._highest.get(order.task, 0):
            return StartResult(False, "old", clock_ms)
        if order.until_ms < clock_ms:
            return StartResult(False, "late", clock_ms)
        self._until_ms = max(self._until_ms, order.until_ms)
        fails = self._rng.random() < FAILURES or is_poisoned(order.task)
        kind = EndKind.FAILED if fails else EndKind.DONE
        self._runs[key] = _SimRun(order, now + self._duration(order.task), kind, now)
        self._checker.on_start(self, order, now)
        return StartResult(True, "", clock_ms)

    def stop(self, task: TaskId, run: int, fence: int, now: float) -> None:
        self._obey(fence)
        self.advance(now)
        known = self._runs.get((task, run))
        if known is None:
            self._highest[task] = max(self._highest.get(task, 0), run)
        elif known.stops_at is None:
            known.stops_at = now + self.STOP_S

    def crash(self) -> None:
        """Ends this life: what it ran is gone, and nobody hears of it."""
        self.is_up = False
        for task, run in self._runs:
            self._checker.on_end(self, task, run)
        self._runs.clear()

    def _obey(self, fence: int) -> None:
        if not self.is_up:
            raise OutcomeUnknownError("down", step="sim", peer=self.id)
        if fence < self._fence:
            raise FencedError("obeys another", epoch=self._fence, step="sim", peer=self.id)
        self._fence = fence

    def _end(self, key: tuple[TaskId, int], kind: EndKind) -> None:
        run = self._runs.pop(key)
        task, number = key
        self._highest[task] = max(self._highest.get(task, 0), number)
        self._count += 1
        self._ended.append((RunEnd(self._count, task, number, kind, ""), False))
        if kind is EndKind.DONE:
            self.world_ended.add(task)
        elif kind is EndKind.FAILED:
            failed = self._checker.failed_ends
            failed[task] = failed.get(task, 0) + 1
        self._checker.on_end(self, run.order.task, number)


def make_entry(number: int, life: int, cpu: int = 8000) -> TargetEntry:
    return TargetEntry(
        id=f"t{number}-{life}",
        pool="pool",
        address=f"10.0.0.{number}:80",
        zone="z",
        state=TargetState.READY,
        born_ms=1000 + life,
        capacity=Resources(cpu, 64_000, 0),
        labels=("a", f"r{number % 2}"),
    )
