"""Stand-ins for the platform, its runners and its clients, used by the scripts of this review.

They follow PROTOCOL.md and DEPLOY.md as far as the scripts need it. Everything listens on the
loopback address. Only the standard library is used.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
QUEUE_HOST = "jobs.example"
SERVICE = "pool"

APPEND_S = 0.003
HEARTBEAT_S = 1.5
MAX_HOLD_S = 10.0
GANG_S = 3.0
STOP_S = 0.1
"""Time that a stop takes; at most stop_ms = 400."""
STARTUP_S = 0.2
"""Time from the start of a lasting task until it is at work."""
TICK_S = 0.01
LIMIT_S = 112.0
"""A script that takes longer ends with "could not run"."""

INSTANCES = 3


class CouldNotRunError(Exception):
    """The case could not be set up."""


# -- HTTP ---------------------------------------------------------------------------------------


def free_port(count: int = 1) -> int:
    """Returns the first of some free ports, below those that the system gives to connections."""
    while True:
        first = random.randrange(15_000, 30_000)
        probes = [socket.socket() for _ in range(count)]
        try:
            for number, probe in enumerate(probes):
                probe.bind((HOST, first + number))
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()


class Request:
    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        parts = urlsplit(target)
        self.method, self.path, self.headers, self.body = method, parts.path, headers, body
        self.query = {name: values[0] for name, values in parse_qs(parts.query).items()}

    def json(self) -> dict[str, Any]:
        return json.loads(self.body)


Reply = tuple[int, bytes]


def reply(status: int, value: Any) -> Reply:
    return status, json.dumps(value).encode()


class HttpServer:
    """Serves requests with a thread per connection; may be stopped and started again."""

    def __init__(self, handle: Callable[[Request], Reply | None]) -> None:
        self._handle = handle
        self._lock = threading.Lock()
        self._listener: socket.socket | None = None
        self._connections: set[socket.socket] = set()
        self._port = free_port()
        self.start()

    @property
    def address(self) -> str:
        return f"{HOST}:{self._port}"

    def start(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self._port))
        listener.listen(128)
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def stop(self) -> None:
        """Closes the listener and all connections, as when the process ends."""
        with self._lock:
            listener, self._listener = self._listener, None
            connections = list(self._connections)
        for each in ([listener] if listener else []) + connections:
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        if listener:
            listener.close()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            reader = connection.makefile("rb")
            while (request := self._read(reader)) is not None:
                answer = self._handle(request)
                if answer is None:
                    return
                status, body = answer
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
                head += "Content-Type: application/json\r\n\r\n"
                connection.sendall(head.encode() + body)
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()

    def _read(self, reader: Any) -> Request | None:
        line = reader.readline().split()
        if len(line) < 2:
            return None
        headers = {}
        while (row := reader.readline().strip()) != b"":
            name, _, value = row.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = reader.read(length)
        return Request(line[0].decode(), line[1].decode(), headers, body)


# -- the platform's store -----------------------------------------------------------------------


class _Topic:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.producers: dict[str, dict[str, Any]] = {}
        self.order = threading.Lock()
        """Held during an append: a partition processes its appends one at a time."""


class Store:
    """The log of the platform: topics of one partition each."""

    def __init__(self) -> None:
        self.is_down = False
        self.max_record_bytes, self.max_call_bytes = 262_144, 2_097_152
        self.refused: list[tuple[str, int]] = []
        self._topics: dict[str, _Topic] = {}
        self._changed = threading.Condition()
        self.server = HttpServer(self._handle)

    def topic(self, name: str) -> _Topic:
        with self._changed:
            return self._topics.setdefault(name, _Topic())

    def put(self, name: str, key: str, value: bytes | None) -> None:
        """A record that the operator or a runner writes."""
        self._append(self.topic(name), [bytes([len(key)]) + key.encode() + (value or b"")])

    def set_down(self, is_down: bool) -> None:
        with self._changed:
            self.is_down = is_down
            self._changed.notify_all()

    def _append(self, topic: _Topic, contents: list[bytes]) -> int:
        with topic.order:
            time.sleep(APPEND_S)
            with self._changed:
                first = len(topic.records)
                for content in contents:
                    key = content[1 : 1 + content[0]].decode()
                    value = content[1 + content[0] :]
                    if value:
                        topic.newest[key] = (value, len(topic.records))
                    else:
                        topic.newest.pop(key, None)
                    topic.records.append(content)
                self._changed.notify_all()
                return first

    def _handle(self, request: Request) -> Reply | None:
        if self.is_down:
            return reply(503, {})
        match request.path:
            case "/log-append":
                return self._serve_append(request)
            case "/log-read":
                return self._serve_read(request)
            case "/log-newest":
                return self._serve_newest(request)
        return reply(404, {})

    def _serve_append(self, request: Request) -> Reply:
        name, query = request.query["topic"], request.query
        if name in ("keyed.op", "keyed.servers"):
            return reply(403, {})
        contents, position = [], 0
        while position < len(request.body):
            (length,) = struct.unpack_from(">I", request.body, position)
            contents.append(request.body[position + 4 : position + 4 + length])
            position += 4 + length
        longest = max(map(len, contents), default=0)
        if longest > self.max_record_bytes or sum(map(len, contents)) > self.max_call_bytes:
            self.refused.append((name, longest))
            return reply(400, {})
        topic = self.topic(name)
        if "producer" not in query:
            offset = self._append(topic, contents)
            return reply(200, {"offset": offset, "end": offset + len(contents)})
        epoch, number = int(query["epoch"]), int(query["seq"])
        with self._changed:
            state = topic.producers.setdefault(
                query["producer"], {"epoch": -1, "seq": -1, "recent": {}}
            )
            if epoch < state["epoch"]:
                return reply(409, {"reason": "fenced"})
            if epoch > state["epoch"]:
                state.update(epoch=epoch, seq=number - 1, recent={})
            if number in state["recent"]:
                return reply(200, state["recent"][number])
            if number != state["seq"] + 1:
                return reply(409, {"reason": "seq", "seq": state["seq"] + 1})
        offset = self._append(topic, contents)
        answer = {"offset": offset, "end": offset + len(contents)}
        with self._changed:
            if state["epoch"] == epoch:
                state["seq"] = number
                state["recent"][number] = answer
                for old in sorted(state["recent"])[:-5]:
                    del state["recent"][old]
        return reply(200, answer)

    def _serve_read(self, request: Request) -> Reply:
        topic, start = self.topic(request.query["topic"]), int(request.query["from"])
        deadline = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000.0
        limit = int(request.query.get("max_kb", 1024)) * 1024
        with self._changed:
            while len(topic.records) <= start and not self.is_down:
                left_s = deadline - time.monotonic()
                if left_s <= 0:
                    break
                self._changed.wait(left_s)
            if self.is_down:
                return reply(503, {})
            frames, size = [], 0
            for content in topic.records[start:]:
                if frames and size + len(content) > limit:
                    break
                frames.append(struct.pack(">I", len(content)) + content)
                size += len(content) + 4
            return 200, struct.pack(">QQ", len(topic.records), 0) + b"".join(frames)

    def _serve_newest(self, request: Request) -> Reply:
        topic = self.topic(request.query["topic"])
        after = request.query.get("depends_on", "")
        with self._changed:
            rows, size, is_truncated = [], 0, False
            for key in sorted(topic.newest):
                value, offset = topic.newest[key]
                if key <= after and after:
                    continue
                if len(rows) == 500 or size + len(value) > 1_000_000 and rows:
                    is_truncated = True
                    break
                size += len(value)
                text = base64.b64encode(value).decode()
                rows.append({"key": key, "value": text, "offset": offset})
            end = len(topic.records)
        return reply(200, {"items": rows, "truncated": is_truncated, "end": end})


# -- runners ------------------------------------------------------------------------------------


class Run:
    def __init__(self, task: str, number: int, checkpoint: str, now: float) -> None:
        self.task, self.number, self.checkpoint = task, number, checkpoint
        self.started_at = now
        self.begun_at: float | None = now
        """When the run began to work; None for a gang that is not complete."""
        self.stop_at: float | None = None

    @property
    def job(self) -> str:
        return self.task.split(".")[0]

    @property
    def step(self) -> int:
        return int(self.task.split(".")[2])

    @property
    def group(self) -> tuple[str, int]:
        return self.task.rpartition(".")[0], self.number


class Runner:
    """One machine of the service. Guarded by the platform's lock."""

    def __init__(
        self, platform: Platform, number: int, cpu: int, labels: list[str], zone: str
    ) -> None:
        self.platform, self.number, self.cpu, self.zone = platform, number, cpu, zone
        self.id = f"i-{number:04x}{random.randrange(1 << 16):04x}"
        self.labels = labels
        self.is_up = True
        self.sequence = 0
        self._begin_life()
        self.server = HttpServer(self._handle)

    def _begin_life(self) -> None:
        self.born = int(time.time() * 1000)
        self.clock_at = time.monotonic() - random.uniform(1, 1000)
        self.runs: dict[str, Run] = {}
        self.ended: list[tuple[int, str, int, str, str]] = []
        self.next_end = 1
        self.fence = 0
        self.highest: dict[str, int] = {}
        """Highest run of each task that was stopped or has ended here."""
        self.until_ms = 0.0

    def crash(self) -> None:
        with self.platform.lock:
            self.is_up = False
            for run in self.runs.values():
                self.platform.note(f"run lost {run.task} run {run.number} on {self.id}")
            self.runs = {}
            self.platform.note(f"runner {self.id} crashed")
        self.server.stop()

    def restart(self, labels: list[str] | None = None) -> None:
        """A new life under the same id and at the same address."""
        with self.platform.lock:
            self._begin_life()
            self.labels = labels or self.labels
            self.is_up = True
            self.platform.note(f"runner {self.id} started again, labels {self.labels}")
        self.server.start()
        self.platform.register(self)

    def clock_ms(self) -> float:
        return int((time.monotonic() - self.clock_at) * 1000)

    def entry(self) -> bytes:
        self.sequence += 1
        value = {"service": SERVICE, "address": self.server.address, "zone": self.zone}
        value |= {"version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0}
        value |= {"seq": self.sequence, "born": self.born, "labels": self.labels}
        value["capacity"] = {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0}
        return json.dumps(value).encode()

    @property
    def used(self) -> int:
        return sum(self.platform.step_of(run)["cpu"] for run in self.runs.values())

    def end(self, run: Run, how: str) -> None:
        """Ends a run; the caller holds the platform's lock."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append((self.next_end, run.task, run.number, how, run.checkpoint))
        self.next_end += 1
        self.platform.note(f"run ended {run.task} run {run.number} on {self.id}: {how}")
        self.platform.on_end(self, run, how)

    def _handle(self, request: Request) -> Reply | None:
        if request.method == "GET":
            return reply(200 if self.is_up else 503, {})
        fields = request.json()
        if request.headers.get("x-expect-instance") != self.id:
            return reply(421, {})
        wait_until = time.monotonic() + fields.get("wait_ms", 0) / 1000.0
        with self.platform.changed:
            if not self.is_up:
                return None
            if fields.get("fence", 0) < self.fence:
                return reply(409, {"clock_ms": self.clock_ms(), "reason": "fence"})
            self.fence = fields.get("fence", 0)
            match request.path:
                case "/run-start":
                    return self._start(fields)
                case "/run-stop":
                    return self._stop(fields)
                case "/pace":
                    return reply(200, {"clock_ms": self.clock_ms()})
                case "/hold":
                    self.ended = [row for row in self.ended if row[0] > fields["last_seen"]]
                    if "until_ms" in fields:
                        self._renew(fields["until_ms"])
                    life = self.born
                    while not self.ended and time.monotonic() < wait_until:
                        self.platform.changed.wait(max(0.0, wait_until - time.monotonic()))
                        if not self.is_up or self.born != life:
                            return None
                    return reply(200, self._lists())
        return reply(404, {})

    def _renew(self, until_ms: float) -> None:
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + MAX_HOLD_S * 1000))

    def _start(self, fields: dict[str, Any]) -> Reply:
        task, number = fields["task"], fields["run"]
        clock_ms, platform = self.clock_ms(), self.platform
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return reply(200, {"clock_ms": clock_ms})
        if number <= self.highest.get(task, 0) or (known and known.number > number):
            self._renew(fields["until_ms"])
            return reply(409, {"clock_ms": clock_ms, "reason": "old"})
        if fields["until_ms"] <= clock_ms:
            return reply(409, {"clock_ms": clock_ms, "reason": "late"})
        self._renew(fields["until_ms"])
        run = Run(task, number, fields.get("checkpoint", ""), time.monotonic())
        self.runs[task] = run
        platform.note(f"run started {task} run {number} on {self.id} {self.labels}")
        platform.on_start(self, run)
        return reply(200, {"clock_ms": clock_ms})

    def _stop(self, fields: dict[str, Any]) -> Reply:
        run = self.runs.get(fields["task"])
        if run is not None and run.number == fields["run"]:
            run.stop_at = run.stop_at or time.monotonic() + STOP_S
        else:
            highest = self.highest.get(fields["task"], 0)
            self.highest[fields["task"]] = max(highest, fields["run"])
        return reply(200, {"clock_ms": self.clock_ms()})

    def _lists(self) -> dict[str, Any]:
        rows = []
        for run in self.runs.values():
            percent = self.platform.percent(run)
            load = 50 if self.platform.step_of(run).get("long_running") else 900
            rows.append([run.task, run.number, run.checkpoint, percent, load])
        value = {"clock_ms": self.clock_ms(), "born": self.born, "running": rows}
        return value | {"ended": [list(row) for row in self.ended[:500]]}

    def advance(self, now: float) -> None:
        if not self.is_up:
            return
        is_lapsed = self.until_ms < self.clock_ms()
        for run in list(self.runs.values()):
            if run.stop_at is not None and now >= run.stop_at:
                self.end(run, "stopped")
            elif is_lapsed:
                self.end(run, "lapsed")
            elif self.platform.is_done(run, now):
                self.end(run, "done")
            elif run.begun_at is None and now - run.started_at > GANG_S:
                self.end(run, "alone")


class Platform:
    """Store, runners and list of machines, and what the clients have submitted."""

    def __init__(self, note: Callable[[str], None]) -> None:
        self.note = note
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.store = Store()
        self.runners: list[Runner] = []
        self.steps: dict[str, list[dict[str, Any]]] = {}
        self.works_s: dict[tuple[str, int], float] = {}
        """Duration of the tasks of a step."""
        self.start_hooks: list[Callable[[Runner, Run], None]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.starts: list[tuple[float, str, int, str, list[str]]] = []
        self._cloud = HttpServer(self._machines)
        self._stopping = threading.Event()
        threading.Thread(target=self._tick, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    @property
    def cloud_address(self) -> str:
        return self._cloud.address

    def add_runner(self, cpu: int, labels: list[str], zone: str = "z1") -> Runner:
        runner = Runner(self, len(self.runners), cpu, labels, zone)
        with self.lock:
            self.runners.append(runner)
        self.register(runner)
        return runner

    def register(self, runner: Runner) -> bool:
        """Writes a runner's entry if the store is up; else the next heartbeat does."""
        if self.store.is_down or not runner.is_up:
            return False
        self.store.put("keyed.servers", runner.id, runner.entry())
        return True

    def configure(self, version: int, attempts: int = 3, tenants: Any = None, **more: Any) -> None:
        """Writes a configuration, as the operator does."""
        route = {"name": "q", "host": QUEUE_HOST, "path_prefix": "/q/", "service": SERVICE}
        route |= {"type": "unsafe", "timeout_ms": 3000, "slo_ms": 250, "priority": 0}
        route |= {"attempts": attempts, "stretch": 1.5, "public": False}
        tenants = tenants or [{"name": "t1", "api_keys": ["key1"], "weight": 10, "max_count": {}}]
        value = {"version": version, "routes": [route, *more.get("routes", [])]}
        value |= {"services": [{"name": SERVICE, "admission_check": False}]}
        value |= {"tenants": tenants, "limits": {}}
        self.store.put("keyed.op", "config", json.dumps(value).encode())
        self.note(f"operator configuration {version} acknowledged")

    def step_of(self, run: Run) -> dict[str, Any]:
        return self.steps[run.job][run.step]

    def percent(self, run: Run) -> int:
        if run.begun_at is None:
            return 0
        at_work_s = time.monotonic() - run.begun_at
        if self.step_of(run).get("long_running"):
            return 100 if at_work_s >= STARTUP_S else 0
        return min(99, int(100 * at_work_s / self.works_s[run.job, run.step]))

    def is_done(self, run: Run, now: float) -> bool:
        if run.begun_at is None or self.step_of(run).get("long_running"):
            return False
        return now - run.begun_at >= self.works_s[run.job, run.step]

    def runs_of(self, job: str) -> list[tuple[Runner, Run]]:
        with self.lock:
            return [
                (runner, run)
                for runner in self.runners
                for run in runner.runs.values()
                if run.job == job
            ]

    def on_start(self, runner: Runner, run: Run) -> None:
        self.starts.append((time.monotonic(), run.task, run.number, runner.id, runner.labels))
        step = self.step_of(run)
        if step.get("gang"):
            run.begun_at = None
            members = [each for _, each in self.runs_of(run.job) if each.group == run.group]
            if len(members) == step["count"]:
                for each in members:
                    each.begun_at = time.monotonic()
        for hook in self.start_hooks:
            hook(runner, run)

    def on_end(self, runner: Runner, run: Run, how: str) -> None:
        self.ends.append((time.monotonic(), run.task, run.number, runner.id, how))
        if self.step_of(run).get("gang"):
            for other, each in self.runs_of(run.job):
                if each.group == run.group:
                    other.end(each, "done" if how == "done" else "broken")
        self.changed.notify_all()

    def _tick(self) -> None:
        while not self._stopping.wait(TICK_S):
            with self.lock:
                for runner in self.runners:
                    runner.advance(time.monotonic())

    def _beat(self) -> None:
        while not self._stopping.wait(HEARTBEAT_S):
            for runner in list(self.runners):
                self.register(runner)

    def _machines(self, request: Request) -> Reply:
        with self.lock:
            rows = [
                {
                    "machine": f"m-{runner.number}",
                    "pool": SERVICE,
                    "state": "up" if runner.is_up else "down",
                    "zone": runner.zone,
                    "labels": runner.labels,
                    "capacity": {"cpu": runner.cpu, "mem_mb": 65536, "gpu": 0},
                    "id": runner.id if runner.is_up else "",
                }
                for runner in self.runners
            ]
        return reply(200, {"machines": rows, "next_token": ""})


# -- processes of the project -------------------------------------------------------------------


class Instance:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, case: Case, node: str, folder: Path) -> None:
        self._case, self.node = case, node
        self.front, self.ready = free_port(), free_port()
        peers = free_port(2)
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["instance"]
        settings = folder / f"{node}.toml"
        settings.write_text(self._settings(peers))
        self.log = folder / f"{node}.log"
        known = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self._environment = known | role.get("env", {})
        self._environment |= {
            "AZURECLEAT_SETTINGS": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self._command = role["run"].split()
        self.start()

    def start(self) -> None:
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=self._environment, stdout=output, stderr=output
            )
        self._case.note(f"instance {self.node} started")

    def _settings(self, peers: int) -> str:
        platform = self._case.platform
        return f"""
node = "{self.node}"
role = "instance"
machine_class = "edge"
serves = ["edge"]
ip = "{HOST}"
zone = "z1"
region = "r1"
port_range = [{peers}, {peers + 15}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
orders = "rpc"
[zones]
z1 = "r1"
[listen]
front = "{HOST}:{self.front}"
readiness = "{HOST}:{self.ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
drain_ms = 2000
config_ms = 2000
revoke_ms = 5000
max_hold_ms = {int(MAX_HOLD_S * 1000)}
stop_ms = 400
gang_ms = {int(GANG_S * 1000)}
cancel_ms = 3000
visible_ms = 3000
grace_s = 6
finish_s = 14
status_s = 120
far_factor = 2
[platform]
address = "{platform.store.server.address}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
append_ms = 3.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
[cloud]
address = "{platform.cloud_address}"
"""

    def is_ready(self) -> bool:
        try:
            connection = http.client.HTTPConnection(HOST, self.ready, timeout=1.0)
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def call(
        self, method: str, path: str, body: Any = None, key: str = "key1", timeout_s: float = 3.0
    ) -> tuple[int, dict[str, Any]]:
        """A client's call. Status 0 means that there was no answer."""
        headers = {"Host": QUEUE_HOST, "Api-Key": key, "X-Deadline-Ms": str(int(timeout_s * 1000))}
        try:
            connection = http.client.HTTPConnection(HOST, self.front, timeout=timeout_s)
            payload = None if body is None else json.dumps(body).encode()
            connection.request(method, path, payload, headers)
            response = connection.getresponse()
            status, answer = response.status, json.loads(response.read() or b"{}")
            connection.close()
        except (OSError, ValueError, http.client.HTTPException) as error:
            status, answer = 0, {"error": repr(error)}
        self._case.note(f"client {method} {path} at {self.node} key {key}: {status} {answer}")
        return status, answer

    def events(self, name: str) -> list[dict[str, Any]]:
        lines = self.log.read_text(errors="replace").splitlines()
        found = [json.loads(line) for line in lines if f'"{name}"' in line and line[0] == "{"]
        return [each for each in found if each.get("name") == name]

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


# -- a case -------------------------------------------------------------------------------------


class Case:
    """One case: its platform, its instances and its record."""

    def __init__(self, folder: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_at = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory(prefix="azurecleat-review-")
        self.platform = Platform(self.note)
        self.instances: list[Instance] = []
        self.violations: list[str] = []

    def note(self, text: str) -> None:
        with self._lock:
            self._record.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
            self._record.flush()

    def violate(self, text: str) -> None:
        self.violations.append(text)
        self.note(f"BROKEN {text}")

    def start_instances(self, count: int = INSTANCES) -> None:
        for number in range(count):
            folder = Path(self.temporary.name)
            self.instances.append(Instance(self, f"edge-z1-{number + 1}", folder))
        self.wait(lambda: all(each.is_ready() for each in self.instances), "instances ready", 20.0)
        self.wait(
            lambda: sum(len(each.events("owner.serving")) for each in self.instances) > 0,
            "an instance owns the jobs",
            10.0,
        )

    def wait(self, condition: Callable[[], bool], what: str, timeout_s: float) -> None:
        """Waits for something that must be so before the case can be judged."""
        if not self.comes(condition, timeout_s):
            raise CouldNotRunError(f"not in time: {what}")

    def comes(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if condition():
                return True
            time.sleep(0.05)
        return bool(condition())

    def submit(
        self, job: str, steps: list[dict[str, Any]], works_s: float = 1.0, at: int = 0
    ) -> None:
        """Submits a job, again while no answer says that it is stored."""
        self.platform.steps[job] = steps
        for number in range(len(steps)):
            self.platform.works_s[job, number] = works_s
        for attempt in range(5):
            instance = self.instances[(at + attempt) % len(self.instances)]
            status, _ = instance.call("POST", f"/q/{job}", {"spec": f"spec {job}", "steps": steps})
            if 200 <= status < 300:
                return
            time.sleep(0.3)
        raise CouldNotRunError(f"{job} was not accepted")

    def state(self, job: str, at: int = 0) -> str:
        status, answer = self.instances[at].call("GET", f"/q/{job}")
        return str(answer.get("state", "")) if status == 200 else str(status)

    def close(self) -> None:
        for each in self.instances:
            each.end()
        self._record.close()
        if os.environ.get("KEEP_LOGS"):
            for each in self.instances:
                target = Path(os.environ["KEEP_LOGS"]) / each.log.name
                target.write_bytes(each.log.read_bytes())
        self.temporary.cleanup()


def main(play: Callable[[Case], None], file: str) -> None:
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    case = Case(Path(file).resolve().parent)

    def give_up() -> None:
        case.note("the case took too long")
        for each in case.instances:
            each.end()
        os._exit(2)

    watchdog = threading.Timer(LIMIT_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    code = 2
    try:
        play(case)
        exited = [each.node for each in case.instances if each.process.poll() is not None]
        if exited:
            case.note(f"instances that ended: {exited}")
        code = 1 if case.violations else 0
    except CouldNotRunError as error:
        case.note(f"could not run: {error}")
        print(f"could not run: {error}", file=sys.stderr)
    finally:
        case.note(f"exit {code}")
        case.close()
    for text in case.violations[:5]:
        print(f"BROKEN {text}")
    sys.stdout.flush()
    os._exit(code)
