"""Commands for jobs."""

from __future__ import annotations

import json
import time
from typing import Any

from azurecleat_model import parse_jsonc
from cleo.helpers import argument, option

from azurecleat_cli._internal.base import COMMON_OPTIONS, EXIT_OK, EXIT_REFUSED, ApiCommand

POLL_S = 0.5
_JOB = [argument("job", "Id of the job.")]


class JobCommand(ApiCommand):
    """Submits a job."""

    name = "job"
    description = "Submits a job."
    arguments = [argument("file", "Job specification, JSON with comments.")]
    options = [*COMMON_OPTIONS, option("key", "k", "Idempotency key.", flag=False)]

    def run_command(self) -> int:
        path = self.argument("file")
        body = json.dumps(parse_jsonc(self.read_file(path), path)).encode()
        headers = {"Idempotency-Key": self.option("key")} if self.option("key") else {}
        self.show(self.client.call("POST", "/v1/jobs", body, headers).json())
        return EXIT_OK


class JobStatusCommand(ApiCommand):
    """Shows the state of a job."""

    name = "status"
    description = "Shows the state of a job."
    arguments = _JOB

    def run_command(self) -> int:
        self.show(self.client.call("GET", f"/v1/jobs/{self.argument('job')}").json())
        return EXIT_OK


class WaitCommand(ApiCommand):
    """Waits for a job; fails unless all tasks are done in time."""

    name = "wait"
    description = "Waits until a job has finished and shows its progress."
    arguments = _JOB
    options = [
        *COMMON_OPTIONS,
        option("timeout", None, "Maximum wait in seconds [3600].", flag=False),
    ]

    def run_command(self) -> int:
        ends_at = time.monotonic() + float(self.option("timeout") or 3600)
        value = self._fetch()
        progress = None if self.option("json") else self.progress_bar(value["tasks"])
        while not value["finished"] and time.monotonic() < ends_at:
            if progress is not None:
                progress.set_progress(value["done"])
            time.sleep(POLL_S)
            value = self._fetch()
        if progress is not None:
            progress.set_progress(value["done"])
            self.line("")
        self.show(value)
        return EXIT_OK if value["done"] == value["tasks"] else EXIT_REFUSED

    def _fetch(self) -> dict[str, Any]:
        return self.client.call("GET", f"/v1/jobs/{self.argument('job')}").json()


class CancelCommand(ApiCommand):
    """Cancels a job."""

    name = "cancel"
    description = "Cancels a job; tasks that have not started will not start."
    arguments = _JOB

    def run_command(self) -> int:
        self.show(self.client.call("DELETE", f"/v1/jobs/{self.argument('job')}").json())
        return EXIT_OK
