"""A gang whose member failed on two runners is never started again although there is room."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin import Case, Run, Runner, main  # noqa: E402

JOB = f"{0xC1:016x}"
RUNNERS, SLOTS = 3, 3
MEMBERS = 4
FAILURES = 2
"""Runs that end as failed; the queue allows one run more."""
ATTEMPTS = 4


def play(case: Case) -> None:
    platform = case.platform
    for _ in range(RUNNERS):
        platform.add_runner(SLOTS * 1000, ["a", "r1-1"])
    platform.configure(1, attempts=ATTEMPTS)
    case.start_instances()

    def fail_soon(runner: Runner, run: Run) -> None:
        if not case.has_trouble or int(run.task.rpartition(".")[2]) != MEMBERS - 1:
            return
        if sum(end[4] == "failed" for end in platform.ends) >= FAILURES:
            return

        def fail() -> None:
            with platform.lock:
                runner.end(run, "failed")

        threading.Timer(0.5, fail).start()

    platform.start_hooks.append(fail_soon)
    gang = {"count": MEMBERS, "cpu": 1000, "mem_mb": 64, "estimate_ms": 1500, "gang": True}
    case.submit(JOB, [gang], 1.5)
    case.comes(lambda: case.state(JOB) == "completed", 20.0)
    state = case.state(JOB)
    if state in ("completed", "failed"):
        return
    idle_s = time.monotonic() - max(end[0] for end in platform.ends)
    used = sum(runner.used for runner in platform.runners)
    if not platform.runs_of(JOB) and idle_s > 3.0:
        case.violate(
            f"LOST {JOB} is {state} and has had nothing running for {idle_s:.1f} s; "
            f"{RUNNERS * SLOTS} slots, {used // 1000} in use, {MEMBERS} needed"
        )


main(play, __file__)
