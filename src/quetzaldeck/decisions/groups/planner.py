"""Chooses groups of engines for prompts that one engine cannot hold.

Load pattern: one prompt in fifty is over 100 K tokens, and the longest need more memory
than two engines have, on the fleet that serves short ones. Without groups these prompts
are refused. With groups that are reserved member by member in any order, two prompts
can each hold half of the fleet and wait for the other forever.

A group is reserved all or nothing, in the order of the names, each reservation with a
timeout. Part of each member's memory is left to short requests. An engine serves
waiting reservations in order of arrival and admits no further long sequence before
them, so that short requests do not starve a long prompt.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.group_bounds import GroupBounds
from quetzaldeck.decisions.group_plan import GroupPlan, build_plan, n_reservable_tokens

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState


class GroupPlanner:
    """Plans groups; keeps no reservations itself.

    :param bounds: limits of group reservations
    """

    def __init__(self, bounds: GroupBounds | None = None) -> None:
        self._bounds = bounds or GroupBounds()

    @property
    def bounds(self) -> GroupBounds:
        """:returns: limits of group reservations"""
        return self._bounds

    def needs_group(self, request: Request, pool: Sequence[UpstreamState]) -> bool:
        """:returns: whether a request needs more memory than any engine may reserve

        Such a request would otherwise wait for an empty engine, which a busy fleet
        never has.
        """
        largest = max(
            (n_reservable_tokens(s.spec, self._bounds) for s in pool), default=0
        )
        return request.n_kv_tokens > largest

    def can_hold(self, request: Request, pool: Sequence[UpstreamState]) -> bool:
        """:returns: whether the pool could hold the request if it held no others"""
        if any(request.n_kv_tokens <= state.spec.kv_tokens for state in pool):
            return True
        return self._largest_group(request, pool) is not None

    def plan(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> GroupPlan | None:
        """Choose as few members as the bounds allow.

        They are in one availability zone if the bounds prefer that and a zone suffices.

        :param pool: upstreams that accept new work
        :returns: the plan; ``None`` if the pool cannot hold the request
        """
        if not self._bounds.prefers_zone:
            return self._plan_within(request, pool, now_ms)
        zones: dict[str, list[UpstreamState]] = {}
        for state in pool:
            zones.setdefault(state.spec.availability_zone, []).append(state)
        plans = [
            self._plan_within(request, members, now_ms) for members in zones.values()
        ]
        found = [plan for plan in plans if plan is not None]
        if found:
            return min(found, key=_n_members)
        return self._plan_within(request, pool, now_ms)

    def plan_single(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> GroupPlan | None:
        """:returns: a reservation on one engine for a long request that has aged"""
        if now_ms - request.arrived_ms < self._bounds.aged_ms:
            return None
        candidates = [
            state
            for state in pool
            if request.n_kv_tokens <= n_reservable_tokens(state.spec, self._bounds)
            and request.n_kv_tokens
            >= state.spec.kv_tokens * self._bounds.min_aged_share
        ]
        if not candidates:
            return None
        state = min(candidates, key=lambda state: _memory_share(state, now_ms))
        return GroupPlan(
            (state.spec.name,), (request.n_prompt_tokens,), (request.n_kv_tokens,)
        )

    def _plan_within(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> GroupPlan | None:
        by_load = sorted(pool, key=lambda state: _memory_share(state, now_ms))
        n_max = min(len(by_load), self._bounds.max_members)
        n_min = min(n_max, self._bounds.min_members)
        for n_members in range(max(1, n_min), n_max + 1):
            specs = [state.spec for state in by_load[:n_members]]
            plan = build_plan(request, specs, self._bounds)
            if plan is not None:
                return plan
        return None

    def _largest_group(
        self, request: Request, pool: Sequence[UpstreamState]
    ) -> GroupPlan | None:
        by_size = sorted(pool, key=_kv_tokens, reverse=True)
        specs = [state.spec for state in by_size[: self._bounds.max_members]]
        return build_plan(request, specs, self._bounds) if specs else None


def _n_members(plan: GroupPlan) -> int:
    return len(plan.upstreams)


def _memory_share(state: UpstreamState, now_ms: float) -> float:
    return state.n_kv_tokens_used(now_ms) / max(1, state.spec.kv_tokens)


def _kv_tokens(state: UpstreamState) -> int:
    return state.spec.kv_tokens


__all__ = ("GroupPlanner",)
