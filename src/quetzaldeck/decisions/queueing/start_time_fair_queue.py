"""Weighted fair queueing between customers, measured in tokens."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.queueing.customer_queue import CustomerQueue
from quetzaldeck.decisions.request import Request

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.decisions.queueing.api import PlaceFunction

MAX_TRIED_CUSTOMERS = 3
"""Customers whose head request is tried for each dispatch. A head request may have to
wait for an adapter or for enough memory while that of the next customer can be placed;
trying more customers costs more than it gains."""

_MIN_IDLE_TAGS = 64


class PlacedRequest(NamedTuple):
    """A request taken from the queue and the upstreams it is placed on."""

    request: Request
    upstreams: tuple[str, ...]


class _ScheduledCustomer(NamedTuple):
    start_tag: float
    sequence_number: int
    customer: str


class StartTimeFairQueue:
    """Serves the customer that has received the fewest tokens relative to its weight.

    Load pattern: one customer sends many more requests, or much longer prompts, than
    the others. In order of arrival it would get a share of the fleet in proportion to
    what it sends; with fairness by requests, the customer with the longest prompts
    would get most.

    This is start-time fair queueing. Each customer has a start tag, the tokens served
    to it divided by its weight; the lowest start tag goes next. Deficit round robin
    gives the same shares but needs a quantum: with one of a million tokens a customer
    gets a burst of that size, and a smaller quantum takes many rounds over all
    customers before a long prompt is served. A heap ordered by start tag has neither
    problem; each decision is logarithmic in the number of waiting customers.
    """

    def __init__(self) -> None:
        self._queues: dict[str, CustomerQueue] = {}
        self._schedule: list[_ScheduledCustomer] = []
        self._idle_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()
        self._n_requests = 0

    def __len__(self) -> int:
        return self._n_requests

    def __iter__(self) -> Iterator[Request]:
        for queue in self._queues.values():
            yield from queue

    def push(self, request: Request, due_ms: float) -> None:
        """Add a request; a customer gets no credit for time without requests."""
        queue = self._queues.get(request.customer)
        if queue is None:
            queue = self._queues[request.customer] = CustomerQueue()
            start_tag = max(
                self._virtual_time, self._idle_tags.get(request.customer, 0.0)
            )
            self._schedule_customer(request.customer, start_tag)
        queue.push(request, due_ms)
        self._n_requests += 1

    def discard(self, request: Request) -> None:
        """Remove a queued request, whether it was served or not."""
        self._queues[request.customer].discard(request.request_id)
        self._n_requests -= 1

    def take(self, place: PlaceFunction) -> PlacedRequest | None:
        """:returns: the first placeable request of the next few customers

        At most :data:`MAX_TRIED_CUSTOMERS` requests are tried.
        """
        skipped: list[_ScheduledCustomer] = []
        placed = None
        while self._schedule and placed is None and len(skipped) < MAX_TRIED_CUSTOMERS:
            entry = heapq.heappop(self._schedule)
            head = self._queues[entry.customer].peek()
            if head is None:
                self._remove_idle(entry)
                continue
            upstreams = place(head)
            if upstreams is None:
                skipped.append(entry)
                continue
            self._dequeue(entry, head)
            placed = PlacedRequest(head, upstreams)
        for entry in skipped:
            heapq.heappush(self._schedule, entry)
        return placed

    def _dequeue(self, entry: _ScheduledCustomer, request: Request) -> None:
        self._virtual_time = max(self._virtual_time, entry.start_tag)
        start_tag = entry.start_tag + request.n_kv_tokens / request.weight
        self.discard(request)
        if self._queues[entry.customer].peek() is None:
            self._remove_idle(entry._replace(start_tag=start_tag))
        else:
            self._schedule_customer(entry.customer, start_tag)

    def _schedule_customer(self, customer: str, start_tag: float) -> None:
        heapq.heappush(
            self._schedule,
            _ScheduledCustomer(start_tag, next(self._sequence), customer),
        )

    def _remove_idle(self, entry: _ScheduledCustomer) -> None:
        """Remove a customer without requests and keep its start tag.

        The tag matters only while it is ahead of the virtual time; older ones are
        dropped, so that memory does not grow with all customers ever served.
        """
        del self._queues[entry.customer]
        self._idle_tags[entry.customer] = entry.start_tag
        if len(self._idle_tags) > 2 * len(self._queues) + _MIN_IDLE_TAGS:
            now = self._virtual_time
            self._idle_tags = {
                c: tag for c, tag in self._idle_tags.items() if tag > now
            }


__all__ = ("MAX_TRIED_CUSTOMERS", "PlacedRequest", "StartTimeFairQueue")
