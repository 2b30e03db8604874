"""Base class of commands that call an instance: options, output, exit codes."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from azurecleat_model.exceptions import AzurecleatError
from cleo.commands.command import Command
from cleo.helpers import option

from azurecleat_cli._internal.client import ApiClient, ApiError, UnreachableError

DEFAULT_ADDRESS = "127.0.0.1:8080"

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN = 4

COMMON_OPTIONS = [
    option("address", "a", "Instance, host:port [AZURECLEAT_ADDRESS].", flag=False),
    option("token", "t", "Bearer token [AZURECLEAT_TOKEN].", flag=False),
    option("json", None, "Print JSON."),
]


class ApiCommand(Command):
    """A command that calls an instance."""

    options = COMMON_OPTIONS

    @property
    def client(self) -> ApiClient:
        address = self.option("address") or os.environ.get("AZURECLEAT_ADDRESS", DEFAULT_ADDRESS)
        return ApiClient(address, self.option("token") or os.environ.get("AZURECLEAT_TOKEN", ""))

    def handle(self) -> int:
        """Runs the command and turns errors into exit codes."""
        try:
            return self.run_command()
        except ApiError as error:
            self._show_problem(error)
            return EXIT_UNKNOWN if error.problem.get("ran") == "unknown" else EXIT_REFUSED
        except UnreachableError as error:
            self.line_error(f"error: {error}")
            return EXIT_UNREACHABLE
        except AzurecleatError as error:
            self.line_error(f"error: {error}")
            return EXIT_USAGE

    def run_command(self) -> int:
        """Runs the command and returns its exit code; each subclass implements it."""
        raise NotImplementedError

    def show(self, value: Any, headers: list[str] | None = None, rows: list | None = None) -> None:
        """Prints ``value`` as JSON with ``--json``, else as a table, else as names and values.

        :param headers: Column titles of the table.
        :param rows: Rows of the table; None for a value without a table.
        """
        if self.option("json"):
            self.line(json.dumps(value))
        elif rows is not None:
            table = self.table(headers, [[str(cell) for cell in row] for row in rows])
            table.render()
        else:
            for name, item in value.items():
                text = item if isinstance(item, str) else json.dumps(item)
                self.line(f"{name}: {text}")

    def read_file(self, path: str) -> str:
        """Returns the text of a file.

        :raises AzurecleatError: The file cannot be read or is not UTF-8.
        """
        try:
            return Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise AzurecleatError(f"cannot read {path}: {error}", step="read") from None

    def _show_problem(self, error: ApiError) -> None:
        if self.option("json"):
            self.line(json.dumps(error.problem))
        else:
            self.line_error(f"refused: {error}")
