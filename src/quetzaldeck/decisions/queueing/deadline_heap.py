"""Heap of the deadlines of queued requests."""

from __future__ import annotations

import heapq

_MIN_COMPACTION = 64


class DeadlineHeap:
    """Finds expired requests without scanning the queue.

    Load pattern: thousands of queued requests and a poll after each event. A scan
    for expired requests would make each poll linear in the queue length, so that a VM
    would be slowest when its queue is longest.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []
        self._deadlines: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._deadlines)

    def add(self, request_id: str, deadline_ms: float) -> None:
        """Add a request with its deadline."""
        self._deadlines[request_id] = deadline_ms
        heapq.heappush(self._heap, (deadline_ms, request_id))

    def discard(self, request_id: str) -> None:
        """Remove a request; its heap entry is dropped later."""
        if self._deadlines.pop(request_id, None) is None:
            return
        if len(self._heap) > 2 * len(self._deadlines) + _MIN_COMPACTION:
            self._heap = [(at_ms, name) for name, at_ms in self._deadlines.items()]
            heapq.heapify(self._heap)

    def pop_expired(self, now_ms: float) -> list[str]:
        """Remove the requests whose deadline has passed.

        :returns: their ids, earliest deadline first
        """
        expired = []
        while self._heap and self._heap[0][0] <= now_ms:
            deadline_ms, request_id = heapq.heappop(self._heap)
            if self._deadlines.get(request_id) == deadline_ms:
                del self._deadlines[request_id]
                expired.append(request_id)
        return expired


__all__ = ("DeadlineHeap",)
