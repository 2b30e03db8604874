"""Command that shows why a job waits."""

from __future__ import annotations

from cleo.helpers import argument

from azurecleat_cli._internal.base import EXIT_OK, ApiCommand


class WhyCommand(ApiCommand):
    """Shows why a job waits."""

    name = "why"
    description = "Shows what a waiting job is waiting for."
    arguments = [argument("job", "Id of the job.")]

    def run_command(self) -> int:
        path = f"/v1/operator/jobs/{self.argument('job')}/why"
        self.show(self.client.call("GET", path).json())
        return EXIT_OK
