"""Metrics of the queries and datagrams of an entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


class PeerMetrics:
    """Counters of queries for fleet state and of datagrams between VMs.

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
        # Cached, since looking up a counter by its labels takes longer than counting.
        self._counters: dict[tuple[str, str], tuple[Counter, Counter]] = {}

    def note_sent(self, kind: str, n_bytes: int, n_receivers: int) -> None:
        """Count the datagrams of one sent message.

        :param n_bytes: size of one datagram
        :param n_receivers: VMs to which it was sent
        """
        self._count("sent", kind, n_bytes, n_receivers)

    def note_received(self, kind: str, n_bytes: int) -> None:
        """Count one received datagram."""
        self._count("received", kind, n_bytes, 1)

    def _count(self, direction: str, kind: str, n_bytes: int, n_times: int) -> None:
        key = (direction, kind)
        counters = self._counters.get(key)
        if counters is None:
            counters = (self._datagrams.labels(*key), self._bytes.labels(*key))
            self._counters[key] = counters
        datagrams, size = counters
        datagrams.inc(n_times)
        size.inc(n_bytes * n_times)


__all__ = ("PeerMetrics",)
