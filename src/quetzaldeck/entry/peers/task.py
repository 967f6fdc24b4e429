"""The task that owns the socket to the other VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from quetzaldeck.decisions.load_changes import LoadChanges, max_send_delay_ms
from quetzaldeck.decisions.poison import CrashSighting
from quetzaldeck.entry.peers.messages import (
    CrashNews,
    PeerMessage,
    build_load_news,
    decode_message,
    encode_message,
    read_load_news,
)
from quetzaldeck.entry.peers.node import PeerNode
from quetzaldeck.gateway.messages import (
    ObserveCrashes,
    ObservePaces,
    ObservePeerLoad,
)
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzaldeck.entry.peers.messages import VmNews
    from quetzaldeck.entry.peers.table import PeerTable
    from quetzaldeck.entry.state import EntryState

TICK_MS = 20.0
"""Pause between two looks at what has changed: what changes within it is told once."""

GREET_MS = 500.0
"""Pause between greetings: VMs that start together know each other within seconds."""
N_GREETED = 3
N_GREETED_CALM = 2
"""VMs that are greeted at a time; see ``PeerTable``."""

UNDECODABLE_MS = 10_000.0
"""Pause between two lines about datagrams of one peer that cannot be read."""
MAX_UNDECODABLE_PEERS = 256
"""Peers that are remembered for it; who sends them may make addresses up."""


class PeerTask(asyncio.DatagramProtocol):
    """Tells the other VMs what this one does, and takes what they tell.

    Everything told is soft: without it, decisions rest on this VM's own view.

    :param own: this VM's address
    :param vm: id of this run of this VM
    :param port: where every VM listens
    """

    def __init__(
        self, state: EntryState, table: PeerTable, *, own: str, vm: str, port: int
    ) -> None:
        self._state = state
        self._table = table
        self._vm = vm
        self._port = port
        zone = state.settings.availability_zone
        self._node = PeerNode(
            own,
            table,
            vm=vm,
            availability_zone=zone,
            capacity=state.settings.processor.capacity,
        )
        self._changes = LoadChanges()
        self._runs: dict[str, str] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due_ms = float("inf")
        self._undecodable_ms: dict[str, float] = {}
        self._metrics = state.metrics.peers

    async def run(self, host: str) -> None:
        """Listen, and tell until cancelled."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self._port)
        )
        self._transport = transport
        greeted_ms = float("-inf")
        try:
            while True:
                now_ms = self._state.clock.now_ms()
                if now_ms - greeted_ms >= GREET_MS:
                    greeted_ms = now_ms
                    self._greet(now_ms)
                self._tell(now_ms)
                self._advance()
                await asyncio.sleep(TICK_MS / 1_000)
                await self._wait()
        finally:
            if self._timer is not None:
                self._timer.cancel()
            transport.close()

    async def _wait(self) -> None:
        """Wait for news, or for the time to greet, to repeat and to tell old news."""
        wait_ms = GREET_MS
        if self._changes.has_unsent:
            wait_ms = min(wait_ms, max_send_delay_ms(len(self._table)))
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                await self._state.dispatch.wait_for_load_news()
        except TimeoutError:
            return

    def tell_paces(self, paces: Mapping[str, float]) -> None:
        """Tell all other VMs how fast some engines are."""
        self._node.tell(self._state.clock.now_ms(), paces=paces)
        self._send_outgoing()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a datagram; one that is none of ours changes nothing."""
        try:
            message = decode_message(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            self._note_undecodable(addr[0], error)
            return
        if message.vm == self._vm:
            return
        self._metrics.note_received(_kind_of(message), len(data))
        now_ms = self._state.clock.now_ms()
        self._note_peer(message, addr[0], now_ms)
        for news in self._node.receive(message, addr[0], now_ms):
            self._observe(news)
        self._send_outgoing()
        self._schedule(now_ms)

    def error_received(self, exc: Exception) -> None:
        """Note that a VM does not listen; it may come back, or will be forgotten."""
        log_event("peer_unreachable", level="DEBUG", error=repr(exc))

    def _note_undecodable(self, peer: str, error: Exception) -> None:
        """Log a datagram that is none of ours, the first of a peer in a while."""
        self._metrics.note_received("undecodable", 0)
        now_ms = self._state.clock.now_ms()
        if now_ms - self._undecodable_ms.get(peer, float("-inf")) < UNDECODABLE_MS:
            return
        if len(self._undecodable_ms) >= MAX_UNDECODABLE_PEERS:
            self._undecodable_ms.clear()
        self._undecodable_ms[peer] = now_ms
        log_event("peer_undecodable", level="WARNING", peer=peer, error=error)

    def _note_peer(self, message: PeerMessage, address: str, now_ms: float) -> None:
        n_known = len(self._table)
        zone, capacity = message.availability_zone, message.capacity
        if self._table.note_heard(address, now_ms, zone, capacity):
            n_peers = len(self._table)
            log_event("peer_found", peer=address, vm=message.vm, n_peers=n_peers)
        self._table.note_told(message.known, now_ms)
        if len(self._table) != n_known:
            self._node.note_fleet_changed()
        if self._runs.get(address) != message.vm:
            self._runs[address] = message.vm
            self._welcome(address, now_ms)

    def _observe(self, news: VmNews) -> None:
        """Hand what a VM told to the decisions."""
        dispatch = self._state.dispatch
        if news.loads:
            loads = tuple((load.upstream, read_load_news(load)) for load in news.loads)
            dispatch.send_news(ObservePeerLoad(news.vm, loads))
        if news.crashes:
            crashes = tuple(
                CrashSighting(c.fingerprint, c.upstream, c.incarnation, c.age_ms)
                for c in news.crashes
            )
            dispatch.send_news(ObserveCrashes(crashes))
        if news.paces:
            dispatch.send_news(ObservePaces(tuple(news.paces.items())))

    def _greet(self, now_ms: float) -> None:
        lost = self._table.expire(now_ms)
        for peer in lost:
            self._runs.pop(peer, None)
            log_event("peer_lost", peer=peer, n_peers=len(self._table))
        if lost:
            self._node.note_fleet_changed()
        greeting = self._build_greeting(now_ms)
        n_greeted = N_GREETED_CALM if self._table.is_calm(now_ms) else N_GREETED
        self._send(greeting, self._table.choose(n_greeted))

    def _build_greeting(self, now_ms: float) -> PeerMessage:
        settings = self._state.settings
        return PeerMessage(
            self._vm,
            settings.availability_zone,
            settings.processor.capacity,
            self._table.list_told(now_ms),
        )

    def _welcome(self, address: str, now_ms: float) -> None:
        """Tell a VM that has just started who is there and what runs here.

        It knows of nothing that the others have sent, and would place its first
        requests behind their long reads until they repeat themselves, a second later.
        Where there are relays, it learns of the loads when it joins one.
        """
        self._send(self._build_greeting(now_ms), (address,))
        shares = self._state.dispatch.list_shares()
        current = (entry for entry in shares if entry[1].says_anything)
        self._node.welcome(address, [build_load_news(*entry) for entry in current])

    def _tell(self, now_ms: float) -> None:
        shares = self._state.dispatch.list_shares()
        changed = self._changes.select_due(shares, now_ms, len(self._table))
        crashes = [
            CrashNews(*sighting)
            for sightings in self._state.dispatch.take_crash_news()
            for sighting in sightings
        ]
        if changed or crashes:
            loads = [build_load_news(upstream, share) for upstream, share in changed]
            self._node.tell(now_ms, loads=loads, crashes=crashes)

    def _advance(self) -> None:
        """Do and send what is due, and come back for what is due next."""
        now_ms = self._state.clock.now_ms()
        self._node.advance(now_ms)
        self._send_outgoing()
        self._schedule(now_ms)

    def _schedule(self, now_ms: float) -> None:
        """Come back when something is due, unless that is planned already."""
        due_ms = now_ms + self._node.wait_ms(now_ms)
        if self._timer is not None:
            if now_ms < self._due_ms <= due_ms:
                return
            self._timer.cancel()
        self._due_ms = due_ms
        loop = asyncio.get_running_loop()
        wait_s = (due_ms - now_ms) / 1_000
        self._timer = loop.call_later(wait_s, self._advance)

    def _send_outgoing(self) -> None:
        for message, addresses in self._node.take_outgoing():
            self._send(message, addresses)

    def _send(self, message: PeerMessage, addresses: tuple[str, ...]) -> None:
        if self._transport is None:
            return
        data = encode_message(message)
        for address in addresses:
            self._transport.sendto(data, (address, self._port))
        self._metrics.note_sent(_kind_of(message), len(data), len(addresses))


def _kind_of(message: PeerMessage) -> str:
    """:returns: what a message is for, in metrics"""
    if message.news:
        return "relayed" if message.reach else "news"
    if message.join:
        return "join"
    return "confirmation" if message.confirmed else "greeting"


__all__ = ("PeerTask",)
