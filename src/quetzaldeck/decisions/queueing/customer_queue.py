"""Queue of the requests of one customer, ordered by due time."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.request import Request

if TYPE_CHECKING:
    from collections.abc import Iterator

_MIN_COMPACTION = 16


class _HeapEntry(NamedTuple):
    due_ms: float
    sequence_number: int
    request: Request


class CustomerQueue:
    """Priority queue of requests by due time.

    A request is due a multiple of its own prefill time after its arrival. Short
    requests are due earlier and so go first. The due time never changes, so that
    every waiting request eventually reaches the head. This is shortest-job-first with
    ageing at the cost of one heap.

    Removed requests stay in the heap until they reach its head, or until they outnumber
    the queued ones and the heap is compacted.
    """

    def __init__(self) -> None:
        self._heap: list[_HeapEntry] = []
        self._live: dict[str, int] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._live)

    def __iter__(self) -> Iterator[Request]:
        for entry in self._heap:
            if self._is_live(entry):
                yield entry.request

    def push(self, request: Request, due_ms: float) -> None:
        """Add a request that is due at ``due_ms``."""
        sequence_number = next(self._sequence)
        self._live[request.request_id] = sequence_number
        heapq.heappush(self._heap, _HeapEntry(due_ms, sequence_number, request))

    def peek(self) -> Request | None:
        """:returns: the request that is due first, ``None`` if the queue is empty"""
        while self._heap and not self._is_live(self._heap[0]):
            heapq.heappop(self._heap)
        return self._heap[0].request if self._heap else None

    def discard(self, request_id: str) -> None:
        """Remove a request if it is queued."""
        if self._live.pop(request_id, None) is None:
            return
        if len(self._heap) > 2 * len(self._live) + _MIN_COMPACTION:
            self._heap = [entry for entry in self._heap if self._is_live(entry)]
            heapq.heapify(self._heap)

    def _is_live(self, entry: _HeapEntry) -> bool:
        return self._live.get(entry.request.request_id) == entry.sequence_number


__all__ = ("CustomerQueue",)
