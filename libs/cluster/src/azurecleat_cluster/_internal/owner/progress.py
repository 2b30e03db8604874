"""Writes the owner's progress to the log, in batches and under its epoch."""

from __future__ import annotations

import threading
import traceback
from collections.abc import Callable, Sequence

from azurecleat_base import Clock, describe
from azurecleat_base.exceptions import FencedError, LogError

from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.start_horizon import StartHorizon
from azurecleat_cluster._internal.ports import PROGRESS, Log, LogRecord, Writer
from azurecleat_cluster._internal.replica.call_size import Record, split_into_calls

WRITER_NAME = "owner"

HEARTBEAT_S = 0.2
"""Longest pause between appends: a standby claims ownership once two heartbeats are missing."""

BATCH_DELAY_S = 0.025
"""Time for which records are collected before an append. Batches save calls to the log, which are
billed, but a completed job becomes visible later by this time."""

APPEND_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.1

CommitCallback = Callable[[], None]

STOP_RETRY_S = 1.0
"""How long a stopping writer retries a failed append."""


class ProgressWriter:
    """Appends the records of one term in order.

    :param start_horizon: Published with the records, and as the heartbeat.
    :param on_recorded: Called with each record once it is in the log.
    :param on_proof: Called after each successful append with the time at which it was sent.
    :param on_fenced: Called with the reason when the log has seen a writer with a higher epoch,
        or nothing more can be written.
    """

    def __init__(
        self,
        log: Log,
        epoch: int,
        clock: Clock,
        metrics: Metrics,
        start_horizon: StartHorizon,
        on_recorded: Callable[[LogRecord], None],
        on_proof: Callable[[float], None],
        on_fenced: Callable[[str], None],
    ) -> None:
        self._log = log
        self._epoch = epoch
        self._sequence = 0
        self._clock = clock
        self._metrics = metrics
        self._start_horizon = start_horizon
        self._on_recorded = on_recorded
        self._on_proof = on_proof
        self._on_fenced = on_fenced
        self._changed = threading.Condition()
        self._records: dict[str, Callable[[], bytes | None]] = {}
        self._commit_callbacks: list[CommitCallback] = []
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="progress", daemon=True)

    def fence(self) -> None:
        """Sets the epoch in the log, so that a previous owner can't append any more.

        :raises FencedError: The log has seen a higher epoch.
        :raises LogError: The log gave no answer.
        """
        sent_at = self._clock.monotonic()
        writer = Writer(WRITER_NAME, self._epoch, self._sequence)
        self._log.append(PROGRESS, (), APPEND_TIMEOUT_S, writer)
        self._on_proof(sent_at)

    def start(self) -> None:
        self._thread.start()

    def stop(self, timeout_s: float) -> None:
        """Appends the remaining records, for at most ``timeout_s``."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    def put(
        self,
        key: str,
        encode: Callable[[], bytes | None],
        on_committed: CommitCallback | None = None,
    ) -> None:
        """Queues a record; a later one with the same key replaces it.

        :param encode: Called for the value just before the append; None deletes the key.
        :param on_committed: Called once the record is in the log.
        """
        with self._changed:
            self._records[key] = encode
            if on_committed is not None:
                self._commit_callbacks.append(on_committed)
            self._changed.notify_all()

    def call_after_commit(self, on_committed: CommitCallback) -> None:
        """Calls ``on_committed`` once everything queued so far is in the log."""
        with self._changed:
            self._commit_callbacks.append(on_committed)
            self._changed.notify_all()

    def _run(self) -> None:
        try:
            self._write_all()
        except Exception as error:
            # Without heartbeats this instance would neither act nor give up ownership.
            traceback.print_exc()
            self._on_fenced(f"progress cannot be written: {describe(error)}")

    def _write_all(self) -> None:
        while True:
            with self._changed:
                if not self._commit_callbacks and not self._records and not self._stopping:
                    self._changed.wait(HEARTBEAT_S)
                stopping = self._stopping
            if not stopping:
                threading.Event().wait(BATCH_DELAY_S)
            with self._changed:
                records, self._records = self._records, {}
                callbacks, self._commit_callbacks = self._commit_callbacks, []
            if stopping and not records and not callbacks:
                return
            batch = [(key, encode()) for key, encode in records.items()]
            horizon = self._start_horizon.propose()
            if not batch or self._start_horizon.is_news(horizon):
                batch.append(self._start_horizon.encode(horizon))
            if not all(self._append(records) for records in split_into_calls(batch)):
                return
            self._start_horizon.commit(horizon)
            for callback in callbacks:
                self._call(callback)

    def _call(self, callback: CommitCallback) -> None:
        try:
            callback()
        except Exception:  # An error in one callback must not end the heartbeat.
            traceback.print_exc()

    def _append(self, batch: Sequence[Record]) -> bool:
        """Retries an append until the batch is in the log.

        :returns: False if the append was fenced, or failed for too long while stopping.
        """
        self._sequence += 1
        writer = Writer(WRITER_NAME, self._epoch, self._sequence)
        deadline = None
        while True:
            sent_at = self._clock.monotonic()
            try:
                # The log recognises a retry by its sequence number.
                offset = self._log.append(PROGRESS, batch, APPEND_TIMEOUT_S, writer)
            except FencedError as error:
                self._on_fenced(str(error))
                return False
            except LogError:
                self._metrics.retries.labels("progress").inc()
                if self._stopping:
                    deadline = deadline or sent_at + STOP_RETRY_S
                    if sent_at > deadline:
                        return False
                threading.Event().wait(RETRY_PAUSE_S)
            else:
                self._metrics.record_s.observe(self._clock.monotonic() - sent_at)
                self._on_proof(sent_at)
                for index, (key, value) in enumerate(batch):
                    self._on_recorded(LogRecord(key, value, offset + index))
                return True
