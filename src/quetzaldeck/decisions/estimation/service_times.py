"""Service times of the upstreams of one model or service, learned from answers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.estimation.moving_average import MovingAverage

if TYPE_CHECKING:
    from quetzaldeck.bundle.engine_figures import EngineFigures
    from quetzaldeck.decisions.request import Request

HALF_LIFE_MS = 15_000.0
"""Age at which samples taken under load count half. Without decay, a period of slow
engines would make this VM refuse everything, get no new samples, and keep refusing
after the engines have recovered."""

_BASE_MS = 20.0
_MS_PER_TOKEN = 0.05
_ATTENTION_TOKENS = 400_000
"""Reference prefill time by prompt length: about linear, with twice the cost per token
at ``_ATTENTION_TOKENS``. The scale is learned; the reference only gives the ratio
between lengths without samples."""

_DEFAULT_MIN_SCALE = 0.5
"""Upper limit of the scale until there are ``_MIN_SAMPLES`` samples."""

_MAX_EXTRAPOLATED_DOUBLINGS = 2
"""Doublings of the length over which contention is taken to grow proportionally."""

_MIN_SAMPLES = 20
"""First tokens after which the fastest one replaces the default scale. The first ones
of a VM that starts under load are all slow."""


class ServiceTimes:
    """Times from dispatch to first token and to the end, by prompt length.

    Samples include the contention at the engines, as a prediction must. The fastest
    samples give the minimum time of a request; if the bundle has figures of the
    engines, these figures give the minimum from the first request on. Without figures a
    newly started VM has to guess, and refuses the longest prompts, which many engines
    prefill together.
    """

    def __init__(self) -> None:
        self._figures: EngineFigures | None = None
        self._n_parts = 1
        self._contention: dict[int, MovingAverage] = {}
        self._min_scale = math.inf
        self._n_samples = 0
        self._token_ms = MovingAverage(gain=0.05)
        self._output_share = MovingAverage(gain=0.05)

    def set_engine_figures(self, figures: EngineFigures | None, n_parts: int) -> None:
        """Set the configured figures of the engines; learned times are kept.

        :param figures: figures of one engine, ``None`` if none are configured
        :param n_parts: engines that may prefill one prompt together
        """
        self._figures = figures
        self._n_parts = n_parts

    def learn_first_token(
        self, request: Request, elapsed_ms: float, now_ms: float
    ) -> None:
        """Record the time from dispatch to the first token."""
        scale = elapsed_ms / _reference_prefill_ms(request.n_prompt_tokens)
        self._min_scale = min(self._min_scale, scale)
        self._n_samples += 1
        bucket = request.n_prompt_tokens.bit_length()
        contention = self._contention.setdefault(bucket, MovingAverage(gain=0.1))
        contention.add(elapsed_ms - self.fastest_ms(request), now_ms)

    def learn_answer(
        self, request: Request, n_tokens: int, elapsed_ms: float, now_ms: float
    ) -> None:
        """Record the time from the first token of an answer to its last."""
        if n_tokens > 1:
            self._token_ms.add(elapsed_ms / (n_tokens - 1), now_ms)
        share = min(1.0, n_tokens / max(1, request.max_output_tokens))
        self._output_share.add(share, now_ms)

    def fastest_ms(self, request: Request) -> float:
        """:returns: minimum time to the first token, without contention"""
        if self._figures is not None:
            n_tokens = request.n_prompt_tokens
            return self._figures.prefill_ms(n_tokens, n_parts=self._n_parts)
        min_scale = self._min_scale
        if self._n_samples < _MIN_SAMPLES:
            min_scale = min(min_scale, _DEFAULT_MIN_SCALE)
        return min_scale * _reference_prefill_ms(request.n_prompt_tokens)

    def predict_first_token_ms(self, request: Request, now_ms: float) -> float:
        """:returns: expected time from dispatch to the first token

        Without samples of the prompt's length, the contention of shorter prompts is
        used, scaled by length if they are not much shorter. The contention of longer
        prompts is no indication, since shorter ones are served before them.
        """
        uncontended_ms = self.fastest_ms(request)
        request_bucket = request.n_prompt_tokens.bit_length()
        bucket = request_bucket
        while bucket > 0 and bucket not in self._contention:
            bucket -= 1
        contention = self._contention.get(bucket)
        if contention is None:
            return uncontended_ms
        contention_ms = contention.weight(now_ms, HALF_LIFE_MS) * contention.value
        if request_bucket - bucket <= _MAX_EXTRAPOLATED_DOUBLINGS:
            contention_ms *= 2.0 ** (request_bucket - bucket)
        return uncontended_ms + contention_ms

    def predict_answer_ms(self, request: Request, now_ms: float) -> float:
        """:returns: expected time from the first token to the last, 0 if unknown"""
        weight = self._token_ms.weight(now_ms, HALF_LIFE_MS)
        n_tokens = request.max_output_tokens * self._output_share.value
        return weight * self._token_ms.value * n_tokens


def _reference_prefill_ms(n_tokens: int) -> float:
    return _BASE_MS + n_tokens * _MS_PER_TOKEN * (1 + n_tokens / _ATTENTION_TOKENS)


__all__ = ("HALF_LIFE_MS", "ServiceTimes")
