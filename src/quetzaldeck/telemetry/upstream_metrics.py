"""Metrics of the upstreams of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


class UpstreamMetrics:
    """Counters and gauges of retries, health, engine memory and crashes.

    :param registry: registry of the gateway's metrics
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.retries = Counter(
            "quetzaldeck_retries",
            "Retries, by fault of the previous attempt",
            ["fault"],
            registry=registry,
        )
        self.retry_budget_tokens = Gauge(
            "quetzaldeck_retry_budget_tokens",
            "Tokens of recent retries (retried) and the budget for them (allowed)",
            ["side"],
            registry=registry,
        )
        self.states = Gauge(
            "quetzaldeck_upstream_states",
            "Upstreams, by health state",
            ["state"],
            registry=registry,
        )
        self.leaving = Gauge(
            "quetzaldeck_upstreams_leaving",
            "Upstreams that get no new requests because they are leaving",
            registry=registry,
        )
        self.replaced_pools = Counter(
            "quetzaldeck_replaced_pools",
            "Connection pools replaced after a read timed out, by upstream",
            ["upstream"],
            registry=registry,
        )
        self.pace_queries = Counter(
            "quetzaldeck_pace_questions",
            "Polls of engines for their pace, by outcome",
            ["outcome"],
            registry=registry,
        )
        self.reservations = Counter(
            "quetzaldeck_reservations",
            "Reservations of engine memory, by outcome",
            ["outcome"],
            registry=registry,
        )
        self.releases = Counter(
            "quetzaldeck_releases",
            "Releases of memory held by abandoned attempts, by outcome",
            ["outcome"],
            registry=registry,
        )
        self.double_releases = Gauge(
            "quetzaldeck_double_releases",
            "Releases of memory that was not held",
            registry=registry,
        )
        self.suspects = Gauge(
            "quetzaldeck_crash_suspects",
            "Requests that were running on an engine when it crashed, by verdict",
            ["verdict"],
            registry=registry,
        )


__all__ = ("UpstreamMetrics",)
