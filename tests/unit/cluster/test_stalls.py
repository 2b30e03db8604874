"""What a step that waits for long is reported to lack."""

from __future__ import annotations

import io
import json
import unittest

from azurecleat_cluster import EventLog
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice_queue import RequestState
from azurecleat_cluster._internal.owner.model import Advice, StepInfo
from azurecleat_cluster._internal.owner.stalls import (
    MAX_REPORTS_PER_ROUND,
    STALLED_AFTER_S,
    MissingCondition,
    StallReporter,
    examine,
)

from tests.unit.cluster.test_advice_requests import make_advised
from tests.unit.cluster.test_target_health import make_step, make_target, start

NOW = 100.0


class MissingConditionTest(unittest.TestCase):
    """Three targets with capacity for 12 tasks each; the gang needs 13."""

    def setUp(self) -> None:
        self.targets = [make_target(number) for number in range(3)]
        self.gang = make_advised("gang", 13, 5_000, gang=True)

    def missing(self, step: StepInfo, within_limit: int = 99) -> MissingCondition:
        return examine(step, self.targets, within_limit, NOW).missing

    def allow(self, *names: str, valid_until: float = NOW + 1.0) -> None:
        tickets = {name: "ticket" for name in names}
        self.gang.advice.add(Advice(names, tickets, valid_until))

    def test_each_condition_is_found(self) -> None:
        self.assertIs(self.missing(self.gang, 12), MissingCondition.TEAM_LIMIT)
        self.assertIs(
            self.missing(make_step("label", 1, required_label="x")), MissingCondition.LABEL
        )
        self.allow("t0")
        self.assertIs(self.missing(self.gang), MissingCondition.ALLOWED_TARGETS)
        self.allow("t1", valid_until=NOW - 1.0)
        self.assertIs(self.missing(self.gang), MissingCondition.TICKETS)
        self.allow("t1")
        self.assertIs(self.missing(self.gang), MissingCondition.PLACEMENT)
        for number, target in enumerate(self.targets):
            start(make_step(f"o{number}", 1, 60_000), 0, target, NOW)
        self.assertIs(self.missing(self.gang), MissingCondition.CAPACITY)
        for target in self.targets:
            target.suspect_until = NOW + 1.0
        self.assertIs(self.missing(self.gang), MissingCondition.USABLE_TARGET)

    def test_targets_kept_back_after_failures_are_counted(self) -> None:
        for target in self.targets:
            target.begin_probation(NOW)
        self.targets[0].suspect_until = NOW + 1.0
        stall = examine(make_step("step", 1), self.targets, 99, NOW)
        self.assertEqual((stall.suspect, stall.on_probation), (1, 2))

    def test_counts_are_those_of_tasks(self) -> None:
        self.allow("t0")
        self.allow("t1", valid_until=NOW - 1.0)
        stall = examine(self.gang, self.targets, 99, NOW)
        self.assertEqual((stall.free, stall.allowed, stall.valid, stall.unknown), (36, 24, 12, 12))


class StallReporterTest(unittest.TestCase):
    """Log lines and the metric of stalled steps."""

    def setUp(self) -> None:
        self.output = io.StringIO()
        self.events = EventLog("test", self.output)
        self.metrics = Metrics()
        self.advice_state = RequestState.NONE
        self.reporter = StallReporter(self.events, self.metrics, lambda step: self.advice_state)

    def lines(self) -> list[dict]:
        self.events.start()
        self.events.stop(timeout_s=5.0)
        return [json.loads(line) for line in self.output.getvalue().splitlines()]

    def check(self, step: StepInfo, now: float) -> None:
        step.ready_at = NOW
        if self.reporter.is_due(step, now):
            self.reporter.report(step, [make_target(0)], 99, now)

    def test_step_is_reported_every_few_seconds(self) -> None:
        step = make_advised("waits", 2)
        for tick in range(80):
            self.reporter.begin_round()
            self.check(step, NOW + tick * 0.1)
        lines = self.lines()
        self.assertEqual([line["name"] for line in lines], ["step.stalled"] * 2)
        self.assertEqual(lines[0]["missing"], MissingCondition.ALLOWED_TARGETS.value)
        sample = self.metrics.registry.get_sample_value(
            "azurecleat_stalled_steps_total", {"missing": MissingCondition.ALLOWED_TARGETS.value}
        )
        self.assertEqual(sample, 2)

    def test_step_that_has_just_started_a_task_is_not_stalled(self) -> None:
        step = make_step("runs", 2)
        step.started_at = NOW + STALLED_AFTER_S
        self.reporter.begin_round()
        self.check(step, NOW + STALLED_AFTER_S + 1.0)
        self.assertEqual(self.lines(), [])

    def test_report_says_what_became_of_the_request_for_advice(self) -> None:
        self.advice_state = RequestState.QUEUED
        self.reporter.begin_round()
        self.check(make_advised("waits", 2), NOW + STALLED_AFTER_S)
        self.assertEqual(self.lines()[0]["advice"], "queued")

    def test_wait_counts_from_the_end_of_the_last_run(self) -> None:
        step = make_step("lasts", 2)
        step.take_task(0)
        step.take_task(1)
        step.return_task(1, NOW + 10.0)
        step.return_task(0, NOW + 12.0)
        self.reporter.begin_round()
        self.check(step, NOW + 12.0)
        self.check(step, NOW + 14.0)
        self.assertEqual([line["waited_s"] for line in self.lines()], [4.0])

    def test_reports_of_one_round_are_bounded(self) -> None:
        self.reporter.begin_round()
        for number in range(100):
            self.check(make_step(f"s{number}", 1), NOW + 10.0)
        self.assertEqual(len(self.lines()), MAX_REPORTS_PER_ROUND)


if __name__ == "__main__":
    unittest.main()
