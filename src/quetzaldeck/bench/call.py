"""One simulated call."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.decisions.prefix import PREFIX_TOKENS
from quetzaldeck.platform.caller_timeouts import stream_idle_timeout_ms


class Call(NamedTuple):
    """What a caller sends and how it behaves.

    :param at_ms: when it is first sent
    :param model: model requested; ``""`` for a plain service
    :param n_prompt_tokens: prompt length as the engine counts it
    :param n_estimated_tokens: prompt length as the gateway estimates it; 0: the same
    :param max_output_tokens: limit of the answer's length in the request
    :param n_output_tokens: length of the answer; 0: up to the limit
    :param deadline_ms: time allowed for one submission
    :param target_ms: time to first token after which the answer is late; 0: none
    :param max_gap_ms: gap between two tokens after which the answer is late; 0: none.
        A caller with this limit disconnects after a silence of several times as long.
    :param prefix_id: calls with the same id share their first ``n_prefix_tokens``
    :param vm: index of the VM that it is sent to; ``None``: any
    :param max_resends: how often the caller resends after a refusal with ``ran: no``
        and a time to retry after, or after its VM was lost
    :param disconnects_after_ms: time after which the caller closes its connection
    :param fingerprint_id: calls with the same id repeat the same prompt; ``""``: the
        prompt is unique to the call
    :param kills_engine: whether an engine crashes while it prefills this prompt
    """

    call_id: str
    at_ms: float
    customer: str
    model: str = ""
    service: str = ""
    n_prompt_tokens: int = 1
    n_estimated_tokens: int = 0
    max_output_tokens: int = 1
    n_output_tokens: int = 0
    priority: int = 5
    weight: float = 1.0
    deadline_ms: float = 30_000.0
    target_ms: float = 0.0
    max_gap_ms: float = 0.0
    prefix_id: str = ""
    n_prefix_tokens: int = 0
    is_repeatable: bool = True
    vm: int | None = None
    max_resends: int = 0
    disconnects_after_ms: float | None = None
    fingerprint_id: str = ""
    kills_engine: bool = False

    @property
    def n_answer_tokens(self) -> int:
        """:returns: length of the whole answer in tokens"""
        return self.n_output_tokens or self.max_output_tokens

    @property
    def caller_idle_timeout_ms(self) -> float:
        """:returns: silence after which the caller disconnects; 0: it does not"""
        return (
            stream_idle_timeout_ms(self.target_ms, self.max_gap_ms)
            if self.max_gap_ms
            else 0.0
        )

    def hash_prefixes(self) -> tuple[int, ...]:
        """:returns: one hash for each tracked prefix length that the prompt reaches"""
        return tuple(
            hash((self._prefix_owner(length), length))
            for length in PREFIX_TOKENS
            if length <= self.n_prompt_tokens
        )

    def _prefix_owner(self, length: int) -> int:
        is_shared = self.prefix_id and length <= self.n_prefix_tokens
        text = self.prefix_id if is_shared else self.call_id
        return int.from_bytes(text.encode(), "big")


__all__ = ("Call",)
