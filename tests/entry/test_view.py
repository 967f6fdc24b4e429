"""Tests of what is derived from the routes of a configuration."""

from __future__ import annotations

from quetzaldeck.entry.view import build_view
from quetzaldeck.routing import RequestKind, Route, RoutingConfiguration
from quetzaldeck.routing.route import WeightedService


def make_route(name: str, max_gap_ms: float, *services: str) -> Route:
    targets = tuple(WeightedService(service, 1.0) for service in services)
    kind = RequestKind.STREAMING
    return Route(
        name, "h", f"/{name}/", kind, 1e4, 300.0, 1, targets, max_gap_ms=max_gap_ms
    )


def test_shortest_gap_of_all_routes_that_lead_to_a_service() -> None:
    routes = (
        make_route("long", 600.0, "planner"),
        make_route("short", 250.0, "planner", "other"),
        make_route("plain", 0.0, "desk"),
    )
    view = build_view(RoutingConfiguration(1, routes, {}))
    assert view.min_gaps_ms == {"planner": 250.0, "other": 250.0}
