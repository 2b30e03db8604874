"""Lasting tasks that fail leave their runners without further tasks for good."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin import Case, main  # noqa: E402

KEEPER, FIRST, SECOND, LATER = (f"{number:016x}" for number in (0xA1, 0xA2, 0xA3, 0xA4))
RUNNERS = 4
LASTING = {"cpu": 500, "mem_mb": 64, "estimate_ms": 300, "long_running": True}
ROUNDS_S = 5.5
FINISH_S, IDLE_S = 14.0, 3.5


def play(case: Case) -> None:
    platform = case.platform
    for number in range(RUNNERS):
        platform.add_runner(8000, ["a", f"r1-{number}"])
    platform.configure(1)
    case.start_instances()

    def runs(job: str) -> list:
        return platform.runs_of(job)

    case.submit(KEEPER, [{**LASTING, "count": RUNNERS, "anti_affinity": 1}])
    case.wait(lambda: len(runs(KEEPER)) == RUNNERS, "the first job is at work", 10.0)
    for job in (FIRST, SECOND):
        case.submit(job, [{**LASTING, "count": 1}])
        case.wait(lambda job=job: len(runs(job)) == 1, f"{job} is at work", 10.0)
    for number in range(RUNNERS):
        time.sleep(ROUNDS_S)
        if not case.has_trouble:
            continue
        case.note(f"round {number + 1}: the task of each of two jobs fails")
        for job in (FIRST, SECOND):
            with platform.lock:
                for runner, run in runs(job):
                    runner.end(run, "failed")
            time.sleep(0.1)
    # 7 s without any disruption; 6 s after the last run of each task.
    last_ends = max((end[0] for end in platform.ends), default=time.monotonic())
    time.sleep(max(0.0, last_ends + 7.0 - time.monotonic()))
    case.submit(LATER, [{"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": 500}], 0.5)
    idle_since = time.monotonic()
    while time.monotonic() - idle_since < FINISH_S + IDLE_S:
        is_later_done = any(end[1].startswith(LATER) and end[4] == "done" for end in platform.ends)
        if is_later_done and all(len(runs(job)) == 1 for job in (FIRST, SECOND)):
            break
        time.sleep(0.05)
    case.comes(lambda: case.state(LATER) == "completed", 1.0)
    free = [(runner.id, runner.cpu - runner.used) for runner in platform.runners]
    case.note(f"free capacity (thousandths of a core): {free}")
    for job in (FIRST, SECOND):
        if not runs(job):
            waited_s = time.monotonic() - last_ends
            case.violate(f"LOST {job}: its lasting task has not run for {waited_s:.1f} s: {free}")
    if case.state(LATER) != "completed":
        case.violate(f"LOST {LATER} is {case.state(LATER)} 17 s after it was accepted: {free}")


main(play, __file__)
