"""Entry point of ``azurecleat-entry``."""

from __future__ import annotations

import os
import signal
import sys
import threading
from pathlib import Path

from azurecleat_model.exceptions import AzurecleatError
from cleo.application import Application as CommandLine
from cleo.commands.command import Command
from cleo.helpers import option
from loguru import logger

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_KILLED = 3
LOG_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}"


class ServeCommand(Command):
    """Runs an entry instance until a signal or an operator stops it."""

    name = "serve"
    description = "Runs an entry instance until SIGTERM; a second signal ends it at once."
    options = [
        option("settings", "s", "Settings file, JSON with comments.", flag=False),
        option("standalone", None, "Run in one process with fakes of the platform."),
        option("callers", "c", "Address to serve callers at with --standalone.", flag=False),
        option("log-level", "l", "DEBUG, INFO, WARNING or ERROR.", flag=False),
    ]

    def handle(self) -> int:
        """Runs the command."""
        try:
            return self._serve()
        except AzurecleatError as error:
            self.line_error(f"error: {error}")
            return EXIT_USAGE

    def _serve(self) -> int:
        if self.option("standalone"):
            configure_logging(self.option("log-level") or "INFO")
            return self._serve_standalone()
        if not self.option("settings"):
            raise AzurecleatError(
                "no settings file given", step="start", hint="use --settings FILE or --standalone"
            )
        from azurecleat_daemon._internal.composition import build_application
        from azurecleat_daemon._internal.settings import load_settings

        settings = load_settings(Path(self.option("settings")))
        configure_logging(self.option("log-level") or settings.log_level)
        try:
            application = build_application(settings)
        except OSError as error:
            raise AzurecleatError(
                f"cannot listen: {error}",
                step="start",
                hint="check the addresses callers and peers in the settings",
            ) from error
        application.start()
        wait_for_stop(application.dependencies.components.operators.stop_requested)
        application.stop()
        return EXIT_OK

    def _serve_standalone(self) -> int:
        from azurecleat_daemon._internal.standalone import build_standalone, start_standalone

        standalone = build_standalone(self.option("callers") or "127.0.0.1:8080")
        start_standalone(standalone)
        self.line(f"callers: http://{standalone.application.callers_address}")
        self.line(f"key of team demo: {standalone.key}")
        self.line(f"operator token: {standalone.operator_token}")
        application = standalone.application
        wait_for_stop(application.dependencies.components.operators.stop_requested)
        application.stop()
        return EXIT_OK


def configure_logging(level: str) -> None:
    """Configures logging of numbered events to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=LOG_FORMAT)


def wait_for_stop(requested: threading.Event) -> None:
    """Waits for SIGTERM, SIGINT or ``requested``; a second signal ends the process at once."""

    def on_signal(number: int, frame: object) -> None:
        if requested.is_set():
            os._exit(EXIT_KILLED)
        requested.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    while not requested.wait(1.0):
        pass


def main() -> int:
    """Runs the command and returns its exit code."""
    command_line = CommandLine("azurecleat-entry", "0.1.0")
    command_line.add(ServeCommand())
    command_line._default_command = "serve"
    command_line._single_command = True
    return command_line.run()


if __name__ == "__main__":
    sys.exit(main())
