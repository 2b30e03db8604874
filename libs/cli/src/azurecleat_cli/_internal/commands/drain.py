"""Command that stops an instance gracefully."""

from __future__ import annotations

from azurecleat_cli._internal.base import EXIT_OK, ApiCommand


class DrainCommand(ApiCommand):
    """Drains an instance: it finishes its work, hands over its partitions and stops."""

    name = "drain"
    description = "Finishes the instance's work, hands over its partitions and stops it."

    def run_command(self) -> int:
        self.show(self.client.call("POST", "/v1/operator/drain").json())
        return EXIT_OK
