"""Budget of resends (sends of a request after its first), by service, without a store.

Load pattern: replicas of a service fail or reject requests under load, and every VM
resends those requests to the remaining replicas. The bound on resends holds for all VMs
together, but they share no counter. If each VM applied the whole bound by itself, the
sum would exceed it by a factor of the number of VMs.

So each VM applies the ratio to the requests that arrived at itself; however the load
balancer distributes requests, the resends of all VMs then sum to at most the ratio of
all requests. A VM with little traffic may still make a few resends; this minimum, over
all VMs, has to fit into the slack of the bound.
"""

from __future__ import annotations

from collections import deque

MIN_RESENDS = 2
"""Resends in a window that a VM may always make. In the known deployments the bound on
the sum leaves a slack of three to fifteen resends per VM."""


class ResendBudget:
    """One VM's part of the bound on resends.

    :param ratio: maximum ratio of resends to requests
    :param window_ms: length of the sliding window in which both are counted
    :param min_resends: resends that are always allowed in a window
    """

    def __init__(
        self, *, ratio: float, window_ms: float, min_resends: int = MIN_RESENDS
    ) -> None:
        self._ratio = ratio
        self._window_ms = window_ms
        self._min_resends = min_resends
        self._requests: dict[str, deque[float]] = {}
        self._resent: dict[str, deque[float]] = {}

    def record_request(self, service: str, now_ms: float) -> None:
        """Count the first send of a request to a service."""
        self._recent(self._requests, service, now_ms).append(now_ms)

    def can_spend(self, service: str, now_ms: float) -> bool:
        """:returns: whether the budget allows one more resend now"""
        n_requests = len(self._recent(self._requests, service, now_ms))
        n_resent = len(self._recent(self._resent, service, now_ms))
        return n_resent + 1 <= self._ratio * n_requests + self._min_resends

    def try_spend(self, service: str, now_ms: float) -> bool:
        """Count a resend if the budget allows it.

        :returns: whether it does
        """
        if not self.can_spend(service, now_ms):
            return False
        self._recent(self._resent, service, now_ms).append(now_ms)
        return True

    def give_back(self, service: str, charged_ms: float, now_ms: float) -> None:
        """Take back a charge for a resend that was never sent.

        :param charged_ms: when it was charged
        """
        resent = self._recent(self._resent, service, now_ms)
        if charged_ms in resent:
            resent.remove(charged_ms)

    def _recent(
        self, times: dict[str, deque[float]], service: str, now_ms: float
    ) -> deque[float]:
        """Drop the times of a service that are older than the window.

        :returns: the remaining times
        """
        recent = times.setdefault(service, deque())
        while recent and recent[0] < now_ms - self._window_ms:
            recent.popleft()
        return recent


__all__ = ("MIN_RESENDS", "ResendBudget")
