"""Runs one ownership term: fences the previous owner, serves the term and releases ownership."""

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
from azurecleat_cluster._internal.features import NO_FEATURES, Features
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice import AdviceClient
from azurecleat_cluster._internal.owner.authority import Authority
from azurecleat_cluster._internal.owner.claim_order import node_of
from azurecleat_cluster._internal.owner.command_threads import CommandThreads
from azurecleat_cluster._internal.owner.directory import DirectoryWatcher
from azurecleat_cluster._internal.owner.dispatch import Dispatcher
from azurecleat_cluster._internal.owner.placement import Preferences
from azurecleat_cluster._internal.owner.progress import ProgressWriter
from azurecleat_cluster._internal.owner.start_horizon import StartHorizon
from azurecleat_cluster._internal.owner.target_session import LossTracker, TargetSession
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

FENCE_ATTEMPTS = 3
MAINTENANCE_PERIOD_S = 0.5
STOP_TIMEOUT_S = 0.8
RELEASE_APPEND_TIMEOUT_S = 1.5
RELEASE_ATTEMPTS = 3
RELEASE_PAUSE_S = 0.2

CLEAN_UP_TIMEOUT_S = 2.5
"""Timeout of the append that deletes old jobs from the log."""

CLEAN_UP_RETRY_S = 10.0
"""Pause after such an append failed: while it waits for an answer, no occurrence is opened."""

MAX_CLEAN_UP_JOBS = 500
"""Most jobs that one append deletes: the log limits the size of a call."""

FOLLOW_WAIT_S = 1.0
"""Longest wait of a read, as a connection may hang for good."""


class OwnerSettings(NamedTuple):
    """The deployment's settings that an owner needs.

    :param lease_s: Length of the leases given to targets.
    :param max_lease_s: Longest lease that a target grants.
    :param retention_s: How long ended jobs are kept.
    :param features: The optional features that are on.
    """

    lease_s: float
    max_lease_s: float
    retention_s: float
    preferences: Preferences
    features: Features = NO_FEATURES


class OwnerPorts(NamedTuple):
    """The external systems that an owner uses.

    :param connect: Connects to a target.
    :param adviser: This instance's connection to the advice service; None if there is none.
    :param connect_adviser: Connects to the advice service through the instance at an address.
    """

    log: Log
    decoder: Decoder
    connect: Connect
    adviser: Adviser | None
    connect_adviser: Callable[[str], Adviser]
    directory: Directory | None


class OwnerDependencies(NamedTuple):
    """What an instance provides for its part in ownership.

    :param instance: Id of this incarnation of the instance. It contains the node name, which stays
        the same after a restart.
    :param address: Address at which other instances reach this one.
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


class TermRunner:
    """Serves one epoch until ownership is lost or given up.

    :param previous_owner_gone: The previous owner released ownership or its process has ended.
    :param on_released: Called with the epoch once this instance has stopped acting as the owner.
    """

    def __init__(
        self,
        epoch: int,
        previous_owner_gone: bool,
        dependencies: OwnerDependencies,
        on_released: Callable[[int], None],
    ) -> None:
        self._epoch = epoch
        self._previous_owner_gone = previous_owner_gone
        self._dependencies = dependencies
        self._on_released = on_released
        self._started_at = dependencies.clock.monotonic()
        self._end_requested = threading.Event()
        self._ended = threading.Event()
        self._is_serving = False
        self._deleted_jobs: set[str] = set()
        """Jobs of the term whose deletion is in the log and has not been read from it yet."""
        self._clean_up_at = float("-inf")
        """Time before which no old jobs are deleted."""
        settings = dependencies.settings
        authority = Authority(epoch, settings.lease_s, dependencies.clock, settings.max_lease_s)
        start_horizon = StartHorizon(
            epoch,
            lambda: dependencies.jobs.next_offset,
            dependencies.ports.log.latency_s,
            dependencies.clock,
        )
        self._writer = ProgressWriter(
            dependencies.ports.log,
            epoch,
            dependencies.clock,
            dependencies.metrics,
            start_horizon,
            dependencies.replica.apply_progress,
            authority.add_log_proof,
            lambda reason: self._term.lose_ownership(reason),
        )
        losses = LossTracker(dependencies.clock)
        self._command_threads = CommandThreads()
        self._term = OwnerTerm(
            authority,
            dependencies.replica,
            dependencies.configuration,
            self._writer,
            start_horizon,
            lambda target, observer: TargetSession(
                target,
                dependencies.ports.connect(target.entry),
                authority,
                observer,
                losses,
                dependencies.clock,
                self._command_threads,
                self._term.poll_schedule,
            ),
            dependencies.settings.preferences,
            dependencies.clock,
            dependencies.events,
            dependencies.metrics,
            lambda reason: self._end_requested.set(),
            dependencies.settings.features,
        )
        self._advice = AdviceClient(
            dependencies.clock,
            dependencies.events,
            dependencies.metrics,
            lambda step, answer: self._dispatcher.on_advice(step, answer),
        )
        self._dispatcher = Dispatcher(
            self._term,
            self._advice,
            dependencies.settings.preferences,
            dependencies.clock,
            dependencies.events,
            dependencies.metrics,
        )
        self._targets = Follower(
            dependencies.ports.log,
            TARGETS,
            self._apply_target,
            dependencies.clock,
            dependencies.events,
        )

    @property
    def term(self) -> OwnerTerm | None:
        """The term while it is being served, else None."""
        return self._term if self._is_serving else None

    def give_up(self) -> None:
        """Makes :meth:`serve` release ownership and return."""
        self._end_requested.set()

    def serve(self) -> None:
        """Serves until ownership is lost or given up.

        :raises LogError: The log gave no answer before the term began.
        """
        try:
            self._fence()
        except FencedError as error:
            self._dependencies.events.write(
                eventlog.OWNER_ENDED, epoch=self._epoch, reason=str(error)
            )
            return
        self._dependencies.jobs.catch_up()
        self._dependencies.progress.catch_up()
        previous_targets = self._dependencies.replica.targets_in_use
        with self._term.lock:
            self._dependencies.replica.subscribe(self._on_job_record)
            self._term.take_over(previous_targets, self._previous_owner_gone)
        try:
            self._begin(previous_targets)
            while not self._end_requested.wait(MAINTENANCE_PERIOD_S):
                self._run_maintenance()
        finally:
            self._finish()

    def _fence(self) -> None:
        for attempt in range(FENCE_ATTEMPTS):
            try:
                self._writer.fence()
                return
            except FencedError:
                raise
            except LogError:
                if attempt == FENCE_ATTEMPTS - 1:
                    raise

    def _begin(self, previous_targets: dict[str, str]) -> None:
        dependencies = self._dependencies
        self._writer.start()
        self._command_threads.start()
        self._targets.poll()
        self._add_previous_targets(previous_targets)
        self._start_followers()
        self._watch_directory()
        self._run_maintenance()
        self._dispatcher.start()
        self._is_serving = True
        dependencies.metrics.owning.set(1)
        dependencies.events.write(
            eventlog.OWNER_SERVING,
            epoch=self._epoch,
            jobs=len(self._term.jobs),
            targets=len(self._term.sessions),
            took_s=round(dependencies.clock.monotonic() - self._started_at, 3),
        )

    def _finish(self) -> None:
        self._is_serving = False
        self._dependencies.metrics.owning.set(0)
        self._dependencies.metrics.expected_wait_s.clear()
        self._dependencies.metrics.dominant_share.clear()
        self._ended.set()
        self._dependencies.replica.unsubscribe(self._on_job_record)
        self._term.stop()
        self._advice.stop()
        self._dispatcher.join(STOP_TIMEOUT_S)
        self._term.join()
        self._command_threads.close()
        self._writer.stop(STOP_TIMEOUT_S)
        reason = self._term.authority.lost_reason
        self._dependencies.events.write(
            eventlog.OWNER_ENDED, epoch=self._epoch, reason=reason or "stopping"
        )
        if not reason:
            self._release()

    def _release(self) -> None:
        self._on_released(self._epoch)
        record = (f"{r.RELEASE}{self._epoch}", b"1")
        for _ in range(RELEASE_ATTEMPTS):
            try:
                self._dependencies.ports.log.append(JOBS, [record], RELEASE_APPEND_TIMEOUT_S)
            except LogError as error:
                self._on_log_error(JOBS, error)
                time.sleep(RELEASE_PAUSE_S)
            else:
                return

    def _on_job_record(self, record: LogRecord) -> None:
        self._term.on_job_record(record.key)

    def _on_log_error(self, stream: str, error: LogError) -> None:
        self._dependencies.metrics.log_errors.labels(stream).inc()

    def _start_followers(self) -> None:
        for follower in (self._dependencies.jobs, self._targets):
            threading.Thread(
                target=follower.run,
                args=(self._ended, FOLLOW_WAIT_S, self._on_log_error),
                name="follow",
                daemon=True,
            ).start()

    def _watch_directory(self) -> None:
        dependencies = self._dependencies
        if dependencies.ports.directory is None:
            return
        watcher = DirectoryWatcher(
            dependencies.ports.directory,
            self._term,
            dependencies.clock,
            dependencies.events,
            dependencies.metrics,
        )
        threading.Thread(
            target=watcher.run, args=(self._ended,), name="directory", daemon=True
        ).start()

    def _apply_target(self, record: LogRecord) -> None:
        if record.value is None:
            self._term.on_entry_removed(record.key)
            return
        try:
            entry = self._dependencies.ports.decoder.target(record)
        except DocumentError as error:
            # The record may be of another writer; a target that is known keeps its last entry.
            self._dependencies.events.write(
                eventlog.RECORD_UNREADABLE, stream=TARGETS, key=record.key, error=error
            )
            return
        if entry.pool in self._term.configuration.current.pools:
            self._term.on_target_entry(entry)

    def _add_previous_targets(self, previous_targets: dict[str, str]) -> None:
        """Adds targets that the previous owner used and that have no registry entry any more."""
        for name, value in previous_targets.items():
            try:
                address, pool, started_at_ms = r.decode_target(value)
            except ValueError as error:
                self._dependencies.events.write(
                    eventlog.RECORD_UNREADABLE, stream="progress", key=name, error=error
                )
                continue
            entry = TargetEntry(
                name, pool, address, "", TargetState.DRAINING, started_at_ms, r.NO_RESOURCES
            )
            self._term.add_previous_target(entry)

    def _run_maintenance(self) -> None:
        """Opens due occurrences, deletes old jobs and updates the advice workers."""
        dependencies, term = self._dependencies, self._term
        term.start_sessions()
        with term.lock:
            for job in term.jobs.values():
                term.open_due_occurrences(job)
        dependencies.metrics.active_runs.set(
            sum(len(session.target.runs) for session in term.sessions.values())
        )
        self._update_advice_workers()
        self._delete_old_jobs()

    def _delete_old_jobs(self) -> None:
        """Deletes the submissions of old jobs from the log.

        The term deletes a job's progress once it reads that deletion. The progress must not go
        first: another owner would take the job for a new one.
        """
        dependencies = self._dependencies
        old = self._term.old_jobs(dependencies.settings.retention_s)
        self._deleted_jobs.intersection_update(old)
        names = [name for name in old if name not in self._deleted_jobs][:MAX_CLEAN_UP_JOBS]
        now = dependencies.clock.monotonic()
        if not names or now < self._clean_up_at:
            return
        kinds = (r.SUBMISSION, r.CANCELLATION)
        keys = [(kind + name, None) for name in names for kind in kinds]
        try:
            dependencies.ports.log.append(JOBS, keys, CLEAN_UP_TIMEOUT_S)
        except LogError as error:
            self._clean_up_at = now + CLEAN_UP_RETRY_S
            self._on_log_error(JOBS, error)
        else:
            self._deleted_jobs.update(names)

    def _update_advice_workers(self) -> None:
        """Starts an advice worker for each instance."""
        dependencies = self._dependencies
        own = dependencies.ports.adviser
        if own is None:
            return
        peers = dependencies.replica.instances
        self._advice.add_worker(dependencies.instance, lambda: own, is_own=True)
        for node in sorted(peers.keys() - {node_of(dependencies.instance)}):
            connect = partial(dependencies.ports.connect_adviser, peers[node].address)
            self._advice.add_worker(node, connect)
