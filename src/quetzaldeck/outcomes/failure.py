"""Refusals and failures: the internal form and the JSON body sent to callers."""

from __future__ import annotations

from typing import NamedTuple, TypedDict

from quetzaldeck.outcomes.ran import Ran
from quetzaldeck.outcomes.reason import REASON_INFO, Reason


class Failure(NamedTuple):
    """Why a request got no complete answer.

    :param reason: reason of the refusal or failure
    :param ran: whether the request was run
    :param retry_after_ms: time after which the caller may retry; ``None``: the default
        of the reason
    :param detail: one sentence that describes what failed; ``""``: the description
        of the reason is used
    """

    reason: Reason
    ran: Ran = Ran.NO
    retry_after_ms: float | None = None
    detail: str = ""

    @property
    def effective_retry_after_ms(self) -> float | None:
        """:returns: wait before a retry as sent to the caller; ``None``: no retry"""
        if self.retry_after_ms is not None:
            return self.retry_after_ms
        return REASON_INFO[self.reason].retry_after_ms


class ErrorFields(TypedDict):
    """Fields of the ``error`` object, the same for every refusal and failure."""

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
    """:returns: the JSON body that is sent to the caller for ``failure``"""
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
