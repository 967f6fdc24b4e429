"""The state that all request handlers of a gateway share."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions.placement import CacheCursor
from quetzaldeck.gateway.closed_upstream import build_closed_error
from quetzaldeck.gateway.customers import CustomerIndex
from quetzaldeck.gateway.detached_calls import DetachedCalls
from quetzaldeck.gateway.drain import Drain
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.in_flight import InFlightRequests
from quetzaldeck.gateway.memory_pool import MemoryPool
from quetzaldeck.gateway.messages import ApplyBundle, ObserveCache
from quetzaldeck.gateway.statement_notes import StatementNotes
from quetzaldeck.outcomes import Failure, Reason

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    import aiohttp

    from quetzaldeck.bundle import Bundle
    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.placement import CacheEvents
    from quetzaldeck.gateway.claim_end_task import ClaimEndTask
    from quetzaldeck.gateway.dispatch_task import DispatchTask
    from quetzaldeck.gateway.release_task import ReleaseTask
    from quetzaldeck.gateway.settings import GatewaySettings
    from quetzaldeck.telemetry import GatewayMetrics
    from quetzaldeck.upstreams import Owner
    from quetzaldeck.upstreams.connections import Connections
    from quetzaldeck.upstreams.http import Said


class GatewayState:
    """The bundle in force, the adapters for its upstreams, and the gateway's tasks."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        owner: Owner,
        clock: Clock,
        metrics: GatewayMetrics,
        dispatch: DispatchTask,
        connections: Connections,
        releases: ReleaseTask,
        claim_ends: ClaimEndTask,
        agent_client: aiohttp.ClientSession,
    ) -> None:
        self.settings = settings
        self.owner = owner
        self.clock = clock
        self.metrics = metrics
        self.dispatch = dispatch
        self.connections = connections
        self.releases = releases
        self.claim_ends = claim_ends
        self.agent_client = agent_client
        self.in_flight = InFlightRequests()
        limits = settings.process_limits
        self.bodies = MemoryPool(
            min(settings.callers.max_bodies_bytes, limits.max_body_bytes)
        )
        self.answers = MemoryPool(limits.max_answer_bytes, max_wait_ms=None)
        self.detached_calls = DetachedCalls(self.in_flight)
        metrics.in_flight.set_function(self.in_flight.__len__)
        self.drain = Drain(self.in_flight, settings.shutdown, metrics)
        self.last_agent_response_ms: float | None = None
        self._statement_notes = StatementNotes(dispatch, clock, metrics.upstreams)
        self._cache_cursors: dict[str, CacheCursor] = {}
        self._bundle: Bundle | None = None
        self._customers: CustomerIndex | None = None
        self._has_bundle = asyncio.Event()
        self._bundle_watchers: set[Callable[[], None]] = set()

    @property
    def bundle_version(self) -> int:
        """:returns: version of the bundle in force; 0 if there is none"""
        return 0 if self._bundle is None else self._bundle.version

    @property
    def bundle(self) -> Bundle:
        """:returns: the bundle in force

        :raises RequestError: if there is none or it has expired
        """
        if self._bundle is None:
            raise RequestError(Failure(Reason.NO_BUNDLE, retry_after_ms=1_000))
        if self.clock.wall_ms() > self._bundle.valid_until_ms:
            raise RequestError(Failure(Reason.BUNDLE_EXPIRED, retry_after_ms=5_000))
        return self._bundle

    @property
    def customers(self) -> CustomerIndex:
        """:returns: the customers of the bundle in force

        :raises RequestError: if there is no bundle in force
        """
        _ = self.bundle
        assert self._customers is not None
        return self._customers

    async def wait_for_bundle(self, timeout_ms: float) -> None:
        """Wait for the first bundle; return without one if none arrives in time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                await self._has_bundle.wait()

    @contextmanager
    def watch_bundle(self, on_change: Callable[[], None]) -> Iterator[None]:
        """Call ``on_change`` after each change of the bundle in force."""
        self._bundle_watchers.add(on_change)
        try:
            yield
        finally:
            self._bundle_watchers.discard(on_change)

    def cache_cursor(self, upstream: str) -> CacheCursor:
        """:returns: the position up to which cache events of an engine are known"""
        return self._cache_cursors.get(upstream, CacheCursor())

    def note_cache_events(self, events: CacheEvents) -> None:
        """Pass the cache events of a response to the scheduler."""
        cursor = self.cache_cursor(events.upstream)
        self._cache_cursors[events.upstream] = cursor.after(events)
        self.dispatch.send(ObserveCache(events))

    def note_said(self, upstream: str, said: Said) -> None:
        """Record what an upstream says of itself."""
        self._statement_notes.note(
            upstream,
            said.incarnation,
            rest_ms=said.rest_ms,
            is_leaving=said.is_leaving,
        )

    def check_open(self, upstream: str) -> None:
        """Check right before a send that an upstream takes something new.

        :raises UpstreamError: if it does not; nothing was sent
        """
        closure = self.dispatch.find_closure(upstream)
        if closure is not None:
            raise build_closed_error(upstream, closure)

    def apply_bundle(self, bundle: Bundle) -> None:
        """Put a newer bundle in force for new requests."""
        self._bundle = bundle
        self._customers = CustomerIndex(bundle)
        self._has_bundle.set()
        self.connections.apply_specs(bundle.upstreams)
        self.metrics.bundle_version.set(bundle.version)
        self.dispatch.send(ApplyBundle(bundle))
        for on_change in tuple(self._bundle_watchers):
            on_change()


__all__ = ("GatewayState",)
