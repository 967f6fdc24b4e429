"""Estimates the rate at which a queue drains while it is backlogged."""

from __future__ import annotations

import math

TIME_CONSTANT_MS = 20_000.0
"""Time constant of the average. Equals a few prefills of long prompts; with a shorter
one, each such prefill would look like a stall."""

PRIOR_WEIGHT_MS = 500.0
"""Weight of the prior, as the time of a backlog with the same weight. The prior is the
dispatch rate with and without a backlog; it prevails until a backlog is measured."""

_MIN_OBSERVED_MS = 1_000.0

_MIN_BACKLOG_AGE_MS = 5.0
"""Age of a backlog below which dispatched requests did not really wait. Counting them
would add tokens but hardly any time, and the result would follow the arrival rate."""


class DrainRate:
    """Tokens dispatched per millisecond of backlog, as a decaying average.

    The dispatch rate without a backlog is only the arrival rate, a lower bound that
    serves as the prior. While nothing can be dispatched, the rate falls and the
    predicted wait grows without any event.
    """

    def __init__(self, now_ms: float) -> None:
        self._started_ms = now_ms
        self._updated_ms = now_ms
        self._is_backlogged = False
        self._backlog_started_ms = now_ms
        self._backlog_tokens = 0.0
        self._backlog_elapsed_ms = 0.0
        self._all_tokens = 0.0

    def note_dispatched(self, n_tokens: int, now_ms: float) -> None:
        """Count tokens that left the queue for an upstream."""
        self._advance(now_ms)
        self._all_tokens += n_tokens
        backlog_ms = now_ms - self._backlog_started_ms
        if self._is_backlogged and backlog_ms >= _MIN_BACKLOG_AGE_MS:
            self._backlog_tokens += n_tokens

    def note_backlog(self, now_ms: float, *, is_backlogged: bool) -> None:
        """Record whether requests wait from now on."""
        self._advance(now_ms)
        if is_backlogged and not self._is_backlogged:
            self._backlog_started_ms = now_ms
        self._is_backlogged = is_backlogged

    def tokens_per_ms(self, now_ms: float) -> float:
        """:returns: the drain rate, 0 only if nothing was ever dispatched"""
        self._advance(now_ms)
        observed_ms = min(TIME_CONSTANT_MS, now_ms - self._started_ms)
        prior_rate = self._all_tokens / max(_MIN_OBSERVED_MS, observed_ms)
        return (self._backlog_tokens + prior_rate * PRIOR_WEIGHT_MS) / (
            self._backlog_elapsed_ms + PRIOR_WEIGHT_MS
        )

    def _advance(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        factor = math.exp(-elapsed_ms / TIME_CONSTANT_MS)
        self._backlog_tokens *= factor
        self._all_tokens *= factor
        self._backlog_elapsed_ms *= factor
        if self._is_backlogged:
            self._backlog_elapsed_ms += TIME_CONSTANT_MS * (1.0 - factor)
        self._updated_ms = now_ms


__all__ = ("TIME_CONSTANT_MS", "DrainRate")
