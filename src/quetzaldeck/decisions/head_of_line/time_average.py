"""Average over time of a value that is sampled irregularly."""

from __future__ import annotations

import math


class TimeAverage:
    """Exponential moving average, weighted by time and not by number of samples.

    :param time_constant_ms: time in which an old sample loses most of its weight
    """

    def __init__(self, time_constant_ms: float) -> None:
        self._time_constant_ms = time_constant_ms
        self._sampled_ms: float | None = None
        self.value = 0.0

    def note(self, sample: float, now_ms: float) -> None:
        """Add a sample, which counts for the time since the last one."""
        if self._sampled_ms is not None:
            elapsed_ms = now_ms - self._sampled_ms
            gain = 1.0 - math.exp(-elapsed_ms / self._time_constant_ms)
            self.value += gain * (sample - self.value)
        self._sampled_ms = now_ms


__all__ = ("TimeAverage",)
