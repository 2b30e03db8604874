"""Decisions of the scheduler, without any I/O."""

from azurecleat_policy._internal.bookkeeping import Adopted
from azurecleat_policy._internal.naive import NaiveScheduler
from azurecleat_policy._internal.ranking import dominant_share
from azurecleat_policy._internal.scheduler import Scheduler
from azurecleat_policy._internal.types import (
    Decision,
    Ended,
    Expire,
    LimitNeed,
    Reclaim,
    ReclaimHow,
    Refused,
    Start,
    TaskResult,
    TeamPolicy,
    Wait,
    WorkerPolicy,
)

__all__ = [
    "Adopted",
    "Decision",
    "Ended",
    "Expire",
    "LimitNeed",
    "NaiveScheduler",
    "Reclaim",
    "ReclaimHow",
    "Refused",
    "Scheduler",
    "Start",
    "TaskResult",
    "TeamPolicy",
    "Wait",
    "WorkerPolicy",
    "dominant_share",
]
