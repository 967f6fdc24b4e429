"""The task that releases engine memory whose owner is gone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from quetzaldeck.bundle import Bundle
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.membership import Member, MembershipView, choose_owner
from quetzaldeck.peers import PeerError
from quetzaldeck.reclaim import (
    OwnerRegistry,
    OwnerState,
    Reclaimer,
    Release,
    confirm_releases,
)
from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import (
    EngineUpstream,
    Owner,
    RunningSequence,
    UpstreamError,
    UpstreamTimeouts,
    engine_protocols,
)

if TYPE_CHECKING:
    import aiohttp

    from quetzaldeck.bundle import UpstreamSpec
    from quetzaldeck.clock import Clock
    from quetzaldeck.peers import PeerChannel, PeerIdentity
    from quetzaldeck.reclaim import ReclaimSettings
    from quetzaldeck.telemetry import AgentMetrics

OWNER_KIND = "owner"
OWNER_TIMEOUT_MS = 1_000.0


class OwnerQuery(NamedTuple):
    """Asks an agent for the state of one incarnation of its VM's gateway."""

    incarnation: str


class OwnerAnswer(NamedTuple):
    """The state that the agent confirms."""

    state: OwnerState


class ReclaimSources(NamedTuple):
    """Functions that return the state on which the task decides."""

    read_view: Callable[[], MembershipView]
    read_bundle: Callable[[], Bundle | None]
    find_member: Callable[[str], Member | None]


_QUERY_DECODER = JsonDecoder(OwnerQuery)
_ANSWER_DECODER = JsonDecoder(OwnerAnswer)


class ReclaimTask:
    """Scans the engines assigned to this VM, and answers queries of peers.

    :param owners: knows the incarnations of this VM's own gateway
    """

    def __init__(
        self,
        channel: PeerChannel,
        session: aiohttp.ClientSession,
        clock: Clock,
        settings: ReclaimSettings,
        sources: ReclaimSources,
        owners: OwnerRegistry,
        metrics: AgentMetrics,
    ) -> None:
        self._channel = channel
        self._session = session
        self._settings = settings
        self._sources = sources
        self._owners = owners
        self._metrics = metrics
        self._reclaimer = Reclaimer(clock, settings)
        channel.register(OWNER_KIND, self._answer_query)

    async def run(self) -> None:
        """Scan until cancelled."""
        while True:
            await asyncio.sleep(self._settings.interval_ms / 1_000)
            for spec in self._list_engines():
                try:
                    await self._scan(spec)
                except UpstreamError as error:
                    log_event("reclaim_failed", level="DEBUG", error=error)

    def _list_engines(self) -> list[UpstreamSpec]:
        """:returns: the engines that are currently assigned to this VM"""
        bundle = self._sources.read_bundle()
        view = self._sources.read_view()
        vms = {view.vm, *(member.vm for member in view.list_live())}
        if bundle is None:
            return []
        return [
            spec
            for spec in bundle.upstreams
            if spec.kind == "engine" and choose_owner(spec.name, vms) == view.vm
        ]

    async def _scan(self, spec: UpstreamSpec) -> None:
        engine = self._open(spec)
        allocations = await engine.list_sequences()
        for owner in self._reclaimer.list_owners_to_query(allocations):
            self._reclaimer.note_owner_state(owner, await self._query_state(owner))
        releases = self._reclaimer.list_releases(allocations)
        if releases:
            current = await engine.list_sequences()
            for release in confirm_releases(releases, current):
                await self._release(engine, spec.name, release)

    async def _release(
        self, engine: EngineUpstream, name: str, release: Release
    ) -> None:
        allocation: RunningSequence = release.allocation
        await engine.cancel(allocation.attempt_id)
        self._metrics.reclaimed.labels(release.why).inc()
        self._metrics.reclaimed_tokens.inc(allocation.n_kv_tokens)
        log_event(
            "reclaimed",
            level="WARNING",
            engine=name,
            id=allocation.attempt_id,
            vm=allocation.owner.vm,
            incarnation=allocation.owner.incarnation,
            n_tokens=allocation.n_kv_tokens,
            why=release.why,
        )

    async def _query_state(self, owner: Owner) -> OwnerState:
        """:returns: the state that the agent on the owner's VM confirms"""
        if owner.vm == self._sources.read_view().vm:
            return self._owners.find_state(owner.incarnation)
        member = self._sources.find_member(owner.vm)
        if member is None or not member.address:
            return OwnerState.UNKNOWN
        query = msgspec.json.encode(OwnerQuery(owner.incarnation))
        try:
            _, answer = await self._channel.ask(
                owner.vm, member.address, OWNER_KIND, query, OWNER_TIMEOUT_MS
            )
            return _ANSWER_DECODER.decode(answer).state
        except (PeerError, msgspec.DecodeError):
            return OwnerState.UNKNOWN

    async def _answer_query(self, sender: PeerIdentity, body: bytes) -> bytes:
        query = _QUERY_DECODER.decode(body)
        state = self._owners.find_state(query.incarnation)
        return msgspec.json.encode(OwnerAnswer(state))

    def _open(self, spec: UpstreamSpec) -> EngineUpstream:
        adapter = engine_protocols.get(spec.protocol)
        return adapter(spec, self._session, UpstreamTimeouts())


__all__ = ("ReclaimSources", "ReclaimTask")
