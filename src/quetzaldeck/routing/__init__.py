"""The routing configuration that operators publish, and the replicas that serve it."""

from __future__ import annotations

from quetzaldeck.routing.caller_limits import CallerLimits
from quetzaldeck.routing.configuration import RoutingConfiguration
from quetzaldeck.routing.key_owner import KeyOwner
from quetzaldeck.routing.kind import RequestKind
from quetzaldeck.routing.replica import Replica
from quetzaldeck.routing.route import Route, WeightedService
from quetzaldeck.routing.route_table import RouteTable
from quetzaldeck.routing.service import ColdStart, Service

__all__ = (
    "CallerLimits",
    "ColdStart",
    "KeyOwner",
    "Replica",
    "RequestKind",
    "Route",
    "RouteTable",
    "RoutingConfiguration",
    "Service",
    "WeightedService",
)
