"""Checks a configuration before it is published, and compares it with the one in force.

Errors are entries that cannot work. Warnings are entries that never take effect, and limits that
contradict each other.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any, NamedTuple

from azurecleat_cluster._internal.owner.advice import TICKET_MARGIN_S
from azurecleat_cluster._internal.values import Configuration, Pool, Queue, Team

SHOWN_KEY_LENGTH = 4
"""Last characters of a key that are shown; the rest is secret."""


class Severity(Enum):
    ERROR = "error"
    WARNING = "warning"


class Finding(NamedTuple):
    """Something wrong with an entry.

    :param path: Where the entry is, such as ``queues.reviews.pool``.
    :param hint: What to change.
    """

    severity: Severity
    path: str
    message: str
    hint: str


def check_configuration(
    configuration: Configuration, in_force: Configuration | None = None
) -> list[Finding]:
    """Returns what is wrong with a configuration, errors first.

    :param in_force: The configuration that it is to replace, if known.
    """
    findings = [
        *_check_version(configuration, in_force),
        *_check_queues(configuration),
        *_check_pools(configuration),
        *_check_keys(configuration),
        *(each for team in configuration.teams.values() for each in _check_team(team)),
    ]
    return sorted(findings, key=lambda finding: finding.severity is not Severity.ERROR)


def _error(path: str, message: str, hint: str) -> Finding:
    return Finding(Severity.ERROR, path, message, hint)


def _warning(path: str, message: str, hint: str) -> Finding:
    return Finding(Severity.WARNING, path, message, hint)


def _check_version(
    configuration: Configuration, in_force: Configuration | None
) -> Iterator[Finding]:
    if in_force is not None and configuration.version <= in_force.version:
        yield _error(
            "version",
            f"{configuration.version} is not above {in_force.version}, which is in force: "
            "instances ignore it",
            f"use {in_force.version + 1} or higher",
        )


def _check_queues(configuration: Configuration) -> Iterator[Finding]:
    names = Counter(queue.name for queue in configuration.queues)
    routes = Counter((queue.host, queue.prefix) for queue in configuration.queues)
    for queue in configuration.queues:
        path = f"queues.{queue.name}"
        if names[queue.name] > 1:
            yield _error(path, "another queue has the same name", "rename one of them")
        if routes[queue.host, queue.prefix] > 1:
            yield _error(
                f"{path}.prefix",
                f"another queue has the same host and prefix {queue.prefix!r}: "
                "one of them never matches",
                "change one prefix",
            )
        if queue.pool not in configuration.pools:
            yield _error(
                f"{path}.pool",
                f"there is no pool {queue.pool!r}: its jobs would wait for ever",
                f"use one of {', '.join(sorted(configuration.pools)) or 'none: add a pool'}",
            )
        elif configuration.pools[queue.pool].standby:
            yield _warning(
                f"{path}.pool",
                f"the targets of pool {queue.pool!r} are switched off: its jobs wait",
                "use another pool, or end the standby",
            )
        yield from _check_queue(queue, path)


def _check_queue(queue: Queue, path: str) -> Iterator[Finding]:
    if not queue.prefix.startswith("/") or not queue.host:
        yield _error(
            f"{path}.prefix",
            f"no request matches host {queue.host!r} and prefix {queue.prefix!r}",
            "a host is not empty, and a prefix begins with /",
        )
    if queue.stretch <= 0 and queue.objective_ms <= 0:
        yield _error(
            f"{path}.stretch",
            "without a stretch and an objective every job is late at once",
            "set one of them",
        )
    if 0 < queue.timeout_ms < queue.objective_ms:
        yield _warning(
            f"{path}.timeout_ms",
            f"callers give up after {queue.timeout_ms:g} ms, before the objective of "
            f"{queue.objective_ms:g} ms",
            "raise the timeout or lower the objective",
        )
    if queue.is_open and queue.priority == 0:
        yield _warning(
            f"{path}.priority",
            "anyone can submit without a key, ahead of all other work",
            "require keys, or use a higher priority number",
        )
    if queue.advice is not None and queue.advice.valid_ms <= TICKET_MARGIN_S * 1000:
        yield _error(
            f"{path}.advice.valid_ms",
            f"a ticket that is valid for {queue.advice.valid_ms:g} ms expires before it is used",
            f"use more than {TICKET_MARGIN_S * 1000:g} ms",
        )


def _check_pools(configuration: Configuration) -> Iterator[Finding]:
    used = {queue.pool for queue in configuration.queues}
    for name in sorted(configuration.pools.keys() - used):
        yield _warning(f"pools.{name}", "no queue uses the pool", "add a queue, or drop the pool")


def _check_keys(configuration: Configuration) -> Iterator[Finding]:
    owners: dict[str, list[str]] = {}
    for team in configuration.teams.values():
        for key in team.keys:
            owners.setdefault(key, []).append(team.name)
    for key, names in sorted(owners.items()):
        if len(names) > 1:
            yield _error(
                f"teams.{names[0]}.keys",
                f"the key {mask(key)} also belongs to {', '.join(names[1:])}: only one gets it",
                "give each account keys of its own",
            )
        if not key:
            yield _error(
                f"teams.{names[0]}.keys", "an empty key matches no request", "remove the key"
            )


def _check_team(team: Team) -> Iterator[Finding]:
    path = f"teams.{team.name}"
    if not team.keys:
        yield _warning(
            f"{path}.keys", "the account can only submit to open queues", "give it a key"
        )
    if team.weight <= 0:
        yield _warning(
            f"{path}.weight",
            "without a weight the account's rate is not limited, and it has no share",
            "set its jobs per second",
        )
    bounded = [name for name, amount in zip(_RESOURCES, team.limit, strict=True) if amount]
    if bounded and not {"cpu", "memory"} <= set(bounded):
        yield _warning(
            f"{path}.limit",
            f"only {' and '.join(bounded)} is limited; 0 means no limit",
            "limit processor and memory, or neither",
        )


_RESOURCES = ("cpu", "memory", "accelerators")


def describe_changes(old: Configuration, new: Configuration) -> list[str]:
    """Returns in words what a configuration changes, one line for each change."""
    old_queues = {queue.name: queue for queue in old.queues}
    new_queues = {queue.name: queue for queue in new.queues}
    return [
        *_describe("queue", old_queues, new_queues),
        *_describe("pool", old.pools, new.pools),
        *_describe("account", old.teams, new.teams),
    ]


def _describe(
    kind: str,
    old: Mapping[str, Queue | Pool | Team],
    new: Mapping[str, Queue | Pool | Team],
) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            yield f"{kind} {name} is removed"
        elif name not in old:
            yield f"{kind} {name} is added"
        else:
            for field, before, after in _changed_fields(old[name], new[name]):
                yield f"{kind} {name}: {_describe_field(field, before, after)}"


def _changed_fields(old: NamedTuple, new: NamedTuple) -> Iterator[tuple[str, Any, Any]]:
    for field, before, after in zip(old._fields, old, new, strict=True):
        if before != after:
            yield field, before, after


def _describe_field(field: str, before: Any, after: Any) -> str:
    if field != "keys":
        return f"{field} changes from {_show(before)} to {_show(after)}"
    withdrawn = ", ".join(sorted(mask(key) for key in before - after))
    added = ", ".join(sorted(mask(key) for key in after - before))
    parts = [f"keys withdrawn: {withdrawn}"] if withdrawn else []
    return "; ".join([*parts, f"keys added: {added}"] if added else parts)


def _show(value: Any) -> str:
    return str(tuple(value)) if isinstance(value, tuple) else repr(value)


def mask(key: str) -> str:
    """Returns a key with all but its last characters hidden."""
    return "..." + key[-SHOWN_KEY_LENGTH:] if len(key) > 2 * SHOWN_KEY_LENGTH else "..."
