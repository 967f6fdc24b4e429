"""Corrects predictions by how earlier ones came out."""

from __future__ import annotations

from quetzaldeck.decisions.estimation.moving_average import MovingAverage

HALF_LIFE_MS = 30_000.0
MIN_FACTOR = 0.5
MAX_FACTOR = 1.5
"""Bounds: the ratio lags by the wait itself, so that in a growing queue it is that of
predictions made before, and requests that would be in time are refused by it."""
_BASE_MS = 100.0
"""Added to both sides: waits of milliseconds tell nothing of waits of seconds."""


class BiasCorrection:
    """Mean of what happened over mean of what was predicted.

    A model of the queue leaves things out: what ages past a request, what other VMs
    send, memory that does not come free. What it leaves out stays about the same
    from one request to the next, so that the ratio corrects for it.
    """

    def __init__(self) -> None:
        self._predicted = MovingAverage(gain=0.05)
        self._actual = MovingAverage(gain=0.05)

    def learn(self, predicted_ms: float, actual_ms: float, now_ms: float) -> None:
        """Take how a prediction came out."""
        self._predicted.add(predicted_ms, now_ms)
        self._actual.add(actual_ms, now_ms)

    def factor(self, now_ms: float) -> float:
        """:returns: what to multiply a prediction with; 1 without experience"""
        ratio = (self._actual.value + _BASE_MS) / (self._predicted.value + _BASE_MS)
        weight = self._actual.weight(now_ms, HALF_LIFE_MS)
        factor = weight * ratio + (1.0 - weight)
        return min(MAX_FACTOR, max(MIN_FACTOR, factor))


__all__ = ("BiasCorrection",)
