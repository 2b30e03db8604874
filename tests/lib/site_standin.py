"""A stand-in of the users' platform over HTTP: store, targets, machine list, advice.

It follows the published protocol as far as the tests need it, on loopback only.
"""

from __future__ import annotations

import base64
import json
import random
import struct
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from azurecleat_base import Resources
from azurecleat_base.exceptions import FencedError, LogUnavailableError, OffsetForgottenError
from azurecleat_cluster.ports import StartOrder, Writer
from azurecleat_cluster.values import Step, TargetEntry, TargetState, TaskId
from azurecleat_fakes import KeyedMemoryLog

from tests.lib.cluster_targets import Checker, Promise, SimTarget

Answer = tuple[int, bytes]


def to_answer(status: int, value: Any) -> Answer:
    return status, json.dumps(value).encode()


class Server:
    """An HTTP server on a free port of loopback."""

    def __init__(self, handle: Callable[[str, str, dict, bytes, Any], Answer]) -> None:
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def _serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                parts = urlsplit(self.path)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                status, answer = handle(self.command, parts.path, query, body, self.headers)
                self.send_response(status)
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                try:
                    self.wfile.write(answer)
                except OSError:
                    self.close_connection = True  # The caller has gone.

            do_GET = do_POST = _serve  # noqa: N815

            def log_message(self, *arguments: object) -> None:
                pass

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()


class Site:
    """The platform with a few targets of one pool.

    :param task_s: How long a task takes.
    """

    def __init__(self, targets: int = 3, task_s: float = 0.2) -> None:
        self.log = KeyedMemoryLog()
        self.checker = Checker()
        self.lock = threading.RLock()
        self.targets: dict[str, SimTarget] = {}
        self.ended: set[TaskId] = set()
        self._task_s = task_s
        self._servers = [Server(self._store), Server(self._machines), Server(self._advise)]
        self.store_address, self.cloud_address, self.advice_address = (
            server.address for server in self._servers
        )
        for number in range(targets):
            self._add_target(f"i-{number}", number)

    def close(self) -> None:
        for server in self._servers:
            server.close()

    def configure(self, version: int, keys: tuple[str, ...] = ("key",)) -> None:
        """Writes a configuration as an operator does."""
        route = {"name": "q", "host": "h.example", "path_prefix": "/jobs/", "type": "unsafe"}
        route |= {"timeout_ms": 3000, "slo_ms": 250, "priority": 0, "service": "pool"}
        route |= {"attempts": 3, "stretch": 1.5, "public": False}
        route["advice"] = {"decide_ms": 1.0, "period_ms": 0.1, "valid_ms": 2500}
        team = {"name": "team", "api_keys": list(keys), "weight": 10, "max_count": {"cpu": 64000}}
        value = {"version": version, "routes": [route], "tenants": [team], "limits": {}}
        value["services"] = [{"name": "pool", "admission_check": False}]
        self.log.append("keyed.op", [("config", json.dumps(value).encode())], 1.0)

    def settings(self, node: str, ports: list[int]) -> str:
        """Returns the settings file of a process."""
        front, ready, first = ports
        return f"""
node = "{node}"
zone = "z"
ip = "127.0.0.1"
port_range = [{first}, {first + 2}]
advice = "{self.advice_address}"
[listen]
front = "127.0.0.1:{front}"
readiness = "127.0.0.1:{ready}"
[limits]
cpu_share = 1.0
cores = 1
memory_mb = 300
[bounds]
max_hold_ms = 10000
config_ms = 2000
revoke_ms = 5000
status_s = 120
grace_s = 6
far_factor = 2
[platform]
address = "{self.store_address}"
[cloud]
address = "{self.cloud_address}"
"""

    def write_settings(self, folder: Path, node: str, ports: list[int]) -> Path:
        path = folder / f"{node}.toml"
        path.write_text(self.settings(node, ports), encoding="utf-8")
        return path

    def promise(self, job: str, body: dict[str, Any]) -> None:
        """Tells the checker what a job that is about to be submitted may do."""
        for number, step in enumerate(body["steps"]):
            spec = Step(
                count=step["count"],
                need=Resources(step["cpu"], step.get("mem_mb", 0), 0),
                depends_on=tuple(step.get("depends_on", ())),
            )
            self.checker.promises[job, number] = Promise(spec, "team", 3)

    def _add_target(self, name: str, number: int) -> None:
        server = Server(lambda *arguments: self._serve_target(name, *arguments))
        self._servers.append(server)
        entry = TargetEntry(
            name, "pool", server.address, "z", TargetState.READY, 1000, Resources(16000, 64000, 0)
        )
        rng = random.Random(number)
        self.targets[name] = SimTarget(
            entry, self.checker, rng, 1.0, self.ended, lambda task: self._task_s
        )
        value = {"service": "pool", "address": server.address, "zone": "z", "version": "v1"}
        value |= {"slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1000}
        value |= {"capacity": {"cpu": 16000, "mem_mb": 64000, "gpu": 0}, "labels": ["a", "r1"]}
        self.log.append("keyed.servers", [(name, json.dumps(value).encode())], 1.0)

    def _store(self, method: str, path: str, query: dict, body: bytes, headers: Any) -> Answer:
        topic = query.get("topic", "")
        try:
            match path:
                case "/log-append":
                    return self._append(topic, query, body)
                case "/log-read":
                    wait_s = int(query.get("wait_ms", 0)) / 1000.0
                    page = self.log.read(topic, int(query["from"]), wait_s)
                    frames = b"".join(frame(each.key, each.value) for each in page.records)
                    return 200, struct.pack(">QQ", page.end, 0) + frames
                case "/log-newest":
                    page = self.log.newest(topic)
                    items = [
                        {
                            "key": each.key,
                            "value": base64.b64encode(each.value).decode(),
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

    def _append(self, topic: str, query: dict, body: bytes) -> Answer:
        writer = None
        if "producer" in query:
            writer = Writer(query["producer"], int(query["epoch"]), int(query["seq"]))
        try:
            offset = self.log.append(topic, unframe(body), 1.0, writer)
        except FencedError:
            return to_answer(409, {"reason": "fenced"})
        return to_answer(200, {"offset": offset, "end": offset})

    def _machines(self, method: str, path: str, query: dict, body: bytes, headers: Any) -> Answer:
        rows = [
            {"machine": f"m-{name}", "state": "up", "id": name}
            for name, target in self.targets.items()
            if target.is_up
        ]
        return to_answer(200, {"machines": rows, "next_token": None})

    def _advise(self, method: str, path: str, query: dict, body: bytes, headers: Any) -> Answer:
        names = json.loads(body)["workers"]
        return to_answer(200, {"allowed": [[name, f"t-{name}"] for name in names]})

    def _serve_target(
        self, name: str, method: str, path: str, query: dict, body: bytes, headers: Any
    ) -> Answer:
        target, fields = self.targets[name], json.loads(body)
        if headers["X-Expect-Instance"] != name:
            return to_answer(421, {})
        try:
            match path:
                case "/hold":
                    return self._hold(target, fields)
                case "/run-start":
                    return self._start(target, fields)
                case "/run-stop":
                    with self.lock:
                        task = TaskId.parse(fields["task"])
                        target.stop(task, fields["run"], fields["fence"], time.monotonic())
                    return to_answer(200, {"clock_ms": target.clock_ms(time.monotonic())})
        except FencedError:
            return to_answer(409, {"reason": "fence", "clock_ms": 0})
        return to_answer(404, {})

    def _start(self, target: SimTarget, fields: dict[str, Any]) -> Answer:
        order = StartOrder(
            TaskId.parse(fields["task"]),
            fields["run"],
            fields["spec"],
            fields["until_ms"],
            fields["fence"],
        )
        if fields.get("ticket") != f"t-{target.id}":
            return to_answer(409, {"reason": "ticket", "clock_ms": 0})
        with self.lock:
            result = target.start(order, time.monotonic())
        status = 200 if result.started else 409
        return to_answer(status, {"clock_ms": result.clock_ms, "reason": result.reason})

    def _hold(self, target: SimTarget, fields: dict[str, Any]) -> Answer:
        deadline = time.monotonic() + fields.get("wait_ms", 0) / 1000.0
        while True:
            now = time.monotonic()
            with self.lock:
                report = target.hold(
                    fields["fence"], fields["last_seen"], fields.get("until_ms"), now
                )
            if report.ended or now >= deadline:
                break
            time.sleep(0.01)
        running = [[str(row.task), row.run, "", row.percent, 0] for row in report.running]
        ended = [[end.number, str(end.task), end.run, end.kind.value, ""] for end in report.ended]
        value = {"clock_ms": report.clock_ms, "born": report.born_ms}
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
