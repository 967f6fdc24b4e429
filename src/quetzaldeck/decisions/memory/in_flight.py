"""Accounting record of an attempt in flight."""

from __future__ import annotations

from typing import NamedTuple


class InFlightAttempt(NamedTuple):
    """One attempt of this VM that runs on an upstream.

    :param n_kv_tokens: memory reserved for it, in tokens
    :param n_prefill_tokens: prompt tokens not yet prefilled
    :param started_ms: monotonic time of the dispatch
    :param n_queued_tokens: prefill work at the upstream at the dispatch, including this
        attempt
    :param fingerprint: fingerprint of the request; 0: none
    :param is_suspect: whether the request is suspected of crashing engines
    :param begun_ms: when the upstream began to answer it; ``None``: not yet
    :param has_lived: whether the upstream has survived the beginning of its answer
    :param is_part: whether this engine only prefills a part for one that answers
    """

    attempt_id: str
    request_id: str
    n_kv_tokens: int
    n_prefill_tokens: int
    started_ms: float
    n_queued_tokens: int = 0
    fingerprint: int = 0
    is_suspect: bool = False
    is_part: bool = False
    begun_ms: float | None = None
    has_lived: bool = False


__all__ = ("InFlightAttempt",)
