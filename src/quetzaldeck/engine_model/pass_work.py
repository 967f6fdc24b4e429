"""Work of an engine in the pass model: a request or a prompt part."""

from __future__ import annotations


class PassWork:
    """A prompt to prefill and events to generate.

    :param n_prefill_tokens: prompt tokens that this engine prefills; 0: other engines
        have prefilled the prompt already
    :param prefill_ms: time that an otherwise idle engine needs to prefill them
    :param n_events: events to generate; 0 for a part of a prompt that another engine
        answers
    :param n_context_tokens: context tokens that each decode step attends to here
    :param n_kv_tokens: memory that it takes, in addition to its reservation
    :param priority: lower values are prefilled first
    :param is_spread: whether other engines prefill parts of the prompt as well; its
        decoding starts with :meth:`note_parts_prefilled`
    """

    def __init__(
        self,
        work_id: str,
        *,
        n_prefill_tokens: int,
        prefill_ms: float,
        n_events: int,
        n_context_tokens: int = 0,
        n_kv_tokens: int = 0,
        priority: int = 5,
        is_spread: bool = False,
    ) -> None:
        self.work_id = work_id
        self.n_prefill_tokens = n_prefill_tokens
        self.n_events = n_events
        self.n_context_tokens = n_context_tokens
        self.n_kv_tokens = n_kv_tokens
        self.priority = priority
        self.n_to_prefill = n_prefill_tokens
        self.n_emitted = 0
        self.arrival_number = 0
        self.prefill_ms = prefill_ms
        self._is_spread = is_spread
        self._waits_for_parts = is_spread

    @property
    def is_part(self) -> bool:
        """:returns: whether it is a part of a prompt that another engine answers"""
        return not self.n_events

    @property
    def has_precedence(self) -> bool:
        """:returns: whether it is prefilled before whole prompts; others wait for it"""
        return self.is_part or self._is_spread

    @property
    def is_prefilled(self) -> bool:
        """:returns: whether this engine and, if spread, all others have prefilled it"""
        return not self.n_to_prefill and not self._waits_for_parts

    @property
    def is_decoding(self) -> bool:
        """:returns: whether each pass emits one of its events"""
        return self.is_prefilled and not self.is_part

    @property
    def is_finished(self) -> bool:
        """:returns: whether all of the work is done"""
        return self.is_prefilled and self.n_emitted >= self.n_events

    def note_parts_prefilled(self) -> None:
        """Start decoding: all parts are prefilled, which yields the first event."""
        self._waits_for_parts = False
        self.n_emitted += 1

    def prefill(self, max_tokens: int) -> tuple[int, float]:
        """Prefill more of the prompt.

        :returns: tokens prefilled, at most ``max_tokens``, and the time it takes
        """
        n_tokens = min(max_tokens, self.n_to_prefill)
        if not n_tokens:
            return 0, 0.0
        self.n_to_prefill -= n_tokens
        return n_tokens, n_tokens * self.prefill_ms / self.n_prefill_tokens


__all__ = ("PassWork",)
