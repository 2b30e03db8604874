"""Replica of the jobs stream: accepted and cancelled jobs, the owner, the instances."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable

from azurecleat_cluster._internal.ports import LogRecord
from azurecleat_cluster._internal.replica import load_record, records
from azurecleat_cluster._internal.values import JobState

NO_CLAIM = records.Claim(0, "", "", released=True)


class JobReplica:
    """Local copy of the jobs and progress streams.

    Submissions and progress are kept encoded, because only the owner needs their details.

    :param monotonic: Returns the monotonic time.
    """

    def __init__(self, monotonic: Callable[[], float] = time.monotonic) -> None:
        self._monotonic = monotonic
        self._lock = threading.RLock()
        self._submissions: dict[str, bytes] = {}
        self._offsets: dict[str, tuple[int, bool]] = {}
        """Offset of the submission by which each job became known, and whether it is the first."""
        self._queues: dict[str, str] = {}
        self._cancelled: set[str] = set()
        self._progress: dict[str, bytes] = {}
        self._summaries: dict[str, tuple[bool, str]] = {}
        self._targets: dict[str, str] = {}
        self._first_epochs: dict[str, int] = {}
        self._heartbeat: records.Heartbeat | None = None
        self._settled_epoch = 0
        self._durations: bytes | None = None
        self._load: load_record.ReceivedLoad | None = None
        self._claim = NO_CLAIM
        self._instances: dict[str, records.InstanceEntry] = {}
        self._zones: dict[str, str] = {}
        self._listeners: list[Callable[[LogRecord], None]] = []

    @property
    def claim(self) -> records.Claim:
        """The claim in force: the first claim in the log of the highest epoch."""
        return self._claim

    @property
    def instances(self) -> dict[str, records.InstanceEntry]:
        """Entry of each instance that has started, by node name."""
        with self._lock:
            return dict(self._instances)

    @property
    def zones(self) -> dict[str, str]:
        """Zone of the instances that have announced one, by node name."""
        with self._lock:
            return dict(self._zones)

    @property
    def targets_in_use(self) -> dict[str, str]:
        """Encoded address, pool and start time, by id, of the targets an owner may have used."""
        with self._lock:
            return dict(self._targets)

    @property
    def first_epochs(self) -> dict[str, int]:
        """Epoch of the owner that first used a target, by target id, where it is recorded."""
        with self._lock:
            return dict(self._first_epochs)

    @property
    def heartbeat(self) -> records.Heartbeat | None:
        """The newest heartbeat of an owner; None if it is of an earlier version."""
        return self._heartbeat

    @property
    def settled_epoch(self) -> int:
        """Epoch of the newest owner that knew that no earlier owner acts any more; 0 if none."""
        return self._settled_epoch

    @property
    def durations(self) -> bytes | None:
        """What an owner last recorded of its learned durations, encoded; None if nothing."""
        return self._durations

    @property
    def load(self) -> load_record.ReceivedLoad | None:
        """The newest load report of an owner; None if it could not be read, or its age is unknown.

        The age of a report that a load of the whole stream delivers is unknown.
        """
        return self._load

    def last_offset(self, job: str) -> int:
        """Returns the highest offset that a known job's first submission may have."""
        return self._offsets[job][0]

    def first_offset(self, job: str) -> int | None:
        """Returns the offset of a known job's first submission; None if it is not known.

        After a load only the newest of repeated submissions is known.
        """
        offset, is_first = self._offsets[job]
        return offset if is_first else None

    def subscribe(self, listener: Callable[[LogRecord], None]) -> None:
        """Calls the listener with each later record of the jobs stream after it is applied."""
        with self._lock:
            self._listeners.append(listener)

    def unsubscribe(self, listener: Callable[[LogRecord], None]) -> None:
        with self._lock:
            self._listeners.remove(listener)

    def knows(self, job: str) -> bool:
        return job in self._submissions

    def is_cancelled(self, job: str) -> bool:
        return job in self._cancelled

    def job_ids(self) -> list[str]:
        with self._lock:
            return list(self._submissions)

    def deleted_jobs_with_progress(self) -> list[str]:
        """Returns the jobs whose submission is deleted and whose progress is not."""
        with self._lock:
            return [job for job in self._progress if job not in self._submissions]

    def submission(self, job: str) -> records.Submission:
        """Returns a job's submission.

        :raises KeyError: The job is not known.
        :raises ValueError: The submission's record is malformed.
        """
        return records.decode_submission(job, self._submissions[job])

    def progress(self, job: str) -> records.Progress | None:
        value = self._progress.get(job)
        return None if value is None else records.decode_progress(value)

    def state(self, job: str) -> JobState | None:
        """Returns a job's state, None if the job is not known."""
        with self._lock:
            if job not in self._submissions:
                return None
            begun, outcome = self._summaries.get(job, (False, ""))
        if outcome:
            return JobState(outcome)
        if job in self._cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if begun else JobState.QUEUED

    def pending(self, queue: str) -> int:
        """Returns how many jobs of a queue have not begun."""
        with self._lock:
            jobs = [job for job, name in self._queues.items() if name == queue]
        return sum(self.state(job) is JobState.QUEUED for job in jobs)

    def apply_job(self, record: LogRecord) -> None:
        """Applies a record of the jobs stream. Raises a decoding error if it is malformed."""
        key, value = record.key, record.value
        kind, _, name = key.partition("/")
        with self._lock:
            match kind + "/":
                case records.SUBMISSION if value is not None and not records.is_key(key):
                    raise ValueError("the key cannot be written to the log")
                case records.SUBMISSION:
                    self._apply_submission(name, record)
                case records.CANCELLATION:
                    self._apply_cancellation(name, value)
                case records.INSTANCE if value is None:
                    self._instances.pop(name, None)
                case records.INSTANCE:
                    self._instances[name] = records.decode_instance(value)
                case records.ZONE:
                    _set_or_remove(self._zones, name, value)
                case records.CLAIM if value is not None:
                    self._apply_claim(records.decode_claim(value))
                case records.RELEASE if value is not None and int(name) == self._claim.epoch:
                    self._claim = self._claim._replace(released=True)
            listeners: Iterable[Callable] = tuple(self._listeners)
        for listener in listeners:
            listener(record)

    def apply_progress(self, record: LogRecord) -> None:
        """Applies a record of the progress stream."""
        kind, _, name = record.key.partition("/")
        with self._lock:
            if record.key == records.HEARTBEAT:
                self._heartbeat = records.decode_heartbeat(record.value or b"")
                return
            if record.key == records.SETTLED:
                self._settled_epoch = records.decode_epoch(record.value or b"")
                return
            if record.key == records.DURATIONS:
                self._durations = record.value
                return
            if record.key == records.LOAD:
                self._apply_load(record)
                return
            match kind + "/":
                case records.JOB if record.value is None:
                    self._progress.pop(name, None)
                    self._summaries.pop(name, None)
                case records.JOB:
                    self._progress[name] = record.value
                    self._summaries[name] = records.outcome_of(record.value)
                case records.TARGET:
                    _set_or_remove(self._targets, name, record.value)
                case records.FIRST_EPOCH if record.value is None:
                    self._first_epochs.pop(name, None)
                case records.FIRST_EPOCH:
                    self._first_epochs[name] = records.decode_epoch(record.value)

    def _apply_load(self, record: LogRecord) -> None:
        self._load = None
        if record.value is not None and not record.may_replace:
            report = load_record.decode(record.value)
            self._load = load_record.ReceivedLoad(report, self._monotonic())

    def _apply_submission(self, job: str, record: LogRecord) -> None:
        value = record.value
        if value is None:
            self._submissions.pop(job, None)
            self._offsets.pop(job, None)
            self._queues.pop(job, None)
        elif job not in self._submissions:
            queue = records.load(value)["queue"]["name"]
            # Callers repeat a submission after a lost answer; only the first one counts.
            self._submissions[job] = value
            self._offsets[job] = (record.offset, not record.may_replace)
            self._queues[job] = queue

    def _apply_cancellation(self, job: str, value: bytes | None) -> None:
        if value is None:
            self._cancelled.discard(job)
        else:
            self._cancelled.add(job)

    def _apply_claim(self, claim: records.Claim) -> None:
        """Applies a claim of a higher epoch. A second claim of the same epoch has no effect."""
        if claim.epoch > self._claim.epoch:
            self._claim = claim


def _set_or_remove(entries: dict[str, str], name: str, value: bytes | None) -> None:
    if value is None:
        entries.pop(name, None)
    else:
        entries[name] = value.decode()
