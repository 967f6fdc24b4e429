"""Header names of the platform, and the translation of their values."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

from quetzaldeck.entry.call_head import CallHead, PromptSize
from quetzaldeck.entry.response_head import ReplicaLoad, ResponseHead
from quetzaldeck.http.retry_after import read_retry_after_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from quetzaldeck.entry.forwarding_parameters import ForwardingParameters, Helper
    from quetzaldeck.routing import Replica

    OnHead = Callable[[Replica, ResponseHead], None]
    """Called with the replica that was asked and the head of its response."""

CALL_ID = "Quetzaldeck-Attempt-Id"
"""Id of one attempt of a caller; a retry by the caller has another id."""
_KEY = "Quetzaldeck-Key"
_DEADLINE = "Quetzaldeck-Deadline-Ms"
"""A duration, not a point in time."""
_TOKEN_COUNTS = "Quetzaldeck-Token-Counts"
_PROMPT_PARTS = "Quetzaldeck-Prefix-Hash"
"""The parts of a prompt in order: ``ID:TOKENS`` entries, separated by commas."""
_LENGTH_HINT = "Quetzaldeck-Length-Hint"
_LAST_EVENT = "Last-Event-Id"
EXPECTED_REPLICA = "Quetzaldeck-Expect-Instance"
_CUSTOMER = "Quetzaldeck-Tenant"
_RANK = "Quetzaldeck-Request-Priority"
_HELPERS = "Quetzaldeck-Helpers"
_SEAL = "Quetzaldeck-Response-Seal"
_NOT_RUN = "Quetzaldeck-Not-Executed"
_REPLICA = "Quetzaldeck-Instance-Id"
_LOAD = "Quetzaldeck-Instance-Load"
_RATE_LIMIT = "Server-Limit"
"""Requests a second that the replica takes from all VMs together."""
_COLD = "Quetzaldeck-Cold-Ms"
_LEAVING = "Server-Leaving"
"""``1`` in each response of a replica that leaves."""
_FAULTY_ADDRESS = "At-Server"
WRONG_REPLICA_STATUS = 421
_MIN_ERROR_STATUS = 400
_TURNED_AWAY_STATUSES = (429, 503)
"""Responses whose ``Retry-After`` says for how long the replica wants nothing."""

MAX_NUMBER = 1 << 40
"""Largest number accepted in a header: 34 years in milliseconds, or a million times the
tokens of the longest prompt."""

_HOP_BY_HOP_HEADERS = (
    "Connection",
    "Content-Length",
    "Expect",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
)
_HEADERS_SET_BY_VM = (_KEY, _DEADLINE, EXPECTED_REPLICA, _CUSTOMER, _RANK, _HELPERS)


def ignore_head(replica: Replica, head: ResponseHead) -> None:
    """Act on nothing that a response says; see ``OnHead``."""


def read_call_head(headers: Mapping[str, str]) -> CallHead:
    """Parse the headers of a caller's request.

    :raises ValueError: if a number is not valid; the message names the header
    """
    return CallHead(
        headers.get(CALL_ID, ""),
        headers.get(_KEY),
        _read_number(headers, _DEADLINE),
        _read_prompt(headers),
        headers.get(_LAST_EVENT),
        _read_shared_parts(headers.get(_PROMPT_PARTS, "")),
    )


def read_response_head(status: int, headers: Mapping[str, str]) -> ResponseHead:
    """Parse the status and headers of a replica's response; ignore invalid values."""
    is_other_replica = status == WRONG_REPLICA_STATUS
    states_not_run = _NOT_RUN in headers and status >= _MIN_ERROR_STATUS
    return ResponseHead(
        status,
        headers.get(CALL_ID, ""),
        _SEAL in headers,
        states_not_run or is_other_replica,
        is_other_replica,
        "Content-Encoding" in headers,
        _read_load(headers.get(_LOAD)),
        headers.get(_REPLICA, ""),
        headers.get(_FAULTY_ADDRESS, ""),
        _read_decimal(headers.get(_RATE_LIMIT)),
        _read_decimal(headers.get(_COLD)),
        _read_rest_ms(status, headers),
        headers.get(_LEAVING, "").strip() == "1",
    )


def build_request_headers(
    headers: Mapping[str, str], parameters: ForwardingParameters
) -> CIMultiDict[str]:
    """:returns: the headers of the request that is forwarded to a replica"""
    sent = _copy_end_to_end(headers)
    for name in _HEADERS_SET_BY_VM:
        sent.popall(name, None)
    sent[_DEADLINE] = str(max(1, int(parameters.remaining_ms)))
    sent[EXPECTED_REPLICA] = parameters.replica_id
    if parameters.customer:
        sent[_CUSTOMER] = parameters.customer
    if parameters.rank is not None:
        sent[_RANK] = str(parameters.rank)
    if parameters.helpers:
        sent[_HELPERS] = ",".join(
            _format_helper(helper) for helper in parameters.helpers
        )
    if parameters.last_event_id is not None:
        sent[_LAST_EVENT] = parameters.last_event_id
    return sent


def build_handover_headers(
    headers: Mapping[str, str], remaining_ms: float, last_event_id: str | None
) -> CIMultiDict[str]:
    """Build the headers of a request that another VM runs.

    :param remaining_ms: time left until the caller's deadline
    :param last_event_id: event after which to resume; ``None``: as the caller says
    :returns: the caller's headers, its API key included
    """
    sent = _copy_end_to_end(headers)
    sent[_DEADLINE] = str(max(1, int(remaining_ms)))
    if last_event_id is not None:
        sent[_LAST_EVENT] = last_event_id
    return sent


def build_response_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """:returns: the headers of the response that is forwarded to the caller"""
    return _copy_end_to_end(headers)


def _copy_end_to_end(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """:returns: the headers without those that apply to a single connection"""
    copied = CIMultiDict(headers)
    named = headers.get("Connection", "").split(",")
    for name in (*_HOP_BY_HOP_HEADERS, *(part.strip() for part in named)):
        copied.popall(name, None)
    return copied


def _format_helper(helper: Helper) -> str:
    if not helper.reservation:
        return helper.address
    return f"{helper.address}/{helper.reservation}"


def _read_number(headers: Mapping[str, str], name: str) -> float | None:
    text = headers.get(name)
    if text is None:
        return None
    try:
        (number,) = _read_counts(text, 1)
    except ValueError:
        msg = f"{name} must be a whole number, not {text[:40]!r}"
        raise ValueError(msg) from None
    return float(number)


def _read_counts(text: str, n_counts: int) -> tuple[int, ...]:
    """Parse comma-separated whole numbers.

    Numbers that no time or memory size can reach are rejected here: a sum with one of
    them would overflow or become negative later, far from the faulty header.

    :raises ValueError: unless there are ``n_counts`` of them, all within the bounds
    """
    counts = tuple(int(part) for part in text.split(","))
    if len(counts) != n_counts or not all(0 <= n <= MAX_NUMBER for n in counts):
        msg = f"expected {n_counts} whole numbers from 0 to {MAX_NUMBER}"
        raise ValueError(msg)
    return counts


def _read_prompt(headers: Mapping[str, str]) -> PromptSize | None:
    text = headers.get(_TOKEN_COUNTS)
    if text is None:
        return None
    try:
        n_prompt, n_output = _read_counts(text, 2)
    except ValueError:
        msg = f"{_TOKEN_COUNTS} must be two whole numbers, not {text[:40]!r}"
        raise ValueError(msg) from None
    hint = _read_number(headers, _LENGTH_HINT)
    return PromptSize(n_prompt, n_output, None if hint is None else int(hint))


def _read_shared_parts(text: str) -> tuple[str, ...]:
    """:returns: ids of all parts but the last, which belongs to one request"""
    ids = [entry.partition(":")[0].strip().lower() for entry in text.split(",")]
    return tuple(dict.fromkeys(part for part in ids[:-1] if part))


def _read_load(text: str | None) -> ReplicaLoad | None:
    try:
        n_running, n_waiting, n_slots = _read_counts(text or "", 3)
    except ValueError:
        return None
    return ReplicaLoad(n_running, n_waiting, n_slots)


def _read_rest_ms(status: int, headers: Mapping[str, str]) -> float | None:
    """:returns: the time for which the replica wants nothing; ``None``: it says none"""
    if status not in _TURNED_AWAY_STATUSES:
        return None
    return read_retry_after_ms(headers) or None


def _read_decimal(text: str | None) -> float | None:
    """:returns: the number; ``None`` if absent, negative or out of bounds"""
    try:
        number = float(text or "nan")
    except ValueError:
        return None
    return number if 0 <= number <= MAX_NUMBER else None


__all__ = (
    "CALL_ID",
    "EXPECTED_REPLICA",
    "WRONG_REPLICA_STATUS",
    "build_handover_headers",
    "build_request_headers",
    "build_response_headers",
    "ignore_head",
    "read_call_head",
    "read_response_head",
)
