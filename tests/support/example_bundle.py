"""The bundle used by test fleets: one customer, one model and one service."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.bundle import (
    Bundle,
    CallPattern,
    CustomerSpec,
    ModelSpec,
    ServiceSpec,
    UpstreamSpec,
)
from quetzaldeck.gateway.customers import hash_key

if TYPE_CHECKING:
    from collections.abc import Iterable

CUSTOMER = "club"
API_KEY = "fleet-customer"
MODEL = "plan-writer"
SERVICE = "member-app"
SERVICE_PREFIX = "/desk"
BOOKING_PATH = "/desk/bookings"
VALID_UNTIL_MS = 4_102_444_800_000


class FleetUpstreams(NamedTuple):
    """Stand-ins of a fleet.

    :param engines: base URL by name
    :param services: base URL of each replica by name
    :param zones: zones, assigned in turn to names ending in 1, 2, 3 ...
    :param kv_tokens: KV-cache capacity of each engine
    """

    engines: Mapping[str, str]
    services: Mapping[str, str]
    zones: Sequence[str]
    kv_tokens: int


def zone_of(name: str, zones: Sequence[str]) -> str:
    """:returns: zone of a VM or upstream, chosen by the number in its name"""
    index = int(name.rpartition("-")[2]) - 1
    return zones[index % len(zones)]


def build_fleet_bundle(
    upstreams: FleetUpstreams, version: int = 1, *, weight_loads_per_minute: float = 0
) -> Bundle:
    """:returns: a bundle that gives one customer access to all stand-ins

    :param weight_loads_per_minute: rate limit of the weight store; 0 keeps the default
    """
    customer = CustomerSpec(
        CUSTOMER, (hash_key(API_KEY),), models=(MODEL,), services=(SERVICE,)
    )
    non_repeatable = (CallPattern("POST", "/bookings*"),)
    bundle = Bundle(
        version,
        VALID_UNTIL_MS,
        models=(ModelSpec(MODEL, "1"),),
        customers=(customer,),
        upstreams=(*_list_engines(upstreams), *_list_services(upstreams)),
        services=(ServiceSpec(SERVICE, SERVICE_PREFIX, non_repeatable),),
    )
    if weight_loads_per_minute:
        return bundle._replace(weight_loads_per_minute=weight_loads_per_minute)
    return bundle


def _list_engines(upstreams: FleetUpstreams) -> Iterable[UpstreamSpec]:
    for name, address in upstreams.engines.items():
        yield UpstreamSpec(
            name,
            address,
            availability_zone=zone_of(name, upstreams.zones),
            models=(MODEL,),
            kv_tokens=upstreams.kv_tokens,
        )


def _list_services(upstreams: FleetUpstreams) -> Iterable[UpstreamSpec]:
    for name, address in upstreams.services.items():
        yield UpstreamSpec(
            name,
            address,
            kind="service",
            protocol="http",
            service=SERVICE,
            availability_zone=zone_of(name, upstreams.zones),
        )


__all__ = (
    "API_KEY",
    "BOOKING_PATH",
    "CUSTOMER",
    "MODEL",
    "SERVICE",
    "FleetUpstreams",
    "build_fleet_bundle",
    "zone_of",
)
