"""Counters, histograms and gauges of one instance."""

from __future__ import annotations

from azurecleat_model import TRAFFIC
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

WAIT_BUCKETS_S = (0.001, 0.005, 0.02, 0.1, 0.5, 1, 2, 5.5, 10, 30, 60, 300, 1800)
DECISION_BUCKETS_S = (0.0001, 0.0003, 0.001, 0.003, 0.005, 0.01, 0.03, 0.1, 1)


class Metrics:
    """All metrics, in a separate registry so that tests can run several instances."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.refusals = Counter(
            "azurecleat_refusals", "Refused work", ["reason", "ran"], registry=self.registry
        )
        self.retries = Counter(
            "azurecleat_retries", "Repeated tries", ["step", "reason"], registry=self.registry
        )
        self.outcomes = Counter(
            "azurecleat_outcomes", "Ended dispatches", ["kind", "outcome"], registry=self.registry
        )
        self.waiting = Histogram(
            "azurecleat_waiting_seconds",
            "Time from acceptance to start",
            ["kind"],
            buckets=WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.decision = Histogram(
            "azurecleat_decision_seconds",
            "Time of one decision call",
            ["kind"],
            buckets=DECISION_BUCKETS_S,
            registry=self.registry,
        )
        self.team_running = Gauge(
            "azurecleat_team_running",
            "Running work of a team in partitions owned here",
            ["team", "kind"],
            registry=self.registry,
        )
        self.team_waiting = Gauge(
            "azurecleat_team_waiting",
            "Waiting work of a team in partitions owned here",
            ["team", "kind"],
            registry=self.registry,
        )
        self.proof = Gauge(
            "azurecleat_key_proof",
            "1 for the present proof of fresh keys",
            ["proof"],
            registry=self.registry,
        )
        self.traffic = Gauge(
            "azurecleat_traffic_bytes",
            "Bytes sent and received by this process, without callers' traffic",
            ["role"],
            registry=self.registry,
        )
        self.takeovers = Counter(
            "azurecleat_takeovers", "Partitions taken over", registry=self.registry
        )

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        for role, total in TRAFFIC.totals().items():
            self.traffic.labels(role).set(total)
        return generate_latest(self.registry)
