"""Settings of the agent."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.claims.settings import ClaimSettings
from quetzaldeck.commands.settings import CommandSettings
from quetzaldeck.config.option import Option
from quetzaldeck.http.address import ListenAddress
from quetzaldeck.http.process_limits import (
    ConnectionSettings,
    ProcessLimits,
    ProcessSettings,
    share_out,
)
from quetzaldeck.membership.settings import MembershipSettings
from quetzaldeck.peers.settings import PeerSettings
from quetzaldeck.reclaim.settings import ReclaimSettings


class PlatformSettings(NamedTuple):
    """Services of the platform that the agent reads, and how often."""

    configuration_address: Annotated[
        str, Option("Base URL of the configuration service.")
    ]
    vm_list_address: Annotated[str, Option("Base URL of the list of VMs.")]
    configuration_protocol: Annotated[
        str, Option("Adapter for the configuration service.")
    ] = "http"
    vm_list_protocol: Annotated[str, Option("Adapter for the list of VMs.")] = "http"
    bundle_key: Annotated[
        str, Option("Key of the bundle in the configuration service.")
    ] = "bundle"
    watch_timeout_ms: Annotated[
        int, Option("Timeout of one watch call.", unit="ms", minimum=100)
    ] = 20_000
    retry_ms: Annotated[
        int, Option("Wait after a failed call.", unit="ms", minimum=10)
    ] = 500
    read_interval_ms: Annotated[
        int,
        Option(
            "Time between bundle reads of a VM that does not watch.",
            unit="ms",
            minimum=50,
        ),
    ] = 600_000
    max_watchers: Annotated[
        int, Option("VMs of the fleet that watch at the same time.", minimum=1)
    ] = 8
    vm_list_interval_ms: Annotated[
        int, Option("Time between reads of the list of VMs.", unit="ms", minimum=50)
    ] = 1_000


class AgentSettings(NamedTuple):
    """Settings of the agent of one VM."""

    vm: Annotated[str, Option("Id of this VM.", minimum=1)]
    availability_zone: Annotated[str, Option("Availability zone of this VM.")]
    listen: Annotated[ListenAddress, Option("Address on which the agent listens.")]
    platform: Annotated[PlatformSettings, Option("Services of the platform.")]
    bundle_keys: Annotated[
        dict[str, str], Option("Trusted public keys of bundles (base64) by key id.")
    ]
    load_interval_ms: Annotated[
        int, Option("Time between reads of an upstream's load.", unit="ms", minimum=50)
    ] = 250
    gateway_quiet_ms: Annotated[
        int,
        Option(
            "At a stop, time without a report after which the gateway counts as gone.",
            unit="ms",
            minimum=100,
        ),
    ] = 3_000
    leave_timeout_ms: Annotated[
        int,
        Option(
            "Timeout of each step of leaving: notifying peers, handing claims over.",
            unit="ms",
            minimum=10,
        ),
    ] = 2_000
    advertise: Annotated[
        str, Option("Base URL at which peers reach the agent; empty: that of listen.")
    ] = ""
    peers: Annotated[PeerSettings, Option("Keys shared by all agents.")] = (
        PeerSettings()
    )
    membership: Annotated[MembershipSettings, Option("Probes and their timing.")] = (
        MembershipSettings()
    )
    claims: Annotated[
        ClaimSettings, Option("Claims on calls that run at most once.")
    ] = ClaimSettings()
    commands: Annotated[CommandSettings, Option("Commands to engines.")] = (
        CommandSettings()
    )
    reclaim: Annotated[ReclaimSettings, Option("Orphaned memory on engines.")] = (
        ReclaimSettings()
    )
    join_timeout_ms: Annotated[
        int,
        Option("Longest wait of a new agent for peers before it is ready.", unit="ms"),
    ] = 5_000
    process: Annotated[
        ProcessSettings, Option("What the process may take of its machine.")
    ] = ProcessSettings()
    connections: Annotated[
        ConnectionSettings, Option("Limits on accepted connections.")
    ] = ConnectionSettings()

    @property
    def process_limits(self) -> ProcessLimits:
        """:returns: what all connections may take together"""
        return share_out(
            self.process.memory_mb,
            self.process.max_descriptors,
            max_connections=self.connections.max_connections,
        )


__all__ = ("AgentSettings", "PlatformSettings")
