"""Measures the time until a withdrawn key is refused by all instances."""

from __future__ import annotations

import time
from typing import Any

from azurecleat_cli._internal.client import ApiError
from azurecleat_fakes import Faults
from cleo.helpers import option

from azurecleat_bench._internal.base import COMMON_OPTIONS, Bench
from azurecleat_bench._internal.processes import (
    OPERATOR_TOKEN,
    EntryProcess,
    ProcessFleet,
    wait_until,
)


class WithdrawCommand(Bench):
    """Withdraws a key at one instance and sends requests to all until each one refuses the key."""

    name = "withdraw"
    description = "Time until a withdrawn key is refused everywhere, with the log up and down."
    options = [*COMMON_OPTIONS, option("rounds", None, "Rounds each.", flag=False, default="2")]

    def measure(self) -> dict[str, Any]:
        """Measures with the log up and during an outage of the log for all instances."""
        rounds = range(self.int_option("rounds"))
        with_log = max(self._measure_round(log_is_down=False) for _ in rounds)
        without = max(self._measure_round(log_is_down=True) for _ in rounds)
        return {
            "bound_s": 5.0,
            "max_s": round(max(with_log, without), 3),
            "with_log_s": round(with_log, 3),
            "log_down_s": round(without, 3),
        }

    def _measure_round(self, log_is_down: bool) -> float:
        fleet = ProcessFleet(("burnie", "hobart"), 2, key_bound_s=5.0)
        try:
            fleet.start()
            for entry in fleet.entries:
                wait_until(lambda entry=entry: not _refuses(fleet, entry))
            if log_is_down:
                fleet.log.faults = Faults(down=True)
                for entry in fleet.entries:
                    wait_until(lambda entry=entry: fleet.status(entry)["proof"] == "peers")
            began = time.monotonic()
            operator = fleet.entries[0].client(OPERATOR_TOKEN)
            operator.call("DELETE", "/v1/operator/keys/crew-1")
            for entry in fleet.entries:
                wait_until(lambda entry=entry: _refuses(fleet, entry))
            return time.monotonic() - began
        finally:
            fleet.stop()


def _refuses(fleet: ProcessFleet, entry: EntryProcess) -> bool:
    try:
        entry.client(fleet.token).call("POST", "/v1/requests", b"x")
    except ApiError as error:
        return error.problem["code"] in ("unauthorized", "keys-not-fresh")
    return False
