"""HTTP servers for the fakes, so that real instance processes can run against them."""

from __future__ import annotations

import base64
import json
import threading
import time
import zlib
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

from azurecleat_model import Resources, to_plain
from azurecleat_model.exceptions import (
    AppendUnknownError,
    FencedError,
    LogUnavailableError,
    NotRunError,
    OffsetForgottenError,
    OutcomeUnknownError,
)
from azurecleat_platform import (
    ControlRequest,
    StopMode,
    Target,
    TaskStart,
    TaskStop,
)

from azurecleat_fakes._internal.fake_target import FakeRunner, FakeWorker
from azurecleat_fakes._internal.faults import Faults
from azurecleat_fakes._internal.memory_log import MemoryLog

Answer = tuple[int, bytes]
Routes = dict[tuple[str, str], Callable[["_Call"], Answer]]


class _Call:
    """One HTTP request to a fake; a route sets ``etag`` to send an ``ETag`` header."""

    def __init__(self, path: str, body: bytes, headers: Any) -> None:
        parts = urlsplit(path)
        self.path = parts.path
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        self.body = body
        self.headers = headers
        self.etag = ""


class DropAnswerError(Exception):
    """Raised by a route to close the connection without a response."""


class FakeServer:
    """Serves routes on a loopback port in its own thread.

    :param routes: Handlers by method and path.
    :param fake: Object whose ``faults`` are applied to calls and replaced by ``POST /faults``.
    :param port: Port to listen on; 0 picks a free one.
    """

    def __init__(self, routes: Routes, fake: Any, port: int = 0) -> None:
        self._routes = routes
        self._fake = fake
        handler = type("Handler", (_Handler,), {"standin": self})
        self._server = _Server(("127.0.0.1", port), handler)
        self._thread = threading.Thread(
            target=self._server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True
        )

    @property
    def address(self) -> str:
        host, port = self._server.server_address[:2]
        return f"{host}:{port}"

    def start(self) -> FakeServer:
        """Starts serving and returns itself."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """Stops serving."""
        self._server.shutdown()
        self._server.server_close()

    def answer(self, method: str, call: _Call) -> Answer:
        """Returns the status and body of the response to one request.

        :raises DropAnswerError: The fake drops the response.
        """
        if (method, call.path) == ("POST", "/faults"):
            self._fake.faults = Faults(**json.loads(call.body))
            return 200, b"{}"
        if self._fake.faults.delay_s:
            time.sleep(self._fake.faults.delay_s)
        route = self._routes.get((method, call.path))
        if route is None:
            return 404, b"no such path"
        try:
            return route(call)
        except FencedError as error:
            return 409, _json({"epoch": error.epoch})
        except (NotRunError, LogUnavailableError) as error:
            return 503, str(error).encode()
        except OffsetForgottenError as error:
            return 410, str(error).encode()
        except (AppendUnknownError, OutcomeUnknownError) as error:
            raise DropAnswerError from error


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    # Buffers each response, so that its head and body are sent in one write.
    wbufsize = -1
    standin: FakeServer

    def do_GET(self) -> None:  # noqa: N802
        self._serve("GET")

    def do_POST(self) -> None:  # noqa: N802
        self._serve("POST")

    def log_message(self, format: str, *args: Any) -> None:
        pass

    def send_header(self, keyword: str, value: str) -> None:
        if keyword not in ("Server", "Date"):
            super().send_header(keyword, value)

    def _serve(self, method: str) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        try:
            call = _Call(self.path, body, self.headers)
            status, answer = self.standin.answer(method, call)
        except DropAnswerError:
            self.close_connection = True
            return
        self.send_response(status)
        self.send_header("Content-Length", str(len(answer)))
        if call.etag:
            self.send_header("ETag", call.etag)
        self.end_headers()
        self.wfile.write(answer)


def serve_log(log: MemoryLog) -> FakeServer:
    """Returns a server that exposes a log over HTTP."""

    def append(call: _Call) -> Answer:
        return 200, _json({"offset": log.append(call.body)})

    def read(call: _Call) -> Answer:
        result = log.read(int(call.query["offset"]), int(call.query["limit"]))
        entries = [[at, base64.b64encode(data).decode()] for at, data in result.entries]
        return 200, _json({"entries": entries, "tail": result.tail})

    def first(call: _Call) -> Answer:
        return 200, _json({"first": log.first_offset()})

    routes: Routes = {
        ("POST", "/append"): append,
        ("GET", "/read"): read,
        ("GET", "/first"): first,
    }
    return FakeServer(routes, log)


class MemoryInstanceList:
    """Fake of the platform's instance list."""

    def __init__(self, targets: list[Target]) -> None:
        self._targets = targets
        self.faults = Faults()

    def targets(self) -> list[Target]:
        """Returns the runners and workers that are currently listed."""
        if self.faults.down:
            raise LogUnavailableError("fake instance list is down", step="list.read")
        return list(self._targets)

    def set_targets(self, targets: list[Target]) -> None:
        """Replaces the list."""
        self._targets = targets


def serve_instance_list(instances: MemoryInstanceList) -> FakeServer:
    """Returns a server that exposes an instance list over HTTP."""

    def listed(call: _Call) -> Answer:
        body = _json({"targets": [to_plain(target) for target in instances.targets()]})
        call.etag = f'"{zlib.crc32(body):08x}"'
        return (304, b"") if call.headers.get("If-None-Match") == call.etag else (200, body)

    return FakeServer({("GET", "/instances"): listed}, instances)


def serve_worker(worker: FakeWorker, port: int = 0) -> FakeServer:
    """Returns a server that exposes a worker over HTTP."""
    return FakeServer({("POST", "/control"): _control_route(worker)}, worker, port)


def serve_runner(runner: FakeRunner, port: int = 0) -> FakeServer:
    """Returns a server that exposes a runner over HTTP."""

    def run(call: _Call) -> Answer:
        request_id = call.headers["X-Request-Id"]
        return 200, runner.run(request_id, int(call.headers["X-Epoch"]), call.body, 0)

    routes: Routes = {("POST", "/control"): _control_route(runner), ("POST", "/run"): run}
    return FakeServer(routes, runner, port)


def _control_route(target: Any) -> Callable[[_Call], Answer]:
    def control(call: _Call) -> Answer:
        reply = target.control(_parse_control_request(json.loads(call.body)))
        value: dict[str, Any] = {"version": reply.version}
        if reply.running is not None:
            value["running"] = [[task.task, list(task.used)] for task in reply.running]
        if reply.ended:
            value["ended"] = [list(ended) for ended in reply.ended]
        if reply.refused:
            value["refused"] = list(reply.refused)
        return 200, _json(value)

    return control


def _parse_control_request(value: dict[str, Any]) -> ControlRequest:
    starts = (
        TaskStart(s["task"], Resources(**s["size"]), s["run_s"], s["command"])
        for s in value.pop("start", ())
    )
    stops = (TaskStop(s["task"], StopMode(s["how"])) for s in value.pop("stop", ()))
    acknowledge = tuple(value.pop("acknowledge", ()))
    return ControlRequest(**value, start=tuple(starts), stop=tuple(stops), acknowledge=acknowledge)


def _json(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
