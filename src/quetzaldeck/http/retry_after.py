"""The ``Retry-After`` header of a response."""

from __future__ import annotations

import re
from email.utils import parsedate_to_datetime
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_RETRY_AFTER_MS = 3_600_000.0
"""Longest time that is believed: a number with a misplaced digit must not keep an
upstream out of use for days."""

_SECONDS = re.compile(r"(?:\d+\.?\d*|\.\d+)(?:e\+?\d+)?", re.ASCII | re.IGNORECASE)


def read_retry_after_ms(headers: Mapping[str, str]) -> float | None:
    """Parse the header: seconds, which may have a fraction, or an HTTP date (RFC 9110).

    A date counts from the ``Date`` of the same response, so that the clocks of the
    sender and of this VM need not agree.

    :returns: milliseconds; ``None`` if absent or invalid
    """
    text = headers.get("Retry-After", "").strip()
    if _SECONDS.fullmatch(text):
        return min(float(text) * MS_PER_SECOND, MAX_RETRY_AFTER_MS)
    try:
        due = parsedate_to_datetime(text)
        sent = parsedate_to_datetime(headers.get("Date", ""))
        wait_ms = (due - sent).total_seconds() * MS_PER_SECOND
    except (TypeError, ValueError, OverflowError):
        return None
    return min(max(0.0, wait_ms), MAX_RETRY_AFTER_MS)


__all__ = ("MAX_RETRY_AFTER_MS", "read_retry_after_ms")
