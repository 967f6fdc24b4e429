"""Long reads at one end of the engines, short answers packed at the other."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

from quetzaldeck.decisions.head_of_line.api import (
    HeadOfLinePolicy,
    head_of_line_policies,
)
from quetzaldeck.decisions.head_of_line.short_candidates import draw_candidates
from quetzaldeck.decisions.placement.first_token import MAX_HELPERS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.bundle.document import Bundle
    from quetzaldeck.bundle.engine_figures import EngineFigures
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.tuning import Tuning
    from quetzaldeck.decisions.upstream_state import UpstreamState

MAX_PART_SHARE = 0.25
"""Part of the shortest pause between tokens that a part may hold an engine's writers
up for, if as many engines read one as may. Two or three long prompts at a time then
still leave the short answers everywhere within their pauses."""

DEFAULT_GAP_MS = 250.0
"""Shortest pause where no request has stated one; a reader's pace."""

READ_SHARE_OF_TARGET = 0.3
"""Part of the time to the first token in which the lane has to read all that is to be
read there: prompts come in bursts, and parts of one engine wait for another's."""

MAX_READ_SHARE_OF_TARGET = 0.75
"""Part of that time which reading may take where fewer engines read, so that answers
that are written on the others go on."""

MAX_PACKED_SHARE = 0.75
"""Part of an engine's slots that short requests fill before the next engine gets any.
The rest is for what other VMs send in the same instant, and for long prompts."""

MAX_PACKED_UNREAD_MS = 40.0
"""Prompts that an engine may have to read before a short one: about a pass of an engine
that writes, so that it hardly shows in the time to the first token."""

MAX_KEPT_SHARE = 0.75
"""Most of the engines that may be kept from long prompts, however much is written."""

MIN_KEPT_DIVISOR = 4
"""One engine in so many is never taken by long prompts. A VM that has just started
knows of no answers that are written, and some forty prompts come within the two seconds
in which a prompt of half a million tokens is read; a quarter of the engines holds
them."""

IDLE_SHARE = 0.25
"""Part of the reading that the lane may have before it, up to which the longest prompt
may begin, though by itself it takes longer than all may."""

MIN_TARGET_MS = 1.0
"""Least time that a prompt's work is divided by; one whose time is up has none left."""

SHORT_RANK = 2
LONG_RANK = 5


@head_of_line_policies.register("reading_lane")
class ReadingLane(HeadOfLinePolicy):
    """Keeps long reads and short answers at different ends of the engines.

    Load pattern: prompts of 5,000 tokens all the time, and some of 100,000 to 600,000
    that come in bursts. Reading costs the square of the length: a prompt of 270,000
    tokens takes six seconds of an engine. Spread over all engines it stops every
    answer that is being written for a third of a second, three of them for a second,
    so that all short answers are late. On a few engines it is read in time as well,
    and only the short answers there notice: best if there are none.

    Engines are ordered by a hash of their names, the same on all VMs, so that VMs agree
    without a message; what runs where they tell each other.

    - What can be spread over engines in parts that hold nobody up, is. A request names
      a limited number of them, however many there are.
    - Longer prompts are read where the fewest answers are written, by as many engines
      as can read within the target what all VMs have sent to be read, and by those that
      are idle. Engines that write are left out while the others are in time without
      them: an earlier first token of one prompt costs each answer there a pause.
    - However much is to be read, some engines stay free of it, as many as the answers
      that are written now need. A prompt that all engines read to be in time itself
      holds up every answer; on two thirds of them it alone is late.
    - Long prompts take turns. Engines read a little of all that they have, so that
      prompts which are begun together all end last. One begins while the lane reads all
      that it has, this one included, within a share of its target: the shorter ones
      find room first, and no VM has to ask another. Who waits is let in with more and
      more before it, so that nobody waits for ever.
    - Short requests begin at the last engines and fill them before they take another:
      an engine writes eight answers about as fast as one.
    """

    def __init__(self) -> None:
        self._positions: dict[str, dict[str, int]] = {}
        self._figures: dict[str, EngineFigures] = {}
        self._least_gap_ms = math.inf

    def configure(self, bundle: Bundle, tuning: Tuning) -> None:
        """Order the engines of each model."""
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

    def note_arrival(self, request: Request, now_ms: float) -> None:
        """Learn the shortest pause that a caller bears."""
        if request.max_gap_ms:
            self._least_gap_ms = min(self._least_gap_ms, request.max_gap_ms)

    def may_begin(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> bool:
        """:returns: whether the lane has room for a long prompt among its reads"""
        figures = self._figures.get(request.model)
        if figures is None or not self._is_long(request, figures):
            return True
        n_free = self._count_free(request, figures, pool, now_ms)
        lane = self._order_for_reading(request, pool, now_ms)[:n_free]
        if not lane:
            return True
        backlog_ms = sum(state.prefill_backlog_ms(now_ms) for state in lane) / len(lane)
        own_ms = figures.read_ms(request.n_prompt_tokens, n_parts=len(lane))
        target_ms = _target_ms(request, now_ms)
        waited_ms = max(0.0, now_ms - request.arrived_ms)
        limit_ms = target_ms * READ_SHARE_OF_TARGET * (1.0 + waited_ms / target_ms)
        is_idle = backlog_ms <= limit_ms * IDLE_SHARE
        return is_idle or backlog_ms + own_ms <= limit_ms

    def restrict(
        self, request: Request, candidates: Sequence[UpstreamState], now_ms: float
    ) -> Sequence[UpstreamState]:
        """:returns: candidates at the request's end; all if none is there"""
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
        """:returns: engines that may read parts of a prompt"""
        figures = self._figures.get(request.model)
        if figures is None or not self._is_long(request, figures):
            return pool
        return self._list_lane(request, figures, pool, now_ms)

    def rank(self, request: Request, upstream: str) -> int:
        """:returns: a lower rank for short prompts: they are admitted first"""
        figures = self._figures.get(request.model)
        is_long = figures is not None and self._is_long(request, figures)
        return LONG_RANK if is_long else SHORT_RANK

    def _is_long(self, request: Request, figures: EngineFigures) -> bool:
        n_engines = max(1, len(self._positions.get(request.model, ())))
        n_parts = min(n_engines, MAX_HELPERS + 1)
        gap_ms = self._least_gap_ms
        if math.isinf(gap_ms):
            gap_ms = DEFAULT_GAP_MS
        part_ms = figures.read_ms(request.n_prompt_tokens, n_parts=n_parts)
        return part_ms > gap_ms * MAX_PART_SHARE

    def _list_lane(
        self,
        request: Request,
        figures: EngineFigures,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> list[UpstreamState]:
        """:returns: the engines that read a long prompt"""
        work_ms = figures.read_ms(request.n_prompt_tokens)
        work_ms += sum(state.prefill_backlog_ms(now_ms) for state in pool)
        target_ms = _target_ms(request, now_ms)
        n_soon = math.ceil(work_ms / (target_ms * READ_SHARE_OF_TARGET))
        n_least = math.ceil(work_ms / (target_ms * MAX_READ_SHARE_OF_TARGET))
        n_free = self._count_free(request, figures, pool, now_ms)
        ordered = self._order_for_reading(request, pool, now_ms)
        lane = ordered[: min(n_soon, n_free)]
        while len(lane) > n_least and lane[-1].n_answers(now_ms):
            lane.pop()
        if n_soon > n_free:
            return lane
        idle = [s for s in ordered[n_soon:] if not s.n_requests(now_ms)]
        return lane + idle

    def _order_for_reading(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> list[UpstreamState]:
        """:returns: the pool, engines that write the fewest answers first"""
        return sorted(
            pool,
            key=lambda s: (s.n_answers(now_ms), self._position(request, s)),
        )

    def _count_free(
        self,
        request: Request,
        figures: EngineFigures,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> int:
        """:returns: how many engines long prompts may take

        The others are as many as what is written now fits on, and a quarter for what
        arrives while a prompt is read.
        """
        n_engines = len(self._positions.get(request.model, ()))
        n_answers = sum(state.n_answers(now_ms) for state in pool)
        n_kept = math.ceil(n_answers / (figures.n_slots * MAX_PACKED_SHARE))
        n_kept = max(n_kept, n_engines // MIN_KEPT_DIVISOR)
        return n_engines - min(n_kept, math.floor(n_engines * MAX_KEPT_SHARE))

    def _pack(
        self,
        request: Request,
        figures: EngineFigures,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> list[UpstreamState]:
        """:returns: some of the last engines with room for one more short answer"""
        max_requests = max(1.0, figures.n_slots * MAX_PACKED_SHARE)
        n_by_state = [(state, state.n_answers(now_ms)) for state in pool]
        fitting = [
            state
            for state, n_answers in n_by_state
            if n_answers < max_requests
            and state.prefill_backlog_ms(now_ms) <= MAX_PACKED_UNREAD_MS
        ]
        fitting.sort(key=lambda state: -self._position(request, state))
        # The pool may be a sample of a large one.
        n_engines = len(self._positions.get(request.model, ()))
        mean = sum(n for _, n in n_by_state) / max(1, len(n_by_state))
        return draw_candidates(
            request, fitting, n_answers=mean * n_engines, n_engines=n_engines
        )

    def _position(self, request: Request, state: UpstreamState) -> int:
        positions = self._positions.get(request.model, {})
        return positions.get(state.spec.name, 0)


def _target_ms(request: Request, now_ms: float) -> float:
    """:returns: time to the first token that its caller wants, or has left"""
    return max(MIN_TARGET_MS, request.target_ms or request.deadline_ms - now_ms)


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


__all__ = ("ReadingLane",)
