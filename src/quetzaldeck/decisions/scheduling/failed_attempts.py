"""Retries or fails requests after a failed attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.attempts.tracked import TrackedRequest
from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.decisions.rate_limits import latest_turn_ms
from quetzaldeck.decisions.retries import Retry, grow_estimate
from quetzaldeck.outcomes import Failure, Ran

if TYPE_CHECKING:
    from quetzaldeck.decisions.admission import AdmissionPolicy
    from quetzaldeck.decisions.attempts.tracked import ReplacedAttempt, TrackedRequests
    from quetzaldeck.decisions.decision import AttemptEnd
    from quetzaldeck.decisions.placement.refusal_check import RefusalCheck
    from quetzaldeck.decisions.poison import PoisonRegistry
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.retries import RetryPolicy
    from quetzaldeck.decisions.scheduling.waiting import WaitingRequests


class FailedAttemptHandler:
    """Queues a request again after a failed attempt, or ends it with a failure.

    :param tracked: stores admitted requests
    :param waiting: holds requests that will be retried
    :param refusals: checks whether any upstream can serve a request
    :param retries: decides whether and when to retry
    :param admission: sets the retry delay of a final failure
    :param poison: delays requests suspected of crashing engines
    """

    def __init__(
        self,
        *,
        tracked: TrackedRequests,
        waiting: WaitingRequests,
        refusals: RefusalCheck,
        retries: RetryPolicy,
        admission: AdmissionPolicy,
        poison: PoisonRegistry,
    ) -> None:
        self._tracked = tracked
        self._waiting = waiting
        self._refusals = refusals
        self._retries = retries
        self._admission = admission
        self._poison = poison

    def handle(
        self, tracked: TrackedRequest, end: AttemptEnd, now_ms: float
    ) -> Failure | None:
        """Retry a request or end it.

        :returns: the final failure, ``None`` if the request will be retried
        """
        if end.fault is AttemptFault.TOO_LONG:
            tracked = self._tracked.resize(tracked, grow_estimate, now_ms)
        retry = self.decide(tracked, end, now_ms)
        if isinstance(retry, Failure):
            charge = tracked.charge.after(end)
            self._retries.give_back(tracked.request, charge, now_ms)
            self._tracked.forget(tracked.request.request_id, now_ms)
            return retry
        self.queue(tracked, end, retry, now_ms)
        return None

    def decide(
        self, tracked: TrackedRequest, end: AttemptEnd, now_ms: float
    ) -> Retry | Failure:
        """Decide whether another attempt follows one that ends.

        A retry is charged to the budgets; nothing else changes.
        """
        history = tracked.history.after(end, tracked.upstreams)
        request = _renew_idle_timeout(tracked.request, end, now_ms)
        failure = self._refusals.check(request, now_ms)
        if failure is None:
            latest_start_ms = self._admission.latest_start_ms(request)
            failure = self._refusals.check_rate_limits(
                request, now_ms, latest_turn_ms(latest_start_ms, now_ms)
            )
        if failure is not None:
            return failure._replace(ran=history.ran)
        retry = self._retries.decide(request, end, history, now_ms)
        if isinstance(retry, Retry):
            return retry
        if retry.ran is not Ran.NO or end.retry_after_ms is not None:
            return retry
        return self._admission.update_retry_after(request, retry, now_ms)

    def queue(
        self,
        tracked: TrackedRequest,
        end: AttemptEnd,
        retry: Retry,
        now_ms: float,
        *,
        replaced: tuple[ReplacedAttempt, ...] = (),
    ) -> None:
        """Queue the next attempt of a request.

        :param replaced: attempts that keep running meanwhile, besides earlier ones
        """
        request = _renew_idle_timeout(tracked.request, end, now_ms)
        history = tracked.history.after(end, tracked.upstreams)
        pause_ms = self._poison.max_pause_ms(request.crash_fingerprints, now_ms)
        self._tracked.update(
            TrackedRequest(
                request,
                tracked.n_uncorrected_tokens,
                history,
                replaced=(*tracked.replaced, *replaced),
                charge=tracked.charge.after(end).add(retry.charge),
            )
        )
        self._waiting.delay(request, retry.due_ms + pause_ms, now_ms)


def _renew_idle_timeout(request: Request, end: AttemptEnd, now_ms: float) -> Request:
    """:returns: the request, with a renewed idle timeout if its caller got tokens"""
    return request._replace(last_token_ms=now_ms) if end.n_output_tokens else request


__all__ = ("FailedAttemptHandler",)
