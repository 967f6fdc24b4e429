"""How long the upstreams of one target take, learned from their answers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.estimation.moving_average import MovingAverage

if TYPE_CHECKING:
    from quetzaldeck.bundle.engine_figures import EngineFigures
    from quetzaldeck.decisions.request import Request

HALF_LIFE_MS = 15_000.0
"""Age at which what was learned under load counts half. Without it, a wave of slow
engines would make this VM refuse everything, get no new samples, and go on refusing
after the engines have recovered."""

_BASE_MS = 20.0
_MS_PER_TOKEN = 0.05
_ATTENTION_TOKENS = 400_000
"""Shape of the prefill time: about linear, twice the price at this length. The level
is learned; only the ratio between lengths without samples comes from here."""

_FASTEST_SHARE = 0.5
"""Without any sample, an engine is taken to be at most this much faster."""


_MAX_DOUBLINGS = 2
"""Doublings of the length over which time lost is taken to grow in proportion."""

_MIN_SAMPLES = 20
"""Answers after which the fastest one seen replaces that guess: the first ones of a
VM that starts under load are all slow."""


class ServiceTimes:
    """Times from dispatch to first token and to the end, by prompt length.

    Samples include the contention at the engines, as a prediction must. The fastest
    ones tell what a request needs at the least; where the engines' operator states
    their figures, these tell it from the first request on. Without them a VM that
    starts guesses, and refuses the longest prompts, which many engines read together.

    """

    def __init__(self) -> None:
        self._figures: EngineFigures | None = None
        self._n_parts = 1
        self._excess: dict[int, MovingAverage] = {}
        self._fastest_seen = math.inf
        self._n_samples = 0
        self._token_ms = MovingAverage(gain=0.05)
        self._answer_share = MovingAverage(gain=0.05)

    def set_engine_figures(self, figures: EngineFigures | None, n_parts: int) -> None:
        """Take what is stated of the engines; what was learned stays.

        :param figures: ``None``: nothing is stated
        :param n_parts: engines that may read one prompt together
        """
        self._figures = figures
        self._n_parts = n_parts

    def learn_first_token(
        self, request: Request, elapsed_ms: float, now_ms: float
    ) -> None:
        """Take the time from a dispatch to the first token."""
        slowness = elapsed_ms / _shape_ms(request.n_prompt_tokens)
        self._fastest_seen = min(self._fastest_seen, slowness)
        self._n_samples += 1
        bucket = request.n_prompt_tokens.bit_length()
        excess = self._excess.setdefault(bucket, MovingAverage(gain=0.1))
        excess.add(elapsed_ms - self.fastest_ms(request), now_ms)

    def learn_answer(
        self, request: Request, n_tokens: int, elapsed_ms: float, now_ms: float
    ) -> None:
        """Take the time from the first token of an answer to its last."""
        if n_tokens > 1:
            self._token_ms.add(elapsed_ms / (n_tokens - 1), now_ms)
        share = min(1.0, n_tokens / max(1, request.max_output_tokens))
        self._answer_share.add(share, now_ms)

    def fastest_ms(self, request: Request) -> float:
        """:returns: the least time to first token that can be hoped for"""
        if self._figures is not None:
            n_tokens = request.n_prompt_tokens
            return self._figures.read_ms(n_tokens, n_parts=self._n_parts)
        fastest = self._fastest_seen
        if self._n_samples < _MIN_SAMPLES:
            fastest = min(fastest, _FASTEST_SHARE)
        return fastest * _shape_ms(request.n_prompt_tokens)

    def predict_first_token_ms(self, request: Request, now_ms: float) -> float:
        """:returns: expected time from dispatch to first token

        Without samples of its length, what shorter prompts lost to contention is
        added, in proportion if they are not much shorter. What longer ones lost
        tells nothing: short prompts go before them.
        """
        idle_ms = self.fastest_ms(request)
        own_bucket = request.n_prompt_tokens.bit_length()
        bucket = own_bucket
        while bucket > 0 and bucket not in self._excess:
            bucket -= 1
        excess = self._excess.get(bucket)
        if excess is None:
            return idle_ms
        excess_ms = excess.weight(now_ms, HALF_LIFE_MS) * excess.value
        if own_bucket - bucket <= _MAX_DOUBLINGS:
            excess_ms *= 2.0 ** (own_bucket - bucket)
        return idle_ms + excess_ms

    def predict_answer_ms(self, request: Request, now_ms: float) -> float:
        """:returns: expected time from the first token to the last"""
        weight = self._token_ms.weight(now_ms, HALF_LIFE_MS)
        n_tokens = request.max_output_tokens * self._answer_share.value
        return weight * self._token_ms.value * n_tokens


def _shape_ms(n_tokens: int) -> float:
    return _BASE_MS + n_tokens * _MS_PER_TOKEN * (1 + n_tokens / _ATTENTION_TOKENS)


__all__ = ("HALF_LIFE_MS", "ServiceTimes")
