"""Scheduling decisions: queueing, placement, preemption. Does no I/O."""

from azurecleat_policy._internal.naive_scheduler import NaiveScheduler
from azurecleat_policy._internal.ranking import dominant_share
from azurecleat_policy._internal.scheduler import Scheduler
from azurecleat_policy._internal.scheduling_state import AdoptedTask
from azurecleat_policy._internal.types import (
    AttemptEnd,
    Decision,
    Expire,
    LimitNeed,
    Reclaim,
    ReclaimMethod,
    Refused,
    Start,
    TaskResult,
    TeamPolicy,
    Wait,
    WorkerPolicy,
)

__all__ = [
    "AdoptedTask",
    "Decision",
    "AttemptEnd",
    "Expire",
    "LimitNeed",
    "NaiveScheduler",
    "Reclaim",
    "ReclaimMethod",
    "Refused",
    "Scheduler",
    "Start",
    "TaskResult",
    "TeamPolicy",
    "Wait",
    "WorkerPolicy",
    "dominant_share",
]
