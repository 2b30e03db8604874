"""Part of the fleet state: the instances that are members."""

from __future__ import annotations

from typing import Any, NamedTuple

from azurecleat_coordination._internal.records import Evict, Evicted, Join, Leave
from azurecleat_coordination._internal.result import ACCEPTED, ApplyResult, rejected


class Member(NamedTuple):
    """An instance that has joined. ``evicted_by`` is the instance that evicts it, or empty."""

    instance: str
    incarnation: str
    address: str
    zone: str
    evicted_by: str = ""


class Roster:
    """Members by instance name. A member stays until its eviction is complete."""

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
        """Adds a member, or replaces its previous incarnation."""
        self._members[event.instance] = Member(*event)
        self._changed_at = offset
        return ACCEPTED

    def leave(self, event: Leave, offset: int) -> ApplyResult:
        """Removes a member that has stopped gracefully."""
        if not self._is_current(event.instance, event.incarnation):
            return rejected("the instance left or another incarnation joined")
        del self._members[event.instance]
        self._changed_at = offset
        return ACCEPTED

    def evict(self, event: Evict, offset: int) -> ApplyResult:
        """Begins the eviction of a member."""
        if not self._is_current(event.instance, event.incarnation):
            return rejected("the instance left or another incarnation joined")
        member = self._members[event.instance]
        self._members[event.instance] = member._replace(evicted_by=event.by)
        self._changed_at = offset
        return ACCEPTED

    def evicted(self, event: Evicted, offset: int) -> ApplyResult:
        """Completes an eviction that the same instance began, and removes the member."""
        if not self._is_current(event.instance, event.incarnation):
            return rejected("the instance left or another incarnation joined")
        if self._members[event.instance].evicted_by != event.by:
            return rejected("the eviction was not begun by the instance that completes it")
        del self._members[event.instance]
        self._changed_at = offset
        return ACCEPTED

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {"members": [list(m) for m in self._members.values()], "at": self._changed_at}

    def load(self, value: dict[str, Any]) -> None:
        """Replaces this state by a dumped one; an older one is ignored."""
        if value["at"] < self._changed_at:
            return
        members = (Member(*fields) for fields in value["members"])
        self._members = {member.instance: member for member in members}
        self._changed_at = value["at"]

    def _is_current(self, instance: str, incarnation: str) -> bool:
        member = self._members.get(instance)
        return member is not None and member.incarnation == incarnation
