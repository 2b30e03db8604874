"""Entry point of ``azurecleat-bench``."""

from __future__ import annotations

import sys

from cleo.application import Application
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from azurecleat_bench._internal.commands import factories


def main() -> int:
    """Runs a benchmark and returns the exit code."""
    application = Application("azurecleat-bench", "0.1.0")
    application.set_command_loader(FactoryCommandLoader(factories()))
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
