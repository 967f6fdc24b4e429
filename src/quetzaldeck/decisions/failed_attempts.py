"""What becomes of a request whose attempt failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.decisions.retries import grow_estimate
from quetzaldeck.decisions.tracked import Tracked
from quetzaldeck.outcomes import Failure, Ran

if TYPE_CHECKING:
    from quetzaldeck.decisions.admission import AdmissionPolicy
    from quetzaldeck.decisions.decision import AttemptEnd
    from quetzaldeck.decisions.placement.placer import Placer
    from quetzaldeck.decisions.poison import PoisonRegistry
    from quetzaldeck.decisions.retries import RetryPolicy
    from quetzaldeck.decisions.tracked import TrackedRequests
    from quetzaldeck.decisions.waiting import WaitingRequests


class FailedAttempts:
    """Queues requests again whose attempt failed, or ends them.

    :param tracked: remembers admitted requests
    :param waiting: takes those that are tried again
    :param placer: knows whether they can be placed at all
    :param retries: decides on further attempts
    :param admission: says when a caller may come back
    :param poison: holds suspects back
    """

    def __init__(
        self,
        *,
        tracked: TrackedRequests,
        waiting: WaitingRequests,
        placer: Placer,
        retries: RetryPolicy,
        admission: AdmissionPolicy,
        poison: PoisonRegistry,
    ) -> None:
        self._tracked = tracked
        self._waiting = waiting
        self._placer = placer
        self._retries = retries
        self._admission = admission
        self._poison = poison

    def take(self, tracked: Tracked, end: AttemptEnd, now_ms: float) -> Failure | None:
        """:returns: the final failure of a request, ``None`` if it is tried again"""
        history = tracked.history.after(end, tracked.upstreams)
        if end.fault is AttemptFault.TOO_LONG:
            tracked = self._tracked.resize(tracked, grow_estimate, now_ms)
        request = tracked.request
        if end.n_output_tokens:
            # Its caller has heard a part and goes on listening.
            request = request._replace(last_token_ms=now_ms)
        failure = self._placer.check(request, now_ms)
        if failure is not None:
            self._tracked.forget(request.request_id, now_ms)
            return failure._replace(ran=history.ran)
        retry = self._retries.decide(request, end, history, now_ms)
        if isinstance(retry, Failure):
            self._tracked.forget(request.request_id, now_ms)
            if retry.ran is not Ran.NO or end.retry_after_ms is not None:
                return retry
            return self._admission.time_return(request, retry, now_ms)
        due_ms = retry.due_ms + self._poison.pause_ms(request.fingerprint, now_ms)
        self._tracked.update(Tracked(request, tracked.n_guessed_tokens, history))
        self._waiting.delay(request, due_ms, now_ms)
        return None


__all__ = ("FailedAttempts",)
