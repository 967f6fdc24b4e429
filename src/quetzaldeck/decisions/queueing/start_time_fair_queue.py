"""Weighted fair queueing between customers, measured in tokens."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.queueing.customer_queue import CustomerQueue
from quetzaldeck.decisions.queueing.customer_tags import CustomerTags
from quetzaldeck.decisions.queueing.passed_over import PassedOver, ShareRule
from quetzaldeck.decisions.request import Request

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.decisions.queueing.api import PlaceFunction

MAX_TRIED_CUSTOMERS = 3
"""Customers whose head request is tried for each dispatch. A head request may have to
wait for an adapter or for enough memory while that of the next customer can be placed;
trying more customers costs more than it gains."""


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

    Where customers share the fleet, the start tag also advances by what other VMs
    dispatched for the customer, divided by its weight.

    :param tags: start tags of customers without requests, and service elsewhere
    :param target: label of the queue
    """

    def __init__(self, tags: CustomerTags | None = None, target: str = "") -> None:
        self._queues: dict[str, CustomerQueue] = {}
        self._schedule: list[_ScheduledCustomer] = []
        self._tags = CustomerTags() if tags is None else tags
        self._target = target
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
            start_tag = self._tags.start_tag(request.customer)
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
            start_tag = self._tags.advance(entry.start_tag, entry.customer, head.weight)
            if start_tag > entry.start_tag:
                heapq.heappush(self._schedule, entry._replace(start_tag=start_tag))
                continue
            upstreams = place(head)
            if upstreams is None:
                skipped.append(entry)
                continue
            if self._tags.has_recent:
                self._note_passed_over(entry, head)
            self._dequeue(entry, head)
            placed = PlacedRequest(head, upstreams)
        for entry in skipped:
            heapq.heappush(self._schedule, entry)
        return placed

    def _dequeue(self, entry: _ScheduledCustomer, request: Request) -> None:
        self._tags.virtual_time = max(self._tags.virtual_time, entry.start_tag)
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
        """Remove a customer without requests and keep its start tag."""
        del self._queues[entry.customer]
        self._tags.note_idle(entry.customer, entry.start_tag, len(self._queues))

    def _note_passed_over(self, entry: _ScheduledCustomer, served: Request) -> None:
        """Record the oldest request that ``served`` overtakes, if there is one.

        Customers before it in the schedule could not be placed, those behind it wait
        because of their shares.
        """
        overtaken: tuple[Request, _ScheduledCustomer] | None = None
        oldest_ms = served.arrived_ms
        for other in self._schedule:
            head = self._queues[other.customer].peek()
            if head is not None and head.arrived_ms < oldest_ms:
                oldest_ms, overtaken = head.arrived_ms, (head, other)
        if overtaken is None:
            return
        request, other = overtaken
        is_due_here = self._local_rank(other) < self._local_rank(entry)
        self._tags.passed_over.append(
            PassedOver(
                self._target,
                ShareRule.SERVED_ELSEWHERE if is_due_here else ShareRule.SERVED_HERE,
                request.customer,
                request.request_id,
                request.arrived_ms,
                served.customer,
                served.request_id,
            )
        )

    def _local_rank(self, entry: _ScheduledCustomer) -> tuple[float, int]:
        """:returns: sort key of a customer without service at other VMs"""
        lead = self._tags.lead(entry.start_tag, entry.customer)
        return entry.start_tag - lead, entry.sequence_number


__all__ = ("MAX_TRIED_CUSTOMERS", "PlacedRequest", "StartTimeFairQueue")
