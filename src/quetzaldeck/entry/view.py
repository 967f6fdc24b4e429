"""The routing configuration, indexed for request lookup."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from quetzaldeck.routing import (
    CallerLimits,
    KeyOwner,
    Route,
    RouteTable,
    RoutingConfiguration,
    Service,
)


class RoutingView(NamedTuple):
    """One indexed version of the configuration.

    A request uses the same view from its arrival until its first send.

    :param keys: owners by API key; ``None`` if the configuration requires no keys
    :param min_gaps_ms: by service, the shortest gap between two events that a route to
        it allows; services without such a route are missing
    """

    version: int
    routes: RouteTable
    services: Mapping[str, Service]
    keys: Mapping[str, KeyOwner] | None
    limits: CallerLimits
    min_gaps_ms: Mapping[str, float]


def build_view(configuration: RoutingConfiguration) -> RoutingView:
    """:returns: the indexed form of a configuration"""
    return RoutingView(
        configuration.version,
        RouteTable(configuration.routes),
        configuration.services,
        configuration.keys,
        configuration.limits,
        _find_min_gaps_ms(configuration.routes),
    )


def _find_min_gaps_ms(routes: Iterable[Route]) -> dict[str, float]:
    gaps_ms: dict[str, float] = {}
    for route in routes:
        if not route.max_gap_ms:
            continue
        for target in route.targets:
            known_ms = gaps_ms.get(target.service, route.max_gap_ms)
            gaps_ms[target.service] = min(known_ms, route.max_gap_ms)
    return gaps_ms


__all__ = ("RoutingView", "build_view")
