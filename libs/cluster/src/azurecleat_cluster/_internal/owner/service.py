"""Follows the log as a standby, and claims ownership when no instance holds it."""

from __future__ import annotations

import threading
from collections.abc import Callable

from azurecleat_base.exceptions import LogError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.owner.claim_order import ClaimOrder, node_of
from azurecleat_cluster._internal.owner.machine_speed import SpeedMonitor, measure_work_s
from azurecleat_cluster._internal.owner.term import OwnerTerm
from azurecleat_cluster._internal.owner.term_runner import OwnerDependencies, TermRunner
from azurecleat_cluster._internal.ports import JOBS
from azurecleat_cluster._internal.replica import records as r

POLL_PAUSE_S = 0.25
"""Pause between two reads of a standby that is among the next to claim."""

SLOW_POLL_PAUSE_S = 1.0
"""Pause between two reads of the other standbys; each call to the log is billed."""

LOAD_POLL_PAUSE_S = 0.5
"""The same while an owner reports that jobs have to wait: one call a second more. Its reports are
half a second apart."""

FAST_POLLING_STANDBYS = 3
"""Standbys that poll at the short pause: if two of them are lost, one is left."""

JOBS_MAX_AGE_S = 1.0
"""Age at which a standby reads the jobs stream again. Requests for newer jobs go to the owner."""

OWNER_TIMEOUT_S = 0.55
"""Time without an append by the owner after which ownership is claimed: two heartbeats of 0.2 s and
a pause of 0.15 s. A premature claim is harmless: fencing decides who owns, and the change takes
about 0.1 s."""

TIMEOUT_LATENCIES = 4
"""How many times the log's recent latency is added to ``OWNER_TIMEOUT_S``."""

MAX_READ_GAP_S = 2.0
"""Pause between two reads after which the owner's timeout starts again: its appends were not
read in between."""

FIRST_CLAIM_DELAY_S = 0.6
"""Time for the instances to announce themselves before the very first claim: they start within
0.3 s of each other."""

CLAIM_TURN_S = 0.03
"""Time that an instance has to claim before the next one may: two appends."""

MAX_CLAIM_WAIT_S = 1.0
"""Longest wait for all instances ahead: they may be gone, as the entries of instances stay in the
log. Instances that would have to wait for longer may claim at the same time."""

CLAIM_TIMEOUT_S = 2.5

OWNER_SPEED_PERIOD_S = 0.25
"""Pause between two measurements of an owner's speed."""

SPEED_PERIOD_S = 1.0
"""The same for a standby."""

SLOW_CLAIM_DELAY_S = 2.0
"""Time for which an instance on a slow machine leaves the claim to others. If all machines are
slow, one of them has to own."""

RELEASED = "released"
"""Reason for a claim: the owner has released ownership or its process has ended."""

RESTARTED = "restarted"
"""Reason for a claim: the owner was an earlier incarnation of this process."""

OWN_CLAIM = "own claim"
"""Reason to serve without a new claim: the log has a claim of this instance not yet served."""


class OwnerService:
    """Takes part in ownership for one instance, as a standby or as the owner.

    :param on_released: Called with the epoch once this instance has stopped acting as the owner.
    """

    def __init__(self, dependencies: OwnerDependencies, on_released: Callable[[int], None]) -> None:
        self._dependencies = dependencies
        self._instance = dependencies.instance
        self._replica = dependencies.replica
        self._clock = dependencies.clock
        self._events = dependencies.events
        self._order = ClaimOrder(dependencies.instance, dependencies.replica)
        self._on_released = on_released
        self._retired = threading.Event()
        self._standing_by = threading.Event()
        self._stopping = threading.Event()
        self._wake = threading.Event()
        self._runner: TermRunner | None = None
        self._served_epoch = 0
        self._released_epoch = 0
        self._polled_at = float("-inf")
        self._activity_at = float("-inf")
        self._last_activity = (0, 0)
        self._failing_since: float | None = None
        self._started_at = dependencies.clock.monotonic()
        self._speed = SpeedMonitor()
        self._nonclaiming: frozenset[tuple[str, r.InstanceEntry]] = frozenset()
        """Instances, by node, that did not claim ownership while this one waited for them to."""
        self._has_handover = dependencies.settings.features.handover
        self._thread = threading.Thread(target=self._run, name="owner", daemon=True)

    @property
    def term(self) -> OwnerTerm | None:
        """The term that this instance serves; None while it is a standby."""
        runner = self._runner
        return runner.term if runner is not None else None

    def start(self) -> None:
        self._thread.start()
        if self._has_handover:
            threading.Thread(target=self._watch_speed, name="speed", daemon=True).start()

    def retire(self, timeout_s: float) -> None:
        """Gives up ownership, so that another instance can take over at once.

        Keeps following the log, for the requests that are still served.

        :param timeout_s: Longest wait until ownership is given up.
        """
        self._retired.set()
        self._give_up()
        self._wake.set()
        self._standing_by.wait(timeout_s)

    def stop(self) -> None:
        """Gives up ownership and stops following the log."""
        self._stopping.set()
        self._retired.set()
        self._wake.set()
        self._give_up()

    def _give_up(self) -> None:
        runner = self._runner
        if runner is not None:
            runner.give_up()

    def on_owner_released(self, epoch: int) -> None:
        """Handles an owner's notice that it has stopped acting.

        Its release record may not be in the log yet.
        """
        self._released_epoch = max(self._released_epoch, epoch)
        self._wake.set()

    def _watch_speed(self) -> None:
        while not self._stopping.wait(
            SPEED_PERIOD_S if self._runner is None else OWNER_SPEED_PERIOD_S
        ):
            self.note_speed(measure_work_s())

    def note_speed(self, took_s: float) -> None:
        """Adds a measurement of this machine's speed; a slow owner gives up ownership.

        It stays the owner if no other instance is known, or if none of those known claimed when it
        was slow before.
        """
        self._speed.note(took_s)
        if not self._speed.is_slow:
            self._nonclaiming = frozenset()
            return
        runner = self._runner
        if runner is None or not self._others() - self._nonclaiming:
            return
        self._events.write(
            eventlog.OWNER_SLOW,
            epoch=self._served_epoch,
            slowdown=round(self._speed.slowdown, 1),
        )
        runner.give_up()

    def _others(self) -> frozenset[tuple[str, r.InstanceEntry]]:
        """Returns the other instances that are known, by node."""
        own = node_of(self._instance)
        return frozenset(
            (node, entry) for node, entry in self._replica.instances.items() if node != own
        )

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._stand_by()
            except LogError as error:
                self._note_log_error(error)
                self._stopping.wait(0.1)
            except Exception as error:  # A bug in a term must not stop the standby.
                self._events.write(eventlog.COMPONENT_FAILED, component="owner", error=repr(error))
                self._stopping.wait(0.5)

    def _note_log_error(self, error: LogError) -> None:
        self._dependencies.metrics.log_errors.labels("standby").inc()
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()
            self._events.write(
                eventlog.DEPENDENCY_LOST, dependency="log", step=error.step, error=error
            )

    def _note_log_recovered(self) -> None:
        if self._failing_since is not None:
            after_s = round(self._clock.monotonic() - self._failing_since, 3)
            self._failing_since = None
            self._events.write(eventlog.DEPENDENCY_BACK, dependency="log", after_s=after_s)

    def _stand_by(self) -> None:
        if self._dependencies.jobs.age() > JOBS_MAX_AGE_S or self._wake.is_set():
            self._wake.clear()
            self._dependencies.jobs.poll()
        self._dependencies.progress.poll()
        self._note_log_recovered()
        now = self._clock.monotonic()
        activity = (self._dependencies.progress.applied, self._replica.claim.epoch)
        if activity != self._last_activity or now - self._polled_at > MAX_READ_GAP_S:
            self._last_activity, self._activity_at = activity, now
        self._polled_at = now
        self._dependencies.metrics.epoch.set(self._replica.claim.epoch)
        if self._retired.is_set():
            self._standing_by.set()
        elif (reason := self._claim_reason(now)) and (
            reason in (OWN_CLAIM, RESTARTED) or self._is_first_in_line()
        ):
            epoch = self._claim(reason, now)
            if epoch:
                self._serve(epoch, reason in (RELEASED, RESTARTED))
                return
        self._wake.wait(self._poll_pause_s())

    def _poll_pause_s(self) -> float:
        if self._order.count_ahead() < FAST_POLLING_STANDBYS:
            return POLL_PAUSE_S
        load = self._replica.load
        is_in_force = load is not None and load.report.epoch == self._replica.claim.epoch
        has_load = is_in_force and load.report.states_wait
        return LOAD_POLL_PAUSE_S if has_load else SLOW_POLL_PAUSE_S

    def _claim_reason(self, now: float) -> str:
        """Returns why ownership may be claimed; empty if it may not."""
        claim = self._replica.claim
        if self._dependencies.configuration.current is None:
            return ""
        if self._speed.is_slow and now - self._activity_at < SLOW_CLAIM_DELAY_S:
            return ""
        if not claim.epoch and now - self._started_at < FIRST_CLAIM_DELAY_S:
            return ""
        if claim.released or (claim.epoch == self._released_epoch and claim.epoch):
            return RELEASED
        if claim.instance == self._instance:
            return "own term ended" if claim.epoch <= self._served_epoch else OWN_CLAIM
        if node_of(claim.instance) == node_of(self._instance):
            return RESTARTED
        timeout_s = OWNER_TIMEOUT_S + TIMEOUT_LATENCIES * self._dependencies.ports.log.latency_s()
        return "silent" if now - self._activity_at > timeout_s else ""

    def _is_first_in_line(self) -> bool:
        """Gives the instances ahead time to claim; returns whether none of them did.

        With a slow log, only one instance claims then, not all of them.
        """
        ahead = self._order.count_ahead()
        if not ahead:
            return True
        claim = self._replica.claim
        turn_s = CLAIM_TURN_S + 2 * self._dependencies.ports.log.latency_s()
        self._stopping.wait(min(ahead * turn_s, MAX_CLAIM_WAIT_S))
        self._dependencies.jobs.poll()
        return self._replica.claim == claim

    def _claim(self, reason: str, now: float) -> int:
        """Claims the next epoch.

        :returns: The epoch, or 0 if another instance claimed it first.
        """
        if reason == OWN_CLAIM:
            return self._replica.claim.epoch
        claim = r.Claim(self._replica.claim.epoch + 1, self._instance, self._dependencies.address)
        self._events.write(
            eventlog.OWNER_CLAIMED,
            epoch=claim.epoch,
            silent_s=round(now - self._activity_at, 3),
            reason=reason,
        )
        record = (r.claim_key(claim), r.encode_claim(claim))
        self._dependencies.ports.log.append(JOBS, [record], CLAIM_TIMEOUT_S)
        self._dependencies.jobs.catch_up()
        winner = self._replica.claim
        if winner != claim:
            self._events.write(eventlog.OWNER_CLAIM_LOST, epoch=claim.epoch, winner=winner.instance)
            return 0
        return claim.epoch

    def _serve(self, epoch: int, previous_owner_gone: bool) -> None:
        self._served_epoch = epoch
        if self._speed.is_slow:
            self._nonclaiming = self._others()
        self._runner = runner = TermRunner(
            epoch, previous_owner_gone, self._dependencies, self._on_released
        )
        if self._retired.is_set():
            runner.give_up()
        try:
            runner.serve()
        finally:
            self._runner = None
