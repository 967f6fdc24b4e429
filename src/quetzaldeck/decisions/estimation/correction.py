"""Corrects predictions by the bias of earlier ones."""

from __future__ import annotations

from quetzaldeck.decisions.estimation.moving_average import MovingAverage

HALF_LIFE_MS = 30_000.0
MIN_FACTOR = 0.5
MAX_FACTOR = 1.5
"""Bounds of the factor. A wait is measured only when it ends, so in a growing queue
the ratio describes old predictions; an unbounded factor would refuse requests that
could complete in time."""
_BASE_MS = 100.0
"""Added to both means, since waits of milliseconds say nothing about waits of
seconds."""


class BiasCorrection:
    """Ratio of the mean actual time to the mean predicted time.

    The model of the queue omits some effects: requests that overtake by ageing, load
    from other VMs, memory that is not released. These change little from one request to
    the next, so that the ratio corrects for them.
    """

    def __init__(self) -> None:
        self._predicted = MovingAverage(gain=0.05)
        self._actual = MovingAverage(gain=0.05)

    def learn(self, predicted_ms: float, actual_ms: float, now_ms: float) -> None:
        """Record a prediction and the actual time."""
        self._predicted.add(predicted_ms, now_ms)
        self._actual.add(actual_ms, now_ms)

    def factor(self, now_ms: float) -> float:
        """:returns: factor to apply to a prediction; 1 without recent samples"""
        ratio = (self._actual.value + _BASE_MS) / (self._predicted.value + _BASE_MS)
        weight = self._actual.weight(now_ms, HALF_LIFE_MS)
        factor = weight * ratio + (1.0 - weight)
        return min(MAX_FACTOR, max(MIN_FACTOR, factor))


__all__ = ("BiasCorrection",)
