"""Connection faults of a stand-in: pauses and silenced connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aiohttp import web
    from aiohttp.web_protocol import RequestHandler


class ConnectionFaults:
    """Delays or withholds what a stand-in sends.

    A silenced connection behaves as if a middlebox had dropped its state: it stays
    open, but nothing arrives on it any more, while new connections work.
    """

    def __init__(self) -> None:
        self._is_running = asyncio.Event()
        self._is_running.set()
        self._silenced: set[RequestHandler] = set()

    async def pause(self, duration_ms: float) -> None:
        """Send nothing for ``duration_ms``, like a stopped process."""
        self._is_running.clear()
        try:
            await asyncio.sleep(duration_ms / 1_000)
        finally:
            self._is_running.set()

    def silence(self, connections: Iterable[RequestHandler]) -> None:
        """Send nothing more on these connections."""
        self._silenced = set(connections)

    def is_silenced(self, request: web.BaseRequest) -> bool:
        """:returns: whether the connection of ``request`` is silenced"""
        return request.protocol in self._silenced

    async def wait_until_running(self) -> None:
        """Wait until the stand-in is not paused."""
        await self._is_running.wait()

    async def wait_until_sendable(self, request: web.BaseRequest) -> None:
        """Wait until data may be sent on the connection of ``request``.

        This never returns on a silenced connection; the handler is cancelled when
        the client disconnects.
        """
        await self._is_running.wait()
        if self.is_silenced(request):
            await asyncio.get_running_loop().create_future()


__all__ = ("ConnectionFaults",)
