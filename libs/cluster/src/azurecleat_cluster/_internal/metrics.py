"""Counters, gauges and latency histograms of an instance."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_SECONDS = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.3, 2.6, 5.2)
_RATIOS = (0.1, 0.25, 0.5, 0.67, 0.8, 1.0, 1.25, 1.5, 2.0, 4.0, 10.0)


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
        self.preemptions = counter(
            "preemptions", "Decisions whether to stop runs for an urgent step", "outcome"
        )
        self.preempted_runs = counter(
            "preempted_runs", "Ends of preempted runs, and whether in time", "outcome", "timing"
        )
        self.preempted_core_s = counter(
            "preempted_core_seconds", "Work lost by preempted runs, by outcome", "outcome"
        )
        self.ends = counter("ends", "Ended runs by kind", "kind")
        self.target_crashes = counter(
            "target_crashes", "Targets that ended unannounced, by runs being started", "starting"
        )
        self.jobs_given_up = counter("jobs_given_up", "Jobs failed by a task in a crash loop")
        self.log_errors = counter("log_errors", "Failed calls to the log", "stream")
        self.relay_requests = counter(
            "relay_requests", "Requests to peers for the configuration by result", "result"
        )
        self.relayed_calls = counter(
            "relayed_calls", "Callers' requests sent to a peer by result", "call", "result"
        )
        self.accept_s = histogram("accept_seconds", "Time until a job is in the log")
        self.first_start_s = histogram("first_start_seconds", "Seen job to its first start")
        self.advice_s = histogram("advice_seconds", "Time to an answer of the adviser")
        self.command_s = histogram("order_seconds", "Time to a target's answer to an order")
        self.record_s = histogram("record_seconds", "Time until progress is in the log")
        self.duration_ratio = Histogram(
            "azurecleat_duration_ratio",
            "Durations of runs that were done, as multiples of what was expected at their start",
            registry=self.registry,
            buckets=_RATIOS,
        )
        self.duration_calibration = gauge(
            "duration_calibration",
            "Share of the runs that took less than this quantile of what was expected",
            "quantile",
        )
        self.epoch = gauge("epoch", "Epoch of the claim in force")
        self.owning = gauge("owning", "1 while this instance owns the jobs")
        self.relaying = gauge("relaying", "1 while reads fail and peers are asked")
        self.isolated = gauge("isolated", "1 while neither the log nor any peer answers")
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
