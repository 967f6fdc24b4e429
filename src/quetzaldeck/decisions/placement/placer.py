"""Places requests, and accounts for the capacity of upstreams that they hold."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.groups import GroupPlanner
from quetzaldeck.decisions.memory import InFlightAttempt
from quetzaldeck.decisions.placement.candidates import CandidateFilter
from quetzaldeck.decisions.placement.group_plans import GroupPlans
from quetzaldeck.decisions.placement.helper_accounting import HelperAccounting
from quetzaldeck.decisions.placement.helper_selector import HelperSelector
from quetzaldeck.decisions.placement.search import PlacementSearch
from quetzaldeck.decisions.placement.suspect_placer import SuspectPlacer
from quetzaldeck.decisions.pools import list_usable

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from quetzaldeck.decisions.groups import GroupPlan
    from quetzaldeck.decisions.head_of_line import HeadOfLinePolicy
    from quetzaldeck.decisions.placement.api import PlacementPolicy
    from quetzaldeck.decisions.placement.path_verdicts import PathVerdicts
    from quetzaldeck.decisions.placement.placement import Placement
    from quetzaldeck.decisions.poison import PoisonRegistry
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState
    from quetzaldeck.decisions.upstream_table import UpstreamTable

PROBE_PAUSE_MS = 20.0
"""Interval at which a retry looks whether the probe of a path in doubt is answered. A
retry that does not wait for it may use up its attempts on a path that is lost."""

SUSPECT_PAUSE_MS = 40.0
"""Interval at which a suspect looks whether it can run: shorter than its run."""


class Placer:
    """Places requests and accounts for the capacity they hold until it is released.

    :param table: all upstreams
    :param policy: chooses among the permitted upstreams
    :param poison: registry of requests suspected of crashing engines
    :param head_of_line: keeps long prompts away from short requests
    :param max_requests: concurrent requests per upstream, unless its entry sets a limit
    :param paths: which services this VM reaches
    :param planner: plans group reservations; by default one with the default bounds
    """

    def __init__(
        self,
        *,
        table: UpstreamTable,
        policy: PlacementPolicy,
        poison: PoisonRegistry,
        head_of_line: HeadOfLinePolicy,
        max_requests: int,
        paths: PathVerdicts,
        planner: GroupPlanner | None = None,
    ) -> None:
        self._table = table
        self._paths = paths
        self._policy = policy
        self._poison = poison
        self._plans = GroupPlans(planner or GroupPlanner())
        self._unreserved: dict[str, Placement] = {}
        self._helper_accounting = HelperAccounting(table)
        candidates = CandidateFilter(
            random_state=policy.random_state, max_requests=max_requests
        )
        helper_selector = HelperSelector(policy, head_of_line)
        self._suspects = SuspectPlacer(
            poison=poison,
            candidates=candidates,
            plans=self._plans,
            head_of_line=head_of_line,
            helper_selector=helper_selector,
            random_state=policy.random_state,
        )
        self._search = PlacementSearch(
            table=table,
            policy=policy,
            head_of_line=head_of_line,
            candidates=candidates,
            plans=self._plans,
            helper_selector=helper_selector,
            suspects=self._suspects,
        )
        self._n_double_releases = 0

    @property
    def policy(self) -> PlacementPolicy:
        """:returns: policy that chooses among the permitted upstreams"""
        return self._policy

    @property
    def n_double_releases(self) -> int:
        """:returns: number of releases of memory that was not held; above 0 is a bug"""
        return self._n_double_releases

    @property
    def search(self) -> PlacementSearch:
        """:returns: the search for placements"""
        return self._search

    def is_path_lost(self, request: Request) -> bool:
        """:returns: whether this VM reaches no upstream of a request"""
        return self._paths.is_lost(request.target)

    def pause_ms(self, request: Request, now_ms: float) -> float:
        """:returns: how long a request stays out of the queue, so that others can pass

        0 if it can be queued.
        """
        if self._paths.is_doubted(request.target):
            return PROBE_PAUSE_MS
        return self.suspect_pause_ms(request, now_ms)

    def suspect_pause_ms(self, request: Request, now_ms: float) -> float:
        """:returns: how long a suspect stays out of the queue; 0: it can run now

        Others of its customer do not wait behind it.
        """
        if not self._suspects.is_suspect(request, now_ms):
            return 0.0
        pool = self._table.list_serving(request)
        can_run = self._suspects.is_turn(request, now_ms) and (
            self._suspects.find(request, pool, (), now_ms) is not None
        )
        return 0.0 if can_run else SUSPECT_PAUSE_MS

    def can_start(
        self, request: Request, now_ms: float, latest_turn_ms: float = math.inf
    ) -> bool:
        """Check whether a request could be dispatched if no other were queued.

        :param latest_turn_ms: latest time at which the request may get its turn
        """
        return self._search.can_start(request, now_ms, latest_turn_ms)

    def has_alternative(self, request: Request, avoided: Sequence[str]) -> bool:
        """:returns: whether another upstream could run a request, now or later

        :param avoided: upstreams that do not count
        """
        return any(
            state.spec.name not in avoided and state.accepts_work
            for state in list_usable(self._table.list_serving(request))
        )

    def retry_hold_ms(
        self, request: Request, upstreams: Sequence[str], now_ms: float
    ) -> float:
        """:returns: how long a retry would wait for the outcome of an attempt

        0 unless the request is a suspect, and if the outcome is presumed already.

        :param upstreams: upstreams of the attempt
        """
        if not self._suspects.is_suspect(request, now_ms):
            return 0.0
        if any(self._poison.ends.is_presumed(name) for name in upstreams):
            return 0.0
        return self._poison.bounds.linger_ms + self._poison.bounds.settle_ms

    def place(
        self,
        request: Request,
        avoided: Sequence[str],
        now_ms: float,
        latest_turn_ms: float = math.inf,
        *,
        prefers_unlimited: bool = False,
    ) -> tuple[str, ...] | None:
        """Place a request.

        :param latest_turn_ms: latest time at which the request may get its turn
        :param prefers_unlimited: whether upstreams that limit their rate are left out
            as long as there are others
        :returns: the upstreams for the request; ``None`` if it has to wait
        """
        placement = self.find(
            request,
            avoided,
            now_ms,
            latest_turn_ms,
            prefers_unlimited=prefers_unlimited,
        )
        if placement is None:
            return None
        self._unreserved[request.request_id] = placement
        return placement.upstreams

    def find(
        self,
        request: Request,
        avoided: Sequence[str],
        now_ms: float,
        latest_turn_ms: float = math.inf,
        *,
        prefers_unlimited: bool = False,
    ) -> Placement | None:
        """:returns: the placement that :meth:`place` chooses; nothing is recorded"""
        if self.is_path_lost(request):
            # An attempt would fail and count, while the next verdict is due soon.
            return None
        return self._search.find(
            request,
            avoided,
            now_ms,
            latest_turn_ms,
            prefers_unlimited=prefers_unlimited,
        )

    def reserve(
        self, request: Request, attempt_id: str, now_ms: float
    ) -> GroupPlan | None:
        """Account for an attempt on the latest placement of its request.

        :returns: the reservation to make first, if one is needed
        """
        placement = self._unreserved.pop(request.request_id)
        suspects = self._poison.list_suspects(request.crash_fingerprints, now_ms)
        self._suspects.note_start(request, attempt_id, placement.upstreams, now_ms)
        if placement.plan is not None:
            self._plans.note_pending(attempt_id)
        self._helper_accounting.reserve(request, attempt_id, placement, now_ms)
        for index, name in enumerate(placement.upstreams):
            state = self._table.get(name)
            if state is None:
                continue
            n_prompt = placement.n_member_tokens(request, state.spec, index)
            n_reserved_tokens = placement.n_reserved_tokens(request, index)
            n_queued = state.n_prefill_tokens() + n_prompt
            state.add(
                InFlightAttempt(
                    attempt_id,
                    request.request_id,
                    n_reserved_tokens,
                    n_prompt,
                    now_ms,
                    n_queued,
                    request.fingerprint,
                    is_suspect=bool(suspects),
                    is_part=index < len(placement.upstreams) - 1,
                )
            )
            if placement.is_probe:
                state.health.start_probe(attempt_id)
            for fingerprint in suspects:
                self._poison.note_started(
                    fingerprint, name, state.incarnation, request.deadline_ms, now_ms
                )
        return placement.plan

    def restore(
        self,
        request: Request,
        attempt_id: str,
        in_flight: Sequence[tuple[UpstreamState, InFlightAttempt]],
    ) -> None:
        """Account again for a released attempt that continues.

        :param in_flight: its entry in the ledger of each upstream
        """
        upstreams = tuple(state.spec.name for state, _ in in_flight)
        sent_ms = min((item.started_ms for _, item in in_flight), default=0.0)
        self._suspects.note_start(request, attempt_id, upstreams, sent_ms)
        for state, attempt in in_flight:
            self._table.keep(state).add(attempt)

    def list_helpers(self, attempt_id: str) -> tuple[str, ...]:
        """:returns: helpers of an attempt"""
        return self._helper_accounting.list_helpers(attempt_id)

    def release_helpers(self, attempt_id: str) -> None:
        """Release the helpers of an attempt: their parts are prefilled or abandoned."""
        self._helper_accounting.release(attempt_id)

    def note_reserved(self, attempt_id: str) -> None:
        """Record that an attempt got its reservation."""
        self._plans.note_settled(attempt_id)

    def waits_for_memory(self, attempt_id: str) -> bool:
        """:returns: whether an attempt has not been sent, as it needs a reservation"""
        return self._plans.is_pending(attempt_id)

    def release(
        self, request: Request, attempt_id: str, upstreams: Iterable[str]
    ) -> None:
        """Release the capacity that an attempt holds; call it once per attempt."""
        self._plans.note_settled(attempt_id)
        self.release_helpers(attempt_id)
        self._suspects.note_end(request, attempt_id)
        for name in upstreams:
            state = self._table.get(name)
            if state is None:
                continue
            state.health.release_probe(attempt_id)
            if not state.discard(attempt_id):
                self._n_double_releases += 1


__all__ = ("Placer",)
