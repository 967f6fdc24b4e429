"""Builds the HTTP responses that report failures to callers."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from quetzaldeck.http import json_response
from quetzaldeck.outcomes import Ran, Reason, build_error_body

if TYPE_CHECKING:
    from aiohttp import web

    from quetzaldeck.outcomes import Failure

_STATUS_BY_REASON = {
    Reason.MALFORMED_REQUEST: 400,
    Reason.UNKNOWN_CUSTOMER: 401,
    Reason.NOT_FOUND: 404,
    Reason.SLOW_SENDER: 408,
    Reason.BODY_TOO_LARGE: 413,
}
_TIMEOUT_REASONS = frozenset((Reason.DEADLINE_EXCEEDED, Reason.UPSTREAM_SILENT))


def http_status(failure: Failure) -> int:
    """:returns: the status; 503 and 408 only if the request has not run

    Callers retry requests that have not run. One of these statuses for a request that
    may have run would let, say, a booking run twice.
    """
    if failure.ran is not Ran.NO:
        return (
            HTTPStatus.GATEWAY_TIMEOUT
            if failure.reason in _TIMEOUT_REASONS
            else HTTPStatus.BAD_GATEWAY
        )
    return _STATUS_BY_REASON.get(failure.reason, HTTPStatus.SERVICE_UNAVAILABLE)


def error_response(failure: Failure, call_id: str, id_header: str) -> web.Response:
    """:returns: the response that reports a failure to a caller

    :param id_header: header in which responses echo the caller's id
    """
    headers = {id_header: call_id} if call_id else {}
    status = http_status(failure)
    if (
        status == HTTPStatus.SERVICE_UNAVAILABLE
        and failure.effective_retry_after_ms is not None
    ):
        headers["Retry-After"] = f"{failure.effective_retry_after_ms / 1_000:.3f}"
    body = build_error_body(failure, call_id)
    return json_response(body, status=status, headers=headers)


__all__ = ("error_response", "http_status")
