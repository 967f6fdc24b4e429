"""Requests that wait in the queue or for the end of a backoff."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.queueing import DeadlineHeap
from quetzaldeck.decisions.retries import DelayedRequests

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from quetzaldeck.decisions.admission import AdmissionPolicy
    from quetzaldeck.decisions.queueing import QueuePolicy
    from quetzaldeck.decisions.queueing.api import PlaceFunction
    from quetzaldeck.decisions.request import Request


PLACEMENT_RETRY_MS = 100.0
"""Interval at which placement is retried without an event, because the states of
upstreams also change with time: reports age and ejections end."""


def _no_pause(_: Request) -> float:
    return 0.0


class WaitingRequests:
    """Keeps the queue, backoffs, latest start times and admission in sync.

    :param queue: chooses the next request
    :param admission: counts waiting requests and sets their latest start times
    """

    def __init__(self, queue: QueuePolicy, admission: AdmissionPolicy) -> None:
        self._queue = queue
        self._admission = admission
        self._delayed = DelayedRequests()
        self._latest_starts = DeadlineHeap()
        self._next_placement_ms = 0.0

    def __len__(self) -> int:
        return len(self._queue) + len(self._delayed)

    def __iter__(self) -> Iterator[Request]:
        yield from self._queue
        yield from self._delayed

    def note_capacity_freed(self) -> None:
        """Allow the next ``take`` to try placement, as capacity may have become free.

        Without this condition a VM whose queue is blocked would try placement at each
        poll, and use the most CPU time while it can start no request.
        """
        self._next_placement_ms = 0.0

    def add(self, request: Request, now_ms: float) -> None:
        """Queue a request."""
        self._queue.push(request)
        self.note_capacity_freed()
        self._register(request, now_ms)

    def delay(self, request: Request, due_ms: float, now_ms: float) -> None:
        """Queue a request at ``due_ms``, when its backoff ends."""
        self._delayed.push(request, due_ms)
        self._register(request, now_ms)

    def end_delays(
        self, now_ms: float, pause_ms: Callable[[Request], float] = _no_pause
    ) -> None:
        """Queue the requests whose backoff has ended.

        :param pause_ms: returns how much longer a request has to wait
        """
        for request in self._delayed.take_due(now_ms):
            longer_ms = pause_ms(request)
            if longer_ms:
                self._delayed.push(request, now_ms + longer_ms)
                continue
            self._queue.requeue(request)
            self.note_capacity_freed()

    def set_aside(self, now_ms: float, pause_ms: Callable[[Request], float]) -> None:
        """Take requests out of the queue for some time, so that others can go first.

        :param pause_ms: returns how long a request has to wait; 0: it stays
        """
        for request in tuple(self._queue):
            longer_ms = pause_ms(request)
            if longer_ms and self._queue.remove(request.request_id):
                self._delayed.push(request, now_ms + longer_ms)

    def take(
        self, now_ms: float, place: PlaceFunction
    ) -> tuple[Request, tuple[str, ...]] | None:
        """Find the next request that can be placed and remove it from the queue.

        :returns: the request and its upstreams, ``None`` if none can be placed
        """
        if now_ms < self._next_placement_ms:
            return None
        taken = self._queue.take(now_ms, place)
        if taken is None:
            self._next_placement_ms = now_ms + PLACEMENT_RETRY_MS
        else:
            self._unregister(taken[0], now_ms, is_dispatched=True)
        return taken

    def discard(self, request_id: str, now_ms: float) -> None:
        """Remove a request, if it waits."""
        request = self._queue.remove(request_id) or self._delayed.remove(request_id)
        if request is not None:
            self._unregister(request, now_ms, is_dispatched=False)

    def pop_expired(self, now_ms: float) -> list[str]:
        """Remove requests past their latest start time from the expiry heap.

        :returns: their ids
        """
        return self._latest_starts.pop_expired(now_ms)

    def _register(self, request: Request, now_ms: float) -> None:
        self._admission.note_queued(request, now_ms)
        latest_ms = self._admission.latest_start_ms(request)
        self._latest_starts.add(request.request_id, latest_ms)

    def _unregister(
        self, request: Request, now_ms: float, *, is_dispatched: bool
    ) -> None:
        self._admission.note_unqueued(request, now_ms, is_dispatched=is_dispatched)
        self._latest_starts.discard(request.request_id)


__all__ = ("PLACEMENT_RETRY_MS", "WaitingRequests")
