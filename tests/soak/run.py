"""Runs one soak, or many: ``./dev soak --seeds 50``.

A soak draws its faults from its seed, plays them on real processes, ends them all, and then
judges what callers and targets saw. Timing is that of the machine: a seed names the faults, not
each step. What breaks a promise is told with its seed and the processes' logs are kept.
"""

from __future__ import annotations

import argparse
import shutil
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from tests.soak.callers import Caller
from tests.soak.cluster import Cluster
from tests.soak.faults import FaultInjector, draw
from tests.soak.promises import Promises, Verdict

REGRESSIONS = Path(__file__).with_name("regressions.txt")
SETTLE_S = 20.0
"""Longest time from the end of all faults to the end of all jobs."""


class SoakSettings(NamedTuple):
    """Size of a soak; times in seconds."""

    seconds: float = 15.0
    gap_s: float = 0.8
    instances: int = 4
    targets: int = 4
    callers: int = 4
    rate_s: float = 0.4


class SoakResult(NamedTuple):
    """What a soak showed."""

    seed: int
    broken: tuple[str, ...]
    jobs: int
    accepted: int
    starts: int
    faults: int
    logs: str

    def __str__(self) -> str:
        return (
            f"seed {self.seed}: {self.faults} faults, {self.jobs} jobs, {self.accepted} accepted, "
            f"{self.starts} starts, {len(self.broken)} broken"
        )


def soak(seed: int, settings: SoakSettings, folder: Path) -> SoakResult:
    """Plays one seed; the processes write their logs into the folder."""
    cluster = Cluster(seed, folder, settings.instances, settings.targets)
    promises = Promises(cluster.site)
    addresses = [member.callers.address for member in cluster.members]
    callers = [
        Caller(number, seed, addresses, cluster.keys, promises, settings.rate_s)
        for number in range(settings.callers)
    ]
    faults = draw(seed, settings.seconds, settings.gap_s)
    try:
        cluster.start()
        for caller in callers:
            caller.start()
        FaultInjector(cluster, promises).run(faults, settings.seconds)
        for caller in callers:
            caller.stop()
        cluster.heal()
        _settle(cluster, callers)
        promises.check_end()
    finally:
        cluster.close()
    accepted = sum(job.verdict is Verdict.ACCEPTED for job in promises.jobs.values())
    starts = cluster.site.checker.starts
    broken = tuple(promises.broken)
    return SoakResult(seed, broken, len(promises.jobs), accepted, starts, len(faults), str(folder))


def _settle(cluster: Cluster, callers: Sequence[Caller]) -> None:
    deadline = time.monotonic() + SETTLE_S
    while time.monotonic() < deadline:
        cluster.heal()
        cluster.site.advance()
        if all([caller.ask_all() for caller in callers]):
            return
        time.sleep(0.2)


def regressions() -> list[tuple[int, str]]:
    """Returns seeds that failed once, each with its cause."""
    entries = []
    for line in REGRESSIONS.read_text(encoding="utf-8").splitlines():
        if line and not line.startswith("#"):
            seed, _, cause = line.partition(" ")
            entries.append((int(seed), cause))
    return entries


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="./dev soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=10, help="how many seeds to play")
    parser.add_argument("--first", type=int, help="first seed; by default the time decides")
    parser.add_argument("--seconds", type=float, default=SoakSettings().seconds)
    parser.add_argument("--instances", type=int, default=SoakSettings().instances)
    parser.add_argument("--regressions", action="store_true", help="play the kept seeds first")
    options = parser.parse_args(arguments)
    first = options.first if options.first is not None else int(time.time()) % 1_000_000
    seeds = [seed for seed, _ in regressions()] if options.regressions else []
    seeds += range(first, first + options.seeds)
    settings = SoakSettings(seconds=options.seconds, instances=options.instances)
    failed = 0
    for seed in seeds:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = soak(seed, settings, folder)
        print(result, flush=True)
        for line in result.broken:
            print(f"  {line}")
        if result.broken:
            failed += 1
            print(f"  logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    print(f"{len(seeds)} seeds, {failed} with a broken promise")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
