"""Bounds of the scheduler that do not come from the bundle."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.outcomes import Reason

if TYPE_CHECKING:
    from quetzaldeck.decisions.queueing import QueueCounters
    from quetzaldeck.decisions.request import Request


class SchedulerBounds(NamedTuple):
    """Bounds of one VM's scheduler.

    One customer may fill less than half of the queue, so that the requests of the
    others are not refused for its sake.

    :param max_queued: requests in the queue
    :param max_queued_tokens: prompt and output tokens in the queue
    :param max_customer_share: share of both that one customer may fill
    :param max_requests_per_upstream: requests at one upstream at a time
    """

    max_queued: int = 2_000
    max_queued_tokens: int = 20_000_000
    max_customer_share: float = 0.4
    max_requests_per_upstream: int = 64


def check_bounds(
    account: QueueCounters, request: Request, bounds: SchedulerBounds
) -> Reason | None:
    """:returns: the bound that one more request would break, ``None`` if none"""
    n_tokens = request.n_kv_tokens
    total = account.total
    if (
        total.n_requests >= bounds.max_queued
        or total.n_tokens + n_tokens > bounds.max_queued_tokens
    ):
        return Reason.QUEUE_FULL
    own = account.of_customer(request.customer)
    share = bounds.max_customer_share
    if (
        own.n_requests >= share * bounds.max_queued
        or own.n_tokens + n_tokens > share * bounds.max_queued_tokens
    ):
        return Reason.CUSTOMER_QUEUE_FULL
    return None


__all__ = ("SchedulerBounds", "check_bounds")
