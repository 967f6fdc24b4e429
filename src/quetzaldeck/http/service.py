"""Base of every program's HTTP side."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING, Any

import aiomisc
from aiohttp import web

if TYPE_CHECKING:
    from aiohttp.web_protocol import RequestHandler

    from quetzaldeck.http.address import ListenAddress

MAX_HEADER_BYTES = 16_384
"""Longest line or header of a request; twice what servers usually allow."""
KEEP_ALIVE_S = 75.0
"""For an idle connection of a caller; longer than balancers usually keep theirs."""
SHUTDOWN_TIMEOUT_S = 1.0
"""For connections to end after the last request."""


class HttpServiceBase(aiomisc.Service):
    """Owns one listening socket.

    A subclass builds its application and starts its tasks in :meth:`open`, ends
    them in :meth:`close`.
    """

    shutdown_timeout_s = SHUTDOWN_TIMEOUT_S
    """For connections to close once nothing is in progress."""

    _runner: web.AppRunner | None = None
    _site: web.TCPSite | None = None
    _port = 0

    def __init__(self, listen: ListenAddress, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._listen = listen

    @property
    def port(self) -> int:
        """:returns: the port it listens on, also if the settings said 0

        :raises RuntimeError: if it does not listen yet
        """
        if not self._port:
            msg = "the service does not listen yet; start it first"
            raise RuntimeError(msg)
        return self._port

    @property
    def address(self) -> str:
        """:returns: base URL of the service"""
        return f"http://{self._listen.host}:{self.port}"

    @property
    def connections(self) -> list[RequestHandler]:
        """:returns: the connections that are open"""
        server = None if self._runner is None else self._runner.server
        return [] if server is None else server.connections

    @abstractmethod
    async def open(self) -> web.Application:
        """Start tasks and build the application."""

    @abstractmethod
    async def close(self) -> None:
        """End the tasks; the socket is closed already."""

    async def drain(self) -> int:
        """Finish what is in progress before a stop.

        :returns: number of requests that were cut off
        """
        return 0

    def abort_drain(self) -> None:
        """Let :meth:`drain` wait no longer."""

    async def start(self) -> None:
        """Open and listen."""
        application = await self.open()
        self._runner = web.AppRunner(
            application,
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
        """Listen; after :meth:`stop_listening`, on the same port as before."""
        assert self._runner is not None
        port = self._port or self._listen.port
        self._site = web.TCPSite(
            self._runner, self._listen.host, port, reuse_address=True
        )
        await self._site.start()
        self._port = int(self._runner.addresses[0][1])

    async def stop_listening(self) -> None:
        """Refuse new connections; those that are open stay open."""
        if self._site is not None:
            site, self._site = self._site, None
            await site.stop()

    async def stop(self, exception: BaseException | None = None) -> None:
        """Stop listening, then close."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self.close()


__all__ = ("MAX_HEADER_BYTES", "HttpServiceBase")
