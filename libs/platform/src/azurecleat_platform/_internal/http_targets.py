"""HTTP clients of runners, workers and the instance list."""

from __future__ import annotations

import json
from typing import Any

from azurecleat_base import AnswerLostError, HttpClient, HttpResponse, NotSentError
from azurecleat_model import Resources, to_plain
from azurecleat_model.exceptions import (
    FencedError,
    LogUnavailableError,
    NotRunError,
    OutcomeUnknownError,
)

from azurecleat_platform._internal.types import (
    ControlReply,
    ControlRequest,
    EndedTask,
    RunningTask,
    Target,
    TargetKind,
)

STATUS_OK = 200
STATUS_NOT_MODIFIED = 304
CONTROL_TIMEOUT_S = 2.0


class HttpTarget:
    """A runner or worker, accessed over HTTP.

    :param name: Name of the target, used in errors.
    :param address: ``host:port`` of the target.
    """

    def __init__(self, name: str, address: str) -> None:
        self._name = name
        self._client = HttpClient(address)

    def control(self, request: ControlRequest) -> ControlReply:
        """Renews the lease and sends commands; see :meth:`TargetClient.control`."""
        body = json.dumps(_without_defaults(request), separators=(",", ":")).encode()
        response = self._call("/control", body, {}, CONTROL_TIMEOUT_S, "target.control")
        return _decode_reply(json.loads(response.body))

    def run(self, request_id: str, epoch: int, body: bytes, timeout_s: float) -> bytes:
        """Runs one request and returns its complete answer; see :meth:`RunnerClient.run`."""
        headers = {"X-Request-Id": request_id, "X-Epoch": str(epoch)}
        return self._call("/run", body, headers, timeout_s, "runner.run").body

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()

    def _call(
        self, path: str, body: bytes, headers: dict[str, str], timeout_s: float, step: str
    ) -> HttpResponse:
        try:
            response = self._client.call("POST", path, body, headers, timeout_s)
        except NotSentError as error:
            raise NotRunError(f"not sent: {error}", step=step, peer=self._name) from error
        except AnswerLostError as error:
            raise OutcomeUnknownError(
                f"answer lost: {error}", step=step, peer=self._name
            ) from error
        match response.status:
            case 200:
                return response
            case 409:
                epoch = int(json.loads(response.body)["epoch"])
                detail = f"epoch {epoch} has control"
                raise FencedError(detail, epoch=epoch, step=step, peer=self._name)
            case 503:
                raise NotRunError(_body_text(response), step=step, peer=self._name)
            case status:
                raise OutcomeUnknownError(f"status {status}", step=step, peer=self._name)


class HttpInstanceList:
    """The platform's instance list, accessed over HTTP."""

    def __init__(self, address: str, timeout_s: float = 1.0) -> None:
        self._client = HttpClient(address, connect_timeout_s=0.5)
        self._timeout_s = timeout_s
        self._etag = ""
        self._listed: list[Target] = []

    def targets(self) -> list[Target]:
        """Returns the runners and workers currently listed.

        Most reads find the list unchanged; an entity tag keeps such a read to a few bytes.
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            response = self._client.call(
                "GET", "/instances", headers=headers, timeout_s=self._timeout_s
            )
        except (NotSentError, AnswerLostError) as error:
            raise self._unavailable(str(error)) from error
        if response.status == STATUS_NOT_MODIFIED:
            return self._listed
        if response.status != STATUS_OK:
            raise self._unavailable(f"status {response.status}")
        self._listed = [target_from_plain(value) for value in json.loads(response.body)["targets"]]
        self._etag = response.headers.get("ETag", "")
        return self._listed

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()

    def _unavailable(self, problem: str) -> LogUnavailableError:
        return LogUnavailableError(
            f"the instance list is not available: {problem}",
            step="list.read",
            peer=self._client.address,
        )


def target_from_plain(value: dict[str, Any]) -> Target:
    """Creates a target from its JSON value."""
    fields = dict(value)
    fields["kind"] = TargetKind(fields["kind"])
    fields["capacity"] = Resources(**fields["capacity"])
    return Target(**fields)


def _without_defaults(request: ControlRequest) -> dict[str, Any]:
    defaults = ControlRequest._field_defaults
    plain = to_plain(request)
    return {k: v for k, v in plain.items() if k not in defaults or v != to_plain(defaults[k])}


def _decode_reply(value: dict[str, Any]) -> ControlReply:
    running = value.get("running")
    if running is not None:
        running = tuple(RunningTask(task, Resources(*used)) for task, used in running)
    return ControlReply(
        version=value["version"],
        running=running,
        ended=tuple(EndedTask(task, result) for task, result in value.get("ended", ())),
        refused=tuple(value.get("refused", ())),
    )


def _body_text(response: HttpResponse) -> str:
    return response.body.decode(errors="replace")[:200]
