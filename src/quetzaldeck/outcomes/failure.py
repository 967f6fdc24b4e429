"""A refusal or failure as decisions produce it and callers receive it."""

from __future__ import annotations

from typing import NamedTuple, TypedDict

from quetzaldeck.outcomes.ran import Ran
from quetzaldeck.outcomes.reason import REASON_INFO, Reason


class Failure(NamedTuple):
    """Why a request got no complete answer.

    :param reason: entry of the closed list
    :param ran: whether the request was run
    :param retry_after_ms: when to come back, in milliseconds; ``None``: as the
        reason says
    :param detail: one sentence with the place of the fault
    """

    reason: Reason
    ran: Ran = Ran.NO
    retry_after_ms: float | None = None
    detail: str = ""

    @property
    def effective_retry_after_ms(self) -> float | None:
        """:returns: when the caller is told to come back; ``None``: not at all"""
        if self.retry_after_ms is not None:
            return self.retry_after_ms
        return REASON_INFO[self.reason].retry_after_ms


class ErrorFields(TypedDict):
    """Fields of the one JSON shape of every refusal and failure."""

    type: str
    reason: str
    ran: str
    message: str
    retry_after_ms: int | None
    request_id: str


class ErrorBody(TypedDict):
    """JSON body of every refusal and failure."""

    error: ErrorFields


def build_error_body(failure: Failure, request_id: str) -> ErrorBody:
    """:returns: the JSON body that the caller receives for ``failure``"""
    info = REASON_INFO[failure.reason]
    retry_after = failure.effective_retry_after_ms
    return {
        "error": {
            "type": info.error_type,
            "reason": failure.reason.value,
            "ran": failure.ran.value,
            "message": failure.detail or info.description,
            "retry_after_ms": None if retry_after is None else round(retry_after),
            "request_id": request_id,
        }
    }


__all__ = ("ErrorBody", "ErrorFields", "Failure", "build_error_body")
