"""Creates the attempt for a request that has been placed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.attempts.expiry import mark_expiry
from quetzaldeck.decisions.decision import Dispatch
from quetzaldeck.decisions.rate_limits import MAX_OPTIONAL_PERMITS

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.attempts.tracked import TrackedRequests
    from quetzaldeck.decisions.head_of_line import HeadOfLinePolicy
    from quetzaldeck.decisions.placement.placer import Placer
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_table import UpstreamTable


class AttemptStarter:
    """Reserves capacity for each new attempt and builds its ``Dispatch``.

    :param table: all upstreams
    :param placer: reserves capacity for an attempt
    :param head_of_line: sets the engine priority of an attempt
    :param tracked: stores the running attempt of each request
    """

    def __init__(
        self,
        *,
        clock: Clock,
        table: UpstreamTable,
        placer: Placer,
        head_of_line: HeadOfLinePolicy,
        tracked: TrackedRequests,
    ) -> None:
        self._clock = clock
        self._table = table
        self._placer = placer
        self._head_of_line = head_of_line
        self._tracked = tracked

    def start(
        self,
        request: Request,
        upstreams: tuple[str, ...],
        now_ms: float,
        latest_turn_ms: float,
    ) -> Dispatch:
        """Start the next attempt of a request on the upstreams the placer just chose.

        :param latest_turn_ms: latest time at which the request may get its turn
        :returns: the dispatch of the attempt
        """
        tracked = self._tracked[request.request_id]
        n_attempt = tracked.history.n_dispatched + 1
        deadline_wall_ms = self._clock.wall_ms() + request.deadline_ms - now_ms
        attempt_id = mark_expiry(f"{request.request_id}.{n_attempt}", deadline_wall_ms)
        plan = self._placer.reserve(request, attempt_id, now_ms)
        helpers = self._placer.list_helpers(attempt_id)
        rank = self._head_of_line.rank(request, upstreams[-1])
        backlog_ms = self._table.max_prefill_backlog_ms((*upstreams, *helpers), now_ms)
        queues = tracked.history.n_rate_limited >= MAX_OPTIONAL_PERMITS
        has_to_wait = self._reserve_turns(upstreams, now_ms, queues=queues)
        max_permit_wait_ms = latest_turn_ms - now_ms if has_to_wait else 0.0
        self._tracked.update(
            tracked._replace(
                history=tracked.history._replace(n_dispatched=n_attempt),
                attempt_id=attempt_id,
                upstreams=upstreams,
                dispatched_ms=now_ms + max_permit_wait_ms,
                backlog_ms=backlog_ms,
                first_token_ms=None,
            )
        )
        return Dispatch(
            request,
            upstreams,
            attempt_id,
            n_attempt,
            rank,
            plan,
            helpers,
            backlog_ms,
            self._table.predict_first_token_ms(upstreams[-1], backlog_ms, now_ms),
            max_permit_wait_ms,
            any(self._is_ejected(name) for name in upstreams),
            self._load_age_ms(upstreams[-1], now_ms),
            tracked.idle_wait_ms,
        )

    def _is_ejected(self, name: str) -> bool:
        state = self._table.get(name)
        return state is not None and state.health.is_ejected

    def _load_age_ms(self, upstream: str, now_ms: float) -> float | None:
        state = self._table.get(upstream)
        return None if state is None else state.load_age_ms(now_ms)

    def _reserve_turns(
        self, upstreams: tuple[str, ...], now_ms: float, *, queues: bool
    ) -> bool:
        """Note the attempt at those upstreams that limit their rate.

        :param queues: whether the request waits for its turn wherever it has to
        :returns: whether it may have to wait
        """
        states = [self._table.get(name) for name in upstreams]
        limited = [
            state.pacing
            for state in states
            if state is not None and state.pacing.is_limited
        ]
        is_blocked = any(pacing.is_blocked(now_ms) for pacing in limited)
        for pacing in limited:
            pacing.note_dispatch(now_ms)
        return is_blocked or (queues and bool(limited))


__all__ = ("AttemptStarter",)
