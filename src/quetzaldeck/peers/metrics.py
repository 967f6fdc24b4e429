"""Metrics of the peer channel."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter

if TYPE_CHECKING:
    from quetzaldeck.peers.errors import PeerRefusal

# Size of the request or status line, Host, Content-Length and the seal header's name.
N_HTTP_BYTES = 120


class PeerMetrics:
    """Counts messages, bytes and refusals.

    :param registry: registry of the counters; a new one if not given
    """

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        registry = registry or CollectorRegistry()
        self._registry = registry
        self._refused = Counter(
            "quetzaldeck_agent_peer_refused",
            "Peer messages that changed nothing, by reason",
            ["why"],
            registry=registry,
        )
        self._messages = Counter(
            "quetzaldeck_agent_peer_messages",
            "Peer messages, by direction",
            ["direction"],
            registry=registry,
        )
        self._bytes = Counter(
            "quetzaldeck_agent_peer_bytes",
            "Bytes of peer messages with their HTTP headers, by direction",
            ["direction"],
            registry=registry,
        )

    @property
    def n_bytes(self) -> float:
        """:returns: bytes sent and received"""
        return self._total("bytes")

    def n_refused(self, refusal: PeerRefusal) -> float:
        """:returns: number of messages refused for one reason"""
        name = "quetzaldeck_agent_peer_refused_total"
        return self._registry.get_sample_value(name, {"why": refusal.value}) or 0.0

    def count_refused(self, refusal: PeerRefusal) -> None:
        """Count a refused message."""
        self._refused.labels(refusal.value).inc()

    def count_message(self, direction: str, n_bytes: int) -> None:
        """Count a message.

        :param direction: ``sent`` or ``received``
        :param n_bytes: size of seal and body
        """
        self._messages.labels(direction).inc()
        self._bytes.labels(direction).inc(n_bytes + N_HTTP_BYTES)

    def _total(self, quantity: str) -> float:
        name = f"quetzaldeck_agent_peer_{quantity}_total"
        return sum(
            self._registry.get_sample_value(name, {"direction": direction}) or 0.0
            for direction in ("sent", "received")
        )


__all__ = ("PeerMetrics",)
