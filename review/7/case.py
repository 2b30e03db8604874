"""Two instances; one of them is lost for good. Jobs whose queue has costly advice never start."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin_2 import Platform, run_case  # noqa: E402

ADVICE = {"decide_ms": 400.0, "period_ms": 5.7, "valid_ms": 2500}
"""Terms of ``route-review`` in the sheet of ddl-hobart."""

JOB = {"spec": "review", "steps": [{"count": 2, "cpu": 2000, "mem_mb": 500, "estimate_ms": 1000}]}
JOBS = 5
FINISH_S = 14.0
IDLE_S = 3.0


async def case(has_trouble: bool, lines: list[str]) -> list[str]:
    platform = Platform(lines, lambda task: 1.0, advice=ADVICE)
    try:
        await platform.start(["a", "b"], [(zone, 16_000, ["a", "r1"]) for zone in "abab"])
        owner = platform.owner
        other = next(each for each in platform.instances if each is not owner)
        platform.record.note(f"{owner.node} owns the jobs")
        if has_trouble:
            other.send_signal(signal.SIGKILL)  # Lost for good: it is not started again.
        await asyncio.sleep(5.0)  # Longer than contact_ms.
        accepted = []
        for number in range(JOBS):
            job = f"{number + 1:016x}"
            status, _ = await platform.call(owner, "POST", job, JOB)
            if status == 200:
                accepted.append(job)
        await asyncio.sleep(FINISH_S)
        platform.record.note(f"finish_s after the last job was handed in; {IDLE_S} s more follow")
        await asyncio.sleep(IDLE_S)
        breaks = []
        for job in accepted:
            status, value = await platform.call(owner, "GET", job)
            starts = sum(run.task.startswith(job) for run in platform.runs)
            if not starts and (status, value.get("state")) == (200, "queued"):
                breaks.append(
                    f"LOST: {job} was accepted {FINISH_S + IDLE_S} s ago, its tasks could run since"
                    f" then, all runners are empty, and none was started"
                )
        platform.record.note(f"{platform.advice_calls} calls reached the advice service")
        return breaks
    finally:
        platform.close()


if __name__ == "__main__":
    run_case(case, FOLDER)
