"""Decides whether and when a failed attempt is retried.

Load pattern: single failures under normal load, and many failures at once when a zone
or many engines fail. Without backoff with jitter all failed requests are retried at the
same moment and fill the prefill queues of the remaining engines at once. For the
effect of the budget see :mod:`quetzaldeck.decisions.retries.budget`.

Only safe retries are made: a non-repeatable request is retried only if no upstream can
have started to run it. A request that cannot be retried fails at once, so that its
caller need not wait for the deadline; the failure says when to retry.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.decisions.retries.bounds import RetryBounds
from quetzaldeck.decisions.retries.budget import RetryBudget
from quetzaldeck.decisions.retries.charge import NO_CHARGE, RetryCharge
from quetzaldeck.outcomes import Failure, Reason

if TYPE_CHECKING:
    import random

    from quetzaldeck.decisions.decision import AttemptEnd
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.retries.history import AttemptHistory
    from quetzaldeck.decisions.retries.resend_budget import ResendBudget

MAX_NOT_RUN_ATTEMPTS = 20
"""Attempts of one request that were certainly not run, such as refused connections.
Limits the effort spent on them; such attempts put no load on upstreams."""

MAX_DOUBLINGS = 10
"""Bounds the exponent of the backoff; the longest backoff is reached well before."""

ESTIMATE_GROWTH = 1.6
"""Factor for a prompt estimate that an engine found too low; two steps give 2.6."""

UPSTREAM_FAILURE_RETRY_AFTER_MS = 2_000.0
"""Time after which callers should retry when upstreams failed; most health probes are
due by then."""


MAX_IMMEDIATE_DIVERSIONS = 3
"""Diversions of one request that are followed by the next attempt at once. More of them
show that upstreams are closed again and again."""


class Retry(NamedTuple):
    """Decision to make another attempt.

    :param due_ms: monotonic time before which the attempt must not start
    :param charge: what the budgets were charged for it
    """

    due_ms: float
    charge: RetryCharge = NO_CHARGE


class RetryPolicy:
    """Decides on the retries of one VM.

    :param random_state: source of the jitter
    :param bounds: parameters, the defaults if not given
    :param resend_budget: budget of resends by service; ``None``: unlimited
    """

    def __init__(
        self,
        *,
        random_state: random.Random,
        bounds: RetryBounds | None = None,
        resend_budget: ResendBudget | None = None,
    ) -> None:
        self._random_state = random_state
        self._resend_budget = resend_budget
        self._bounds = bounds or RetryBounds()
        self._budget = RetryBudget(
            ratio=self._bounds.ratio,
            min_retry_tokens=self._bounds.min_retry_tokens,
            half_life_ms=self._bounds.half_life_ms,
        )

    @property
    def budget(self) -> RetryBudget:
        """:returns: the budget of retried work"""
        return self._budget

    def note_admitted(self, request: Request, now_ms: float) -> None:
        """Add an admitted request to the budgets."""
        self._budget.deposit(request.n_kv_tokens, now_ms)
        if self._resend_budget is not None:
            self._resend_budget.record_request(request.target, now_ms)

    def decide(
        self, request: Request, end: AttemptEnd, history: AttemptHistory, now_ms: float
    ) -> Retry | Failure:
        """Decide whether a failed attempt is retried.

        :param history: the attempts so far, including the failed one
        :returns: the retry, or the final failure
        """
        reason = _final_reason(end.fault)
        retry_after_ms = max(UPSTREAM_FAILURE_RETRY_AFTER_MS, end.retry_after_ms or 0.0)
        failure = Failure(reason, history.ran, retry_after_ms)
        if end.fault is AttemptFault.REFUSED:
            return failure._replace(retry_after_ms=end.retry_after_ms)
        if history.is_handed_over:
            return failure
        if not request.is_repeatable and history.may_have_run:
            return failure
        if (
            history.n_maybe_run >= self._max_attempts(request)
            or history.n_not_run + history.n_rate_limited >= MAX_NOT_RUN_ATTEMPTS
        ):
            return failure
        due_ms = now_ms + self._delay(end, history)
        if due_ms >= min(request.deadline_ms, request.next_token_deadline_ms):
            return failure
        charge = self._try_spend(request, end, now_ms)
        if charge is None:
            return failure._replace(reason=Reason.RETRY_BUDGET_SPENT)
        return Retry(due_ms, charge)

    def give_back(self, request: Request, charge: RetryCharge, now_ms: float) -> None:
        """Take back a charge for an attempt that was certainly never sent."""
        if charge.n_tokens:
            self._budget.give_back(charge.n_tokens, charge.charged_ms, now_ms)
        if self._resend_budget is not None and charge.resent_ms is not None:
            self._resend_budget.give_back(request.target, charge.resent_ms, now_ms)

    def may_retry(
        self, request: Request, history: AttemptHistory, now_ms: float
    ) -> bool:
        """:returns: whether a running attempt may be abandoned for a retry

        :param history: the attempts before the running one
        """
        if history.is_handed_over or not request.is_repeatable:
            return False
        if history.n_maybe_run + 1 >= self._max_attempts(request):
            return False
        if now_ms >= min(request.deadline_ms, request.next_token_deadline_ms):
            return False
        resend_budget = self._resend_budget
        if resend_budget is not None and not resend_budget.can_spend(
            request.target, now_ms
        ):
            return False
        return self._budget.can_spend(now_ms)

    def _max_attempts(self, request: Request) -> int:
        if request.max_attempts is None:
            return self._bounds.max_attempts
        return min(self._bounds.max_attempts, request.max_attempts)

    def _try_spend(
        self, request: Request, end: AttemptEnd, now_ms: float
    ) -> RetryCharge | None:
        """Charge one more attempt to the budgets that apply to it.

        :returns: the charge; ``None`` if they do not allow it
        """
        resend_budget = self._resend_budget if end.was_sent else None
        # Both are checked before either is charged: a retry that one budget refuses
        # must not use up the other.
        if resend_budget is not None and not resend_budget.can_spend(
            request.target, now_ms
        ):
            return None
        charge = NO_CHARGE
        if end.may_have_run:
            if not self._budget.try_spend(request.n_kv_tokens, now_ms):
                return None
            charge = charge._replace(n_tokens=request.n_kv_tokens, charged_ms=now_ms)
        if resend_budget is not None and resend_budget.try_spend(
            request.target, now_ms
        ):
            charge = charge._replace(resent_ms=now_ms)
        return charge

    def _delay(self, end: AttemptEnd, history: AttemptHistory) -> float:
        """:returns: delay before the next attempt, in milliseconds

        None after a refused permit, after the first diversions, or if the upstream
        wants to rest: the request was not run and goes elsewhere.

        The backoff has full jitter: with a fixed part, requests that failed in the same
        crash would be retried nearly at the same time.
        """
        if end.fault is AttemptFault.RATE_LIMITED:
            return 0.0
        is_diverted = end.is_diverted
        if end.fault is AttemptFault.RESTING and not is_diverted:
            return 0.0
        if is_diverted and history.n_diverted <= MAX_IMMEDIATE_DIVERSIONS:
            return 0.0
        n_failed = history.n_diverted if is_diverted else 0
        n_failed += history.n_maybe_run + history.n_not_run + history.n_no_room
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
    """:returns: the request with a larger estimate of its prompt tokens

    Texts of short words or of non-Latin scripts have up to four times the tokens that
    their length suggests. Without growth, a long prompt that fits into the fleet would
    fail after the first refusal because of a wrong estimate.
    """
    n_prompt_tokens = math.ceil(request.n_prompt_tokens * ESTIMATE_GROWTH)
    return request._replace(n_prompt_tokens=n_prompt_tokens)


def _final_reason(fault: AttemptFault | None) -> Reason:
    if fault is AttemptFault.SILENT:
        return Reason.UPSTREAM_SILENT
    if fault in (AttemptFault.NO_ROOM, AttemptFault.EVACUATED):
        return Reason.NO_UPSTREAM
    if fault is AttemptFault.RATE_LIMITED:
        return Reason.UPSTREAM_RATE_LIMITED
    if fault is AttemptFault.RESTING:
        return Reason.UPSTREAM_RESTING
    if fault is AttemptFault.TOO_LONG:
        return Reason.PROMPT_TOO_LARGE
    return Reason.UPSTREAM_FAILED


__all__ = ("MAX_NOT_RUN_ATTEMPTS", "Retry", "RetryPolicy", "grow_estimate")
