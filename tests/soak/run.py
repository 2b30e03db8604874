"""Runs soak tests: ``./dev soak --seeds 50``.

A soak test generates faults from a seed, injects them into a cluster of instance processes, ends
them all, and then checks what callers and targets saw. The seed determines the faults but not the
timing of the processes, so a run cannot be reproduced step by step. Violations are printed with
the seed, and the logs of the processes are kept.
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
from tests.soak.faults import FaultInjector, generate_faults
from tests.soak.guarantees import GuaranteeChecker, SubmissionOutcome

REGRESSIONS_PATH = Path(__file__).with_name("regressions.txt")
SETTLE_TIMEOUT_S = 20.0
"""Maximum time from the end of all faults until all jobs have finished."""


class SoakSettings(NamedTuple):
    """Size of a soak test; times in seconds."""

    seconds: float = 15.0
    mean_fault_interval_s: float = 0.8
    instances: int = 4
    targets: int = 4
    callers: int = 4
    mean_submit_interval_s: float = 0.4


class SoakResult(NamedTuple):
    """Result of a soak test."""

    seed: int
    violations: tuple[str, ...]
    jobs: int
    accepted: int
    task_starts: int
    faults: int
    log_folder: str

    def __str__(self) -> str:
        return (
            f"seed {self.seed}: {self.faults} faults, {self.jobs} jobs, {self.accepted} accepted, "
            f"{self.task_starts} task starts, {len(self.violations)} violations"
        )


def run_soak(seed: int, settings: SoakSettings, folder: Path) -> SoakResult:
    """Runs the soak test of one seed.

    :param folder: Where the processes write their logs.
    """
    cluster = Cluster(seed, folder, settings.instances, settings.targets)
    guarantee_checker = GuaranteeChecker(cluster.platform)
    addresses = [member.caller_proxy.address for member in cluster.members]
    callers = [
        Caller(
            number,
            seed,
            addresses,
            cluster.keys,
            guarantee_checker,
            settings.mean_submit_interval_s,
        )
        for number in range(settings.callers)
    ]
    faults = generate_faults(seed, settings.seconds, settings.mean_fault_interval_s)
    try:
        cluster.start()
        for caller in callers:
            caller.start()
        FaultInjector(cluster, guarantee_checker).run(faults, settings.seconds)
        for caller in callers:
            caller.stop()
        cluster.heal()
        _settle(cluster, callers)
        guarantee_checker.check_end()
    finally:
        cluster.close()
    accepted = sum(
        job.outcome is SubmissionOutcome.ACCEPTED for job in guarantee_checker.jobs.values()
    )
    task_starts = cluster.platform.checker.starts
    violations = tuple(guarantee_checker.violations)
    return SoakResult(
        seed,
        violations,
        len(guarantee_checker.jobs),
        accepted,
        task_starts,
        len(faults),
        str(folder),
    )


def _settle(cluster: Cluster, callers: Sequence[Caller]) -> None:
    deadline = time.monotonic() + SETTLE_TIMEOUT_S
    while time.monotonic() < deadline:
        cluster.heal()
        cluster.platform.advance()
        if all([caller.query_unfinished_jobs() for caller in callers]):
            return
        time.sleep(0.2)


def load_regressions() -> list[tuple[int, str]]:
    """Returns seeds that have failed before, each with the cause."""
    entries = []
    for line in REGRESSIONS_PATH.read_text(encoding="utf-8").splitlines():
        if line and not line.startswith("#"):
            seed, _, cause = line.partition(" ")
            entries.append((int(seed), cause))
    return entries


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="./dev soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds to run")
    parser.add_argument("--first", type=int, help="first seed; by default derived from the time")
    parser.add_argument("--seconds", type=float, default=SoakSettings().seconds)
    parser.add_argument("--instances", type=int, default=SoakSettings().instances)
    parser.add_argument(
        "--regressions", action="store_true", help="first run the seeds in regressions.txt"
    )
    options = parser.parse_args(arguments)
    first = options.first if options.first is not None else int(time.time()) % 1_000_000
    seeds = [seed for seed, _ in load_regressions()] if options.regressions else []
    seeds += range(first, first + options.seeds)
    settings = SoakSettings(seconds=options.seconds, instances=options.instances)
    failed = 0
    for seed in seeds:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = run_soak(seed, settings, folder)
        print(result, flush=True)
        for line in result.violations:
            print(f"  {line}")
        if result.violations:
            failed += 1
            print(f"  logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    print(f"{len(seeds)} seeds, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
