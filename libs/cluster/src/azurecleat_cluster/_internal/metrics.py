"""Counters, gauges and latency histograms of an instance."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_SECONDS = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.3, 2.6, 5.2)


class Metrics:
    """Metrics of one instance, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()

        def counter(name: str, text: str, *labels: str) -> Counter:
            return Counter(f"azurecleat_{name}", text, labels, registry=self.registry)

        def histogram(name: str, text: str) -> Histogram:
            return Histogram(f"azurecleat_{name}", text, registry=self.registry, buckets=_SECONDS)

        def gauge(name: str, text: str, *labels: str) -> Gauge:
            return Gauge(f"azurecleat_{name}", text, labels, registry=self.registry)

        self.answers = counter("answers", "Answers to callers", "call", "status")
        self.refusals = counter("refusals", "Refused requests by reason", "reason")
        self.retries = counter("retries", "Retries by reason", "reason")
        self.starts = counter("starts", "Starts by result", "result")
        self.stalled_steps = counter(
            "stalled_steps", "Reports of waiting steps by missing condition", "missing"
        )
        self.ends = counter("ends", "Ended runs by kind", "kind")
        self.target_crashes = counter(
            "target_crashes", "Targets that ended unannounced, by runs being started", "starting"
        )
        self.jobs_given_up = counter("jobs_given_up", "Jobs failed by a task in a crash loop")
        self.log_errors = counter("log_errors", "Failed calls to the log", "stream")
        self.accept_s = histogram("accept_seconds", "Time until a job is in the log")
        self.first_start_s = histogram("first_start_seconds", "Seen job to its first start")
        self.advice_s = histogram("advice_seconds", "Time to an answer of the adviser")
        self.command_s = histogram("order_seconds", "Time to a target's answer to an order")
        self.record_s = histogram("record_seconds", "Time until progress is in the log")
        self.epoch = gauge("epoch", "Epoch of the claim in force")
        self.owning = gauge("owning", "1 while this instance owns the jobs")
        self.evacuated_targets = gauge("evacuated_targets", "Targets that get no tasks: evacuation")
        self.evacuated_runs = gauge("evacuated_runs", "Runs still at work in evacuated zones")
        self.active_runs = gauge("active_runs", "Runs at work or being started")
        self.waiting_tasks = gauge("waiting_tasks", "Tasks that could run but have no place")
        self.expected_wait_s = gauge(
            "expected_wait_seconds",
            "Wait of a queue's next job, within or over share, at the owner",
            "queue",
            "share",
        )
        self.dominant_share = gauge(
            "dominant_share",
            "Dominant share of a pool over the entitled part, at the owner",
            "account",
        )
