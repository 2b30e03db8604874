"""Runs formatter, linter and all tests; the last line is ``N passed, N failed``.

Tests listed in KNOWN-RED.txt may fail; such a failure is printed and counts neither as passed nor
as failed.
"""

from __future__ import annotations

import subprocess
import sys
import time
import unittest
from pathlib import Path

from loguru import logger

ROOT = Path(__file__).resolve().parent.parent
CHECKS = {
    "black": ["-m", "black", "--check", "--quiet", "libs", "platform", "tests"],
    "ruff": ["-m", "ruff", "check", "--quiet", "libs", "platform", "tests"],
}


def load_known_failures() -> set[str]:
    """Returns the test IDs in KNOWN-RED.txt, from the lines that begin with ``test:``."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def run_checks() -> tuple[int, int]:
    """Runs formatter and linter; returns the numbers of passed and failed checks."""
    passed = failed = 0
    for name, arguments in CHECKS.items():
        result = subprocess.run([sys.executable, *arguments], cwd=ROOT, check=False)
        print(f"{name}: {'ok' if result.returncode == 0 else 'FAILED'}", flush=True)
        passed += result.returncode == 0
        failed += result.returncode != 0
    return passed, failed


class TimedResult(unittest.TextTestResult):
    """Prints a line for each test that took longer than ``SLOW_S``."""

    SLOW_S = 5.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        self._began_at = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        seconds = time.monotonic() - self._began_at
        if seconds > self.SLOW_S:
            print(f"slow: {test.id()} {seconds:.1f} s", flush=True)
        super().stopTest(test)


def main(names: list[str]) -> int:
    """Runs everything, or only the named tests; returns the exit code."""
    logger.remove()
    passed, failed = (0, 0) if names else run_checks()
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), pattern="test_*.py", top_level_dir=str(ROOT))
    runner = unittest.TextTestRunner(verbosity=1, resultclass=TimedResult, stream=sys.stdout)
    result = runner.run(suite)
    # A failed subtest counts as a failure of its test.
    failed_tests = [
        getattr(test, "test_case", test) for test, _ in (*result.failures, *result.errors)
    ]
    failed_ids = {test.id() for test in failed_tests}
    known_failures = failed_ids & load_known_failures()
    for test in sorted(known_failures):
        print(f"known red: {test}")
    passed += result.testsRun - len(failed_ids) - len(result.skipped)
    failed += len(failed_ids - known_failures)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
