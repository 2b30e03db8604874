"""Encoding and decoding of messages as packed Cap'n Proto."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

import capnp
from azurecleat_coordination import PeerStatus
from azurecleat_model import Quota
from azurecleat_model.exceptions import FrameError

from azurecleat_peers._internal import messages as m

PROTOCOL_VERSION = 1

_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))


class Envelope(NamedTuple):
    """A message with the id that correlates a request with its answer."""

    id: int
    message: m.Message


def encode(envelope: Envelope) -> bytes:
    """Encodes a message."""
    field, value = _union_member(envelope.message)
    frame = _schema.Frame.new_message(id=envelope.id, version=PROTOCOL_VERSION, **{field: value})
    return frame.to_bytes_packed()


def decode(data: bytes) -> Envelope:
    """Decodes a message; a message of an unknown kind becomes :class:`Unsupported`.

    :raises FrameError: The bytes are not a valid frame.
    """
    try:
        frame = _schema.Frame.from_bytes_packed(data)
        return Envelope(frame.id, _decode_message(frame))
    except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
        text = str(error).split("\n")[0][:200]
        raise FrameError(f"frame cannot be decoded: {text}", step="peer.decode") from None


def _union_member(message: m.Message) -> tuple[str, Any]:
    """Returns the name and the value of the union member that represents a message."""
    match message:
        case m.Hello():
            return "hello", message._asdict()
        case m.Status():
            return "status", message._asdict()
        case m.StatusAnswer(status=status):
            return "statusAnswer", {
                "instance": status.instance,
                "incarnation": status.incarnation,
                "logAgeS": status.log_age_s,
                "configurationAt": status.configuration_at,
                "rosterAt": status.roster_at,
                "pending": list(status.pending),
                "vouches": status.vouches,
            }
        case m.Withdraw():
            return "withdraw", {"keyId": message.key_id}
        case m.RunRequest():
            return "runRequest", {
                "partition": message.partition,
                "requestId": message.request_id,
                "team": message.team,
                "body": message.body,
                "deadlineS": message.deadline_s,
                "repeatable": message.repeatable,
                "idempotencyKey": message.idempotency_key,
            }
        case m.RunAnswer():
            return "runAnswer", {"body": message.body}
        case m.Operation():
            return "operation", message._asdict()
        case m.OperationAnswer():
            return "operationAnswer", {"body": message.body}
        case m.RefusalAnswer():
            return "refusal", {
                "code": message.code,
                "detail": message.detail,
                "ran": message.ran,
                "retryAfterS": message.retry_after_s,
            }
        case m.Unsupported():
            return "unsupported", None
        case m.LimitRequest():
            return "askLimit", {
                "source": message.source,
                "destination": message.destination,
                "team": message.team,
                "amount": list(message.amount),
                "waitedS": message.waited_s,
            }
        case m.Goodbye():
            return "goodbye", message._asdict()
        case m.NewEntriesNotification():
            return "news", None
        case m.Acknowledged():
            return "acknowledged", None
        case m.FetchConfiguration():
            return "fetchConfiguration", None
        case m.ConfigurationAnswer():
            return "configuration", message.data


def _decode_message(frame: Any) -> m.Message:
    try:
        kind = frame.which()
    except capnp.KjException:
        return m.Unsupported()
    match str(kind):
        case "hello":
            value = frame.hello
            return m.Hello(value.instance, value.incarnation, value.zone)
        case "status":
            return m.Status(frame.status.instance, frame.status.incarnation)
        case "statusAnswer":
            return m.StatusAnswer(_decode_status(frame.statusAnswer))
        case "withdraw":
            return m.Withdraw(frame.withdraw.keyId)
        case "runRequest":
            return _decode_run_request(frame.runRequest)
        case "runAnswer":
            return m.RunAnswer(bytes(frame.runAnswer.body))
        case "operation":
            op = frame.operation
            return m.Operation(op.partition, op.name, op.team, op.subject, op.body)
        case "operationAnswer":
            return m.OperationAnswer(frame.operationAnswer.body)
        case "refusal":
            value = frame.refusal
            return m.RefusalAnswer(value.code, value.detail, value.ran, value.retryAfterS)
        case "askLimit":
            return _decode_limit_request(frame.askLimit)
        case "goodbye":
            return m.Goodbye(frame.goodbye.instance, frame.goodbye.incarnation)
        case "news":
            return m.NewEntriesNotification()
        case "acknowledged":
            return m.Acknowledged()
        case "fetchConfiguration":
            return m.FetchConfiguration()
        case "configuration":
            return m.ConfigurationAnswer(bytes(frame.configuration))
        case _:
            return m.Unsupported()


def _decode_status(value: Any) -> PeerStatus:
    return PeerStatus(
        value.instance,
        value.incarnation,
        value.logAgeS,
        value.configurationAt,
        value.rosterAt,
        tuple(value.pending),
        value.vouches,
    )


def _decode_run_request(value: Any) -> m.RunRequest:
    return m.RunRequest(
        value.partition,
        value.requestId,
        value.team,
        bytes(value.body),
        value.deadlineS,
        value.repeatable,
        value.idempotencyKey,
    )


def _decode_limit_request(value: Any) -> m.LimitRequest:
    amount = list(value.amount)
    if len(amount) != len(Quota._fields):
        raise ValueError("wrong number of quota dimensions")
    return m.LimitRequest(
        value.source, value.destination, value.team, Quota(*amount), value.waitedS
    )
