"""The HTTP servers of an entry VM for callers, metrics and readiness checks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web

from quetzaldeck.clock import Clock
from quetzaldeck.entry.explain_endpoint import EXPLAIN_PATH, ExplainEndpoint
from quetzaldeck.entry.handler import CallHandler, refuse_request
from quetzaldeck.entry.session import EntrySession
from quetzaldeck.http import (
    SHORT_SHUTDOWN_TIMEOUT_S,
    ConnectionShedder,
    HttpServiceBase,
    OpenConnections,
    RequestLimits,
    metrics_response,
    parse_listen_address,
)
from quetzaldeck.platform import CALL_ID
from quetzaldeck.telemetry import log_event
from quetzaldeck.telemetry.repeated_event import RepeatedEvent

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

    from quetzaldeck.entry.settings import EntrySettings


CALLERS_WEIGHT = 8.0
"""Part of the connections that callers have, relative to each other address."""


class EntryService(HttpServiceBase):
    """Serves the requests of callers and owns the session behind it."""

    shutdown_timeout_s = SHORT_SHUTDOWN_TIMEOUT_S
    serves_callers = True
    weight = CALLERS_WEIGHT

    def __init__(
        self, settings: EntrySettings, *, clock: Clock | None = None, **kwargs: Any
    ) -> None:
        clock = clock or Clock()
        super().__init__(
            parse_listen_address(settings.listen.callers),
            open_connections=OpenConnections(settings.process_limits, clock),
            **kwargs,
        )
        self._session = EntrySession(settings, clock)
        self._shed = RepeatedEvent("connections_shed")
        self._session.metrics.connections.watch(self.open_connections)
        self.shedder = ConnectionShedder(clock)

    @property
    def session(self) -> EntrySession:
        """:returns: the session that serves the requests"""
        return self._session

    async def open(self) -> web.Application:
        """Start the session."""
        await self._session.__aenter__()
        application = web.Application()
        handler = CallHandler(self._session.state)
        application.router.add_route("*", "/{path:.*}", handler.handle)
        return application

    def note_shed(self) -> None:
        """Record that a new connection was closed unread; see the base class.

        Its request is recorded nowhere else.
        """
        self._session.metrics.connections_shed.inc()
        self._shed.note("")

    def note_unhandled(self, headers: CIMultiDictProxy[str]) -> None:
        """Record that a request was read and never handled, as its caller had left."""
        log_event("request_unhandled", request=headers.get(CALL_ID, ""))

    def refuse(self, headers: CIMultiDictProxy[str]) -> web.StreamResponse:
        """:returns: a response which states that the request was not run"""
        return refuse_request(self._session.state, headers)

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply settings that changed while the program runs."""
        self.open_connections.limits = settings.process_limits
        self._session.apply_settings(settings)

    def read_request_limits(self) -> RequestLimits:
        """:returns: the limits of the configuration in force; see the base class"""
        return self._session.state.request_limits

    async def drain(self) -> int:
        """Drain requests; see :class:`quetzaldeck.gateway.drain.Drain`."""
        return await self._session.state.drain.run()

    def abort_drain(self) -> None:
        """Abort the requests that are still in progress."""
        self._session.state.drain.abort()

    async def close(self) -> None:
        """End the session."""
        self._shed.flush()
        await self._session.__aexit__(None, None, None)


class MetricsService(HttpServiceBase):
    """Serves metrics and explanations of placements.

    Their address is their own, which callers need not reach.
    """

    shutdown_timeout_s = SHORT_SHUTDOWN_TIMEOUT_S

    def __init__(
        self, settings: EntrySettings, entry: EntryService, **kwargs: Any
    ) -> None:
        super().__init__(
            parse_listen_address(settings.listen.metrics),
            open_connections=entry.open_connections,
            **kwargs,
        )
        self._entry = entry

    async def open(self) -> web.Application:
        """Build the application."""
        application = web.Application()
        explain = ExplainEndpoint(lambda: self._entry.session.state)
        application.add_routes(
            [
                web.get("/metrics", self._metrics),
                web.get(EXPLAIN_PATH, explain.handle),
            ]
        )
        return application

    async def close(self) -> None:
        """Do nothing: the socket, the only resource, is closed already."""

    async def _metrics(self, request: web.Request) -> web.Response:
        return metrics_response(self._entry.session.metrics.registry)


class ReadinessService(HttpServiceBase):
    """Serves the load balancer's readiness checks.

    :param entry: the service to report on; it must be started first
    """

    shutdown_timeout_s = SHORT_SHUTDOWN_TIMEOUT_S

    def __init__(
        self, settings: EntrySettings, entry: EntryService, **kwargs: Any
    ) -> None:
        super().__init__(
            parse_listen_address(settings.listen.readiness),
            open_connections=entry.open_connections,
            **kwargs,
        )
        self._entry = entry

    async def open(self) -> web.Application:
        """Build the application."""
        application = web.Application()
        application.add_routes([web.get("/readyz", self._readyz)])
        return application

    async def close(self) -> None:
        """Do nothing: the socket, the only resource, is closed already."""

    async def _readyz(self, request: web.Request) -> web.Response:
        is_ready = self._entry.session.state.is_ready
        return web.Response(status=200 if is_ready else 503)


__all__ = ("EntryService", "MetricsService", "ReadinessService")
