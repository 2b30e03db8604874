"""One tenure of ownership: fences the predecessor, serves the term, hands over."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from azurecleat_base import Clock
from azurecleat_base.exceptions import DocumentError, FencedError, LogError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice import AdvicePool
from azurecleat_cluster._internal.owner.authority import Authority
from azurecleat_cluster._internal.owner.claim_order import node_of
from azurecleat_cluster._internal.owner.directory import DirectoryWatch
from azurecleat_cluster._internal.owner.dispatch import Dispatcher
from azurecleat_cluster._internal.owner.link import Losses, TargetLink
from azurecleat_cluster._internal.owner.placement import Preferences
from azurecleat_cluster._internal.owner.progress import ProgressWriter
from azurecleat_cluster._internal.owner.term import Connect, OwnerTerm
from azurecleat_cluster._internal.ports import (
    JOBS,
    TARGETS,
    Adviser,
    Decoder,
    Directory,
    Log,
    LogRecord,
)
from azurecleat_cluster._internal.replica import records as r
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster._internal.values import TargetEntry, TargetState

FENCE_TRIES = 3
HOUSEKEEPING_S = 0.5
RELEASE_TIMEOUT_S = 0.8
RELEASE_RECORD_TIMEOUT_S = 1.5
RELEASE_TRIES = 3
RELEASE_PAUSE_S = 0.2

CLEAN_UP_TIMEOUT_S = 2.5
"""Longest wait for the log to take that old jobs are dropped; repeated half a second later."""

SHORT_CALLERS_SHARE = 0.25
"""Share of the other instances that ask only what is answered quickly: after a change of owner all
steps ask at once, and a long answer takes as long as an urgent task."""

FOLLOW_WAIT_S = 1.0
"""Longest wait of a read: a connection may go silent for good."""


class OwnerSettings(NamedTuple):
    """Figures of the deployment that an owner needs."""

    lease_s: float
    longest_lease_s: float
    kept_s: float
    preferences: Preferences


class OwnerPorts(NamedTuple):
    """The systems that an owner talks to."""

    log: Log
    decoder: Decoder
    connect: Connect
    adviser: Adviser | None
    connect_adviser: Callable[[str], Adviser]
    directory: Directory | None


class OwnerParts(NamedTuple):
    """What an instance gives to its part in ownership.

    :param instance: This life of the instance; its node is the same in the next one.
    :param address: Where other instances reach it.
    """

    instance: str
    address: str
    settings: OwnerSettings
    ports: OwnerPorts
    replica: JobReplica
    jobs: Follower
    progress: Follower
    configuration: ConfigurationView
    clock: Clock
    events: EventLog
    metrics: Metrics


class Tenure:
    """Serves one epoch until it is lost or given up.

    :param former_gone: The former owner gave up its right or its process has ended.
    :param on_released: Called with the epoch once this instance acts no more.
    """

    def __init__(
        self,
        epoch: int,
        former_gone: bool,
        parts: OwnerParts,
        on_released: Callable[[int], None],
    ) -> None:
        self._epoch = epoch
        self._former_gone = former_gone
        self._parts = parts
        self._on_released = on_released
        self._started_at = parts.clock.monotonic()
        self._over = threading.Event()
        self._ended = threading.Event()
        self._is_serving = False
        settings = parts.settings
        authority = Authority(epoch, settings.lease_s, parts.clock, settings.longest_lease_s)
        self._writer = ProgressWriter(
            parts.ports.log,
            epoch,
            parts.clock,
            parts.metrics,
            parts.replica.apply_progress,
            authority.proved_by_log,
            lambda reason: self._term.lose(reason),
        )
        losses = Losses(parts.clock)
        self._term = OwnerTerm(
            authority,
            parts.replica,
            parts.configuration,
            self._writer,
            lambda work, observer: TargetLink(
                work, parts.ports.connect(work.entry), authority, observer, losses, parts.clock
            ),
            parts.settings.preferences,
            parts.clock,
            parts.events,
            parts.metrics,
            lambda reason: self._over.set(),
        )
        self._advice = AdvicePool(
            parts.clock,
            parts.events,
            parts.metrics,
            lambda step, answer: self._dispatcher.on_advice(step, answer),
        )
        self._dispatcher = Dispatcher(
            self._term,
            self._advice,
            parts.settings.preferences,
            parts.clock,
            parts.events,
            parts.metrics,
        )
        self._targets = Follower(
            parts.ports.log, TARGETS, self._apply_target, parts.clock, parts.events
        )

    @property
    def term(self) -> OwnerTerm | None:
        """The term, once it is served."""
        return self._term if self._is_serving else None

    def give_up(self) -> None:
        """Lets :meth:`serve` hand over and return."""
        self._over.set()

    def serve(self) -> None:
        """Serves until ownership is lost or given up.

        :raises LogError: The log gave no answer before the term began.
        """
        try:
            self._fence()
        except FencedError as error:
            self._parts.events.write(eventlog.OWNER_ENDED, epoch=self._epoch, reason=str(error))
            return
        self._parts.jobs.catch_up()
        self._parts.progress.catch_up()
        former = self._parts.replica.targets_in_use
        with self._term.lock:
            self._parts.replica.subscribe(self._on_job_record)
            self._term.take_over(former, self._former_gone)
        try:
            self._begin(former)
            while not self._over.wait(HOUSEKEEPING_S):
                self._keep_house()
        finally:
            self._finish()

    def _fence(self) -> None:
        for attempt in range(FENCE_TRIES):
            try:
                self._writer.fence()
                return
            except FencedError:
                raise
            except LogError:
                if attempt == FENCE_TRIES - 1:
                    raise

    def _begin(self, former: dict[str, str]) -> None:
        parts = self._parts
        self._writer.start()
        self._targets.poll()
        self._add_former(former)
        self._start_followers()
        self._watch_directory()
        self._keep_house()
        self._dispatcher.start()
        self._is_serving = True
        parts.metrics.owning.set(1)
        parts.events.write(
            eventlog.OWNER_SERVING,
            epoch=self._epoch,
            jobs=len(self._term.jobs),
            targets=len(self._term.links),
            took_s=round(parts.clock.monotonic() - self._started_at, 3),
        )

    def _finish(self) -> None:
        self._is_serving = False
        self._parts.metrics.owning.set(0)
        self._ended.set()
        self._parts.replica.unsubscribe(self._on_job_record)
        self._term.stop()
        self._advice.stop()
        self._dispatcher.join(RELEASE_TIMEOUT_S)
        self._term.join()
        self._writer.stop(RELEASE_TIMEOUT_S)
        reason = self._term.authority.lost_reason
        self._parts.events.write(
            eventlog.OWNER_ENDED, epoch=self._epoch, reason=reason or "stopping"
        )
        if not reason:
            self._release()

    def _release(self) -> None:
        self._on_released(self._epoch)
        record = (f"{r.RELEASE}{self._epoch}", b"1")
        for _ in range(RELEASE_TRIES):
            try:
                self._parts.ports.log.append(JOBS, [record], RELEASE_RECORD_TIMEOUT_S)
            except LogError as error:
                self._on_log_error(JOBS, error)
                time.sleep(RELEASE_PAUSE_S)
            else:
                return

    def _on_job_record(self, record: LogRecord) -> None:
        self._term.on_job_record(record.key)

    def _on_log_error(self, stream: str, error: LogError) -> None:
        self._parts.metrics.log_errors.labels(stream).inc()

    def _start_followers(self) -> None:
        for follower in (self._parts.jobs, self._targets):
            threading.Thread(
                target=follower.run,
                args=(self._ended, FOLLOW_WAIT_S, self._on_log_error),
                name="follow",
                daemon=True,
            ).start()

    def _watch_directory(self) -> None:
        parts = self._parts
        if parts.ports.directory is None:
            return
        watch = DirectoryWatch(
            parts.ports.directory, self._term, parts.clock, parts.events, parts.metrics
        )
        threading.Thread(
            target=watch.run, args=(self._ended,), name="directory", daemon=True
        ).start()

    def _apply_target(self, record: LogRecord) -> None:
        if record.value is None:
            self._term.on_target_gone(record.key)
            return
        try:
            entry = self._parts.ports.decoder.target(record)
        except DocumentError as error:
            # An entry of another writer names no target; a known one keeps its last.
            self._parts.events.write(
                eventlog.RECORD_UNREADABLE, stream=TARGETS, key=record.key, error=error
            )
            return
        if entry.pool in self._term.configuration.current.pools:
            self._term.on_target(entry)

    def _add_former(self, former: dict[str, str]) -> None:
        """Adds targets that the former owner used and that have no entry any more."""
        for name, value in former.items():
            try:
                address, pool, started_at_ms = r.load(value)
            except ValueError as error:
                self._parts.events.write(
                    eventlog.RECORD_UNREADABLE, stream="progress", key=name, error=error
                )
                continue
            entry = TargetEntry(
                name, pool, address, "", TargetState.DRAINING, started_at_ms, r.NO_RESOURCES
            )
            self._term.add_former_target(entry)

    def _keep_house(self) -> None:
        """Opens due occurrences, drops old jobs, keeps the callers of the adviser."""
        parts, term = self._parts, self._term
        with term.lock:
            for job in term.jobs.values():
                term.open_due_occurrences(job)
        parts.metrics.active_runs.set(sum(len(link.work.runs) for link in term.links.values()))
        self._keep_callers()
        expired = term.expire(parts.settings.kept_s)
        if expired:
            kinds = (r.SUBMISSION, r.CANCELLATION)
            keys = [(kind + job, None) for job in expired for kind in kinds]
            try:
                parts.ports.log.append(JOBS, keys, CLEAN_UP_TIMEOUT_S)
            except LogError as error:
                self._on_log_error(JOBS, error)

    def _keep_callers(self) -> None:
        """Lets all instances ask for advice; some of them only where the answer is quick."""
        parts = self._parts
        own = parts.ports.adviser
        if own is None:
            return
        peers = parts.replica.instances
        self._advice.add_caller(parts.instance, lambda: own, short_only=True)
        others = sorted(node for node in peers if node != node_of(parts.instance))
        reserved = int(len(others) * SHORT_CALLERS_SHARE)
        for number, node in enumerate(others):
            connect = partial(parts.ports.connect_adviser, peers[node].address)
            self._advice.add_caller(node, connect, short_only=number < reserved)
