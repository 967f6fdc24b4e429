"""Metrics of what an entry VM asks the source and tells the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


class PeerMetrics:
    """Counters of questions and datagrams.

    :param registry: registry of the VM's metrics
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.queries = Counter(
            "quetzaldeck_belief_questions",
            "Questions for news of the fleet, to the source or to a VM, by outcome",
            ["target", "outcome"],
            registry=registry,
        )
        self._datagrams = Counter(
            "quetzaldeck_peer_datagrams",
            "Datagrams between VMs, by direction and by what they are for",
            ["direction", "kind"],
            registry=registry,
        )
        self._bytes = Counter(
            "quetzaldeck_peer_bytes",
            "Bytes of datagrams between VMs, without their heads",
            ["direction", "kind"],
            registry=registry,
        )
        # Looking a counter up by its labels takes longer than counting.
        self._pairs: dict[tuple[str, str], tuple[Counter, Counter]] = {}

    def note_sent(self, kind: str, n_bytes: int, n_receivers: int) -> None:
        """Count a message that was sent.

        :param n_bytes: of one datagram
        """
        self._count("sent", kind, n_bytes, n_receivers)

    def note_received(self, kind: str, n_bytes: int) -> None:
        """Count a datagram that was received."""
        self._count("received", kind, n_bytes, 1)

    def _count(self, direction: str, kind: str, n_bytes: int, n_times: int) -> None:
        key = (direction, kind)
        pair = self._pairs.get(key)
        if pair is None:
            pair = (self._datagrams.labels(*key), self._bytes.labels(*key))
            self._pairs[key] = pair
        datagrams, size = pair
        datagrams.inc(n_times)
        size.inc(n_bytes * n_times)


__all__ = ("PeerMetrics",)
