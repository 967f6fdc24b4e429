"""Closes connections that make no progress."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from aiohttp.web_protocol import RequestHandler

    from quetzaldeck.clock import Clock

CHECK_INTERVAL_MS = 500.0
"""Interval between two checks of all connections; the time limits are seconds."""


class Stall(StrEnum):
    """Why a connection was closed."""

    NO_REQUEST = "no_request"
    SLOW_READER = "slow_reader"


class _Progress(NamedTuple):
    """Last progress of a connection.

    :param n_buffered: bytes in the write buffer that the caller has not read yet
    :param since_ms: time of the last change of ``n_buffered``
    """

    n_buffered: int
    since_ms: float


class ConnectionGuard:
    """Checks the connections of a server regularly and aborts those that stall.

    A caller may connect and never complete the head of its first request, or send a
    request and never read the answer. Without a limit, the connection and the answer
    stay in memory indefinitely at no cost to the caller, and memory grows without an
    error. Both cases are limited by the time without progress.

    :param list_connections: returns the open connections
    :param request_timeout_ms: time limit for the first request head on a connection
    :param read_timeout_ms: time limit for the caller to read more of a buffered answer
    :param on_abort: called with the reason for each connection that is aborted
    """

    def __init__(
        self,
        list_connections: Callable[[], Iterable[RequestHandler]],
        clock: Clock,
        *,
        request_timeout_ms: float,
        read_timeout_ms: float,
        on_abort: Callable[[Stall], None],
    ) -> None:
        self._list_connections = list_connections
        self._clock = clock
        self._request_timeout_ms = request_timeout_ms
        self._read_timeout_ms = read_timeout_ms
        self._on_abort = on_abort
        self._progress: dict[RequestHandler, _Progress] = {}
        self._with_request: set[RequestHandler] = set()

    def note_request(self, connection: RequestHandler) -> None:
        """Note that a complete request head has arrived on a connection."""
        self._with_request.add(connection)

    async def run(self) -> None:
        """Check the connections regularly until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1_000)
            self.check_connections()

    def check_connections(self) -> None:
        """Check each connection once and abort those that stall."""
        now_ms = self._clock.now_ms()
        connections = set(self._list_connections())
        self._with_request &= connections
        self._progress = {
            connection: self._check(connection, now_ms) for connection in connections
        }

    def _check(self, connection: RequestHandler, now_ms: float) -> _Progress:
        transport = connection.transport
        n_buffered = 0 if transport is None else transport.get_write_buffer_size()
        progress = self._progress.get(connection)
        if progress is None or progress.n_buffered != n_buffered:
            return _Progress(n_buffered, now_ms)
        stall = self._find_stall(connection, n_buffered, now_ms - progress.since_ms)
        if stall is not None and transport is not None:
            transport.abort()
            self._on_abort(stall)
        return progress

    def _find_stall(
        self, connection: RequestHandler, n_buffered: int, idle_ms: float
    ) -> Stall | None:
        if n_buffered and idle_ms >= self._read_timeout_ms:
            return Stall.SLOW_READER
        is_new = connection not in self._with_request
        if is_new and idle_ms >= self._request_timeout_ms:
            return Stall.NO_REQUEST
        return None


__all__ = ("ConnectionGuard", "Stall")
