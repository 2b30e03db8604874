"""The environment document: teams, keys, shares, limits and scheduling settings.

The document is JSON with comments and is validated against the types in this module. Unknown
fields are rejected: otherwise a misspelt limit would mean no limit.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import Annotated, Any, NamedTuple, TypeVar

import jsonc
from azurecleat_base import Quota
from azurecleat_base.exceptions import DocumentError
from pydantic import Field, TypeAdapter, ValidationError

from azurecleat_model._internal.work import Name

T = TypeVar("T")
KEY_BYTES = 24
MAX_PROBLEMS_SHOWN = 8


class KeyHash(NamedTuple):
    """A team's key as stored in the document: the SHA-256 of its token, never the token."""

    id: Name
    sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class Team(NamedTuple):
    """A client team.

    ``share`` is its weight when the teams need more than the fleet has, and ``limit`` the most it
    may have running. ``queue_limit`` is the largest number of waiting tasks. An ``open`` team
    accepts work without a key.
    """

    name: Name
    share: Annotated[float, Field(gt=0, le=1e6)]
    limit: Quota = Quota()
    queue_limit: Annotated[int, Field(ge=1, le=1_000_000)] = 100_000
    keys: tuple[KeyHash, ...] = ()
    open: bool = False


class Scheduling(NamedTuple):
    """Trade-off between short waiting times and exact shares.

    ``waiting_weight`` 0 orders jobs by the usage of their teams alone; larger values give more
    weight to waiting time. ``usage_half_life_s`` is the time in which past usage loses half its
    weight. A job that waits longer than ``reserve_after_s`` may have workers reserved for it.
    """

    waiting_weight: Annotated[float, Field(ge=0, le=1)] = 0.3
    usage_half_life_s: Annotated[float, Field(gt=0, le=86_400)] = 600.0
    reserve_after_s: Annotated[float, Field(gt=0, le=3600)] = 5.0


class Environment(NamedTuple):
    """The document of one environment."""

    environment: Name
    teams: tuple[Team, ...]
    scheduling: Scheduling = Scheduling()

    def team(self, name: str) -> Team | None:
        """Returns a team by its name, or None."""
        return next((team for team in self.teams if team.name == name), None)


def validate(adapter: TypeAdapter[T], value: Any, subject: str) -> T:
    """Validates a value against a type.

    :param subject: Name of the value for the error message.
    :raises DocumentError: The value is invalid; the message lists the invalid fields.
    """
    try:
        return adapter.validate_python(value)
    except ValidationError as error:
        problems = error.errors(include_url=False, include_input=False)
        lines = [f"{'.'.join(map(str, p['loc'])) or '(top)'}: {p['msg']}" for p in problems]
        shown = "; ".join(lines[:MAX_PROBLEMS_SHOWN])
        raise DocumentError(f"{subject} is not valid: {shown}", step="check") from None


def parse_jsonc(text: str, subject: str) -> Any:
    """Parses JSON with comments.

    :param subject: Name of the text for the error message.
    :raises DocumentError: The text is not JSON; the message has the position of the error.
    """
    try:
        return jsonc.loads(text)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"{subject} is not JSON: {error}", step="parse") from None


_ENVIRONMENT_ADAPTER = TypeAdapter(Environment)


def environment_from_value(value: Any) -> Environment:
    """Validates a parsed environment document.

    :raises DocumentError: The document does not match the schema, or a team name or key id
        appears twice.
    """
    document = validate(_ENVIRONMENT_ADAPTER, value, "environment document")
    _reject_duplicates([team.name for team in document.teams], "team")
    _reject_duplicates([key.id for team in document.teams for key in team.keys], "key id")
    return document


def parse_environment(text: str) -> Environment:
    """Parses and validates an environment document.

    :raises DocumentError: The text is not JSON with comments, or the document is invalid.
    """
    return environment_from_value(parse_jsonc(text, "environment document"))


def _reject_duplicates(names: list[str], subject: str) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise DocumentError(f"{subject} {name!r} appears twice", step="check")
        seen.add(name)


def generate_key(key_id: str) -> tuple[str, KeyHash]:
    """Returns a new bearer token and its entry for the environment document."""
    token = f"{key_id}:{secrets.token_urlsafe(KEY_BYTES)}"
    return token, KeyHash(key_id, hash_token(token))


def hash_token(token: str) -> str:
    """Returns the SHA-256 of a bearer token. Tokens are random and need no slow password hash."""
    return hashlib.sha256(token.encode()).hexdigest()


def token_matches(token: str, key: KeyHash) -> bool:
    """Compares a bearer token with a stored hash in constant time."""
    return hmac.compare_digest(hash_token(token), key.sha256)
