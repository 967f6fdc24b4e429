"""Prometheus metrics of the gateway."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from quetzaldeck.outcomes import Reason
from quetzaldeck.telemetry.connection_metrics import ConnectionMetrics
from quetzaldeck.telemetry.peer_metrics import PeerMetrics
from quetzaldeck.telemetry.placement_metrics import PlacementMetrics
from quetzaldeck.telemetry.upstream_metrics import UpstreamMetrics

_TTFT_BUCKETS = (0.05, 0.1, 0.2, 0.35, 0.55, 0.8, 1.2, 2, 4, 8, 16, 32, 64, 128)


class GatewayMetrics:
    """Counters, gauges and histograms of one gateway."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.ttft_seconds = Histogram(
            "quetzaldeck_ttft_seconds",
            "Time to first token by length class",
            ["length_class"],
            buckets=_TTFT_BUCKETS,
            registry=self.registry,
        )
        self.answer_seconds = Histogram(
            "quetzaldeck_answer_seconds",
            "Time from arrival to the end of a whole answer, by kind of request",
            ["kind"],
            buckets=_TTFT_BUCKETS,
            registry=self.registry,
        )
        self.queue_wait_seconds = Histogram(
            "quetzaldeck_queue_wait_seconds",
            "Time from admission to dispatch",
            ["length_class"],
            buckets=_TTFT_BUCKETS,
            registry=self.registry,
        )
        self.requests = Counter(
            "quetzaldeck_requests",
            "Requests by kind",
            ["kind"],
            registry=self.registry,
        )
        self.connections_shed = Counter(
            "quetzaldeck_connections_shed",
            "New connections closed unread as the process was behind",
            registry=self.registry,
        )
        self.completed = Counter(
            "quetzaldeck_completed",
            "Requests answered whole",
            ["kind"],
            registry=self.registry,
        )
        self.failures = Counter(
            "quetzaldeck_failures",
            "Refusals and failures by reason and whether the request ran",
            ["reason", "ran"],
            registry=self.registry,
        )
        self.promises = Counter(
            "quetzaldeck_not_run_promises",
            "Refusals that state that the request was not run, by what proves it",
            ["evidence"],
            registry=self.registry,
        )
        self.responses_cut_off = Counter(
            "quetzaldeck_responses_cut_off",
            "Responses that had begun and ended incomplete, by reason",
            ["reason"],
            registry=self.registry,
        )
        self.requests_aborted = Counter(
            "quetzaldeck_cut_off",
            "Requests that a stop of this gateway cut off",
            registry=self.registry,
        )
        self.connections = ConnectionMetrics(self.registry)
        self.connections_broken = self.connections.broken
        self.attempt_faults = Counter(
            "quetzaldeck_attempt_faults",
            "Failed attempts by evidence; each may be retried",
            ["fault"],
            registry=self.registry,
        )
        self.dropped_chunks = Counter(
            "quetzaldeck_dropped_chunks",
            "Chunks discarded: late, doubled, foreign or with a gap",
            ["why"],
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "quetzaldeck_in_flight",
            "Requests in progress, from arrival to the last byte",
            registry=self.registry,
        )
        self.queued = Gauge(
            "quetzaldeck_queued",
            "Requests that wait",
            registry=self.registry,
        )
        self.passed_over = Counter(
            "quetzaldeck_passed_over",
            "Requests served before an older one of the same priority, by rule",
            ["rule"],
            registry=self.registry,
        )
        self.running = Gauge(
            "quetzaldeck_running", "Attempts that run", registry=self.registry
        )
        self.bundle_version = Gauge(
            "quetzaldeck_bundle_version",
            "Version of the bundle in force",
            registry=self.registry,
        )
        self.limit_vms = Gauge(
            "quetzaldeck_limit_vms",
            "VMs among which limits of customers are divided",
            registry=self.registry,
        )
        self.control_bytes = Counter(
            "quetzaldeck_control_bytes",
            "Bytes exchanged with the agent",
            ["direction"],
            registry=self.registry,
        )
        self.exchange_errors = Counter(
            "quetzaldeck_exchange_errors",
            "Exchanges with the agent that failed",
            registry=self.registry,
        )
        self.ended_claims = Counter(
            "quetzaldeck_void_permits",
            "Claims that had ended when their call was to be dispatched",
            registry=self.registry,
        )
        self.upstreams = UpstreamMetrics(self.registry)
        self.placements = PlacementMetrics(self.registry)
        self.peers = PeerMetrics(self.registry)
        for reason in Reason:
            self.failures.labels(reason.value, "no")


__all__ = ("GatewayMetrics",)
