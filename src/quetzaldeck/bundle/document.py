"""The bundle: fleet-wide configuration that operators sign and roll out."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.config.option import Option

NO_LIMIT = 0
_NAME = {"minimum": 1, "maximum": 100}


class ModelSpec(NamedTuple):
    """A model that callers may request."""

    name: Annotated[str, Option("Name by which callers request it.", **_NAME)]
    version: Annotated[str, Option("Version of the weights that engines should load.")]
    adapters: Annotated[
        tuple[str, ...], Option("Adapters that may be requested with the model.")
    ] = ()
    max_gap_ms: Annotated[
        float,
        Option(
            "Shortest gap between tokens that its callers accept; 0: not stated.",
            unit="ms",
            minimum=0,
        ),
    ] = 0.0


class CustomerLimits(NamedTuple):
    """Limits of one customer across the whole fleet; 0 means no limit."""

    requests_in_flight: Annotated[
        int, Option("Concurrent requests; 0: no limit.", unit="requests", minimum=0)
    ] = NO_LIMIT
    tokens_in_flight: Annotated[
        int,
        Option(
            "Prompt and output tokens of concurrent requests; 0: no limit.",
            unit="tokens",
            minimum=0,
        ),
    ] = NO_LIMIT
    tokens_per_second: Annotated[
        int,
        Option(
            "Rate at which tokens are admitted; 0: no limit.",
            unit="tokens/s",
            minimum=0,
        ),
    ] = NO_LIMIT


class CustomerSpec(NamedTuple):
    """A customer with its API keys, permissions and limits."""

    name: Annotated[str, Option("Name of the customer in logs and reports.", **_NAME)]
    key_hashes: Annotated[
        tuple[str, ...],
        Option("SHA-256 of each API key, in lower-case hex.", minimum=1),
    ]
    models: Annotated[tuple[str, ...], Option("Models that it may request.")] = ()
    adapters: Annotated[tuple[str, ...], Option("Adapters that it may request.")] = ()
    services: Annotated[
        tuple[str, ...], Option("Plain services that it may call.")
    ] = ()
    priority: Annotated[
        int, Option("Priority class; 0 is served first.", minimum=0, maximum=9)
    ] = 5
    weight: Annotated[
        float,
        Option(
            "Relative share of capacity under contention.", minimum=0.01, maximum=1000
        ),
    ] = 1.0
    deadline_ms: Annotated[
        int, Option("Deadline of a call that sets none.", unit="ms", minimum=1)
    ] = 120_000
    limits: Annotated[CustomerLimits, Option("Limits across the whole fleet.")] = (
        CustomerLimits()
    )


class UpstreamSpec(NamedTuple):
    """An engine or a replica of a plain service."""

    name: Annotated[str, Option("Name of the VM that runs the upstream.", **_NAME)]
    address: Annotated[str, Option("Base URL with an IP address.")]
    kind: Annotated[str, Option("What the VM runs.", choices=("engine", "service"))] = (
        "engine"
    )
    protocol: Annotated[str, Option("Protocol adapter used to reach it.")] = "openai"
    availability_zone: Annotated[str, Option("Zone that it runs in.")] = ""
    models: Annotated[
        tuple[str, ...], Option("Models that the engine should load.")
    ] = ()
    service: Annotated[str, Option("Plain service that a replica belongs to.")] = ""
    kv_tokens: Annotated[
        int,
        Option(
            "KV cache capacity; an engine needs at least 1.", unit="tokens", minimum=0
        ),
    ] = 0
    checks_fencing: Annotated[
        bool, Option("Whether it rejects commands with an outdated fencing token.")
    ] = True
    role: Annotated[
        str, Option("Role that an engine should have; empty: any role.")
    ] = ""
    max_requests: Annotated[
        int,
        Option(
            "Concurrent requests that each VM sends to it; 0: the VM's own limit.",
            minimum=0,
        ),
    ] = 0
    figures: Annotated[
        EngineFigures | None, Option("Speed and capacity of an engine, if known.")
    ] = None


class CallPattern(NamedTuple):
    """Calls of a plain service that must not be repeated."""

    method: Annotated[str, Option("HTTP method; * matches any method.")] = "*"
    path: Annotated[str, Option("Path below the prefix; * matches any characters.")] = (
        "*"
    )


class ServiceSpec(NamedTuple):
    """A plain service behind a path prefix."""

    name: Annotated[str, Option("Name of the service.", **_NAME)]
    prefix: Annotated[str, Option("Path prefix of its calls, e.g. /desk.", minimum=2)]
    non_repeatable: Annotated[
        tuple[CallPattern, ...], Option("Calls that are executed at most once.")
    ] = ()
    deadline_ms: Annotated[
        int, Option("Deadline of a call that sets none.", unit="ms", minimum=1)
    ] = 10_000
    priority: Annotated[
        int,
        Option("Priority class of its calls; 0 is served first.", minimum=0, maximum=9),
    ] = 0


class Weights(NamedTuple):
    """Weights of the optimisation goals for the profile ``explicit``."""

    short_slowdown: Annotated[
        float, Option("Weight of a low slowdown of short requests.", minimum=0)
    ] = 1.0
    ttft: Annotated[
        float,
        Option(
            "Weight of a low time to first token, over prompts of all lengths.",
            minimum=0,
        ),
    ] = 1.0


class Bundle(NamedTuple):
    """One version of the configuration that operators decide on."""

    version: Annotated[
        int, Option("Version of the bundle; the highest one takes effect.", minimum=1)
    ]
    valid_until_ms: Annotated[
        int,
        Option("End of validity, as time since the Unix epoch.", unit="ms", minimum=1),
    ]
    models: Annotated[tuple[ModelSpec, ...], Option("Models that are served.")] = ()
    customers: Annotated[
        tuple[CustomerSpec, ...], Option("Customers that may call.")
    ] = ()
    upstreams: Annotated[
        tuple[UpstreamSpec, ...], Option("Engines, and replicas of plain services.")
    ] = ()
    services: Annotated[
        tuple[ServiceSpec, ...], Option("Plain services that are served.")
    ] = ()
    profile: Annotated[
        str,
        Option(
            "Optimisation goals that scheduling favours.",
            choices=("short_requests", "first_token", "explicit"),
        ),
    ] = "short_requests"
    weights: Annotated[
        Weights, Option("Weights of the goals; used by the profile explicit.")
    ] = Weights()
    weight_loads_per_minute: Annotated[
        float,
        Option(
            "Rate of weight loads that the weight store allows.",
            unit="loads/min",
            minimum=0.1,
        ),
    ] = 60.0


__all__ = (
    "NO_LIMIT",
    "Bundle",
    "CallPattern",
    "CustomerLimits",
    "CustomerSpec",
    "ModelSpec",
    "ServiceSpec",
    "UpstreamSpec",
    "Weights",
)
