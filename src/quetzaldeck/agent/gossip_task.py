"""The task that probes peers and exchanges gossip with them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from quetzaldeck.bundle.store import BundleStore
from quetzaldeck.dissemination import (
    GossipMessage,
    RecordStore,
    RelayAnswer,
    RelayRequest,
)
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.membership import Membership
from quetzaldeck.peers import PeerError
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.clock import Clock
    from quetzaldeck.membership import Member, MembershipSettings
    from quetzaldeck.peers import PeerChannel, PeerIdentity

GOSSIP_KIND = "gossip"
RELAY_KIND = "relay"
N_URGENT_PEERS = 3
N_LEAVE_PEERS = 16
N_JOIN_PEERS = 3
_GOSSIP_DECODER = JsonDecoder(GossipMessage)
_RELAY_REQUEST_DECODER = JsonDecoder(RelayRequest)
_RELAY_ANSWER_DECODER = JsonDecoder(RelayAnswer)


class GossipState(NamedTuple):
    """State that the task reads and updates; owned by the session."""

    membership: Membership
    records: RecordStore
    store: BundleStore


class GossipTask:
    """Probes one peer per interval, and sends urgent updates to a few peers at once.

    :param join_timeout_ms: how long a new agent probes at a higher rate until it has
        reached its first peers
    :param on_gossip: called with each message of a peer, after it was merged
    """

    def __init__(
        self,
        channel: PeerChannel,
        state: GossipState,
        settings: MembershipSettings,
        clock: Clock,
        *,
        join_timeout_ms: float,
        on_gossip: Callable[[GossipMessage], None],
    ) -> None:
        self._channel = channel
        self._membership = state.membership
        self._records = state.records
        self._store = state.store
        self._settings = settings
        self._clock = clock
        self._on_gossip = on_gossip
        self._join_until_ms = clock.now_ms() + join_timeout_ms
        self._is_urgent = asyncio.Event()
        self._reached: set[str] = set()
        channel.register(GOSSIP_KIND, self._answer_gossip)
        channel.register(RELAY_KIND, self._answer_relay)

    @property
    def has_joined(self) -> bool:
        """:returns: whether enough peers have answered to know the fleet's state

        Three peers are enough, or all other listed VMs if there are fewer. One is not:
        it may have just started itself.
        """
        view = self._membership.view
        if view.list_read_ms is None:
            return False
        listed = [member.vm for member in view.members if member.is_listed]
        n_others = len([vm for vm in listed if vm != view.vm])
        return len(self._reached) >= min(N_JOIN_PEERS, n_others)

    @property
    def _is_joining(self) -> bool:
        return not self.has_joined and self._clock.now_ms() < self._join_until_ms

    def send_soon(self) -> None:
        """Have gossip sent to a few peers without waiting for the next probe."""
        self._is_urgent.set()

    async def run(self) -> None:
        """Probe until cancelled."""
        interval_ms = self._settings.probe_interval_ms
        due_ms = self._clock.now_ms()
        while True:
            if self._is_urgent.is_set():
                self._is_urgent.clear()
                await self._send_to(self._membership.choose_live(N_URGENT_PEERS))
            if self._clock.now_ms() >= due_ms:
                due_ms = self._clock.now_ms() + interval_ms
                await self._probe_next()
            if self._is_joining:
                due_ms = min(due_ms, self._clock.now_ms() + interval_ms / 10)
            await self._wait(due_ms)

    async def leave(self) -> None:
        """Announce directly to peers that this VM is leaving."""
        self._membership.leave()
        await self._send_to(self._membership.choose_live(N_LEAVE_PEERS))

    async def _wait(self, due_ms: float) -> None:
        wait_s = max(0.0, due_ms - self._clock.now_ms()) / 1_000
        try:
            async with asyncio.timeout(wait_s):
                await self._is_urgent.wait()
        except TimeoutError:
            return

    async def _probe_next(self) -> None:
        self._membership.tick()
        self._records.expire()
        member = self._membership.choose_probe()
        if member is not None and not await self._exchange(member.vm, member.address):
            await self._probe_by_relays(member)

    async def _probe_by_relays(self, member: Member) -> None:
        # The network path from here may be broken rather than the VM; other VMs probe
        # it over their own paths.
        n_relays = self._settings.n_relays
        relays = self._membership.choose_live(n_relays, exclude=member.vm)
        request = RelayRequest(member.vm, member.address)
        results = await asyncio.gather(
            *(self._ask_relay(relay, request) for relay in relays)
        )
        if any(results):
            return
        self._membership.note_probe_failure(member.vm)
        self._reached.discard(member.vm)
        log_event("peer_missed", level="DEBUG", vm=member.vm, n_relays=len(relays))

    async def _ask_relay(self, relay: Member, request: RelayRequest) -> bool:
        try:
            _, answer = await self._channel.ask(
                relay.vm,
                relay.address,
                RELAY_KIND,
                msgspec.json.encode(request),
                2 * self._settings.probe_timeout_ms,
            )
            return _RELAY_ANSWER_DECODER.decode(answer).is_reached
        except (PeerError, msgspec.DecodeError):
            return False

    async def _send_to(self, members: tuple[Member, ...]) -> None:
        await asyncio.gather(
            *(self._exchange(member.vm, member.address) for member in members)
        )

    async def _exchange(self, vm: str, address: str) -> bool:
        """:returns: whether the peer answered"""
        body = msgspec.json.encode(self._build_message(vm, wants_all=False))
        try:
            identity, answer = await self._channel.ask(
                vm, address, GOSSIP_KIND, body, self._settings.probe_timeout_ms
            )
            self._merge(identity, _GOSSIP_DECODER.decode(answer))
        except (PeerError, msgspec.DecodeError) as error:
            log_event("gossip_failed", level="DEBUG", vm=vm, error=error)
            return False
        self._reached.add(vm)
        return True

    async def _answer_gossip(self, sender: PeerIdentity, body: bytes) -> bytes:
        gossip = _GOSSIP_DECODER.decode(body)
        self._merge(sender, gossip)
        answer = self._build_message(sender.vm, wants_all=gossip.wants_all)
        return msgspec.json.encode(answer)

    async def _answer_relay(self, sender: PeerIdentity, body: bytes) -> bytes:
        request = _RELAY_REQUEST_DECODER.decode(body)
        is_reached = await self._exchange(request.vm, request.address)
        return msgspec.json.encode(RelayAnswer(is_reached))

    def _build_message(self, recipient: str, *, wants_all: bool) -> GossipMessage:
        membership = self._membership
        return GossipMessage(
            membership.own_update,
            self._is_joining,
            self._store.version,
            self._store.digest,
            membership.list_updates()
            if wants_all
            else membership.take_updates(recipient),
            self._records.take_records(membership.n_known, wants_all=wants_all),
        )

    def _merge(self, sender: PeerIdentity, gossip: GossipMessage) -> None:
        if (gossip.sender.vm, gossip.sender.incarnation) != sender:
            return
        self._membership.merge((gossip.sender, *gossip.updates))
        self._membership.note_message(*sender)
        new = self._records.merge(gossip.records)
        if any(record.is_urgent for record in new):
            self.send_soon()
        self._on_gossip(gossip)


__all__ = ("GossipState", "GossipTask")
