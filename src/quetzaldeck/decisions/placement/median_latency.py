"""Median latency of a pool, the reference for detecting slow engines."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from quetzaldeck.decisions.upstream_state import UpstreamState

N_MEDIAN_SAMPLE = 15
"""Engines sampled for the median; sampling all 780 of a large pool would cost more and
add little precision."""


def median_ms_per_token(
    pool: Sequence[UpstreamState], random_state: random.Random
) -> float | None:
    """:returns: median time to first token per prompt token; ``None``: unknown"""
    sample = pool
    if len(sample) > N_MEDIAN_SAMPLE:
        sample = random_state.sample(pool, N_MEDIAN_SAMPLE)
    known = [
        latency
        for state in sample
        if (latency := state.health.ms_per_token) is not None
    ]
    return median(known) if len(known) > 1 else None


__all__ = ("median_ms_per_token",)
