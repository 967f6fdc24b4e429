"""The task that gives engines their memory back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from quetzaldeck.bundle import Bundle
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


class OwnerQuestion(NamedTuple):
    """Asks an agent about one start of its VM's gateway."""

    incarnation: str


class OwnerAnswer(NamedTuple):
    """What the agent vouches for."""

    state: OwnerState


class ReclaimSources(NamedTuple):
    """Where the task reads what it decides on."""

    read_view: Callable[[], MembershipView]
    read_bundle: Callable[[], Bundle | None]
    find_member: Callable[[str], Member | None]


_QUESTION_DECODER = msgspec.json.Decoder(OwnerQuestion)
_ANSWER_DECODER = msgspec.json.Decoder(OwnerAnswer)


class ReclaimTask:
    """Looks at the engines that this VM reclaims for; answers peers that ask.

    :param owners: vouches for this VM's own gateway
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
        channel.register(OWNER_KIND, self._answer)

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.sleep(self._settings.interval_ms / 1_000)
            for spec in self._list_engines():
                try:
                    await self._look(spec)
                except UpstreamError as error:
                    log_event("reclaim_failed", level="DEBUG", error=error)

    def _list_engines(self) -> list[UpstreamSpec]:
        """:returns: the engines that this VM reclaims for at present"""
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

    async def _look(self, spec: UpstreamSpec) -> None:
        engine = self._open(spec)
        holdings = await engine.list_sequences()
        for owner in self._reclaimer.list_owners_to_query(holdings):
            self._reclaimer.note_owner_state(owner, await self._ask(owner))
        releases = self._reclaimer.list_releases(holdings)
        if releases:
            listed_again = await engine.list_sequences()
            for release in confirm_releases(releases, listed_again):
                await self._release(engine, spec.name, release)

    async def _release(
        self, engine: EngineUpstream, name: str, release: Release
    ) -> None:
        holding: RunningSequence = release.allocation
        await engine.cancel(holding.attempt_id)
        self._metrics.reclaimed.labels(release.why).inc()
        self._metrics.reclaimed_tokens.inc(holding.n_kv_tokens)
        log_event(
            "reclaimed",
            level="WARNING",
            engine=name,
            id=holding.attempt_id,
            vm=holding.owner.vm,
            incarnation=holding.owner.incarnation,
            n_tokens=holding.n_kv_tokens,
            why=release.why,
        )

    async def _ask(self, owner: Owner) -> OwnerState:
        """:returns: what the agent on the owner's VM vouches for"""
        if owner.vm == self._sources.read_view().vm:
            return self._owners.find_state(owner.incarnation)
        member = self._sources.find_member(owner.vm)
        if member is None or not member.address:
            return OwnerState.UNKNOWN
        question = msgspec.json.encode(OwnerQuestion(owner.incarnation))
        try:
            _, answer = await self._channel.ask(
                owner.vm, member.address, OWNER_KIND, question, OWNER_TIMEOUT_MS
            )
            return _ANSWER_DECODER.decode(answer).state
        except (PeerError, msgspec.DecodeError):
            return OwnerState.UNKNOWN

    async def _answer(self, sender: PeerIdentity, body: bytes) -> bytes:
        question = _QUESTION_DECODER.decode(body)
        state = self._owners.find_state(question.incarnation)
        return msgspec.json.encode(OwnerAnswer(state))

    def _open(self, spec: UpstreamSpec) -> EngineUpstream:
        adapter = engine_protocols.get(spec.protocol)
        return adapter(spec, self._session, UpstreamTimeouts())


__all__ = ("ReclaimSources", "ReclaimTask")
