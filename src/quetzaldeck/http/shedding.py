"""Closes new connections unread while this process is short of processor time.

Load pattern: the load balancer hands most new connections to one VM for some seconds.
The VM reads all of them, each waits for its turn until its caller gives up, and none is
answered, while other VMs have next to nothing to do. A caller whose connection is
closed before a byte of it was read tries another VM at once.

A burst, or the backlog of a pause, is worked off: only connections that have waited
long, one after the other for some time, show that this process can't keep up.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any, cast

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage

from quetzaldeck.http.bounded_connection import BoundedConnection
from quetzaldeck.http.socket_wait import read_wait_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from socket import socket

    from aiohttp.web_protocol import RequestHandler
    from multidict import CIMultiDictProxy

    from quetzaldeck.clock import Clock

MAX_WAIT_MS = 500.0
"""Half of the second after which callers give up a connection that is not read. A VM
with a tenth of a core waits for 90 ms between its turns."""

INTERVAL_MS = 500.0
"""How long connections have to wait longer than that, without exception."""

MAX_UNHANDLED = 8
"""Requests of one connection that are reported as unhandled, of those not begun."""


class ConnectionShedder:
    """Decides which new connections to close.

    The method of CoDel (RFC 8289): the shortest wait over an interval tells a queue
    that stands from a burst.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._behind_since_ms = math.inf
        self._last_ms = -math.inf

    def is_surplus(self, wait_ms: float) -> bool:
        """Judge a new connection.

        :param wait_ms: how long its bytes have waited
        """
        now_ms = self._clock.now_ms()
        has_paused = now_ms - self._last_ms > INTERVAL_MS
        self._last_ms = now_ms
        if wait_ms <= MAX_WAIT_MS:
            self._behind_since_ms = math.inf
            return False
        if has_paused or math.isinf(self._behind_since_ms):
            self._behind_since_ms = now_ms
        return now_ms - self._behind_since_ms >= INTERVAL_MS


class SheddingSite(web.BaseSite):
    """Listens as ``web.TCPSite`` does, and closes surplus connections unread.

    :param on_shed: called for each connection that is closed
    :param on_unhandled: called with the head of each request that was read and never
        handled
    :param sock: socket that listens already, in place of ``host`` and ``port``
    """

    def __init__(
        self,
        runner: web.AppRunner,
        shedder: ConnectionShedder,
        on_shed: Callable[[], None],
        on_unhandled: Callable[[CIMultiDictProxy[str]], None],
        host: str,
        port: int,
        *,
        backlog: int,
        sock: socket | None = None,
    ) -> None:
        super().__init__(runner, backlog=backlog)
        self._shedder = shedder
        self._on_shed = on_shed
        self._on_unhandled = on_unhandled
        self._host = host
        self._port = port
        self._sock = sock

    @property
    def name(self) -> str:
        """:returns: the URL of the site"""
        return f"http://{self._host}:{self._port}"

    async def start(self) -> None:
        """Start to listen."""
        await super().start()
        loop = asyncio.get_running_loop()
        if self._sock is not None:
            self._server = await loop.create_server(
                self._accept, sock=self._sock, backlog=self._backlog
            )
            return
        self._server = await loop.create_server(
            self._accept,
            self._host,
            self._port,
            backlog=self._backlog,
            reuse_address=True,
        )

    def _accept(self) -> asyncio.Protocol:
        server = self._runner.server
        assert server is not None

        def build_handler() -> RequestHandler:
            # What ``web.Server`` passes to the handlers that it builds.
            return ReportingRequestHandler(
                server, self._on_unhandled, loop=server._loop, **server._kwargs
            )

        return _NewConnection(build_handler, self._shedder, self._on_shed)


class ReportingRequestHandler(BoundedConnection):
    """Reports requests that were read and never handled, as their caller had left.

    :param server: the HTTP server
    :param on_unhandled: called with the head of each such request
    """

    __slots__ = ("_on_unhandled", "_unhandled")

    def __init__(
        self,
        server: web.Server,
        on_unhandled: Callable[[CIMultiDictProxy[str]], None],
        **kwargs: Any,
    ) -> None:
        super().__init__(server, **kwargs)
        self._on_unhandled = on_unhandled
        self._unhandled: web.BaseRequest | None = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report what waits; see :meth:`asyncio.Protocol.connection_lost`."""
        if self._unhandled is not None:
            self._on_unhandled(self._unhandled.headers)
            self._unhandled = None
        for message, _ in self._messages:
            if isinstance(message, RawRequestMessage):
                self._on_unhandled(message.headers)
        self._messages.clear()
        for head in self.take_ahead(MAX_UNHANDLED):
            self._on_unhandled(head.headers)
        super().connection_lost(exc)

    def _handle_request(
        self, request: web.BaseRequest, *args: Any
    ) -> Coroutine[Any, Any, tuple[web.StreamResponse, bool]]:
        # The task of a request may be cancelled before its first step.
        self._unhandled = request
        return self._begin_request(request, *args)

    async def _begin_request(
        self, request: web.BaseRequest, *args: Any
    ) -> tuple[web.StreamResponse, bool]:
        self._unhandled = None
        return await super()._handle_request(request, *args)


class _NewConnection(asyncio.Protocol):
    """Judges one connection, and hands it to the HTTP server if it is not closed."""

    def __init__(
        self,
        build_handler: Callable[[], RequestHandler],
        shedder: ConnectionShedder,
        on_shed: Callable[[], None],
    ) -> None:
        self._build_handler = build_handler
        self._shedder = shedder
        self._on_shed = on_shed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        accepted = cast("asyncio.Transport", transport)
        if self._shedder.is_surplus(read_wait_ms(accepted)):
            self._on_shed()
            accepted.abort()
            return
        handler = self._build_handler()
        accepted.set_protocol(handler)
        handler.connection_made(transport)


__all__ = ("ConnectionShedder", "SheddingSite")
