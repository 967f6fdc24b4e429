"""Exponentially weighted moving average with the time of its last sample."""

from __future__ import annotations


class MovingAverage:
    """Exponentially weighted mean of samples and of their absolute deviation.

    :param gain: weight of a new sample; the first ``1 / gain`` samples weigh equally
    """

    def __init__(self, gain: float = 0.1) -> None:
        self._gain = gain
        self.value = 0.0
        self.deviation = 0.0
        self.n_samples = 0
        self.updated_ms = 0.0

    def add(self, sample: float, now_ms: float) -> None:
        """Add a sample.

        The first samples are averaged arithmetically, so that the initial value of 0
        has no influence.
        """
        self.n_samples += 1
        gain = max(self._gain, 1.0 / self.n_samples)
        deviation_sample = abs(sample - self.value) if self.n_samples > 1 else 0.0
        self.value += gain * (sample - self.value)
        self.deviation += gain * (deviation_sample - self.deviation)
        self.updated_ms = now_ms

    def weight(self, now_ms: float, half_life_ms: float) -> float:
        """:returns: weight by age: 1 at the last sample, halved each half-life

        0 without samples.
        """
        if not self.n_samples:
            return 0.0
        return float(0.5 ** (max(0.0, now_ms - self.updated_ms) / half_life_ms))


__all__ = ("MovingAverage",)
