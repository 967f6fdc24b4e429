"""The requests of one customer, most urgent first."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.request import Request

if TYPE_CHECKING:
    from collections.abc import Iterator

_MIN_COMPACTION = 16


class _Entry(NamedTuple):
    due_ms: float
    number: int
    request: Request


class CustomerQueue:
    """Requests by the time at which they are due.

    A request is due a multiple of its own prefill time after it arrived. Short
    requests are due sooner, so they go first; but a time once given stays, so that
    every request that waits comes to the head. This is shortest-first with ageing
    at the cost of one heap.
    """

    def __init__(self) -> None:
        self._heap: list[_Entry] = []
        self._live: dict[str, int] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._live)

    def __iter__(self) -> Iterator[Request]:
        for entry in self._heap:
            if self._is_live(entry):
                yield entry.request

    def push(self, request: Request, due_ms: float) -> None:
        """Add a request that is due at ``due_ms``."""
        number = next(self._numbers)
        self._live[request.request_id] = number
        heapq.heappush(self._heap, _Entry(due_ms, number, request))

    def peek(self) -> Request | None:
        """:returns: the most urgent request"""
        while self._heap and not self._is_live(self._heap[0]):
            heapq.heappop(self._heap)
        return self._heap[0].request if self._heap else None

    def discard(self, request_id: str) -> None:
        """Take a request out, wherever it stands."""
        if self._live.pop(request_id, None) is None:
            return
        if len(self._heap) > 2 * len(self._live) + _MIN_COMPACTION:
            self._heap = [entry for entry in self._heap if self._is_live(entry)]
            heapq.heapify(self._heap)

    def _is_live(self, entry: _Entry) -> bool:
        return self._live.get(entry.request.request_id) == entry.number


__all__ = ("CustomerQueue",)
