"""Simulated operators."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from azurecleat_daemon import RefusalError
from azurecleat_model import Environment, Quota, Team, generate_key, to_plain

from azurecleat_bench._internal.faults.callers import OPEN_TEAM, CallerKey
from azurecleat_bench._internal.faults.history import LimitChange, WithdrawnKey

INITIAL_LIMITS = {"crew": (6, 3), "telco": (4, 2)}
"""Running tasks and running requests that the first document allows each team."""


if TYPE_CHECKING:
    from azurecleat_bench._internal.faults.simulation import Simulation


class OperatorActions:
    """Gives and withdraws keys and promotes documents through random instances."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation

    def give_key(self) -> None:
        """Gives a random team another key."""
        self._simulation.counter += 1
        team = self._simulation.rng.choice(sorted(INITIAL_LIMITS))
        token, key = generate_key(f"key-{self._simulation.counter}")
        node = self._simulation.random_live_node()
        if node is None:
            return
        assert node.components is not None
        try:
            node.components.operators.add_key(team, key)
        except RefusalError:
            return
        self._simulation.keys.append(CallerKey(team, key.id, token))

    def withdraw_key(self) -> None:
        """Withdraws a random key and, if that is reported as in force, records it.

        At least two keys stay in use.
        """
        node = self._simulation.random_live_node()
        withdrawn = {w.key_id for w in self._simulation.history.withdrawn}
        left = [key for key in self._simulation.keys if key.key_id not in withdrawn]
        if node is None or len(left) < 3:
            return
        key = self._simulation.rng.choice(left)
        assert node.components is not None
        result = node.components.membership.withdraw(key.key_id)
        if not result.in_force:
            return
        at = self._simulation.clock.monotonic()
        known_by = (node.name, *result.confirmed)
        self._simulation.history.withdrawn.append(
            WithdrawnKey(at, key.key_id, result.recorded, known_by)
        )

    def raise_limit(self) -> None:
        """Promotes a document that raises the limits of some teams by one."""
        node = self._simulation.random_live_node()
        if node is None:
            return
        assert node.components is not None
        shown = node.components.operators.show()
        limited = [t for t in shown["document"]["teams"] if t["name"] in INITIAL_LIMITS]
        for team in limited:
            if self._simulation.rng.random() < 0.5:
                team["limit"]["tasks"] += 1
                team["limit"]["requests"] += 1
        # The higher limit may be used once it is in the log, before the promotion is answered.
        for team in limited:
            self._record_limit(team["name"], team["limit"]["tasks"], team["limit"]["requests"])
        try:
            node.components.operators.promote(json.dumps(shown["document"]), shown["version"])
        except RefusalError:
            return

    def _record_limit(self, team: str, tasks: int, requests: int) -> None:
        previous = [c for c in self._simulation.history.limits if c.team == team]
        tasks = max([tasks, *(c.tasks for c in previous)])
        requests = max([requests, *(c.requests for c in previous)])
        at = self._simulation.clock.monotonic()
        self._simulation.history.limits.append(LimitChange(at, team, tasks, requests))

    def promote(self) -> None:
        """Promotes the initial document through the first instance."""
        teams = []
        for name, (tasks, requests) in INITIAL_LIMITS.items():
            token, key = generate_key(f"{name}-first")
            self._simulation.keys.append(CallerKey(name, key.id, token))
            limit = Quota(tasks=tasks, requests=requests)
            teams.append(Team(name, 1.0, limit, keys=(key,)))
            self._record_limit(name, tasks, requests)
        teams.append(Team(OPEN_TEAM, 1.0, open=True))
        node = next(iter(self._simulation.nodes.values()))
        assert node.components is not None
        document = json.dumps(to_plain(Environment("faults", tuple(teams))))
        node.components.operators.promote(document, 0)
