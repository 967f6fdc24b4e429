"""Settings of the gateway."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option
from quetzaldeck.decisions.policies import Policies
from quetzaldeck.http.address import ListenAddress
from quetzaldeck.http.process_limits import (
    ConnectionSettings,
    ProcessLimits,
    ProcessSettings,
    share_out,
)
from quetzaldeck.upstreams.timeouts import MAX_ANSWER_BYTES


class CallerBounds(NamedTuple):
    """Limits for callers."""

    max_body_bytes: Annotated[
        int, Option("Maximum size of a body.", unit="bytes", minimum=1_000)
    ] = 32 << 20
    body_idle_ms: Annotated[
        int, Option("Idle timeout while reading a body.", unit="ms", minimum=10)
    ] = 5_000
    max_bodies_bytes: Annotated[
        int,
        Option(
            "Bodies of all requests in progress; less if the memory of the process is "
            "small.",
            unit="bytes",
            minimum=1,
        ),
    ] = 67_108_864
    body_total_ms: Annotated[
        int,
        Option(
            "Timeout for reading a whole body, and for a caller to read an answer.",
            unit="ms",
            minimum=10,
        ),
    ] = 60_000
    request_head_ms: Annotated[
        int,
        Option("Timeout for the first request on a connection.", unit="ms", minimum=10),
    ] = 10_000
    write_idle_ms: Annotated[
        int, Option("Timeout for a caller that stops reading.", unit="ms", minimum=10)
    ] = 15_000
    silence_ms: Annotated[
        int,
        Option(
            "Silence on a stream until a keep-alive is sent.", unit="ms", minimum=50
        ),
    ] = 1_000
    max_output_tokens: Annotated[
        int, Option("Maximum length of an answer.", unit="tokens", minimum=1)
    ] = 16_384
    default_output_tokens: Annotated[
        int, Option("Maximum length if the call sets none.", unit="tokens", minimum=1)
    ] = 512


class UpstreamBounds(NamedTuple):
    """Limits for upstreams."""

    connect_ms: Annotated[
        int, Option("Timeout for opening a connection.", unit="ms", minimum=10)
    ] = 1_000
    idle_ms: Annotated[
        int,
        Option(
            "Silence, heartbeats included, after which another attempt is queued.",
            unit="ms",
        ),
    ] = 3_000
    max_answer_bytes: Annotated[
        int,
        Option(
            "Longest answer of an upstream, if it is not a stream.",
            unit="bytes",
            minimum=1_000,
        ),
    ] = MAX_ANSWER_BYTES


class ShutdownSettings(NamedTuple):
    """Settings of the graceful shutdown."""

    balancer_lag_ms: Annotated[
        int,
        Option(
            "How long the load balancer may send requests after the gateway is not "
            "ready.",
            unit="ms",
            minimum=0,
        ),
    ] = 5_000
    max_drain_ms: Annotated[
        int,
        Option(
            "Time after which requests in progress are aborted; 0: at their deadlines.",
            unit="ms",
            minimum=0,
        ),
    ] = 0
    farewell_ms: Annotated[
        int,
        Option("Time for notifying callers of aborted requests.", unit="ms", minimum=0),
    ] = 2_000


class GatewaySettings(NamedTuple):
    """Settings of the gateway of one VM."""

    vm: Annotated[str, Option("Id of this VM.", minimum=1)]
    availability_zone: Annotated[str, Option("Availability zone of this VM.")]
    listen: Annotated[ListenAddress, Option("Address on which callers connect.")]
    agent_address: Annotated[str, Option("Base URL of this VM's agent.")]
    exchange_interval_ms: Annotated[
        int, Option("Time between exchanges with the agent.", unit="ms", minimum=20)
    ] = 200
    callers: Annotated[CallerBounds, Option("Limits for callers.")] = CallerBounds()
    upstreams: Annotated[UpstreamBounds, Option("Timeouts for upstreams.")] = (
        UpstreamBounds()
    )
    shutdown: Annotated[ShutdownSettings, Option("Graceful shutdown.")] = (
        ShutdownSettings()
    )
    process: Annotated[
        ProcessSettings, Option("What the process may take of its machine.")
    ] = ProcessSettings()
    connections: Annotated[
        ConnectionSettings, Option("Limits on accepted connections.")
    ] = ConnectionSettings()
    policies: Annotated[Policies, Option("Policies.")] = Policies()
    random_state: Annotated[
        int, Option("Seed of random choices; 0: a random seed.")
    ] = 0

    @property
    def process_limits(self) -> ProcessLimits:
        """:returns: what all connections may take together"""
        return share_out(
            self.process.memory_mb,
            self.process.max_descriptors,
            max_connections=self.connections.max_connections,
        )


__all__ = ("CallerBounds", "GatewaySettings", "ShutdownSettings", "UpstreamBounds")
