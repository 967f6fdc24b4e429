"""Policies for short requests that the comparison of balanced load weighs.

They differ from ``reading_lane`` only in the engines that a short request compares, so
that differences of the results have one cause.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, ClassVar

import xxhash

from quetzaldeck.decisions.head_of_line import ReadingLane, head_of_line_policies
from quetzaldeck.decisions.head_of_line.reading_lane import (
    MAX_PACKED_BACKLOG_MS,
    MAX_PACKED_SHARE,
)
from quetzaldeck.decisions.head_of_line.short_candidates import N_COMPARED

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from quetzaldeck.bundle.engine_figures import EngineFigures
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState

RATE_TIME_CONSTANT_MS = 500.0
"""Time in which an arrival loses most of its weight in the rate of arrivals."""

SUBSET_DIVISOR = 4
"""Each VM uses one engine in this many for short requests."""


class _DrawnFromAll(ReadingLane):
    """Compares a few of all engines with a free slot, drawn by a hash."""

    n_compared: ClassVar[int]

    def _pack(
        self,
        request: Request,
        figures: EngineFigures,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> list[UpstreamState]:
        free = _list_free(figures, pool, now_ms)
        return _draw(request.request_id, free, self.n_compared)


@head_of_line_policies.register("two_of_all")
class TwoOfAll(_DrawnFromAll):
    """The power of two choices over all engines."""

    n_compared = 2


@head_of_line_policies.register("three_of_all")
class ThreeOfAll(_DrawnFromAll):
    """The power of three choices over all engines."""

    n_compared = 3


class _UnseenArrivals(ReadingLane):
    """Interprets stale loads: expects the requests placed since the loads were current.

    Fills as many engines, in the usual order, as have slots for the expected requests.
    The rate counts the arrivals at all VMs without delay, which no VM could know: the
    results are better than a real estimate would give.
    """

    assumed_age_ms: ClassVar[float]
    _arrivals: ClassVar[ArrivalRate]

    def note_arrival(self, request: Request, now_ms: float) -> None:
        """Count a request for all VMs."""
        self._arrivals.note(now_ms)

    def _pack(
        self,
        request: Request,
        figures: EngineFigures,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> list[UpstreamState]:
        max_requests = figures.n_slots * MAX_PACKED_SHARE
        free = _list_free(figures, pool, now_ms)
        free.sort(key=lambda state: -self._position(request, state))
        n_expected = self._arrivals.per_ms(now_ms) * self.assumed_age_ms
        eligible: list[UpstreamState] = []
        n_slots = 0.0
        for state in free:
            n_free = max_requests - state.n_answers(now_ms)
            if n_free <= 0:
                continue
            if n_slots >= n_expected and len(eligible) >= N_COMPARED:
                break
            eligible.append(state)
            n_slots += n_free
        return _draw(request.request_id, eligible, N_COMPARED)


class ArrivalRate:
    """Decaying count of arrivals; starts anew if the clock does."""

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_ms = 0.0

    def note(self, now_ms: float) -> None:
        """Count an arrival."""
        self._count = self._decayed(now_ms) + 1.0
        self._counted_ms = now_ms

    def per_ms(self, now_ms: float) -> float:
        """:returns: arrivals per millisecond"""
        return self._decayed(now_ms) / RATE_TIME_CONSTANT_MS

    def _decayed(self, now_ms: float) -> float:
        if now_ms < self._counted_ms:
            return 0.0
        elapsed_ms = now_ms - self._counted_ms
        return self._count * math.exp(-elapsed_ms / RATE_TIME_CONSTANT_MS)


@head_of_line_policies.register("unseen_100")
class Unseen100(_UnseenArrivals):
    """Expects the arrivals of 100 ms."""

    assumed_age_ms = 100.0
    _arrivals = ArrivalRate()


@head_of_line_policies.register("unseen_250")
class Unseen250(_UnseenArrivals):
    """Expects the arrivals of 250 ms."""

    assumed_age_ms = 250.0
    _arrivals = ArrivalRate()


@head_of_line_policies.register("drawn_if_full")
class DrawnIfFull(ReadingLane):
    """Draws a few engines if none has capacity for a short request.

    ``reading_lane`` compares all engines then, so that VMs with the same view of the
    load all choose the same one.
    """

    def _pack(
        self,
        request: Request,
        figures: EngineFigures,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> list[UpstreamState]:
        packed = super()._pack(request, figures, pool, now_ms)
        return packed or _draw(request.request_id, pool, N_COMPARED)


@head_of_line_policies.register("fixed_subset")
class FixedSubset(ReadingLane):
    """Each VM uses a fixed subset of the engines for short requests.

    The subset follows from the number of the VM, in order of their creation.
    """

    _numbers: ClassVar[Iterator[int]] = itertools.count()

    def __init__(self) -> None:
        super().__init__()
        self._number = next(self._numbers)

    def _pack(
        self,
        request: Request,
        figures: EngineFigures,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> list[UpstreamState]:
        n_engines = len(self._positions.get(request.model, ()))
        n_subset = max(1, n_engines // SUBSET_DIVISOR)
        subset = _draw(f"vm-{self._number}", pool, n_subset)
        return _list_free(figures, subset, now_ms)


def _list_free(
    figures: EngineFigures, pool: Sequence[UpstreamState], now_ms: float
) -> list[UpstreamState]:
    return [
        state
        for state in pool
        if state.n_answers(now_ms) < figures.n_slots
        and state.prefill_backlog_ms(now_ms) <= MAX_PACKED_BACKLOG_MS
    ]


def _draw(key: str, pool: Sequence[UpstreamState], n: int) -> list[UpstreamState]:
    def draw_key(state: UpstreamState) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\0{state.spec.name}".encode())

    return sorted(pool, key=draw_key)[:n]


NAMES = (
    "two_of_all",
    "three_of_all",
    "fixed_subset",
    "unseen_100",
    "unseen_250",
    "drawn_if_full",
)
"""Names by which the policies of this module are registered."""

__all__ = (
    "NAMES",
    "ArrivalRate",
    "DrawnIfFull",
    "FixedSubset",
    "ThreeOfAll",
    "TwoOfAll",
    "Unseen100",
    "Unseen250",
)
