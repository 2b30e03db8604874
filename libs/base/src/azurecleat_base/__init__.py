"""Value types, errors, clocks, parsing and an HTTP client, without third-party imports."""

from azurecleat_base._internal.clock import Clock, ManualClock, SystemClock
from azurecleat_base._internal.documents import (
    describe,
    parse_json,
    parse_json_object,
    split_address,
)
from azurecleat_base._internal.http_client import (
    AnswerLostError,
    HttpClient,
    HttpResponse,
    IdleBudget,
    NotSentError,
)
from azurecleat_base._internal.resources import (
    NO_QUOTA,
    REQUEST_QUOTA,
    UNLIMITED,
    ZERO,
    Quota,
    Resources,
    task_quota,
)
from azurecleat_base._internal.traffic import TRAFFIC

__all__ = [
    "NO_QUOTA",
    "REQUEST_QUOTA",
    "TRAFFIC",
    "UNLIMITED",
    "ZERO",
    "AnswerLostError",
    "Clock",
    "HttpResponse",
    "IdleBudget",
    "HttpClient",
    "ManualClock",
    "NotSentError",
    "Quota",
    "Resources",
    "SystemClock",
    "describe",
    "parse_json",
    "parse_json_object",
    "split_address",
    "task_quota",
]
