"""How long the platform's callers wait for the next event of a stream.

The platform's protocol states these limits. They are not in the request: the caller of
a stream has a deadline for the whole answer, and disconnects long before it if it has
received no event.
"""

from __future__ import annotations

MIN_IDLE_TIMEOUT_MS = 2_000.0
"""Lower limit of the timeout, however small the latency target is."""

TIMEOUT_PER_TARGET = 4.0
"""Timeout as a multiple of the latency target of the route."""

TIMEOUT_PER_GAP = 8.0
"""Timeout as a multiple of the longest gap between two events that the route allows."""


def stream_idle_timeout_ms(target_ms: float, max_gap_ms: float) -> float:
    """:returns: time without an event after which the caller disconnects

    :param target_ms: latency target of the route; 0: none
    :param max_gap_ms: longest gap between two events of the route; 0: none
    """
    return max(
        MIN_IDLE_TIMEOUT_MS,
        TIMEOUT_PER_TARGET * target_ms,
        TIMEOUT_PER_GAP * max_gap_ms,
    )


__all__ = (
    "MIN_IDLE_TIMEOUT_MS",
    "TIMEOUT_PER_GAP",
    "TIMEOUT_PER_TARGET",
    "stream_idle_timeout_ms",
)
