"""Command that sends one request."""

from __future__ import annotations

from cleo.helpers import argument, option

from azurecleat_cli._internal.base import COMMON_OPTIONS, EXIT_OK, ApiCommand


class RequestCommand(ApiCommand):
    """Sends a request and prints the response."""

    name = "request"
    description = "Sends a request to the service's runners and prints the response."
    arguments = [argument("body", "Text of the request, or @FILE.")]
    options = [
        *COMMON_OPTIONS,
        option("deadline-ms", "d", "Deadline in milliseconds.", flag=False),
        option("once", None, "The request is not repeatable; needs --key."),
        option("key", "k", "Idempotency key.", flag=False),
        option("open", "o", "Name of a queue that is open to all.", flag=False),
    ]

    def run_command(self) -> int:
        text = self.argument("body")
        if text.startswith("@"):
            text = self.read_file(text[1:])
        headers = {}
        if self.option("deadline-ms"):
            headers["X-Deadline-Ms"] = self.option("deadline-ms")
        if self.option("once"):
            headers["X-Repeatable"] = "false"
        if self.option("key"):
            headers["Idempotency-Key"] = self.option("key")
        queue = self.option("open")
        path = f"/v1/open/{queue}/requests" if queue else "/v1/requests"
        answer = self.client.call("POST", path, text.encode(), headers)
        self.show({"answer": answer.body.decode(errors="replace")})
        return EXIT_OK
