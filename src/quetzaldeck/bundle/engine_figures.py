"""Configured figures for the speed and capacity of engines."""

from __future__ import annotations

import math
from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option

PAIRS_PER_MILLION = 1e6


class EngineFigures(NamedTuple):
    """Speed and capacity of the engines of one service, as configured."""

    n_slots: Annotated[
        int,
        Option(
            "Requests that an engine runs concurrently.", unit="requests", minimum=1
        ),
    ]
    kv_tokens: Annotated[int, Option("KV cache capacity.", unit="tokens", minimum=1)]
    tokens_per_ms: Annotated[
        float, Option("Prompt tokens that an engine prefills per ms.", minimum=0.001)
    ]
    pairs_ms_per_million: Annotated[
        float,
        Option(
            "Prefill time for a million pairs of a prompt token and an earlier one.",
            unit="ms",
            minimum=0,
        ),
    ] = 0.0
    step_ms: Annotated[
        float,
        Option(
            "Base time of a step, which decodes one token for each running sequence.",
            unit="ms",
            minimum=0,
        ),
    ] = 1.0
    sequence_ms: Annotated[
        float,
        Option("Time that each running sequence adds to a step.", unit="ms", minimum=0),
    ] = 0.0
    context_ms_per_k: Annotated[
        float,
        Option(
            "Time that 1,000 tokens of context add to a step.", unit="ms", minimum=0
        ),
    ] = 0.0
    chunk_tokens: Annotated[
        int, Option("Prompt tokens prefilled per step.", unit="tokens", minimum=1)
    ] = 2_048
    stride: Annotated[
        int, Option("Steps between two checks for new requests.", minimum=1)
    ] = 1
    hop_ms: Annotated[
        float,
        Option("Time that a prompt split over engines adds to a step.", unit="ms"),
    ] = 0.0
    usual_prompt_tokens: Annotated[
        float, Option("Expected mean length of a prompt.", unit="tokens", minimum=0)
    ] = 0.0

    def prefill_ms(self, n_tokens: float, *, n_parts: int = 1) -> float:
        """Estimate the time to prefill a prompt.

        The time has a part linear in the length of the prompt, and one quadratic in it,
        since each token attends to all earlier ones.

        :param n_parts: engines that prefill an equal part of the prompt each
        :returns: time until each engine has prefilled its part
        """
        pairs = n_tokens * n_tokens / 2.0
        linear_ms = n_tokens / self.tokens_per_ms
        pairs_ms = pairs / PAIRS_PER_MILLION * self.pairs_ms_per_million
        return (linear_ms + pairs_ms) / n_parts

    def equivalent_tokens(self, n_tokens: int, *, n_parts: int = 1) -> int:
        """Convert a prompt to tokens at the prefill rate of short prompts.

        Backlogs are counted in tokens. The plain token count would leave out the
        quadratic part, which is half of the prefill time of a long prompt.

        :param n_parts: engines that prefill an equal part of the prompt each
        :returns: tokens of a short prompt that take as long to prefill as one part
        """
        return math.ceil(
            self.prefill_ms(n_tokens, n_parts=n_parts) * self.tokens_per_ms
        )


__all__ = ("EngineFigures",)
