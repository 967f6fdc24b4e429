"""Weighted fairness between customers, by tokens."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.queueing.customer_queue import CustomerQueue
from quetzaldeck.decisions.request import Request

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.decisions.queueing.api import PlaceFunction

MAX_PROBES = 3
"""Heads tried before the rota gives up: a head may wait for an adapter or for room
of its size while the next one need not; more would cost more than they find."""

_MIN_FORGET = 64


class Placed(NamedTuple):
    """A request taken from the queue and where it goes."""

    request: Request
    upstreams: tuple[str, ...]


class _Turn(NamedTuple):
    tag: float
    number: int
    customer: str


class StartTimeFairQueue:
    """Serves the customer that had the fewest tokens for its weight.

    Load pattern: one customer sends much more, or much longer prompts, than the
    others. Served in order of arrival it would take the fleet in proportion to what
    it sends; served by requests, the one with the longest prompts would win.

    This is start-time fair queueing. Each customer has a tag, its tokens served by
    weight; the lowest tag goes next. Deficit round robin gives the same shares, but
    needs a quantum: one of a million tokens lets a customer take that much in a
    burst, a smaller one takes many rounds over all customers before a long prompt
    is served. The heap has neither: each decision costs the logarithm of the number
    of customers that wait.
    """

    def __init__(self) -> None:
        self._lines: dict[str, CustomerQueue] = {}
        self._turns: list[_Turn] = []
        self._tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._numbers = itertools.count()
        self._n_requests = 0

    def __len__(self) -> int:
        return self._n_requests

    def __iter__(self) -> Iterator[Request]:
        for line in self._lines.values():
            yield from line

    def push(self, request: Request, due_ms: float) -> None:
        """Add a request; a customer that was idle gets no credit for that time."""
        line = self._lines.get(request.customer)
        if line is None:
            line = self._lines[request.customer] = CustomerQueue()
            tag = max(self._virtual_time, self._tags.get(request.customer, 0.0))
            self._add_turn(request.customer, tag)
        line.push(request, due_ms)
        self._n_requests += 1

    def discard(self, request: Request) -> None:
        """Take a request out that is not served."""
        self._lines[request.customer].discard(request.request_id)
        self._n_requests -= 1

    def take(self, place: PlaceFunction) -> Placed | None:
        """:returns: the next request that can be placed, of a few that are next"""
        passed: list[_Turn] = []
        placed = None
        while self._turns and placed is None and len(passed) < MAX_PROBES:
            turn = heapq.heappop(self._turns)
            head = self._lines[turn.customer].peek()
            if head is None:
                self._retire(turn)
                continue
            upstreams = place(head)
            if upstreams is None:
                passed.append(turn)
                continue
            self._serve(turn, head)
            placed = Placed(head, upstreams)
        for turn in passed:
            heapq.heappush(self._turns, turn)
        return placed

    def _serve(self, turn: _Turn, request: Request) -> None:
        self._virtual_time = max(self._virtual_time, turn.tag)
        tag = turn.tag + request.n_kv_tokens / request.weight
        self.discard(request)
        if self._lines[turn.customer].peek() is None:
            self._retire(turn._replace(tag=tag))
        else:
            self._add_turn(turn.customer, tag)

    def _add_turn(self, customer: str, tag: float) -> None:
        heapq.heappush(self._turns, _Turn(tag, next(self._numbers), customer))

    def _retire(self, turn: _Turn) -> None:
        """Remember a customer without requests while its tag still tells something."""
        del self._lines[turn.customer]
        self._tags[turn.customer] = turn.tag
        if len(self._tags) > 2 * len(self._lines) + _MIN_FORGET:
            now = self._virtual_time
            self._tags = {c: tag for c, tag in self._tags.items() if tag > now}


__all__ = ("MAX_PROBES", "Placed", "StartTimeFairQueue")
