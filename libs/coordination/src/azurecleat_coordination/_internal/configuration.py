"""Part of the fleet state: the environment document and the keys in force."""

from __future__ import annotations

from typing import Any

from azurecleat_model import (
    Environment,
    KeyHash,
    Team,
    environment_from_value,
    to_plain,
    token_matches,
)
from azurecleat_model.exceptions import DocumentError

from azurecleat_coordination._internal.records import GiveKey, Promote, WithdrawKey
from azurecleat_coordination._internal.result import ACCEPTED, ApplyResult, rejected

MAX_HISTORY_ENTRIES = 20


class Configuration:
    """The document in force, its version, and keys added or withdrawn independently of it.

    Each promotion increments the version by one. A withdrawn key id stays withdrawn even if a
    later document contains it, so that a concurrent or stale promotion cannot restore the key.
    """

    def __init__(self) -> None:
        self._version = 0
        self._changed_at = 0
        self._environment = Environment("empty", ())
        self._added_keys: dict[str, tuple[str, KeyHash]] = {}
        self._withdrawn: set[str] = set()
        self._history: list[dict[str, Any]] = []
        self._keys: dict[str, tuple[str, KeyHash]] = {}
        self._teams: dict[str, Team] = {}

    @property
    def version(self) -> int:
        return self._version

    @property
    def changed_at(self) -> int:
        """Log offset of the last change; the larger one belongs to the newer of two copies."""
        return self._changed_at

    @property
    def environment(self) -> Environment:
        return self._environment

    @property
    def teams(self) -> dict[str, Team]:
        return self._teams

    @property
    def withdrawn(self) -> frozenset[str]:
        return frozenset(self._withdrawn)

    @property
    def history(self) -> list[dict[str, Any]]:
        """The last promotions: version, log offset and number of teams of each."""
        return list(self._history)

    def promote(self, event: Promote, offset: int) -> ApplyResult:
        """Puts a document in force if its base version is still the current one."""
        if event.base != self._version:
            return rejected(f"version {self._version} is in force, not base {event.base}")
        try:
            environment = environment_from_value(event.document)
        except DocumentError as error:
            return rejected(str(error))
        self._environment = environment
        self._version += 1
        self._history.append(
            {"version": self._version, "offset": offset, "teams": len(environment.teams)}
        )
        del self._history[:-MAX_HISTORY_ENTRIES]
        self._added_keys = {i: g for i, g in self._added_keys.items() if environment.team(g[0])}
        self._record_change(offset)
        return ACCEPTED

    def give_key(self, event: GiveKey, offset: int) -> ApplyResult:
        """Adds a key to an existing team; the same key may be added again, without effect."""
        if event.team not in self._teams:
            return rejected(f"no team {event.team!r}")
        if self._keys.get(event.key.id) == (event.team, event.key):
            return ACCEPTED
        if event.key.id in self._withdrawn or event.key.id in self._keys:
            return rejected(f"key id {event.key.id!r} was used before")
        self._added_keys[event.key.id] = (event.team, event.key)
        self._record_change(offset)
        return ACCEPTED

    def withdraw_key(self, event: WithdrawKey, offset: int) -> ApplyResult:
        """Withdraws a key permanently."""
        self._withdrawn.add(event.key_id)
        self._record_change(offset)
        return ACCEPTED

    def authenticate(self, token: str, also_withdrawn: frozenset[str] = frozenset()) -> str | None:
        """Returns the team of a bearer token, or None.

        :param also_withdrawn: Key ids withdrawn through peers and not yet in the log.
        """
        key_id, _, _ = token.partition(":")
        found = self._keys.get(key_id)
        if found is None or key_id in also_withdrawn:
            return None
        team, key = found
        return team if token_matches(token, key) else None

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "version": self._version,
            "changed_at": self._changed_at,
            "environment": to_plain(self._environment),
            "given": {i: [team, to_plain(key)] for i, (team, key) in self._added_keys.items()},
            "withdrawn": sorted(self._withdrawn),
            "history": self._history,
        }

    def load(self, value: dict[str, Any]) -> None:
        """Replaces this state by a dumped one; an older one is ignored."""
        if value["changed_at"] < self._changed_at:
            return
        self._version = value["version"]
        self._environment = environment_from_value(value["environment"])
        self._added_keys = {i: (team, KeyHash(**key)) for i, (team, key) in value["given"].items()}
        self._withdrawn |= set(value["withdrawn"])
        self._history = value["history"]
        self._record_change(value["changed_at"])

    def _record_change(self, offset: int) -> None:
        """Sets the offset of the last change and rebuilds the lookup tables of teams and keys."""
        self._changed_at = offset
        self._teams = {team.name: team for team in self._environment.teams}
        keys = {key.id: (t.name, key) for t in self._environment.teams for key in t.keys}
        keys.update(self._added_keys)
        self._keys = {i: found for i, found in keys.items() if i not in self._withdrawn}
