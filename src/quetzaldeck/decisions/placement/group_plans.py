"""Plans of group reservations, with a bound on how many are pending."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.placement.candidates import find_block
from quetzaldeck.decisions.pools import list_usable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.groups import GroupPlan, GroupPlanner
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState


class GroupPlans:
    """Plans reservations for prompts that one engine cannot hold.

    Load pattern: several huge prompts within a second on engines with few slots. An
    engine joins as many groups as it has slots and refuses the next one when its prompt
    is sent, after all memory was reserved. If the prompt were planned on the same
    engines again, it would be refused until its attempts are used up: one prompt of
    96,000 tokens named the same engine in four attempts within half a second.

    Engines that prefill as many prompt parts as they have slots, by the loads of all
    VMs, and engines that recently refused a part are therefore left out. Engines that
    failed the request are left out as long as others can hold it.
    """

    def __init__(self, planner: GroupPlanner) -> None:
        self._planner = planner
        self._pending: set[str] = set()

    @property
    def planner(self) -> GroupPlanner:
        """:returns: planner that chooses the members"""
        return self._planner

    @property
    def is_at_limit(self) -> bool:
        """:returns: whether no further reservation may be pending"""
        return len(self._pending) >= self._planner.bounds.max_pending

    def is_needed(self, request: Request, pool: Sequence[UpstreamState]) -> bool:
        """:returns: whether a request is too large for one engine"""
        return not request.service and self._planner.needs_group(request, pool)

    def note_pending(self, attempt_id: str) -> None:
        """Record that an attempt waits for its reservation."""
        self._pending.add(attempt_id)

    def note_settled(self, attempt_id: str) -> None:
        """Record that an attempt got its reservation or ended without it."""
        self._pending.discard(attempt_id)

    def is_pending(self, attempt_id: str) -> bool:
        """:returns: whether an attempt waits for its reservation"""
        return attempt_id in self._pending

    def plan(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        now_ms: float,
        avoided: Sequence[str] = (),
    ) -> GroupPlan | None:
        """:returns: a reservation on several engines; ``None`` if none is possible

        :param avoided: engines that failed the request
        """
        if self.is_at_limit:
            return None
        available = _list_available(pool, now_ms)
        usable = [state for state in available if state.may_help(now_ms)]
        untried = [state for state in usable if state.spec.name not in avoided]
        plan = self._planner.plan(request, untried, now_ms)
        if plan is None and len(untried) < len(usable):
            plan = self._planner.plan(request, usable, now_ms)
        return plan

    def plan_aged(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> GroupPlan | None:
        """:returns: a reservation on one engine for a long request that has aged"""
        if request.service or self.is_at_limit:
            return None
        return self._planner.plan_single(request, _list_available(pool, now_ms), now_ms)


def _list_available(
    pool: Sequence[UpstreamState], now_ms: float
) -> list[UpstreamState]:
    return [state for state in list_usable(pool) if find_block(state, now_ms) is None]


__all__ = ("GroupPlans",)
