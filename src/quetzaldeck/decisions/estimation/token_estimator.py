"""Corrects estimates of prompt tokens by the counts that engines report."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.estimation.moving_average import MovingAverage

if TYPE_CHECKING:
    from quetzaldeck.decisions.request import Request

MAX_KEYS = 4_096
"""Pairs of customer and model that are kept; the least recently used is evicted. Each
takes a few hundred bytes, so that 9,200 customers do not grow the process."""

MIN_SAMPLES = 3
"""Prompts of a customer after which its own mean is used instead of the overall one."""
MIN_RATIO = 0.1
MAX_RATIO = 10.0
"""Bounds of a single sample. An engine that reports a wrong count, or a prompt of
images, must not distort the ratio of a customer's texts by more."""


class EstimatorKey(NamedTuple):
    """Customer and model, whose prompts have a similar ratio."""

    customer: str
    model: str


class TokenEstimator:
    """Learns the ratio of actual to estimated prompt tokens by customer and model.

    Load pattern: prompts in Nepali, French legal prose, tables or code have two to five
    characters per token. A single ratio is wrong by a factor of two for some
    customers: their prompts get the wrong length class, too little memory is reserved,
    and their waits are mispredicted.

    The correction is the mean ratio plus the mean deviation, deliberately a little
    high: too small a reservation stalls an engine, too large a one wastes a little
    memory.
    """

    def __init__(self) -> None:
        self._averages: OrderedDict[EstimatorKey, MovingAverage] = OrderedDict()
        self._overall = MovingAverage(gain=0.02)
        self._relative_error = MovingAverage(gain=0.02)

    @property
    def mean_error(self) -> float:
        """:returns: mean relative error of recent corrected estimates"""
        return self._relative_error.value

    def correct(self, request: Request) -> Request:
        """:returns: the request with corrected prompt tokens"""
        if not request.model:
            return request
        ratio = self._ratio(EstimatorKey(request.customer, request.model))
        n_tokens = max(1, round(request.n_prompt_tokens * ratio))
        return request._replace(n_prompt_tokens=n_tokens)

    def learn(
        self, request: Request, n_estimated: int, n_actual: int, now_ms: float
    ) -> None:
        """Record the token count that an engine reported.

        :param request: the request with corrected prompt tokens
        :param n_estimated: its prompt tokens before the correction
        :param n_actual: its prompt tokens by the engine's count, 0 if unknown
        """
        if n_actual <= 0 or n_estimated <= 0:
            return
        self._relative_error.add(abs(request.n_prompt_tokens / n_actual - 1.0), now_ms)
        ratio = min(MAX_RATIO, max(MIN_RATIO, n_actual / n_estimated))
        self._overall.add(ratio, now_ms)
        key = EstimatorKey(request.customer, request.model)
        average = self._averages.get(key)
        if average is None:
            average = self._averages[key] = MovingAverage()
            if len(self._averages) > MAX_KEYS:
                self._averages.popitem(last=False)
        average.add(ratio, now_ms)
        self._averages.move_to_end(key)

    def _ratio(self, key: EstimatorKey) -> float:
        average = self._averages.get(key)
        if average is None or average.n_samples < MIN_SAMPLES:
            average = self._overall
        if average.n_samples < MIN_SAMPLES:
            return 1.0
        return average.value + average.deviation


__all__ = ("MAX_KEYS", "EstimatorKey", "TokenEstimator")
