"""Prometheus metrics of the agent."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from quetzaldeck.telemetry.connection_metrics import ConnectionMetrics

_CLAIM_BUCKETS = (0.001, 0.002, 0.004, 0.008, 0.016, 0.05, 0.2, 0.4, 1)


class AgentMetrics:
    """Counters, gauges and histograms of one agent."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.connections = ConnectionMetrics(self.registry, prefix="quetzaldeck_agent")
        self.bundle_version = Gauge(
            "quetzaldeck_agent_bundle_version",
            "Version of the bundle in force",
            registry=self.registry,
        )
        self.bundles_refused = Counter(
            "quetzaldeck_agent_bundles_refused",
            "Bundles that did not come in force, by reason",
            ["why"],
            registry=self.registry,
        )
        self.bundles_accepted = Counter(
            "quetzaldeck_agent_bundles_accepted",
            "Bundles that came in force, by where they were read",
            ["source"],
            registry=self.registry,
        )
        self.bundle_bytes = Counter(
            "quetzaldeck_agent_bundle_bytes",
            "Bytes of bundles, and of changes of bundles, fetched from peers",
            registry=self.registry,
        )
        self.members = Gauge(
            "quetzaldeck_agent_members",
            "Entry VMs known, by what is believed of them",
            ["state"],
            registry=self.registry,
        )
        self.membership_events = Gauge(
            "quetzaldeck_agent_membership_events",
            "Suspicions taken back, deaths confirmed and deaths withheld",
            ["event"],
            registry=self.registry,
        )
        self.records_dropped = Gauge(
            "quetzaldeck_agent_records_dropped",
            "Records dropped at the bound or as unreadable, by kind",
            ["kind"],
            registry=self.registry,
        )
        self.platform_errors = Counter(
            "quetzaldeck_agent_platform_errors",
            "Calls to the platform that failed, by what was read",
            ["what"],
            registry=self.registry,
        )
        self.platform_calls = Counter(
            "quetzaldeck_agent_platform_calls",
            "Calls to the platform, by what was read",
            ["what"],
            registry=self.registry,
        )
        self.commands_sent = Counter(
            "quetzaldeck_agent_orders",
            "Commands to engines that were sent, by action and outcome",
            ["action", "outcome"],
            registry=self.registry,
        )
        self.commands_withheld = Counter(
            "quetzaldeck_agent_orders_withheld",
            "Commands decided on and not sent after the last check, by reason",
            ["why"],
            registry=self.registry,
        )
        self.commands_repeated = Gauge(
            "quetzaldeck_agent_orders_repeated",
            "Commands that had to be given again: not followed, or undone",
            registry=self.registry,
        )
        self.reclaimed = Counter(
            "quetzaldeck_agent_reclaimed",
            "Sequences, reservations and exports released for nobody, by proof",
            ["why"],
            registry=self.registry,
        )
        self.reclaimed_tokens = Counter(
            "quetzaldeck_agent_reclaimed_tokens",
            "Memory of engines released for nobody",
            registry=self.registry,
        )
        self.pauses = Counter(
            "quetzaldeck_agent_pauses",
            "Times at which the agent found that it had been paused",
            registry=self.registry,
        )
        self.load_reads = Counter(
            "quetzaldeck_agent_load_reads",
            "Reads of an upstream's load",
            registry=self.registry,
        )
        self.load_errors = Counter(
            "quetzaldeck_agent_load_errors",
            "Load reports that could not be read",
            registry=self.registry,
        )
        self._add_claim_metrics()

    def _add_claim_metrics(self) -> None:
        self.claim_decisions = Counter(
            "quetzaldeck_agent_claim_decisions",
            "Claims asked for by this VM's gateway, by verdict",
            ["verdict"],
            registry=self.registry,
        )
        self.claim_refusals = Counter(
            "quetzaldeck_agent_claim_refusals",
            "Claims refused, by reason",
            ["reason"],
            registry=self.registry,
        )
        self.claim_votes = Counter(
            "quetzaldeck_agent_claim_votes",
            "Votes given to peers, by verdict",
            ["verdict"],
            registry=self.registry,
        )
        self.claim_seconds = Histogram(
            "quetzaldeck_agent_claim_seconds",
            "Time to win a claim",
            buckets=_CLAIM_BUCKETS,
            registry=self.registry,
        )
        self.claim_voter_sets = Counter(
            "quetzaldeck_agent_claim_voter_sets",
            "Changes of the voter set in force",
            registry=self.registry,
        )
        self.claim_voters = Gauge(
            "quetzaldeck_agent_claim_voters",
            "Voters in the voter set in force; 0: this VM has none yet",
            registry=self.registry,
        )
        self.claim_is_settled = Gauge(
            "quetzaldeck_agent_claim_is_settled",
            "Whether this VM votes and no change of the voter set is under way",
            registry=self.registry,
        )
        self.claims_held = Gauge(
            "quetzaldeck_agent_claims_held",
            "Claims that this VM's voter remembers",
            registry=self.registry,
        )


__all__ = ("AgentMetrics",)
