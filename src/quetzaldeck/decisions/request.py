"""A request as the scheduler sees it, and its length class."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import NamedTuple

DISCONNECT_MARGIN_MS = 50.0
"""A refusal is sent this long before the caller disconnects: several times the network
delay to the caller, plus the scheduling delay of a busy VM."""


class LengthClass(StrEnum):
    """Classes of prompt length in tokens."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"
    HUGE = "huge"


MAX_SHORT_TOKENS = 4_000
MAX_MEDIUM_TOKENS = 32_000
MAX_LONG_TOKENS = 200_000
"""Upper limits of the classes, in tokens. An engine that prefills 20,000 tokens a
second, and half as many at 200,000 tokens of context, needs 0.2 s, 1.7 s and 15 s for
prompts of these lengths."""


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
    """An arriving or admitted request.

    :param customer: name of the customer in the bundle
    :param model: requested model; ``""`` for a plain service
    :param service: requested plain service; ``""`` for a model
    :param n_prompt_tokens: estimated number of prompt tokens
    :param max_output_tokens: maximum number of output tokens
    :param priority: lower values are served first
    :param arrived_ms: monotonic time of arrival
    :param deadline_ms: monotonic time by which it must be complete
    :param prefix_hashes: hashes of prompt prefixes, shortest first
    :param fingerprint: hash of the work that the upstream would run
    :param part_fingerprints: parts of the prompt that other prompts may contain
    :param max_attempts: maximum attempts that may have run; ``None``: the VM's limit
    :param target_ms: time-to-first-token target; 0: none
    :param max_gap_ms: maximum gap between two tokens; 0: none
    :param caller_idle_timeout_ms: time without a token after which the caller
        disconnects; 0: it never does
    :param last_token_ms: monotonic time of the last token sent to the caller; 0: none
    :param connection_idle_ms: silence after which the connection to an upstream may be
        lost; 0: none
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
    part_fingerprints: tuple[int, ...] = ()
    is_repeatable: bool = True
    max_attempts: int | None = None
    target_ms: float = 0.0
    max_gap_ms: float = 0.0
    caller_idle_timeout_ms: float = 0.0
    last_token_ms: float = 0.0
    connection_idle_ms: float = 0.0

    @property
    def next_token_deadline_ms(self) -> float:
        """:returns: monotonic time by which the caller must get a token or refusal"""
        if not self.caller_idle_timeout_ms:
            return math.inf
        last_token_ms = max(self.arrived_ms, self.last_token_ms)
        return last_token_ms + self.caller_idle_timeout_ms - DISCONNECT_MARGIN_MS

    @property
    def crash_fingerprints(self) -> tuple[int, ...]:
        """:returns: what may be to blame if an upstream crashes: it, and its parts"""
        if not self.fingerprint:
            return ()
        return (self.fingerprint, *self.part_fingerprints)

    @property
    def n_kv_tokens(self) -> int:
        """:returns: KV cache that the request may need, in tokens"""
        return self.n_prompt_tokens + self.max_output_tokens

    @property
    def target(self) -> str:
        """:returns: name of the requested model or plain service"""
        return self.service or self.model

    @property
    def length_class(self) -> LengthClass:
        """:returns: the length class of the prompt"""
        return classify_length(self.n_prompt_tokens)


__all__ = ("DISCONNECT_MARGIN_MS", "LengthClass", "Request", "classify_length")
