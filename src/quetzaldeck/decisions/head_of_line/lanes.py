"""Separates long prompts from short requests by engine and by rank."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

from quetzaldeck.decisions.head_of_line.api import (
    HeadOfLinePolicy,
    head_of_line_policies,
)
from quetzaldeck.decisions.head_of_line.demand import ShortDemand
from quetzaldeck.decisions.head_of_line.time_average import TimeAverage
from quetzaldeck.decisions.request import (
    MAX_MEDIUM_TOKENS,
    MAX_SHORT_TOKENS,
    LengthClass,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.bundle.document import Bundle
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.tuning import Tuning
    from quetzaldeck.decisions.upstream_state import UpstreamState

MAX_LIGHT_LOAD_TOKENS = 16_384
"""Most prefill tokens of an engine on which a request starts soon: 0.8 s of work,
slightly more than the age of a load report, so that engines do not run idle between
reports."""

MAX_OVERFLOW_TOKENS = 8_192
"""Most prefill tokens of short and medium requests that one VM queues on an engine with
more than :data:`MAX_LIGHT_LOAD_TOKENS`. Only requests that overtake the load are sent
there: short ones overtake any, medium ones only a long prompt."""

PRESSURE_GAIN = 2.0
"""Growth of the reserved capacity when short requests find no lightly loaded engine at
all. Their share of the arriving work shows the capacity they need only while the fleet
is not full."""
PRESSURE_MS = 10_000.0
"""Averaging time of that pressure: the time of several prefills of long prompts."""

MAX_RANK = 9
"""Least urgent rank that upstreams accept."""
RANKS_BY_CLASS = {
    LengthClass.SHORT: 0,
    LengthClass.MEDIUM: 2,
    LengthClass.LONG: 4,
    LengthClass.HUGE: 6,
}
_PRIORITIES_PER_RANK = 3


@head_of_line_policies.register("lanes")
class Lanes(HeadOfLinePolicy):
    """Keeps long prefills away from short requests without starving either.

    Load pattern: one prompt in fifty is over 100 K tokens and brings half of the work.
    On an engine that prefills it, every step takes 0.1 to 0.6 s, and requests of equal
    priority wait until the prefill is done, up to minutes. Placed without restriction,
    a few such prompts block short requests on most engines.

    - An engine runs one long prefill at a time. A second one waits in the gateway,
      from where it can go to whichever engine is free first.
    - Engines are ordered by a hash of their names, so that all VMs agree on the order
      without messages. Long prompts prefer the first engines: there they have the rank
      of medium ones and keep a guaranteed share of the fleet. The last engines accept
      no long prompts; their number follows the share of short requests in the work and
      falls to zero when none arrive. On the engines in between, long prompts run at a
      low rank, so that the engine prefills shorter ones first.
    - A short request goes to a lightly loaded engine if there is one, otherwise, in
      bounded amount, to one whose load it overtakes.
    """

    def __init__(self) -> None:
        self._tuning: Tuning | None = None
        self._positions: dict[str, float] = {}
        self._n_engines = 0
        self._demand = ShortDemand(prior=1.0)
        self._pressure = TimeAverage(PRESSURE_MS)

    def configure(self, bundle: Bundle, tuning: Tuning) -> None:
        """Order the engines by hash."""
        self._tuning = tuning
        names = [spec.name for spec in bundle.upstreams if spec.kind == "engine"]
        names.sort(key=_hash_name)
        self._positions = {name: index / len(names) for index, name in enumerate(names)}
        self._n_engines = len(names)

    def note_arrival(self, request: Request, now_ms: float) -> None:
        """Record the arrival in the share of short requests."""
        if request.model:
            self._demand.note(
                request.n_prompt_tokens, now_ms, is_short=not _is_long(request)
            )

    def restrict(
        self, request: Request, candidates: Sequence[UpstreamState], now_ms: float
    ) -> Sequence[UpstreamState]:
        """:returns: the most preferred candidates by the length of the prompt"""
        if not request.model:
            return candidates
        if _is_long(request):
            return self._restrict_long(candidates, now_ms)
        return self._restrict_short(request, candidates, now_ms)

    def rank(self, request: Request, upstream: str) -> int:
        """:returns: rank by length class, shifted slightly by the request's priority"""
        rank = RANKS_BY_CLASS[request.length_class]
        if self._prefers_long(upstream):
            rank = min(rank, RANKS_BY_CLASS[LengthClass.MEDIUM])
        return min(MAX_RANK, rank + request.priority // _PRIORITIES_PER_RANK)

    def _restrict_long(
        self, candidates: Sequence[UpstreamState], now_ms: float
    ) -> Sequence[UpstreamState]:
        free = [
            state
            for state in candidates
            if not _has_long(state) and not self._is_reserved_for_short(state, now_ms)
        ]
        preferring_long = [
            state for state in free if self._prefers_long(state.spec.name)
        ]
        return _least_busy(preferring_long or free)

    def _restrict_short(
        self, request: Request, candidates: Sequence[UpstreamState], now_ms: float
    ) -> Sequence[UpstreamState]:
        lightly_loaded = [
            s for s in candidates if s.n_prefill_tokens() <= MAX_LIGHT_LOAD_TOKENS
        ]
        self._pressure.note(0.0 if lightly_loaded else 1.0, now_ms)
        others = [s for s in lightly_loaded if not self._prefers_long(s.spec.name)]
        if lightly_loaded:
            return others or lightly_loaded
        is_short = request.length_class is LengthClass.SHORT
        max_tokens = MAX_SHORT_TOKENS if is_short else MAX_MEDIUM_TOKENS
        return [
            state
            for state in candidates
            if not self._prefers_long(state.spec.name)
            and _n_own_tokens(state, max_tokens) <= MAX_OVERFLOW_TOKENS
            and (is_short or _has_long(state))
        ]

    def _prefers_long(self, upstream: str) -> bool:
        if self._tuning is None:
            return False
        n_first = math.floor(self._tuning.long_share * self._n_engines)
        return self._positions.get(upstream, 1.0) * self._n_engines < n_first

    def _is_reserved_for_short(self, state: UpstreamState, now_ms: float) -> bool:
        if self._tuning is None:
            return False
        wanted = self._demand.share(now_ms) * self._tuning.short_headroom
        wanted *= 1.0 + PRESSURE_GAIN * self._pressure.value
        share = min(self._tuning.max_short_share, wanted)
        n_reserved = min(math.ceil(share * self._n_engines), self._n_engines - 1)
        position = self._positions.get(state.spec.name, 0.0)
        return position * self._n_engines >= self._n_engines - n_reserved


def _is_long(request: Request) -> bool:
    return request.n_prompt_tokens > MAX_MEDIUM_TOKENS


def _has_long(state: UpstreamState) -> bool:
    """:returns: whether a long prefill probably runs; reports give only sums"""
    return state.n_prefill_tokens() > MAX_MEDIUM_TOKENS


def _least_busy(states: list[UpstreamState]) -> list[UpstreamState]:
    """:returns: the engines with the fewest requests, or one more

    A long prefill slows the answers of all other requests on its engine. Every step of
    a long prefill is long: an answer that is being generated on the same engine gets a
    token every 0.1 to 0.6 s instead of every 10 ms.
    """
    fewest = min((state.n_requests() for state in states), default=0)
    return [state for state in states if state.n_requests() <= fewest + 1]


def _n_own_tokens(state: UpstreamState, max_tokens: int) -> int:
    """:returns: tokens left to prefill of this VM's prompts of up to ``max_tokens``"""
    return sum(
        attempt.n_prefill_tokens
        for attempt in state.in_flight
        if attempt.n_prefill_tokens <= max_tokens
    )


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


__all__ = ("Lanes",)
