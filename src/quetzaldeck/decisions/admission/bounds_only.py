"""Baseline admission policy that checks only the limits of the queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.admission.api import AdmissionPolicy, admission_policies
from quetzaldeck.decisions.queueing.counters import QueueCounters
from quetzaldeck.decisions.scheduler_bounds import check_bounds
from quetzaldeck.outcomes import Failure, Reason

if TYPE_CHECKING:
    import random

    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.scheduler_bounds import SchedulerBounds

RETRY_AFTER_MS = 1_000.0
"""Fixed, as this policy does not measure how fast the queue drains; long enough to
prevent immediate retries."""


@admission_policies.register("bounds")
class BoundsOnly(AdmissionPolicy):
    """Admits requests while the queue is not full.

    Load pattern: load below capacity. Under overload the queue fills with requests that
    expire in it, and each caller waits until its deadline for a refusal.
    """

    def __init__(
        self, *, random_state: random.Random, bounds: SchedulerBounds | None = None
    ) -> None:
        super().__init__(random_state=random_state, bounds=bounds)
        self._counters = QueueCounters()

    def check(
        self, request: Request, now_ms: float, *, can_start: bool
    ) -> Failure | None:
        """:returns: the refusal if a limit of the queue is reached, else ``None``"""
        reason = check_bounds(self._counters, request, self._bounds)
        return (
            None if reason is None else Failure(reason, retry_after_ms=RETRY_AFTER_MS)
        )

    def latest_start_ms(self, request: Request) -> float:
        """:returns: the deadline"""
        return request.deadline_ms

    def expiry_failure(self, request: Request, now_ms: float) -> Failure:
        """:returns: a failure with the reason that the deadline has passed"""
        return Failure(Reason.DEADLINE_EXCEEDED)

    def note_queued(self, request: Request, now_ms: float) -> None:
        """Count a waiting request."""
        self._counters.add(request)

    def note_unqueued(
        self, request: Request, now_ms: float, *, is_dispatched: bool
    ) -> None:
        """Remove a request that no longer waits."""
        self._counters.discard(request)


__all__ = ("BoundsOnly",)
