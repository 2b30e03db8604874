"""Base class and helpers of all benchmarks: common options, output, memory use, quantiles."""

from __future__ import annotations

import json
import resource
import sys
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from loguru import logger

COMMON_OPTIONS = [
    option("seed", "s", "Seed of all randomness.", flag=False, default="1"),
    option("json", None, "Print only the JSON line."),
]


class Bench(Command):
    """A benchmark command that prints its result as one JSON object on the last line."""

    options = COMMON_OPTIONS

    @property
    def seed(self) -> int:
        return int(self.option("seed"))

    def handle(self) -> int:
        """Runs the benchmark and prints its result."""
        logger.remove()
        logger.add(sys.stderr, level="ERROR")
        result = self.measure()
        if not self.option("json"):
            for name, value in result.items():
                self.line(f"{name}: {value}")
        self.line(json.dumps(result))
        return 0

    def measure(self) -> dict[str, Any]:
        """Runs the benchmark and returns its result; each subclass implements it."""
        raise NotImplementedError

    def int_option(self, name: str) -> int:
        """Returns the value of an option as an integer."""
        return int(self.option(name))


def rss_mb() -> float:
    """Returns the resident memory of this process in MiB, or its peak if /proc has no value."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    return round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1)


def quantile(values: list[float], fraction: float) -> float:
    """Returns the quantile of the values by nearest rank; 0 if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
