"""Requests that wait for the end of their backoff."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.decisions.request import Request


class DelayedRequests:
    """Requests by the time at which their backoff ends.

    Removed requests stay in the heap until their time, but are not returned.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []
        self._requests: dict[str, Request] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[Request]:
        return iter(tuple(self._requests.values()))

    def push(self, request: Request, due_ms: float) -> None:
        """Hold a request until ``due_ms``."""
        self._requests[request.request_id] = request
        heapq.heappush(self._heap, (due_ms, request.request_id))

    def remove(self, request_id: str) -> Request | None:
        """:returns: the removed request, ``None`` if it was not held"""
        return self._requests.pop(request_id, None)

    def take_due(self, now_ms: float) -> Iterator[Request]:
        """Remove the requests whose backoff has ended.

        :returns: these requests, earliest first
        """
        while self._heap and self._heap[0][0] <= now_ms:
            request = self._requests.pop(heapq.heappop(self._heap)[1], None)
            if request is not None:
                yield request


__all__ = ("DelayedRequests",)
