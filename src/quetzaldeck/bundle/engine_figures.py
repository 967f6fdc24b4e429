"""What is known of an engine's speed and size before it is used."""

from __future__ import annotations

import math
from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option

PAIRS_PER_MILLION = 1e6


class EngineFigures(NamedTuple):
    """Speed and size of the engines of one service, as their operator states them."""

    n_slots: Annotated[
        int, Option("Requests that it runs at a time.", unit="requests", minimum=1)
    ]
    kv_tokens: Annotated[int, Option("Memory.", unit="tokens", minimum=1)]
    tokens_per_ms: Annotated[
        float, Option("Prompt tokens read in a millisecond.", minimum=0.001)
    ]
    pairs_ms_per_million: Annotated[
        float,
        Option(
            "Time for a million pairs of a prompt token and an earlier one.",
            unit="ms",
            minimum=0,
        ),
    ] = 0.0
    step_ms: Annotated[
        float, Option("One step: a token for each writer.", unit="ms", minimum=0)
    ] = 1.0
    sequence_ms: Annotated[
        float, Option("What each writer adds to a step.", unit="ms", minimum=0)
    ] = 0.0
    context_ms_per_k: Annotated[
        float, Option("What 1,000 tokens of context add.", unit="ms", minimum=0)
    ] = 0.0
    chunk_tokens: Annotated[
        int, Option("Prompt tokens read in one step.", unit="tokens", minimum=1)
    ] = 2_048
    stride: Annotated[
        int, Option("Steps between two looks at new work.", minimum=1)
    ] = 1
    hop_ms: Annotated[
        float,
        Option("What a prompt spread over engines adds to a step.", unit="ms"),
    ] = 0.0
    usual_prompt_tokens: Annotated[
        float, Option("Mean length of a prompt.", unit="tokens", minimum=0)
    ] = 0.0

    def prefill_ms(self, n_tokens: float, *, n_parts: int = 1) -> float:
        """:returns: time in which each of ``n_parts`` engines reads its even part

        Reading costs the length of a prompt, and its length squared: each token looks
        at all earlier ones.
        """
        pairs = n_tokens * n_tokens / 2.0
        linear_ms = n_tokens / self.tokens_per_ms
        pairs_ms = pairs / PAIRS_PER_MILLION * self.pairs_ms_per_million
        return (linear_ms + pairs_ms) / n_parts

    def equivalent_tokens(self, n_tokens: int, *, n_parts: int = 1) -> int:
        """:returns: tokens of a short prompt that take as long to read as one part

        Backlogs are counted in tokens; half of the time of a long prompt goes into the
        pairs of its tokens and would not show.
        """
        return math.ceil(
            self.prefill_ms(n_tokens, n_parts=n_parts) * self.tokens_per_ms
        )


__all__ = ("EngineFigures",)
