"""Stand-ins of the users' platform for the scripts in ``review/6`` to ``review/10``.

One asyncio process plays the platform's store, the runners, the advice service, the list of
machines, the operator and the clients, as the users' pages describe them. The instances are real
processes, started with the command of the deploy file. Each instance reaches everything else
through links of its own, which a script can cut. Everything listens on 127.0.0.1.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
APPEND_S = 0.004
HEARTBEAT_S = 1.5
STOP_S = 0.1
MAX_HOLD_MS = 10_000
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
KEY = "key-of-the-tenant"

Handler = Callable[[str, str, dict, dict, bytes], Awaitable[tuple[int, bytes] | None]]


_ports: set[int] = set()


def free_port() -> int:
    """Returns a free port below the range that the system assigns by itself, each one once."""
    while True:
        port = 15_000 + int.from_bytes(os.urandom(2)) % 15_000
        if port in _ports:
            continue
        _ports.update((port, port + 1))
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                continue


def free_pair() -> int:
    """Returns the first of two consecutive free ports."""
    while True:
        port = free_port()
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port + 1))
                return port
            except OSError:
                continue


def to_json(status: int, value: Any) -> tuple[int, bytes]:
    return status, json.dumps(value).encode()


class HttpServer:
    """HTTP/1.1 server with persistent connections; a handler that returns None closes them."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> HttpServer:
        server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 22)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        return self

    def drop_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in head[1:] if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                answer = await self._handler(method, parts.path, query, headers, body)
                if answer is None:
                    return
                status, payload = answer
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Link:
    """A path from one instance to one address. While it is cut, no byte passes either way.

    Bytes that a cut holds back pass when it is healed, as TCP sends them again.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self.address = ""

    async def start(self) -> Link:
        server = await asyncio.start_server(self._connect, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        return self

    def cut(self) -> None:
        self._open.clear()

    def heal(self) -> None:
        self._open.set()

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._open.wait()
        host, _, port = self._target.partition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._forward(reader, far_writer), self._forward(far_reader, writer)
        )

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while chunk := await reader.read(1 << 16):
                await self._open.wait()
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        await self._open.wait()
        writer.close()


class Record:
    """What was sent, answered and run, with seconds since the start; written to a file."""

    def __init__(self, lines: list[str]) -> None:
        self._start = time.monotonic()
        self.lines = lines

    def now(self) -> float:
        return time.monotonic() - self._start

    def note(self, text: str) -> None:
        line = f"{self.now():8.3f}  {text}"
        self.lines.append(line)
        print(line, flush=True)


class Signal:
    """Wakes all tasks that wait for a change."""

    def __init__(self) -> None:
        self._waiters: set[asyncio.Future] = set()

    def notify(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait_until(self, condition: Callable[[], Any], timeout_s: float) -> None:
        """Waits until a condition holds after a change, or for ``timeout_s``."""
        deadline = time.monotonic() + timeout_s
        while not condition() and (left_s := deadline - time.monotonic()) > 0:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.add(waiter)
            await asyncio.wait({waiter}, timeout=left_s)
            self._waiters.discard(waiter)


class Topic:
    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, tuple[int, int, dict[int, bytes]]] = {}
        self.lock = asyncio.Lock()
        self.changed = Signal()


class Store:
    """The platform's store: a log with keyed topics of one partition each."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}

    def topic(self, name: str) -> Topic:
        return self._topics.setdefault(name, Topic())

    async def put(self, topic: str, key: str, value: bytes) -> None:
        await self._append(self.topic(topic), [(key, value)])

    async def _append(self, topic: Topic, records: list[tuple[str, bytes]]) -> int:
        offset = len(topic.records)
        for key, value in records:
            topic.newest.pop(key, None)
            if value:
                topic.newest[key] = (len(topic.records), value)
            topic.records.append((key, value))
        topic.changed.notify()
        return offset

    def serve(self, shown: dict[str, str]) -> Handler:
        """Returns the handler for one instance.

        :param shown: For each real address the one of the instance's link to it.
        """

        def to_instance(value: bytes) -> bytes:
            for real, link in shown.items():
                value = value.replace(f'"{real}"'.encode(), f'"{link}"'.encode())
            return value

        def from_instance(value: bytes) -> bytes:
            for real, link in shown.items():
                value = value.replace(f'"{link}"'.encode(), f'"{real}"'.encode())
            return value

        async def handle(method, path, query, headers, body):  # noqa: ANN001, ANN202
            topic = self.topic(query.get("topic", ""))
            if path == "/log-append":
                return await self._serve_append(topic, query, body, from_instance)
            if path == "/log-read":
                start, wait_s = int(query["from"]), int(query.get("wait_ms", 0)) / 1000.0
                await topic.changed.wait_until(lambda: len(topic.records) > start, wait_s)
                page = struct.pack(">QQ", len(topic.records), 0)
                for key, value in topic.records[start : start + 2000]:
                    content = bytes([len(key.encode())]) + key.encode() + to_instance(value)
                    page += struct.pack(">I", len(content)) + content
                return 200, page
            if path == "/log-newest":
                after = query.get("depends_on", "")
                rows = sorted((key, row) for key, row in topic.newest.items() if key > after)
                items = [
                    {
                        "key": key,
                        "value": base64.b64encode(to_instance(value)).decode(),
                        "offset": offset,
                    }
                    for key, (offset, value) in rows[:500]
                ]
                is_cut = len(rows) > 500
                return to_json(
                    200, {"items": items, "truncated": is_cut, "end": len(topic.records)}
                )
            return to_json(404, {})

        return handle

    async def _serve_append(
        self, topic: Topic, query: dict, body: bytes, decode: Callable[[bytes], bytes]
    ) -> tuple[int, bytes]:
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            size = content[0]
            records.append((content[1 : 1 + size].decode(), decode(content[1 + size :])))
            position += 4 + length
        if any(len(value) > RECORD_BYTES for _, value in records) or len(body) > CALL_BYTES:
            return to_json(400, {})
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            if "producer" not in query:
                offset = await self._append(topic, records)
                return to_json(200, {"offset": offset, "end": len(topic.records)})
            name, epoch, seq = query["producer"], int(query["epoch"]), int(query["seq"])
            known, last, answers = topic.producers.get(name, (-1, 0, {}))
            if epoch < known:
                return to_json(409, {"reason": "fenced"})
            if epoch > known:
                answers = {}
            elif seq in answers:
                return 200, answers[seq]
            elif seq != last + 1:
                return to_json(409, {"reason": "seq", "expected": last + 1})
            offset = await self._append(topic, records)
            answer = json.dumps({"offset": offset, "end": len(topic.records)}).encode()
            answers[seq] = answer
            for old in [each for each in answers if each <= seq - 5]:
                del answers[old]
            topic.producers[name] = (epoch, seq, answers)
            return 200, answer


class RunnerRun:
    """One run on a runner. ``began`` and ``ended`` are seconds since the start of the script."""

    def __init__(self, task: str, run: int, runner: str, began: float, fence: int) -> None:
        self.task, self.run, self.runner = task, run, runner
        self.began, self.ended, self.how = began, None, ""
        self.fence = fence
        self.stopping = False

    def __str__(self) -> str:
        end = "still running" if self.ended is None else f"{self.ended:.3f} s {self.how}"
        return (
            f"{self.task} run {self.run} on {self.runner} (fence {self.fence}):"
            f" {self.began:.3f} s to {end}"
        )


class Runner:
    """A runner: one life of a machine. :meth:`crash` ends it, :meth:`restart` begins another."""

    def __init__(
        self, platform: Platform, number: int, pool: str, zone: str, cpu: int, labels: list[str]
    ) -> None:
        self._platform = platform
        self.number, self._pool, self.zone = number, pool, zone
        self._cpu, self._labels = cpu, labels
        self._life = 0
        self.is_up = False
        self.server = HttpServer(self._serve)
        self._changed = Signal()

    async def start(self) -> None:
        if not self.server.address:
            await self.server.start()
        self._life += 1
        self.id = f"i-{self.number}-{self._life}"
        self.born = int(time.time() * 1000)
        self._clock_start = time.monotonic()
        self._fence = 0
        self._lease_ms = 0.0
        self._ended: list[list] = []
        self._next_end = 1
        self._finished: dict[str, int] = {}
        self.runs: dict[tuple[str, int], RunnerRun] = {}
        self._seq = 0
        self.is_up = True
        self._platform.record.note(f"runner {self.id} is up")
        await self._announce()
        asyncio.create_task(self._heartbeat(self._life))
        asyncio.create_task(self._expire(self._life))

    async def crash(self) -> None:
        """Ends the runner and all that it runs; its entry goes after three heartbeats."""
        self.is_up = False
        self._platform.record.note(f"runner {self.id} crashes with {len(self.runs)} runs")
        for run in self.runs.values():
            run.ended, run.how = self._platform.record.now(), "lost with the runner"
        self.runs = {}
        self.server.drop_connections()
        gone = self.id

        async def remove() -> None:
            await asyncio.sleep(3 * HEARTBEAT_S)
            await self._platform.store.put("keyed.servers", gone, b"")

        asyncio.create_task(remove())

    def clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_start) * 1000) + 1000

    async def _announce(self) -> None:
        self._seq += 1
        entry = {"service": self._pool, "address": self.server.address, "zone": self.zone}
        entry |= {"version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0}
        entry |= {"capacity": {"cpu": self._cpu, "mem_mb": 64_000, "gpu": 0}}
        entry |= {"labels": self._labels, "seq": self._seq, "born": self.born}
        await self._platform.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def _heartbeat(self, life: int) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_up or life != self._life:
                return
            await self._announce()

    async def _expire(self, life: int) -> None:
        while self.is_up and life == self._life:
            if self.runs and self.clock_ms() > self._lease_ms:
                for run in list(self.runs.values()):
                    await self._end(run, "lapsed")
            await asyncio.sleep(0.01)

    async def _end(self, run: RunnerRun, how: str) -> None:
        if self.runs.pop((run.task, run.run), None) is None:
            return
        run.ended, run.how = self._platform.record.now(), how
        self._platform.record.note(f"ended: {run}")
        self._finished[run.task] = max(run.run, self._finished.get(run.task, 0))
        saved = "" if how == "done" else self._platform.saved(run)
        self._ended.append([self._next_end, run.task, run.run, how, saved])
        self._next_end += 1
        self._changed.notify()

    async def fail_gang(self, run: RunnerRun) -> None:
        """Ends a member of a gang as failed, and the others here as broken."""
        step = run.task.rpartition(".")[0]
        others = [each for each in self.runs.values() if each.task.rpartition(".")[0] == step]
        await self._end(run, "failed")
        for other in others:
            if other is not run and other.run == run.run:
                await self._end(other, "broken")

    async def _finish(self, run: RunnerRun, after_s: float, life: int) -> None:
        await asyncio.sleep(after_s)
        if life == self._life and not run.stopping:
            await self._end(run, "done")

    async def _stop(self, run: RunnerRun) -> None:
        run.stopping = True
        await asyncio.sleep(STOP_S)
        await self._end(run, "stopped")

    def _hold_until(self, fields: dict) -> None:
        if "until_ms" in fields:
            until = min(fields["until_ms"], self.clock_ms() + MAX_HOLD_MS)
            self._lease_ms = max(self._lease_ms, until)

    async def _serve(self, method, path, query, headers, body):  # noqa: ANN001, ANN202
        if not self.is_up:
            return None
        if path == "/health":
            return to_json(200, {})
        if headers.get("x-expect-instance", self.id) != self.id:
            return to_json(421, {})
        fields = json.loads(body)
        fence = fields.get("fence", 0)
        if fence < self._fence:
            return self._answer(409, reason="fence")
        self._fence = fence
        match path:
            case "/run-start":
                return self._start_run(fields)
            case "/run-stop":
                run = self.runs.get((fields["task"], fields["run"]))
                known = self._finished.get(fields["task"], 0)
                self._finished[fields["task"]] = max(fields["run"], known)
                if run is not None and not run.stopping:
                    asyncio.create_task(self._stop(run))
                return self._answer(200)
            case "/hold":
                return await self._hold(fields)
            case "/pace":
                return self._answer(200)
        return to_json(404, {})

    def _start_run(self, fields: dict) -> tuple[int, bytes]:
        task, number = fields["task"], fields["run"]
        if (task, number) in self.runs:
            self._hold_until(fields)
            return self._answer(200)
        if number <= self._finished.get(task, 0):
            self._hold_until(fields)
            return self._answer(409, reason="old")
        if fields["until_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        if self._platform.advised and not self._platform.is_ticket(fields.get("ticket"), task, self):
            return self._answer(409, reason="ticket")
        self._hold_until(fields)
        run = RunnerRun(task, number, self.id, self._platform.record.now(), fields["fence"])
        self.runs[task, number] = run
        self._platform.runs.append(run)
        self._platform.record.note(f"started: {run.task} run {run.run} on {run.runner}")
        duration_s = self._platform.duration_s(task)
        if duration_s is not None:
            asyncio.create_task(self._finish(run, duration_s, self._life))
        return self._answer(200)

    async def _hold(self, fields: dict) -> tuple[int, bytes]:
        self._hold_until(fields)
        self._ended = [each for each in self._ended if each[0] > fields["last_seen"]]
        if not self._ended and fields.get("wait_ms"):
            await self._changed.wait_until(lambda: self._ended, fields["wait_ms"] / 1000.0)
        now = self._platform.record.now()
        running = []
        for run in self.runs.values():
            duration_s = self._platform.duration_s(run.task)
            at_work_s = now - run.began
            percent = 100 if duration_s is None else int(100 * min(0.99, at_work_s / duration_s))
            running.append([run.task, run.run, self._platform.saved(run), percent, 0])
        return self._answer(200, running=running, ended=self._ended[:500])

    def _answer(self, status: int, **fields: Any) -> tuple[int, bytes]:
        return to_json(status, {"clock_ms": self.clock_ms(), "born": self.born, **fields})


class Instance:
    """A process of the deploy file's role, with its links."""

    def __init__(self, platform: Platform, number: int, zone: str) -> None:
        self._platform = platform
        self.number, self.zone = number, zone
        self.node = f"edge-{zone}-{number}"
        self.front, self.ready = free_port(), free_port()
        self.peer_port = free_pair()
        self.links: dict[str, Link] = {}
        self.shown: dict[str, str] = {}
        self.process: subprocess.Popen | None = None
        self.starts = 0

    @property
    def peer_address(self) -> str:
        return f"{HOST}:{self.peer_port}"

    async def add_link(self, name: str, target: str, is_in_records: bool) -> None:
        self.links[name] = link = await Link(target).start()
        if is_in_records:
            self.shown[target] = link.address

    def start(self, path: str | None = None) -> None:
        """Starts the process.

        :param path: Replaces the variable PATH, and so decides which ``python3`` runs.
        """
        platform = self._platform
        settings = platform.folder / f"{self.node}.toml"
        settings.write_text(platform.settings(self), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["instance"]
        command, *arguments = role["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        if path is not None:
            kept["PATH"] = path
        env = {**kept, "PYTHONPATH": str(ROOT / "target/deps"), **role.get("env", {})}
        self.starts += 1
        self._log = platform.folder / f"{self.node}-{self.starts}.log"
        with self._log.open("wb") as output:
            self.process = subprocess.Popen(
                [shutil.which(command, path=kept["PATH"]) or command, *arguments],
                cwd=ROOT,
                env=env | {"AZURECLEAT_SETTINGS": str(settings)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        platform.record.note(f"{self.node} is started")

    def events(self) -> list[dict]:
        lines = self._log.read_text(encoding="utf-8", errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    @property
    def is_owner(self) -> bool:
        if self.process is None or self.process.poll() is not None:
            return False
        names = [event["name"] for event in self.events()]
        return names.count("owner.serving") > names.count("owner.ended")

    def send_signal(self, number: int) -> None:
        self._platform.record.note(f"{self.node} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Platform:
    """The store, the runners, the other services and the instances.

    :param lines: Gets the lines of the record.
    :param duration_s: Returns the duration of a task; None if it lasts.
    :param advice: The ``advice`` of the route in the configuration, if it has any.
    :param saved: Returns the checkpoint of a run.
    """

    def __init__(
        self,
        lines: list[str],
        duration_s: Callable[[str], float | None],
        advice: dict | None = None,
        limit: dict | None = None,
        attempts: int = 3,
        saved: Callable[[RunnerRun], str] = lambda run: "",
    ) -> None:
        self.record = Record(lines)
        self.duration_s = duration_s
        self.advised = advice is not None
        self.saved = saved
        self._advice, self._limit, self._attempts = advice, limit or {}, attempts
        self.store = Store()
        self.runners: list[Runner] = []
        self.instances: list[Instance] = []
        self.runs: list[RunnerRun] = []
        self.advice_calls = 0
        self._tickets: dict[tuple[str, str], float] = {}
        self._advising: dict[int, asyncio.Lock] = {}
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)

    async def start(
        self,
        zones: list[str],
        runners: list[tuple[str, int, list[str]]],
        path: str | None = None,
    ) -> None:
        """Starts everything and waits until all instances are ready.

        :param zones: Zone of each instance.
        :param runners: Zone, processor capacity and labels of each runner.
        :param path: See :meth:`Instance.start`.
        """
        await self.store.put("keyed.op", "config", json.dumps(self._configuration()).encode())
        for number, (zone, cpu, labels) in enumerate(runners):
            runner = Runner(self, number, "pool", zone, cpu, labels)
            self.runners.append(runner)
            await runner.start()
        self.instances = [Instance(self, number, zone) for number, zone in enumerate(zones)]
        cloud = await HttpServer(self._serve_machines).start()
        for instance in self.instances:
            self._advising[instance.number] = asyncio.Lock()
            advice = await HttpServer(self._advise(instance.number)).start()
            store = await HttpServer(self.store.serve(instance.shown)).start()
            await instance.add_link("store", store.address, is_in_records=False)
            await instance.add_link("cloud", cloud.address, is_in_records=False)
            await instance.add_link("advice", advice.address, is_in_records=False)
            for runner in self.runners:
                await instance.add_link(
                    f"runner-{runner.number}", runner.server.address, is_in_records=True
                )
            for other in self.instances:
                if other is not instance:
                    await instance.add_link(
                        f"peer-{other.number}", other.peer_address, is_in_records=True
                    )
        for instance in self.instances:
            instance.start(path)
        await self.wait_for(lambda: any(each.is_owner for each in self.instances), 20, "an owner")
        for instance in self.instances:
            await self._wait_ready(instance)

    def close(self) -> None:
        for instance in self.instances:
            instance.end()
        self._temporary.cleanup()

    def cut_zone(self, zone: str) -> None:
        """Partitions a zone from the others and from the platform; clients still reach it."""
        self.record.note(f"zone {zone} is cut off")
        self._cut_links = []
        for instance in self.instances:
            is_inside = instance.zone == zone
            for name, link in instance.links.items():
                kind, _, number = name.partition("-")
                if kind == "runner":
                    is_far_inside = self.runners[int(number)].zone == zone
                elif kind == "peer":
                    is_far_inside = self.instances[int(number)].zone == zone
                else:
                    is_far_inside = False
                if is_inside != is_far_inside:
                    link.cut()
                    self._cut_links.append(link)

    def heal_zone(self) -> None:
        for link in self._cut_links:
            link.heal()
        self.record.note("the cut is healed")

    async def wait_for(self, condition: Callable[[], Any], timeout_s: float, what: str) -> None:
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRunError(f"not in time: {what}")
            await asyncio.sleep(0.05)

    async def _wait_ready(self, instance: Instance) -> None:
        for _ in range(200):
            status, _ = await request(f"{HOST}:{instance.ready}", "GET", "/ready", {}, b"", 1.0)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{instance.node} is not ready")

    @property
    def owner(self) -> Instance:
        return next(each for each in self.instances if each.is_owner)

    async def call(
        self, instance: Instance, method: str, job: str, body: dict | None = None, quiet: bool = False
    ) -> tuple[int, dict]:
        """Sends a client's request; status 0 stands for no answer within its time."""
        headers = {"Host": "queue.example", "Api-Key": KEY, "X-Deadline-Ms": "3000"}
        payload = b"" if body is None else json.dumps(body).encode()
        address = f"{HOST}:{instance.front}"
        status, answer = await request(address, method, f"/jobs/{job}", headers, payload, 3.0)
        value = json.loads(answer or b"{}")
        if not quiet:
            self.record.note(f"{method} {job} at {instance.node}: {status or 'no answer'} {value}")
        return status, value

    def is_ticket(self, ticket: str | None, task: str, runner: Runner) -> bool:
        step = task.rpartition(".")[0]
        is_valid = self._tickets.get((step, runner.id), 0.0) > time.monotonic()
        return is_valid and ticket == f"{step}/{runner.id}"

    def _advise(self, number: int) -> Handler:
        async def handle(method, path, query, headers, body):  # noqa: ANN001, ANN202
            fields = json.loads(body)
            terms, workers = self._advice, fields["workers"]
            async with self._advising[number]:
                cost_ms = terms["decide_ms"] + terms["period_ms"] * len(workers)
                await asyncio.sleep(cost_ms / 1000.0)
                self.advice_calls += 1
                self.record.note(f"advice for {fields['step']}: {len(workers)} runners named")
                rows = []
                for worker in workers:
                    until = time.monotonic() + terms["valid_ms"] / 1000.0
                    self._tickets[fields["step"], worker] = until
                    rows.append([worker, f"{fields['step']}/{worker}"])
            return to_json(200, {"allowed": rows})

        return handle

    async def _serve_machines(self, method, path, query, headers, body):  # noqa: ANN001, ANN202
        rows = [
            {"machine": f"m-{each.number}", "pool": "pool", "zone": each.zone, "labels": []}
            | {"state": "up" if each.is_up else "down", "id": each.id}
            for each in self.runners
        ]
        return to_json(200, {"machines": rows, "next_token": None})

    def _configuration(self) -> dict:
        route = {"name": "q", "host": "queue.example", "path_prefix": "/jobs/", "type": "unsafe"}
        route |= {"timeout_ms": 3000, "slo_ms": 1200, "priority": 0, "service": "pool"}
        route |= {"attempts": self._attempts, "stretch": 2.2, "public": False}
        if self._advice is not None:
            route["advice"] = self._advice
        tenant = {"name": "tenant", "api_keys": [KEY], "weight": 50, "max_count": self._limit}
        service = {"name": "pool", "health_path": "/health", "admission_check": False}
        return {
            "version": 7,
            "routes": [route],
            "services": [service],
            "tenants": [tenant],
            "limits": {},
        }

    def settings(self, instance: Instance) -> str:
        """Returns a settings file like that of a small deployment."""
        zones = sorted({each.zone for each in self.instances})
        return f"""
node = "{instance.node}"
role = "instance"
machine_class = "edge"
serves = ["edge"]
ip = "{HOST}"
zone = "{instance.zone}"
region = "region"
port_range = [{instance.peer_port}, {instance.peer_port + 1}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = {int(HEARTBEAT_S * 1000)}
orders = "rpc"
advice = "{instance.links["advice"].address}"
[zones]
{chr(10).join(f'{zone} = "region"' for zone in zones)}
[listen]
front = "{HOST}:{instance.front}"
readiness = "{HOST}:{instance.ready}"
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
contact_ms = 3000
ack_ms = 4000
grace_s = 6
config_ms = 2000
strict_revoke = true
revoke_ms = 5000
quota_burst = 0.1
max_hold_ms = {MAX_HOLD_MS}
stop_ms = 400
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
far_factor = 2
[platform]
address = "{instance.links["store"].address}"
form = "log"
parts = 16
append_ms = 3.0
record_bytes = {RECORD_BYTES}
call_bytes = {CALL_BYTES}
keep_s = 300
[cloud]
address = "{instance.links["cloud"].address}"
rate_per_s = 60.0
duties = []
"""


class CannotRunError(Exception):
    """The case could not be run."""


async def request(
    address: str, method: str, path: str, headers: dict, body: bytes, timeout_s: float
) -> tuple[int, bytes]:
    """Sends one request on a connection of its own; returns status 0 without an answer."""
    host, _, port = address.partition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                head = {"Host": address, **headers, "Content-Length": str(len(body))}
                lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
                writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
                await writer.drain()
                top = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                status = int(top.split(" ", 2)[1])
                length = int(top.partition("content-length:")[2].partition("\r\n")[0] or 0)
                return status, await reader.readexactly(length)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""


def run_case(case: Callable[[bool, list[str]], Awaitable[list[str]]], folder: Path) -> None:
    """Runs a case, which returns the breaks of the rule that it saw, and writes its record.

    Ends this process with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """

    def interrupt(*arguments: object) -> None:
        raise KeyboardInterrupt  # Lets the case end the processes that it has started.

    signal.signal(signal.SIGTERM, interrupt)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    lines: list[str] = []

    def end(code: int) -> None:
        (folder / "record.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")
        print("\n".join(lines[-6:]), file=sys.stderr, flush=True)
        os._exit(code)  # Without waiting for the connections that are still open.

    async def run() -> None:
        try:
            async with asyncio.timeout(110.0):
                breaks = await case(has_trouble, lines)
        except (CannotRunError, TimeoutError, OSError) as error:
            lines.append(f"could not run: {error!r}")
            end(2)
        lines.extend([f"broken: {each}" for each in breaks] or ["the rule held"])
        end(1 if breaks else 0)

    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        lines.append("could not run: it was interrupted")
        end(2)
