"""First-in, first-out queue, the baseline policy."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from quetzaldeck.decisions.queueing.api import QueuePolicy, queue_policies

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.decisions.queueing.api import PlaceFunction
    from quetzaldeck.decisions.request import Request


@queue_policies.register("fifo")
class FifoQueue(QueuePolicy):
    """Serves requests in order of arrival; an unplaceable head blocks the others.

    Load pattern: uniform requests of one customer. Kept as the baseline that other
    policies are measured against.
    """

    def __init__(self) -> None:
        self._requests: OrderedDict[str, Request] = OrderedDict()

    def push(self, request: Request) -> None:
        """Append ``request``."""
        self._requests[request.request_id] = request

    def requeue(self, request: Request) -> None:
        """Put ``request`` at the head."""
        self.push(request)
        self._requests.move_to_end(request.request_id, last=False)

    def take(
        self, now_ms: float, place: PlaceFunction
    ) -> tuple[Request, tuple[str, ...]] | None:
        """:returns: the head and its upstreams, ``None`` if it cannot be placed"""
        head = next(iter(self._requests.values()), None)
        if head is None:
            return None
        upstreams = place(head)
        if upstreams is None:
            return None
        del self._requests[head.request_id]
        return head, upstreams

    def remove(self, request_id: str) -> Request | None:
        """:returns: the removed request, ``None`` if it was not queued"""
        return self._requests.pop(request_id, None)

    def __iter__(self) -> Iterator[Request]:
        return iter(tuple(self._requests.values()))

    def __len__(self) -> int:
        return len(self._requests)


__all__ = ("FifoQueue",)
