"""Placement by the predicted time to the first token, long prompts read in parts.

Load pattern: prompts of 5,000 and of 500,000 tokens on the same engines. An engine
reads prompts between the tokens of what it writes, up to ``stride`` chunks at a time:
one prompt of 133,000 tokens keeps every other answer there waiting for up to a
second or two, several times the pause that a caller of a short answer bears. Read by
fourteen engines at once it keeps each of them for about a tenth of that.

Without it short answers on the engine of a long prompt are late, and so is the long
one, while the other engines are idle.

How many parts: as many as bring one part down to the time for which the writers of an
engine may be held up. That time is :data:`PART_SHARE` of the shortest pause that any
route of the service bears, so the figure comes from the configuration. How long a part
takes follows from the figures that the engines' operator states.

Which engine: the one with the least work before the first token, in milliseconds of
reading, among a sample of all engines, for many VMs see the same loads.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.placement.api import PlacementPolicy, placement_policies
from quetzaldeck.decisions.placement.peers import peer_latency

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.bundle.engine_figures import EngineFigures
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState

MAX_HELPERS = 16
"""Engines that one request may name besides the one that answers."""

PART_SHARE = 0.125
"""Part of the shortest pause between tokens for which one part may hold up writers.
An engine may read parts of several prompts within one pass."""

DEFAULT_PART_MS = 30.0
"""Longest part where no request has stated the pause that its caller bears."""

OTHER_ZONE_MS = 1.0
"""A round trip to another availability zone; also what decides between equals, so that
bytes stay in the zone."""

RUNNING_READ_SHARE = 0.25
"""Part of the usual prompt that a request which other VMs run there has still to read,
on average: most of its time it writes."""

PLAIN_REQUEST_MS = 20.0
"""What a request that runs at a plain service adds to the wait of the next one."""


@placement_policies.register("first_token")
class FirstToken(PlacementPolicy):
    """Chooses the engine with the earliest first token, helpers for long prompts."""

    max_helpers = MAX_HELPERS
    _least_gap_ms: float = math.inf

    def choose(
        self, request: Request, candidates: Sequence[UpstreamState], now_ms: float
    ) -> str | None:
        """:returns: the candidate whose work before this request is least"""
        if request.max_gap_ms:
            self._least_gap_ms = min(self._least_gap_ms, request.max_gap_ms)
        return self._order(candidates, now_ms)[0].spec.name

    def choose_helpers(
        self,
        request: Request,
        chosen: str,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> tuple[str, ...]:
        """:returns: an engine for each further part of the prompt, least busy first"""
        n_parts = self._n_parts(request, pool)
        if n_parts <= 1:
            return ()
        others = [
            state
            for state in pool
            if state.spec.name != chosen
            and not state.is_leaving
            and not state.health.is_ejected
            and state.may_help(now_ms)
        ]
        ordered = self._order(others, now_ms)
        n_helpers = self._n_useful(request, ordered[: n_parts - 1], now_ms)
        return tuple(state.spec.name for state in ordered[:n_helpers])

    def _n_useful(
        self, request: Request, ordered: Sequence[UpstreamState], now_ms: float
    ) -> int:
        """:returns: how many of the helpers make the first token come sooner

        The first token follows the last part: a helper that is busy for longer than
        its part saves makes the prompt wait.
        """
        figures = ordered[0].spec.figures if ordered else None
        if figures is None:
            return 0
        best_n, best_ms = 0, math.inf
        for n_helpers, state in enumerate(ordered, start=1):
            read_ms = figures.read_ms(request.n_prompt_tokens, n_parts=n_helpers + 1)
            ready_ms = state.prefill_backlog_ms(now_ms) + read_ms
            if ready_ms < best_ms:
                best_n, best_ms = n_helpers, ready_ms
        return best_n

    def _n_parts(self, request: Request, pool: Sequence[UpstreamState]) -> int:
        figures = pool[0].spec.figures if pool else None
        if figures is None or request.service:
            return 1
        part_ms = DEFAULT_PART_MS
        if math.isfinite(self._least_gap_ms):
            part_ms = self._least_gap_ms * PART_SHARE
        whole_ms = figures.read_ms(request.n_prompt_tokens)
        return min(MAX_HELPERS + 1, math.ceil(whole_ms / part_ms))

    def _order(
        self, pool: Sequence[UpstreamState], now_ms: float
    ) -> list[UpstreamState]:
        """:returns: the pool, the one with the least work first"""
        peers = peer_latency(pool, self._random_state) if pool else None
        return sorted(pool, key=lambda state: self._cost_ms(state, peers, now_ms))

    def _cost_ms(
        self, state: UpstreamState, peer_ms_per_token: float | None, now_ms: float
    ) -> float:
        """:returns: work before a new request, in milliseconds, with a random part

        Own work is known; of what other VMs sent there only a count is.
        """
        jitter_ms = self._random_state.uniform(0.0, OTHER_ZONE_MS)
        cost_ms = jitter_ms
        if state.spec.availability_zone != self._availability_zone:
            cost_ms += OTHER_ZONE_MS
        n_requests = state.n_requests(now_ms)
        figures = state.spec.figures
        if figures is None:
            return cost_ms + n_requests * PLAIN_REQUEST_MS
        cost_ms += state.prefill_backlog_ms(now_ms)
        cost_ms += n_requests * _running_ms(figures)
        return cost_ms * state.slow_factor(peer_ms_per_token, now_ms)


def _running_ms(figures: EngineFigures) -> float:
    """:returns: what a request that runs at an engine costs a new one there"""
    read_ms = figures.read_ms(figures.usual_prompt_tokens) * RUNNING_READ_SHARE
    return read_ms + figures.stride * figures.sequence_ms


__all__ = ("MAX_HELPERS", "FirstToken")
