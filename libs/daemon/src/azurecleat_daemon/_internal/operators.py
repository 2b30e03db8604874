"""Operators' actions on the environment document, keys and the instance."""

from __future__ import annotations

import threading
from typing import Any

from azurecleat_coordination import Appender, ApplyResult, Replica
from azurecleat_coordination.records import GiveKey, Promote, RecordEvent
from azurecleat_model import (
    Environment,
    ExecutionStatus,
    KeyHash,
    Team,
    environment_from_value,
    parse_jsonc,
    to_plain,
)
from azurecleat_model.exceptions import AppendUnknownError, DocumentError, LogError

from azurecleat_daemon._internal.membership import Membership
from azurecleat_daemon._internal.partitions import PartitionManager
from azurecleat_daemon._internal.refusal import RefusalError, status_for

COMMIT_DEADLINE_S = 5.0


class Operators:
    """Implements the operators' API."""

    def __init__(
        self,
        replica: Replica,
        appender: Appender,
        membership: Membership,
        partitions: PartitionManager,
    ) -> None:
        self._replica = replica
        self._appender = appender
        self._membership = membership
        self._partitions = partitions
        self._stop_requested = threading.Event()

    @property
    def stop_requested(self) -> threading.Event:
        """Event that is set once an operator has requested a drain and stop."""
        return self._stop_requested

    def drain(self) -> dict[str, Any]:
        """Requests this instance to finish its work, release its partitions and stop."""
        self._stop_requested.set()
        return {"draining": True}

    def show(self) -> dict[str, Any]:
        """Returns the environment document in force and its version."""
        with self._replica.lock:
            configuration = self._replica.fleet.configuration
            return {
                "version": configuration.version,
                "withdrawn": sorted(configuration.withdrawn | self._membership.pending),
                "document": to_plain(configuration.environment),
            }

    def history(self) -> dict[str, Any]:
        """Returns the latest promotions."""
        with self._replica.lock:
            return {"history": self._replica.fleet.configuration.history}

    def check(self, text: str) -> dict[str, Any]:
        """Validates a document on its own, without comparing it to the current state.

        :raises RefusalError: The document is not valid.
        """
        environment = _parse(text)
        return {"valid": True, "teams": len(environment.teams)}

    def trial(self, text: str) -> dict[str, Any]:
        """Returns what a document would change relative to the current state."""
        proposed = _parse(text)
        with self._replica.lock:
            configuration = self._replica.fleet.configuration
            current, version = configuration.environment, configuration.version
        return {
            "base": version,
            "teams": _team_changes(current, proposed),
            "scheduling": _field_changes(current.scheduling, proposed.scheduling),
            "impossible": self._newly_impossible(proposed),
        }

    def promote(self, text: str, base: int) -> dict[str, Any]:
        """Puts a document in force if ``base`` is still the version in force.

        :raises RefusalError: With code ``conflict`` if another version is in force by now.
        """
        environment = _parse(text)
        applied = self._commit(Promote(to_plain(environment), base), "config.promote")
        if not applied.accepted:
            raise RefusalError("conflict", applied.reason, status=409, step="config.promote")
        with self._replica.lock:
            return {"version": self._replica.fleet.configuration.version}

    def add_key(self, team: str, key: KeyHash) -> dict[str, Any]:
        """Adds a key to a team."""
        applied = self._commit(GiveKey(team, key), "key.give")
        if not applied.accepted:
            raise RefusalError("conflict", applied.reason, status=409, step="key.give")
        return {"team": team, "key": key.id}

    def withdraw_key(self, key_id: str) -> dict[str, Any]:
        """Withdraws a key on all instances."""
        return to_plain(self._membership.withdraw(key_id))

    def status(self) -> dict[str, Any]:
        """Returns the state of the fleet as known to this instance."""
        with self._replica.lock:
            fleet = self._replica.fleet
            owners = [to_plain(owner) for owner in fleet.ownership.owners.values()]
            version = fleet.configuration.version
        return {
            "version": version,
            "log_position": self._replica.position,
            "proof": self._membership.last_proof.value,
            "members": [to_plain(m) for m in self._membership.members().values()],
            "owners": owners,
            "serving": sorted(
                p
                for p in self._partitions.local_owners
                if self._partitions.local_owner(p) is not None
            ),
            "teams": self._team_usage(),
            "log": to_plain(self._appender.counts),
        }

    def targets(self) -> dict[str, Any]:
        """Returns the targets of the partitions served here."""
        rows = []
        for partition, local_owner in self._partitions.local_owners.items():
            for session in local_owner.sessions.values():
                rows.append(
                    {
                        "target": session.target.name,
                        "kind": session.target.kind.value,
                        "partition": partition,
                        "leaving": session.target.leaving,
                        "controlled": local_owner.lease.controls(session.target.name),
                        "running": local_owner.running_on(session.target),
                        "probation": local_owner.on_probation(session.target),
                    }
                )
        return {"targets": sorted(rows, key=lambda row: row["target"])}

    def _team_usage(self) -> list[dict[str, Any]]:
        local_owners = self._partitions.local_owners.values()
        return [to_plain(row) for local_owner in local_owners for row in local_owner.team_rows()]

    def _newly_impossible(self, proposed: Environment) -> list[dict[str, Any]]:
        found = []
        for local_owner in self._partitions.local_owners.values():
            for job, refused in local_owner.tasks.impossible_under(proposed):
                found.append({"job": job, "code": refused.code, "detail": refused.detail})
        return found

    def _commit(self, event: RecordEvent, step: str) -> ApplyResult:
        try:
            applied = self._appender.commit(event, COMMIT_DEADLINE_S)
            self._membership.notify_new_entries()
            return applied
        except AppendUnknownError as error:
            raise RefusalError(
                "outcome-unknown",
                "the log's answer was lost; look at the history before trying again",
                ran=ExecutionStatus.UNKNOWN,
                status=status_for("outcome-unknown"),
                step=step,
            ) from error
        except LogError as error:
            raise RefusalError(
                "log-unavailable", str(error), retry_after_s=5.0, step=step
            ) from error


def _parse(text: str) -> Environment:
    try:
        return environment_from_value(parse_jsonc(text, "environment document"))
    except DocumentError as error:
        raise RefusalError("bad-request", str(error), status=400, step="config.check") from None


def _team_changes(current: Environment, proposed: Environment) -> list[dict[str, Any]]:
    before = {team.name: team for team in current.teams}
    after = {team.name: team for team in proposed.teams}
    changes = []
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if old is None or new is None:
            changes.append({"team": name, "change": "added" if old is None else "removed"})
            continue
        fields = _field_changes(old, new)
        share = _entitled_share(new, proposed) - _entitled_share(old, current)
        if fields or abs(share) > 1e-9:
            row = {"team": name, "change": "changed", "fields": fields}
            changes.append({**row, "entitled_share_change": round(share, 4)})
    return changes


def _entitled_share(team: Team, environment: Environment) -> float:
    return team.share / sum(other.share for other in environment.teams)


def _field_changes(old: Any, new: Any) -> dict[str, Any]:
    return {
        field: [to_plain(getattr(old, field)), to_plain(getattr(new, field))]
        for field in old._fields
        if getattr(old, field) != getattr(new, field)
    }
