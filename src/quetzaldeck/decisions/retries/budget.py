"""Budget of retries as a ratio of admitted work.

Load pattern: an availability zone or many engines fail at once under load. All their
requests fail and are retried while the rest of the fleet already carries the load of
the lost zone. Without a budget the offered work doubles at the worst moment, and the
overload outlasts its cause.

Work is counted in tokens: one retry of a million tokens costs as much as a thousand
retries of short requests.
"""

from __future__ import annotations

import math


class RetryBudget:
    """Decaying account of admitted and retried work.

    A retry is allowed while the retried work is below the ratio of the admitted work
    plus the minimum. It may exceed that bound by one request: otherwise a request
    larger than the minimum could never be retried on an idle fleet.

    :param ratio: maximum ratio of retried to admitted work
    :param min_retry_tokens: work that may always be retried
    :param half_life_ms: time after which admitted and retried work count half
    """

    def __init__(
        self, *, ratio: float, min_retry_tokens: float, half_life_ms: float
    ) -> None:
        self._ratio = ratio
        self._min_retry_tokens = min_retry_tokens
        self._half_life_ms = half_life_ms
        self._admitted = 0.0
        self._retried = 0.0
        self._updated_ms: float | None = None

    @property
    def allowed_tokens(self) -> float:
        """:returns: bound of the retried work, in tokens"""
        return self._ratio * self._admitted + self._min_retry_tokens

    @property
    def retried_tokens(self) -> float:
        """:returns: decayed work of past retries, in tokens"""
        return self._retried

    def deposit(self, n_tokens: int, now_ms: float) -> None:
        """Add the work of an admitted request."""
        self._decay(now_ms)
        self._admitted += n_tokens

    def can_spend(self, now_ms: float) -> bool:
        """:returns: whether the budget allows a retry now"""
        self._decay(now_ms)
        return self._retried < self.allowed_tokens

    def try_spend(self, n_tokens: int, now_ms: float) -> bool:
        """Charge a retry of ``n_tokens`` if the budget allows it.

        :returns: whether it does
        """
        if not self.can_spend(now_ms):
            return False
        self._retried += n_tokens
        return True

    def give_back(self, n_tokens: int, charged_ms: float, now_ms: float) -> None:
        """Take back what is left of a charge for a retry that was never sent."""
        self._decay(now_ms)
        n_left = n_tokens * self._decay_factor(now_ms - charged_ms)
        self._retried = max(0.0, self._retried - n_left)

    def _decay(self, now_ms: float) -> None:
        if self._updated_ms is not None:
            factor = self._decay_factor(now_ms - self._updated_ms)
            self._admitted *= factor
            self._retried *= factor
        self._updated_ms = now_ms

    def _decay_factor(self, elapsed_ms: float) -> float:
        return math.pow(0.5, max(0.0, elapsed_ms) / self._half_life_ms)


__all__ = ("RetryBudget",)
