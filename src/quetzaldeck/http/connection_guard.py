"""Breaks connections that hold memory and do nothing for it."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from aiohttp.web_protocol import RequestHandler

    from quetzaldeck.clock import Clock

SWEEP_MS = 500.0
"""Pause between two looks at the connections; the bounds on them are seconds."""


class Stall(StrEnum):
    """Why a connection was broken."""

    NO_REQUEST = "no_request"
    SLOW_READER = "slow_reader"


class _Seen(NamedTuple):
    """What was seen of a connection, and since when nothing changed."""

    n_buffered: int
    since_ms: float


class ConnectionGuard:
    """Sweeps over the connections of a server.

    A caller that connects and never completes its first request line and headers,
    or that asks and then reads nothing, costs it nothing and holds a connection
    and an answer here for ever. Nothing fails, memory only grows. Both are bounded
    by time without progress.

    :param list_connections: gives the connections that are open
    :param request_timeout_ms: for the first request on a connection
    :param read_timeout_ms: for a reader to take some bytes
    :param on_break: is told of each connection broken
    """

    def __init__(
        self,
        list_connections: Callable[[], Iterable[RequestHandler]],
        clock: Clock,
        *,
        request_timeout_ms: float,
        read_timeout_ms: float,
        on_break: Callable[[Stall], None],
    ) -> None:
        self._list_connections = list_connections
        self._clock = clock
        self._request_timeout_ms = request_timeout_ms
        self._read_timeout_ms = read_timeout_ms
        self._on_break = on_break
        self._seen: dict[RequestHandler, _Seen] = {}
        self._with_request: set[RequestHandler] = set()

    def note_request(self, connection: RequestHandler) -> None:
        """Note that a whole request head came on a connection."""
        self._with_request.add(connection)

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_MS / 1_000)
            self.sweep()

    def sweep(self) -> None:
        """Look at each connection once and break those that stall."""
        now_ms = self._clock.now_ms()
        connections = set(self._list_connections())
        self._with_request &= connections
        self._seen = {
            connection: self._look(connection, now_ms) for connection in connections
        }

    def _look(self, connection: RequestHandler, now_ms: float) -> _Seen:
        transport = connection.transport
        n_buffered = 0 if transport is None else transport.get_write_buffer_size()
        seen = self._seen.get(connection)
        if seen is None or seen.n_buffered != n_buffered:
            return _Seen(n_buffered, now_ms)
        stall = self._judge(connection, n_buffered, now_ms - seen.since_ms)
        if stall is not None and transport is not None:
            transport.abort()
            self._on_break(stall)
        return seen

    def _judge(
        self, connection: RequestHandler, n_buffered: int, still_ms: float
    ) -> Stall | None:
        if n_buffered and still_ms >= self._read_timeout_ms:
            return Stall.SLOW_READER
        is_new = connection not in self._with_request
        if is_new and still_ms >= self._request_timeout_ms:
            return Stall.NO_REQUEST
        return None


__all__ = ("ConnectionGuard", "Stall")
