"""A zone with the owner is cut off, and the next owner is stopped soon after it took over."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin_2 import Platform, run_case  # noqa: E402

CUT_S = 6.1
"""Length of the longest cut of a zone in the days of klubnet."""

GRACE_S = 6.0
TASKS = 4


def find_overlaps(platform: Platform) -> list[str]:
    breaks = []
    for first, second in itertools.combinations(platform.runs, 2):
        if first.task != second.task:
            continue
        end = first.ended if first.ended is not None else platform.record.now()
        if end > second.began:
            breaks.append(
                f"TWICE: {first.task} runs twice for {end - second.began:.3f} s:"
                f" {first}; {second}"
            )
    return breaks


async def case(has_trouble: bool, lines: list[str]) -> list[str]:
    platform = Platform(lines, lambda task: 60.0)
    try:
        zones = ["a", "b", "c"]
        await platform.start(zones, [(zone, 16_000, ["k", f"rack-{zone}"]) for zone in zones])
        first = platform.owner
        platform.record.note(f"{first.node} owns the jobs")
        step = {"count": TASKS, "cpu": 1_000, "mem_mb": 100, "estimate_ms": 60_000}
        job = {"spec": "work", "steps": [step | {"data_rack": f"rack-{first.zone}"}]}
        await platform.call(first, "POST", f"{1:016x}", job)
        await platform.wait_for(lambda: len(platform.runs) == TASKS, 10, "the job runs")
        await asyncio.sleep(4.0)
        second = first
        if has_trouble:
            platform.cut_zone(first.zone)
            await platform.wait_for(
                lambda: any(each.is_owner for each in platform.instances if each is not first),
                4,
                "another instance owns the jobs",
            )
            second = next(e for e in platform.instances if e.is_owner and e is not first)
            platform.record.note(f"{second.node} owns the jobs")
        second.send_signal(signal.SIGTERM)  # Planned work: a process is stopped.
        await asyncio.sleep(CUT_S - 1.0)
        if has_trouble:
            platform.heal_zone()
        await asyncio.sleep(GRACE_S)
        return find_overlaps(platform)
    finally:
        platform.close()


if __name__ == "__main__":
    run_case(case, FOLDER)
