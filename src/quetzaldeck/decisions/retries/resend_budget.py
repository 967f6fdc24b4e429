"""Budget of the sends beyond the first of each request, by service, without a store.

Load pattern: replicas of one service fail or reject under load, and every VM sends
their requests again to the ones that are left. The bound on such sends holds for all
VMs together, but they share no counter. Without this module each VM keeps a bound of
its own and the sum is as many times too large as there are VMs.

Each VM keeps to the ratio of the requests that came to itself: whatever the balancer
does, the parts then sum to the ratio of all requests. A quiet VM may still make a few
sends: the floor, which all VMs together have to fit into the slack of the bound.
"""

from __future__ import annotations

from collections import deque

FLOOR = 2
"""Sends in a window that a VM may always make. The bound on the sum leaves a slack of
between three and fifteen for each VM of the deployments known."""


class ResendBudget:
    """One VM's part of the bound on repeated arrivals.

    :param ratio: repeated sends against requests
    :param window_ms: time over which both are counted; it slides
    :param floor: sends that may always be made in a window
    """

    def __init__(self, *, ratio: float, window_ms: float, floor: int = FLOOR) -> None:
        self._ratio = ratio
        self._window_ms = window_ms
        self._floor = floor
        self._admitted: dict[str, deque[float]] = {}
        self._drawn: dict[str, deque[float]] = {}

    def admit(self, service: str, now_ms: float) -> None:
        """Count a request for a service."""
        self._count(self._admitted, service, now_ms).append(now_ms)

    def has_room(self, service: str, now_ms: float) -> bool:
        """:returns: whether one more send may be made now"""
        n_admitted = len(self._count(self._admitted, service, now_ms))
        n_drawn = len(self._count(self._drawn, service, now_ms))
        return n_drawn + 1 <= self._ratio * n_admitted + self._floor

    def draw(self, service: str, now_ms: float) -> bool:
        """:returns: whether one more send may be made; it is then counted"""
        if not self.has_room(service, now_ms):
            return False
        self._count(self._drawn, service, now_ms).append(now_ms)
        return True

    def _count(
        self, times: dict[str, deque[float]], service: str, now_ms: float
    ) -> deque[float]:
        """:returns: the times within the window, older ones dropped"""
        held = times.setdefault(service, deque())
        while held and held[0] < now_ms - self._window_ms:
            held.popleft()
        return held


__all__ = ("FLOOR", "ResendBudget")
