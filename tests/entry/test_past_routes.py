"""Routes of versions that were replaced, which requests of other VMs go on under."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.entry.handover_head import HandoverHead, read_handover_head
from quetzaldeck.entry.past_routes import MAX_AGE_MS, MAX_VERSIONS, PastRoutes
from quetzaldeck.entry.view import RoutingView, build_view
from quetzaldeck.routing import RoutingConfiguration

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock


def make_view(version: int) -> RoutingView:
    return build_view(RoutingConfiguration(version, (), {}))


def test_routes_serve_only_requests_that_came_before_their_end(
    clock: ManualClock,
) -> None:
    """A request that came after its route had gone is run under the old version."""
    past = PastRoutes(clock)
    view = make_view(1)
    past.add(view)
    now_ms = clock.now_ms()
    assert past.find(1, now_ms - 1.0) is view.routes
    assert past.find(1, now_ms) is None
    assert past.find(2, now_ms - 1.0) is None


def test_age_of_a_request_is_rounded_down() -> None:
    """A request that came after its route had gone seems to have come before."""
    headers = HandoverHead(1, 1, service="plans", age_ms=9.6).build_headers()
    assert read_handover_head(headers).age_ms == 9.0


def test_versions_are_kept_for_a_while_and_not_without_bound(
    clock: ManualClock,
) -> None:
    """Memory grows with each version, or with a storm of them."""
    past = PastRoutes(clock)
    for version in range(MAX_VERSIONS + 1):
        past.add(make_view(version))
    now_ms = clock.now_ms() - 1.0
    kept = [v for v in range(MAX_VERSIONS + 1) if past.find(v, now_ms) is not None]
    assert kept == list(range(1, MAX_VERSIONS + 1))
    clock.advance(MAX_AGE_MS + 1.0)
    past.add(make_view(99))
    assert past.find(MAX_VERSIONS, now_ms) is None
