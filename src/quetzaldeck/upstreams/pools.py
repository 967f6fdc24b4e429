"""Connection pools, one per upstream, replaced when a connection stops responding."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.http.echoed_calls import EchoedConnector, IdentifiedRequest
from quetzaldeck.running_timeout import RunningTimeout

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from types import TracebackType

    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ClientRequest
    from aiohttp.tracing import Trace

KEEPALIVE_TIMEOUT_S = 15.0
"""Idle time after which a connection is closed; it is unlikely to be used again."""


class PoolConnector(EchoedConnector):
    """Opens connections; stalls of this process do not count as connect time."""

    async def _create_connection(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        """Open a connection; see the base class.

        :raises TimeoutError: if the upstream does not accept it in time
        """
        if timeout.sock_connect is None:
            return await super()._create_connection(req, traces, timeout)
        unbounded = aiohttp.ClientTimeout(total=None, sock_connect=None)
        async with RunningTimeout(timeout.sock_connect * MS_PER_SECOND):
            return await super()._create_connection(req, traces, unbounded)


class ConnectionPool:
    """Connections to one upstream.

    :param generation: number of this pool; 1 for the first pool of the upstream
    """

    def __init__(self, generation: int) -> None:
        connector = PoolConnector(limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT_S)
        self.session = aiohttp.ClientSession(
            connector=connector,
            request_class=IdentifiedRequest,
            auto_decompress=False,
        )
        self.generation = generation
        self.n_users = 0
        self.n_silent = 0
        """Calls that have received nothing for long."""
        self.is_replaced = False

    async def close_if_unused(self) -> None:
        """Close a replaced pool as soon as no request uses it."""
        if self.is_replaced and not self.n_users:
            await self.session.close()


class CallSilence:
    """Tells a pool while one of its calls receives nothing; a context manager.

    If the event loop is late, bytes that have arrived may be read only after the timer
    has fired. That ends the silence at once.

    :param idle_ms: time without a byte after which the call counts as silent
    """

    def __init__(self, pool: ConnectionPool, idle_ms: float) -> None:
        self._pool = pool
        self._idle_s = idle_ms / MS_PER_SECOND
        self._timer: asyncio.TimerHandle | None = None
        self._is_silent = False

    @property
    def is_silent(self) -> bool:
        """:returns: whether the call has received nothing for long"""
        return self._is_silent

    def __enter__(self) -> CallSilence:
        self._start_timer()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._end()

    def note_heard(self) -> None:
        """Record that the call has received something."""
        self._end()
        self._start_timer()

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._idle_s, self._begin)

    def _begin(self) -> None:
        self._is_silent = True
        self._pool.n_silent += 1

    def _end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._is_silent:
            self._is_silent = False
            self._pool.n_silent -= 1


class ConnectionPools:
    """Connection pools by upstream.

    A network device on the path, such as a firewall, can lose its state of all
    connections to an upstream at once. They then stay open without passing data, and an
    idle connection of the pool looks usable: each request that takes one waits for its
    idle timeout. So one read that times out replaces the whole pool: new requests get
    new connections, and those that still run on old ones end by their own timeouts.

    Plain services send no heartbeats, so a call that receives nothing may just be slow.
    Its pool is replaced once another call needs a connection meanwhile, or once it ends
    without having received anything more.
    """

    def __init__(self) -> None:
        self._pools: dict[str, ConnectionPool] = {}
        self._replaced: set[ConnectionPool] = set()

    async def __aenter__(self) -> ConnectionPools:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for pool in (*self._pools.values(), *self._replaced):
            await pool.session.close()

    def get(self, upstream: str) -> ConnectionPool:
        """:returns: the pool for new requests to an upstream"""
        pool = self._pools.get(upstream)
        if pool is None:
            pool = self._pools[upstream] = ConnectionPool(1)
        return pool

    @asynccontextmanager
    async def use(self, upstream: str) -> AsyncIterator[ConnectionPool]:
        """Keep a pool open for one request, even if it is replaced meanwhile."""
        pool = self.get(upstream)
        pool.n_users += 1
        try:
            yield pool
        finally:
            pool.n_users -= 1
            await pool.close_if_unused()
            if pool.is_replaced and not pool.n_users:
                self._replaced.discard(pool)

    def replace(self, upstream: str, pool: ConnectionPool) -> bool:
        """Replace a pool on which a read timed out.

        :returns: whether it was replaced; a pool is replaced once, even if reads time
            out on several of its connections
        """
        if self._pools.get(upstream) is not pool:
            return False
        pool.is_replaced = True
        self._replaced.add(pool)
        self._pools[upstream] = ConnectionPool(pool.generation + 1)
        return True


__all__ = ("CallSilence", "ConnectionPool", "ConnectionPools")
