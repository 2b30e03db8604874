"""Typed messages between entry instances."""

from __future__ import annotations

from typing import NamedTuple

from azurecleat_coordination import PeerStatus
from azurecleat_model import Quota


class Hello(NamedTuple):
    """First message on a connection; identifies the sender."""

    instance: str
    incarnation: str
    zone: str


class Status(NamedTuple):
    """Requests a :class:`StatusAnswer`; also serves as the heartbeat."""

    instance: str
    incarnation: str


class StatusAnswer(NamedTuple):
    """The status of the answering instance."""

    status: PeerStatus


class Withdraw(NamedTuple):
    """Notifies of a withdrawn key before its withdrawal is in the log."""

    key_id: str


class RunRequest(NamedTuple):
    """Forwards a request to the owner of a partition.

    ``deadline_s`` is the number of seconds until its deadline.
    """

    partition: str
    request_id: str
    team: str
    body: bytes
    deadline_s: float
    repeatable: bool
    idempotency_key: str


class RunAnswer(NamedTuple):
    """The complete answer of a runner."""

    body: bytes


class Operation(NamedTuple):
    """Forwards an operation on a job: ``submit``, ``cancel``, ``job`` or ``why``.

    ``name`` is the operation and ``subject`` the id of the job. ``body`` is the specification of
    the job as JSON for ``submit``, otherwise empty.
    """

    partition: str
    name: str
    team: str
    subject: str
    body: str


class OperationAnswer(NamedTuple):
    """The result of an operation, as JSON."""

    body: str


class RefusalAnswer(NamedTuple):
    """The work was refused; ``retry_after_s`` is negative if no retry time is known."""

    code: str
    detail: str
    ran: str
    retry_after_s: float


class Unsupported(NamedTuple):
    """The receiver does not know this kind of message."""


class LimitRequest(NamedTuple):
    """Requests the owner of ``source`` to transfer part of a team's limit to ``destination``.

    ``waited_s`` is how long the oldest work that lacks ``amount`` has waited.
    """

    source: str
    destination: str
    team: str
    amount: Quota
    waited_s: float


class Goodbye(NamedTuple):
    """The sender is stopping and does no more work under this incarnation."""

    instance: str
    incarnation: str


class NewEntriesNotification(NamedTuple):
    """Notifies that the log has new entries, so that the receiver reads them at once."""


class Acknowledged(NamedTuple):
    """The message was processed."""


class FetchConfiguration(NamedTuple):
    """Requests the configuration in force."""


class ConfigurationAnswer(NamedTuple):
    """The serialized configuration section, as JSON."""

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
