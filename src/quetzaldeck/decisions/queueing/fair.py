"""Length-aware fair queueing, the default queue policy."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.queueing.api import QueuePolicy, queue_policies
from quetzaldeck.decisions.queueing.customer_tags import CustomerTagTable
from quetzaldeck.decisions.queueing.target_queue import TargetQueue
from quetzaldeck.decisions.request import MAX_MEDIUM_TOKENS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.decisions.queueing.api import PlaceFunction
    from quetzaldeck.decisions.queueing.passed_over import PassedOver
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.tuning import Tuning

DEFAULT_STRETCH = 8.0
"""Due time of a request after its arrival, as a multiple of its own prefill time. The
bundle's profile may set another."""
BASE_MS = 50.0
"""Fixed cost added to the prefill time of each request, so that very short requests do
not all go first."""
MS_PER_TOKEN = 0.05
"""Prefill time of a token on an 8-way server. Only the order of requests depends on
it."""


class _QueueKey(NamedTuple):
    """Key of requests that share a queue; requests of different keys never block each
    other.

    :param target: model or plain service
    :param is_long: whether the prompt is longer than a medium one
    """

    target: str
    is_long: bool


@queue_policies.register("fair")
class FairQueue(QueuePolicy):
    """Weighted fair by tokens between customers, shortest-first with ageing within one.

    Load pattern: prompts of 1 K to 1 M tokens from customers of very different size.
    In a single queue in order of arrival, a prompt that waits for memory blocks every
    short request behind it, and the customer that sends most gets most of the fleet.

    Each model and plain service has two queues, one for long prompts and one for the
    others, so that a request that cannot be placed delays only similar ones. Each queue
    is ordered by the bundle's priorities, then by the tokens served to each customer,
    then by the due time of requests, a multiple of their own prefill time.
    """

    def __init__(self) -> None:
        self._queues: dict[_QueueKey, TargetQueue] = {}
        self._requests: dict[str, Request] = {}
        self._stretch = DEFAULT_STRETCH
        self._tags = CustomerTagTable()

    @property
    def highest_priority(self) -> int | None:
        """:returns: the highest priority (lowest number) with requests, if any"""
        priorities = (queue.highest_priority for queue in self._queues.values())
        return min(priorities, default=None)

    def configure(self, tuning: Tuning) -> None:
        """Apply the stretch to requests pushed from now on."""
        self._stretch = tuning.stretch

    def push(self, request: Request) -> None:
        """Add ``request``."""
        self._requests[request.request_id] = request
        key = _queue_key(request)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = TargetQueue(self._tags)
        queue.push(request, self._due_ms(request))

    def requeue(self, request: Request) -> None:
        """Add a request whose attempt failed; its due time stays the same."""
        self.push(request)

    def take(
        self, now_ms: float, place: PlaceFunction
    ) -> tuple[Request, tuple[str, ...]] | None:
        """:returns: the next request that can be placed, and its upstreams"""
        self._tags.advance(now_ms)
        for key in sorted(self._queues):
            queue = self._queues[key]
            placed = queue.take(place)
            if placed is None:
                continue
            del self._requests[placed.request.request_id]
            if not queue:
                del self._queues[key]
            return placed
        return None

    def remove(self, request_id: str) -> Request | None:
        """:returns: the removed request, ``None`` if it was not queued"""
        request = self._requests.pop(request_id, None)
        if request is None:
            return None
        key = _queue_key(request)
        self._queues[key].discard(request)
        if not self._queues[key]:
            del self._queues[key]
        return request

    def note_served_elsewhere(self, target: str, customer: str, n_tokens: int) -> None:
        """Advance the start tag of a customer by what other VMs dispatched for it."""
        self._tags.note_served_elsewhere(target, customer, n_tokens)

    def pop_passed_over(self) -> list[PassedOver]:
        """:returns: requests overtaken since the last call, while VMs share service"""
        return self._tags.pop_passed_over()

    def __iter__(self) -> Iterator[Request]:
        return iter(tuple(self._requests.values()))

    def __len__(self) -> int:
        return len(self._requests)

    def _due_ms(self, request: Request) -> float:
        """:returns: monotonic time by which the request should be dispatched

        The deadline bounds it, so that a long request with a short deadline is not
        held back until it cannot complete in time.
        """
        prefill_ms = BASE_MS + request.n_prompt_tokens * MS_PER_TOKEN
        stretched_ms = request.arrived_ms + self._stretch * prefill_ms
        return min(stretched_ms, request.deadline_ms - prefill_ms)


def _queue_key(request: Request) -> _QueueKey:
    target = f"service {request.service}" if request.service else request.model
    return _QueueKey(target, request.n_prompt_tokens > MAX_MEDIUM_TOKENS)


__all__ = ("FairQueue",)
