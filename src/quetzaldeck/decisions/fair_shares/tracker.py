"""Connects the queue of this VM with the tokens that all VMs dispatched."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.fair_shares.dispatched_tokens import DispatchedTokens
from quetzaldeck.decisions.fair_shares.fleet_shares import FleetShares
from quetzaldeck.decisions.queueing.share_target import share_target

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzaldeck.decisions.fair_shares.share_sum import ShareSum
    from quetzaldeck.decisions.queueing import QueuePolicy
    from quetzaldeck.decisions.request import Request

CONTENDED_WAIT_MS = 50.0
"""A request that waited this long competed for capacity; one that is placed on arrival
is dispatched within a few milliseconds."""


class ShareTracker:
    """Counts what this VM dispatches and tells its queue what other VMs dispatched.

    :param queue: orders the requests of this VM
    :param now_ms: monotonic time at which this VM began to receive updates
    """

    def __init__(self, queue: QueuePolicy, now_ms: float) -> None:
        self._queue = queue
        self._own = DispatchedTokens()
        self._fleet = FleetShares(now_ms)

    def note_dispatched(self, request: Request, now_ms: float) -> None:
        """Count a request that left the queue, if there is contention."""
        if len(self._queue) or now_ms - request.arrived_ms >= CONTENDED_WAIT_MS:
            self._own.note_dispatched(
                share_target(request), request.customer, request.n_kv_tokens, now_ms
            )

    def take_changes(self, now_ms: float, n_vms: int) -> list[ShareSum]:
        """:returns: the sums to announce now; see :class:`DispatchedTokens`"""
        return self._own.take_changes(now_ms, n_vms)

    def observe(self, vm: str, sums: Iterable[ShareSum], now_ms: float) -> None:
        """Apply the sums that another VM announced."""
        for item in self._fleet.apply(vm, sums, now_ms):
            self._queue.note_served_elsewhere(*item)


__all__ = ("CONTENDED_WAIT_MS", "ShareTracker")
