"""The task that owns the socket for datagrams to and from the other VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from quetzaldeck.decisions.cold_replicas import ColdClaim
from quetzaldeck.decisions.loads.load_changes import LoadChanges, max_send_delay_ms
from quetzaldeck.entry.peers.crash_exchange import CrashExchange
from quetzaldeck.entry.peers.greetings import (
    GREETING_INTERVAL_MS,
    N_GREETED,
    N_GREETED_STABLE,
)
from quetzaldeck.entry.peers.messages import (
    PeerMessage,
    build_cold_update,
    build_limit_update,
    build_load_update,
    build_share_update,
    decode_message,
    encode_message,
    read_load_update,
    read_share_update,
)
from quetzaldeck.entry.peers.node import PeerNode
from quetzaldeck.entry.peers.rate_limit_exchange import RateLimitExchange
from quetzaldeck.gateway.messages import (
    ObservePaces,
    ObservePeerLoad,
    ObserveShares,
)
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzaldeck.decisions.rate_limits import RateLimitStatement
    from quetzaldeck.entry.peers.context import PeerContext
    from quetzaldeck.entry.peers.messages import VmUpdate
    from quetzaldeck.entry.peers.table import PeerTable

TICK_MS = 20.0
"""Interval at which changes are collected; those within it are sent together."""

UNDECODABLE_LOG_INTERVAL_MS = 10_000.0
"""Minimum time between two log lines about undecodable datagrams of one peer."""
MAX_UNDECODABLE_PEERS = 256
"""Limit on the peers whose last such log line is remembered: sender addresses may be
forged."""


class PeerTask(asyncio.DatagramProtocol):
    """Sends this VM's updates to the other VMs and receives theirs.

    Updates are soft state: without them, decisions rest on this VM's own view.

    :param context: sources and receivers of updates
    :param own: this VM's address
    :param vm: id of this incarnation of this VM
    :param port: UDP port on which every VM listens
    """

    def __init__(
        self, context: PeerContext, table: PeerTable, *, own: str, vm: str, port: int
    ) -> None:
        self._context = context
        self._table = table
        self._vm = vm
        self._port = port
        zone = context.settings.availability_zone
        self._node = PeerNode(
            own,
            table,
            vm=vm,
            availability_zone=zone,
            capacity=context.settings.processor.capacity,
        )
        self._changes = LoadChanges()
        self._crashes = CrashExchange(context.dispatch, vm, context.random_state)
        self._rate_limits = RateLimitExchange(
            context, vm, lambda message, address: self._send(message, (address,))
        )
        context.permits.connect(table, self._rate_limits.request_permit)
        context.rate_limits.connect(self._announce_limit)
        self._incarnations: dict[str, str] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due_ms = float("inf")
        self._undecodable_ms: dict[str, float] = {}
        self._metrics = context.metrics.peers

    async def run(self, host: str) -> None:
        """Receive and send until cancelled."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self._port)
        )
        self._transport = transport
        greeted_ms = float("-inf")
        try:
            while True:
                now_ms = self._context.clock.now_ms()
                if now_ms - greeted_ms >= GREETING_INTERVAL_MS:
                    greeted_ms = now_ms
                    self._greet(now_ms)
                self._announce_changes(now_ms)
                self._advance()
                await asyncio.sleep(TICK_MS / 1_000)
                await self._wait()
        finally:
            if self._timer is not None:
                self._timer.cancel()
            transport.close()

    async def _wait(self) -> None:
        """Wait for a load change, or until a greeting, refresh or delayed update."""
        wait_ms = GREETING_INTERVAL_MS
        if self._changes.has_unsent:
            wait_ms = min(wait_ms, max_send_delay_ms(len(self._table)))
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                await self._context.dispatch.wait_for_load_change()
        except TimeoutError:
            return

    def announce_paces(self, paces: Mapping[str, float]) -> None:
        """Announce the slowdown factors of some engines to all other VMs."""
        self._node.announce(self._context.clock.now_ms(), paces=paces)
        self._send_outgoing()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram; one that cannot be decoded is only counted and logged."""
        try:
            message = decode_message(data)
        except msgspec.DecodeError as error:
            self._note_undecodable(addr[0], error)
            return
        if message.vm == self._vm:
            return
        self._metrics.note_received(_kind_of(message), len(data))
        now_ms = self._context.clock.now_ms()
        self._note_peer(message, addr[0], now_ms)
        self._rate_limits.handle(message, addr[0])
        self._crashes.observe(message.crashes)
        self._crashes.observe_runs(message.runs)
        for update in self._node.receive(message, addr[0], now_ms):
            self._observe(update)
        self._send_outgoing()
        self._schedule(now_ms)

    def _announce_limit(self, said: RateLimitStatement | ColdClaim) -> None:
        """Announce what an upstream said to all other VMs."""
        uptime_ms = self._context.clock.uptime_ms()
        if isinstance(said, ColdClaim):
            update = build_cold_update(said, uptime_ms)
        else:
            update = build_limit_update(said, uptime_ms)
        self._node.announce(self._context.clock.now_ms(), limits=(update,))
        self._send_outgoing()

    def error_received(self, exc: Exception) -> None:
        """Log that a VM is not listening; it may come back, otherwise it expires."""
        log_event("peer_unreachable", level="DEBUG", error=repr(exc))

    def _note_undecodable(self, peer: str, error: Exception) -> None:
        """Log an undecodable datagram, at a limited rate for each peer."""
        self._metrics.note_received("undecodable", 0)
        now_ms = self._context.clock.now_ms()
        if (
            now_ms - self._undecodable_ms.get(peer, float("-inf"))
            < UNDECODABLE_LOG_INTERVAL_MS
        ):
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
        self._table.note_reported(message.known, now_ms)
        if len(self._table) != n_known:
            self._node.note_fleet_changed()
        if self._incarnations.get(address) != message.vm:
            self._incarnations[address] = message.vm
            self._send_state_to_new_peer(address, now_ms)

    def _observe(self, update: VmUpdate) -> None:
        """Pass the update of a VM to the dispatch task."""
        dispatch = self._context.dispatch
        if update.loads:
            loads = tuple(
                (load.upstream, read_load_update(load)) for load in update.loads
            )
            dispatch.send_deferrable(ObservePeerLoad(update.vm, loads))
        self._crashes.observe(update.crashes)
        self._crashes.observe_runs(update.runs)
        self._rate_limits.note_updates(update.limits, update.vm)
        if update.shares:
            shares = tuple(read_share_update(share) for share in update.shares)
            dispatch.send_deferrable(ObserveShares(update.vm, shares))
        if update.paces:
            dispatch.send_deferrable(ObservePaces(tuple(update.paces.items())))

    def _greet(self, now_ms: float) -> None:
        expired = self._table.expire(now_ms)
        self._context.permits.note_fleet()
        for peer in expired:
            self._incarnations.pop(peer, None)
            log_event("peer_lost", peer=peer, n_peers=len(self._table))
        if expired:
            self._node.note_fleet_changed()
        greeting = self._build_greeting(now_ms)
        n_greeted = N_GREETED_STABLE if self._table.is_stable(now_ms) else N_GREETED
        self._send(greeting, self._table.choose_greeted(n_greeted))

    def _build_greeting(self, now_ms: float) -> PeerMessage:
        settings = self._context.settings
        return PeerMessage(
            self._vm,
            settings.availability_zone,
            settings.processor.capacity,
            self._table.sample_heard(now_ms),
            limits=(
                *self._rate_limits.list_updates(),
                *self._rate_limits.list_cold_updates(),
            ),
            crashes=self._crashes.list_updates(),
            runs=self._crashes.list_run_updates(),
        )

    def _send_state_to_new_peer(self, address: str, now_ms: float) -> None:
        """Send a VM that has just started what the others have received.

        It must not let requests crash replicas that have done so before. Nor does it
        know what the others have sent to the engines: it would place its first requests
        behind their long prefills until the others repeat their loads, a second later.
        In a fleet with relays, the new VM receives the loads on joining a relay.
        """
        self._send(self._build_greeting(now_ms), (address,))
        for message in self._crashes.build_messages_for_new_vm():
            self._send(message, (address,))
        own_loads = self._context.dispatch.list_own_loads()
        current = (entry for entry in own_loads if entry[1].says_anything)
        self._node.send_current_loads(
            address, [build_load_update(*entry) for entry in current]
        )

    def _announce_changes(self, now_ms: float) -> None:
        own_loads = self._context.dispatch.list_own_loads()
        changed = self._changes.select_due(own_loads, now_ms, len(self._table))
        crashes = self._crashes.take_announcements()
        runs = self._crashes.take_run_announcements()
        shares = self._context.dispatch.take_share_changes(len(self._table) + 1)
        if changed or crashes or runs or shares:
            self._node.announce(
                now_ms,
                loads=[build_load_update(*entry) for entry in changed],
                crashes=crashes,
                runs=runs,
                shares=[build_share_update(share) for share in shares],
            )

    def _advance(self) -> None:
        """Do and send what is due, and schedule the next call."""
        now_ms = self._context.clock.now_ms()
        self._node.advance(now_ms)
        self._send_outgoing()
        self._schedule(now_ms)

    def _schedule(self, now_ms: float) -> None:
        """Schedule :meth:`_advance` for the next due time, unless it already is."""
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
    """:returns: the kind of a message, as the metrics label it"""
    if message.news:
        return "relayed" if message.reach else "news"
    if message.join:
        return "join"
    if message.permit_request or message.permit_answer:
        return "permit"
    return "confirmation" if message.confirmed else "greeting"


__all__ = ("PeerTask",)
