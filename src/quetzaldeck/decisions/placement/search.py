"""Finds the upstreams of a request: filters them, then lets the policy choose.

Load pattern: requests of all lengths for a pool in which some upstreams are leaving,
faulty, full, or run a request suspected of crashing engines. These filters apply before
every placement policy, so that a policy compares only permitted upstreams.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.placement.candidates import find_block
from quetzaldeck.decisions.placement.exclusion import Exclusion
from quetzaldeck.decisions.placement.placement import Placement
from quetzaldeck.decisions.pools import exclude_failing, exclude_slow
from quetzaldeck.decisions.request import LengthClass

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.groups import GroupPlan
    from quetzaldeck.decisions.head_of_line import HeadOfLinePolicy
    from quetzaldeck.decisions.placement.api import PlacementPolicy
    from quetzaldeck.decisions.placement.candidates import CandidateFilter
    from quetzaldeck.decisions.placement.filter_trace import FilterTrace
    from quetzaldeck.decisions.placement.group_plans import GroupPlans
    from quetzaldeck.decisions.placement.helper_selector import HelperSelector
    from quetzaldeck.decisions.placement.suspect_placer import SuspectPlacer
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState
    from quetzaldeck.decisions.upstream_table import UpstreamTable


_LONG_CLASSES = frozenset((LengthClass.LONG, LengthClass.HUGE))


class PlacementSearch:
    """Searches for a placement; it reserves nothing.

    :param table: all upstreams
    :param policy: chooses among the permitted upstreams
    :param head_of_line: keeps long prompts away from short requests
    :param candidates: filters out upstreams without capacity
    :param plans: plans group reservations
    :param helper_selector: chooses the engines that prefill parts of a prompt
    :param suspects: places requests suspected of crashing engines
    """

    trace: FilterTrace | None = None
    """Records what the filters exclude; set only on a copy that explains a choice."""

    def __init__(
        self,
        *,
        table: UpstreamTable,
        policy: PlacementPolicy,
        head_of_line: HeadOfLinePolicy,
        candidates: CandidateFilter,
        plans: GroupPlans,
        helper_selector: HelperSelector,
        suspects: SuspectPlacer,
    ) -> None:
        self._table = table
        self._policy = policy
        self._head_of_line = head_of_line
        self._candidates = candidates
        self._plans = plans
        self._helper_selector = helper_selector
        self._suspects = suspects

    def find(
        self,
        request: Request,
        avoided: Sequence[str],
        now_ms: float,
        latest_turn_ms: float = math.inf,
        *,
        prefers_unlimited: bool = False,
    ) -> Placement | None:
        """Find the upstreams of a request.

        :param avoided: upstreams that are used only if there is no other
        :param latest_turn_ms: latest time at which the request may get its turn
        :param prefers_unlimited: whether upstreams that limit their rate are left out
            as long as there are others
        :returns: the placement; ``None`` if the request has to wait
        """
        pool = self._table.list_serving(request)
        if prefers_unlimited:
            pool = [state for state in pool if not state.pacing.is_limited] or pool
        placement = self._find_now(request, pool, avoided, now_ms)
        if placement is None:
            placement = self._find_next_turn(request, now_ms, latest_turn_ms)
        return placement

    def can_start(
        self, request: Request, now_ms: float, latest_turn_ms: float = math.inf
    ) -> bool:
        """Check whether a request could be dispatched if no other were queued.

        The policy is not consulted: each call would advance round robin by one turn.

        :param latest_turn_ms: latest time at which the request may get its turn
        """
        pool = self._table.list_serving(request)
        if not self.may_start(request, pool, now_ms):
            return False
        if self._suspects.is_suspect(request, now_ms):
            return self._suspects.find(request, pool, (), now_ms) is not None
        if (
            self._plans.is_needed(request, pool)
            and self._plans.plan(request, pool, now_ms) is not None
        ):
            return True
        if self._list_allowed(request, pool, (), now_ms):
            return True
        return self._find_next_turn(request, now_ms, latest_turn_ms) is not None

    def may_start(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> bool:
        """:returns: whether no long prompt that is under way has to end first"""
        if request.service:
            return True
        return self._head_of_line.may_start(request, pool, now_ms)

    def find_exclusion(
        self, request: Request, state: UpstreamState, now_ms: float
    ) -> Exclusion | None:
        """:returns: why :meth:`find`, just traced, leaves out an upstream, if it does

        :raises ValueError: if the search is not traced
        """
        if self.trace is None:
            msg = "set a trace and search for a placement first"
            raise ValueError(msg)
        name = state.spec.name
        if name in self.trace.candidates:
            return self.trace.excluded.get(name)
        exclusion = self._candidates.find_exclusion(state, request, now_ms)
        if exclusion is None and state.pacing.is_cold and self.trace.candidates:
            return _find_ejection(state) or Exclusion.COLD
        if exclusion is not None or not self.trace.candidates:
            return exclusion or _find_ejection(state)
        return _find_ejection(state) or Exclusion.NOT_SAMPLED

    def find_group_exclusions(
        self, request: Request, now_ms: float
    ) -> dict[str, Exclusion]:
        """:returns: engines that cannot be members of a group, and why"""
        pool = self._table.list_serving(request)
        members = self._helper_selector.list_prefill_engines(request, pool, now_ms)
        names = {state.spec.name for state in members}
        found = {
            state.spec.name: _find_group_exclusion(
                state, now_ms, is_member=state.spec.name in names
            )
            for state in self._table.list_all_serving(request)
        }
        return {name: why for name, why in found.items() if why is not None}

    def max_requests(self, state: UpstreamState) -> int:
        """:returns: limit of concurrent requests of an upstream"""
        return self._candidates.max_requests(state)

    def _find_now(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        avoided: Sequence[str],
        now_ms: float,
    ) -> Placement | None:
        if not self.may_start(request, pool, now_ms):
            return None
        if self._suspects.is_suspect(request, now_ms):
            return self._suspects.find(request, pool, avoided, now_ms)
        if request.service:
            return self._place_single(request, pool, avoided, now_ms)
        if self._plans.is_needed(request, pool):
            prefill_engines = self._helper_selector.list_prefill_engines(
                request, pool, now_ms
            )
            plan = self._plans.plan(request, prefill_engines, now_ms, avoided)
            plan = plan or self._plans.plan(request, pool, now_ms, avoided)
            if plan is not None:
                return self._place_group(request, pool, plan, avoided, now_ms)
            if not any(request.n_kv_tokens <= s.spec.kv_tokens for s in pool):
                return None
        return self._place_single(request, pool, avoided, now_ms)

    def _find_next_turn(
        self, request: Request, now_ms: float, latest_turn_ms: float
    ) -> Placement | None:
        """:returns: the upstream whose rate limit allows the request soonest, if any

        A prompt that no single engine can hold waits until enough engines take one: it
        would need turns at all of them at the same time.
        """
        if not self._table.has_rate_limits:
            return None
        pool = self._table.list_serving(request)
        if self._suspects.is_suspect(request, now_ms):
            return None
        state = self._candidates.find_next_turn(request, pool, now_ms, latest_turn_ms)
        return None if state is None else Placement((state.spec.name,))

    def _place_group(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        plan: GroupPlan,
        avoided: Sequence[str],
        now_ms: float,
    ) -> Placement:
        """:returns: the placement on a group, with helpers besides its members"""
        chosen = plan.upstreams[-1]
        helpers = self._helper_selector.choose(request, chosen, pool, avoided, now_ms)
        n_named = min(len(helpers) + 1, self._policy.max_helpers)
        n_others = max(0, n_named - len(plan.upstreams))
        others = [name for name in helpers if name not in plan.upstreams]
        return Placement(plan.upstreams, plan, helpers=tuple(others[:n_others]))

    def _place_single(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        avoided: Sequence[str],
        now_ms: float,
    ) -> Placement | None:
        probe = self._candidates.find_probe(request, pool, avoided, now_ms)
        if probe is not None:
            return Placement((probe.spec.name,), is_probe=True)
        allowed = self._list_allowed(request, pool, avoided, now_ms)
        if allowed is None:
            plan = self._plans.plan_aged(request, pool, now_ms)
            return None if plan is None else Placement(plan.upstreams, plan)
        if not allowed:
            return None
        name = self._policy.choose(request, allowed, now_ms)
        if name is None:
            return None
        helpers = self._helper_selector.choose(request, name, pool, avoided, now_ms)
        return Placement((name,), helpers=helpers)

    def _list_allowed(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        avoided: Sequence[str],
        now_ms: float,
    ) -> Sequence[UpstreamState] | None:
        """:returns: permitted upstreams; ``None`` if no upstream has capacity"""
        candidates = self._list_candidates(request, pool, now_ms)
        if not candidates:
            return None
        sound = exclude_failing(candidates, pool, now_ms)
        fast = exclude_slow(sound, pool, now_ms)
        taking = [s for s in fast if not s.is_refusing(now_ms)] or fast
        untried = [s for s in taking if s.spec.name not in avoided] or taking
        allowed = self._head_of_line.restrict(request, untried, now_ms)
        if self.trace is not None:
            self.trace.note_candidates(candidates)
            self.trace.note_filter(Exclusion.FAILING, candidates, sound)
            self.trace.note_filter(Exclusion.SLOW, sound, fast)
            self.trace.note_filter(Exclusion.REFUSING, fast, taking)
            self.trace.note_filter(Exclusion.HEAD_OF_LINE, untried, allowed)
        return allowed

    def _list_candidates(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> list[UpstreamState]:
        """:returns: upstreams with capacity; for long prompts cold ones come last

        A cold upstream that fails loses the work of its prompts, and the longest ones
        would run beyond the time for which it is cold.
        """
        preferred = self._policy.list_preferred(request)
        if not request.service and request.length_class in _LONG_CLASSES:
            warm = [state for state in pool if not state.pacing.is_cold]
            if len(warm) < len(pool):
                found = self._candidates.list_candidates(
                    request, warm, now_ms, preferred
                )
                if found:
                    return found
        return self._candidates.list_candidates(request, pool, now_ms, preferred)


def _find_ejection(state: UpstreamState) -> Exclusion | None:
    return Exclusion.EJECTED if state.health.is_ejected else None


def _find_group_exclusion(
    state: UpstreamState, now_ms: float, *, is_member: bool
) -> Exclusion | None:
    """:returns: why an engine cannot be a member of a group, if it cannot

    :param is_member: whether it may prefill parts of the prompt
    """
    exclusion = find_block(state, now_ms) or _find_ejection(state)
    if exclusion is not None:
        return exclusion
    if is_member:
        return None if state.may_help(now_ms) else Exclusion.PROMPT_PARTS
    if state.pacing.is_limited:
        return Exclusion.COLD if state.pacing.is_cold else Exclusion.RATE_LIMITED
    return Exclusion.SLOW if state.pace.is_slow(now_ms) else Exclusion.HEAD_OF_LINE


__all__ = ("PlacementSearch",)
