"""State of one limited customer at one VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.estimation import MovingAverage
from quetzaldeck.decisions.limits.token_bucket import TokenBucket
from quetzaldeck.decisions.limits.usage import Usage

if TYPE_CHECKING:
    from quetzaldeck.bundle.document import CustomerLimits
    from quetzaldeck.decisions.request import Request


class PeerUsage(NamedTuple):
    """Usage at another VM and the monotonic time at which it was received."""

    usage: Usage
    received_ms: float


class CustomerState:
    """Usage of one customer at this VM, and at the others as last received."""

    def __init__(self, limits: CustomerLimits, now_ms: float) -> None:
        self.limits = limits
        self.bucket = TokenBucket(now_ms)
        self.n_requests = 0
        self.n_tokens = 0
        self.in_flight_ms = MovingAverage()
        self.active_since_ms = now_ms
        self.last_request_ms = now_ms
        self.last_sent: Usage | None = None
        self.last_sent_ms = 0.0
        self._peers: dict[str, PeerUsage] = {}

    def usage(self, now_ms: float) -> Usage:
        """:returns: usage at this VM"""
        rate = self.bucket.tokens_per_s(now_ms)
        return Usage(self.n_requests, self.n_tokens, rate)

    def note_request(self, now_ms: float, idle_reset_ms: float) -> None:
        """Record that the customer sent a request to this VM.

        After more than ``idle_reset_ms`` without one, the slow start begins again.
        """
        if now_ms - self.last_request_ms > idle_reset_ms:
            self.active_since_ms = now_ms
        self.last_request_ms = now_ms

    def admit(self, request: Request, now_ms: float) -> None:
        """Count an admitted request."""
        self.n_requests += 1
        self.n_tokens += request.n_kv_tokens
        self.bucket.consume(request.n_kv_tokens, now_ms)

    def release(self, request: Request, now_ms: float) -> None:
        """Count a request that ended."""
        self.n_requests -= 1
        self.n_tokens -= request.n_kv_tokens
        self.in_flight_ms.add(now_ms - request.arrived_ms, now_ms)

    def observe(self, vm: str, usage: Usage, now_ms: float) -> None:
        """Store the usage at another VM."""
        self._peers[vm] = PeerUsage(usage, now_ms)

    def list_peers(self, now_ms: float, expiry_ms: float) -> list[Usage]:
        """:returns: usage at the other VMs, without what is older than ``expiry_ms``"""
        self._peers = {
            vm: peer
            for vm, peer in self._peers.items()
            if now_ms - peer.received_ms <= expiry_ms
        }
        return [peer.usage for peer in self._peers.values()]


__all__ = ("CustomerState", "PeerUsage")
