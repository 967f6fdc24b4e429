"""Reads deadline, priority and idempotency key from the headers of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.outcomes import Failure, Reason

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzaldeck.bundle import CustomerSpec

DEADLINE_HEADER = "X-Deadline-Ms"
PRIORITY_HEADER = "X-Priority"
KEY_HEADER = "Idempotency-Key"
MAX_DEADLINE_MS = 24 * 3_600_000
"""One day: no answer takes that long, and much larger numbers may cause overflows."""
MAX_PRIORITY = 9
"""Lowest priority that callers may set."""
MAX_DIGITS = 12
"""Maximum length of a number that is parsed; 12 digits of milliseconds are 31 years."""
MAX_KEY_LENGTH = 200
"""In characters; several times the length of a UUID with a prefix."""


def read_deadline_ms(headers: Mapping[str, str], default_ms: int) -> int:
    """:returns: time that the caller allows for the request, in milliseconds

    :raises RequestError: if the header is not a number in range
    """
    return _read_int(headers, DEADLINE_HEADER, 1, MAX_DEADLINE_MS, default_ms)


def read_priority(headers: Mapping[str, str], customer: CustomerSpec) -> int:
    """:returns: priority of the request; callers may lower it, but not raise it

    :raises RequestError: if the header is not a number in range
    """
    requested = _read_int(headers, PRIORITY_HEADER, 0, MAX_PRIORITY, customer.priority)
    return max(requested, customer.priority)


def read_idempotency_key(headers: Mapping[str, str]) -> str:
    """:returns: the idempotency key, ``""`` if there is none

    :raises RequestError: if the key is too long
    """
    key = headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH:
        detail = f"{KEY_HEADER} is longer than {MAX_KEY_LENGTH} characters"
        raise RequestError(Failure(Reason.MALFORMED_REQUEST, detail=detail))
    return key


def _read_int(
    headers: Mapping[str, str], name: str, minimum: int, maximum: int, default: int
) -> int:
    text = headers.get(name)
    if text is None:
        return default
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    if not is_number or not minimum <= int(text) <= maximum:
        detail = f"{name} must be an integer from {minimum} to {maximum}"
        raise RequestError(Failure(Reason.MALFORMED_REQUEST, detail=detail))
    return int(text)


__all__ = (
    "DEADLINE_HEADER",
    "KEY_HEADER",
    "MAX_DEADLINE_MS",
    "PRIORITY_HEADER",
    "read_deadline_ms",
    "read_idempotency_key",
    "read_priority",
)
