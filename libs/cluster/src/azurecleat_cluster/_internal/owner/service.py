"""Stands by, claims ownership when nobody holds it, and serves a term."""

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
from azurecleat_cluster._internal.owner.directory import DirectoryWatch
from azurecleat_cluster._internal.owner.dispatch import Dispatcher
from azurecleat_cluster._internal.owner.line import ClaimOrder, node_of
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

POLL_S = 0.25
"""Pause between the reads of a standby that is among the next to claim."""

SLOW_POLL_S = 1.0
"""Pause between the reads of the others; each call to the log is paid for."""

CLOSE_STANDBYS = 3
"""Instances that watch the owner closely: with two of them lost, one is left."""

JOBS_POLL_S = 1.0
"""Age at which a standby reads the jobs stream again. The owner answers for newer jobs."""

SILENCE_S = 0.55
"""Silence of an owner in the log after which its place is claimed: two heartbeats, and a pause.
A claim too early does no harm: fences decide, and the change takes some 0.1 s."""

SILENT_LATENCIES = 4
"""Answers of the log, as slow as the last ones, that are added to it."""

GAP_S = 2.0
"""A pause between two reads beyond which silence is counted anew: nothing could be heard."""

FIRST_CLAIM_S = 0.6
"""Time that instances have to announce themselves before the very first claim: they start within
0.3 s of each other."""

TURN_S = 0.03
"""Time that an instance has for its claim before the next one's turn: two appends."""

CLAIM_TIMEOUT_S = 2.5
FENCE_TRIES = 3
HOUSEKEEPING_S = 0.5
RELEASE_TIMEOUT_S = 0.8
RELEASE_RECORD_TIMEOUT_S = 1.5
RELEASE_TRIES = 3
RELEASE_PAUSE_S = 0.2

SHORT_CALLERS_SHARE = 0.25
"""Share of the other instances that ask only what is answered quickly: after a change of owner all
steps ask at once, and a long answer takes as long as an urgent task."""

RELEASED = "released"

OWN_CLAIM = "own claim"

FOLLOW_WAIT_S = 1.0
"""Longest wait of a read: a connection may go silent for good."""


class OwnerSettings(NamedTuple):
    """Figures of the deployment that an owner needs."""

    lease_s: float
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


class OwnerService:
    """Takes part in ownership for one instance.

    :param instance: This life of the instance; ``node`` is the same in its next life.
    :param on_released: Called with the epoch once this instance acts no more.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        settings: OwnerSettings,
        ports: OwnerPorts,
        replica: JobReplica,
        jobs_follower: Follower,
        progress_follower: Follower,
        configuration: ConfigurationView,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        on_released: Callable[[int], None],
    ) -> None:
        self._instance = instance
        self._address = address
        self._settings = settings
        self._ports = ports
        self._replica = replica
        self._jobs = jobs_follower
        self._progress = progress_follower
        self._order = ClaimOrder(instance, replica)
        self._configuration = configuration
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._on_released = on_released
        self._retired = threading.Event()
        self._idle = threading.Event()
        self._stopping = threading.Event()
        self._nudged = threading.Event()
        self._lost = threading.Event()
        self._term: OwnerTerm | None = None
        self._served = 0
        self._vacated = 0
        self._polled_at = float("-inf")
        self._heard_at = float("-inf")
        self._heard = (0, 0)
        self._failing_since: float | None = None
        self._started_at = clock.monotonic()
        self._thread = threading.Thread(target=self._run, name="owner", daemon=True)

    @property
    def term(self) -> OwnerTerm | None:
        """The term that this instance serves, None while it stands by."""
        return self._term

    def start(self) -> None:
        self._thread.start()

    def retire(self, timeout_s: float) -> None:
        """Gives up ownership, so that another instance takes over without waiting.

        The log is still followed, for the callers that are still answered.
        """
        self._retired.set()
        self._lost.set()
        self._nudged.set()
        self._idle.wait(timeout_s)

    def stop(self) -> None:
        """Ends following the log."""
        self._stopping.set()
        self._retired.set()
        self._nudged.set()
        self._lost.set()

    def note_vacancy(self, epoch: int) -> None:
        """Notes the word of an owner that it acts no more; its record may be on its way."""
        self._vacated = max(self._vacated, epoch)
        self._nudged.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._stand_by()
            except LogError as error:
                self._note_log_error(error)
                self._stopping.wait(0.1)
            except Exception as error:  # A bug in a term must not end the standby.
                self._events.write(eventlog.FAILED, component="owner", error=repr(error))
                self._stopping.wait(0.5)

    def _note_log_error(self, error: LogError) -> None:
        self._metrics.log_errors.labels("standby").inc()
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()
            self._events.write(
                eventlog.DEPENDENCY_LOST, dependency="log", step=error.step, error=error
            )

    def _note_log_back(self) -> None:
        if self._failing_since is not None:
            after_s = round(self._clock.monotonic() - self._failing_since, 3)
            self._failing_since = None
            self._events.write(eventlog.DEPENDENCY_BACK, dependency="log", after_s=after_s)

    def _stand_by(self) -> None:
        if self._jobs.age() > JOBS_POLL_S or self._nudged.is_set():
            self._nudged.clear()
            self._jobs.poll()
        self._progress.poll()
        self._note_log_back()
        now = self._clock.monotonic()
        heard = (self._progress.applied, self._replica.claim.epoch)
        if heard != self._heard or now - self._polled_at > GAP_S:
            self._heard, self._heard_at = heard, now
        self._polled_at = now
        self._metrics.epoch.set(self._replica.claim.epoch)
        if self._retired.is_set():
            self._idle.set()
        elif (reason := self._vacancy(now)) and (reason == OWN_CLAIM or self._is_first_in_line()):
            epoch = self._claim(reason, now)
            if epoch:
                self._serve(epoch, reason == RELEASED)
                return
        in_line = self._order.ahead()
        self._nudged.wait(POLL_S if in_line < CLOSE_STANDBYS else SLOW_POLL_S)

    def _vacancy(self, now: float) -> str:
        """Returns why ownership may be claimed, empty if it is held."""
        claim = self._replica.claim
        if self._configuration.current is None:
            return ""
        if not claim.epoch and now - self._started_at < FIRST_CLAIM_S:
            return ""
        if claim.released or (claim.epoch == self._vacated and claim.epoch):
            return RELEASED
        if claim.instance == self._instance:
            return "own term ended" if claim.epoch <= self._served else OWN_CLAIM
        if node_of(claim.instance) == node_of(self._instance):
            return RELEASED  # An earlier life of this process: it has surely ended.
        patience_s = SILENCE_S + SILENT_LATENCIES * self._ports.log.latency_s()
        return "silent" if now - self._heard_at > patience_s else ""

    def _is_first_in_line(self) -> bool:
        """Waits while the instances ahead may claim, and looks at the log again.

        A slow log gets one claim then, not one of each instance.
        """
        before = self._order.ahead()
        if not before:
            return True
        claim = self._replica.claim
        self._stopping.wait(before * (TURN_S + 2 * self._ports.log.latency_s()))
        self._jobs.poll()
        return self._replica.claim == claim

    def _claim(self, reason: str, now: float) -> int:
        """Claims the next epoch; returns it if the claim was the first, 0 otherwise."""
        if reason == OWN_CLAIM:
            return self._replica.claim.epoch
        claim = r.Claim(self._replica.claim.epoch + 1, self._instance, self._address)
        self._events.write(
            eventlog.OWNER_CLAIMED,
            epoch=claim.epoch,
            silent_s=round(now - self._heard_at, 3),
            reason=reason,
        )
        record = (r.claim_key(claim), r.encode_claim(claim))
        self._ports.log.append(JOBS, [record], CLAIM_TIMEOUT_S)
        self._jobs.catch_up()
        winner = self._replica.claim
        if winner != claim:
            self._events.write(eventlog.CLAIM_LOST, epoch=claim.epoch, winner=winner.instance)
            return 0
        return claim.epoch

    def _serve(self, epoch: int, former_gone: bool) -> None:
        started_at = self._clock.monotonic()
        self._served = epoch
        self._lost.clear()
        if self._retired.is_set():
            self._lost.set()
        losses = Losses(self._clock)
        authority = Authority(epoch, self._settings.lease_s, self._clock)
        writer = ProgressWriter(
            self._ports.log,
            epoch,
            self._clock,
            self._metrics,
            self._replica.apply_progress,
            authority.proved_by_log,
            lambda reason: term.lose(reason),
        )
        term = OwnerTerm(
            authority,
            self._replica,
            self._configuration,
            writer,
            lambda work, observer: TargetLink(
                work, self._ports.connect(work.entry), authority, observer, losses, self._clock
            ),
            self._settings.preferences,
            self._clock,
            self._events,
            self._metrics,
            self._on_lost,
        )
        try:
            self._fence(writer)
        except FencedError as error:
            self._events.write(eventlog.OWNER_ENDED, epoch=epoch, reason=str(error))
            return
        self._jobs.catch_up()
        self._progress.catch_up()
        self._run_term(term, writer, started_at, former_gone)

    def _fence(self, writer: ProgressWriter) -> None:
        for attempt in range(FENCE_TRIES):
            try:
                writer.fence()
                return
            except FencedError:
                raise
            except LogError:
                if attempt == FENCE_TRIES - 1:
                    raise

    def _run_term(
        self, term: OwnerTerm, writer: ProgressWriter, started_at: float, former_gone: bool
    ) -> None:
        epoch = term.authority.fence
        advice = AdvicePool(
            self._clock,
            self._events,
            self._metrics,
            lambda step, answer: dispatcher.on_advice(step, answer),
        )
        dispatcher = Dispatcher(
            term, advice, self._settings.preferences, self._clock, self._events, self._metrics
        )
        listener: Callable[[LogRecord], None] = lambda record: term.on_job_record(  # noqa: E731
            record.key
        )
        targets = Follower(
            self._ports.log, TARGETS, self._target_applier(term), self._clock, self._events
        )
        ended = threading.Event()
        former = self._replica.targets_in_use
        with term.lock:
            self._replica.subscribe(listener)
            term.take_over(former, former_gone)
        try:
            writer.start()
            targets.poll()
            self._add_former(term, former)
            self._start_followers(targets, ended)
            self._watch_directory(term, ended)
            self._keep_house(term, advice)
            dispatcher.start()
            self._term = term
            self._metrics.owning.set(1)
            self._events.write(
                eventlog.OWNER_SERVING,
                epoch=epoch,
                jobs=len(term.jobs),
                targets=len(term.links),
                took_s=round(self._clock.monotonic() - started_at, 3),
            )
            while not self._lost.wait(HOUSEKEEPING_S):
                self._keep_house(term, advice)
        finally:
            self._term = None
            self._metrics.owning.set(0)
            ended.set()
            self._replica.unsubscribe(listener)
            term.stop()
            advice.stop()
            dispatcher.join(RELEASE_TIMEOUT_S)
            term.join()
            writer.stop(RELEASE_TIMEOUT_S)
            self._end(term)

    def _end(self, term: OwnerTerm) -> None:
        epoch = term.authority.fence
        reason = term.authority.lost_reason
        self._events.write(eventlog.OWNER_ENDED, epoch=epoch, reason=reason or "stopping")
        if reason:
            return
        self._on_released(epoch)
        record = (f"{r.RELEASE}{epoch}", b"1")
        for _ in range(RELEASE_TRIES):
            try:
                self._ports.log.append(JOBS, [record], RELEASE_RECORD_TIMEOUT_S)
            except LogError as error:
                self._note_log_error(error)
                time.sleep(RELEASE_PAUSE_S)
            else:
                return

    def _on_lost(self, reason: str) -> None:
        self._lost.set()

    def _start_followers(self, targets: Follower, ended: threading.Event) -> None:
        for follower in (self._jobs, targets):
            threading.Thread(
                target=follower.run,
                args=(ended, FOLLOW_WAIT_S, self._on_follow_error),
                name="follow",
                daemon=True,
            ).start()

    def _watch_directory(self, term: OwnerTerm, ended: threading.Event) -> None:
        if self._ports.directory is None:
            return
        watch = DirectoryWatch(
            self._ports.directory, term, self._clock, self._events, self._metrics
        )
        threading.Thread(target=watch.run, args=(ended,), name="directory", daemon=True).start()

    def _on_follow_error(self, stream: str, error: LogError) -> None:
        self._metrics.log_errors.labels(stream).inc()

    def _target_applier(self, term: OwnerTerm) -> Callable[[LogRecord], None]:
        def apply(record: LogRecord) -> None:
            if record.value is None:
                term.on_target_gone(record.key)
                return
            try:
                entry = self._ports.decoder.target(record)
            except DocumentError as error:
                # An entry of another writer names no target; a known one keeps its last.
                self._events.write(
                    eventlog.RECORD_UNREADABLE, stream=TARGETS, key=record.key, error=error
                )
                return
            if entry.pool in (term.configuration.current.pools):
                term.on_target(entry)

        return apply

    def _add_former(self, term: OwnerTerm, former: dict[str, str]) -> None:
        """Adds targets that the former owner used and that have no entry any more."""
        for name, value in former.items():
            try:
                address, pool, born_ms = r.load(value)
            except ValueError as error:
                self._events.write(
                    eventlog.RECORD_UNREADABLE, stream="progress", key=name, error=error
                )
                continue
            entry = TargetEntry(
                name, pool, address, "", TargetState.DRAINING, born_ms, r.NO_RESOURCES
            )
            term.add_former_target(entry)

    def _keep_house(self, term: OwnerTerm, advice: AdvicePool) -> None:
        """Opens due occurrences, drops old jobs, keeps the callers of the adviser."""
        with term.lock:
            for job in term.jobs.values():
                term.open_due_occurrences(job)
        self._metrics.active.set(sum(len(link.work.runs) for link in term.links.values()))
        self._keep_callers(advice)
        expired = term.expire(self._settings.kept_s)
        if expired:
            kinds = (r.SUBMISSION, r.CANCELLATION)
            keys = [(kind + job, None) for job in expired for kind in kinds]
            try:
                self._ports.log.append(JOBS, keys, CLAIM_TIMEOUT_S)
            except LogError as error:
                self._note_log_error(error)

    def _keep_callers(self, advice: AdvicePool) -> None:
        """Lets all instances ask for advice; some of them only where the answer is quick."""
        own = self._ports.adviser
        if own is None:
            return
        peers = self._replica.instances
        advice.add_caller(self._instance, lambda: own, short_only=True)
        others = sorted(node for node in peers if node != node_of(self._instance))
        reserved = int(len(others) * SHORT_CALLERS_SHARE)
        for number, node in enumerate(others):
            connect = partial(self._ports.connect_adviser, peers[node].address)
            advice.add_caller(node, connect, short_only=number < reserved)
