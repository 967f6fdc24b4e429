"""Finds the route that applies to a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzaldeck.routing.route import Route


class RouteTable:
    """Routes by host, with a lookup whose cost does not grow with their number.

    Route prefixes end with a slash, so only path prefixes that end with one can match.
    A lookup takes at most one step per slash in the path, however many routes there
    are.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """:returns: the route with the longest prefix that ``path`` begins with

        :param host: the host as sent by the caller, optionally with a port
        :param path: the path as sent by the caller, without the query
        """
        routes = self._by_host.get(strip_port(host))
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def strip_port(host: str) -> str:
    """:returns: the host name in lower case, without the port"""
    return host.partition(":")[0].lower()


__all__ = ("RouteTable", "strip_port")
