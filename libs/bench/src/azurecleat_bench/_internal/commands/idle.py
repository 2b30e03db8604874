"""Measures processor time, memory and traffic of an idle instance."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any

from cleo.helpers import option

from azurecleat_bench._internal.base import COMMON_OPTIONS, Bench
from azurecleat_bench._internal.processes import EntryProcess, ProcessFleet, wait_until

SETTLE_S = 5.0
IDLE_TIMING = {
    "lease_s": 18.0,
    "poll_s": 1.0,
    "status_s": 5.0,
    "remote_status_s": 60.0,
    "list_s": 1.0,
    "key_bound_s": 5.0,
    "log_read_lag_s": 0.5,
}
"""The timing settings for which docs/CAPACITY.md is computed."""

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class IdleCommand(Bench):
    """Runs an idle zone, six instances by default, and measures its owner.

    The bytes are those to and from peers, targets and the platform, including HTTP headers and
    framing, but not TCP and IP headers.
    """

    name = "idle"
    description = "Processor time, memory and traffic of an idle owner by targets and peers."
    options = [
        *COMMON_OPTIONS,
        option("targets", None, "Targets.", flag=False, default="60"),
        option("peers", None, "Peers.", flag=False, default="5"),
        option("seconds", None, "Length.", flag=False, default="24"),
    ]

    def measure(self) -> dict[str, Any]:
        """Measures the owner's process."""
        return measure_idle(
            self.int_option("targets"), self.int_option("peers"), self.int_option("seconds")
        )


def measure_idle(targets: int, peers: int, seconds: float) -> dict[str, Any]:
    """Returns the resource use of the owner of an idle zone over some seconds."""
    fleet = ProcessFleet(("hobart",), peers + 1, timing=IDLE_TIMING, targets_per_zone=targets)
    try:
        fleet.start()
        owner = wait_until(lambda: fleet.owner_of("hobart"))
        time.sleep(SETTLE_S)
        pid = owner.process.pid
        cpu, sent = _cpu_s(pid), _traffic(owner)
        time.sleep(seconds)
        cpu, sent = _cpu_s(pid) - cpu, _traffic(owner) - sent
        return {
            "targets": targets,
            "peers": peers,
            "cpu_percent": round(100 * cpu / seconds, 2),
            "rss_mb": _rss_mb(pid),
            "bytes_per_s": round(sent / seconds),
            "other_rss_mb": _rss_mb(fleet.others(owner)[0].process.pid),
        }
    finally:
        fleet.stop()


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _rss_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0


def _traffic(owner: EntryProcess) -> float:
    """Returns the number of bytes to and from peers and the platform, from an entry's metrics."""
    text = owner.client("").call("GET", "/metrics").body.decode()
    lines = [line for line in text.splitlines() if line.startswith("azurecleat_traffic_bytes{")]
    return sum(float(line.split()[1]) for line in lines)
