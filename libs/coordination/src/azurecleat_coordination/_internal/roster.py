"""Section of the fleet state: which instances are members."""

from __future__ import annotations

from typing import Any, NamedTuple

from azurecleat_coordination._internal.records import Evict, Evicted, Join, Leave
from azurecleat_coordination._internal.result import ACCEPTED, ApplyResult, rejected


class Member(NamedTuple):
    """An entry instance known to the log. ``evicted_by`` is empty unless it is being removed."""

    instance: str
    incarnation: str
    address: str
    zone: str
    evicted_by: str = ""


class Roster:
    """Members by instance name. A member counts until its eviction is complete."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._changed_at = 0

    @property
    def members(self) -> dict[str, Member]:
        return dict(self._members)

    @property
    def changed_at(self) -> int:
        return self._changed_at

    def join(self, event: Join, offset: int) -> ApplyResult:
        """Adds a member, or replaces its former incarnation."""
        self._members[event.instance] = Member(*event)
        self._changed_at = offset
        return ACCEPTED

    def leave(self, event: Leave, offset: int) -> ApplyResult:
        """Removes a member that says it stopped."""
        if not self._is_current(event.instance, event.incarnation):
            return rejected("another incarnation joined since")
        del self._members[event.instance]
        self._changed_at = offset
        return ACCEPTED

    def evict(self, event: Evict, offset: int) -> ApplyResult:
        """Marks a member as being removed."""
        if not self._is_current(event.instance, event.incarnation):
            return rejected("another incarnation joined since")
        member = self._members[event.instance]
        self._members[event.instance] = member._replace(evicted_by=event.by)
        self._changed_at = offset
        return ACCEPTED

    def evicted(self, event: Evicted, offset: int) -> ApplyResult:
        """Completes an eviction begun by the same instance."""
        if not self._is_current(event.instance, event.incarnation):
            return rejected("another incarnation joined since")
        if self._members[event.instance].evicted_by != event.by:
            return rejected("the eviction was begun by another instance")
        del self._members[event.instance]
        self._changed_at = offset
        return ACCEPTED

    def dump(self) -> dict[str, Any]:
        """Returns the section as plain JSON values."""
        return {"members": [list(m) for m in self._members.values()], "at": self._changed_at}

    def load(self, value: dict[str, Any]) -> None:
        """Replaces the section by a dumped one, unless the dumped one is older."""
        if value["at"] < self._changed_at:
            return
        members = (Member(*fields) for fields in value["members"])
        self._members = {member.instance: member for member in members}
        self._changed_at = value["at"]

    def _is_current(self, instance: str, incarnation: str) -> bool:
        member = self._members.get(instance)
        return member is not None and member.incarnation == incarnation
