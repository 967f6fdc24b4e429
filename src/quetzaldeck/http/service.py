"""Base class of the HTTP services of all programs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Self

from aiohttp import web

from quetzaldeck.early_listener import MAX_QUEUED_CONNECTIONS
from quetzaldeck.http.bounded_server import (
    MAX_BODY_BYTES,
    Bound,
    BoundedRunner,
    RequestLimits,
)
from quetzaldeck.http.shedding import SheddingSite

if TYPE_CHECKING:
    from socket import socket
    from types import TracebackType

    from aiohttp.web_protocol import RequestHandler
    from multidict import CIMultiDictProxy

    from quetzaldeck.http.address import ListenAddress
    from quetzaldeck.http.shedding import ConnectionShedder

MAX_HEADER_BYTES = 16_384
"""Maximum length of a request line or header; twice the usual limit of servers."""
KEEP_ALIVE_S = 75.0
"""Time for which an idle connection of a caller is kept open; longer than load
balancers usually keep theirs."""
SHORT_SHUTDOWN_TIMEOUT_S = 0.1
"""For services whose clients go elsewhere as soon as a connection is closed."""

SHUTDOWN_TIMEOUT_S = 1.0
"""Default of ``HttpServiceBase.shutdown_timeout_s``."""


class HttpServiceBase(ABC):
    """Owns one listening socket and serves an application on it.

    As a context manager it serves while the context is open. A subclass builds its
    application and starts its tasks in :meth:`open`, and ends the tasks in
    :meth:`close`.

    :param listen: address and port to listen on
    :param listener: socket that is open already; it belongs to the service from then on
    """

    shutdown_timeout_s = SHUTDOWN_TIMEOUT_S
    """Time for connections to close after the last request has ended."""

    shedder: ConnectionShedder | None = None
    """Decides which new connections to close unread; ``None``: none are."""

    max_body_bytes = MAX_BODY_BYTES
    """Limit on the body of a request."""

    _runner: web.AppRunner | None = None
    _site: web.BaseSite | None = None
    _port = 0

    def __init__(
        self, listen: ListenAddress, *, listener: socket | None = None
    ) -> None:
        self._listen = listen
        self._listener = listener

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

    def note_over_bound(self, bound: Bound) -> None:  # noqa: B027 - it is logged already
        """Record that a connection was closed whose request exceeds a bound."""

    async def start(self) -> None:
        """Open the application and listen."""
        application = await self.open()
        self._runner = BoundedRunner(
            application,
            self.read_request_limits,
            self.note_over_bound,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEP_ALIVE_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            shutdown_timeout=self.shutdown_timeout_s,
        )
        await self._runner.setup()
        await self.listen()

    async def listen(self) -> None:
        """Start to listen; after :meth:`stop_listening`, on the same port as before."""
        assert self._runner is not None
        listener, self._listener = self._listener, None
        if self.shedder is not None:
            self._site = SheddingSite(
                self._runner,
                self.shedder,
                self.note_shed,
                self.note_unhandled,
                self._listen.host,
                self._port or self._listen.port,
                backlog=MAX_QUEUED_CONNECTIONS,
                sock=listener,
            )
        elif listener is not None:
            self._site = web.SockSite(
                self._runner, listener, backlog=MAX_QUEUED_CONNECTIONS
            )
        else:
            port = self._port or self._listen.port
            self._site = web.TCPSite(
                self._runner,
                self._listen.host,
                port,
                backlog=MAX_QUEUED_CONNECTIONS,
                reuse_address=True,
            )
        await self._site.start()
        self._port = int(self._runner.addresses[0][1])

    async def stop_listening(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self._site is not None:
            site, self._site = self._site, None
            await site.stop()

    async def stop(self, exception: BaseException | None = None) -> None:
        """Stop listening, close all connections, then call :meth:`close`."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self.close()


__all__ = ("MAX_HEADER_BYTES", "SHORT_SHUTDOWN_TIMEOUT_S", "HttpServiceBase")
