"""Refuses requests that no upstream can serve, or none in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.availability.statements import TRIAL_MS
from quetzaldeck.decisions.placement.candidates import find_soonest
from quetzaldeck.decisions.placement.path_verdicts import NO_UPSTREAM_RETRY_MS
from quetzaldeck.decisions.rate_limits import latest_turn_ms
from quetzaldeck.outcomes import Failure, Reason

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from quetzaldeck.decisions.groups import GroupPlanner
    from quetzaldeck.decisions.placement.path_verdicts import PathVerdicts
    from quetzaldeck.decisions.poison import PoisonRegistry
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState
    from quetzaldeck.decisions.upstream_table import UpstreamTable


class RefusalCheck:
    """Checks whether a request can be placed now or later.

    :param table: all upstreams
    :param planner: knows which prompts the engines can hold
    :param poison: registry of requests suspected of crashing engines
    :param paths: which services this VM reaches
    :param random_state: spreads the times at which refused callers return
    """

    def __init__(
        self,
        *,
        table: UpstreamTable,
        planner: GroupPlanner,
        poison: PoisonRegistry,
        paths: PathVerdicts,
        random_state: random.Random,
    ) -> None:
        self._table = table
        self._planner = planner
        self._poison = poison
        self._paths = paths
        self._random_state = random_state

    def check(self, request: Request, now_ms: float) -> Failure | None:
        """:returns: the refusal of a request that cannot be placed now or later"""
        return (
            self.check_upstreams(request)
            or self.check_poison(request, now_ms)
            or self._paths.check(request)
        )

    def check_upstreams(self, request: Request) -> Failure | None:
        """:returns: the refusal of a request that no upstream may get, or can hold"""
        pool = self._table.list_all_serving(request)
        available = [state for state in pool if state.accepts_work]
        if not available:
            return _refuse_for_now(_describe_unavailable(request, pool))
        if request.service or self._planner.can_hold(request, available):
            return None
        # An evacuation ends; a prompt that is too large for all engines remains so.
        staying = [state for state in pool if not state.is_leaving]
        if len(staying) == len(available) or not self._planner.can_hold(
            request, staying
        ):
            return Failure(Reason.PROMPT_TOO_LARGE)
        return _refuse_for_now(
            f"{request.target}: {len(staying) - len(available)} of {len(pool)} "
            "upstreams are in evacuated zones, and the others cannot hold the prompt"
        )

    def check_restrictions(
        self, request: Request, now_ms: float, latest_start_ms: float
    ) -> Failure | None:
        """Refuse a request that no upstream takes in time.

        That is if all rest or limit their rate. The callers of such requests get
        different retry times, so that they do not all compete for the next turn.

        :param latest_start_ms: time after which even the fastest answer would be too
            late
        """
        if not self._table.has_restrictions(now_ms):
            return None
        pool = self._table.list_serving(request)
        large = [s for s in pool if request.n_kv_tokens <= s.spec.kv_tokens]
        # A prompt that no single engine can hold may still run on several.
        soonest = find_soonest(pool if request.service else large or pool, now_ms)
        if soonest is None:
            return None
        wait_ms = soonest.wait_ms(now_ms)
        is_resting = soonest.rest_wait_ms(now_ms) > 0.0
        latest_ms = latest_start_ms
        if not is_resting:
            latest_ms = latest_turn_ms(latest_start_ms, now_ms)
        if now_ms + wait_ms <= latest_ms:
            return None
        spread_ms = TRIAL_MS if is_resting else soonest.pacing.interval_ms
        what = "rest or limit their rate" if is_resting else "limit their rate"
        detail = (
            f"{request.target}: all upstreams {what}, and the next one takes "
            f"a request in {wait_ms:.0f} ms; the caller can wait "
            f"{max(0.0, latest_ms - now_ms):.0f} ms"
        )
        return Failure(
            Reason.UPSTREAM_RESTING if is_resting else Reason.UPSTREAM_RATE_LIMITED,
            retry_after_ms=wait_ms + self._random_state.uniform(0.0, spread_ms),
            detail=detail,
        )

    def check_poison(self, request: Request, now_ms: float) -> Failure | None:
        """:returns: the refusal of a request that is suspected of too many crashes"""
        blocked = self._poison.find_blocked_by(request.crash_fingerprints, now_ms)
        if blocked is None:
            return None
        detail = (
            f"{request.target}: {', '.join(blocked.crashed)} crashed while running "
            f"request {blocked.name}, the first {now_ms - blocked.since_ms:.0f} ms ago"
        )
        return Failure(
            Reason.POISON_SUSPECTED,
            retry_after_ms=max(0.0, blocked.until_ms - now_ms),
            detail=detail,
        )


def _refuse_for_now(detail: str) -> Failure:
    return Failure(
        Reason.NO_UPSTREAM, retry_after_ms=NO_UPSTREAM_RETRY_MS, detail=detail
    )


def _describe_unavailable(request: Request, pool: Sequence[UpstreamState]) -> str:
    n_evacuated = sum(state.is_evacuated for state in pool)
    if not n_evacuated:
        return f"{request.target}: all {len(pool)} upstreams are leaving"
    if n_evacuated == len(pool):
        return f"{request.target}: all {len(pool)} upstreams are in evacuated zones"
    return (
        f"{request.target}: {n_evacuated} of {len(pool)} upstreams are in evacuated "
        "zones, and the others are leaving"
    )


__all__ = ("RefusalCheck",)
