"""Stands by, and claims ownership when nobody holds it."""

from __future__ import annotations

import threading
from collections.abc import Callable

from azurecleat_base.exceptions import LogError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.owner.claim_order import ClaimOrder, node_of
from azurecleat_cluster._internal.owner.tenure import OwnerParts, Tenure
from azurecleat_cluster._internal.owner.term import OwnerTerm
from azurecleat_cluster._internal.ports import JOBS
from azurecleat_cluster._internal.replica import records as r

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

RELEASED = "released"

OWN_CLAIM = "own claim"


class OwnerService:
    """Takes part in ownership for one instance.

    :param on_released: Called with the epoch once this instance acts no more.
    """

    def __init__(self, parts: OwnerParts, on_released: Callable[[int], None]) -> None:
        self._parts = parts
        self._instance = parts.instance
        self._replica = parts.replica
        self._clock = parts.clock
        self._events = parts.events
        self._order = ClaimOrder(parts.instance, parts.replica)
        self._on_released = on_released
        self._retired = threading.Event()
        self._idle = threading.Event()
        self._stopping = threading.Event()
        self._nudged = threading.Event()
        self._tenure: Tenure | None = None
        self._served = 0
        self._vacated = 0
        self._polled_at = float("-inf")
        self._heard_at = float("-inf")
        self._heard = (0, 0)
        self._failing_since: float | None = None
        self._started_at = parts.clock.monotonic()
        self._thread = threading.Thread(target=self._run, name="owner", daemon=True)

    @property
    def term(self) -> OwnerTerm | None:
        """The term that this instance serves, None while it stands by."""
        tenure = self._tenure
        return tenure.term if tenure is not None else None

    def start(self) -> None:
        self._thread.start()

    def retire(self, timeout_s: float) -> None:
        """Gives up ownership, so that another instance takes over without waiting.

        The log is still followed, for the callers that are still answered.
        """
        self._retired.set()
        self._give_up()
        self._nudged.set()
        self._idle.wait(timeout_s)

    def stop(self) -> None:
        """Ends following the log."""
        self._stopping.set()
        self._retired.set()
        self._nudged.set()
        self._give_up()

    def _give_up(self) -> None:
        tenure = self._tenure
        if tenure is not None:
            tenure.give_up()

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
                self._events.write(eventlog.COMPONENT_FAILED, component="owner", error=repr(error))
                self._stopping.wait(0.5)

    def _note_log_error(self, error: LogError) -> None:
        self._parts.metrics.log_errors.labels("standby").inc()
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
        if self._parts.jobs.age() > JOBS_POLL_S or self._nudged.is_set():
            self._nudged.clear()
            self._parts.jobs.poll()
        self._parts.progress.poll()
        self._note_log_back()
        now = self._clock.monotonic()
        heard = (self._parts.progress.applied, self._replica.claim.epoch)
        if heard != self._heard or now - self._polled_at > GAP_S:
            self._heard, self._heard_at = heard, now
        self._polled_at = now
        self._parts.metrics.epoch.set(self._replica.claim.epoch)
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
        if self._parts.configuration.current is None:
            return ""
        if not claim.epoch and now - self._started_at < FIRST_CLAIM_S:
            return ""
        if claim.released or (claim.epoch == self._vacated and claim.epoch):
            return RELEASED
        if claim.instance == self._instance:
            return "own term ended" if claim.epoch <= self._served else OWN_CLAIM
        if node_of(claim.instance) == node_of(self._instance):
            return RELEASED  # An earlier life of this process: it has surely ended.
        patience_s = SILENCE_S + SILENT_LATENCIES * self._parts.ports.log.latency_s()
        return "silent" if now - self._heard_at > patience_s else ""

    def _is_first_in_line(self) -> bool:
        """Waits while the instances ahead may claim, and looks at the log again.

        A slow log gets one claim then, not one of each instance.
        """
        before = self._order.ahead()
        if not before:
            return True
        claim = self._replica.claim
        self._stopping.wait(before * (TURN_S + 2 * self._parts.ports.log.latency_s()))
        self._parts.jobs.poll()
        return self._replica.claim == claim

    def _claim(self, reason: str, now: float) -> int:
        """Claims the next epoch; returns it if the claim was the first, 0 otherwise."""
        if reason == OWN_CLAIM:
            return self._replica.claim.epoch
        claim = r.Claim(self._replica.claim.epoch + 1, self._instance, self._parts.address)
        self._events.write(
            eventlog.OWNER_CLAIMED,
            epoch=claim.epoch,
            silent_s=round(now - self._heard_at, 3),
            reason=reason,
        )
        record = (r.claim_key(claim), r.encode_claim(claim))
        self._parts.ports.log.append(JOBS, [record], CLAIM_TIMEOUT_S)
        self._parts.jobs.catch_up()
        winner = self._replica.claim
        if winner != claim:
            self._events.write(eventlog.OWNER_CLAIM_LOST, epoch=claim.epoch, winner=winner.instance)
            return 0
        return claim.epoch

    def _serve(self, epoch: int, former_gone: bool) -> None:
        self._served = epoch
        self._tenure = tenure = Tenure(epoch, former_gone, self._parts, self._on_released)
        if self._retired.is_set():
            tenure.give_up()
        try:
            tenure.serve()
        finally:
            self._tenure = None
