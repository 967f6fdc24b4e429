"""The routing configuration, indexed for request lookup."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from quetzaldeck.routing import (
    CallerLimits,
    KeyOwner,
    RouteTable,
    RoutingConfiguration,
    Service,
)


class RoutingView(NamedTuple):
    """One indexed version of the configuration.

    A request uses the same view from its arrival until its first send.

    :param keys: owners by API key; ``None`` if the configuration requires no keys
    """

    version: int
    routes: RouteTable
    services: Mapping[str, Service]
    keys: Mapping[str, KeyOwner] | None
    limits: CallerLimits


def build_view(configuration: RoutingConfiguration) -> RoutingView:
    """:returns: the indexed form of a configuration"""
    return RoutingView(
        configuration.version,
        RouteTable(configuration.routes),
        configuration.services,
        configuration.keys,
        configuration.limits,
    )


__all__ = ("RoutingView", "build_view")
