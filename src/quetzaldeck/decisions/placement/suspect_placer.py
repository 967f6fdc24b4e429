"""Placement of requests that are suspected of crashing engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.placement.placement import Placement
from quetzaldeck.decisions.placement.suspect_order import SuspectOrder
from quetzaldeck.decisions.poison import Verdict
from quetzaldeck.decisions.pools import list_usable

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from quetzaldeck.decisions.head_of_line import HeadOfLinePolicy
    from quetzaldeck.decisions.placement.candidates import CandidateFilter
    from quetzaldeck.decisions.placement.group_plans import GroupPlans
    from quetzaldeck.decisions.placement.helper_selector import HelperSelector
    from quetzaldeck.decisions.poison import PoisonRegistry
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState

MAX_TURNS = 1_000
"""Parts for which a turn is remembered."""


class _RunningCopy(NamedTuple):
    upstreams: tuple[str, ...]
    sent_ms: float


class SuspectPlacer:
    """Runs at most one suspect per engine, and one copy of each suspected request.

    Of the prompts that contain a suspected part, one runs at a time.

    If two suspects ran on an engine that crashes, the crash could be attributed to
    neither of them. VMs send each other the suspects that they run. Two VMs that start
    one at the same time do not know that yet, so the suspects take turns, see
    :class:`SuspectOrder`.

    :param poison: registry of suspected requests
    :param candidates: filters upstreams by capacity
    :param plans: plans reservations on several engines
    :param head_of_line: keeps long prompts away from the engines of short ones
    :param helper_selector: lists the engines that may prefill a long prompt
    :param random_state: spreads the starts of prompts that share a suspected part
    """

    def __init__(
        self,
        *,
        poison: PoisonRegistry,
        candidates: CandidateFilter,
        plans: GroupPlans,
        head_of_line: HeadOfLinePolicy,
        helper_selector: HelperSelector,
        random_state: random.Random,
    ) -> None:
        self._poison = poison
        self._candidates = candidates
        self._plans = plans
        self._head_of_line = head_of_line
        self._helper_selector = helper_selector
        self._order = SuspectOrder(poison)
        self._running: dict[int, dict[str, _RunningCopy]] = {}
        self._random_state = random_state
        self._turns_ms: dict[int, float] = {}

    def is_suspect(self, request: Request, now_ms: float) -> bool:
        """:returns: whether a request is suspected of crashing engines"""
        if not len(self._poison):
            return False
        verdict = self._poison.judge(request.crash_fingerprints, now_ms)
        return verdict is not Verdict.CLEAR

    def note_start(
        self,
        request: Request,
        attempt_id: str,
        upstreams: tuple[str, ...],
        sent_ms: float,
    ) -> None:
        """Record a running copy of a request."""
        copies = self._running.setdefault(request.fingerprint, {})
        copies[attempt_id] = _RunningCopy(upstreams, sent_ms)
        for part in request.part_fingerprints:
            self._turns_ms.pop(part, None)

    def note_end(self, request: Request, attempt_id: str) -> None:
        """Forget a copy of a request that has ended."""
        copies = self._running.get(request.fingerprint, {})
        copies.pop(attempt_id, None)
        if not copies:
            self._running.pop(request.fingerprint, None)

    def is_turn(self, request: Request, now_ms: float) -> bool:
        """:returns: whether this VM may start a prompt with suspected parts

        Several VMs have such prompts, and a run of one is news to the others only after
        a moment. So each starts at a time of its own after the last one has ended.
        Prompts with fewer parts that may be to blame go first: if one of them is
        answered, that tells the sound parts from the bad one. A run that its deadline
        cuts off tells nothing, and the others have to wait for its outcome.
        """
        suspects = self._poison.list_suspects(request.part_fingerprints, now_ms)
        if any(self._poison.is_held(part, now_ms) for part in suspects):
            for part in suspects:
                self._turns_ms.pop(part, None)
            return False
        rank = self._poison.count_doubted(request.part_fingerprints, now_ms) - 1
        rank += self._is_late(request, now_ms)
        rank_ms = rank * self._poison.bounds.propagation_ms
        turns_ms = [self._find_turn_ms(part, now_ms) for part in suspects]
        return all(turn_ms + rank_ms <= now_ms for turn_ms in turns_ms)

    def _is_late(self, request: Request, now_ms: float) -> bool:
        """:returns: whether a run may be cut off before it shows anything"""
        budget_ms = request.deadline_ms - request.arrived_ms
        enough_ms = min(self._poison.bounds.lived_ms, budget_ms / 2.0)
        return request.deadline_ms - now_ms < enough_ms

    def _find_turn_ms(self, part: int, now_ms: float) -> float:
        if part not in self._turns_ms:
            if len(self._turns_ms) >= MAX_TURNS:
                self._turns_ms.clear()
            spread_ms = self._poison.bounds.propagation_ms
            delay_ms = self._random_state.uniform(0.0, spread_ms)
            self._turns_ms[part] = now_ms + delay_ms
        return self._turns_ms[part]

    def find(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        avoided: Sequence[str],
        now_ms: float,
    ) -> Placement | None:
        """:returns: the placement of a suspect; ``None`` if it has to wait"""
        is_last = self._order.is_last_to_expire(
            request.fingerprint, request.deadline_ms, now_ms
        )
        if not is_last or self._runs_copy(request.fingerprint, now_ms):
            return None
        suspects = self._poison.list_suspects(request.crash_fingerprints, now_ms)
        if any(self._poison.is_held(suspect, now_ms) for suspect in suspects):
            return None
        free = [state for state in pool if self._is_free(state, now_ms)]
        if not free:
            return None
        if self._plans.is_needed(request, pool):
            return self._find_group(request, pool, free, avoided, now_ms)
        fingerprint = request.fingerprint
        free = self._prefer_idle(free, now_ms)
        free = [s for s in free if self._order.may_start(fingerprint, s, now_ms)]
        candidates = [
            state
            for state in list_usable(free)
            if self._candidates.can_accept(state, request, now_ms)
        ]
        candidates = list(self._head_of_line.restrict(request, candidates, now_ms))
        untried = [state for state in candidates if state.spec.name not in avoided]
        if not candidates:
            return None
        least_loaded = min(untried or candidates, key=_n_requests)
        return Placement((least_loaded.spec.name,))

    def _runs_copy(self, fingerprint: int, now_ms: float) -> bool:
        """:returns: whether this VM runs a copy of which more may become known

        Also one that was sent before the request was suspected, unless a refused one
        explains its crashes.
        """
        running = self._running.get(fingerprint, {}).values()
        since_ms = self._poison.find_explained_ms(fingerprint, now_ms)
        return any(
            not self._poison.ends.is_counted(fingerprint, name)
            for copy in running
            if copy.sent_ms >= since_ms
            for name in copy.upstreams
        )

    def _find_group(
        self,
        request: Request,
        pool: Sequence[UpstreamState],
        free: Sequence[UpstreamState],
        avoided: Sequence[str],
        now_ms: float,
    ) -> Placement | None:
        """:returns: a group of engines that run no suspect; ``None`` if it has to wait

        Two long suspects do not run side by side if the second would have to take the
        engines of the short requests, all of which would stall while it is prefilled.
        """
        lane = self._helper_selector.list_prefill_engines(request, pool, now_ms)
        if self._plans.planner.can_hold(request, lane):
            names = {state.spec.name for state in lane}
            free = [state for state in free if state.spec.name in names]
        plan = self._plans.plan(request, free, now_ms, avoided)
        return None if plan is None else Placement(plan.upstreams, plan)

    def _is_free(self, state: UpstreamState, now_ms: float) -> bool:
        """:returns: whether the next run of a suspect there shows what it does

        It does not if an upstream runs another suspect, of this VM or another one, or
        may have ended before.
        """
        name = state.spec.name
        if (
            state.ledger.n_suspects
            or self._poison.runs_suspect(name, now_ms)
            or self._poison.ends.is_presumed(name)
        ):
            self._order.note_taken(name)
            return False
        return True

    def _prefer_idle(
        self, free: Sequence[UpstreamState], now_ms: float
    ) -> list[UpstreamState]:
        """:returns: upstreams where a run is likely to show what the suspect does

        What else runs or ran on an upstream may end it, or have ended it already.
        """
        known = [s for s in free if not self._poison.has_open_run(s.spec.name, now_ms)]
        idle = [state for state in known if not state.n_requests(now_ms)]
        return idle or known or list(free)


def _n_requests(state: UpstreamState) -> int:
    return state.n_requests()


__all__ = ("SuspectPlacer",)
