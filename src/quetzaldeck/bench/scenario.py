"""Scenarios of the simulation: a fleet, its calls and its faults."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.bench.call import Call
from quetzaldeck.bench.fault import Fault
from quetzaldeck.bundle import (
    Bundle,
    CustomerLimits,
    CustomerSpec,
    ModelSpec,
    ServiceSpec,
    UpstreamSpec,
    Weights,
)
from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.groups import GroupBounds
from quetzaldeck.engine_model import EngineProfile

MODEL = "plan-writer"
SERVICE = "member-app"
ZONES = ("zone-a", "zone-b", "zone-c")
_VALID_UNTIL_MS = 4_102_444_800_000


class FleetShape(NamedTuple):
    """Size and cost parameters of a fleet; the default sizes are a real deployment's.

    :param n_engines: engines, assigned to the availability zones in turn
    :param n_services: replicas of the plain service, assigned likewise
    :param engine: cost parameters of an engine with continuous batching
    :param service_ms: duration of one call at the plain service
    :param n_service_workers: calls that one replica runs at the same time
    :param report_interval_ms: interval between the load reports of an upstream
    :param report_lag_ms: age of a report when the VMs receive it
    :param latency_ms: one-way latency between a VM and an upstream
    :param update_lag_ms: time until an update of one VM reaches the others
    :param peer_lag_ms: time until the load of one VM reaches the others, through
        relays; 0: the network latency
    :param idle_timeout_ms: how long a VM waits on a silent connection
    :param figures: speed and size of engines that work in passes and can prefill a
        prompt in parts. They send no load reports; the VMs send each other their loads.
        ``None``: engines with continuous batching, as described by ``engine``
    :param groups: limits of group reservations, for prompts larger than one engine's
        memory
    """

    n_vms: int = 7
    n_engines: int = 14
    n_services: int = 3
    engine: EngineProfile = EngineProfile()
    service_ms: float = 10.0
    n_service_workers: int = 8
    report_interval_ms: float = 200.0
    report_lag_ms: float = 400.0
    latency_ms: float = 0.5
    update_lag_ms: float = 400.0
    peer_lag_ms: float = 0.0
    idle_timeout_ms: float = 3_000.0
    zones: tuple[str, ...] = ZONES
    figures: EngineFigures | None = None
    groups: GroupBounds = GroupBounds()

    @property
    def kv_tokens(self) -> int:
        """:returns: KV cache size of an engine in tokens"""
        return self.figures.kv_tokens if self.figures else self.engine.kv_tokens


class Scenario(NamedTuple):
    """Input of one run.

    :param calls: calls in any order
    :param profile: the bundle's profile
    :param limits: fleet-wide limits by customer
    :param drain_ms: time after the last call's deadline until the run ends
    :param random_state: seed of the load balancer and of every policy
    """

    name: str
    calls: tuple[Call, ...]
    shape: FleetShape = FleetShape()
    faults: tuple[Fault, ...] = ()
    profile: str = "short_requests"
    weights: Weights = Weights()
    limits: tuple[tuple[str, CustomerLimits], ...] = ()
    drain_ms: float = 1_000.0
    random_state: int = 1

    def build_bundle(self) -> Bundle:
        """:returns: the bundle that is in force on all VMs"""
        shape = self.shape
        zones = shape.zones
        engines = tuple(
            UpstreamSpec(
                f"engine-{index}",
                f"http://127.0.0.1:{10_000 + index}",
                availability_zone=zones[index % len(zones)],
                models=(MODEL,),
                kv_tokens=shape.kv_tokens,
                max_requests=shape.figures.n_slots if shape.figures else 0,
                figures=shape.figures,
            )
            for index in range(shape.n_engines)
        )
        services = tuple(
            UpstreamSpec(
                f"service-{index}",
                f"http://127.0.0.1:{20_000 + index}",
                kind="service",
                protocol="http",
                availability_zone=zones[index % len(zones)],
                service=SERVICE,
            )
            for index in range(shape.n_services)
        )
        return Bundle(
            version=1,
            valid_until_ms=_VALID_UNTIL_MS,
            models=(ModelSpec(MODEL, "1"),),
            customers=self._build_customers(),
            upstreams=engines + services,
            services=(ServiceSpec(SERVICE, "/desk"),),
            profile=self.profile,
            weights=self.weights,
        )

    def _build_customers(self) -> tuple[CustomerSpec, ...]:
        limits = dict(self.limits)
        weights = {call.customer: call.weight for call in self.calls}
        return tuple(
            CustomerSpec(
                name,
                key_hashes=(),
                weight=weight,
                limits=limits.get(name, CustomerLimits()),
            )
            for name, weight in sorted(weights.items())
        )


__all__ = ("MODEL", "SERVICE", "ZONES", "FleetShape", "Scenario")
