"""Names of headers on the platform, and what they say."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

from quetzaldeck.entry.call_head import CallHead, PromptSize
from quetzaldeck.entry.response_head import ReplicaLoad, ResponseHead

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzaldeck.entry.forwarding_parameters import ForwardingParameters, Helper

CALL_ID = "Quetzaldeck-Attempt-Id"
"""Id of what a caller sent once; a caller's own retry has another."""
_KEY = "Quetzaldeck-Key"
_DEADLINE = "Quetzaldeck-Deadline-Ms"
"""A duration, not a time."""
_TOKEN_COUNTS = "Quetzaldeck-Token-Counts"
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
_FAULTY = "At-Server"
WRONG_REPLICA_STATUS = 421

MAX_NUMBER = 1 << 40
"""Largest number in a header: 34 years of milliseconds, a million times the longest
prompt."""

_ONE_CONNECTION = (
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
_SET_BY_VM = (_KEY, _DEADLINE, EXPECTED_REPLICA, _CUSTOMER, _RANK, _HELPERS)


def read_call_head(headers: Mapping[str, str]) -> CallHead:
    """Read the head of a caller's request.

    :raises ValueError: if a number is none; the text names the header
    """
    return CallHead(
        headers.get(CALL_ID, ""),
        headers.get(_KEY),
        _read_number(headers, _DEADLINE),
        _read_prompt(headers),
        headers.get(_LAST_EVENT),
    )


def read_answer_head(status: int, headers: Mapping[str, str]) -> ResponseHead:
    """:returns: the head of a replica's answer; what cannot be read is left out"""
    is_other_replica = status == WRONG_REPLICA_STATUS
    return ResponseHead(
        status,
        headers.get(CALL_ID, ""),
        _SEAL in headers,
        _NOT_RUN in headers or is_other_replica,
        is_other_replica,
        "Content-Encoding" in headers,
        _read_load(headers.get(_LOAD)),
        headers.get(_REPLICA, ""),
        headers.get(_FAULTY, ""),
    )


def build_request_headers(
    headers: Mapping[str, str], terms: ForwardingParameters
) -> CIMultiDict[str]:
    """:returns: the headers that a replica receives for a caller's"""
    sent = _copy_end_to_end(headers)
    for name in _SET_BY_VM:
        sent.popall(name, None)
    sent[_DEADLINE] = str(max(1, int(terms.remaining_ms)))
    sent[EXPECTED_REPLICA] = terms.replica_id
    if terms.customer:
        sent[_CUSTOMER] = terms.customer
    if terms.rank is not None:
        sent[_RANK] = str(terms.rank)
    if terms.helpers:
        sent[_HELPERS] = ",".join(_write_helper(helper) for helper in terms.helpers)
    if terms.last_event_id is not None:
        sent[_LAST_EVENT] = terms.last_event_id
    return sent


def build_answer_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """:returns: the headers that a caller receives for a replica's"""
    return _copy_end_to_end(headers)


def _copy_end_to_end(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """:returns: the headers that concern more than one connection"""
    copied = CIMultiDict(headers)
    named = headers.get("Connection", "").split(",")
    for name in (*_ONE_CONNECTION, *(part.strip() for part in named)):
        copied.popall(name, None)
    return copied


def _write_helper(helper: Helper) -> str:
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
    """:returns: whole numbers between commas

    Numbers that no clock or memory holds are no numbers here: a sum with one of them
    would overflow, or be negative, far from the header that it came from.

    :raises ValueError: if there are not ``n_counts`` of them within the bounds
    """
    counts = tuple(int(part) for part in text.split(","))
    if len(counts) != n_counts or not all(0 <= n <= MAX_NUMBER for n in counts):
        msg = f"not {n_counts} numbers from 0 to {MAX_NUMBER}"
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


def _read_load(text: str | None) -> ReplicaLoad | None:
    try:
        n_running, n_waiting, n_slots = _read_counts(text or "", 3)
    except ValueError:
        return None
    return ReplicaLoad(n_running, n_waiting, n_slots)


__all__ = (
    "CALL_ID",
    "EXPECTED_REPLICA",
    "WRONG_REPLICA_STATUS",
    "build_answer_headers",
    "build_request_headers",
    "read_answer_head",
    "read_call_head",
)
