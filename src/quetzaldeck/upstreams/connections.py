"""Adapters for the upstreams of the bundle, with one connection pool per upstream."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.upstreams.api import (
    EngineUpstream,
    ServiceUpstream,
    UpstreamTimeouts,
    engine_protocols,
    ignore_said,
    service_protocols,
)
from quetzaldeck.upstreams.errors import UpstreamError
from quetzaldeck.upstreams.pools import CallSilence, ConnectionPools

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable
    from types import TracebackType

    from quetzaldeck.bundle.document import UpstreamSpec
    from quetzaldeck.upstreams.api import Upstream
    from quetzaldeck.upstreams.http import Said
    from quetzaldeck.upstreams.pools import ConnectionPool


class Connections:
    """Provides adapters; replaces the pool of an upstream that stopped responding.

    :param timeouts: timeouts of requests to an upstream
    :param on_replaced: called with the name of an upstream whose pool was replaced
    :param on_said: called with the name of an upstream that rests or leaves
    """

    def __init__(
        self,
        timeouts: UpstreamTimeouts,
        on_replaced: Callable[[str], None],
        on_said: Callable[[str, Said], None] = ignore_said,
    ) -> None:
        self._timeouts = timeouts
        self._on_said = on_said
        self._on_replaced = on_replaced
        self._pools = ConnectionPools()
        self._specs: dict[str, UpstreamSpec] = {}

    async def __aenter__(self) -> Connections:
        await self._pools.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._pools.__aexit__(exc_type, exc, traceback)

    def apply_specs(self, specs: Iterable[UpstreamSpec]) -> None:
        """Add a bundle's upstreams; removed ones stay usable for running requests."""
        self._specs.update({spec.name: spec for spec in specs})

    @asynccontextmanager
    async def use_engine(self, name: str) -> AsyncIterator[EngineUpstream]:
        """Use an engine's adapter for one call.

        The engine may be missing from a newer bundle: running requests still use it.
        """
        spec = self._specs[name]
        adapter = engine_protocols.get(spec.protocol)
        async with self._use(name) as pool:
            yield adapter(spec, pool.session, self._timeouts, self._on_said)

    @asynccontextmanager
    async def use_service(self, name: str) -> AsyncIterator[ServiceUpstream]:
        """Use the adapter of a replica of a plain service for one call.

        While it is silent, other calls get new connections.
        """
        spec = self._specs[name]
        adapter = service_protocols.get(spec.protocol)
        async with self._use(name) as pool:
            with CallSilence(pool, self._timeouts.idle_ms) as silence:
                try:
                    yield adapter(
                        spec,
                        pool.session,
                        self._timeouts,
                        self._on_said,
                        silence.note_heard,
                    )
                finally:
                    if silence.is_silent:
                        self._replace(name, pool)

    def note_silent(self, upstream: Upstream) -> None:
        """Replace the pool of an adapter, on which a call receives nothing.

        The call may go on, but others get new connections.
        """
        pool = self._pools.get(upstream.name)
        if pool.session is upstream.session:
            self._replace(upstream.name, pool)

    def _replace(self, name: str, pool: ConnectionPool) -> None:
        if self._pools.replace(name, pool):
            self._on_replaced(name)

    @asynccontextmanager
    async def _use(self, name: str) -> AsyncIterator[ConnectionPool]:
        pool = self._pools.get(name)
        if pool.n_silent:
            self._replace(name, pool)
        async with self._pools.use(name) as pool:
            try:
                yield pool
            except UpstreamError as error:
                if error.fault is AttemptFault.SILENT:
                    self._replace(name, pool)
                raise


__all__ = ("Connections",)
