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
            "Attempts that are made again, by the fault of the one before",
            ["fault"],
            registry=registry,
        )
        self.retry_budget_tokens = Gauge(
            "quetzaldeck_retry_budget_tokens",
            "Work of recent retries and the line up to which it is allowed",
            ["side"],
            registry=registry,
        )
        self.states = Gauge(
            "quetzaldeck_upstream_states",
            "Upstreams by state of health",
            ["state"],
            registry=registry,
        )
        self.leaving = Gauge(
            "quetzaldeck_upstreams_leaving",
            "Upstreams that get nothing new because they leave",
            registry=registry,
        )
        self.evacuated_zones = Gauge(
            "quetzaldeck_evacuated_zones",
            "Availability zones whose upstreams get nothing new",
            registry=registry,
        )
        self.zone_evacuated_since = Gauge(
            "quetzaldeck_zone_evacuated_since_seconds",
            "Unix time of the answer of the store that named the evacuated zone",
            ["zone"],
            registry=registry,
        )
        self.diverted = Counter(
            "quetzaldeck_diverted_requests",
            "Requests kept from upstreams of evacuated zones, by what they waited for",
            ["kind"],
            registry=registry,
        )
        self.rests = Counter(
            "quetzaldeck_upstream_rests",
            "Responses in which an upstream asked this VM for rest",
            ["upstream"],
            registry=registry,
        )
        self.replaced_pools = Counter(
            "quetzaldeck_replaced_pools",
            "Connection pools replaced after a silent read",
            ["upstream"],
            registry=registry,
        )
        self.pace_queries = Counter(
            "quetzaldeck_pace_questions",
            "Questions to engines for their pace, by outcome",
            ["outcome"],
            registry=registry,
        )
        self.paths = Gauge(
            "quetzaldeck_upstream_paths",
            "1 for the verdict in force on the path to the upstreams of a service",
            ["service", "verdict"],
            registry=registry,
        )
        self.path_probes = Counter(
            "quetzaldeck_path_probes",
            "Probes of upstreams that may be out of reach, by outcome",
            ["outcome"],
            registry=registry,
        )
        self.handovers = Counter(
            "quetzaldeck_handovers",
            "Requests handed over to other VMs, by outcome",
            ["outcome"],
            registry=registry,
        )
        self.reservations = Counter(
            "quetzaldeck_reservations",
            "Reservations by outcome",
            ["outcome"],
            registry=registry,
        )
        self.releases = Counter(
            "quetzaldeck_releases",
            "Releases of what abandoned attempts held, by outcome",
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
            "Requests that were on board of engine crashes, by what follows from it",
            ["verdict"],
            registry=registry,
        )
        self.blocked_crashes = Gauge(
            "quetzaldeck_blocked_request_crashes",
            "Crashes of upstreams that ran a request which is refused for it",
            ["fingerprint"],
            registry=registry,
        )
        self.blocked_since = Gauge(
            "quetzaldeck_blocked_request_since_seconds",
            "Unix time of the first of these crashes",
            ["fingerprint"],
            registry=registry,
        )
        self.blocked_until = Gauge(
            "quetzaldeck_blocked_request_until_seconds",
            "Unix time from which on the request is admitted again",
            ["fingerprint"],
            registry=registry,
        )
        self.attempts_left = Counter(
            "quetzaldeck_attempts_left",
            "Attempts whose caller left, or whose deadline passed, before they ended",
            registry=registry,
        )
        self.attempts_resumed = Counter(
            "quetzaldeck_attempts_resumed",
            "Silent attempts that went on before another one replaced them",
            registry=registry,
        )
        self.crash_checks = Counter(
            "quetzaldeck_crash_checks",
            "Checks of upstreams to which a connection has broken, by result",
            ["liveness"],
            registry=registry,
        )
        self.rate_limits = Gauge(
            "quetzaldeck_rate_limit",
            "Requests a second that an upstream takes from all VMs, where it says so",
            ["upstream"],
            registry=registry,
        )
        self.rate_limited_since = Gauge(
            "quetzaldeck_rate_limited_since_seconds",
            "Unix time at which the upstream first named the limit in force",
            ["upstream"],
            registry=registry,
        )
        self.rate_limited_sends = Counter(
            "quetzaldeck_rate_limited_sends",
            "Requests sent to an upstream while it names a limit",
            ["upstream"],
            registry=registry,
        )
        self.permits = Counter(
            "quetzaldeck_permits",
            "Permits for requests to upstreams that name a limit, by outcome",
            ["outcome"],
            registry=registry,
        )
        self.permits_issued = Counter(
            "quetzaldeck_permits_issued",
            "Permits that this VM has issued to all VMs",
            ["upstream"],
            registry=registry,
        )
        self.cold_replicas = Gauge(
            "quetzaldeck_cold_replicas",
            "Replicas that are cold, as far as this VM knows",
            registry=registry,
        )
        self.cold_sends = Counter(
            "quetzaldeck_cold_sends",
            "Requests sent to an upstream while it is cold",
            ["upstream"],
            registry=registry,
        )
        self.cold_refusals = Counter(
            "quetzaldeck_cold_permits_refused",
            "Permits for a cold upstream that this VM was refused, or used too late",
            ["upstream"],
            registry=registry,
        )


__all__ = ("UpstreamMetrics",)
