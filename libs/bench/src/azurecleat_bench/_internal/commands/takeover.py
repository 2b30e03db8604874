"""Measures the time without an owner after a kill, a pause and a graceful stop."""

from __future__ import annotations

import signal
import time
from typing import Any

from azurecleat_cli._internal.client import ApiError, UnreachableError
from cleo.helpers import option

from azurecleat_bench._internal.base import COMMON_OPTIONS, Bench
from azurecleat_bench._internal.processes import LEASE_S, EntryProcess, ProcessFleet, wait_until

TIMEOUT_S = 40.0
PROBE_INTERVAL_S = 0.005


class TakeoverCommand(Bench):
    """Sends requests to the remaining instance until its zone serves requests again."""

    name = "takeover"
    description = "Time without an owner after a kill, a pause and a graceful stop."
    options = [*COMMON_OPTIONS, option("rounds", None, "Rounds each.", flag=False, default="3")]

    def measure(self) -> dict[str, Any]:
        """Measures several rounds of each kind and returns all times and the longest."""
        result: dict[str, Any] = {"lease_s": LEASE_S}
        for name, signal_number in (
            ("kill_s", signal.SIGKILL),
            ("pause_s", signal.SIGSTOP),
            ("release_s", signal.SIGTERM),
        ):
            times = [self._measure_round(signal_number) for _ in range(self.int_option("rounds"))]
            result[name] = round(max(times), 3)
            result[f"{name}_all"] = [round(seconds, 3) for seconds in times]
        return result

    def _measure_round(self, signal_number: int) -> float:
        fleet = ProcessFleet(("hobart",), 2)
        try:
            fleet.start()
            owner = fleet.owner_of("hobart")
            other = fleet.others(owner)[0]
            wait_until(lambda: _answers(fleet, other))
            began = time.monotonic()
            owner.signal(signal_number)
            # A draining owner still serves requests, so wait until the other instance is the owner.
            wait_until(lambda: _serves(fleet, other), TIMEOUT_S)
            return time.monotonic() - began
        finally:
            fleet.stop()


def _serves(fleet: ProcessFleet, entry: EntryProcess) -> bool:
    status = fleet.status(entry)
    return bool(status and status["serving"]) and _answers(fleet, entry)


def _answers(fleet: ProcessFleet, entry: EntryProcess) -> bool:
    try:
        entry.client(fleet.token).call("POST", "/v1/requests", b"x", {"X-Deadline-Ms": "200"})
    except (ApiError, UnreachableError):
        time.sleep(PROBE_INTERVAL_S)
        return False
    return True
