"""Settings of an entry VM."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option
from quetzaldeck.decisions.policies import ENTRY_POLICIES, Policies
from quetzaldeck.http.process_limits import (
    ConnectionSettings,
    ProcessLimits,
    share_out,
)

HOLD_SHARE = 0.85
"""Share of ``free_ms`` for which one order reserves memory."""

N_MISSED_HEARTBEATS = 3
"""Heartbeats after whose absence the store removes the entry of a replica."""

EXPIRY_MARGIN_MS = 1_400.0
"""Time for the store to remove an entry and for a VM to learn of it."""

MAX_ANSWER_BYTES = 1 << 20
"""A response is held until it is complete, so that half of it is never forwarded: a
few endless ones at a time have to fit into the memory of a VM."""

N_CAPACITY_DIGITS = 2
MIN_CAPACITY = 0.01
"""Least capacity assumed for a VM's processor, in cores."""

_PORT_PATTERN = r"(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[0-5]?\d{1,4})"
_ADDRESS_PATTERN = rf"[^\s:/]{{1,90}}:{_PORT_PATTERN}"


def _address(description: str, *, may_be_empty: bool = False) -> Option:
    if may_be_empty:
        pattern = rf"({_ADDRESS_PATTERN})?"
        return Option(description, pattern=pattern, form="IP:PORT or empty")
    return Option(description, pattern=_ADDRESS_PATTERN, form="IP:PORT")


class EntryListen(NamedTuple):
    """Where an entry VM listens, as ``IP:PORT``."""

    callers: Annotated[str, _address("Address for requests of callers.")]
    readiness: Annotated[str, _address("Address for readiness checks.")]
    metrics: Annotated[
        str, _address("Address for metrics; empty: not served.", may_be_empty=True)
    ] = ""


class EntryBounds(NamedTuple):
    """Bounds that operators guarantee to callers and upstreams."""

    key_revocation_ms: Annotated[
        float, Option("Time until a revoked API key is rejected.", unit="ms", minimum=1)
    ] = 5_000.0
    leaving_ms: Annotated[
        float,
        Option("Time until a leaving replica gets no new work.", unit="ms", minimum=1),
    ] = 2_000.0
    configuration_ms: Annotated[
        float, Option("Time until a configuration is in force.", unit="ms", minimum=1)
    ] = 2_000.0
    grace_s: Annotated[
        float, Option("Time from SIGTERM to SIGKILL.", unit="s", minimum=0.1)
    ] = 8.0
    retry_ratio: Annotated[
        float, Option("Highest ratio of retries to requests, over all VMs.", minimum=0)
    ] = 0.2
    retry_window_s: Annotated[
        float, Option("Window over which the ratio is taken.", unit="s", minimum=0.1)
    ] = 10.0
    free_ms: Annotated[
        float, Option("Time until unused memory is free again.", unit="ms", minimum=1)
    ] = 4_000.0
    heartbeat_ms: Annotated[
        float,
        Option("Interval at which replicas write their entries.", unit="ms", minimum=1),
    ] = 1_200.0
    evacuation_ms: Annotated[
        float,
        Option("Time until an evacuated zone gets no new work.", unit="ms", minimum=1),
    ] = 5_000.0
    cold_overshoot: Annotated[
        float,
        Option("Multiple of the rate of a cold replica that it tolerates.", minimum=1),
    ] = 1.0
    cold_slack: Annotated[
        float,
        Option("Requests in one second beyond that multiple.", minimum=0),
    ] = 0.0
    max_answer_bytes: Annotated[
        int,
        Option("Longest response of an upstream, if it is not a stream.", unit="bytes"),
    ] = MAX_ANSWER_BYTES
    memory_mb: Annotated[
        float, Option("Memory of the process.", unit="MB", minimum=1)
    ] = 300.0
    max_descriptors: Annotated[
        int,
        Option("Descriptors of the process; 0: as many as the kernel allows."),
    ] = 0

    @property
    def entry_expiry_ms(self) -> float:
        """:returns: time after which the entry of a replica that has ended is gone"""
        return self.heartbeat_ms * N_MISSED_HEARTBEATS + EXPIRY_MARGIN_MS

    @property
    def reservation_hold_ms(self) -> float:
        """:returns: how long one order reserves memory

        If this VM dies, the memory is free again after this time. The rest of the bound
        covers the transfer of the order and the delay until the engine checks for
        expired reservations.
        """
        return self.free_ms * HOLD_SHARE


class EntryProcessor(NamedTuple):
    """Processor of a VM; VMs with more capacity watch the store and relay updates."""

    share: Annotated[
        float, Option("Share of the time for which the VM may run.", minimum=0.001)
    ] = 1.0
    speed: Annotated[
        float, Option("Speed while it runs, in multiples of a core.", minimum=0.001)
    ] = 1.0

    @property
    def capacity(self) -> float:
        """:returns: the capacity of the processor in cores

        It is rounded as in messages to other VMs. With a more precise value for itself,
        each of several equal VMs might rank itself first, and all would watch and
        relay.
        """
        return max(MIN_CAPACITY, round(self.share * self.speed, N_CAPACITY_DIGITS))


class EntrySettings(NamedTuple):
    """Settings of one entry VM."""

    vm: Annotated[str, Option("Id of this VM.", minimum=1)]
    availability_zone: Annotated[str, Option("Zone of this VM.")]
    listen: Annotated[EntryListen, Option("Listen addresses.")]
    store_address: Annotated[str, _address("Address of the platform's store.")]
    seeds: Annotated[
        tuple[str, ...], _address("Peer addresses to join by; some may be gone.")
    ] = ()
    peer_port: Annotated[
        int, Option("Port for exchange between VMs; 0: none.", maximum=65_535)
    ] = 0
    handover_port: Annotated[
        int,
        Option("Port for requests that VMs hand over; 0: none.", maximum=65_535),
    ] = 0
    upstream_source: Annotated[
        str, Option("Local IP address of connections to upstreams; empty: any.")
    ] = ""
    processor: Annotated[EntryProcessor, Option("Processor of this VM.")] = (
        EntryProcessor()
    )
    bounds: Annotated[EntryBounds, Option("Guaranteed bounds.")] = EntryBounds()
    connections: Annotated[
        ConnectionSettings, Option("Limits on accepted connections.")
    ] = ConnectionSettings()
    policies: Annotated[
        Policies, Option("Policies, all or none named; changed for comparisons only.")
    ] = ENTRY_POLICIES
    fair_shares: Annotated[
        bool,
        Option("Whether a customer's service at all VMs counts; needs a restart."),
    ] = False
    random_state: Annotated[int, Option("Seed of random choices; 0: any.")] = 0

    @property
    def process_limits(self) -> ProcessLimits:
        """:returns: what all connections may take together"""
        return share_out(
            self.bounds.memory_mb,
            self.bounds.max_descriptors,
            max_connections=self.connections.max_connections,
        )


__all__ = ("EntryBounds", "EntryListen", "EntryProcessor", "EntrySettings")
