"""Share of short requests in the arriving work."""

from __future__ import annotations

import math

TIME_CONSTANT_MS = 30_000.0
"""Long enough for some 40 arrivals at one of seven VMs; short enough that the capacity
reserved for short requests is released within a minute after the last one."""


class ShortDemand:
    """Exponentially decaying sums of arriving prompt tokens, of short and all requests.

    :param prior: share assumed before the first arrival
    """

    def __init__(self, prior: float) -> None:
        self._prior = prior
        self._short = 0.0
        self._total = 0.0
        self._last_short_ms: float | None = None
        self._updated_ms = 0.0

    def note(self, n_tokens: int, now_ms: float, *, is_short: bool) -> None:
        """Record the arrival of a prompt."""
        self._decay(now_ms)
        self._total += n_tokens
        if is_short:
            self._short += n_tokens
            self._last_short_ms = now_ms

    def share(self, now_ms: float) -> float:
        """:returns: share of short requests; decays to 0 while none arrive"""
        if self._last_short_ms is None:
            return self._prior if self._total == 0.0 else 0.0
        since_short_ms = now_ms - self._last_short_ms
        return self._short / self._total * math.exp(-since_short_ms / TIME_CONSTANT_MS)

    def _decay(self, now_ms: float) -> None:
        factor = math.exp((self._updated_ms - now_ms) / TIME_CONSTANT_MS)
        self._short *= factor
        self._total *= factor
        self._updated_ms = now_ms


__all__ = ("TIME_CONSTANT_MS", "ShortDemand")
