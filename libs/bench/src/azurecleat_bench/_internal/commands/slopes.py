"""Measures how costs grow with size: three or more sizes each, and a fitted line."""

from __future__ import annotations

import gc
import json
import random
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np
from azurecleat_coordination import Freshness, LocalState, PeerStatus, Replica
from azurecleat_coordination.records import (
    AcceptJob,
    EndTasks,
    Entry,
    Intend,
    Promote,
    decode_entry,
    encode_entry,
)
from azurecleat_fakes import MemoryLog
from azurecleat_model import (
    Environment,
    Job,
    JobKind,
    JobSpec,
    ManualClock,
    Quota,
    Scheduling,
    SystemClock,
    TaskSize,
    Team,
    generate_key,
    to_plain,
)
from azurecleat_peers.messages import Envelope, Status, StatusAnswer, decode, encode
from azurecleat_platform import ControlRequest
from azurecleat_policy import Scheduler, TaskResult
from cleo.helpers import option

from azurecleat_bench._internal.base import COMMON_OPTIONS, Bench, rss_mb
from azurecleat_bench._internal.commands.idle import measure_idle
from azurecleat_bench._internal.synthetic_load import JobGenerator, add_teams, add_workers, starts

DECISION_ROUNDS = 200
TEAMS = 460
IDLE_TARGETS = (10, 30, 60)
IDLE_PEERS = 5
IDLE_S = 24.0


class Slope(NamedTuple):
    """A fitted line: ``value = base + slope * size``.

    ``unit`` names what ``size`` counts, ``measure`` is the unit of the values. ``residual`` is the
    largest deviation from the line relative to the largest value.
    """

    name: str
    unit: str
    measure: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float
    base: float
    residual: float


class SlopesCommand(Bench):
    """Measures memory, message sizes and processor time at several sizes."""

    name = "slopes"
    description = "Slopes from which docs/CAPACITY.md is computed."
    options = [
        *COMMON_OPTIONS,
        option(
            "only",
            None,
            "Measure only slopes with this prefix; keep the others in --out.",
            flag=False,
        ),
        option("out", "o", "Also write the JSON to this file; required by --only.", flag=False),
        option("plot", None, "Write a plot of some slopes to this SVG file.", flag=False),
    ]

    def measure(self) -> dict[str, Any]:
        """Measures all slopes, or with ``--only`` some and reads the others from ``--out``."""
        only = self.option("only")
        wanted = [row for row in MEASUREMENTS if not only or row[0].startswith(only)]
        slopes = [fit(*row) for row in wanted] + (
            _idle_slopes() if not only or only == "idle" else []
        )
        if only:
            slopes = _merge(Path(self.option("out")), slopes)
        result = {"slopes": [slope._asdict() for slope in slopes], "rss_import_mb": rss_mb()}
        if self.option("out"):
            text = json.dumps(result, indent=1) + "\n"
            Path(self.option("out")).write_text(text, encoding="utf-8")
        if self.option("plot"):
            plot(slopes, Path(self.option("plot")))
        return result


def fit(
    name: str, unit: str, measure: str, sizes: tuple[int, ...], call: Callable[[int], float]
) -> Slope:
    """Calls ``call`` with each size and fits a line to the values by least squares."""
    values = tuple(float(call(size)) for size in sizes)
    slope, base = np.polyfit(sizes, values, 1)
    errors = np.array(values) - (base + slope * np.array(sizes))
    largest = max(abs(value) for value in values) or 1.0
    residual = float(np.max(np.abs(errors)) / largest)
    return Slope(name, unit, measure, sizes, values, float(slope), float(base), round(residual, 4))


def _merge(path: Path, measured: list[Slope]) -> list[Slope]:
    """Returns the slopes in a file, with the measured ones replacing those of the same name."""
    kept = json.loads(path.read_text(encoding="utf-8"))["slopes"]
    by_name = {slope["name"]: Slope(**slope) for slope in kept}
    by_name.update({slope.name: slope for slope in measured})
    return list(by_name.values())


def _idle_slopes() -> list[Slope]:
    """Measures idle processes at three numbers of targets."""
    runs = {targets: measure_idle(targets, IDLE_PEERS, IDLE_S) for targets in IDLE_TARGETS}
    rows = (("cpu_percent", "%"), ("rss_mb", "MiB"), ("bytes_per_s", "bytes/s"))
    return [
        fit(f"idle_{name}", "targets", unit, IDLE_TARGETS, lambda n, name=name: runs[n][name])
        for name, unit in rows
    ]


def plot(slopes: list[Slope], path: Path) -> None:
    """Plots the slopes named in ``PLOTTED``: measured values and fitted lines."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "azurecleat"
    from matplotlib import pyplot

    shown = [slope for slope in slopes if slope.name in PLOTTED]
    figure, axes = pyplot.subplots(1, len(shown), figsize=(4 * len(shown), 3.2))
    for axis, slope in zip(axes, shown, strict=True):
        line = [slope.base + slope.slope * size for size in slope.sizes]
        axis.plot(slope.sizes, slope.values, "o", label="measured")
        axis.plot(slope.sizes, line, "-", label="fitted")
        axis.set_title(slope.name, fontsize=9)
        axis.set_xlabel(slope.unit)
        axis.set_ylabel(slope.measure)
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def _decision_ms(workers: int, teams: int, queued: int) -> float:
    """Returns the mean time in ms per placed task on a full cluster, with the task ends."""
    scheduler = Scheduler(Scheduling())
    add_teams(scheduler, teams)
    add_workers(scheduler, workers)
    generator = JobGenerator(1, teams)
    running = []
    while True:
        for _ in range(200):
            scheduler.submit(generator.next_job(500.0))
        new = starts(scheduler.decide(500.0))
        running += [(start.job_id, start.index) for start in new]
        if not new:
            break
    while scheduler.waiting_tasks < queued:
        scheduler.submit(generator.next_job(500.0))
    scheduler.decide(999.0)
    rng = random.Random(1)
    seconds = 0.0
    placed = 0
    for step in range(DECISION_ROUNDS):
        now = 1000.0 + step * 0.001
        key = running.pop(rng.randrange(len(running)))
        began = time.perf_counter()
        scheduler.finish(*key, TaskResult.DONE, now)
        new = starts(scheduler.decide(now))
        seconds += time.perf_counter() - began
        placed += len(new)
        running += [(start.job_id, start.index) for start in new]
    return 1000 * seconds / max(1, placed)


def _memory_kib(build: Callable[[], Any]) -> float:
    """Returns the KiB that Python and numpy allocate for the result of ``build``."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept is not None
    return size / 1024


def _queued_memory_kib(tasks: int) -> float:
    def build() -> Scheduler:
        scheduler = Scheduler(Scheduling())
        add_teams(scheduler, 46)
        generator = JobGenerator(1, 46)
        while scheduler.waiting_tasks < tasks:
            scheduler.submit(generator.next_job(0.0))
        return scheduler

    return _memory_kib(build)


def _running_memory_kib(tasks: int) -> float:
    def build() -> Scheduler:
        scheduler = Scheduler(Scheduling())
        add_teams(scheduler, 46)
        add_workers(scheduler, max(8, tasks // 5))
        generator = JobGenerator(1, 46)
        placed = 0
        while placed < tasks:
            for _ in range(100):
                scheduler.submit(generator.next_job(0.0))
            new = len(starts(scheduler.decide(0.0)))
            if not new:
                raise RuntimeError("too few workers for the requested number of running tasks")
            placed += new
        return scheduler

    return _memory_kib(build)


def _log_with_jobs(jobs: int) -> MemoryLog:
    log = MemoryLog()
    document = to_plain(Environment("slopes", (Team("crew", 1.0, Quota()),)))
    log.append(encode_entry(Entry("w", 1, (Promote(document, 0),))))
    spec = JobSpec("check", JobKind.BATCH, TaskSize(1000, 1000), tasks=10)
    for number in range(jobs):
        event = AcceptJob("hobart", Job(f"hobart-{number:020d}", "crew", spec, 0.0))
        log.append(encode_entry(Entry("w", number + 2, (event,))))
    return log


def _replay_ms(jobs: int) -> float:
    log = _log_with_jobs(jobs)
    replica = Replica(log, SystemClock())
    began = time.perf_counter()
    replica.catch_up()
    return 1000 * (time.perf_counter() - began)


def _replica_memory_kib(jobs: int) -> float:
    log = _log_with_jobs(jobs)

    def build() -> Replica:
        replica = Replica(log, SystemClock())
        replica.catch_up()
        return replica

    return _memory_kib(build)


def _snapshot_bytes(jobs: int) -> float:
    from azurecleat_coordination import to_chunks

    replica = Replica(_log_with_jobs(jobs), SystemClock())
    replica.catch_up()
    return sum(len(chunk.data) for chunk in to_chunks("jobs/hobart", *replica.dump("jobs/hobart")))


def _document(teams: int) -> dict[str, Any]:
    entries = []
    for number in range(teams):
        key = generate_key(f"key-{number}")[1]
        entries.append(Team(f"team-{number}", 1.0, Quota(tasks=100), keys=(key,)))
    return to_plain(Environment("slopes", tuple(entries)))


def _promote_bytes(teams: int) -> float:
    return len(encode_entry(Entry("w", 1, (Promote(_document(teams), 0),))))


def _promote_ms(teams: int) -> float:
    log = MemoryLog()
    for number in range(5):
        log.append(encode_entry(Entry("w", number + 1, (Promote(_document(teams), number),))))
    replica = Replica(log, SystemClock())
    began = time.perf_counter()
    replica.catch_up()
    return 1000 * (time.perf_counter() - began) / 5


def _entry_bytes(make: Callable[[str], Any], events: int) -> float:
    """Returns the mean size in bytes of a log entry with ``events`` events with random ids."""
    rng = random.Random(1)
    sizes = []
    for _ in range(20):
        many = tuple(make(f"{rng.getrandbits(80):020x}") for _ in range(events))
        sizes.append(len(encode_entry(Entry("w" * 32, 1, many))))
    return sum(sizes) / len(sizes)


def _intent_bytes(events: int) -> float:
    return _entry_bytes(lambda name: Intend(f"team-123/{name}", 1.76e9), events)


def _result_bytes(events: int) -> float:
    return _entry_bytes(
        lambda name: EndTasks("hobart", 3, f"hobart-{name}", done=((0, 9),)), events
    )


def _accept_bytes(events: int) -> float:
    generator = JobGenerator(1, TEAMS)
    return _entry_bytes(
        lambda name: AcceptJob(
            "hobart", generator.next_job(1.76e9)._replace(job_id=f"hobart-{name}")
        ),
        events,
    )


def _decode_ms(events: int) -> float:
    many = tuple(Intend(f"crew/{number:032x}", 1e9) for number in range(events))
    data = encode_entry(Entry("w" * 32, 1, many))
    began = time.perf_counter()
    for _ in range(20):
        decode_entry(data)
    return 1000 * (time.perf_counter() - began) / 20


def _status_ms(peers: int) -> float:
    """Returns the time in ms to encode, decode and evaluate one heartbeat round with all peers."""
    clock = ManualClock()
    freshness = Freshness("me", clock, 5.0, 0.5)
    members = frozenset({"me", *(f"peer-{number}" for number in range(peers))})
    local_state = LocalState(members, 3, 2, frozenset(), None)
    began = time.perf_counter()
    for _ in range(20):
        for number in range(peers):
            decode(encode(Envelope(1, Status("me", "i" * 32))))
            status = PeerStatus(f"peer-{number}", "i" * 32, -1.0, 3, 2, (), True)
            answer = decode(encode(Envelope(1, StatusAnswer(status)))).message
            freshness.on_status(clock.monotonic(), answer.status)
        freshness.proof(local_state)
    return 1000 * (time.perf_counter() - began) / 20


def _status_bytes(peers: int) -> float:
    request = encode(Envelope(1, Status("hobart-entry-1", "i" * 32)))
    status = PeerStatus("hobart-entry-1", "i" * 32, 1.5, 12_345, 1234, (), True)
    return peers * (len(request) + len(encode(Envelope(1, StatusAnswer(status)))) + 8)


def _control_bytes(targets: int) -> float:
    from azurecleat_platform._internal.http_targets import _without_defaults

    request = ControlRequest("hobart", 12, "hobart-entry-1", 18.0, since=1234)
    body = len(json.dumps(_without_defaults(request), separators=(",", ":")))
    # Request and response heads as sent by http.client and by a server with minimal headers.
    request_head = len(
        "POST /control HTTP/1.1\r\nHost: 10.0.0.100:8000\r\nAccept-Encoding: identity\r\n"
        "Content-Length: 100\r\n\r\n"
    )
    answer = len('HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{"version":1234}')
    return targets * (body + request_head + answer)


def _workers_memory_kib(workers: int) -> float:
    def build() -> Scheduler:
        scheduler = Scheduler(Scheduling())
        add_workers(scheduler, workers)
        return scheduler

    return _memory_kib(build)


def _teams_memory_kib(teams: int) -> float:
    def build() -> Scheduler:
        scheduler = Scheduler(Scheduling())
        add_teams(scheduler, teams)
        return scheduler

    return _memory_kib(build)


MEASUREMENTS = (
    (
        "decision_by_workers",
        "workers",
        "ms",
        (90, 180, 450, 900, 1800),
        lambda n: _decision_ms(n, 46, 2000),
    ),
    ("decision_by_teams", "teams", "ms", (46, 115, 230, 460), lambda n: _decision_ms(180, n, 2000)),
    ("decision_by_queued", "tasks", "ms", (2000, 8000, 20_000), lambda n: _decision_ms(180, 46, n)),
    ("memory_by_workers", "workers", "KiB", (500, 1000, 2000), _workers_memory_kib),
    ("memory_by_teams", "teams", "KiB", (500, 1000, 2000), _teams_memory_kib),
    ("memory_by_queued", "tasks", "KiB", (5000, 10_000, 20_000), _queued_memory_kib),
    ("memory_by_running", "tasks", "KiB", (1000, 2000, 4000), _running_memory_kib),
    ("memory_by_live_job", "jobs", "KiB", (1000, 2000, 4000), _replica_memory_kib),
    ("replay_by_jobs", "jobs", "ms", (1000, 4000, 16_000), _replay_ms),
    ("snapshot_by_jobs", "jobs", "bytes", (1000, 4000, 16_000), _snapshot_bytes),
    ("promote_by_teams", "teams", "ms", (46, 230, 460), _promote_ms),
    ("promote_bytes_by_teams", "teams", "bytes", (46, 230, 460), _promote_bytes),
    ("commit_bytes_by_intents", "intents", "bytes", (1, 4, 8), _intent_bytes),
    ("commit_bytes_by_results", "jobs", "bytes", (1, 4, 8), _result_bytes),
    ("commit_bytes_by_accepts", "jobs", "bytes", (1, 4, 8), _accept_bytes),
    ("decode_by_events", "events", "ms", (10, 50, 200), _decode_ms),
    ("status_by_peers", "peers", "ms", (5, 15, 30), _status_ms),
    ("status_bytes_by_peers", "peers", "bytes", (5, 15, 30), _status_bytes),
    ("control_bytes_by_targets", "targets", "bytes", (20, 40, 60), _control_bytes),
)

PLOTTED = ("decision_by_workers", "decision_by_teams", "memory_by_queued", "replay_by_jobs")
