"""The command that stops an instance gracefully."""

from __future__ import annotations

from azurecleat_cli._internal.base import EXIT_OK, ApiCommand


class DrainCommand(ApiCommand):
    """Lets an instance finish, hand over and stop."""

    name = "drain"
    description = "Lets the instance finish its work, hand over its partitions and stop."

    def run_command(self) -> int:
        """Runs the command."""
        self.show(self.client.call("POST", "/v1/operator/drain").json())
        return EXIT_OK
