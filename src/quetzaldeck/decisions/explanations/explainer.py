"""Explains where a request would go, by deciding on a copy of the decision state."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.admission import AdmissionPolicy
from quetzaldeck.decisions.estimation import TokenEstimator
from quetzaldeck.decisions.explanations.explanation import (
    Explanation,
    Outcome,
    UpstreamRole,
    UpstreamSummary,
    WaitCause,
)
from quetzaldeck.decisions.head_of_line import HeadOfLinePolicy
from quetzaldeck.decisions.placement.candidates import find_soonest
from quetzaldeck.decisions.placement.filter_trace import FilterTrace
from quetzaldeck.decisions.placement.placer import Placer
from quetzaldeck.decisions.scheduling.arrival_check import ArrivalCheck

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.placement.exclusion import Exclusion
    from quetzaldeck.decisions.placement.placement import Placement
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState
    from quetzaldeck.decisions.upstream_table import UpstreamTable


class _Parts(NamedTuple):
    """What takes part in the decision on a request that arrives."""

    arrivals: ArrivalCheck
    placer: Placer
    admission: AdmissionPolicy
    head_of_line: HeadOfLinePolicy
    tokens: TokenEstimator


class PlacementExplainer:
    """Runs the decision on a request that does not exist.

    A decision draws random numbers, reserves times to retry, advances round robin and
    updates averages. So it is made on a deep copy, which shares only what a decision
    reads: the states of upstreams, above all, whose number makes them expensive to
    copy.

    :param shared: objects that a decision only reads
    """

    def __init__(
        self,
        *,
        arrivals: ArrivalCheck,
        placer: Placer,
        admission: AdmissionPolicy,
        head_of_line: HeadOfLinePolicy,
        tokens: TokenEstimator,
        table: UpstreamTable,
        shared: Sequence[object],
    ) -> None:
        self._parts = _Parts(arrivals, placer, admission, head_of_line, tokens)
        self._table = table
        self._shared = shared

    def explain(self, request: Request, now_ms: float, n_queued: int) -> Explanation:
        """Explain what would become of a request that arrives now.

        :param n_queued: requests that wait at this VM
        """
        memo = {id(item): item for item in self._shared}
        parts = copy.deepcopy(self._parts, memo)
        request = parts.tokens.correct(request)
        parts.head_of_line.note_arrival(request, now_ms)
        failure = parts.arrivals.check(request, now_ms)
        latest_ms = parts.arrivals.latest_turn_ms(request, now_ms)
        search = parts.placer.search
        search.trace = FilterTrace()
        placement = parts.placer.find(request, (), now_ms, latest_ms)
        candidates = self._summarize_all(parts, request, placement, now_ms)
        search.trace = None
        can_start = parts.placer.can_start(request, now_ms, latest_ms)
        wait_ms = parts.admission.predict_wait_ms(request, now_ms, can_start=can_start)
        wait_cause = self._find_wait_cause(parts, request, placement, now_ms)
        if wait_cause is None and n_queued:
            wait_cause = WaitCause.QUEUE
        outcome = Outcome.STARTS if wait_cause is None else Outcome.WAITS
        if failure is not None:
            outcome, placement, wait_cause = Outcome.REFUSED, None, None
        upstreams = () if placement is None else placement.upstreams
        rank = parts.head_of_line.rank(request, upstreams[-1]) if upstreams else None
        return Explanation(
            outcome,
            request.target,
            rank,
            upstreams,
            () if placement is None else placement.helpers,
            placement is not None and placement.is_probe,
            wait_cause,
            wait_ms,
            n_queued,
            failure,
            candidates,
        )

    def _find_wait_cause(
        self,
        parts: _Parts,
        request: Request,
        placement: Placement | None,
        now_ms: float,
    ) -> WaitCause | None:
        """:returns: why a request would wait, apart from others in the queue"""
        if placement is not None:
            states = map(self._table.get, placement.upstreams)
            waits = any(s is not None and s.pacing.is_blocked(now_ms) for s in states)
            return WaitCause.RATE_LIMIT if waits else None
        if parts.placer.is_path_lost(request):
            return WaitCause.PATH_LOST
        pool = self._table.list_serving(request)
        if not parts.placer.search.may_start(request, pool, now_ms):
            return WaitCause.HEAD_OF_LINE
        soonest = find_soonest(pool, now_ms)
        if soonest is not None and soonest.rest_wait_ms(now_ms):
            return WaitCause.REST
        return WaitCause.CAPACITY

    def _summarize_all(
        self,
        parts: _Parts,
        request: Request,
        placement: Placement | None,
        now_ms: float,
    ) -> tuple[UpstreamSummary, ...]:
        pool = self._table.list_serving(request)
        costs = parts.placer.policy.estimate_costs(request, pool, now_ms)
        search = parts.placer.search
        is_group = placement is not None and placement.plan is not None
        in_group = search.find_group_exclusions(request, now_ms) if is_group else {}
        summaries = []
        for state in self._table.list_all_serving(request):
            name = state.spec.name
            role = _find_role(placement, name)
            excluded_by = in_group.get(name)
            if not is_group and role is not UpstreamRole.ANSWERS:
                excluded_by = search.find_exclusion(request, state, now_ms)
            n_slots = search.max_requests(state)
            cost = costs.get(name)
            summaries.append(
                _summarize(state, role, excluded_by, n_slots, cost, now_ms)
            )
        return tuple(summaries)


def _find_role(placement: Placement | None, name: str) -> UpstreamRole:
    if placement is None:
        return UpstreamRole.NONE
    if name == placement.upstreams[-1]:
        return UpstreamRole.ANSWERS
    if name in placement.upstreams:
        return UpstreamRole.HOLDS_PART
    return UpstreamRole.HELPS if name in placement.helpers else UpstreamRole.NONE


def _summarize(
    state: UpstreamState,
    role: UpstreamRole,
    excluded_by: Exclusion | None,
    n_slots: int,
    cost: float | None,
    now_ms: float,
) -> UpstreamSummary:
    pacing = state.pacing
    return UpstreamSummary(
        state.spec.name,
        state.spec.availability_zone,
        role,
        excluded_by,
        state.health.state(now_ms, None).value,
        state.n_requests(now_ms),
        n_slots,
        state.n_kv_tokens_used(now_ms),
        state.spec.kv_tokens,
        state.prefill_backlog_ms(now_ms),
        state.load_age_ms(now_ms),
        pacing.wait_ms(now_ms) if pacing.is_limited else None,
        state.rest_wait_ms(now_ms) or None,
        cost,
    )


__all__ = ("PlacementExplainer",)
