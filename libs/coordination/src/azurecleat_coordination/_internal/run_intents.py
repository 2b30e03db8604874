"""Part of the fleet state: requests that are not repeatable and whose single run is reserved."""

from __future__ import annotations

from typing import Any

from azurecleat_coordination._internal.records import Intend, ReleaseIntent
from azurecleat_coordination._internal.result import ACCEPTED, ApplyResult, rejected

INTENT_LIFETIME_S = 24 * 3600.0
"""Least time for which a key is kept; a retry within it is rejected as already submitted."""


class Intents:
    """Keys of requests whose single run is reserved, with the wall-clock time of the record."""

    def __init__(self) -> None:
        self._keys: dict[str, float] = {}

    def __contains__(self, key: str) -> bool:
        return key in self._keys

    def __len__(self) -> int:
        return len(self._keys)

    def intend(self, event: Intend) -> ApplyResult:
        """Reserves the run of a request; rejects the key if it is reserved already."""
        self._expire(event.at)
        if event.key in self._keys:
            return rejected("the request was submitted before")
        self._keys[event.key] = event.at
        return ACCEPTED

    def release(self, event: ReleaseIntent) -> ApplyResult:
        """Removes the key of a request that did not run, so that its caller may retry."""
        self._keys.pop(event.key, None)
        return ACCEPTED

    def dump(self) -> list[Any]:
        """Returns the state as JSON values."""
        return [[key, at] for key, at in self._keys.items()]

    def load(self, value: list[Any]) -> None:
        """Replaces this state by a dumped one."""
        self._keys = {key: at for key, at in value}

    def _expire(self, now: float) -> None:
        # Keys are in order of insertion, so the expired ones come first. At most two are removed
        # per insertion.
        for key, at in list(self._keys.items())[:2]:
            if at < now - INTENT_LIFETIME_S:
                del self._keys[key]
