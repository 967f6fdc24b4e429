"""What waits in the queue, in total and by customer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from quetzaldeck.decisions.request import Request


class QueueSize(NamedTuple):
    """Requests and tokens that wait."""

    n_requests: int = 0
    n_tokens: int = 0


class QueueCounters:
    """Counts what waits; each change costs the same however much waits."""

    def __init__(self) -> None:
        self._total = QueueSize()
        self._by_customer: dict[str, QueueSize] = {}

    @property
    def total(self) -> QueueSize:
        """:returns: what waits altogether"""
        return self._total

    @property
    def n_customers(self) -> int:
        """:returns: customers of which something waits"""
        return len(self._by_customer)

    def of_customer(self, customer: str) -> QueueSize:
        """:returns: what waits of one customer"""
        return self._by_customer.get(customer, _NOTHING)

    def add(self, request: Request) -> None:
        """Count a request that begins to wait."""
        self._change(request, 1)

    def discard(self, request: Request) -> None:
        """Count a request that no longer waits."""
        self._change(request, -1)

    def _change(self, request: Request, sign: int) -> None:
        n_tokens = sign * request.n_kv_tokens
        total = self._total
        self._total = QueueSize(total.n_requests + sign, total.n_tokens + n_tokens)
        own = self.of_customer(request.customer)
        changed = QueueSize(own.n_requests + sign, own.n_tokens + n_tokens)
        if changed.n_requests:
            self._by_customer[request.customer] = changed
        else:
            self._by_customer.pop(request.customer, None)


_NOTHING = QueueSize()

__all__ = ("QueueCounters", "QueueSize")
