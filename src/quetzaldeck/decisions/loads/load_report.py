"""Load reported by an upstream; it lags behind the actual load."""

from __future__ import annotations

from typing import NamedTuple


class LoadReport(NamedTuple):
    """One load report of an upstream.

    :param upstream: name of the upstream
    :param incarnation: id that changes each time the upstream starts
    :param sequence: number of the report within the incarnation
    :param age_ms: age of the figures when this VM received them
    :param n_running: sequences in the running batch
    :param n_waiting: sequences queued inside the engine
    :param n_kv_tokens_used: KV cache in use, in tokens
    :param n_prefill_tokens: prompt tokens still to be prefilled
    :param models: loaded models, as ``model:version`` or ``model:version:adapter``
    :param role: role of the engine; ``""``: none reported
    """

    upstream: str
    incarnation: str
    sequence: int
    age_ms: float
    n_running: int
    n_waiting: int
    n_kv_tokens_used: int
    n_prefill_tokens: int
    models: tuple[str, ...] = ()
    role: str = ""


__all__ = ("LoadReport",)
