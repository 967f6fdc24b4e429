"""Placement by predicted time to first token, with long prompts prefilled in parts.

Load pattern: prompts of 5,000 and of 500,000 tokens on the same engines. An engine
interleaves prefill with decoding, up to ``stride`` chunks at a time: one prompt of
133,000 tokens delays every other answer on its engine by up to one or two seconds,
several times the gap between tokens that callers of short answers accept. Prefilled by
fourteen engines in parallel, the prompt delays the answers on each of them by about a
tenth of that. Without the split, the short answers on that engine and the long one are
late while other engines are idle.

Number of parts: the smallest with which the prefill of one part takes no longer than
the running sequences of an engine may be delayed. That time is
:data:`PART_SHARE_OF_GAP` of the shortest gap between tokens that the callers of the
model accept. The prefill time of a part follows from the engine figures that the
operator configures.

Choice of engine: the one with the least work before the first token, in milliseconds
of prefill, plus random jitter, since many VMs see the same loads.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.decision import MAX_HELPERS
from quetzaldeck.decisions.placement.api import PlacementPolicy, placement_policies
from quetzaldeck.decisions.placement.median_latency import median_ms_per_token
from quetzaldeck.decisions.token_gaps import TokenGaps

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from quetzaldeck.bundle.document import Bundle
    from quetzaldeck.bundle.engine_figures import EngineFigures
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState

PART_SHARE_OF_GAP = 0.125
"""Share of the shortest gap between tokens for which one prompt part may delay the
running sequences. An engine may prefill parts of several prompts within one pass."""

OTHER_ZONE_MS = 1.0
"""Round trip to another availability zone; among engines with equal work it keeps the
traffic within the zone."""

RUNNING_PREFILL_SHARE = 0.25
"""Share of the usual prompt that a running request of another VM still has to prefill,
on average: it spends most of its time generating."""

PLAIN_REQUEST_MS = 20.0
"""Delay that each request running on a plain service adds to the next one."""


@placement_policies.register("first_token")
class FirstToken(PlacementPolicy):
    """Chooses the engine with the earliest first token; splits long prompts."""

    max_helpers = MAX_HELPERS

    def __init__(
        self, *, random_state: random.Random, availability_zone: str = ""
    ) -> None:
        super().__init__(random_state=random_state, availability_zone=availability_zone)
        self._gaps = TokenGaps()

    def configure(self, bundle: Bundle) -> None:
        """Apply the gaps between tokens that callers accept."""
        self._gaps.configure(bundle)

    def choose(
        self, request: Request, candidates: Sequence[UpstreamState], now_ms: float
    ) -> str | None:
        """:returns: the candidate with the least work before this request"""
        return self._sort_by_cost(candidates, now_ms)[0].spec.name

    def estimate_costs(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> dict[str, float]:
        """:returns: work before the request on each engine, in milliseconds"""
        peer_ms_per_token = self._find_peer_latency(pool)
        return {
            state.spec.name: self._cost_ms(state, peer_ms_per_token, now_ms, 0.0)
            for state in pool
        }

    def choose_helpers(
        self,
        request: Request,
        chosen: str,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> tuple[str, ...]:
        """:returns: engines for the other parts of the prompt, least work first"""
        n_parts = self._n_parts(request, pool)
        if n_parts <= 1:
            return ()
        others = [
            state
            for state in pool
            if state.spec.name != chosen
            and state.find_closure(now_ms) is None
            and not state.health.is_ejected
            and state.may_help(now_ms)
        ]
        ordered = self._sort_by_cost(others, now_ms)
        n_helpers = self._n_useful_helpers(request, ordered[: n_parts - 1], now_ms)
        return tuple(state.spec.name for state in ordered[:n_helpers])

    def _n_useful_helpers(
        self, request: Request, ordered: Sequence[UpstreamState], now_ms: float
    ) -> int:
        """:returns: the number of helpers that gives the earliest first token

        The first token follows the last part. A helper whose backlog takes longer than
        the time that its part saves would therefore delay the first token.
        """
        figures = ordered[0].spec.figures if ordered else None
        if figures is None:
            return 0
        best_n, best_ms = 0, math.inf
        for n_helpers, state in enumerate(ordered, start=1):
            part_ms = figures.prefill_ms(request.n_prompt_tokens, n_parts=n_helpers + 1)
            done_ms = state.prefill_backlog_ms(now_ms) + part_ms
            if done_ms < best_ms:
                best_n, best_ms = n_helpers, done_ms
        return best_n

    def _n_parts(self, request: Request, pool: Sequence[UpstreamState]) -> int:
        figures = pool[0].spec.figures if pool else None
        if figures is None or request.service:
            return 1
        part_ms = self._gaps.shortest_ms(request.model) * PART_SHARE_OF_GAP
        whole_ms = figures.prefill_ms(request.n_prompt_tokens)
        return min(MAX_HELPERS + 1, math.ceil(whole_ms / part_ms))

    def _sort_by_cost(
        self, pool: Sequence[UpstreamState], now_ms: float
    ) -> list[UpstreamState]:
        """:returns: the pool, least work first"""
        peer_ms_per_token = self._find_peer_latency(pool)

        def cost_of(state: UpstreamState) -> float:
            jitter_ms = self._random_state.uniform(0.0, OTHER_ZONE_MS)
            return self._cost_ms(state, peer_ms_per_token, now_ms, jitter_ms)

        return sorted(pool, key=cost_of)

    def _find_peer_latency(self, pool: Sequence[UpstreamState]) -> float | None:
        return median_ms_per_token(pool, self._random_state) if pool else None

    def _cost_ms(
        self,
        state: UpstreamState,
        peer_ms_per_token: float | None,
        now_ms: float,
        jitter_ms: float,
    ) -> float:
        """:returns: work before a new request, in milliseconds, plus jitter

        The load of other VMs is known only as sums, so each running request counts with
        an average cost. The jitter spreads requests over engines with equal work.
        """
        cost_ms = jitter_ms
        if state.spec.availability_zone != self._availability_zone:
            cost_ms += OTHER_ZONE_MS
        n_requests = state.n_requests(now_ms)
        figures = state.spec.figures
        if figures is None:
            return cost_ms + n_requests * PLAIN_REQUEST_MS
        cost_ms += state.prefill_backlog_ms(now_ms)
        cost_ms += n_requests * _running_request_ms(figures)
        return cost_ms * state.slow_factor(peer_ms_per_token, now_ms)


def _running_request_ms(figures: EngineFigures) -> float:
    """:returns: delay that each request running on an engine adds to a new one"""
    prefill_ms = figures.prefill_ms(figures.usual_prompt_tokens) * RUNNING_PREFILL_SHARE
    return prefill_ms + figures.stride * figures.sequence_ms


__all__ = ("FirstToken",)
