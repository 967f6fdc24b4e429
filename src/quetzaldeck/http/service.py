"""Base class of the HTTP services of all programs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from http import HTTPStatus
from socket import SO_RCVBUF, SOL_SOCKET
from typing import TYPE_CHECKING, Self

from aiohttp import web

from quetzaldeck.early_listener import MAX_QUEUED_CONNECTIONS
from quetzaldeck.http.bounded_server import BoundedRunner
from quetzaldeck.http.open_connections import OpenConnections
from quetzaldeck.http.request_limits import (
    MAX_BODY_BYTES,
    RECEIVE_BYTES,
    Bound,
    RequestLimits,
    ServerHooks,
)
from quetzaldeck.http.shedding import SheddingSite
from quetzaldeck.telemetry.repeated_event import RepeatedEvent

if TYPE_CHECKING:
    from socket import socket
    from types import TracebackType

    from aiohttp.web_protocol import RequestHandler
    from multidict import CIMultiDictProxy

    from quetzaldeck.http.address import ListenAddress
    from quetzaldeck.http.shedding import ConnectionShedder

SHORT_SHUTDOWN_TIMEOUT_S = 0.1
"""For services whose clients go elsewhere as soon as a connection is closed."""

CALLERS_SHARE = 0.9
"""Share of the memory for requests in progress that those of callers may take, so that
readiness checks and other VMs are answered meanwhile."""

BACKLOG_SHARE = 0.5
OTHER_BACKLOG_RATIO = 0.125
"""Connections that may wait to be accepted, for each that may be open, and for each of
the callers' address. They are accepted before others can be closed for them."""

SHUTDOWN_TIMEOUT_S = 1.0
"""Default of ``HttpServiceBase.shutdown_timeout_s``."""


class HttpServiceBase(ABC):
    """Owns one listening socket and serves an application on it.

    As a context manager it serves while the context is open. A subclass builds its
    application and starts its tasks in :meth:`open`, and ends the tasks in
    :meth:`close`.

    :param listen: address and port to listen on
    :param listener: socket that is open already; it belongs to the service from then on
    :param open_connections: those of the whole process; ``None``: without limits
    """

    shutdown_timeout_s = SHUTDOWN_TIMEOUT_S
    """Time for connections to close after the last request has ended."""

    shedder: ConnectionShedder | None = None
    """Decides which new connections to close unread; ``None``: none are."""

    max_body_bytes = MAX_BODY_BYTES
    """Limit on the body of a request."""

    serves_callers = False
    """Whether it serves requests of callers, which leave memory for other requests."""

    weight = 1.0
    """Its part of the connections of the process, relative to its other services."""

    _runner: web.AppRunner | None = None
    _site: web.BaseSite | None = None
    _port = 0

    def __init__(
        self,
        listen: ListenAddress,
        *,
        listener: socket | None = None,
        open_connections: OpenConnections | None = None,
    ) -> None:
        self._listen = listen
        self._listener = listener
        self.open_connections = open_connections or OpenConnections()
        self._over_bound = RepeatedEvent("request_over_bound")

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.stop(exc)

    @property
    def port(self) -> int:
        """:returns: the port it listens on, also if it was configured as 0

        :raises RuntimeError: if it is not listening yet
        """
        if not self._port:
            msg = "the service is not listening yet; start it first"
            raise RuntimeError(msg)
        return self._port

    @property
    def address(self) -> str:
        """:returns: the base URL of the service"""
        return f"http://{self._listen.host}:{self.port}"

    @property
    def connections(self) -> list[RequestHandler]:
        """:returns: the open connections"""
        server = None if self._runner is None else self._runner.server
        return [] if server is None else server.connections

    @abstractmethod
    async def open(self) -> web.Application:
        """Start the tasks and build the application."""

    @abstractmethod
    async def close(self) -> None:
        """End the tasks; called after the socket has been closed."""

    def read_request_limits(self) -> RequestLimits:
        """:returns: limits on requests; more closes their connection"""
        return RequestLimits(self.max_body_bytes)

    async def drain(self) -> int:
        """Wait for requests in progress before a stop.

        :returns: number of requests that were aborted
        """
        return 0

    def abort_drain(self) -> None:  # noqa: B027 - most services have no drain
        """End a running :meth:`drain` at once: do not wait for requests in progress."""

    def note_shed(self) -> None:  # noqa: B027 - most services close no connections
        """Record that a new connection was closed unread."""

    def note_unhandled(  # noqa: B027 - most services do not record requests
        self, headers: CIMultiDictProxy[str]
    ) -> None:
        """Record that a request was read and never handled, as its caller had left."""

    def refuse(self, headers: CIMultiDictProxy[str]) -> web.StreamResponse:
        """:returns: the response to a request for which there is no memory"""
        response = web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        response.force_close()
        return response

    async def start(self) -> None:
        """Open the application and listen."""
        application = await self.open()
        hooks = ServerHooks(
            self.read_request_limits,
            self._note_over_bound,
            self.refuse,
            CALLERS_SHARE if self.serves_callers else 1.0,
        )
        self._runner = BoundedRunner(
            application,
            hooks,
            self.open_connections.open_group(self.weight),
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            shutdown_timeout=self.shutdown_timeout_s,
        )
        await self._runner.setup()
        await self.listen()

    async def listen(self) -> None:
        """Start to listen; after :meth:`stop_listening`, on the same port as before."""
        assert self._runner is not None
        listener, self._listener = self._listener, None
        backlog = self._read_backlog()
        if self.shedder is not None:
            self._site = SheddingSite(
                self._runner,
                self.shedder,
                self.note_shed,
                self.note_unhandled,
                self._listen.host,
                self._port or self._listen.port,
                backlog=backlog,
                sock=listener,
            )
        elif listener is not None:
            self._site = web.SockSite(self._runner, listener, backlog=backlog)
        else:
            port = self._port or self._listen.port
            self._site = web.TCPSite(
                self._runner,
                self._listen.host,
                port,
                backlog=backlog,
                reuse_address=True,
            )
        await self._site.start()
        self._limit_receive_buffers()
        self._port = int(self._runner.addresses[0][1])

    def _limit_receive_buffers(self) -> None:
        """Let the kernel hold little of what is not read; connections inherit it."""
        server = getattr(self._site, "_server", None)
        if self.open_connections.limits is None or server is None:
            return
        for sock in server.sockets:
            sock.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BYTES)

    def _read_backlog(self) -> int:
        """:returns: connections that may wait to be accepted, all of them at once"""
        limits = self.open_connections.limits
        if limits is None:
            return MAX_QUEUED_CONNECTIONS
        n_waiting = round(limits.max_connections * BACKLOG_SHARE)
        if not self.serves_callers:
            n_waiting = round(n_waiting * OTHER_BACKLOG_RATIO)
        return max(1, min(n_waiting, MAX_QUEUED_CONNECTIONS))

    def _note_over_bound(self, bound: Bound, limit: float, seen: float) -> None:
        """Log and count a connection that is closed for a bound."""
        address = f"{self._listen.host}:{self._port}"
        self._over_bound.note(bound.value, bound=limit, seen=seen, address=address)
        if self.open_connections.on_over_bound is not None:
            self.open_connections.on_over_bound(bound.value)

    async def stop_listening(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self._site is not None:
            site, self._site = self._site, None
            await site.stop()

    async def stop(self, exception: BaseException | None = None) -> None:
        """Stop listening, close all connections, then call :meth:`close`."""
        if self._runner is not None:
            await self._runner.cleanup()
        self._over_bound.flush()
        await self.close()


__all__ = ("SHORT_SHUTDOWN_TIMEOUT_S", "HttpServiceBase")
