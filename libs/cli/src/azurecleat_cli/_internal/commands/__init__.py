"""The commands; each module is imported only when one of its commands runs."""

from __future__ import annotations

import importlib
from collections.abc import Callable
from typing import NamedTuple

from cleo.commands.command import Command


class CommandInfo(NamedTuple):
    """Module and class of a command."""

    module: str
    class_name: str


OPERATOR_COMMANDS = {
    "config check": CommandInfo("config", "CheckCommand"),
    "config trial": CommandInfo("config", "TrialCommand"),
    "config promote": CommandInfo("config", "PromoteCommand"),
    "config history": CommandInfo("config", "HistoryCommand"),
    "config show": CommandInfo("config", "ShowCommand"),
    "team": CommandInfo("status", "TeamCommand"),
    "key give": CommandInfo("key", "GiveCommand"),
    "key withdraw": CommandInfo("key", "WithdrawCommand"),
    "status": CommandInfo("status", "StatusCommand"),
    "targets": CommandInfo("status", "TargetsCommand"),
    "why": CommandInfo("why", "WhyCommand"),
    "explain": CommandInfo("explain", "ExplainCommand"),
    "drain": CommandInfo("drain", "DrainCommand"),
}

SUBMIT_COMMANDS = {
    "request": CommandInfo("request", "RequestCommand"),
    "job": CommandInfo("job", "JobCommand"),
    "status": CommandInfo("job", "JobStatusCommand"),
    "wait": CommandInfo("job", "WaitCommand"),
    "cancel": CommandInfo("job", "CancelCommand"),
}


def factories(table: dict[str, CommandInfo]) -> dict[str, Callable[[], Command]]:
    """Returns a factory for each command that imports its module and creates the command."""
    return {name: lambda info=info: _make(info) for name, info in table.items()}


def _make(info: CommandInfo) -> Command:
    module = importlib.import_module(f"azurecleat_cli._internal.commands.{info.module}")
    return getattr(module, info.class_name)()
