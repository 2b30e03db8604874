"""HTTP client of an entry instance."""

from __future__ import annotations

import http.client
import json
from typing import Any, NamedTuple

from azurecleat_model.exceptions import AzurecleatError


class ApiError(AzurecleatError):
    """The instance refused a call.

    :param problem: The problem document in the response.
    :param peer: Address of the instance.
    """

    def __init__(self, problem: dict[str, Any], peer: str) -> None:
        super().__init__(
            f"{problem.get('code', 'error')}: {problem.get('detail', '')}",
            step=problem.get("step", ""),
            peer=peer,
            hint=f"ran: {problem.get('ran', 'unknown')}",
        )
        self._problem = problem

    @property
    def problem(self) -> dict[str, Any]:
        return self._problem


class UnreachableError(AzurecleatError):
    """No complete response was received; the call may have taken effect."""


class Answer(NamedTuple):
    """A successful response."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Returns the body, parsed as JSON."""
        return json.loads(self.body)


class ApiClient:
    """Calls one entry instance.

    :param address: ``host:port`` of the instance.
    :param token: Bearer token of a team or of an operator.
    :param timeout_s: Timeout in seconds of each socket operation.
    """

    def __init__(self, address: str, token: str, timeout_s: float = 60.0) -> None:
        self._address = address.removeprefix("http://").rstrip("/")
        self._token = token
        self._timeout_s = timeout_s

    def call(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> Answer:
        """Sends one request and returns its response.

        :raises ApiError: The instance refused the request.
        :raises UnreachableError: No complete response was received.
        """
        sent = {"Authorization": f"Bearer {self._token}", **(headers or {})}
        try:
            connection = http.client.HTTPConnection(self._address, timeout=self._timeout_s)
            connection.request(method, path, body, sent)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise UnreachableError(
                f"no response: {error}",
                step=f"{method} {path}",
                peer=self._address,
                hint="check --address and that the instance is running",
            ) from error
        finally:
            connection.close()
        if response.status >= 400:
            raise ApiError(_problem(response.status, content), self._address)
        return Answer(response.status, content)


def _problem(status: int, content: bytes) -> dict[str, Any]:
    try:
        value = json.loads(content)
    except ValueError:
        value = None
    if isinstance(value, dict):
        return value
    return {"code": f"status-{status}", "detail": content.decode(errors="replace")[:200]}
