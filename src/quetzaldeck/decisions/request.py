"""What the decision modules know of one request."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import NamedTuple

from quetzaldeck.decisions.caller_idle_timeout import LINK_MARGIN_MS


class LengthClass(StrEnum):
    """Classes of prompt length, by tokens."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"
    HUGE = "huge"


MAX_SHORT_TOKENS = 4_000
MAX_MEDIUM_TOKENS = 32_000
MAX_LONG_TOKENS = 200_000
"""Bounds of the classes, in tokens. An engine that reads 20,000 tokens a second, half
as many at 200,000 tokens of context, takes 0.2 s, 1.7 s and 15 s for them."""


def classify_length(n_prompt_tokens: int) -> LengthClass:
    """:returns: the class of a prompt of ``n_prompt_tokens``"""
    if n_prompt_tokens <= MAX_SHORT_TOKENS:
        return LengthClass.SHORT
    if n_prompt_tokens <= MAX_MEDIUM_TOKENS:
        return LengthClass.MEDIUM
    if n_prompt_tokens <= MAX_LONG_TOKENS:
        return LengthClass.LONG
    return LengthClass.HUGE


class Request(NamedTuple):
    """One admitted or arriving request.

    :param customer: name of the customer in the bundle
    :param model: model asked for; for a plain service, ``""``
    :param service: plain service asked for; for a model, ``""``
    :param n_prompt_tokens: estimated prompt tokens
    :param max_output_tokens: bound of the answer
    :param priority: 0 goes first
    :param arrived_ms: monotonic arrival time
    :param deadline_ms: monotonic time by which it must have ended
    :param prefix_hashes: hashes of growing prompt prefixes, shortest first
    :param fingerprint: hash of what the upstream would run
    :param max_attempts: upstreams that may run it; ``None``: the VM's own bound
    :param target_ms: time to the first token after which the answer is late; 0: none
    :param max_gap_ms: gap between two tokens after which it is late; 0: none
    :param caller_idle_timeout_ms: time without a token after which the caller
        disconnects; 0: it never does
    :param last_token_ms: monotonic time of the last token sent to the caller; 0: none
    """

    request_id: str
    customer: str
    model: str
    n_prompt_tokens: int
    max_output_tokens: int
    priority: int
    arrived_ms: float
    deadline_ms: float
    adapter: str = ""
    service: str = ""
    weight: float = 1.0
    prefix_hashes: tuple[int, ...] = ()
    fingerprint: int = 0
    is_repeatable: bool = True
    max_attempts: int | None = None
    target_ms: float = 0.0
    max_gap_ms: float = 0.0
    caller_idle_timeout_ms: float = 0.0
    last_token_ms: float = 0.0

    @property
    def next_token_deadline_ms(self) -> float:
        """:returns: monotonic time by which its caller must hear the next word"""
        if not self.caller_idle_timeout_ms:
            return math.inf
        last_token_ms = max(self.arrived_ms, self.last_token_ms)
        return last_token_ms + self.caller_idle_timeout_ms - LINK_MARGIN_MS

    @property
    def n_kv_tokens(self) -> int:
        """:returns: engine memory that the request may need, in tokens"""
        return self.n_prompt_tokens + self.max_output_tokens

    @property
    def target(self) -> str:
        """:returns: name of the model or plain service asked for"""
        return self.service or self.model

    @property
    def length_class(self) -> LengthClass:
        """:returns: the class of the prompt's length"""
        return classify_length(self.n_prompt_tokens)


__all__ = ("LengthClass", "Request", "classify_length")
