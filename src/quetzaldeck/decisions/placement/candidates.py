"""Filters a pool for the upstreams that can accept a request now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.placement.exclusion import Exclusion
from quetzaldeck.decisions.pools import admit_probes, list_usable
from quetzaldeck.decisions.request import LengthClass

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState

N_SAMPLED = 32
"""Sample size in a large pool; pools up to this size are searched whole."""

N_SUFFICIENT = 8
"""Candidates in the sample that suffice; with fewer the whole pool is searched."""

PROBE_OVERDUE_MS = 5_000.0
"""How long a probe is overdue before a repeatable request of any length may make it."""

PROBE_ANY_REQUEST_MS = 60_000.0
"""How long a probe is overdue before even an unrepeatable request may make it."""

_PROBE_CLASSES = frozenset((LengthClass.SHORT, LengthClass.MEDIUM))


class CandidateFilter:
    """Filters a pool by state, capacity and health.

    Large pools are sampled first: checking 780 upstreams for each request would cost
    more than a better choice gains.

    :param random_state: random source of the samples
    :param max_requests: concurrent requests per upstream, unless its entry sets a limit
    """

    def __init__(self, *, random_state: random.Random, max_requests: int) -> None:
        self._random_state = random_state
        self._max_requests = max_requests

    def find_probe(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        avoided: Sequence[str],
        now_ms: float,
    ) -> UpstreamState | None:
        """:returns: an ejected upstream that this request should probe

        A probe may cost the request an attempt, so probes are first left to short and
        medium requests that may be repeated. If none of these arrive, other requests
        probe after a delay; otherwise the upstream would stay ejected.
        """
        for state in admit_probes(pool, now_ms):
            is_untried = state.spec.name not in avoided
            if is_untried and self.can_accept(state, request, now_ms):
                overdue_ms = now_ms - state.health.hold_until_ms
                if overdue_ms >= _probe_delay_ms(request, state):
                    return state
        return None

    def list_candidates(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        now_ms: float,
        preferred: Collection[str] = (),
    ) -> list[UpstreamState]:
        """:returns: upstreams that can accept the request

        :param preferred: names of upstreams that are added to the sample
        """
        if len(pool) > N_SAMPLED:
            candidates = self._sample(request, pool, now_ms, preferred)
            if len(candidates) >= N_SUFFICIENT:
                return candidates
        return [s for s in list_usable(pool) if self.can_accept(s, request, now_ms)]

    def _sample(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        now_ms: float,
        preferred: Collection[str],
    ) -> list[UpstreamState]:
        sample = self._random_state.sample(pool, N_SAMPLED)
        if preferred:
            sampled = {state.spec.name for state in sample}
            wanted = set(preferred) - sampled
            sample.extend(state for state in pool if state.spec.name in wanted)
        return [
            state
            for state in sample
            if not state.health.is_ejected and self.can_accept(state, request, now_ms)
        ]

    def can_accept(self, state: UpstreamState, request: Request, now_ms: float) -> bool:
        """Check whether an upstream gets new work, has capacity and takes requests."""
        return self.find_exclusion(state, request, now_ms) is None

    def find_exclusion(
        self, state: UpstreamState, request: Request, now_ms: float
    ) -> Exclusion | None:
        """:returns: why an upstream cannot accept a request; ``None`` if it can"""
        return find_block(state, now_ms) or self._find_shortage(state, request, now_ms)

    def max_requests(self, state: UpstreamState) -> int:
        """:returns: limit of concurrent requests of an upstream"""
        return state.spec.max_requests or self._max_requests

    def find_next_turn(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        now_ms: float,
        latest_turn_ms: float,
    ) -> UpstreamState | None:
        """Find the upstream whose rate limit allows a request soonest.

        :param latest_turn_ms: latest time at which the request may get its turn
        :returns: ``None`` if none does in time, or if another upstream need only free
            capacity
        """
        if find_soonest(pool, now_ms) is None:
            return None
        free = [s for s in pool if self._find_shortage(s, request, now_ms) is None]
        soonest = find_soonest(free, now_ms)
        if soonest is None or soonest.rest_wait_ms(now_ms):
            return None
        turn_ms = now_ms + soonest.pacing.wait_ms(now_ms)
        return soonest if turn_ms <= latest_turn_ms else None

    def _find_shortage(
        self, state: UpstreamState, request: Request, now_ms: float
    ) -> Exclusion | None:
        """:returns: the capacity that an upstream lacks for a request, if any"""
        if state.n_requests(now_ms) >= self.max_requests(state):
            return Exclusion.SLOTS
        if state.spec.kind == "service":
            return None
        n_needed = state.n_kv_tokens_used(now_ms) + request.n_kv_tokens
        return None if n_needed <= state.spec.kv_tokens else Exclusion.MEMORY


def find_block(state: UpstreamState, now_ms: float) -> Exclusion | None:
    """:returns: why an upstream takes no request of any size now, if it takes none"""
    closure = state.find_closure(now_ms)
    if closure is not None:
        return Exclusion(closure.cause.value)
    if state.rest_wait_ms(now_ms):
        return Exclusion.RESTING
    if not state.pacing.is_blocked(now_ms):
        return None
    return Exclusion.COLD if state.pacing.is_cold else Exclusion.RATE_LIMITED


def find_soonest(pool: Sequence[UpstreamState], now_ms: float) -> UpstreamState | None:
    """Find the upstream that takes a request soonest, if all rest or limit their rate.

    :returns: ``None`` if one of the usable upstreams need only have capacity
    """
    is_unrestricted_known = any(
        state.accepts_work
        and not (state.health.is_ejected or state.is_restricted(now_ms))
        for state in pool
    )
    if is_unrestricted_known:
        return None
    usable = [state for state in list_usable(pool) if state.accepts_work]
    if not all(state.is_restricted(now_ms) for state in usable):
        return None
    return min(usable, key=lambda state: state.wait_ms(now_ms), default=None)


def _probe_delay_ms(request: Request, state: UpstreamState) -> float:
    """:returns: how long overdue a probe must be before this request may make it

    A request that must not be repeated is lost if the connection breaks after it was
    sent, but not if the connection is refused. It may therefore probe earlier where
    the last fault was a refused connection.
    """
    if request.is_repeatable:
        is_cheap = request.length_class in _PROBE_CLASSES
        return 0.0 if is_cheap else PROBE_OVERDUE_MS
    return PROBE_OVERDUE_MS if state.health.was_refused else PROBE_ANY_REQUEST_MS


__all__ = ("CandidateFilter", "find_block", "find_soonest")
