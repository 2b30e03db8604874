"""Adapters of the platform around azurecleat: log, instance list, runners and workers."""

from azurecleat_base import (
    AnswerLostError,
    HttpClient,
    HttpResponse,
    NotSentError,
)

from azurecleat_platform._internal.http_log import HttpLog
from azurecleat_platform._internal.http_targets import (
    HttpInstanceList,
    HttpTarget,
    target_from_plain,
)
from azurecleat_platform._internal.types import (
    ControlReply,
    ControlRequest,
    EndedTask,
    InstanceList,
    RunnerClient,
    RunningTask,
    StopMode,
    Target,
    TargetClient,
    TargetKind,
    TaskStart,
    TaskStop,
)

__all__ = [
    "AnswerLostError",
    "ControlReply",
    "ControlRequest",
    "EndedTask",
    "HttpResponse",
    "HttpClient",
    "HttpInstanceList",
    "HttpLog",
    "HttpTarget",
    "InstanceList",
    "NotSentError",
    "RunnerClient",
    "RunningTask",
    "StopMode",
    "Target",
    "TargetClient",
    "TargetKind",
    "TaskStart",
    "TaskStop",
    "target_from_plain",
]
