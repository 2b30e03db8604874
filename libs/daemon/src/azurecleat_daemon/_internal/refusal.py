"""Refusals returned to callers."""

from __future__ import annotations

from azurecleat_model import ExecutionStatus
from azurecleat_model.exceptions import AzurecleatError


class RefusalError(AzurecleatError):
    """Raised when work is refused or did not complete.

    :param code: Stable code, also used as a label of the refusal counter.
    :param detail: Human-readable explanation.
    :param ran: Whether the work was run.
    :param status: HTTP status.
    :param retry_after_s: Seconds after which a retry may succeed, or None if it would not help.
    """

    def __init__(
        self,
        code: str,
        detail: str,
        *,
        ran: ExecutionStatus = ExecutionStatus.NOT_RUN,
        status: int = 503,
        retry_after_s: float | None = None,
        step: str = "",
        peer: str = "",
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        self._code = code
        self._ran = ran
        self._status = status
        self._retry_after_s = retry_after_s

    @property
    def code(self) -> str:
        return self._code

    @property
    def detail(self) -> str:
        return self._message

    @property
    def ran(self) -> ExecutionStatus:
        return self._ran

    @property
    def status(self) -> int:
        return self._status

    @property
    def retry_after_s(self) -> float | None:
        return self._retry_after_s


STATUS_BY_CODE = {
    "bad-request": 400,
    "unauthorized": 401,
    "forbidden": 403,
    "not-found": 404,
    "deadline": 504,
    "duplicate": 409,
    "conflict": 409,
    "too-large": 413,
    "never-fits-limit": 422,
    "never-fits-worker": 422,
    "never-fits-fleet": 422,
    "queue-full": 429,
    "overloaded": 429,
    "outcome-unknown": 502,
}


def status_for(code: str) -> int:
    """Returns the HTTP status of a refusal code."""
    return STATUS_BY_CODE.get(code, 503)
