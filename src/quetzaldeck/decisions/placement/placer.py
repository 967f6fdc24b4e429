"""Finds the place for one request: who may take it, then who should.

Load pattern: requests of all lengths before a pool in which some upstreams are
leaving, faulty, full, or run a suspect. The filters stand here, once, in front of
every placement policy, so that a policy compares only places that are allowed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.groups import GroupPlanner
from quetzaldeck.decisions.health import list_usable
from quetzaldeck.decisions.health.pace import exclude_slow
from quetzaldeck.decisions.health.partial_failures import exclude_failing
from quetzaldeck.decisions.memory import InFlight
from quetzaldeck.decisions.placement.apart import SuspectPlaces
from quetzaldeck.decisions.placement.candidates import CandidateFilter
from quetzaldeck.decisions.placement.group_plans import GroupPlans
from quetzaldeck.decisions.placement.help_account import HelpAccount
from quetzaldeck.decisions.placement.helper_choice import HelperChoice
from quetzaldeck.decisions.placement.place import Place
from quetzaldeck.decisions.poison import PoisonRegistry, Verdict
from quetzaldeck.outcomes import Failure, Reason

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from quetzaldeck.decisions.groups import GroupPlan
    from quetzaldeck.decisions.head_of_line import HeadOfLinePolicy
    from quetzaldeck.decisions.placement.api import PlacementPolicy
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState
    from quetzaldeck.decisions.upstream_table import UpstreamTable

NO_UPSTREAM_RETRY_MS = 1_000.0


class Placer:
    """Places requests and accounts for what they hold until released.

    :param table: all upstreams
    :param policy: chooses among the upstreams allowed
    :param poison: requests suspected of crashing engines
    :param head_of_line: keeps long prompts away from short ones
    :param max_requests: requests at one upstream at a time
    """

    def __init__(
        self,
        *,
        table: UpstreamTable,
        policy: PlacementPolicy,
        poison: PoisonRegistry,
        head_of_line: HeadOfLinePolicy,
        max_requests: int,
        planner: GroupPlanner | None = None,
    ) -> None:
        self._table = table
        self._policy = policy
        self._poison = poison
        self._head_of_line = head_of_line
        self._plans = GroupPlans(planner or GroupPlanner())
        self._candidates = CandidateFilter(
            random_state=policy.random_state, max_requests=max_requests
        )
        self._chosen: dict[str, Place] = {}
        self._help = HelpAccount(table)
        self._helper_choice = HelperChoice(policy, head_of_line)
        self._suspects = SuspectPlaces(
            poison=poison, candidates=self._candidates, plans=self._plans
        )
        self._n_double_releases = 0

    @property
    def policy(self) -> PlacementPolicy:
        """:returns: what chooses among the upstreams allowed"""
        return self._policy

    @property
    def n_double_releases(self) -> int:
        """:returns: releases of memory that was not held; 0 unless there is a bug"""
        return self._n_double_releases

    def check(self, request: Request, now_ms: float) -> Failure | None:
        """:returns: why a request cannot be placed now or later, if so"""
        pool = self._table.list_serving(request)
        staying = [state for state in pool if not state.is_leaving]
        if not staying:
            detail = f"{request.target}: {len(pool)} upstreams, all of them leave"
            return Failure(
                Reason.NO_UPSTREAM,
                retry_after_ms=NO_UPSTREAM_RETRY_MS,
                detail=detail,
            )
        if not request.service and not self._plans.planner.can_hold(request, staying):
            return Failure(Reason.PROMPT_TOO_LARGE)
        return self.check_poison(request, now_ms)

    def check_poison(self, request: Request, now_ms: float) -> Failure | None:
        """:returns: the refusal of a request that crashed too many engines"""
        fingerprint = request.fingerprint
        if not fingerprint or request.service:
            return None
        if self._poison.verdict(fingerprint, now_ms) is not Verdict.REFUSED:
            return None
        retry_after_ms = self._poison.retry_after_ms(fingerprint, now_ms)
        return Failure(Reason.POISON_SUSPECTED, retry_after_ms=retry_after_ms)

    def can_start(self, request: Request, now_ms: float) -> bool:
        """:returns: whether a request would be dispatched if none were before it

        The policy is not asked: round robin would lose a turn by each question.
        """
        pool = self._table.list_serving(request)
        if self._suspects.is_suspect(request, now_ms):
            return self._suspects.find(request, pool, (), now_ms) is not None
        if not self._head_of_line.may_begin(request, pool, now_ms):
            return False
        if (
            self._plans.is_needed(request, pool)
            and self._plans.plan(request, pool, now_ms) is not None
        ):
            return True
        return bool(self._list_allowed(request, pool, (), now_ms))

    def has_other(self, request: Request, avoided: Sequence[str]) -> bool:
        """:returns: whether there is another upstream for a request, now or later

        :param avoided: the upstreams that others are sought for
        """
        return any(
            state.spec.name not in avoided and not state.is_leaving
            for state in list_usable(self._table.list_serving(request))
        )

    def place(
        self, request: Request, avoided: Sequence[str], now_ms: float
    ) -> tuple[str, ...] | None:
        """:returns: the upstreams for a request, ``None`` if it has to wait"""
        place = self._find(request, avoided, now_ms)
        if place is None:
            return None
        self._chosen[request.request_id] = place
        return place.upstreams

    def reserve(
        self, request: Request, attempt_id: str, now_ms: float
    ) -> GroupPlan | None:
        """Account for the attempt that was placed last for a request.

        :returns: the reservation to make first, if one is needed
        """
        place = self._chosen.pop(request.request_id)
        is_suspect = self._suspects.is_suspect(request, now_ms)
        self._suspects.note_begin(request)
        if place.plan is not None:
            self._plans.note_waiting(attempt_id)
        self._help.begin(request, attempt_id, place, now_ms)
        for index, name in enumerate(place.upstreams):
            state = self._table.get(name)
            if state is None:
                continue
            n_prompt = place.n_read(request, state.spec, index)
            n_reserved = place.n_reserved(request, index)
            n_queued = state.n_prefill_tokens() + n_prompt
            state.add(
                InFlight(
                    attempt_id,
                    request.request_id,
                    n_reserved,
                    n_prompt,
                    now_ms,
                    n_queued,
                    request.fingerprint,
                    is_suspect,
                    is_part=index < len(place.upstreams) - 1,
                )
            )
            if place.is_probe:
                state.health.start_probe(attempt_id)
        return place.plan

    def list_helpers(self, attempt_id: str) -> tuple[str, ...]:
        """:returns: engines that read parts of the prompt of an attempt"""
        return self._help.list_helpers(attempt_id)

    def end_help(self, attempt_id: str) -> None:
        """Release what helpers hold: their parts are read, or will not be."""
        self._help.end(attempt_id)

    def note_reserved(self, attempt_id: str) -> None:
        """Note that an attempt has its reservation and no longer waits for it."""
        self._plans.note_settled(attempt_id)

    def release(
        self, request: Request, attempt_id: str, upstreams: Iterable[str]
    ) -> None:
        """Release what an attempt holds; must be called once for each attempt."""
        self._plans.note_settled(attempt_id)
        self.end_help(attempt_id)
        self._suspects.note_end(request)
        for name in upstreams:
            state = self._table.get(name)
            if state is None:
                continue
            state.health.release_probe(attempt_id)
            if not state.discard(attempt_id):
                self._n_double_releases += 1

    def _find(
        self, request: Request, avoided: Sequence[str], now_ms: float
    ) -> Place | None:
        pool = self._table.list_serving(request)
        if request.service:
            return self._choose(request, pool, avoided, now_ms)
        if self._suspects.is_suspect(request, now_ms):
            return self._suspects.find(request, pool, avoided, now_ms)
        if not self._head_of_line.may_begin(request, pool, now_ms):
            return None
        if self._plans.is_needed(request, pool):
            readers = self._helper_choice.list_readers(request, pool, now_ms)
            plan = self._plans.plan(request, readers, now_ms, avoided)
            plan = plan or self._plans.plan(request, pool, now_ms, avoided)
            if plan is not None:
                return self._spread(request, pool, plan, avoided, now_ms)
            if not any(request.n_kv_tokens <= s.spec.kv_tokens for s in pool):
                return None
        return self._choose(request, pool, avoided, now_ms)

    def _spread(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        plan: GroupPlan,
        avoided: Sequence[str],
        now_ms: float,
    ) -> Place:
        """:returns: the place of a group: others than its members may help to read"""
        chosen = plan.upstreams[-1]
        helpers = self._helper_choice.choose(request, chosen, pool, avoided, now_ms)
        n_named = min(len(helpers) + 1, self._policy.max_helpers)
        n_others = max(0, n_named - len(plan.upstreams))
        others = [name for name in helpers if name not in plan.upstreams]
        return Place(plan.upstreams, plan, helpers=tuple(others[:n_others]))

    def _choose(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        avoided: Sequence[str],
        now_ms: float,
    ) -> Place | None:
        probe = self._candidates.find_probe(request, pool, avoided, now_ms)
        if probe is not None:
            return Place((probe.spec.name,), is_probe=True)
        allowed = self._list_allowed(request, pool, avoided, now_ms)
        if allowed is None:
            plan = self._plans.plan_aged(request, pool, now_ms)
            return None if plan is None else Place(plan.upstreams, plan)
        if not allowed:
            return None
        name = self._policy.choose(request, allowed, now_ms)
        if name is None:
            return None
        helpers = self._helper_choice.choose(request, name, pool, avoided, now_ms)
        return Place((name,), helpers=helpers)

    def _list_allowed(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        avoided: Sequence[str],
        now_ms: float,
    ) -> Sequence[UpstreamState] | None:
        """:returns: where a request may go; ``None`` if no upstream has room at all"""
        preferred = self._policy.list_preferred(request)
        candidates = self._candidates.list_open(request, pool, now_ms, preferred)
        if not candidates:
            return None
        candidates = exclude_failing(candidates, pool, now_ms)
        candidates = exclude_slow(candidates, pool, now_ms)
        fresh = [state for state in candidates if state.spec.name not in avoided]
        return self._head_of_line.restrict(request, fresh or candidates, now_ms)


__all__ = ("Placer",)
