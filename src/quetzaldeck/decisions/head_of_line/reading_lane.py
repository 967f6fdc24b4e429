"""Restricts long prefills to a lane of engines and packs short requests on others."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

from quetzaldeck.decisions.decision import MAX_HELPERS
from quetzaldeck.decisions.head_of_line.api import (
    HeadOfLinePolicy,
    head_of_line_policies,
)
from quetzaldeck.decisions.head_of_line.short_candidates import draw_candidates
from quetzaldeck.decisions.token_gaps import TokenGaps

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.bundle.document import Bundle
    from quetzaldeck.bundle.engine_figures import EngineFigures
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.tuning import Tuning
    from quetzaldeck.decisions.upstream_state import UpstreamState

MAX_PART_SHARE_OF_GAP = 0.25
"""A prompt is long if, divided among as many engines as possible, each part would delay
the running sequences of its engine for more than this share of the shortest gap between
tokens. Two or three prompts of that length at a time then still leave all short answers
within their gaps."""

PREFILL_SHARE_OF_TARGET = 0.3
"""Share of the time-to-first-token target within which the lane should prefill all its
work: prompts arrive in bursts, and parts wait for other prompts on the same engine."""

MAX_PREFILL_SHARE_OF_TARGET = 0.75
"""Share of that target which prefill may take when fewer engines are used, so that
answers on the other engines are not delayed."""

MAX_PACKED_SHARE = 0.75
"""Share of an engine's slots that short requests fill before the next engine is used.
The rest is for requests that other VMs send at the same time and for long prompts."""

MAX_PACKED_BACKLOG_MS = 40.0
"""Longest prefill that may be ahead of a short request: about one pass of a generating
engine, so that it hardly affects the time to first token."""

MAX_RESERVED_SHARE = 0.75
"""Largest share of engines reserved for answers, regardless of their number."""

RESERVED_DIVISOR = 4
"""One engine in this many is always reserved. A VM that has just started knows of no
running answers, and some forty prompts arrive within the two seconds that the prefill
of half a million tokens takes; a quarter of the engines can hold them."""

NEARLY_IDLE_SHARE = 0.25
"""Share of the lane's prefill limit up to which its backlog admits any prompt, even one
that exceeds the limit by itself."""

MIN_TARGET_MS = 1.0
"""Lower bound of the target: a request past its deadline has no time left, and work is
divided by the target."""

SHORT_RANK = 2
LONG_RANK = 5


@head_of_line_policies.register("reading_lane")
class ReadingLane(HeadOfLinePolicy):
    """Keeps long prefills and short requests on different engines.

    Load pattern: a steady stream of prompts of 5,000 tokens, and bursts of prompts of
    100,000 to 600,000. Prefill time grows with the square of the length: a prompt of
    270,000 tokens takes six seconds of one engine. Spread over all engines, it stops
    every running answer for a third of a second, three such prompts for a second, so
    that all short answers are late. Prefilled by a few engines, the long prompt has its
    first token in time as well, and only short answers on these are late, ideally none.

    Engines are ordered by a hash of their names, so that all VMs agree on the order
    without messages. VMs send each other their loads on the engines.

    - Prompts that are not long may be divided among all engines, since their parts
      delay no answer beyond its gap. A request can name only a limited number of
      helpers, so beyond that number further engines do not raise the length limit.
    - Long prompts go to a lane: the engines with the fewest running answers, as many as
      are needed to prefill the backlog of all VMs and the prompt within its target,
      plus idle engines. Engines that generate answers are left out if the others meet
      the target: using them would delay every answer there only to get one prompt an
      earlier first token.
    - Some engines are always reserved for answers, as many as the running answers need.
      If all engines prefilled a prompt so that it is in time, every answer would be
      late; on two thirds of them, only the prompt itself is late.
    - Long prompts are queued. Engines interleave their prefills, so that prompts which
      start together all finish last. A prompt starts when the lane can prefill its
      backlog and the prompt within a share of the target: shorter prompts start
      earlier, and VMs need not ask each other. The allowed backlog grows with the wait,
      so that no prompt waits forever.
    - Short requests start at the last engines and fill one before the next is used: an
      engine generates eight answers about as fast as one.
    """

    def __init__(self) -> None:
        self._positions: dict[str, dict[str, int]] = {}
        self._figures: dict[str, EngineFigures] = {}
        self._gaps = TokenGaps()

    def configure(self, bundle: Bundle, tuning: Tuning) -> None:
        """Order the engines of each model by hash, and apply its callers' gaps."""
        self._gaps.configure(bundle)
        names: dict[str, list[str]] = {}
        for spec in bundle.upstreams:
            for model in spec.models:
                names.setdefault(model, []).append(spec.name)
                if spec.figures is not None:
                    self._figures[model] = spec.figures
        self._positions = {
            model: {
                name: index
                for index, name in enumerate(sorted(members, key=_hash_name))
            }
            for model, members in names.items()
        }

    def may_start(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> bool:
        """:returns: whether a prompt is not long, or the lane has capacity for it"""
        figures = self._figures.get(request.model)
        if figures is None or not self._is_long(request, figures):
            return True
        n_available = self._count_available(request, figures, pool, now_ms)
        lane = self._order_for_prefill(request, pool, now_ms)[:n_available]
        if not lane:
            return True
        backlog_ms = sum(state.prefill_backlog_ms(now_ms) for state in lane) / len(lane)
        own_ms = figures.prefill_ms(request.n_prompt_tokens, n_parts=len(lane))
        target_ms = _target_ms(request, now_ms)
        waited_ms = max(0.0, now_ms - request.arrived_ms)
        limit_ms = target_ms * PREFILL_SHARE_OF_TARGET * (1.0 + waited_ms / target_ms)
        is_nearly_idle = backlog_ms <= limit_ms * NEARLY_IDLE_SHARE
        return is_nearly_idle or backlog_ms + own_ms <= limit_ms

    def restrict(
        self, request: Request, candidates: Sequence[UpstreamState], now_ms: float
    ) -> Sequence[UpstreamState]:
        """:returns: candidates for the length of the prompt; all if none is suitable"""
        figures = self._figures.get(request.model)
        if figures is None:
            return candidates
        if self._is_long(request, figures):
            lane = self._list_lane(request, figures, candidates, now_ms)
            return lane or candidates
        return self._pack(request, figures, candidates, now_ms) or candidates

    def restrict_helpers(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> Sequence[UpstreamState]:
        """:returns: engines that may prefill parts of a prompt"""
        figures = self._figures.get(request.model)
        if figures is None or not self._is_long(request, figures):
            return pool
        return self._list_lane(request, figures, pool, now_ms)

    def rank(self, request: Request, upstream: str) -> int:
        """:returns: a lower rank for short prompts, which engines admit first"""
        figures = self._figures.get(request.model)
        is_long = figures is not None and self._is_long(request, figures)
        return LONG_RANK if is_long else SHORT_RANK

    def _is_long(self, request: Request, figures: EngineFigures) -> bool:
        n_engines = max(1, len(self._positions.get(request.model, ())))
        n_parts = min(n_engines, MAX_HELPERS + 1)
        gap_ms = self._gaps.shortest_ms(request.model)
        part_ms = figures.prefill_ms(request.n_prompt_tokens, n_parts=n_parts)
        return part_ms > gap_ms * MAX_PART_SHARE_OF_GAP

    def _list_lane(
        self,
        request: Request,
        figures: EngineFigures,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> list[UpstreamState]:
        """:returns: the engines that prefill a long prompt"""
        work_ms = figures.prefill_ms(request.n_prompt_tokens)
        work_ms += sum(state.prefill_backlog_ms(now_ms) for state in pool)
        target_ms = _target_ms(request, now_ms)
        n_desired = math.ceil(work_ms / (target_ms * PREFILL_SHARE_OF_TARGET))
        n_required = math.ceil(work_ms / (target_ms * MAX_PREFILL_SHARE_OF_TARGET))
        n_available = self._count_available(request, figures, pool, now_ms)
        ordered = self._order_for_prefill(request, pool, now_ms)
        lane = ordered[: min(n_desired, n_available)]
        while len(lane) > n_required and lane[-1].n_answers(now_ms):
            lane.pop()
        if n_desired > n_available:
            return lane
        idle = [s for s in ordered[n_desired:] if not s.n_requests(now_ms)]
        return lane + idle

    def _order_for_prefill(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> list[UpstreamState]:
        """:returns: the pool, engines with the fewest running answers first"""
        return sorted(
            pool,
            key=lambda s: (s.n_answers(now_ms), self._position(request, s)),
        )

    def _count_available(
        self,
        request: Request,
        figures: EngineFigures,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> int:
        """:returns: how many engines long prompts may use

        The others are reserved: as many as the running answers need, and at least a
        quarter for requests that arrive during a prefill.
        """
        n_engines = len(self._positions.get(request.model, ()))
        n_answers = sum(state.n_answers(now_ms) for state in pool)
        n_reserved = math.ceil(n_answers / (figures.n_slots * MAX_PACKED_SHARE))
        n_reserved = max(n_reserved, n_engines // RESERVED_DIVISOR)
        return n_engines - min(n_reserved, math.floor(n_engines * MAX_RESERVED_SHARE))

    def _pack(
        self,
        request: Request,
        figures: EngineFigures,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> list[UpstreamState]:
        """:returns: some of the last engines with capacity for a short request"""
        max_requests = max(1.0, figures.n_slots * MAX_PACKED_SHARE)
        n_by_state = [(state, state.n_answers(now_ms)) for state in pool]
        with_capacity = [
            state
            for state, n_answers in n_by_state
            if n_answers < max_requests
            and state.prefill_backlog_ms(now_ms) <= MAX_PACKED_BACKLOG_MS
        ]
        with_capacity.sort(key=lambda state: -self._position(request, state))
        # The pool may be a sample of a larger one.
        n_engines = len(self._positions.get(request.model, ()))
        mean = sum(n for _, n in n_by_state) / max(1, len(n_by_state))
        return draw_candidates(
            request, with_capacity, n_answers=mean * n_engines, n_engines=n_engines
        )

    def _position(self, request: Request, state: UpstreamState) -> int:
        positions = self._positions.get(request.model, {})
        return positions.get(state.spec.name, 0)


def _target_ms(request: Request, now_ms: float) -> float:
    """:returns: time-to-first-token target of a request, else time to its deadline"""
    return max(MIN_TARGET_MS, request.target_ms or request.deadline_ms - now_ms)


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


__all__ = ("ReadingLane",)
