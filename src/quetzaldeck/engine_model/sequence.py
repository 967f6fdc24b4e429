"""A sequence in the engine model."""

from __future__ import annotations


class Sequence:
    """A prompt and the answer to it, in an engine.

    :param n_prompt_tokens: tokens to prefill
    :param max_output_tokens: tokens to generate
    :param priority: lower values are scheduled first
    :param reservation_id: reservation whose memory it uses; ``""``: unreserved memory
    :param n_context_tokens: tokens before the prompt whose KV cache other engines hold
    :param prefix_hashes: as :func:`quetzaldeck.decisions.prefix.hash_prefixes`
    """

    def __init__(
        self,
        sequence_id: str,
        *,
        n_prompt_tokens: int,
        max_output_tokens: int,
        priority: int = 5,
        prefix_hashes: tuple[int, ...] = (),
        reservation_id: str = "",
        n_context_tokens: int = 0,
    ) -> None:
        self.sequence_id = sequence_id
        self.n_prompt_tokens = n_prompt_tokens
        self.max_output_tokens = max_output_tokens
        self.priority = priority
        self.prefix_hashes = prefix_hashes
        self.reservation_id = reservation_id
        self.n_context_tokens = n_context_tokens
        self.n_prefilled = 0
        self.n_generated = 0
        self.arrival_number = 0

    @property
    def n_kv_tokens(self) -> int:
        """:returns: memory for the prompt and the longest answer"""
        return self.n_prompt_tokens + self.max_output_tokens

    @property
    def n_to_prefill(self) -> int:
        """:returns: prompt tokens still to prefill"""
        return self.n_prompt_tokens - self.n_prefilled

    @property
    def is_finished(self) -> bool:
        """:returns: whether the answer is complete"""
        return self.n_generated >= self.max_output_tokens


__all__ = ("Sequence",)
