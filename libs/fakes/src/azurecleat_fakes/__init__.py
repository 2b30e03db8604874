"""Small stand-ins for the platform, used by tests and by the demo only."""

from azurecleat_fakes._internal.faults import Faults
from azurecleat_fakes._internal.http_server import (
    MemoryList,
    StandInServer,
    serve_list,
    serve_log,
    serve_runner,
    serve_worker,
)
from azurecleat_fakes._internal.keyed_log import KeyedMemoryLog
from azurecleat_fakes._internal.memory_log import MemoryLog
from azurecleat_fakes._internal.standin_target import (
    ControlPoint,
    Observation,
    StandInRunner,
    StandInWorker,
)

__all__ = [
    "ControlPoint",
    "Faults",
    "KeyedMemoryLog",
    "MemoryList",
    "MemoryLog",
    "Observation",
    "StandInRunner",
    "StandInServer",
    "StandInWorker",
    "serve_list",
    "serve_log",
    "serve_runner",
    "serve_worker",
]
