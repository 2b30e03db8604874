"""Computes the figures of docs/CAPACITY.md from measured slopes."""

from __future__ import annotations

from typing import Any, NamedTuple

WORKERS = 1800
JOBS_PER_DAY = 29_000
STARTS_PER_S = 91
RUNNING_TASKS = 25_000
QUEUED_TASKS = 50_000
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
SNAPSHOT_EVERY_ENTRIES = 2000
RETENTION_S = 6 * 3600
NON_REPEATABLE_FRACTION = 0.1
BASE64_EXPANSION = 4 / 3
KIB_PER_MIB = 1024
BYTES_PER_KIB = 1024


class CapacityFigure(NamedTuple):
    """One row of the table of figures; ``formula`` and ``mechanism`` are texts."""

    role: str
    name: str
    formula: str
    value: float
    unit: str
    mechanism: str


class Slopes:
    """The fitted lines by name."""

    def __init__(self, result: dict[str, Any]) -> None:
        self._by_name = {slope["name"]: slope for slope in result["slopes"]}

    def value_at(self, name: str, size: float) -> float:
        """Returns the value of a line at a size."""
        slope = self._by_name[name]
        return slope["base"] + slope["slope"] * size

    def slope_of(self, name: str) -> float:
        """Returns the slope of a line: the cost of one more unit."""
        return self._by_name[name]["slope"]


def figures(result: dict[str, Any]) -> list[CapacityFigure]:
    """Computes all figures from the measured slopes."""
    slopes = Slopes(result)
    return [
        *_owner_figures(slopes),
        *_peer_figures(slopes),
        *_reader_figures(slopes),
        *_node_figures(slopes),
        *_log_figures(slopes),
        *_restart_figures(slopes),
    ]


def _owner_figures(slopes: Slopes) -> list[CapacityFigure]:
    targets = WORKERS / INSTANCES
    decision_ms = slopes.value_at("decision_by_workers", WORKERS / ZONES)
    starts_per_s = STARTS_PER_S / ZONES
    state_mb = (
        slopes.slope_of("memory_by_queued") * QUEUED_TASKS / ZONES
        + slopes.slope_of("memory_by_running") * RUNNING_TASKS / ZONES
        + slopes.slope_of("memory_by_teams") * TEAMS
    ) / KIB_PER_MIB
    return [
        CapacityFigure(
            "owner", "targets", "1,800 / 60", targets, "", "one partition per owner and zone"
        ),
        CapacityFigure(
            "owner",
            "processor, idle",
            "idle_cpu_percent at the targets",
            slopes.value_at("idle_cpu_percent", targets),
            "% of a core",
            "one exchange per lease third",
        ),
        CapacityFigure(
            "owner",
            "processor, decisions",
            "91/s / 10 zones x decision at 180 workers",
            starts_per_s * decision_ms / 10,
            "% of a core",
            "shape queues, numpy columns",
        ),
        CapacityFigure(
            "owner",
            "memory, idle",
            "idle_rss_mb at the targets",
            slopes.value_at("idle_rss_mb", targets),
            "MiB",
            "one process, threads per target and peer",
        ),
        CapacityFigure(
            "owner",
            "memory, state",
            "queued, running and teams of a zone",
            state_mb,
            "MiB",
            "jobs, not tasks, are queued",
        ),
        CapacityFigure(
            "owner",
            "traffic, idle",
            "idle_bytes_per_s at the targets",
            slopes.value_at("idle_bytes_per_s", targets),
            "bytes/s",
            "renewal, usage, commands in one",
        ),
        CapacityFigure(
            "owner",
            "urgent start",
            "decision at 1,800 workers + one exchange",
            slopes.value_at("decision_by_workers", WORKERS) / 1000 + 0.1,
            "s",
            "commands do not wait for renewals",
        ),
    ]


def _peer_figures(slopes: Slopes) -> list[CapacityFigure]:
    near_peers = INSTANCES / ZONES - 1
    far_peers = INSTANCES - near_peers - 1
    size = slopes.value_at("status_bytes_by_peers", 1)
    traffic = 2 * size * (near_peers / STATUS_S + far_peers / REMOTE_STATUS_S)
    cpu = (
        slopes.slope_of("status_by_peers")
        * 2
        * (near_peers / STATUS_S + far_peers / REMOTE_STATUS_S)
        / 10
    )
    return [
        CapacityFigure(
            "peer",
            "traffic",
            "2 x status x (5 / 5 s + 54 / 60 s)",
            traffic,
            "bytes/s",
            "heartbeats are the proof of fresh keys",
        ),
        CapacityFigure(
            "peer",
            "processor",
            "2 x status cost x the same rate",
            cpu,
            "% of a core",
            "packed messages on kept connections",
        ),
    ]


def _reader_figures(slopes: Slopes) -> list[CapacityFigure]:
    change_ms = slopes.value_at("promote_by_teams", TEAMS)
    change_bytes = slopes.value_at("promote_bytes_by_teams", TEAMS) * BASE64_EXPANSION
    log_bytes = _log_bytes_per_s(slopes, STARTS_PER_S)
    mean_bytes = _log_bytes_per_s(slopes, JOBS_PER_DAY / DAY_S)
    return [
        CapacityFigure(
            "reader",
            "one configuration change",
            "promote at 460 teams",
            change_ms,
            "ms",
            "one document, applied in log order",
        ),
        CapacityFigure(
            "reader",
            "traffic, changes",
            "830/day x document",
            CHANGES_PER_DAY * change_bytes / DAY_S,
            "bytes/s",
            "compressed entries",
        ),
        CapacityFigure(
            "reader",
            "change in force",
            "poll + read",
            POLL_S + change_ms / 1000,
            "s",
            "hints to peers, then polls",
        ),
        CapacityFigure(
            "reader",
            "traffic, mean day",
            "29,000 jobs/day x accept and result",
            mean_bytes * BASE64_EXPANSION,
            "bytes/s",
            "group commit",
        ),
        CapacityFigure(
            "reader",
            "traffic, snapshots on a mean day",
            "10 sections every 2,000 of 58,000 entries",
            _snapshot_bytes_per_s(slopes) * BASE64_EXPANSION,
            "bytes/s",
            "compressed chunks",
        ),
        CapacityFigure(
            "reader",
            "traffic, peak second",
            "91 one-task jobs/s x accept and result",
            log_bytes * BASE64_EXPANSION,
            "bytes/s",
            "to come: a stream per partition, a tenth of it",
        ),
        CapacityFigure(
            "reader",
            "processor, peak second",
            "decode per event x 2 x 91/s",
            slopes.slope_of("decode_by_events") * 2 * STARTS_PER_S / 10,
            "% of a core",
            "one replica",
        ),
    ]


def _log_bytes_per_s(slopes: Slopes, jobs_per_s: float) -> float:
    # At this rate an entry carries about one event, so the fixed part of each entry counts too.
    accept = slopes.value_at("commit_bytes_by_accepts", 1)
    result = slopes.value_at("commit_bytes_by_results", 1)
    return jobs_per_s * (accept + result)


def _node_figures(slopes: Slopes) -> list[CapacityFigure]:
    far_peers = INSTANCES - INSTANCES / ZONES
    status = slopes.value_at("status_bytes_by_peers", 1)
    log = _log_bytes_per_s(slopes, JOBS_PER_DAY / DAY_S) + _snapshot_bytes_per_s(slopes)
    changes = CHANGES_PER_DAY * slopes.value_at("promote_bytes_by_teams", TEAMS) / DAY_S
    idle = slopes.value_at("idle_bytes_per_s", WORKERS / INSTANCES)
    total = idle + 2 * status * far_peers / REMOTE_STATUS_S + (log + changes) * BASE64_EXPANSION
    return [
        CapacityFigure(
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
    return (
        ZONES
        * slopes.value_at("snapshot_by_jobs", LIVE_JOBS / ZONES)
        * entries_per_s
        / SNAPSHOT_EVERY_ENTRIES
    )


def _log_figures(slopes: Slopes) -> list[CapacityFigure]:
    owners = ZONES
    results = owners / RESULT_FLUSH_S
    max_appends = INSTANCES / APPEND_INTERVAL_S
    accepts = min(STARTS_PER_S, owners / APPEND_INTERVAL_S)
    non_repeatable = STARTS_PER_S * NON_REPEATABLE_FRACTION
    snapshot = slopes.value_at("snapshot_by_jobs", LIVE_JOBS / ZONES)
    entries_per_s = results + accepts
    return [
        CapacityFigure(
            "log", "appends, results", "10 owners / 0.5 s", results, "/s", "ranges per flush"
        ),
        CapacityFigure(
            "log",
            "appends, accepted jobs",
            "min(91/s, 10 owners / 0.2 s)",
            accepts,
            "/s",
            "group commit",
        ),
        CapacityFigure(
            "log",
            "appends, not repeatable",
            "a tenth of 91/s, shared entries",
            non_repeatable,
            "/s",
            "group commit",
        ),
        CapacityFigure(
            "log",
            "appends, changes and members",
            "(830 + 2 x 520) / day",
            (CHANGES_PER_DAY + 2 * RESTARTS_PER_DAY) / DAY_S,
            "/s",
            "one entry each",
        ),
        CapacityFigure(
            "log",
            "appends, all at the peak",
            "sum",
            results + accepts + non_repeatable,
            "/s",
            "below 300/s",
        ),
        CapacityFigure(
            "log",
            "appends, never more than",
            "60 instances / 0.2 s",
            max_appends,
            "/s",
            "append_interval_s of 0.2",
        ),
        CapacityFigure(
            "log",
            "snapshot of a partition",
            "2,500 live jobs",
            snapshot / BYTES_PER_KIB,
            "KiB",
            "chunks of 48 KiB",
        ),
        CapacityFigure(
            "log",
            "snapshot period at the peak",
            "2,000 entries / all appends",
            SNAPSHOT_EVERY_ENTRIES / entries_per_s,
            "s",
            "every 2,000 entries; retention of 6 h holds many",
        ),
    ]


def _restart_figures(slopes: Slopes) -> list[CapacityFigure]:
    replay_ms = slopes.slope_of("replay_by_jobs") * SNAPSHOT_EVERY_ENTRIES
    return [
        CapacityFigure(
            "restart",
            "replay",
            "2,000 entries since the snapshot",
            replay_ms / 1000,
            "s",
            "sections load from snapshots",
        ),
        CapacityFigure(
            "restart",
            "processor, all of a day",
            "520 x (replay + 2 s start)",
            RESTARTS_PER_DAY * (replay_ms / 1000 + 2.0) / DAY_S * 100,
            "% of one core, fleet-wide",
            "any instance takes any partition of its zone",
        ),
    ]


def figure_table(result: dict[str, Any]) -> str:
    """Returns the figures as a Markdown table."""
    lines = ["| role | figure | worked out as | value | carried by |", "|---|---|---|---|---|"]
    for row in figures(result):
        value = f"{row.value:,.3g}" if abs(row.value) < 1000 else f"{row.value:,.0f}"
        shown = f"{value} {row.unit}".strip()
        lines.append(f"| {row.role} | {row.name} | {row.formula} | {shown} | {row.mechanism} |")
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
