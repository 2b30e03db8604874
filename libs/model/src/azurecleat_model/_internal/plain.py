"""Conversion of value types to JSON values."""

from __future__ import annotations

from enum import Enum
from typing import Any


def to_plain(value: Any) -> Any:
    """Converts nested ``NamedTuple`` and enum values to dictionaries, lists and scalars."""
    if hasattr(value, "_asdict"):
        return {name: to_plain(getattr(value, name)) for name in value._fields}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {str(key): to_plain(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_plain(item) for item in value]
    return value
