"""Schedule of the requests that the VMs together send to one limited upstream.

The generic cell rate algorithm: each permit moves the time of the next one by the
interval of the limit. A request that arrives before that time is told how long to wait,
so that it can be sent at its turn, elsewhere, or refused, without asking again.
"""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.decisions.rate_limits.bounds import interval_ms

MAX_BURST_MS = 250.0
"""Unused time that may be made up for. Permits are used up to half a second late, so a
longer burst would exceed limits within a few seconds."""


class Permit(NamedTuple):
    """The answer to a VM that wants to send a request to a limited upstream.

    :param is_granted: whether the request may be sent, once ``wait_ms`` has passed
    :param wait_ms: time until the request's turn; if not granted, until the next one
    """

    is_granted: bool
    wait_ms: float


class SendSchedule:
    """Turns of the requests to one upstream.

    :param requests_per_s: the limit in force
    :param now_ms: time from which on requests count; earlier ones are unknown, so
        nothing is made up for them
    """

    def __init__(self, requests_per_s: float, now_ms: float) -> None:
        self._interval_ms = interval_ms(requests_per_s)
        self._next_ms = now_ms
        self._earliest_ms = now_ms

    def set_rate(self, requests_per_s: float, now_ms: float) -> None:
        """Change the limit; permits whose turn is still to come keep it."""
        before_ms = self._interval_ms
        self._interval_ms = interval_ms(requests_per_s)
        backlog_ms = max(0.0, self._next_ms - now_ms)
        self._next_ms += backlog_ms * (self._interval_ms / before_ms - 1.0)

    def reserve(
        self, max_wait_ms: float, now_ms: float, *, max_burst_ms: float = MAX_BURST_MS
    ) -> Permit:
        """Reserve the next turn, unless it comes too late for the request.

        :param max_wait_ms: how long the request can wait
        :param max_burst_ms: unused time that may be made up for
        """
        turn_ms = max(self._next_ms, now_ms - max_burst_ms, self._earliest_ms)
        wait_ms = max(0.0, turn_ms - now_ms)
        if wait_ms > max_wait_ms:
            return Permit(is_granted=False, wait_ms=wait_ms)
        self._next_ms = turn_ms + self._interval_ms
        return Permit(is_granted=True, wait_ms=wait_ms)


__all__ = ("Permit", "SendSchedule")
