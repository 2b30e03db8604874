"""Decides whether a new job is refused because it could not be done in time. No I/O, no clock."""

from __future__ import annotations

import threading
import zlib
from collections import OrderedDict
from typing import NamedTuple

from azurecleat_cluster._internal.objectives import MAX_LATE_OBJECTIVES, objective_of
from azurecleat_cluster._internal.replica.load_record import NO_WAIT, LoadReport
from azurecleat_cluster._internal.values import JobSpec, Queue

NO_CAPACITY = "no capacity in time"
OVER_SHARE = "account over its share"

MAX_REPORT_AGE_S = 2.0
"""Age beyond which a report is not used: four reports, and a read that waits for its turn."""

RESUME_SHARE = 2.0 / 3.0
"""Part of the wait at which refusals began, at which they end."""

FIRST_CALL_SHARE = 0.99
"""Part of the queue's time limit that a first call has left at least. A caller that repeats a call
has used up more of it, if only the time in which a connection breaks."""

LOG_TROUBLE_S = 8.0
"""Time after trouble with the log in which calls may repeat others whose outcome is unknown: over
twice the time that callers wait for an answer."""

MAX_RETRY_AFTER_S = 10.0
RETRY_SPREAD = 0.5
"""Part of the shortest retry time by which those of different jobs differ at most."""

MAX_PAUSE_S = 5.0
"""Time without a refusal after which a queue and account begin anew, as after the last report."""

MAX_REMEMBERED = 4096
"""Most refused jobs, and most queues with account, that are remembered: a minute of refusals at 70
a second."""


class SubmissionCall(NamedTuple):
    """A call that submits a job.

    :param account: The caller's account; empty if it has none.
    :param left_s: Time that the caller still waits for the answer.
    """

    job: str
    queue: Queue
    account: str
    spec: JobSpec
    left_s: float


class Situation(NamedTuple):
    """What an instance knows when it decides.

    :param report: The newest load report; None if there is none.
    :param report_age_s: Time since the report was received.
    :param epoch: Epoch of the claim in force.
    :param log_trouble_age_s: Time since this instance last lost or waited long for the log.
    :param now: Monotonic time.
    """

    report: LoadReport | None
    report_age_s: float
    epoch: int
    log_trouble_age_s: float
    now: float


class Refusal(NamedTuple):
    """Why a job is refused, and when the caller should try again."""

    reason: str
    wait_s: float
    objective_s: float
    retry_after_s: float


class Decision(NamedTuple):
    """Whether a job is refused, and whether its queue and account are served again.

    :param refusal: None if the job is admitted.
    :param has_resumed: Whether the queue refused jobs of this account up to now.
    """

    refusal: Refusal | None
    wait_s: float = 0.0
    has_resumed: bool = False


ADMITTED = Decision(None)


class Admission:
    """Admission of one instance. May be used by several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._limits_s: OrderedDict[tuple[str, str], tuple[float, float]] = OrderedDict()
        """Wait at which jobs of a queue and account were first refused, while they are, and when
        the last one was."""
        self._return_at: OrderedDict[str, float] = OrderedDict()
        """When refused jobs were told to come back."""

    def decide(self, call: SubmissionCall, situation: Situation) -> Decision:
        """Decides on a job that is not known."""
        if not _is_usable(situation) or not _may_be_refused(call, situation):
            return ADMITTED
        wait_s, reason = _expected_wait(call, situation.report)
        objective_s = objective_of(
            call.queue, sum(step.estimate_ms for step in call.spec.steps) / 1000.0
        )
        limit_s = MAX_LATE_OBJECTIVES * objective_s
        with self._lock:
            has_resumed = self._note_wait(call, wait_s, situation.now)
            tolerated_s = limit_s * self._tolerated_share(call, situation.now)
            if wait_s <= tolerated_s:
                self._return_at.pop(call.job, None)
                return Decision(None, wait_s, has_resumed)
            key = (call.queue.name, call.account)
            self._limits_s[key] = (self._limits_s.get(key, (limit_s, 0.0))[0], situation.now)
            retry_after_s = _retry_after_s(call.job, wait_s - tolerated_s)
            self._return_at[call.job] = situation.now + retry_after_s
            _trim(self._limits_s)
            _trim(self._return_at)
        return Decision(Refusal(reason, wait_s, objective_s, retry_after_s), wait_s)

    def _note_wait(self, call: SubmissionCall, wait_s: float, now: float) -> bool:
        """Ends the refusals of a queue and account if the wait is short enough.

        :returns: Whether it ended them.
        """
        key = (call.queue.name, call.account)
        limit_s, refused_at = self._limits_s.get(key, (float("inf"), now))
        if wait_s > RESUME_SHARE * limit_s and now - refused_at <= MAX_PAUSE_S:
            return False
        return self._limits_s.pop(key, None) is not None

    def _tolerated_share(self, call: SubmissionCall, now: float) -> float:
        """Returns which part of the longest wait is tolerated.

        While jobs are refused, new ones have to find a shorter wait. A job that comes back when it
        was told to does not, so that it goes before newcomers.
        """
        is_refusing = (call.queue.name, call.account) in self._limits_s
        has_returned = self._return_at.get(call.job, float("inf")) <= now
        return RESUME_SHARE if is_refusing and not has_returned else 1.0


def _is_usable(situation: Situation) -> bool:
    report = situation.report
    return (
        report is not None
        and report.epoch == situation.epoch
        and situation.report_age_s < MAX_REPORT_AGE_S
    )


def _may_be_refused(call: SubmissionCall, situation: Situation) -> bool:
    """Whether a job has an objective, and the call can't be the repetition of an earlier one."""
    queue, spec = call.queue, call.spec
    is_first_call = call.left_s * 1000.0 >= FIRST_CALL_SHARE * queue.timeout_ms > 0
    has_objective = queue.objective_ms > 0 and not spec.repeats
    is_lasting = any(step.long_running for step in spec.steps)
    has_log = situation.log_trouble_age_s >= LOG_TROUBLE_S
    return is_first_call and has_objective and not is_lasting and has_log


def _expected_wait(call: SubmissionCall, report: LoadReport) -> tuple[float, str]:
    """Returns the expected wait of a job, and the reason to give if it is too long."""
    is_over_share = call.account in report.over_share
    queue = report.queues.get(call.queue.name, NO_WAIT)
    wait_s = queue.over_s if is_over_share else queue.within_s
    own_s = report.accounts.get(call.account, {}).get(call.queue.name, 0.0)
    is_own = is_over_share and wait_s > queue.within_s or own_s > wait_s
    return max(wait_s, own_s), OVER_SHARE if is_own else NO_CAPACITY


def _retry_after_s(job: str, wait_s: float) -> float:
    """Returns the retry time of a job, which differs between jobs."""
    longest_s = min(MAX_RETRY_AFTER_S, max(0.0, wait_s) * (1.0 + RETRY_SPREAD))
    fraction = zlib.crc32(job.encode()) % 1000 / 1000.0
    return longest_s * (1.0 + RETRY_SPREAD * fraction) / (1.0 + RETRY_SPREAD)


def _trim(entries: OrderedDict) -> None:
    while len(entries) > MAX_REMEMBERED:
        entries.popitem(last=False)
