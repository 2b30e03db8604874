"""Golden files with the decisions of short replays, one for each client profile.

Set ``AZURECLEAT_WRITE_GOLDEN=1`` to rewrite the files after an intended change of behaviour.
"""

from __future__ import annotations

import os
import unittest
from pathlib import Path

from azurecleat_bench._internal.faults.run import run_faults
from azurecleat_bench._internal.replay import PROFILES, Replay, make_arrivals
from azurecleat_policy import Decision, Expire, NaiveScheduler, Reclaim, Scheduler, Start

DATA_DIRECTORY = Path(__file__).resolve().parents[2] / "data"
LENGTH_S = 90.0
BURST = (20.0, 60.0, 8.0)


class RecordingReplay(Replay):
    """Records each decision as a line of text."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.lines: list[str] = []

    def _start(self, start: Start, now: float) -> None:
        self.lines.append(_line(now, start))
        super()._start(start, now)

    def _reclaim(self, reclaim: Reclaim, now: float) -> None:
        self.lines.append(_line(now, reclaim))
        super()._reclaim(reclaim, now)


def _line(now: float, decision: Decision) -> str:
    match decision:
        case Start():
            return f"{now:.1f} start {decision.job_id}.{decision.index} {decision.worker}"
        case Reclaim():
            return f"{now:.1f} {decision.how.value} {decision.job_id}.{decision.index}"
        case Expire():
            return f"{now:.1f} expire {decision.job_id}"


def run_session(name: str, make_scheduler) -> str:
    """Returns the decisions of a short replay with a burst and wrong declared sizes."""
    profile = PROFILES[name]._replace(length_s=LENGTH_S, burst=BURST, workers=4)
    faults = frozenset({"wrong-sizes"})
    replay = RecordingReplay(profile, faults, make_arrivals(profile, faults, 7), make_scheduler)
    replay.run()
    return "\n".join(replay.lines) + "\n"


def run_fault_session() -> str:
    """Returns the results that callers received in a run with random faults."""
    simulation, _ = run_faults(3, 120)
    lines = [
        f"{result.at:.1f} {result.instance} {result.team} {result.body.decode()} "
        f"{result.outcome} {result.code}".rstrip()
        for result in simulation.history.callers
    ]
    return "\n".join(lines) + "\n"


class GoldenTest(unittest.TestCase):
    """Detects any change of decisions or results since the golden files were written."""

    def check(self, name: str, text: str) -> None:
        path = DATA_DIRECTORY / name
        if os.environ.get("AZURECLEAT_WRITE_GOLDEN"):
            path.write_text(text, encoding="utf-8")
        self.assertEqual(text.splitlines(), path.read_text(encoding="utf-8").splitlines())

    def test_decisions_for_each_profile(self) -> None:
        for name in PROFILES:
            with self.subTest(profile=name):
                text = run_session(name, Scheduler)
                self.assertGreater(text.count("start"), 50)
                self.check(f"golden-{name}.txt", text)

    def test_naive_scheduler_makes_the_same_decisions(self) -> None:
        for name in PROFILES:
            with self.subTest(profile=name):
                self.assertEqual(run_session(name, NaiveScheduler), run_session(name, Scheduler))

    def test_results_of_callers_under_faults(self) -> None:
        self.check("golden-faults.txt", run_fault_session())


if __name__ == "__main__":
    unittest.main()
