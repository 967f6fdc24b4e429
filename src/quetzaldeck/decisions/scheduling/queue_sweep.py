"""Rejects waiting requests that can no longer be served.

A request that waits for another attempt while a silent one runs is not forgotten: only
the attempt that waits is withdrawn.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.decision import Rejection

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from quetzaldeck.decisions.admission import AdmissionPolicy
    from quetzaldeck.decisions.attempts.tracked import TrackedRequests
    from quetzaldeck.decisions.placement.path_verdicts import PathVerdicts
    from quetzaldeck.decisions.placement.refusal_check import RefusalCheck
    from quetzaldeck.decisions.poison import PoisonRegistry
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.scheduling.failed_attempts import FailedAttemptHandler
    from quetzaldeck.decisions.scheduling.waiting import WaitingRequests
    from quetzaldeck.decisions.upstream_table import UpstreamTable
    from quetzaldeck.outcomes import Failure


class QueueSweep:
    """Finds waiting requests that cannot be served, or not in time.

    :param tracked: stores admitted requests
    :param waiting: holds the requests that wait
    :param admission: sets the latest start of a request
    :param refusals: checks whether any upstream can serve a request
    :param paths: which services this VM reaches
    :param poison: knows which requests have crashed too many engines
    :param table: knows whether any upstream rests, leaves, limits its rate or is
        evacuated
    :param failed: withdraws the next attempt of a request that is kept
    :param withdraw: removes a request by its id
    """

    def __init__(
        self,
        *,
        tracked: TrackedRequests,
        waiting: WaitingRequests,
        admission: AdmissionPolicy,
        refusals: RefusalCheck,
        paths: PathVerdicts,
        poison: PoisonRegistry,
        table: UpstreamTable,
        failed: FailedAttemptHandler,
        withdraw: Callable[[str], None],
    ) -> None:
        self._tracked = tracked
        self._waiting = waiting
        self._admission = admission
        self._refusals = refusals
        self._paths = paths
        self._poison = poison
        self._table = table
        self._failed = failed
        self._withdraw = withdraw

    def run(self, now_ms: float) -> Iterable[Rejection]:
        """:returns: a rejection for each request that cannot be served any more"""
        yield from self._reject_expired(now_ms)
        yield from self._reject_poison(now_ms)
        yield from self._reject_closed(now_ms)
        yield from self._reject_unreached(now_ms)
        yield from self._reject_restricted(now_ms)

    def _reject_expired(self, now_ms: float) -> Iterable[Rejection]:
        for request_id in self._waiting.pop_expired(now_ms):
            request = self._tracked[request_id].request
            failure = self._admission.expiry_failure(request, now_ms)
            yield self._reject(request, failure, now_ms)

    def _reject_poison(self, now_ms: float) -> Iterable[Rejection]:
        """Reject requests that have crashed too many engines of the fleet."""
        waiting = tuple(self._waiting) if self._poison.pop_newly_refused(now_ms) else ()
        for request in waiting:
            failure = self._refusals.check_poison(request, now_ms)
            if failure is not None:
                yield self._reject(request, failure, now_ms)

    def _reject_closed(self, now_ms: float) -> Iterable[Rejection]:
        """Reject requests whose upstreams all leave, or are in evacuated zones."""
        has_changed = self._table.pop_closures_changed()
        waiting = tuple(self._waiting) if has_changed else ()
        for request in waiting:
            failure = self._refusals.check_upstreams(request)
            if failure is not None:
                yield self._reject(request, failure, now_ms)

    def _reject_unreached(self, now_ms: float) -> Iterable[Rejection]:
        """Reject requests whose upstreams this VM does not reach."""
        waiting = tuple(self._waiting) if self._paths.has_lost else ()
        for request in waiting:
            failure = self._paths.check(request)
            if failure is not None:
                yield self._reject(request, failure, now_ms)

    def _reject_restricted(self, now_ms: float) -> Iterable[Rejection]:
        """Reject requests that no upstream takes in time: all rest or limit rates."""
        waiting = tuple(self._waiting) if self._table.has_restrictions(now_ms) else ()
        for request in waiting:
            latest_ms = self._admission.latest_start_ms(request)
            failure = self._refusals.check_restrictions(request, now_ms, latest_ms)
            if failure is not None:
                yield self._reject(request, failure, now_ms)

    def _reject(self, request: Request, failure: Failure, now_ms: float) -> Rejection:
        tracked = self._tracked[request.request_id]
        if tracked.replaced:
            self._failed.withdraw_next(tracked, now_ms)
        else:
            self._withdraw(request.request_id)
        return Rejection(request, failure._replace(ran=tracked.history.ran))


__all__ = ("QueueSweep",)
