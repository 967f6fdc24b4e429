"""Times after which a silent attempt is checked."""

from __future__ import annotations

FIRST_BYTE_TARGET_FACTOR = 2.0
"""Multiple of the time-to-first-token target after which a silent attempt is checked.
A later first token is late by more than its target."""

MIN_FIRST_BYTE_THRESHOLD_MS = 500.0
"""Minimum threshold for the first byte; below it, busy upstreams look silent."""

GAP_FACTOR = 4.0
"""Multiple of the accepted gap between tokens after which a stream is taken to have
stalled and may continue elsewhere; callers disconnect after eight times the gap."""

MIN_GAP_THRESHOLD_MS = 1_000.0
"""Minimum gap that counts as a stall. An engine that prefills a long prompt, or waits
for a helper that died, pauses for less."""

SILENCE_RECHECK_MS = 100.0
"""Interval at which a silent attempt is rechecked: a fifth of the minimum threshold, so
that it adds little delay when an upstream hangs."""


def first_byte_threshold_ms(target_ms: float) -> float:
    """:returns: silence before the first byte after which an attempt is checked"""
    return max(MIN_FIRST_BYTE_THRESHOLD_MS, FIRST_BYTE_TARGET_FACTOR * target_ms)


def stream_gap_threshold_ms(max_gap_ms: float) -> float | None:
    """:returns: gap in a stream after which its attempt is checked; ``None``: never

    :param max_gap_ms: accepted gap between two tokens; 0: none is stated
    """
    return max(MIN_GAP_THRESHOLD_MS, GAP_FACTOR * max_gap_ms) if max_gap_ms else None


__all__ = (
    "MIN_FIRST_BYTE_THRESHOLD_MS",
    "SILENCE_RECHECK_MS",
    "first_byte_threshold_ms",
    "stream_gap_threshold_ms",
)
