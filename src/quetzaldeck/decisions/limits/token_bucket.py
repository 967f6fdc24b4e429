"""Token bucket with a variable rate, which also measures the recent token rate."""

from __future__ import annotations

import math

from quetzaldeck.clock.clock import MS_PER_SECOND

RATE_TIME_CONSTANT_MS = 2_000.0
"""Time constant of the average token rate that is sent to other VMs."""


class TokenBucket:
    """Token bucket that a single prompt may overdraw.

    A prompt of a million tokens is larger than any sensible burst. It is allowed when
    the bucket is not empty; the customer then waits until the bucket is refilled above
    zero.
    """

    def __init__(self, now_ms: float) -> None:
        self._level: float | None = None
        self._updated_ms = now_ms
        self._recent_tokens = 0.0

    def wait_ms(self, tokens_per_s: float, burst_ms: float, now_ms: float) -> float:
        """Refill the bucket for the elapsed time.

        :returns: time until tokens may be consumed; 0: now
        """
        self._refill(tokens_per_s, burst_ms, now_ms)
        if self._level is None or self._level > 0:
            return 0.0
        return (1.0 - self._level) / tokens_per_s * MS_PER_SECOND

    def consume(self, n_tokens: int, now_ms: float) -> None:
        """Take tokens from the bucket and count them in the rate."""
        self._decay(now_ms)
        self._recent_tokens += n_tokens
        if self._level is not None:
            self._level -= n_tokens

    def tokens_per_s(self, now_ms: float) -> float:
        """:returns: average rate of recently consumed tokens"""
        return (
            self._recent_tokens
            * math.exp(-(now_ms - self._updated_ms) / RATE_TIME_CONSTANT_MS)
            / (RATE_TIME_CONSTANT_MS / MS_PER_SECOND)
        )

    def _refill(self, tokens_per_s: float, burst_ms: float, now_ms: float) -> None:
        capacity = tokens_per_s * burst_ms / MS_PER_SECOND
        elapsed_ms = now_ms - self._updated_ms
        self._decay(now_ms)
        if self._level is None:
            self._level = capacity
            return
        gained = tokens_per_s * elapsed_ms / MS_PER_SECOND
        self._level = min(capacity, self._level + gained)

    def _decay(self, now_ms: float) -> None:
        self._recent_tokens *= math.exp(
            -(now_ms - self._updated_ms) / RATE_TIME_CONSTANT_MS
        )
        self._updated_ms = now_ms


__all__ = ("TokenBucket",)
