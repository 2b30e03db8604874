"""Typed messages between entry instances, and their encoding."""

from azurecleat_peers._internal.codec import Framed, decode, encode
from azurecleat_peers._internal.messages import (
    Acknowledged,
    AskLimit,
    ConfigurationAnswer,
    FetchConfiguration,
    Goodbye,
    Hello,
    Message,
    Operation,
    OperationAnswer,
    RefusalAnswer,
    RunAnswer,
    RunRequest,
    Status,
    StatusAnswer,
    Unsupported,
    Withdraw,
)

__all__ = [
    "Acknowledged",
    "AskLimit",
    "ConfigurationAnswer",
    "FetchConfiguration",
    "Framed",
    "Goodbye",
    "Hello",
    "Message",
    "Operation",
    "OperationAnswer",
    "RefusalAnswer",
    "RunAnswer",
    "RunRequest",
    "Status",
    "StatusAnswer",
    "Unsupported",
    "Withdraw",
    "decode",
    "encode",
]
