"""Limits of the scheduler that the bundle does not configure."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.outcomes import Reason

if TYPE_CHECKING:
    from quetzaldeck.decisions.queueing import QueueCounters
    from quetzaldeck.decisions.request import Request


class SchedulerBounds(NamedTuple):
    """Limits of the scheduler of one VM.

    One customer may fill less than half of the queue, so that a burst of one customer
    does not cause refusals for the others.

    :param max_queued: maximum number of requests in the queue
    :param max_queued_tokens: maximum sum of prompt and output tokens in the queue
    :param max_customer_share: share of these two limits that one customer may use
    :param max_requests_per_upstream: maximum concurrent requests at one upstream
    """

    max_queued: int = 2_000
    max_queued_tokens: int = 20_000_000
    max_customer_share: float = 0.4
    max_requests_per_upstream: int = 64


def check_bounds(
    counters: QueueCounters, request: Request, bounds: SchedulerBounds
) -> Reason | None:
    """:returns: reason to refuse one more request, ``None`` if it fits the limits"""
    n_tokens = request.n_kv_tokens
    total = counters.total
    if (
        total.n_requests >= bounds.max_queued
        or total.n_tokens + n_tokens > bounds.max_queued_tokens
    ):
        return Reason.QUEUE_FULL
    own = counters.of_customer(request.customer)
    share = bounds.max_customer_share
    if (
        own.n_requests >= share * bounds.max_queued
        or own.n_tokens + n_tokens > share * bounds.max_queued_tokens
    ):
        return Reason.CUSTOMER_QUEUE_FULL
    return None


__all__ = ("SchedulerBounds", "check_bounds")
