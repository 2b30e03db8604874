"""HTTP interface to callers and operators."""

from __future__ import annotations

import json
import math
import threading
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from azurecleat_base import parse_json
from azurecleat_model import ExecutionStatus, KeyHash, RequestSpec, validate
from azurecleat_model.events import COMPONENT_FAILED, log_event
from azurecleat_model.exceptions import AzurecleatError, DocumentError
from pydantic import TypeAdapter

from azurecleat_daemon._internal.admission import Admission
from azurecleat_daemon._internal.metrics import Metrics
from azurecleat_daemon._internal.operators import Operators
from azurecleat_daemon._internal.refusal import RefusalError
from azurecleat_daemon._internal.router import ANY_TEAM, Router
from azurecleat_daemon._internal.settings import EntrySettings

MAX_HEADER_CHARACTERS = 128
JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
REASON_PHRASES = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

_KEY_ADAPTER = TypeAdapter(KeyHash)


class Response(NamedTuple):
    """An HTTP response."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


class Request(NamedTuple):
    """An HTTP request with its body."""

    method: str
    path: tuple[str, ...]
    headers: dict[str, str]
    body: bytes

    @property
    def token(self) -> str:
        scheme, _, token = self.headers.get("authorization", "").partition(" ")
        return token.strip() if scheme.lower() == "bearer" else ""

    def json(self) -> Any:
        """Returns the decoded JSON body.

        :raises RefusalError: The body is not JSON.
        """
        try:
            return parse_json(self.body, "the body")
        except DocumentError:
            raise RefusalError("bad-request", "the body is not JSON", status=400) from None


class HttpApi:
    """The WSGI application of an instance.

    :param settings: Bounds on bodies and concurrent callers, and the default deadline.
    """

    def __init__(
        self,
        settings: EntrySettings,
        router: Router,
        admission: Admission,
        operators: Operators,
        metrics: Metrics,
        is_ready: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._router = router
        self._admission = admission
        self._operators = operators
        self._metrics = metrics
        self._is_ready = is_ready
        self._lock = threading.Lock()
        self._idle = threading.Condition(self._lock)
        self._in_progress = 0
        self._is_draining = False

    @property
    def in_progress(self) -> int:
        return self._in_progress

    def drain(self) -> None:
        """Starts refusing new work."""
        self._is_draining = True

    def wait_until_idle(self, timeout_s: float | None) -> bool:
        """Waits until no request is in progress; returns False on timeout."""
        with self._idle:
            return self._idle.wait_for(lambda: self._in_progress == 0, timeout_s)

    def __call__(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        """Serves one request (WSGI)."""
        response = self._respond(environ)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        reason = REASON_PHRASES.get(response.status, "Unknown")
        start_response(f"{response.status} {reason}", headers)
        return [response.body]

    def _respond(self, environ: dict[str, Any]) -> Response:
        try:
            return self._route(self._parse_request(environ))
        except RefusalError as refusal:
            self._metrics.refusals.labels(refusal.code, refusal.ran.value).inc()
            return _problem(refusal)
        except Exception as error:  # A bug must not end the server thread.
            log_event(COMPONENT_FAILED, component="http", error=repr(error))
            detail = str(error) if isinstance(error, AzurecleatError) else "internal error"
            return _problem(
                RefusalError("internal", detail, ran=ExecutionStatus.UNKNOWN, status=500)
            )

    def _parse_request(self, environ: dict[str, Any]) -> Request:
        path = tuple(part for part in environ.get("PATH_INFO", "").split("/") if part)
        headers = {
            name[5:].lower().replace("_", "-"): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        limit = self._settings.bounds.body_bytes
        body = environ["wsgi.input"].read(limit + 1)
        if len(body) > limit:
            raise RefusalError("too-large", f"the body exceeds {limit} bytes", status=413)
        return Request(environ["REQUEST_METHOD"], path, headers, body)

    def _route(self, request: Request) -> Response:
        match request.method, request.path:
            case "GET", ("healthz",):
                return _json(200, {"ok": True})
            case "GET", ("readyz",):
                ready = self._is_ready() and not self._is_draining
                return _json(200 if ready else 503, {"ready": ready})
            case "GET", ("metrics",):
                return Response(200, self._metrics.text(), "text/plain; version=0.0.4")
            case _, ("v1", "operator", *rest):
                self._admission.check_operator(request.token)
                return self._handle_operator(request, tuple(rest))
            case _, ("v1", *rest):
                return self._admit(request, tuple(rest))
            case _:
                raise _not_found(request)

    def _admit(self, request: Request, rest: tuple[str, ...]) -> Response:
        with self._lock:
            if self._is_draining:
                raise RefusalError("stopping", "this instance is stopping", retry_after_s=0.0)
            if self._in_progress >= self._settings.bounds.callers:
                raise RefusalError(
                    "too-many-callers", "all caller slots are taken", retry_after_s=1.0
                )
            self._in_progress += 1
        try:
            return self._handle_caller(request, rest)
        finally:
            with self._idle:
                self._in_progress -= 1
                self._idle.notify_all()

    def _handle_caller(self, request: Request, rest: tuple[str, ...]) -> Response:
        match request.method, rest:
            case "POST", ("requests",):
                return self._run_request(request, self._admission.team(request.token))
            case "POST", ("open", team, "requests"):
                return self._run_request(request, self._admission.open_team(team))
            case "POST", ("jobs",):
                team = self._admission.team(request.token)
                key = _header(request, "idempotency-key")
                return _json(201, self._router.submit(team, request.json(), key))
            case "GET", ("jobs", job_id):
                return _json(200, self._router.job(self._admission.team(request.token), job_id))
            case "GET", ("jobs", job_id, "why"):
                return _json(200, self._router.why(self._admission.team(request.token), job_id))
            case "DELETE", ("jobs", job_id):
                return _json(200, self._router.cancel(self._admission.team(request.token), job_id))
            case _:
                raise _not_found(request)

    def _run_request(self, request: Request, team: str) -> Response:
        repeatable = _header(request, "x-repeatable").lower() not in ("false", "no", "0")
        key = _header(request, "idempotency-key")
        if not repeatable and not key:
            detail = "a request that is not repeatable needs an Idempotency-Key header"
            raise RefusalError("bad-request", detail, status=400)
        deadline_s = self._deadline_s(request)
        spec = RequestSpec(team, request.body, deadline_s, repeatable, key)
        return Response(200, self._router.run(spec), "application/octet-stream")

    def _deadline_s(self, request: Request) -> float:
        text = _header(request, "x-deadline-ms")
        if not text:
            return self._settings.timing.request_deadline_s
        try:
            milliseconds = int(text)
        except ValueError:
            raise RefusalError("bad-request", "X-Deadline-Ms is no number", status=400) from None
        if not 1 <= milliseconds <= 3_600_000:
            raise RefusalError("bad-request", "X-Deadline-Ms is out of range", status=400)
        return milliseconds / 1000.0

    def _handle_operator(self, request: Request, rest: tuple[str, ...]) -> Response:
        operators = self._operators
        match request.method, rest:
            case "GET", ("environment",):
                return _json(200, operators.show())
            case "GET", ("history",):
                return _json(200, operators.history())
            case "POST", ("environment", "check"):
                return _json(200, operators.check(_text(request)))
            case "POST", ("environment", "trial"):
                return _json(200, operators.trial(_text(request)))
            case "POST", ("environment", "promote", base) if base.isdigit():
                return _json(200, operators.promote(_text(request), int(base)))
            case "POST", ("teams", team, "keys"):
                return _json(201, operators.add_key(team, _key(request)))
            case "DELETE", ("keys", key_id):
                return _json(200, operators.withdraw_key(key_id))
            case "GET", ("status",):
                return _json(200, operators.status())
            case "GET", ("targets",):
                return _json(200, operators.targets())
            case "GET", ("jobs", job_id, "why"):
                return _json(200, self._router.why(ANY_TEAM, job_id))
            case "POST", ("drain",):
                return _json(200, operators.drain())
            case _:
                raise _not_found(request)


def _key(request: Request) -> KeyHash:
    try:
        return validate(_KEY_ADAPTER, request.json(), "key")
    except DocumentError as error:
        raise RefusalError("bad-request", str(error), status=400) from None


def _text(request: Request) -> str:
    try:
        return request.body.decode()
    except UnicodeDecodeError:
        raise RefusalError("bad-request", "the body is not UTF-8", status=400) from None


def _header(request: Request, name: str) -> str:
    value = request.headers.get(name, "")
    if len(value) > MAX_HEADER_CHARACTERS:
        raise RefusalError("bad-request", f"header {name} is too long", status=400)
    return value


def _not_found(request: Request) -> RefusalError:
    return RefusalError("not-found", f"no {request.method} /{'/'.join(request.path)}", status=404)


def _json(status: int, value: Any) -> Response:
    return Response(status, json.dumps(value).encode())


def _problem(refusal: RefusalError) -> Response:
    value: dict[str, Any] = {
        "type": f"urn:azurecleat:{refusal.code}",
        "title": refusal.code,
        "status": refusal.status,
        "detail": refusal.detail,
        "code": refusal.code,
        "ran": refusal.ran.value,
        "step": refusal.step,
        "peer": refusal.peer,
    }
    headers: tuple[tuple[str, str], ...] = ()
    if refusal.retry_after_s is not None:
        value["retry_after_s"] = refusal.retry_after_s
        headers = (("Retry-After", str(math.ceil(refusal.retry_after_s))),)
    return Response(refusal.status, json.dumps(value).encode(), PROBLEM_TYPE, headers)
