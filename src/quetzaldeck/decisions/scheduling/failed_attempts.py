"""Retries or fails requests after a failed attempt.

A request that gets no further attempt is kept while an attempt of it runs that was
replaced: that attempt may continue, break, or be replaced again. So is one that was
handed over, which may be retried here if no other VM runs it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.attempts.tracked import TrackedRequest
from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.decisions.retries import NO_CHARGE, Retry, grow_estimate
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    from quetzaldeck.decisions.admission import AdmissionPolicy
    from quetzaldeck.decisions.attempts.tracked import ReplacedAttempt, TrackedRequests
    from quetzaldeck.decisions.decision import AttemptEnd
    from quetzaldeck.decisions.placement.refusal_check import RefusalCheck
    from quetzaldeck.decisions.poison import PoisonRegistry
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
            if tracked.replaced or tracked.history.is_handed_over:
                self._keep(_after(tracked, end, now_ms))
            else:
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
        return self._decide(_after(tracked, end, now_ms), end, now_ms)

    def withdraw_next(self, tracked: TrackedRequest, now_ms: float) -> None:
        """Take the next attempt of a request out of the queue, and keep the request."""
        self._waiting.discard(tracked.request.request_id, now_ms)
        self._retries.give_back(tracked.request, tracked.charge, now_ms)
        self._keep(tracked)

    def retry_kept(self, request_id: str, now_ms: float) -> Failure | None:
        """Queue another attempt of a request that was kept, if one is allowed now.

        :returns: why there is none
        """
        tracked = self._tracked.get(request_id)
        if tracked is None or not tracked.is_kept or tracked.last_end is None:
            return Failure(Reason.UPSTREAM_FAILED, Ran.UNKNOWN)
        if self._admission.latest_start_ms(tracked.request) <= now_ms:
            failure = self._admission.expiry_failure(tracked.request, now_ms)
            return failure._replace(ran=tracked.history.ran)
        retry = self._decide(tracked, tracked.last_end, now_ms)
        if isinstance(retry, Failure):
            return retry
        self._delay(tracked._replace(charge=retry.charge), retry, now_ms)
        return None

    def _keep(self, tracked: TrackedRequest) -> None:
        self._tracked.update(
            tracked._replace(
                attempt_id="", upstreams=(), charge=NO_CHARGE, is_kept=True
            )
        )

    def _decide(
        self, tracked: TrackedRequest, end: AttemptEnd, now_ms: float
    ) -> Retry | Failure:
        """Decide whether a request gets another attempt.

        :param tracked: its state after the end of the last one
        """
        request, history = tracked.request, tracked.history
        failure = self._refusals.check(request, now_ms)
        if failure is None:
            latest_start_ms = self._admission.latest_start_ms(request)
            failure = self._refusals.check_restrictions(
                request, now_ms, latest_start_ms
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
        after = _after(tracked, end, now_ms)
        after = after._replace(
            replaced=(*tracked.replaced, *replaced),
            charge=tracked.charge.after(end).add(retry.charge),
        )
        self._delay(after, retry, now_ms)

    def _delay(self, tracked: TrackedRequest, retry: Retry, now_ms: float) -> None:
        request = tracked.request
        pause_ms = self._poison.max_pause_ms(request.crash_fingerprints, now_ms)
        self._tracked.update(tracked._replace(is_kept=False))
        self._waiting.delay(request, retry.due_ms + pause_ms, now_ms)


def _after(tracked: TrackedRequest, end: AttemptEnd, now_ms: float) -> TrackedRequest:
    """:returns: a request after its attempt has ended; nothing is charged to it

    Its idle timeout is renewed if its caller got tokens.
    """
    request = tracked.request
    if end.n_output_tokens:
        request = request._replace(last_token_ms=now_ms)
    # A replacement that was not sent follows nothing: what comes next replaces the
    # silent attempt, and is charged as such.
    last_end = end if end.was_sent or tracked.last_end is None else tracked.last_end
    return TrackedRequest(
        request,
        tracked.n_uncorrected_tokens,
        tracked.history.after(end, tracked.upstreams),
        replaced=tracked.replaced,
        last_end=last_end,
    )


__all__ = ("FailedAttemptHandler",)
