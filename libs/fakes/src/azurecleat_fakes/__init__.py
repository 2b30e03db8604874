"""In-memory fakes of the platform's services, for tests, benchmarks and the standalone mode."""

from azurecleat_fakes._internal.fake_target import (
    FakeRunner,
    FakeWorker,
    Observation,
    TargetLease,
)
from azurecleat_fakes._internal.faults import Faults
from azurecleat_fakes._internal.http_server import (
    FakeServer,
    MemoryInstanceList,
    serve_instance_list,
    serve_log,
    serve_runner,
    serve_worker,
)
from azurecleat_fakes._internal.keyed_log import KeyedMemoryLog
from azurecleat_fakes._internal.memory_log import MemoryLog

__all__ = [
    "TargetLease",
    "Faults",
    "KeyedMemoryLog",
    "MemoryInstanceList",
    "MemoryLog",
    "Observation",
    "FakeRunner",
    "FakeServer",
    "FakeWorker",
    "serve_instance_list",
    "serve_log",
    "serve_runner",
    "serve_worker",
]
