"""The bundle: what operators approve and roll across the fleet."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.config.option import Option

NO_LIMIT = 0
_NAME = {"minimum": 1, "maximum": 100}


class ModelSpec(NamedTuple):
    """A model that callers may ask for."""

    name: Annotated[str, Option("Name that callers use.", **_NAME)]
    version: Annotated[str, Option("Version of the weights in force.")]
    adapters: Annotated[
        tuple[str, ...], Option("Adapters that may be asked for with the model.")
    ] = ()


class CustomerLimits(NamedTuple):
    """Limits of one customer over the whole fleet; 0 means no limit."""

    requests_in_flight: Annotated[
        int, Option("Requests admitted at a time.", unit="requests", minimum=0)
    ] = NO_LIMIT
    tokens_in_flight: Annotated[
        int, Option("Prompt and output tokens at a time.", unit="tokens", minimum=0)
    ] = NO_LIMIT
    tokens_per_second: Annotated[
        int, Option("Rate of admitted tokens.", unit="tokens/s", minimum=0)
    ] = NO_LIMIT


class CustomerSpec(NamedTuple):
    """A customer, its keys, and what it is given."""

    name: Annotated[str, Option("Name in logs and reports.", **_NAME)]
    key_hashes: Annotated[
        tuple[str, ...], Option("SHA-256 of each API key, in hex.", minimum=1)
    ]
    models: Annotated[tuple[str, ...], Option("Models it may ask for.")] = ()
    adapters: Annotated[tuple[str, ...], Option("Adapters it may ask for.")] = ()
    services: Annotated[tuple[str, ...], Option("Plain services it may call.")] = ()
    priority: Annotated[
        int, Option("Priority class; 0 goes first.", minimum=0, maximum=9)
    ] = 5
    weight: Annotated[
        float, Option("Share under contention.", minimum=0.01, maximum=1000)
    ] = 1.0
    deadline_ms: Annotated[
        int, Option("Deadline when the call names none.", unit="ms", minimum=1)
    ] = 120_000
    limits: Annotated[CustomerLimits, Option("Fleet-wide limits.")] = CustomerLimits()


class UpstreamSpec(NamedTuple):
    """An engine or a replica of a plain service."""

    name: Annotated[str, Option("Name of the upstream's VM.", **_NAME)]
    address: Annotated[str, Option("Base URL, by IP number.")]
    kind: Annotated[str, Option("What it runs.", choices=("engine", "service"))] = (
        "engine"
    )
    protocol: Annotated[str, Option("Adapter that speaks to it.")] = "openai"
    availability_zone: Annotated[str, Option("Where it runs.")] = ""
    models: Annotated[tuple[str, ...], Option("Models an engine should load.")] = ()
    service: Annotated[str, Option("Plain service that it is a replica of.")] = ""
    kv_tokens: Annotated[
        int, Option("Memory of an engine.", unit="tokens", minimum=0)
    ] = 0
    checks_fencing: Annotated[
        bool, Option("Whether it refuses a command with an old fencing token.")
    ] = True
    role: Annotated[str, Option("Role an engine should have; empty: any.")] = ""
    max_requests: Annotated[
        int,
        Option(
            "Requests that one VM sends it at a time; 0: the VM's bound.", minimum=0
        ),
    ] = 0
    figures: Annotated[
        EngineFigures | None, Option("Speed and size of an engine, if known.")
    ] = None


class CallPattern(NamedTuple):
    """Calls of a plain service that may not be repeated."""

    method: Annotated[str, Option("HTTP method; * for any.")] = "*"
    path: Annotated[str, Option("Path below the prefix; * matches any rest.")] = "*"


class ServiceSpec(NamedTuple):
    """A plain service behind a path prefix."""

    name: Annotated[str, Option("Name of the service.", **_NAME)]
    prefix: Annotated[str, Option("Path prefix, e.g. /desk.", minimum=2)]
    non_repeatable: Annotated[
        tuple[CallPattern, ...], Option("Calls that run at most once.")
    ] = ()
    deadline_ms: Annotated[int, Option("Deadline of a call.", unit="ms", minimum=1)] = (
        10_000
    )
    priority: Annotated[
        int, Option("Priority class of its calls.", minimum=0, maximum=9)
    ] = 0


class Weights(NamedTuple):
    """Explicit weights of the measures, if no named profile fits."""

    short_slowdown: Annotated[
        float, Option("Weight of the slowdown of short requests.", minimum=0)
    ] = 1.0
    ttft: Annotated[
        float, Option("Weight of time to first token, all lengths.", minimum=0)
    ] = 1.0


class Bundle(NamedTuple):
    """One version of everything that operators decide."""

    version: Annotated[int, Option("Version; a higher one wins.", minimum=1)]
    valid_until_ms: Annotated[
        int, Option("End of validity since the Unix epoch.", unit="ms", minimum=1)
    ]
    models: Annotated[tuple[ModelSpec, ...], Option("Models.")] = ()
    customers: Annotated[tuple[CustomerSpec, ...], Option("Customers.")] = ()
    upstreams: Annotated[tuple[UpstreamSpec, ...], Option("Upstreams.")] = ()
    services: Annotated[tuple[ServiceSpec, ...], Option("Plain services.")] = ()
    profile: Annotated[
        str,
        Option(
            "Weights of the measures.",
            choices=("short_requests", "first_token", "explicit"),
        ),
    ] = "short_requests"
    weights: Annotated[Weights, Option("Used by the explicit profile.")] = Weights()
    weight_loads_per_minute: Annotated[
        float,
        Option("Loads that the weight store allows.", unit="loads/min", minimum=0.1),
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
