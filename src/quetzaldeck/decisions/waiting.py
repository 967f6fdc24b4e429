"""Requests that wait in the queue or for the end of a backoff."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.queueing import DeadlineHeap
from quetzaldeck.decisions.retries import DelayedRequests

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from quetzaldeck.decisions.admission import AdmissionPolicy
    from quetzaldeck.decisions.queueing import QueuePolicy
    from quetzaldeck.decisions.queueing.api import PlaceFunction
    from quetzaldeck.decisions.request import Request


PLACEMENT_RETRY_MS = 100.0
"""Interval at which placement is retried without an event, because the states of
upstreams also change with time: reports age and ejections end."""

IN_TIME_TURN_MS = 40.0
"""Longest wait before a VM tries for capacity that another VM has freed. It is twice
the time in which VMs learn that the capacity is taken again."""

LATE_TURN_MS = (60.0, 160.0)
"""Shortest and longest such wait of a VM whose waiting requests are all late."""


class WaitingRequests:
    """Keeps the queue, backoffs, latest start times and admission in sync.

    Load pattern: all engines are full, and requests wait on most of the VMs. A VM that
    frees a place and has no request for it tells the others, and without turns all of
    them would send a request to that place at the same moment; all but one would wait
    inside the engine, out of reach of the order in which requests should be served. So
    each VM tries after a random wait, within which the first one tells the others, and
    VMs with requests that can still be served in time try before the rest.

    :param queue: chooses the next request
    :param admission: counts waiting requests and sets their latest start times
    :param random_state: random source of the waits
    """

    def __init__(
        self,
        queue: QueuePolicy,
        admission: AdmissionPolicy,
        random_state: random.Random,
    ) -> None:
        self._queue = queue
        self._admission = admission
        self._random_state = random_state
        self._delayed = DelayedRequests()
        self._latest_starts = DeadlineHeap()
        self._next_placement_ms = 0.0
        self._turn_ms = math.inf

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

    def note_capacity_freed_elsewhere(self, now_ms: float) -> None:
        """Allow a ``take`` after a random wait, as another VM has freed capacity.

        A wait that has begun goes on: one drawn for each of many such notes would end
        at once, and nothing would be spread.
        """
        if self._turn_ms < math.inf or not len(self._queue):
            return
        is_in_time = self._queue.has_in_time(now_ms)
        shortest_ms, longest_ms = (0.0, IN_TIME_TURN_MS) if is_in_time else LATE_TURN_MS
        self._turn_ms = now_ms + self._random_state.uniform(shortest_ms, longest_ms)

    def add(self, request: Request, now_ms: float) -> None:
        """Queue a request."""
        self._queue.push(request)
        self.note_capacity_freed()
        self._register(request, now_ms)

    def delay(self, request: Request, due_ms: float, now_ms: float) -> None:
        """Queue a request at ``due_ms``, when its backoff ends."""
        self._delayed.push(request, due_ms)
        self._register(request, now_ms)

    def end_delays(self, now_ms: float) -> None:
        """Queue the requests whose backoff has ended."""
        for request in self._delayed.take_due(now_ms):
            self._queue.requeue(request)
            self.note_capacity_freed()

    def take(
        self, now_ms: float, place: PlaceFunction
    ) -> tuple[Request, tuple[str, ...]] | None:
        """Find the next request that can be placed and remove it from the queue.

        :returns: the request and its upstreams, ``None`` if none can be placed
        """
        if now_ms < min(self._next_placement_ms, self._turn_ms):
            return None
        taken = self._queue.take(now_ms, place)
        if taken is None:
            self._turn_ms = math.inf
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
