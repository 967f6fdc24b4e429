"""Decides whether and when a failed attempt is made again.

Load pattern: single failures under normal load, and many failures at once when a
zone or a wave of engines dies. Without back-off with jitter all victims come back
in the same instant and the survivors' prefill queues fill at once; without the
budget see :mod:`quetzaldeck.decisions.retries.budget`.

Only safe retries are made: a request that may not be repeated is retried only if no
byte of it can have reached an upstream. What is given up on is given up at once, so
that the caller need not wait for its deadline to hear it, with the time at which
coming back makes sense.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.decisions.retries.bounds import RetryBounds
from quetzaldeck.decisions.retries.budget import RetryBudget
from quetzaldeck.outcomes import Failure, Reason

if TYPE_CHECKING:
    import random

    from quetzaldeck.decisions.decision import AttemptEnd
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.retries.arrivals import ArrivalBudget
    from quetzaldeck.decisions.retries.history import AttemptHistory

MAX_UNRUN_ATTEMPTS = 20
"""Refused connections of one request: a bound on the work of trying, not on load."""

MAX_DOUBLINGS = 10
"""Keeps the power small; the longest delay is reached long before."""

ESTIMATE_GROWTH = 1.6
"""What an estimate is multiplied by when an engine counted more; 2.6 in two steps."""

COME_BACK_MS = 2_000.0
"""When to come back after a failure of upstreams: most probes are due by then."""


class Retry(NamedTuple):
    """Make another attempt.

    :param due_ms: monotonic time before which it is not made
    """

    due_ms: float


class RetryPolicy:
    """One VM's retries.

    :param random_state: source of the jitter
    :param bounds: figures
    :param arrivals: bound on sends beyond the first; ``None``: there is none
    """

    def __init__(
        self,
        *,
        random_state: random.Random,
        bounds: RetryBounds | None = None,
        arrivals: ArrivalBudget | None = None,
    ) -> None:
        self._random_state = random_state
        self._arrivals = arrivals
        self._bounds = bounds or RetryBounds()
        self._budget = RetryBudget(
            ratio=self._bounds.ratio,
            floor_tokens=self._bounds.floor_tokens,
            half_life_ms=self._bounds.half_life_ms,
        )

    @property
    def budget(self) -> RetryBudget:
        """:returns: the account of admitted and retried work"""
        return self._budget

    def note_admitted(self, request: Request, now_ms: float) -> None:
        """Pay an admitted request into the budget."""
        self._budget.admit(request.n_kv_tokens, now_ms)
        if self._arrivals is not None:
            self._arrivals.admit(request.target, now_ms)

    def decide(
        self, request: Request, end: AttemptEnd, history: AttemptHistory, now_ms: float
    ) -> Retry | Failure:
        """Decide on a failed attempt.

        :param history: the attempts so far, this one included
        :returns: when to try again, or the final failure
        """
        reason = _final_reason(end.fault)
        come_back_ms = max(COME_BACK_MS, end.retry_after_ms or 0.0)
        failure = Failure(reason, history.ran, come_back_ms)
        if end.fault is AttemptFault.REFUSED:
            return failure._replace(retry_after_ms=end.retry_after_ms)
        if not request.is_repeatable and history.has_reached:
            return failure
        if (
            history.n_run >= self._max_attempts(request)
            or history.n_unrun >= MAX_UNRUN_ATTEMPTS
        ):
            return failure
        due_ms = now_ms + self._delay(end, history)
        if due_ms >= min(request.deadline_ms, request.next_token_deadline_ms):
            return failure
        if not self._may_draw(request, end, now_ms):
            return failure._replace(reason=Reason.RETRY_BUDGET_SPENT)
        return Retry(due_ms)

    def may_retry(
        self, request: Request, history: AttemptHistory, now_ms: float
    ) -> bool:
        """:returns: whether a running attempt may be given up for another one

        :param history: the attempts before the one that runs
        """
        if not request.is_repeatable:
            return False
        if history.n_run + 1 >= self._max_attempts(request):
            return False
        if now_ms >= min(request.deadline_ms, request.next_token_deadline_ms):
            return False
        arrivals = self._arrivals
        if arrivals is not None and not arrivals.has_room(request.target, now_ms):
            return False
        return self._budget.has_room(now_ms)

    def _max_attempts(self, request: Request) -> int:
        if request.max_attempts is None:
            return self._bounds.max_attempts
        return min(self._bounds.max_attempts, request.max_attempts)

    def _may_draw(self, request: Request, end: AttemptEnd, now_ms: float) -> bool:
        """:returns: whether the budgets bear one more attempt, which they then do"""
        if end.may_have_run and not self._budget.draw(request.n_kv_tokens, now_ms):
            return False
        if self._arrivals is None or not end.was_sent:
            return True
        return self._arrivals.draw(request.target, now_ms)

    def _delay(self, end: AttemptEnd, history: AttemptHistory) -> float:
        """:returns: pause before the next attempt, in milliseconds

        The whole range is random: a fixed part would leave the victims of one crash
        in step with each other.
        """
        n_failed = history.n_run + history.n_unrun + history.n_no_room
        bounds = self._bounds
        ceiling_ms = bounds.max_delay_ms
        if end.fault is AttemptFault.NO_ROOM:
            ceiling_ms = bounds.reservation_delay_ms
        n_doublings = min(n_failed - 1, MAX_DOUBLINGS)
        range_ms = min(ceiling_ms, bounds.base_delay_ms * 2**n_doublings)
        jitter_ms = self._random_state.uniform(0.0, range_ms)
        if end.retry_after_ms is None:
            return jitter_ms
        return end.retry_after_ms + jitter_ms


def grow_estimate(request: Request) -> Request:
    """:returns: the request with a larger estimate of its prompt

    Texts of short words or of other scripts have up to four times the tokens that
    their length suggests. Given up after the first refusal, a history that the
    fleet could hold would be lost for a wrong guess.
    """
    n_prompt_tokens = math.ceil(request.n_prompt_tokens * ESTIMATE_GROWTH)
    return request._replace(n_prompt_tokens=n_prompt_tokens)


def _final_reason(fault: AttemptFault | None) -> Reason:
    if fault is AttemptFault.SILENT:
        return Reason.UPSTREAM_SILENT
    if fault is AttemptFault.NO_ROOM:
        return Reason.NO_UPSTREAM
    if fault is AttemptFault.TOO_LONG:
        return Reason.PROMPT_TOO_LARGE
    return Reason.UPSTREAM_FAILED


__all__ = ("MAX_UNRUN_ATTEMPTS", "Retry", "RetryPolicy", "grow_estimate")
