"""The task that owns the socket to the other VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from quetzaldeck.decisions.load_changes import LoadChanges, lazy_ms
from quetzaldeck.decisions.poison import CrashSighting
from quetzaldeck.entry.peers.messages import (
    CrashNews,
    PeerNews,
    build_load_news,
    decode_news,
    encode_news,
    read_load_news,
)
from quetzaldeck.gateway.messages import (
    ObserveCrashes,
    ObservePaces,
    ObservePeerLoad,
)
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from quetzaldeck.decisions.peer_load import UpstreamShare
    from quetzaldeck.entry.peers.table import PeerTable
    from quetzaldeck.entry.state import EntryState

TICK_MS = 20.0
"""Pause between news and telling them: what changes within it is told once."""

GREET_MS = 500.0
"""Pause between greetings: VMs that start together know each other within seconds."""
N_GREETED = 3
"""VMs that are greeted at a time; see ``PeerTable``."""

N_LOADS = 24
"""Loads in one datagram, so that it fits into one packet."""


class PeerTask(asyncio.DatagramProtocol):
    """Tells the other VMs what this one does, and takes what they tell.

    Everything told is soft: without it, decisions rest on this VM's own view.

    :param vm: id of this run of this VM
    :param port: where every VM listens
    """

    def __init__(
        self, state: EntryState, table: PeerTable, *, vm: str, port: int
    ) -> None:
        self._state = state
        self._table = table
        self._vm = vm
        self._port = port
        self._changes = LoadChanges()
        self._runs: dict[str, str] = {}
        self._transport: asyncio.DatagramTransport | None = None

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
                await self._wait()
        finally:
            transport.close()

    async def _wait(self) -> None:
        """Wait for news, or for the time to greet, to repeat and to tell old news."""
        wait_ms = GREET_MS
        if self._changes.has_untold:
            wait_ms = min(wait_ms, lazy_ms(len(self._table)))
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                await self._state.dispatch.wait_for_load_news()
        except TimeoutError:
            return
        await asyncio.sleep(TICK_MS / 1_000)

    def tell_paces(self, paces: Mapping[str, float]) -> None:
        """Tell all other VMs how fast some engines are."""
        names = sorted(paces)
        for begin in range(0, len(names), N_LOADS):
            part = {name: paces[name] for name in names[begin : begin + N_LOADS]}
            self._send_all(PeerNews(self._vm, paces=part))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a datagram; one that is none of ours changes nothing."""
        try:
            news = decode_news(data)
        except msgspec.DecodeError as error:
            log_event("peer_undecodable", level="WARNING", peer=addr[0], error=error)
            return
        now_ms = self._state.clock.now_ms()
        if news.vm == self._vm:
            return
        zone = news.availability_zone
        if self._table.note_heard(addr[0], now_ms, zone):
            log_event("peer_found", peer=addr[0], vm=news.vm, n_peers=len(self._table))
        self._table.note_told(news.known, now_ms)
        if self._runs.get(addr[0]) != news.vm:
            self._runs[addr[0]] = news.vm
            self._welcome(addr[0])
        if news.loads:
            loads = tuple((load.upstream, read_load_news(load)) for load in news.loads)
            self._state.dispatch.send_news(ObservePeerLoad(news.vm, loads))
        if news.crashes:
            crashes = tuple(
                CrashSighting(c.fingerprint, c.upstream, c.incarnation, c.age_ms)
                for c in news.crashes
            )
            self._state.dispatch.send_news(ObserveCrashes(crashes))
        if news.paces:
            self._state.dispatch.send_news(ObservePaces(tuple(news.paces.items())))

    def error_received(self, exc: Exception) -> None:
        """Note that a VM does not listen; it may come back, or will be forgotten."""
        log_event("peer_unreachable", level="DEBUG", error=repr(exc))

    def _greet(self, now_ms: float) -> None:
        for peer in self._table.expire(now_ms):
            self._runs.pop(peer, None)
            log_event("peer_lost", peer=peer, n_peers=len(self._table))
        data = self._build_greeting()
        for address in self._table.choose(N_GREETED):
            self._send(data, address)

    def _build_greeting(self) -> bytes:
        zone = self._state.settings.availability_zone
        return encode_news(PeerNews(self._vm, zone, self._table.list_told()))

    def _welcome(self, address: str) -> None:
        """Tell a VM that has just started who is there and what runs here.

        It knows of nothing that the others have sent, and would place its first
        requests behind their long reads until they repeat themselves, a second later.
        """
        self._send(self._build_greeting(), address)
        shares = self._state.dispatch.list_shares()
        for news in self._pack_loads(
            [entry for entry in shares if entry[1].says_anything]
        ):
            self._send(encode_news(news), address)

    def _tell(self, now_ms: float) -> None:
        for news in self._list_news(now_ms):
            self._send_all(news)

    def _list_news(self, now_ms: float) -> Iterator[PeerNews]:
        shares = self._state.dispatch.list_shares()
        n_peers = len(self._table)
        yield from self._pack_loads(self._changes.take(shares, now_ms, n_peers))
        for sightings in self._state.dispatch.take_crash_news():
            crashes = tuple(CrashNews(*sighting) for sighting in sightings)
            yield PeerNews(self._vm, crashes=crashes)

    def _pack_loads(
        self, shares: list[tuple[str, UpstreamShare]]
    ) -> Iterator[PeerNews]:
        loads = [build_load_news(upstream, share) for upstream, share in shares]
        for begin in range(0, len(loads), N_LOADS):
            yield PeerNews(self._vm, loads=tuple(loads[begin : begin + N_LOADS]))

    def _send_all(self, news: PeerNews) -> None:
        data = encode_news(news)
        for address in self._table.addresses:
            self._send(data, address)

    def _send(self, data: bytes, address: str) -> None:
        if self._transport is not None:
            self._transport.sendto(data, (address, self._port))


__all__ = ("PeerTask",)
