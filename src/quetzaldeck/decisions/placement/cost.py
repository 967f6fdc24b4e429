"""Cost of a placement, in prompt tokens to prefill before the first token."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState


class CostWeights(NamedTuple):
    """Costs of other delays of a request, converted to prompt tokens.

    :param per_request: each sequence in the batch lengthens the steps of the others
    :param other_zone: a round trip of 1-2 ms at 20,000 tokens/s
    :param no_adapter: loading an adapter takes about a second
    :param full_memory: cost when all memory is in use. It grows from 0 at half full,
        since evictions and queueing begin before the memory is full.
    :param half_life_ms: age at which a load report has half its weight
    """

    per_request: float = 300.0
    other_zone: float = 40.0
    no_adapter: float = 20_000.0
    full_memory: float = 8_000.0
    half_life_ms: float = 2_000.0


MEMORY_PRESSURE_START = 0.5
"""Share of memory in use above which a placement costs more."""


def estimate_backlog(
    state: UpstreamState, now_ms: float, weights: CostWeights
) -> float:
    """:returns: work queued ahead of a new request at an upstream, as prompt tokens

    Load reports lag and are the same for all VMs. Attempts of this VM since the report
    are added in full; otherwise it would send all its requests to an engine that was
    reported idle. The weight of a report falls with its age: the engine finishes the
    reported work, and an upstream must not stay unattractive because its reports
    stopped.
    """
    ledger = state.ledger
    own = ledger.n_prefill_tokens + len(ledger) * weights.per_request
    report = state.report
    if report is None:
        return own
    age_ms = max(0.0, now_ms - state.reported_ms)
    freshness = math.pow(0.5, age_ms / weights.half_life_ms)
    n_reported = report.n_running + report.n_waiting
    reported = report.n_prefill_tokens + n_reported * weights.per_request
    unreported = float(ledger.n_unreported_prefill_tokens)
    unreported += ledger.n_unreported * weights.per_request
    return max(own, reported * freshness + unreported)


def estimate_cost(
    request: Request,
    state: UpstreamState,
    now_ms: float,
    *,
    n_cached_tokens: float,
    peer_ms_per_token: float | None,
    availability_zone: str,
    weights: CostWeights,
) -> float:
    """:returns: cost of a placement; the lower, the sooner the first token"""
    cost = estimate_backlog(state, now_ms, weights)
    cost += weights.per_request
    cost += max(1.0, request.n_prompt_tokens - n_cached_tokens)
    cost /= state.health.warm_up_share(now_ms)
    cost *= state.slow_factor(peer_ms_per_token, now_ms)
    cost += _memory_cost(request, state, weights)
    if availability_zone and state.spec.availability_zone != availability_zone:
        cost += weights.other_zone
    if request.adapter and not has_adapter(request, state):
        cost += weights.no_adapter
    return cost


def has_adapter(request: Request, state: UpstreamState) -> bool:
    """:returns: whether the last report lists the request's adapter as loaded"""
    if state.report is None:
        return False
    return any(
        name.startswith(f"{request.model}:") and name.endswith(f":{request.adapter}")
        for name in state.report.models
    )


def _memory_cost(request: Request, state: UpstreamState, weights: CostWeights) -> float:
    if not state.spec.kv_tokens:
        return 0.0
    n_used = state.n_kv_tokens_used() + request.n_kv_tokens
    pressure = n_used / state.spec.kv_tokens - MEMORY_PRESSURE_START
    return weights.full_memory * max(0.0, pressure) / (1.0 - MEMORY_PRESSURE_START)


__all__ = ("CostWeights", "estimate_backlog", "estimate_cost", "has_adapter")
