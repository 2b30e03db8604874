"""HTTP client of the platform's log."""

from __future__ import annotations

import base64
from typing import Any

from azurecleat_base import (
    AnswerLostError,
    HttpClient,
    HttpResponse,
    NotSentError,
    describe,
    parse_json_object,
)
from azurecleat_coordination import ReadResult
from azurecleat_model.exceptions import (
    AppendUnknownError,
    DocumentError,
    LogUnavailableError,
    OffsetForgottenError,
)

STATUS_OK = 200
STATUS_GONE = 410
STATUS_UNAVAILABLE = 503

DECODE_ERRORS = (DocumentError, KeyError, TypeError, ValueError, OverflowError)
"""Exceptions that decoding a malformed answer may raise."""


class HttpLog:
    """The platform's log, accessed over HTTP.

    :param address: ``host:port`` of the log.
    :param timeout_s: Seconds to wait for an answer.
    """

    def __init__(self, address: str, timeout_s: float = 2.0) -> None:
        self._client = HttpClient(address)
        self._timeout_s = timeout_s

    def append(self, data: bytes) -> int:
        """Appends one entry and returns its offset.

        :raises LogUnavailableError: The entry was not appended.
        :raises AppendUnknownError: The entry may have been appended.
        """
        try:
            response = self._client.call("POST", "/append", data, timeout_s=self._timeout_s)
        except NotSentError as error:
            raise self._unavailable("log.append", error) from error
        except AnswerLostError as error:
            raise AppendUnknownError(
                f"no complete answer to an append was received: {error}",
                step="log.append",
                peer=self._client.address,
            ) from error
        if response.status == STATUS_UNAVAILABLE:
            raise self._unavailable("log.append", "the log refused the append")
        if response.status != STATUS_OK:
            raise AppendUnknownError(
                f"unexpected status {response.status}",
                step="log.append",
                peer=self._client.address,
            )
        try:
            return int(_parse(response)["offset"])
        except DECODE_ERRORS as error:
            raise AppendUnknownError(
                describe(error), step="log.append", peer=self._client.address
            ) from None

    def read(self, offset: int, limit: int) -> ReadResult:
        """Reads up to ``limit`` entries, starting at an offset.

        :raises OffsetForgottenError: The entry at the offset is no longer retained.
        :raises LogUnavailableError: The log could not be read.
        """
        response = self._get(f"/read?offset={offset}&limit={limit}")
        if response.status == STATUS_GONE:
            raise OffsetForgottenError(
                f"offset {offset} is no longer retained",
                step="log.read",
                peer=self._client.address,
            )
        try:
            value = _parse(response)
            entries = tuple((int(at), base64.b64decode(data)) for at, data in value["entries"])
            return ReadResult(entries, int(value["tail"]))
        except DECODE_ERRORS as error:
            raise self._unavailable("log.read", describe(error)) from None

    def first_offset(self) -> int:
        """Returns the oldest offset that is still retained."""
        try:
            return int(_parse(self._get("/first"))["first"])
        except DECODE_ERRORS as error:
            raise self._unavailable("log.read", describe(error)) from None

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()

    def _get(self, path: str) -> HttpResponse:
        try:
            response = self._client.call("GET", path, timeout_s=self._timeout_s)
        except (NotSentError, AnswerLostError) as error:
            raise self._unavailable("log.read", error) from error
        if response.status not in (STATUS_OK, STATUS_GONE):
            raise self._unavailable("log.read", f"status {response.status}")
        return response

    def _unavailable(self, step: str, error: object) -> LogUnavailableError:
        return LogUnavailableError(
            f"the log is not available: {error}", step=step, peer=self._client.address
        )


def _parse(response: HttpResponse) -> dict[str, Any]:
    return parse_json_object(response.body, "answer")
