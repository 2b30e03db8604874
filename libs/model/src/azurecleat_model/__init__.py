"""Values, errors, documents and clocks shared by all azurecleat libraries."""

from azurecleat_model._internal.clock import Clock, ManualClock, SystemClock
from azurecleat_model._internal.documents import (
    Environment,
    KeyHash,
    Scheduling,
    Team,
    environment_from_value,
    generate_key,
    hash_token,
    parse_environment,
    parse_jsonc,
    token_matches,
    validate,
)
from azurecleat_model._internal.plain import to_plain
from azurecleat_model._internal.resources import (
    NO_QUOTA,
    REQUEST_QUOTA,
    UNLIMITED,
    ZERO,
    Quota,
    Resources,
    task_quota,
)
from azurecleat_model._internal.traffic import TRAFFIC
from azurecleat_model._internal.work import (
    Job,
    JobKind,
    JobSpec,
    Name,
    Ran,
    RequestSpec,
    TaskSize,
)

__all__ = [
    "NO_QUOTA",
    "REQUEST_QUOTA",
    "TRAFFIC",
    "UNLIMITED",
    "ZERO",
    "Clock",
    "Environment",
    "Job",
    "JobKind",
    "JobSpec",
    "KeyHash",
    "ManualClock",
    "Name",
    "Quota",
    "Ran",
    "RequestSpec",
    "Resources",
    "Scheduling",
    "SystemClock",
    "TaskSize",
    "Team",
    "environment_from_value",
    "generate_key",
    "hash_token",
    "parse_environment",
    "parse_jsonc",
    "task_quota",
    "to_plain",
    "token_matches",
    "validate",
]
