"""Fake of the users' platform over HTTP: store, targets, machine list and advice service.

It implements the published protocol as far as the tests need it, on the loopback interface only.
"""

from __future__ import annotations

import base64
import json
import random
import socket
import struct
import sys
import threading
import time
from collections.abc import Callable, Mapping
from functools import partial
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from azurecleat_base import Resources
from azurecleat_base.exceptions import (
    FencedError,
    LogUnavailableError,
    OffsetForgottenError,
    OutcomeUnknownError,
)
from azurecleat_cluster.ports import StartCommand, Writer
from azurecleat_cluster.values import Step, TargetEntry, TargetState, TaskId
from azurecleat_fakes import KeyedMemoryLog

from tests.lib.simulated_targets import ExecutionChecker, ExpectedStep, SimTarget

Answer = tuple[int, bytes]
"""Status and body. A status of 0 closes the connection without an answer."""

Handle = Callable[[str, str, dict, bytes, Any], Answer]
"""Answers a request, given as method, path, query, body and headers."""

LOST_RESPONSE_S = 3.0
"""How long a request whose answer is lost stays open; longer than any caller waits."""

CALL_LOSS_RATE = 0.5
"""Share of the calls that a target leaves unanswered while it loses calls."""

MAX_LATE_S = 2.0
"""Longest time after which a target executes a call that it leaves unanswered."""


def to_answer(status: int, value: Any) -> Answer:
    return status, json.dumps(value).encode()


def close_connection(*request: Any) -> Answer:
    """Answers a request by closing its connection."""
    return 0, b""


class _QuietServer(ThreadingHTTPServer):
    """Server that prints no error when a caller closes or resets its connection."""

    daemon_threads = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class Server:
    """An HTTP server on a free port of the loopback interface.

    :param handle: Answers requests.
    """

    def __init__(self, handle: Handle) -> None:
        self._handle = handle
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        add_connection, remove_connection = self._add_connection, self._remove_connection

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self) -> None:
                super().setup()
                self._handle = add_connection(self.connection)

            def finish(self) -> None:
                remove_connection(self.connection)
                super().finish()

            def _serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                if len(body) < length:
                    self.close_connection = True  # The caller closed the connection.
                    return
                parts = urlsplit(self.path)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                status, answer = self._handle(self.command, parts.path, query, body, self.headers)
                if not status:
                    self.close_connection = True
                    return
                try:
                    self.send_response(status)
                    self.send_header("Content-Length", str(len(answer)))
                    self.end_headers()
                    self.wfile.write(answer)
                except OSError:
                    self.close_connection = True  # The caller closed the connection.

            do_GET = do_POST = _serve  # noqa: N815

            def log_message(self, *arguments: object) -> None:
                pass

        self._server = _QuietServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def restart(self, handle: Handle) -> None:
        """Closes all connections, as the kernel does when the process of a server ends.

        :param handle: Answers the requests on later connections.
        """
        with self._lock:
            self._handle = handle
            for connection in self._connections:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # The caller has closed the connection.

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()

    def _add_connection(self, connection: socket.socket) -> Handle:
        """Adds a connection and returns what answers all requests on it."""
        with self._lock:
            self._connections.add(connection)
            return self._handle

    def _remove_connection(self, connection: socket.socket) -> None:
        with self._lock:
            self._connections.discard(connection)


class AddressRewriter:
    """Replaces addresses in the records that one instance exchanges with the store.

    :param shown: For each real address the one that the instance sees instead.
    """

    def __init__(self, shown: dict[str, str]) -> None:
        self.shown = shown

    def to_instance(self, value: bytes) -> bytes:
        for real, shown in list(self.shown.items()):
            value = value.replace(f'"{real}"'.encode(), f'"{shown}"'.encode())
        return value

    def from_instance(self, value: bytes | None) -> bytes | None:
        if value is None:
            return None
        for real, shown in list(self.shown.items()):
            value = value.replace(f'"{shown}"'.encode(), f'"{real}"'.encode())
        return value


DEADLY_SPEC = "deadly"
"""Spec of a job whose first task crashes each target that starts it."""

CRASH_DELAY_S = 0.01


class FakePlatform:
    """The platform with a few targets of one pool.

    :param task_s: Duration of tasks in seconds, or a function that returns it for a task.
    """

    def __init__(self, targets: int = 3, task_s: float | Callable[[TaskId], float] = 0.2) -> None:
        self.log = KeyedMemoryLog()
        self.checker = ExecutionChecker()
        self.lock = threading.RLock()
        self.targets: dict[str, SimTarget] = {}
        self.completed_tasks: set[TaskId] = set()
        self._duration = task_s if callable(task_s) else lambda task: task_s
        self._slots: list[SimTarget] = []
        self._target_servers: list[Server] = []
        self._incarnations = 0
        self._unannounced: list[tuple[str, bytes | None]] = []
        self.lose_answers = 0
        """Number of the next appends by instances that take effect but get no answer."""
        self._deadly_tasks: set[TaskId] = set()
        self._due_crashes: list[tuple[float, SimTarget]] = []
        """Targets that started a deadly task, and when they crash."""
        self._losses: dict[str, random.Random] = {}
        """Draws the lost calls, by the address of a target that leaves calls unanswered."""
        self._servers = [Server(self._serve_store), Server(self._machines), Server(self._advise)]
        self.store_address, self.cloud_address, self.advice_address = (
            server.address for server in self._servers
        )
        for _ in range(targets):
            self.add_target()

    def close(self) -> None:
        for server in self._servers:
            server.close()

    def configure(self, version: int, keys: tuple[str, ...] = ("key",)) -> None:
        """Appends a configuration to the store, as an operator does."""
        route = {"name": "q", "host": "h.example", "path_prefix": "/jobs/", "type": "unsafe"}
        route |= {"timeout_ms": 3000, "slo_ms": 250, "priority": 0, "service": "pool"}
        route |= {"attempts": 3, "stretch": 1.5, "public": False}
        route["advice"] = {"decide_ms": 1.0, "period_ms": 0.1, "valid_ms": 2500}
        team = {"name": "team", "api_keys": list(keys), "weight": 10, "max_count": {"cpu": 64000}}
        value = {"version": version, "routes": [route], "tenants": [team], "limits": {}}
        value["services"] = [{"name": "pool", "admission_check": False}]
        self.log.append("keyed.op", [("config", json.dumps(value).encode())], 1.0)

    def settings(
        self, node: str, ports: list[int], addresses: Mapping[str, str] | None = None
    ) -> str:
        """Returns the text of the settings file of a process.

        :param ports: Ports for callers, for readiness and the first of two for other instances.
        :param addresses: Replace the addresses of the store, the machine list and the adviser,
            under the keys ``store``, ``machines`` and ``advice``.
        """
        front, ready, first = ports
        shown = {
            "store": self.store_address,
            "machines": self.cloud_address,
            "advice": self.advice_address,
            **(addresses or {}),
        }
        return f"""
node = "{node}"
zone = "z"
ip = "127.0.0.1"
port_range = [{first}, {first + 2}]
advice = "{shown["advice"]}"
[listen]
front = "127.0.0.1:{front}"
readiness = "127.0.0.1:{ready}"
[limits]
cpu_share = 1.0
cores = 1
memory_mb = 300
[fault_tolerance]
machines = 2
[bounds]
max_hold_ms = 10000
config_ms = 2000
revoke_ms = 5000
status_s = 120
grace_s = 6
far_factor = 2
[platform]
address = "{shown["store"]}"
[cloud]
address = "{shown["machines"]}"
"""

    def write_settings(
        self,
        folder: Path,
        node: str,
        ports: list[int],
        addresses: Mapping[str, str] | None = None,
    ) -> Path:
        path = folder / f"{node}.toml"
        path.write_text(self.settings(node, ports, addresses), encoding="utf-8")
        return path

    def expect_job(self, job: str, body: dict[str, Any]) -> None:
        """Registers a job with the checker before the job is submitted."""
        if body.get("spec") == DEADLY_SPEC:
            self._deadly_tasks.add(TaskId(job, 0, 0, 0))
        for number, step in enumerate(body["steps"]):
            spec = Step(
                count=step["count"],
                need=Resources(step["cpu"], step.get("mem_mb", 0), 0),
                depends_on=tuple(step.get("depends_on", ())),
            )
            self.checker.expected_steps[job, number] = ExpectedStep(spec, "team", 3)

    def add_target(self) -> str:
        """Starts and announces a further target; returns its id."""
        server = Server(close_connection)
        with self.lock:
            name = f"i-{len(self._slots)}"
            self._servers.append(server)
            self._target_servers.append(server)
            self._slots.append(self._make_target(name, server))
        return name

    def replace_target(self, number: int, keeps_id: bool = False) -> None:
        """Crashes a target and starts another incarnation at its address."""
        with self.lock:
            old = self._slots[number]
            old.crash()
            name = old.id if keeps_id else f"i-{number}-{self._incarnations}"
            if not keeps_id:
                del self.targets[old.id]
                self._announce(old.id, None)
            self._slots[number] = self._make_target(name, self._target_servers[number])

    def lose_calls(self, number: int, rng: random.Random) -> None:
        """Lets a target leave some calls unanswered, and execute these at once or late."""
        self._losses[self._slots[number].entry.address] = rng

    def answer_calls(self, number: int) -> None:
        """Lets a target answer all calls again."""
        self._losses.pop(self._slots[number].entry.address, None)

    def advance(self) -> None:
        """Ends runs that are over, and announces targets once the store is back."""
        with self.lock:
            self._crash_due_targets()
            for target in self._slots:
                target.advance(time.monotonic())
            if self._unannounced and not self.log.down:
                self._announce(*self._unannounced.pop())

    def _on_started(self, target: SimTarget, task: TaskId) -> None:
        if task in self._deadly_tasks:
            now = time.monotonic()
            self.checker.on_deadly_start(target, task, now)
            self._due_crashes.append((now + CRASH_DELAY_S, target))

    def _crash_due_targets(self) -> None:
        now = time.monotonic()
        due = [target for at, target in self._due_crashes if at <= now]
        self._due_crashes = [each for each in self._due_crashes if each[0] > now]
        for target in due:
            if target in self._slots:
                self.replace_target(self._slots.index(target))

    def add_store_server(self, rewriter: AddressRewriter) -> str:
        """Starts a server of the store that rewrites addresses for one instance.

        :returns: The address of the server.
        """
        server = Server(partial(self._store, rewriter))
        self._servers.append(server)
        return server.address

    @property
    def target_addresses(self) -> list[str]:
        return [target.entry.address for target in self._slots]

    def _make_target(self, name: str, server: Server) -> SimTarget:
        self._incarnations += 1
        address = server.address
        born = 1000 + self._incarnations
        entry = TargetEntry(
            name, "pool", address, "z", TargetState.READY, born, Resources(16000, 64000, 0)
        )
        rng = random.Random(self._incarnations)
        target = SimTarget(entry, self.checker, rng, 1.0, self.completed_tasks, self._duration)
        target.on_started = partial(self._on_started, target)
        self.targets[name] = target
        server.restart(partial(self._serve_target, target))
        value = {"service": "pool", "address": address, "zone": "z", "version": "v1"}
        value |= {"slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": born}
        value |= {"capacity": {"cpu": 16000, "mem_mb": 64000, "gpu": 0}, "labels": ["a", "r1"]}
        self._announce(name, json.dumps(value).encode())
        return target

    def _announce(self, name: str, value: bytes | None) -> None:
        """Writes or deletes a target's entry in the store, as soon as the store is up."""
        self._unannounced.append((name, value))
        if not self.log.down:
            self.log.append("keyed.servers", self._unannounced, 1.0)
            self._unannounced = []

    def _serve_store(self, *request: Any) -> Answer:
        return self._store(AddressRewriter({}), *request)

    def _store(
        self,
        rewriter: AddressRewriter,
        method: str,
        path: str,
        query: dict,
        body: bytes,
        headers: Any,
    ) -> Answer:
        topic = query.get("topic", "")
        try:
            match path:
                case "/log-append":
                    return self._append(rewriter, topic, query, body)
                case "/log-read":
                    wait_s = int(query.get("wait_ms", 0)) / 1000.0
                    page = self.log.read(topic, int(query["from"]), wait_s)
                    frames = b"".join(
                        frame(each.key, each.value and rewriter.to_instance(each.value))
                        for each in page.records
                    )
                    return 200, struct.pack(">QQ", page.end, 0) + frames
                case "/log-newest":
                    page = self.log.newest(topic)
                    items = [
                        {
                            "key": each.key,
                            "value": base64.b64encode(rewriter.to_instance(each.value)).decode(),
                            "offset": each.offset,
                        }
                        for each in page.records
                    ]
                    return to_answer(200, {"items": items, "truncated": False, "end": page.end})
        except LogUnavailableError:
            return to_answer(503, {})
        except OffsetForgottenError:
            return to_answer(410, {"first": 0})
        return to_answer(404, {})

    def _append(self, rewriter: AddressRewriter, topic: str, query: dict, body: bytes) -> Answer:
        writer = None
        if "producer" in query:
            writer = Writer(query["producer"], int(query["epoch"]), int(query["seq"]))
        try:
            records = [(key, rewriter.from_instance(value)) for key, value in unframe(body)]
            offset = self.log.append(topic, records, 1.0, writer)
        except FencedError:
            return to_answer(409, {"reason": "fenced"})
        if self.lose_answers > 0:
            self.lose_answers -= 1
            time.sleep(LOST_RESPONSE_S)
            return 0, b""
        return to_answer(200, {"offset": offset, "end": offset})

    def _machines(self, method: str, path: str, query: dict, body: bytes, headers: Any) -> Answer:
        with self.lock:
            rows = [
                {"machine": f"m-{number}", "state": "up", "id": target.id}
                for number, target in enumerate(self._slots)
            ]
        return to_answer(200, {"machines": rows, "next_token": None})

    def _advise(self, method: str, path: str, query: dict, body: bytes, headers: Any) -> Answer:
        names = json.loads(body)["workers"]
        return to_answer(200, {"allowed": [[name, f"t-{name}"] for name in names]})

    def _serve_target(
        self, target: SimTarget, method: str, path: str, query: dict, body: bytes, headers: Any
    ) -> Answer:
        rng = self._losses.get(target.entry.address)
        if rng is None or rng.random() >= CALL_LOSS_RATE:
            return self._execute(target, path, body, headers)
        time.sleep(rng.choice((0.0, rng.uniform(0.0, MAX_LATE_S))))
        self._execute(target, path, body, headers)
        time.sleep(LOST_RESPONSE_S)
        return 0, b""

    def _execute(self, target: SimTarget, path: str, body: bytes, headers: Any) -> Answer:
        fields = json.loads(body)
        if headers["X-Expect-Instance"] != target.id:
            return to_answer(421, {})
        try:
            match path:
                case "/hold":
                    return self._poll(target, fields)
                case "/run-start":
                    return self._start(target, fields)
                case "/run-stop":
                    with self.lock:
                        task = TaskId.parse(fields["task"])
                        target.stop(task, fields["run"], fields["fence"], time.monotonic())
                    return to_answer(200, {"clock_ms": target.clock_ms(time.monotonic())})
        except FencedError:
            return to_answer(409, {"reason": "fence", "clock_ms": 0})
        except OutcomeUnknownError:
            return 0, b""  # The target crashed in the meantime.
        return to_answer(404, {})

    def _start(self, target: SimTarget, fields: dict[str, Any]) -> Answer:
        command = StartCommand(
            TaskId.parse(fields["task"]),
            fields["run"],
            fields["spec"],
            fields["until_ms"],
            fields["fence"],
        )
        if fields.get("ticket") != f"t-{target.id}":
            return to_answer(409, {"reason": "ticket", "clock_ms": 0})
        with self.lock:
            result = target.start(command, time.monotonic())
        status = 200 if result.started else 409
        return to_answer(status, {"clock_ms": result.clock_ms, "reason": result.reason})

    def _poll(self, target: SimTarget, fields: dict[str, Any]) -> Answer:
        deadline = time.monotonic() + fields.get("wait_ms", 0) / 1000.0
        while True:
            now = time.monotonic()
            with self.lock:
                report = target.poll(
                    fields["fence"], fields["last_seen"], fields.get("until_ms"), now
                )
            if report.ended or now >= deadline:
                break
            time.sleep(0.01)
        running = [[str(row.task), row.run, "", row.percent, 0] for row in report.running]
        ended = [[end.number, str(end.task), end.run, end.kind.value, ""] for end in report.ended]
        value = {"clock_ms": report.clock_ms, "born": report.started_at_ms}
        return to_answer(200, value | {"running": running, "ended": ended})


def frame(key: str, value: bytes | None) -> bytes:
    name = key.encode()
    content = bytes([len(name)]) + name + (value or b"")
    return struct.pack(">I", len(content)) + content


def unframe(body: bytes) -> list[tuple[str, bytes | None]]:
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + length]
        size = content[0]
        records.append((content[1 : 1 + size].decode(), content[1 + size :] or None))
        position += 4 + length
    return records
