"""Limits on the size and duration of what callers send."""

from __future__ import annotations

from typing import NamedTuple


class CallerLimits(NamedTuple):
    """Limits that apply to every caller.

    :param max_header_bytes: maximum length of the request line, and of all headers
    :param max_body_bytes: maximum length of a request body
    :param header_timeout_ms: time within which the complete request head must arrive
    :param idle_timeout_ms: time after which a connection without a request is closed
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


__all__ = ("CallerLimits",)
