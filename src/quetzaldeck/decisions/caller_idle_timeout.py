"""Infers how long the caller of a stream waits for a token before it disconnects.

Load pattern: more requests arrive than engines can start, for example when a group of
engines dies in a burst. A caller allows ten seconds for the whole answer, but
disconnects after two if it has received no token.

If only the deadline counted, a request could stay in the queue after its caller has
disconnected, and an engine would start an answer that nobody receives.

The constants are the limits at which the callers' clients abandon a stream. A client
with other limits still receives a refusal, but too early or too late.
"""

from __future__ import annotations

MIN_IDLE_TIMEOUT_MS = 2_000.0
"""Lower limit of the timeout, however small the time-to-first-token target is."""

TIMEOUT_PER_TARGET = 4.0
"""Timeout as a multiple of the time-to-first-token target."""

TIMEOUT_PER_GAP = 8.0
"""Timeout as a multiple of the maximum gap between two tokens."""

DISCONNECT_MARGIN_MS = 50.0
"""A refusal is sent this long before the caller disconnects: several times the network
delay to the caller, plus the scheduling delay of a busy VM."""


def infer_idle_timeout_ms(target_ms: float, max_gap_ms: float) -> float:
    """:returns: time without a token after which the caller disconnects

    :param target_ms: time-to-first-token target of the route; 0: none
    :param max_gap_ms: maximum gap between two tokens on the route; 0: none
    """
    return max(
        MIN_IDLE_TIMEOUT_MS,
        TIMEOUT_PER_TARGET * target_ms,
        TIMEOUT_PER_GAP * max_gap_ms,
    )


__all__ = (
    "DISCONNECT_MARGIN_MS",
    "MIN_IDLE_TIMEOUT_MS",
    "TIMEOUT_PER_GAP",
    "TIMEOUT_PER_TARGET",
    "infer_idle_timeout_ms",
)
