"""Entry points of ``azurecleat`` and ``azurecleat-submit``."""

from __future__ import annotations

import sys

from cleo.application import Application
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from azurecleat_cli._internal.commands import (
    OPERATOR_COMMANDS,
    SUBMIT_COMMANDS,
    CommandInfo,
    factories,
)


def operator_main() -> int:
    """Runs ``azurecleat`` for operators and returns the exit code."""
    return _run("azurecleat", OPERATOR_COMMANDS)


def submit_main() -> int:
    """Runs ``azurecleat-submit`` for callers and returns the exit code."""
    return _run("azurecleat-submit", SUBMIT_COMMANDS)


def _run(name: str, table: dict[str, CommandInfo]) -> int:
    application = Application(name, "0.1.0")
    application.set_command_loader(FactoryCommandLoader(factories(table)))
    return application.run()


if __name__ == "__main__":
    sys.exit(operator_main())
