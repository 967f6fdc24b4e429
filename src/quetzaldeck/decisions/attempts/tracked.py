"""State of admitted requests, kept until they end."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.decision import AttemptEnd
from quetzaldeck.decisions.memory import InFlightAttempt
from quetzaldeck.decisions.request import Request
from quetzaldeck.decisions.retries import NO_CHARGE, AttemptHistory, RetryCharge
from quetzaldeck.decisions.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions.limits import CustomerLimiter


class ReplacedAttempt(NamedTuple):
    """A silent attempt that is replaced; it keeps running until another one writes.

    :param in_flight: its entry in the ledger of each upstream
    """

    attempt_id: str
    upstreams: tuple[str, ...]
    dispatched_ms: float
    backlog_ms: float
    first_token_ms: float | None
    in_flight: tuple[tuple[UpstreamState, InFlightAttempt], ...]


class TrackedRequest(NamedTuple):
    """State of one admitted request.

    :param request: the request, with the corrected estimate of its prompt tokens
    :param n_uncorrected_tokens: estimate of its prompt tokens before the correction
    :param history: attempts that have ended
    :param attempt_id: running attempt; ``""`` while the request waits
    :param dispatched_ms: when that attempt was dispatched, or will be sent at the
        latest if it waits for its turn at an upstream that limits its rate
    :param backlog_ms: prefill backlog of the busiest engine of the attempt at dispatch
    :param first_token_ms: when its first token arrived; ``None``: not yet
    :param replaced: attempts that keep running until the one that replaces them writes
    :param charge: what the budgets were charged for the running or the next attempt
    :param last_end: end of the attempt that the running or next one follows
    :param idle_wait_ms: how long it has waited while an engine was idle
    :param refused_ms: when it was last found that no upstream can take it; ``None``:
        never, or no engine was idle then
    :param is_kept: whether no attempt is tracked or waits, but replaced ones may run
    """

    request: Request
    n_uncorrected_tokens: int
    history: AttemptHistory = AttemptHistory()
    attempt_id: str = ""
    upstreams: tuple[str, ...] = ()
    dispatched_ms: float = 0.0
    backlog_ms: float = 0.0
    first_token_ms: float | None = None
    replaced: tuple[ReplacedAttempt, ...] = ()
    charge: RetryCharge = NO_CHARGE
    last_end: AttemptEnd | None = None
    is_kept: bool = False
    idle_wait_ms: float = 0.0
    refused_ms: float | None = None

    def note_refused(self, now_ms: float, *, has_idle: bool) -> TrackedRequest:
        """Count the time since the last search if an engine was idle at both.

        :returns: the request with the time added
        """
        waited_ms = self.idle_wait_ms
        if has_idle and self.refused_ms is not None:
            waited_ms += now_ms - self.refused_ms
        return self._replace(
            idle_wait_ms=waited_ms, refused_ms=now_ms if has_idle else None
        )


class TrackedRequests:
    """Admitted requests, indexed by id and by running attempt.

    :param limits: counts each request against its customer while it is tracked
    """

    def __init__(self, limits: CustomerLimiter) -> None:
        self._limits = limits
        self._tracked: dict[str, TrackedRequest] = {}
        self._by_attempt: dict[str, str] = {}

    @property
    def n_running(self) -> int:
        """:returns: running attempts"""
        return len(self._by_attempt)

    def __getitem__(self, request_id: str) -> TrackedRequest:
        return self._tracked[request_id]

    def get(self, request_id: str) -> TrackedRequest | None:
        """:returns: the state of a request; ``None`` if it is not tracked"""
        return self._tracked.get(request_id)

    def find(self, attempt_id: str) -> TrackedRequest | None:
        """:returns: the request of a running attempt, ``None`` if it does not run"""
        request_id = self._by_attempt.get(attempt_id)
        return None if request_id is None else self._tracked[request_id]

    def add(self, tracked: TrackedRequest, now_ms: float) -> None:
        """Start tracking an admitted request."""
        self._tracked[tracked.request.request_id] = tracked
        self._limits.admit(tracked.request, now_ms)

    def update(self, tracked: TrackedRequest) -> None:
        """Replace the state of a request."""
        self._tracked[tracked.request.request_id] = tracked
        if tracked.attempt_id:
            self._by_attempt[tracked.attempt_id] = tracked.request.request_id

    def resize(
        self,
        tracked: TrackedRequest,
        change: Callable[[Request], Request],
        now_ms: float,
    ) -> TrackedRequest:
        """Change the token estimate of a request, in the customer limits as well.

        :returns: the new state
        """
        self._limits.release(tracked.request, now_ms)
        changed = tracked._replace(request=change(tracked.request))
        self._limits.admit(changed.request, now_ms)
        self._tracked[changed.request.request_id] = changed
        return changed

    def end_attempt(self, attempt_id: str) -> bool:
        """Mark an attempt as ended.

        :returns: whether it was running
        """
        return self._by_attempt.pop(attempt_id, None) is not None

    def forget(self, request_id: str, now_ms: float) -> TrackedRequest | None:
        """Stop tracking a request.

        :returns: its last state, ``None`` if it was not tracked
        """
        tracked = self._tracked.pop(request_id, None)
        if tracked is not None:
            self._limits.release(tracked.request, now_ms)
        return tracked


__all__ = ("ReplacedAttempt", "TrackedRequest", "TrackedRequests")
