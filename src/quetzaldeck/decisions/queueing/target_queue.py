"""Queue of one model or plain service, with priorities."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.queueing.share_target import share_target
from quetzaldeck.decisions.queueing.start_time_fair_queue import StartTimeFairQueue

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.decisions.queueing.api import PlaceFunction
    from quetzaldeck.decisions.queueing.customer_tags import CustomerTagTable
    from quetzaldeck.decisions.queueing.start_time_fair_queue import PlacedRequest
    from quetzaldeck.decisions.request import Request

LOWER_PRIORITY_SHARE = 0.125
"""Tokens of credit that each lower priority earns per token served at a higher one."""

MAX_CREDIT_TOKENS = 200_000.0
"""Limit of the credit of a priority. Without it, requests of a priority that could not
be placed for a long time would later take the whole fleet for minutes."""


class TargetQueue:
    """Serves priorities in order, 0 first, with a fair queue of customers in each.

    Lower priorities earn credit for tokens served at higher ones, and a priority with
    credit is served first. Without this guaranteed share, a high-priority customer that
    keeps its queue full would starve all others.

    :param tags: start tags of customers, which other VMs' dispatches advance
    """

    def __init__(self, tags: CustomerTagTable) -> None:
        self._tags = tags
        self._queues: dict[int, StartTimeFairQueue] = {}
        self._credits: dict[int, float] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[Request]:
        for queue in self._queues.values():
            yield from queue

    @property
    def highest_priority(self) -> int:
        """:returns: the highest priority (lowest number) with requests

        :raises ValueError: if the queue is empty
        """
        return min(self._queues)

    def push(self, request: Request, due_ms: float) -> None:
        """Add a request that is due at ``due_ms``."""
        queue = self._queues.get(request.priority)
        if queue is None:
            target = share_target(request)
            queue = StartTimeFairQueue(self._tags.obtain(target), target)
            self._queues[request.priority] = queue
        queue.push(request, due_ms)

    def discard(self, request: Request) -> None:
        """Remove a queued request without serving it."""
        queue = self._queues[request.priority]
        queue.discard(request)
        if not queue:
            self._remove_priority(request.priority)

    def take(self, place: PlaceFunction) -> PlacedRequest | None:
        """:returns: the next request that can be placed"""
        for priority in self._priorities_in_order():
            placed = self._queues[priority].take(place)
            if placed is not None:
                self._update_credits(priority, placed.request)
                return placed
        return None

    def _priorities_in_order(self) -> list[int]:
        """:returns: priorities with requests; those with credit come first"""
        ordered = sorted(self._queues)
        with_credit = [p for p in ordered if self._credits.get(p, 0.0) > 0.0]
        return with_credit + [p for p in ordered if p not in with_credit]

    def _update_credits(self, priority: int, request: Request) -> None:
        n_tokens = request.n_kv_tokens
        if self._credits.get(priority, 0.0) > 0.0:
            self._credits[priority] -= n_tokens
        for other in self._queues:
            if other > priority:
                credit = self._credits.get(other, 0.0) + LOWER_PRIORITY_SHARE * n_tokens
                self._credits[other] = min(MAX_CREDIT_TOKENS, credit)
        if not self._queues[priority]:
            self._remove_priority(priority)

    def _remove_priority(self, priority: int) -> None:
        del self._queues[priority]
        self._credits.pop(priority, None)


__all__ = ("LOWER_PRIORITY_SHARE", "MAX_CREDIT_TOKENS", "TargetQueue")
