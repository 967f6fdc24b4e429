"""Finding the route with the longest matching prefix."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.routing import RequestKind, Route, RouteTable, WeightedService

SEGMENTS = st.lists(st.sampled_from(["a", "b", "", "a%2Fb"]), max_size=4)


def make_route(prefix: str, host: str = "x.example") -> Route:
    targets = (WeightedService("s", 1.0),)
    return Route(
        prefix, host, prefix, RequestKind.IDEMPOTENT, 1_000.0, 100.0, 1, targets
    )


def join(segments: list[str]) -> str:
    return "/" + "".join(f"{segment}/" for segment in segments)


@given(st.lists(SEGMENTS), SEGMENTS, st.sampled_from(["", "c"]))
def test_find_returns_the_route_with_the_longest_prefix(
    prefixes: list[list[str]], path: list[str], last: str
) -> None:
    routes = [make_route(join(segments)) for segments in prefixes]
    requested = join(path) + last
    matching = [route.prefix for route in routes if requested.startswith(route.prefix)]
    found = RouteTable(routes).find("X.example:8080", requested)
    assert (found.prefix if found else "") == max(matching, key=len, default="")


def test_find_matches_the_host_before_the_path() -> None:
    table = RouteTable([make_route("/", "a.example"), make_route("/p/", "b.example")])
    assert table.find("a.example", "/p/1") == make_route("/", "a.example")
    assert table.find("b.example", "/q") is None
    assert table.find("c.example", "/p/1") is None
