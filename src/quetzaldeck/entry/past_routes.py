"""Routes of earlier versions of the configuration, for requests admitted by them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.entry.admission import DEFAULT_DEADLINE_MS
from quetzaldeck.routing import RouteTable

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.entry.view import RoutingView

MAX_VERSIONS = 16
"""Bounds the memory if the configuration changes several times a second."""

MAX_AGE_MS = DEFAULT_DEADLINE_MS
"""Time for which a version is kept after its end; few requests last longer."""


class _PastVersion(NamedTuple):
    routes: RouteTable
    ended_ms: float


class PastRoutes:
    """Keeps the routes of versions that were in force in this VM.

    API keys are not kept: a revoked key ends a request under any version.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._versions: dict[int, _PastVersion] = {}

    def add(self, view: RoutingView) -> None:
        """Keep the routes of a version that has just been replaced."""
        now_ms = self._clock.now_ms()
        self._versions.pop(view.version, None)
        self._versions[view.version] = _PastVersion(view.routes, now_ms)
        kept = [
            (version, past)
            for version, past in self._versions.items()
            if past.ended_ms >= now_ms - MAX_AGE_MS
        ]
        self._versions = dict(kept[-MAX_VERSIONS:])

    def find(self, version: int, arrived_ms: float) -> RouteTable | None:
        """Find the routes under which a request of another VM may continue.

        :param version: the version that admitted it there
        :param arrived_ms: when it arrived there
        :returns: the routes; ``None`` if they are not kept, or if the version had
            already been replaced here when the request arrived
        """
        past = self._versions.get(version)
        if past is None or arrived_ms >= past.ended_ms:
            return None
        return past.routes


__all__ = ("PastRoutes",)
