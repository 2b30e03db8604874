"""Measures processor time and job latency of one owner, without a network."""

from __future__ import annotations

import os
import random
import time
from typing import Any

from azurecleat_base import SystemClock
from azurecleat_cluster import EventLog, Preferences
from azurecleat_cluster.components import (
    SUBMISSION,
    AdviceClient,
    Authority,
    CommandThreads,
    ConfigurationView,
    Dispatcher,
    JobInfo,
    JobReplica,
    LossTracker,
    Metrics,
    OwnerTerm,
    ProgressWriter,
    StartHorizon,
    Submission,
    TargetSession,
    encode_submission,
)
from azurecleat_cluster.ports import LogRecord
from azurecleat_cluster.values import JobSpec, Queue
from azurecleat_fakes import KeyedMemoryLog
from cleo.helpers import option

from azurecleat_bench._internal.base import COMMON_OPTIONS, Bench, quantile, rss_mb
from azurecleat_bench._internal.owner_fakes import (
    PATIENT,
    URGENT,
    BenchAdviser,
    BenchDecoder,
    BenchTarget,
    make_steps,
    make_target_entry,
)

LEASE_S = 3.2
ADVICE_WORKERS = 30
SETTLE_S = 1.0
UNLIMITED_HORIZON = 1 << 40


class OwnerHarness:
    """The term of one owner with all its threads, connected to fakes."""

    def __init__(self, targets: int, seed: int) -> None:
        clock = SystemClock()
        self._events = EventLog("bench", open(os.devnull, "w", encoding="utf-8"))  # noqa: SIM115
        self._events.start()
        metrics, self._replica = Metrics(), JobReplica()
        configuration = ConfigurationView(BenchDecoder(), self._events)
        configuration.apply(LogRecord("config", b"{}", 0))
        authority = Authority(1, LEASE_S, clock)
        losses, preferences = LossTracker(clock), Preferences()
        threads = CommandThreads()
        start_horizon = StartHorizon(1, lambda: UNLIMITED_HORIZON, lambda: 0.0, clock)
        self._writer = ProgressWriter(
            KeyedMemoryLog(),
            1,
            clock,
            metrics,
            start_horizon,
            self._replica.apply_progress,
            authority.add_log_proof,
            lambda reason: None,
        )
        self.term = OwnerTerm(
            authority,
            self._replica,
            configuration,
            self._writer,
            start_horizon,
            lambda target, observer: TargetSession(
                target,
                BenchTarget(target.entry, seed),
                authority,
                observer,
                losses,
                clock,
                threads,
                self.term.poll_schedule,
            ),
            preferences,
            clock,
            self._events,
            metrics,
            lambda reason: None,
        )
        self._advice = AdviceClient(
            clock,
            self._events,
            metrics,
            lambda step, answer: self._dispatcher.on_advice(step, answer),
        )
        self._dispatcher = Dispatcher(
            self.term, self._advice, preferences, clock, self._events, metrics
        )
        self._targets = targets

    def start(self) -> None:
        self._writer.fence()
        self.term.take_over({}, previous_owner_gone=True)
        self._writer.start()
        for number in range(self._targets):
            self.term.on_target_entry(make_target_entry(number))
        for number in range(ADVICE_WORKERS):
            self._advice.add_worker(f"c{number}", BenchAdviser)
        self._dispatcher.start()
        time.sleep(SETTLE_S)

    def submit(self, name: str, queue: Queue, rng: random.Random) -> None:
        spec = JobSpec(queue.name, make_steps(queue, rng))
        value = encode_submission(Submission(name, "team", queue, spec))
        self._replica.apply_job(LogRecord(SUBMISSION + name, value, 0))
        self.term.on_job_record(SUBMISSION + name)

    def stop(self) -> None:
        self.term.stop()
        self._advice.stop()
        self._writer.stop(1.0)
        self._events.stop()

    def finished(self, queue: Queue) -> list[JobInfo]:
        jobs = list(self.term.jobs.values())
        return [job for job in jobs if job.finished_at and job.queue.name == queue.name]


class OwnerCommand(Bench):
    """Submits jobs of two queues at given rates and measures processor time and job latency."""

    name = "owner"
    description = "Processor time of an owner by targets and jobs, without a network."
    options = [
        *COMMON_OPTIONS,
        option("targets", None, "Targets.", flag=False, default="176"),
        option("urgent", None, "Urgent jobs a second.", flag=False, default="20"),
        option("patient", None, "Patient jobs a second.", flag=False, default="2"),
        option("seconds", None, "Length of the measurement.", flag=False, default="8"),
    ]

    def measure(self) -> dict[str, Any]:
        """Measures one number of targets."""
        rng = random.Random(self.seed)
        harness = OwnerHarness(self.int_option("targets"), self.seed)
        harness.start()
        began_at, began_cpu = time.monotonic(), time.process_time()
        jobs = self._submit(harness, rng, began_at + float(self.option("seconds")))
        took_s = time.monotonic() - began_at
        cpu_s = time.process_time() - began_cpu
        done = sum(
            len(step.done)
            for job in list(harness.term.jobs.values())
            for step in job.steps.values()
        )
        ages = [job.finished_at - job.seen_at for job in harness.finished(URGENT)]
        harness.stop()
        return {
            "targets": self.int_option("targets"),
            "jobs": jobs,
            "tasks_done": done,
            "cores": round(cpu_s / took_s, 3),
            "ms_a_task": round(1000 * cpu_s / done, 2) if done else None,
            "urgent_p50_s": round(quantile(ages, 0.5), 3),
            "urgent_p95_s": round(quantile(ages, 0.95), 3),
            "rss_mb": rss_mb(),
        }

    def _submit(self, harness: OwnerHarness, rng: random.Random, until: float) -> int:
        urgent, patient = float(self.option("urgent")), float(self.option("patient"))
        count, at = 0, time.monotonic()
        while urgent + patient > 0 and (at := at + rng.expovariate(urgent + patient)) < until:
            time.sleep(max(0.0, at - time.monotonic()))
            count += 1
            queue = URGENT if rng.random() * (urgent + patient) < urgent else PATIENT
            harness.submit(f"{count:016x}", queue, rng)
        time.sleep(max(0.0, until - time.monotonic()))
        return count
