"""Works out docs/CAPACITY.md's figures from measured slopes."""

from __future__ import annotations

from typing import Any, NamedTuple

WORKERS = 1800
JOBS_PER_DAY = 29_000
STARTS_PER_S = 91
RUNNING = 25_000
QUEUED = 50_000
TEAMS = 460
LIVE_JOBS = 25_000
ZONES = 10
CHANGES_PER_DAY = 830
RESTARTS_PER_DAY = 520
INSTANCES = 60

BUDGET_CPU_PERCENT = 3.7
BUDGET_MEMORY_MB = 128
BUDGET_BYTES_PER_S = 3000
BUDGET_APPENDS_PER_S = 300

DAY_S = 86_400
POLL_S = 1.0
STATUS_S = 5.0
REMOTE_STATUS_S = 60.0
RESULT_FLUSH_S = 0.5
APPEND_INTERVAL_S = 0.2
SNAPSHOT_EVERY = 2000
RETENTION_S = 6 * 3600
ONCE_FRACTION = 0.1
BASE64 = 4 / 3
KIB_PER_MIB = 1024
BYTES_PER_KIB = 1024


class Row(NamedTuple):
    """One figure of the page."""

    role: str
    what: str
    formula: str
    value: float
    unit: str
    mechanism: str


class Slopes:
    """Measured lines by name."""

    def __init__(self, result: dict[str, Any]) -> None:
        self._by_name = {slope["name"]: slope for slope in result["slopes"]}

    def at(self, name: str, size: float) -> float:
        """Returns the value that the line gives at a size."""
        slope = self._by_name[name]
        return slope["base"] + slope["slope"] * size

    def per(self, name: str) -> float:
        """Returns the slope of the line."""
        return self._by_name[name]["slope"]


def rows(result: dict[str, Any]) -> list[Row]:
    """Returns all figures, worked out from the slopes."""
    slopes = Slopes(result)
    return [
        *_owner(slopes),
        *_peer(slopes),
        *_reader(slopes),
        *_node(slopes),
        *_log(slopes),
        *_restart(slopes),
    ]


def _owner(slopes: Slopes) -> list[Row]:
    targets = WORKERS / INSTANCES
    decision_ms = slopes.at("decision_by_workers", WORKERS / ZONES)
    starts_per_s = STARTS_PER_S / ZONES
    state_mb = (
        slopes.per("memory_by_queued") * QUEUED / ZONES
        + slopes.per("memory_by_running") * RUNNING / ZONES
        + slopes.per("memory_by_teams") * TEAMS
    ) / KIB_PER_MIB
    return [
        Row("owner", "targets", "1,800 / 60", targets, "", "one partition per owner and zone"),
        Row(
            "owner",
            "processor, idle",
            "idle_cpu_percent at the targets",
            slopes.at("idle_cpu_percent", targets),
            "% of a core",
            "one exchange per lease third",
        ),
        Row(
            "owner",
            "processor, decisions",
            "91/s / 10 zones x decision at 180 workers",
            starts_per_s * decision_ms / 10,
            "% of a core",
            "shape queues, numpy columns",
        ),
        Row(
            "owner",
            "memory, idle",
            "idle_rss_mb at the targets",
            slopes.at("idle_rss_mb", targets),
            "MiB",
            "one process, threads per target and peer",
        ),
        Row(
            "owner",
            "memory, state",
            "queued, running and teams of a zone",
            state_mb,
            "MiB",
            "jobs, not tasks, are queued",
        ),
        Row(
            "owner",
            "traffic, idle",
            "idle_bytes_per_s at the targets",
            slopes.at("idle_bytes_per_s", targets),
            "bytes/s",
            "renewal, usage, commands in one",
        ),
        Row(
            "owner",
            "urgent start",
            "decision at 1,800 workers + one exchange",
            slopes.at("decision_by_workers", WORKERS) / 1000 + 0.1,
            "s",
            "commands do not wait for renewals",
        ),
    ]


def _peer(slopes: Slopes) -> list[Row]:
    near = INSTANCES / ZONES - 1
    far = INSTANCES - near - 1
    size = slopes.at("status_bytes_by_peers", 1)
    traffic = 2 * size * (near / STATUS_S + far / REMOTE_STATUS_S)
    cpu = slopes.per("status_by_peers") * 2 * (near / STATUS_S + far / REMOTE_STATUS_S) / 10
    return [
        Row(
            "peer",
            "traffic",
            "2 x status x (5 / 5 s + 54 / 60 s)",
            traffic,
            "bytes/s",
            "heartbeats are the proof of fresh keys",
        ),
        Row(
            "peer",
            "processor",
            "2 x status cost x the same rate",
            cpu,
            "% of a core",
            "packed messages on kept connections",
        ),
    ]


def _reader(slopes: Slopes) -> list[Row]:
    change_ms = slopes.at("promote_by_teams", TEAMS)
    change_bytes = slopes.at("promote_bytes_by_teams", TEAMS) * BASE64
    log_bytes = _log_bytes_per_s(slopes, STARTS_PER_S)
    mean_bytes = _log_bytes_per_s(slopes, JOBS_PER_DAY / DAY_S)
    return [
        Row(
            "reader",
            "one configuration change",
            "promote at 460 teams",
            change_ms,
            "ms",
            "one document, applied in log order",
        ),
        Row(
            "reader",
            "traffic, changes",
            "830/day x document",
            CHANGES_PER_DAY * change_bytes / DAY_S,
            "bytes/s",
            "compressed entries",
        ),
        Row(
            "reader",
            "change in force",
            "poll + read",
            POLL_S + change_ms / 1000,
            "s",
            "hints to peers, then polls",
        ),
        Row(
            "reader",
            "traffic, mean day",
            "29,000 jobs/day x accept and result",
            mean_bytes * BASE64,
            "bytes/s",
            "group commit",
        ),
        Row(
            "reader",
            "traffic, snapshots on a mean day",
            "10 sections every 2,000 of 58,000 entries",
            _snapshot_bytes_per_s(slopes) * BASE64,
            "bytes/s",
            "compressed chunks",
        ),
        Row(
            "reader",
            "traffic, peak second",
            "91 one-task jobs/s x accept and result",
            log_bytes * BASE64,
            "bytes/s",
            "to come: a stream per partition, a tenth of it",
        ),
        Row(
            "reader",
            "processor, peak second",
            "decode per event x 2 x 91/s",
            slopes.per("decode_by_events") * 2 * STARTS_PER_S / 10,
            "% of a core",
            "one replica",
        ),
    ]


def _log_bytes_per_s(slopes: Slopes, jobs_per_s: float) -> float:
    # At this rate an entry carries about one event, so its fixed part counts as well.
    accept = slopes.at("commit_bytes_by_accepts", 1)
    result = slopes.at("commit_bytes_by_results", 1)
    return jobs_per_s * (accept + result)


def _node(slopes: Slopes) -> list[Row]:
    far = INSTANCES - INSTANCES / ZONES
    status = slopes.at("status_bytes_by_peers", 1)
    log = _log_bytes_per_s(slopes, JOBS_PER_DAY / DAY_S) + _snapshot_bytes_per_s(slopes)
    changes = CHANGES_PER_DAY * slopes.at("promote_bytes_by_teams", TEAMS) / DAY_S
    idle = slopes.at("idle_bytes_per_s", WORKERS / INSTANCES)
    total = idle + 2 * status * far / REMOTE_STATUS_S + (log + changes) * BASE64
    return [
        Row(
            "node",
            "traffic, all, mean day",
            "idle + far peers + changes + jobs + snapshots",
            total,
            "bytes/s",
            "budget 3,000",
        )
    ]


def _snapshot_bytes_per_s(slopes: Slopes) -> float:
    entries_per_s = 2 * JOBS_PER_DAY / DAY_S
    return ZONES * slopes.at("snapshot_by_jobs", LIVE_JOBS / ZONES) * entries_per_s / SNAPSHOT_EVERY


def _log(slopes: Slopes) -> list[Row]:
    owners = ZONES
    results = owners / RESULT_FLUSH_S
    most = INSTANCES / APPEND_INTERVAL_S
    accepts = min(STARTS_PER_S, owners / APPEND_INTERVAL_S)
    once = STARTS_PER_S * ONCE_FRACTION
    snapshot = slopes.at("snapshot_by_jobs", LIVE_JOBS / ZONES)
    entries_per_s = results + accepts
    return [
        Row("log", "appends, results", "10 owners / 0.5 s", results, "/s", "ranges per flush"),
        Row(
            "log",
            "appends, accepted jobs",
            "min(91/s, 10 owners / 0.2 s)",
            accepts,
            "/s",
            "group commit",
        ),
        Row(
            "log",
            "appends, not repeatable",
            "a tenth of 91/s, shared entries",
            once,
            "/s",
            "group commit",
        ),
        Row(
            "log",
            "appends, changes and members",
            "(830 + 2 x 520) / day",
            (CHANGES_PER_DAY + 2 * RESTARTS_PER_DAY) / DAY_S,
            "/s",
            "one entry each",
        ),
        Row(
            "log", "appends, all at the peak", "sum", results + accepts + once, "/s", "below 300/s"
        ),
        Row(
            "log",
            "appends, never more than",
            "60 instances / 0.2 s",
            most,
            "/s",
            "append_interval_s of 0.2",
        ),
        Row(
            "log",
            "snapshot of a partition",
            "2,500 live jobs",
            snapshot / BYTES_PER_KIB,
            "KiB",
            "chunks of 48 KiB",
        ),
        Row(
            "log",
            "snapshot period at the peak",
            "2,000 entries / all appends",
            SNAPSHOT_EVERY / entries_per_s,
            "s",
            "every 2,000 entries; retention of 6 h holds many",
        ),
    ]


def _restart(slopes: Slopes) -> list[Row]:
    replay_ms = slopes.per("replay_by_jobs") * SNAPSHOT_EVERY
    return [
        Row(
            "restart",
            "replay",
            "2,000 entries since the snapshot",
            replay_ms / 1000,
            "s",
            "sections load from snapshots",
        ),
        Row(
            "restart",
            "processor, all of a day",
            "520 x (replay + 2 s start)",
            RESTARTS_PER_DAY * (replay_ms / 1000 + 2.0) / DAY_S * 100,
            "% of one core, fleet-wide",
            "any instance takes any partition of its zone",
        ),
    ]


def table(result: dict[str, Any]) -> str:
    """Returns the figures as a Markdown table."""
    lines = ["| role | figure | worked out as | value | carried by |", "|---|---|---|---|---|"]
    for row in rows(result):
        value = f"{row.value:,.3g}" if abs(row.value) < 1000 else f"{row.value:,.0f}"
        shown = f"{value} {row.unit}".strip()
        lines.append(f"| {row.role} | {row.what} | {row.formula} | {shown} | {row.mechanism} |")
    return "\n".join(lines)


def slope_table(result: dict[str, Any]) -> str:
    """Returns the measured slopes as a Markdown table."""
    lines = ["| slope | per | base | slope | sizes | residual |", "|---|---|---|---|---|---|"]
    for slope in result["slopes"]:
        sizes = ", ".join(str(size) for size in slope["sizes"])
        lines.append(
            f"| {slope['name']} ({slope['measure']}) | {slope['unit']} | {slope['base']:.4g} "
            f"| {slope['slope']:.4g} | {sizes} | {slope['residual']:.1%} |"
        )
    return "\n".join(lines)
