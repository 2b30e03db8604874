"""The benchmark commands; each module is imported only when its command runs."""

from __future__ import annotations

import importlib
from collections.abc import Callable
from typing import NamedTuple

from cleo.commands.command import Command


class BenchInfo(NamedTuple):
    """Module and class of a benchmark command."""

    module: str
    class_name: str


BENCHES = {
    "placements": BenchInfo("placements", "PlacementsCommand"),
    "policy": BenchInfo("policy", "PolicyCommand"),
    "faults": BenchInfo("faults", "FaultsCommand"),
    "forwarding": BenchInfo("forwarding", "ForwardingCommand"),
    "takeover": BenchInfo("takeover", "TakeoverCommand"),
    "withdraw": BenchInfo("withdraw", "WithdrawCommand"),
    "outage": BenchInfo("outage", "OutageCommand"),
    "log": BenchInfo("log", "LogCommand"),
    "idle": BenchInfo("idle", "IdleCommand"),
    "slopes": BenchInfo("slopes", "SlopesCommand"),
    "capacity": BenchInfo("capacity", "CapacityCommand"),
    "owner": BenchInfo("owner", "OwnerCommand"),
}


def factories() -> dict[str, Callable[[], Command]]:
    """Returns a factory for each command that imports its module and creates the command."""
    return {name: lambda info=info: _make(info) for name, info in BENCHES.items()}


def _make(info: BenchInfo) -> Command:
    module = importlib.import_module(f"azurecleat_bench._internal.commands.{info.module}")
    return getattr(module, info.class_name)()
