"""Measures the cost of forwarding a request to the owner of its partition."""

from __future__ import annotations

import http.client
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any

from cleo.helpers import option

from azurecleat_bench._internal.base import COMMON_OPTIONS, Bench, quantile
from azurecleat_bench._internal.processes import EntryProcess, ProcessFleet, wait_until

CALLER_THREADS = 4


class ForwardingCommand(Bench):
    """Sends the same load to the owner and to an instance that forwards to the owner."""

    name = "forwarding"
    description = "Latency and throughput through a forwarding instance compared with the owner."
    options = [
        *COMMON_OPTIONS,
        option("rate", None, "Requests a second.", flag=False, default="200"),
        option("seconds", None, "Length of each part.", flag=False, default="5"),
    ]

    def measure(self) -> dict[str, Any]:
        """Measures direct and forwarded calls, at a fixed rate and without a rate limit."""
        fleet = ProcessFleet(("hobart",), 2)
        try:
            fleet.start()
            owner = wait_until(lambda: fleet.owner_of("hobart"))
            other = fleet.others(owner)[0]
            rate, seconds = self.int_option("rate"), self.int_option("seconds")
            # The load runs in its own process: in this one it would compete with the fakes for the
            # interpreter.
            with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool:

                def load(entry: EntryProcess, rate: int, seconds: float) -> list[float]:
                    return pool.submit(
                        _send_load, entry.caller_address, fleet.token, rate, seconds
                    ).result()

                for entry in (owner, other):
                    load(entry, rate, 1.0)
                direct = load(owner, rate, seconds)
                forwarded = load(other, rate, seconds)
                fast_direct = load(owner, 0, seconds)
                fast_forwarded = load(other, 0, seconds)
        finally:
            fleet.stop()
        return {
            "direct_p50_ms": _ms(direct, 0.5),
            "direct_p99_ms": _ms(direct, 0.99),
            "added_p50_ms": round(_ms(forwarded, 0.5) - _ms(direct, 0.5), 3),
            "added_p99_ms": round(_ms(forwarded, 0.99) - _ms(direct, 0.99), 3),
            "throughput_direct_per_s": round(len(fast_direct) / seconds),
            "throughput_forwarded_per_s": round(len(fast_forwarded) / seconds),
            "throughput_ratio": round(len(fast_forwarded) / len(fast_direct), 3),
        }


def _ms(times: list[float], fraction: float) -> float:
    return round(quantile(times, fraction) * 1000, 3)


def _send_load(address: str, token: str, rate: int, seconds: float) -> list[float]:
    """Sends requests from several threads and returns the latencies of the successful ones.

    :param rate: Requests per second over all threads; 0 sends each one after the last response.
    """
    times: list[float] = []
    ends_at = time.monotonic() + seconds
    period_s = CALLER_THREADS / rate if rate else 0.0

    def call() -> None:
        connection = http.client.HTTPConnection(address)
        headers = {"Authorization": f"Bearer {token}"}
        due = time.monotonic()
        while time.monotonic() < ends_at:
            began = time.monotonic()
            connection.request("POST", "/v1/requests", b"x" * 64, headers)
            response = connection.getresponse()
            response.read()
            if response.status == 200:
                times.append(time.monotonic() - began)
            due += period_s
            time.sleep(max(0.0, due - time.monotonic()))
        connection.close()

    threads = [threading.Thread(target=call) for _ in range(CALLER_THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return times
