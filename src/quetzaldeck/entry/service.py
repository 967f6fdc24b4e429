"""The HTTP servers of an entry VM for callers, metrics and readiness checks."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

from aiohttp import web

from quetzaldeck.clock import Clock
from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.entry.explain_endpoint import EXPLAIN_PATH, ExplainEndpoint
from quetzaldeck.entry.handler import CallHandler
from quetzaldeck.entry.session import EntrySession
from quetzaldeck.entry.view import read_caller_limits
from quetzaldeck.http import (
    SHORT_SHUTDOWN_TIMEOUT_S,
    Bound,
    ConnectionShedder,
    HttpServiceBase,
    RequestLimits,
    metrics_response,
    parse_listen_address,
)
from quetzaldeck.platform import CALL_ID
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

    from quetzaldeck.entry.settings import EntrySettings


SHED_LOG_INTERVAL_MS = 1_000.0
"""A VM that closes connections is short of time, also for a line about each."""


class EntryService(HttpServiceBase):
    """Serves the requests of callers and owns the session behind it."""

    shutdown_timeout_s = SHORT_SHUTDOWN_TIMEOUT_S

    def __init__(
        self, settings: EntrySettings, *, clock: Clock | None = None, **kwargs: Any
    ) -> None:
        super().__init__(parse_listen_address(settings.listen.callers), **kwargs)
        clock = clock or Clock()
        self._session = EntrySession(settings, clock)
        self._clock = clock
        self._n_shed = 0
        self._shed_logged_ms = -math.inf
        self._shed_timer: asyncio.TimerHandle | None = None
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
        """Record that a new connection was closed unread.

        Its request is recorded nowhere else. The first one is logged at once, later
        ones together.
        """
        self._session.metrics.connections_shed.inc()
        self._n_shed += 1
        now_ms = self._clock.now_ms()
        if now_ms - self._shed_logged_ms >= SHED_LOG_INTERVAL_MS:
            self._log_shed()
        elif self._shed_timer is None:
            self._shed_timer = asyncio.get_running_loop().call_later(
                SHED_LOG_INTERVAL_MS / MS_PER_SECOND, self._log_shed
            )

    def note_unhandled(self, headers: CIMultiDictProxy[str]) -> None:
        """Record that a request was read and never handled, as its caller had left."""
        log_event("request_unhandled", request=headers.get(CALL_ID, ""))

    def _log_shed(self) -> None:
        """Log the connections that were closed since the last line."""
        if self._shed_timer is not None:
            self._shed_timer.cancel()
            self._shed_timer = None
        if self._n_shed:
            log_event("connections_shed", level="WARNING", n_connections=self._n_shed)
            self._shed_logged_ms = self._clock.now_ms()
            self._n_shed = 0

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply settings that changed while the program runs."""
        self._session.apply_settings(settings)

    def read_request_limits(self) -> RequestLimits:
        """:returns: the limits of the configuration in force; see the base class"""
        return read_caller_limits(self._session.state.view)

    def note_over_bound(self, bound: Bound) -> None:
        """Count the connection that was closed; see the base class."""
        self._session.metrics.connections_broken.labels(bound.value).inc()

    async def drain(self) -> int:
        """Drain requests; see :class:`quetzaldeck.gateway.drain.Drain`."""
        return await self._session.state.drain.run()

    def abort_drain(self) -> None:
        """Abort the requests that are still in progress."""
        self._session.state.drain.abort()

    async def close(self) -> None:
        """End the session."""
        self._log_shed()
        await self._session.__aexit__(None, None, None)


class MetricsService(HttpServiceBase):
    """Serves metrics and explanations of placements.

    Their address is their own, which callers need not reach.
    """

    shutdown_timeout_s = SHORT_SHUTDOWN_TIMEOUT_S

    def __init__(
        self, settings: EntrySettings, entry: EntryService, **kwargs: Any
    ) -> None:
        super().__init__(parse_listen_address(settings.listen.metrics), **kwargs)
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
        super().__init__(parse_listen_address(settings.listen.readiness), **kwargs)
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
