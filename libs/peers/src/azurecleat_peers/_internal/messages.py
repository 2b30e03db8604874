"""Typed messages between entry instances."""

from __future__ import annotations

from typing import NamedTuple

from azurecleat_coordination import PeerStatus
from azurecleat_model import Quota


class Hello(NamedTuple):
    """Opens a connection."""

    instance: str
    incarnation: str
    zone: str


class Status(NamedTuple):
    """Asks for a :class:`StatusAnswer`; also the heartbeat."""

    instance: str
    incarnation: str


class StatusAnswer(NamedTuple):
    """What the answering instance knows."""

    status: PeerStatus


class Withdraw(NamedTuple):
    """Spreads a withdrawn key before the log has it."""

    key_id: str


class RunRequest(NamedTuple):
    """Forwards a request to the owner of a partition. ``deadline_s`` is the time left."""

    partition: str
    request_id: str
    team: str
    body: bytes
    deadline_s: float
    repeatable: bool
    idempotency_key: str


class RunAnswer(NamedTuple):
    """The whole answer of a runner."""

    body: bytes


class Operation(NamedTuple):
    """Forwards an operation on jobs: ``submit``, ``cancel``, ``job`` or ``why``."""

    partition: str
    name: str
    team: str
    subject: str
    body: str


class OperationAnswer(NamedTuple):
    """Answer to an operation, as JSON."""

    body: str


class RefusalAnswer(NamedTuple):
    """The work was refused; ``retry_after_s`` is negative if no time can be named."""

    code: str
    detail: str
    ran: str
    retry_after_s: float


class Unsupported(NamedTuple):
    """The receiver does not know the message's kind."""


class LimitRequest(NamedTuple):
    """Asks the owner of ``source`` to transfer part of a team's limit to ``destination``.

    ``waited_s`` is how long the oldest work that lacks it has waited.
    """

    source: str
    destination: str
    team: str
    amount: Quota
    waited_s: float


class Goodbye(NamedTuple):
    """The sender stops and will do nothing more under this incarnation."""

    instance: str
    incarnation: str


class NewEntriesNotification(NamedTuple):
    """Hints that the log has entries that the receiver should read at once."""


class Acknowledged(NamedTuple):
    """The message took effect."""


class FetchConfiguration(NamedTuple):
    """Asks for the configuration in force."""


class ConfigurationAnswer(NamedTuple):
    """A dumped configuration section, as JSON."""

    data: bytes


Message = (
    Hello
    | Status
    | StatusAnswer
    | Withdraw
    | RunRequest
    | RunAnswer
    | Operation
    | OperationAnswer
    | RefusalAnswer
    | Unsupported
    | LimitRequest
    | Goodbye
    | NewEntriesNotification
    | Acknowledged
    | FetchConfiguration
    | ConfigurationAnswer
)
