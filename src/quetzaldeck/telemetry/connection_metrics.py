"""Prometheus metrics of the connections that a program has accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge

if TYPE_CHECKING:
    from collections.abc import Mapping

    from prometheus_client import CollectorRegistry

    from quetzaldeck.http.open_connections import OpenConnections


class ConnectionMetrics:
    """What connections take, and which were closed for a bound.

    :param prefix: of the names of the metrics
    """

    def __init__(
        self, registry: CollectorRegistry, *, prefix: str = "quetzaldeck"
    ) -> None:
        self.broken = Counter(
            f"{prefix}_connections_broken",
            "Connections closed as nothing moved on them, or for a bound",
            ["why"],
            registry=registry,
        )
        self._n_open = Gauge(
            f"{prefix}_open_connections",
            "Accepted connections of all addresses",
            registry=registry,
        )
        self._memory = Gauge(
            f"{prefix}_connection_memory_bytes",
            "Memory of what clients have sent, or have not read",
            ["kind"],
            registry=registry,
        )

    def watch(
        self, connections: OpenConnections, *, names: Mapping[str, str] | None = None
    ) -> None:
        """Show what connections take, and count those that are closed for a bound.

        :param names: labels that differ from the names of bounds
        """
        labels = names or {}

        def count(bound: str) -> None:
            self.broken.labels(labels.get(bound, bound)).inc()

        connections.on_over_bound = count
        self._n_open.set_function(lambda: connections.room.n_connections)
        memory = self._memory
        memory.labels("heads").set_function(lambda: connections.room.n_head_bytes)
        memory.labels("requests").set_function(lambda: connections.room.n_request_bytes)
        memory.labels("answers").set_function(lambda: connections.room.n_answer_bytes)


__all__ = ("ConnectionMetrics",)
