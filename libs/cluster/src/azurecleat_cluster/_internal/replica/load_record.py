"""The owner's load report, and its encoding as a record of the progress stream."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

from azurecleat_cluster._internal.replica.records import DECODE_ERRORS, dump, load


class QueueWait(NamedTuple):
    """Expected wait of a queue's next job, within its account's share and over it, in seconds."""

    within_s: float
    over_s: float


NO_WAIT = QueueWait(0.0, 0.0)


class LoadReport(NamedTuple):
    """How long new jobs will have to wait, as the owner of an epoch expects it.

    :param queues: Waits by queue; a queue that is missing has no wait.
    :param over_share: Accounts whose next job would be over their share.
    :param accounts: Waits by account and queue that accounts have because of their own limit.
    """

    epoch: int
    queues: Mapping[str, QueueWait]
    over_share: frozenset[str]
    accounts: Mapping[str, Mapping[str, float]]

    @property
    def states_wait(self) -> bool:
        return bool(self.queues or self.accounts)


class ReceivedLoad(NamedTuple):
    """A load report and the monotonic time at which it was received."""

    report: LoadReport
    received_at: float


def encode(report: LoadReport) -> bytes:
    return dump(
        {
            "epoch": report.epoch,
            "queues": {name: list(wait) for name, wait in report.queues.items()},
            "over": sorted(report.over_share),
            "accounts": report.accounts,
        }
    )


def decode(value: bytes) -> LoadReport:
    """Decodes a load report.

    :raises ValueError: The value is not an encoded load report.
    """
    try:
        data = load(value)
        queues = {
            str(name): QueueWait(_seconds(within), _seconds(over))
            for name, (within, over) in data["queues"].items()
        }
        accounts = {
            str(name): {str(queue): _seconds(wait) for queue, wait in waits.items()}
            for name, waits in data["accounts"].items()
        }
        over_share = frozenset(str(name) for name in data["over"])
        return LoadReport(int(data["epoch"]), queues, over_share, accounts)
    except (*DECODE_ERRORS, OverflowError) as error:
        raise ValueError(f"load report: {error!r}") from error


def _seconds(value: Any) -> float:
    number = float(value)
    if not 0.0 <= number < math.inf:
        raise ValueError(f"a wait of {value!r}")
    return number
