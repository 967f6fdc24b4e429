"""Plans of memory on several engines, and how many of them wait for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.health import list_usable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.groups import GroupPlan, GroupPlanner
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState


class GroupPlans:
    """Plans for prompts that one engine cannot hold, on engines that take part.

    Load pattern: several huge prompts within a second on engines with few slots. An
    engine is a member of as many groups as it has slots; the next group is refused
    when its prompt is sent, after all its memory was set aside. Planned again on the
    same engines it is refused again, until its attempts are used up: one prompt of
    96,000 tokens named the same engine in four attempts within half a second.

    So engines that are members of too many groups, by what all VMs tell, are left
    out, and so are those that failed the request, as long as others can hold it.
    """

    def __init__(self, planner: GroupPlanner) -> None:
        self._planner = planner
        self._waiting: set[str] = set()

    @property
    def planner(self) -> GroupPlanner:
        """:returns: what chooses the members"""
        return self._planner

    @property
    def has_enough(self) -> bool:
        """:returns: whether further reservations would only wait for each other"""
        return len(self._waiting) >= self._planner.bounds.max_pending

    def is_needed(self, request: Request, pool: Sequence[UpstreamState]) -> bool:
        """:returns: whether one engine is not to hold a request alone"""
        return not request.service and self._planner.needs_group(request, pool)

    def note_waiting(self, attempt_id: str) -> None:
        """Note that an attempt asks for memory."""
        self._waiting.add(attempt_id)

    def note_settled(self, attempt_id: str) -> None:
        """Note that an attempt has its memory, or has ended without it."""
        self._waiting.discard(attempt_id)

    def plan(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        now_ms: float,
        avoided: Sequence[str] = (),
    ) -> GroupPlan | None:
        """:returns: memory on several engines; ``None`` if it cannot be had now

        :param avoided: engines that failed the request
        """
        if self.has_enough:
            return None
        usable = [state for state in _list_staying(pool) if state.may_help(now_ms)]
        fresh = [state for state in usable if state.spec.name not in avoided]
        plan = self._planner.plan(request, fresh, now_ms)
        if plan is None and len(fresh) < len(usable):
            plan = self._planner.plan(request, usable, now_ms)
        return plan

    def plan_aged(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> GroupPlan | None:
        """:returns: memory on one engine for a request that waited for too long"""
        if request.service or self.has_enough:
            return None
        return self._planner.plan_single(request, _list_staying(pool), now_ms)


def _list_staying(pool: Sequence[UpstreamState]) -> list[UpstreamState]:
    return [state for state in list_usable(pool) if not state.is_leaving]


__all__ = ("GroupPlans",)
