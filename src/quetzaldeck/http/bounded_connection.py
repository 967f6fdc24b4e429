"""One connection of the HTTP server, whose requests are served one after the other."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp import web

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.http.open_connections import Phase
from quetzaldeck.http.reading_connection import ReadingConnection
from quetzaldeck.http.request_limits import Bound
from quetzaldeck.http.socket_wait import wait_until_taken

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class BoundedConnection(ReadingConnection):
    """Serves each request in its turn, and waits until its answer is read."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._was_ahead = False

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Serve one request in its turn, if there is memory for it."""
        owner = self._group.owner
        keeps = False
        if self._was_ahead:
            await owner.turns.wait(self._loop)
            await self._wait_for_reader()
        if self._refusal is not None:
            request_handler = self._refuse
        try:
            response, is_reset = await super()._handle_request(
                request, start_time, request_handler
            )
            if not is_reset:
                is_reset = not await self._wait_until_read()
            if isinstance(response, web.Response):
                # aiohttp refers to the last request and response of a connection.
                response.body = None
            keeps = not is_reset and bool(response.keep_alive)
            return response, is_reset
        finally:
            owner.end_request(self)
            self._is_busy = self._expects_body = False
            # aiohttp reads the rest of a body before it closes the connection.
            self._is_last = not keeps
            self._retained_cost = self._meter.head_cost
            if not self._is_done and self._is_whole():
                self._group.move(self, Phase.IDLE)
                owner.hold_idle(self, self._retained_cost)
            if keeps:
                self._loop.call_soon(self._go_on)

    async def _refuse(self, request: web.BaseRequest) -> web.StreamResponse:
        assert self._refusal is not None
        refusal, self._refusal = self._refusal, None
        return refusal

    async def _wait_for_reader(self) -> None:
        """Wait until the answers to earlier requests of the connection are read.

        A caller that sends on without reading would keep a replica waiting with each
        answer.

        :raises ConnectionError: if they are not read in time
        """
        limit_ms = self._hooks.read_limits().unread_answer_ms
        n_left = await wait_until_taken(self.transport, limit_ms)
        if n_left:
            self._close_over(Bound.UNREAD_TIME, limit_ms, n_left)
            raise ConnectionResetError("earlier answers were not read in time")

    async def _wait_until_read(self) -> bool:
        """Wait until the kernel has all of a response.

        :returns: whether it has; if not in time, the connection is closed
        """
        transport = self.transport
        if transport is None or not transport.get_write_buffer_size():
            return transport is not None
        limit_ms = self._hooks.read_limits().unread_answer_ms
        owner = self._group.owner
        owner.hold_answer(self, transport.get_write_buffer_size())
        transport.set_write_buffer_limits(high=0)
        try:
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                await self._drain_helper()
        except TimeoutError:
            seen = transport.get_write_buffer_size()
            self._close_over(Bound.UNREAD_TIME, limit_ms, seen)
            return False
        finally:
            owner.hold_answer(self, 0)
        transport.set_write_buffer_limits()
        return True

    def _go_on(self) -> None:
        """Parse what has arrived while the last request was served."""
        if self._is_done or self.transport is None:
            return
        self._was_ahead = bool(self._ahead)
        if not self._upgraded:
            self._feed(b"")
        if self._is_done or self._holds_next():
            self._was_ahead = True
            return
        ahead, self._ahead = b"".join(self._ahead), []
        self._group.owner.hold_ahead(self, 0)
        if self._buffer_paused:
            self._resume_reading_for_buffer()
        if ahead:
            self.data_received(ahead)


__all__ = ("BoundedConnection",)
