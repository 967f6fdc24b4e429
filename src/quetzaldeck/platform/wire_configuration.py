"""The configuration as the platform's operator writes it, and its translation.

Field names are those of the wire format, which has them in camel case. Where a name
does not say what the field holds, a comment does.
"""

from __future__ import annotations

import msgspec

from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.routing import (
    CallerLimits,
    ColdStart,
    KeyOwner,
    RequestKind,
    Route,
    RoutingConfiguration,
    Service,
    WeightedService,
)

MS_PER_S = 1_000.0


class _WireTarget(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _WireRoute(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    host: str
    prefix: str
    type: RequestKind
    """Whether requests may be repeated; not a media type."""
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    """Replaces ``split`` if there is only one service."""
    split: list[_WireTarget] = []
    max_attempts: int = 1
    public: bool = False
    """Requests need no API key; says nothing about networks."""
    sticky: bool = False
    """Requests carry prompts; no session is bound to a replica, despite the name."""
    resumable: bool = False
    target_gap_ms: float = 0.0

    def translate(self) -> Route:
        targets = [
            WeightedService(target.service, target.weight) for target in self.split
        ]
        if self.service is not None:
            targets = [WeightedService(self.service, 1.0)]
        return Route(
            self.name,
            self.host.lower(),
            self.prefix,
            self.type,
            self.timeout_ms,
            self.target_latency_ms,
            self.priority,
            tuple(targets),
            max(1, self.max_attempts),
            self.public,
            self.resumable,
            self.target_gap_ms,
            self.sticky,
        )


class _WireUsual(msgspec.Struct, frozen=True):
    prompt: float = 0.0
    answer: float = 0.0


class _WireEngine(msgspec.Struct, frozen=True):
    slots: int
    kv_capacity: int = msgspec.field(name="kvCapacity")
    """In tokens, though other sizes here are in bytes."""
    read_per_s: float
    """Prompt tokens prefilled per second; not requests."""
    pairs_per_m: float = 0.0
    """Milliseconds per million pairs of tokens."""
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    """Milliseconds per step for each 1,000 tokens of context."""
    chunk: int = 2_048
    stride: int = 1
    hop_ms: float = msgspec.field(name="hopMs", default=0.0)
    usual: _WireUsual = _WireUsual()

    def translate(self) -> EngineFigures:
        return EngineFigures(
            n_slots=self.slots,
            kv_tokens=self.kv_capacity,
            tokens_per_ms=self.read_per_s / MS_PER_S,
            pairs_ms_per_million=self.pairs_per_m,
            step_ms=self.step_ms,
            sequence_ms=self.per_seq_ms,
            context_ms_per_k=self.context_per_k,
            chunk_tokens=self.chunk,
            stride=self.stride,
            hop_ms=self.hop_ms,
            usual_prompt_tokens=self.usual.prompt,
        )


class _WireService(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    health_path: str = "/"
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    """Requests a second that a cold replica tolerates; 0: no limit."""
    engine: _WireEngine | None = None

    def translate(self) -> Service:
        engine = None if self.engine is None else self.engine.translate()
        cold_start = None
        if self.cold_per_s > 0:
            cold_start = ColdStart(self.cold_start_s * MS_PER_S, self.cold_per_s)
        return Service(
            self.name, self.health_path, self.max_connections, engine, cold_start
        )


class _WireLimits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0

    def translate(self) -> CallerLimits:
        return CallerLimits(
            self.max_header_bytes,
            self.max_body_bytes,
            self.header_timeout_ms,
            self.idle_timeout_ms,
        )


class _WireTenant(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _WireConfiguration(msgspec.Struct, frozen=True):
    version: int
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits = _WireLimits()
    tenants: list[_WireTenant] | None = None
    """If present, requests need an API key."""

    def translate(self) -> RoutingConfiguration:
        keys = None
        if self.tenants is not None:
            keys = {
                key: KeyOwner(tenant.name, tenant.priority)
                for tenant in self.tenants
                for key in tenant.api_keys
            }
        return RoutingConfiguration(
            self.version,
            tuple(route.translate() for route in self.routes),
            {service.name: service.translate() for service in self.services},
            keys,
            self.limits.translate(),
        )


_DECODER = JsonDecoder(_WireConfiguration)


def decode_configuration(value: bytes) -> RoutingConfiguration:
    """:returns: the configuration in ``value``

    :raises msgspec.DecodeError: if it is not valid; the message names the faulty field
    """
    return _DECODER.decode(value).translate()


__all__ = ("decode_configuration",)
