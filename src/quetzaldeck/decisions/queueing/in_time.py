"""Queue that serves requests whose target can still be met before late ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.queueing.api import QueuePolicy, queue_policies
from quetzaldeck.decisions.queueing.deadline_heap import DeadlineHeap
from quetzaldeck.decisions.queueing.fair import FairQueue

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.decisions.queueing.api import PlaceFunction
    from quetzaldeck.decisions.queueing.passed_over import PassedOver
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.tuning import Tuning

START_SHARE_OF_TARGET = 0.8
"""Share of its target after which a waiting request counts as late; the rest is left
for the first token."""

LATE_SHARE = 0.2
"""Requests taken from the late ones, per request taken in time."""


@queue_policies.register("in_time")
class InTimeQueue(QueuePolicy):
    """Two fair queues: requests that can still meet their target, and late ones.

    Load pattern: for some seconds more short prompts arrive than engines have places
    for. In order of arrival all requests wait about as long, and soon none gets its
    first token in time, although the engines could serve most of them in time. Here a
    request that has waited too long leaves its place to those that have not.

    Late requests still get a share of the places, and all places that the others do
    not need, so that they are answered late rather than not at all. They never wait for
    requests of a lower priority, whose longer targets keep them in time.
    """

    def __init__(self) -> None:
        self._in_time = FairQueue()
        self._late = FairQueue()
        self._latest_starts = DeadlineHeap()
        self._late_credit = 0.0

    def configure(self, tuning: Tuning) -> None:
        """Apply the stretch to requests pushed from now on."""
        self._in_time.configure(tuning)
        self._late.configure(tuning)

    def push(self, request: Request) -> None:
        """Add ``request``."""
        self._in_time.push(request)
        if request.target_ms:
            latest_ms = request.arrived_ms + START_SHARE_OF_TARGET * request.target_ms
            self._latest_starts.add(request.request_id, latest_ms)

    def requeue(self, request: Request) -> None:
        """Add a request whose attempt failed."""
        self.push(request)

    def take(
        self, now_ms: float, place: PlaceFunction
    ) -> tuple[Request, tuple[str, ...]] | None:
        """:returns: the next request that can be placed, and its upstreams"""
        self._move_late(now_ms)
        if self._late_credit >= 1.0 or self._is_late_more_urgent():
            return self._take_late(now_ms, place) or self._take_in_time(now_ms, place)
        return self._take_in_time(now_ms, place) or self._take_late(now_ms, place)

    def remove(self, request_id: str) -> Request | None:
        """:returns: the removed request, ``None`` if it was not queued"""
        self._latest_starts.discard(request_id)
        return self._in_time.remove(request_id) or self._late.remove(request_id)

    def note_served_elsewhere(self, target: str, customer: str, n_tokens: int) -> None:
        """Advance the start tags of a customer by what other VMs dispatched for it."""
        self._in_time.note_served_elsewhere(target, customer, n_tokens)
        self._late.note_served_elsewhere(target, customer, n_tokens)

    def pop_passed_over(self) -> list[PassedOver]:
        """:returns: requests overtaken since the last call, while VMs share service"""
        return self._in_time.pop_passed_over() + self._late.pop_passed_over()

    def __iter__(self) -> Iterator[Request]:
        yield from self._in_time
        yield from self._late

    def __len__(self) -> int:
        return len(self._in_time) + len(self._late)

    def _move_late(self, now_ms: float) -> None:
        for request_id in self._latest_starts.pop_expired(now_ms):
            request = self._in_time.remove(request_id)
            if request is not None:
                self._late.push(request)

    def _is_late_more_urgent(self) -> bool:
        late, in_time = self._late.highest_priority, self._in_time.highest_priority
        return late is not None and in_time is not None and late < in_time

    def _take_in_time(
        self, now_ms: float, place: PlaceFunction
    ) -> tuple[Request, tuple[str, ...]] | None:
        taken = self._in_time.take(now_ms, place)
        if taken is not None:
            self._latest_starts.discard(taken[0].request_id)
            if self._late:
                self._late_credit = min(1.0, self._late_credit + LATE_SHARE)
        return taken

    def _take_late(
        self, now_ms: float, place: PlaceFunction
    ) -> tuple[Request, tuple[str, ...]] | None:
        taken = self._late.take(now_ms, place)
        if taken is not None:
            self._late_credit = max(0.0, self._late_credit - 1.0)
        return taken


__all__ = ("LATE_SHARE", "START_SHARE_OF_TARGET", "InTimeQueue")
