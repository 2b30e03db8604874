"""HTTP clients of runners, workers and the instance list."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from azurecleat_base import (
    AnswerLostError,
    HttpClient,
    HttpResponse,
    NotSentError,
    describe,
    parse_json_object,
    split_address,
)
from azurecleat_model import Resources, to_plain
from azurecleat_model.exceptions import (
    DocumentError,
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

MAX_NUMBER = 1 << 53
"""Largest amount of a target, and the largest number that every JSON implementation keeps exact."""

MAX_TEXT_CHARS = 1_000

DECODE_ERRORS = (DocumentError, KeyError, TypeError, ValueError, AttributeError, OverflowError)
"""Exceptions that decoding a malformed answer may raise."""


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
        step = "target.control"
        response = self._call("/control", body, {}, CONTROL_TIMEOUT_S, step)
        try:
            return _decode_reply(parse_json_object(response.body, "answer"))
        except DECODE_ERRORS as error:
            raise OutcomeUnknownError(describe(error), step=step, peer=self._name) from None

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
                try:
                    epoch = int(parse_json_object(response.body, "answer")["epoch"])
                except DECODE_ERRORS as error:
                    raise OutcomeUnknownError(describe(error), step=step, peer=self._name) from None
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

        An entry that cannot be used names no target, and a target that was listed before keeps its
        last entry while its name is listed.

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
        try:
            values = parse_json_object(response.body, "list")["targets"]
            self._listed = list(self._usable(values))
        except (DocumentError, KeyError, TypeError) as error:
            raise self._unavailable(describe(error)) from None
        self._etag = response.headers.get("ETag", "")
        return self._listed

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()

    def _usable(self, values: Iterable[Any]) -> Iterable[Target]:
        known = {target.name: target for target in self._listed}
        for value in values:
            try:
                yield target_from_plain(value)
            except DocumentError:
                name = value.get("name") if isinstance(value, dict) else None
                if isinstance(name, str) and name in known:
                    yield known[name]

    def _unavailable(self, problem: str) -> LogUnavailableError:
        return LogUnavailableError(
            f"the instance list is not available: {problem}",
            step="list.read",
            peer=self._client.address,
        )


def target_from_plain(value: dict[str, Any]) -> Target:
    """Creates a target from its JSON value.

    :raises DocumentError: The value describes no target that can be used.
    """
    try:
        fields = dict(value)
        fields["kind"] = TargetKind(fields["kind"])
        fields["capacity"] = Resources(**fields["capacity"])
        target = Target(**fields)
        split_address(target.address)
        for text in (target.name, target.zone, target.rack):
            if not isinstance(text, str) or len(text) > MAX_TEXT_CHARS:
                raise ValueError("a text is of another type or too long")
        for number in (*target.capacity, target.slots, target.connections):
            if not isinstance(number, int) or not 0 <= number <= MAX_NUMBER:
                raise ValueError("a number is of another type or out of range")
    except DECODE_ERRORS as error:
        raise DocumentError(f"target: {describe(error)}", step="list.decode") from None
    return target


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
