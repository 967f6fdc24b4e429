"""Size of the queue, in total and by customer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from quetzaldeck.decisions.request import Request


class QueueSize(NamedTuple):
    """Number of queued requests and of their prompt and output tokens."""

    n_requests: int = 0
    n_tokens: int = 0


class QueueCounters:
    """Counts queued requests and tokens; each update takes constant time."""

    def __init__(self) -> None:
        self._total = QueueSize()
        self._by_customer: dict[str, QueueSize] = {}

    @property
    def total(self) -> QueueSize:
        """:returns: size of the whole queue"""
        return self._total

    @property
    def n_customers(self) -> int:
        """:returns: number of customers with queued requests"""
        return len(self._by_customer)

    def of_customer(self, customer: str) -> QueueSize:
        """:returns: size of the queue of one customer"""
        return self._by_customer.get(customer, _EMPTY)

    def add(self, request: Request) -> None:
        """Count a request that was queued."""
        self._update(request, 1)

    def discard(self, request: Request) -> None:
        """Subtract a request that was removed from the queue."""
        self._update(request, -1)

    def _update(self, request: Request, sign: int) -> None:
        n_tokens = sign * request.n_kv_tokens
        total = self._total
        self._total = QueueSize(total.n_requests + sign, total.n_tokens + n_tokens)
        current = self.of_customer(request.customer)
        updated = QueueSize(current.n_requests + sign, current.n_tokens + n_tokens)
        if updated.n_requests:
            self._by_customer[request.customer] = updated
        else:
            self._by_customer.pop(request.customer, None)


_EMPTY = QueueSize()

__all__ = ("QueueCounters", "QueueSize")
