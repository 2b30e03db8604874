"""What operators do in a world."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from azurecleat_daemon import RefusalError
from azurecleat_model import Environment, Quota, Team, generate_key, to_plain

from azurecleat_bench._internal.faults.callers import OPEN_TEAM, Key
from azurecleat_bench._internal.faults.history import LimitChange, Withdrawn

LIMITS = {"crew": (6, 3), "telco": (4, 2)}
"""Tasks and requests that a team may have running at first."""


if TYPE_CHECKING:
    from azurecleat_bench._internal.faults.world import World


class OperatorActions:
    """Gives and withdraws keys and promotes documents through random instances."""

    def __init__(self, world: World) -> None:
        self._world = world

    def give_key(self) -> None:
        """Gives a team another key."""
        self._world.count += 1
        team = self._world.rng.choice(sorted(LIMITS))
        token, key = generate_key(f"key-{self._world.count}")
        node = self._world.live_node()
        if node is None:
            return
        assert node.core is not None
        try:
            node.core.operators.add_key(team, key)
        except RefusalError:
            return
        self._world.keys.append(Key(team, key.id, token))

    def withdraw_key(self) -> None:
        """Withdraws a key and records what the operator was told."""
        node = self._world.live_node()
        withdrawn = {w.key_id for w in self._world.history.withdrawn}
        left = [key for key in self._world.keys if key.key_id not in withdrawn]
        if node is None or len(left) < 3:
            return
        key = self._world.rng.choice(left)
        assert node.core is not None
        result = node.core.membership.withdraw(key.key_id)
        if not result.in_force:
            return
        at = self._world.clock.monotonic()
        holders = (node.name, *result.confirmed)
        self._world.history.withdrawn.append(Withdrawn(at, key.key_id, result.recorded, holders))

    def raise_limit(self) -> None:
        """Promotes a document with some limits raised."""
        node = self._world.live_node()
        if node is None:
            return
        assert node.core is not None
        shown = node.core.operators.show()
        limited = [t for t in shown["document"]["teams"] if t["name"] in LIMITS]
        for team in limited:
            if self._world.rng.random() < 0.5:
                team["limit"]["tasks"] += 1
                team["limit"]["requests"] += 1
        # The larger limit may be used as soon as it is in the log, before the answer is here.
        for team in limited:
            self._note_limit(team["name"], team["limit"]["tasks"], team["limit"]["requests"])
        try:
            node.core.operators.promote(json.dumps(shown["document"]), shown["version"])
        except RefusalError:
            return

    def _note_limit(self, team: str, tasks: int, requests: int) -> None:
        former = [c for c in self._world.history.limits if c.team == team]
        tasks = max([tasks, *(c.tasks for c in former)])
        requests = max([requests, *(c.requests for c in former)])
        at = self._world.clock.monotonic()
        self._world.history.limits.append(LimitChange(at, team, tasks, requests))

    def promote(self) -> None:
        """Promotes the first document, through the first instance."""
        teams = []
        for name, (tasks, requests) in LIMITS.items():
            token, key = generate_key(f"{name}-first")
            self._world.keys.append(Key(name, key.id, token))
            limit = Quota(tasks=tasks, requests=requests)
            teams.append(Team(name, 1.0, limit, keys=(key,)))
            self._note_limit(name, tasks, requests)
        teams.append(Team(OPEN_TEAM, 1.0, open=True))
        node = next(iter(self._world.nodes.values()))
        assert node.core is not None
        document = json.dumps(to_plain(Environment("faults", tuple(teams))))
        node.core.operators.promote(document, 0)
