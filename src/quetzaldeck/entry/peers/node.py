"""Decides which messages one VM sends to which others, without a socket.

The paths of updates in a large fleet are decided in
:mod:`quetzaldeck.decisions.relays`. In a small fleet each VM sends its updates to all
others directly.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.relays import (
    PendingAcks,
    RelayBounds,
    RelaySelector,
    Subscribers,
)
from quetzaldeck.entry.peers.messages import PeerMessage, VmUpdate
from quetzaldeck.entry.peers.update_store import UpdateQueue, UpdateStore, split_updates

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from quetzaldeck.entry.peers.messages import (
        CrashUpdate,
        Join,
        LimitUpdate,
        LoadUpdate,
        RunUpdate,
        ShareUpdate,
    )
    from quetzaldeck.entry.peers.table import PeerTable

MAX_ENTRIES_PER_DATAGRAM = 20
"""Loads, crashes and paces in one datagram, so that it fits into one packet together
with the ids of their VMs."""

EXPIRE_INTERVAL_MS = 1_000.0


class Outgoing(NamedTuple):
    """A message and the addresses of its receivers."""

    message: PeerMessage
    addresses: tuple[str, ...]


class PeerNode:
    """One VM in the exchange of updates between entry VMs.

    :param own: this VM's address
    :param vm: id of this incarnation of this VM
    :param table: the other VMs
    :param capacity: this VM's processor, in cores
    """

    def __init__(
        self,
        own: str,
        table: PeerTable,
        *,
        vm: str,
        availability_zone: str,
        capacity: float,
        bounds: RelayBounds | None = None,
    ) -> None:
        self._bounds = RelayBounds() if bounds is None else bounds
        self._table = table
        self._vm = vm
        self._capacity = capacity
        self._selector = RelaySelector(
            own, availability_zone, capacity=capacity, bounds=self._bounds
        )
        self._subscribers = Subscribers(self._bounds)
        self._pending_acks: PendingAcks[PeerMessage] = PendingAcks(self._bounds)
        self._store = UpdateStore()
        self._member_queue = UpdateQueue()
        self._relay_queue = UpdateQueue()
        self._outgoing: list[Outgoing] = []
        self._sequence = 0
        self._has_joined = False
        self._joined_ms = float("-inf")
        self._flushed_ms = float("-inf")
        self._expired_ms = float("-inf")

    @property
    def uses_relays(self) -> bool:
        """:returns: whether this VM sends its updates to a relay, not to each VM"""
        return len(self._table) > self._bounds.n_peers_relayed

    @property
    def parent(self) -> str | None:
        """:returns: the relay of this VM; ``None``: it is a relay itself"""
        return self._selector.parent

    @property
    def n_members(self) -> int:
        """:returns: number of VMs that receive all updates from this one"""
        return len(self._subscribers.list_members())

    @property
    def _flush_ms(self) -> float:
        return self._bounds.flush_ms(len(self._subscribers), self._capacity)

    def take_outgoing(self) -> list[Outgoing]:
        """:returns: what has to be sent now"""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def wait_ms(self, now_ms: float) -> float:
        """:returns: time until :meth:`advance` has something to do"""
        next_ms = min(
            self._pending_acks.next_ms(), self._joined_ms + self._bounds.join_ms
        )
        if self._member_queue or self._relay_queue:
            next_ms = min(next_ms, self._flushed_ms + self._flush_ms)
        return max(0.0, next_ms - now_ms)

    def announce(
        self,
        now_ms: float,
        *,
        loads: Iterable[LoadUpdate] = (),
        crashes: Iterable[CrashUpdate] = (),
        paces: Mapping[str, float] | None = None,
        limits: Iterable[LimitUpdate] = (),
        runs: Iterable[RunUpdate] = (),
        shares: Iterable[ShareUpdate] = (),
    ) -> None:
        """Send an update of this VM to all other VMs."""
        self._sequence += 1
        update = VmUpdate(
            self._vm,
            self._sequence,
            tuple(loads),
            tuple(crashes),
            dict(paces or {}),
            tuple(limits),
            tuple(runs),
            tuple(shares),
        )
        self._store.merge(update, now_ms)
        if not self.uses_relays:
            addresses = self._table.addresses
            for part in split_updates((update,), MAX_ENTRIES_PER_DATAGRAM):
                self._send(PeerMessage(self._vm, news=part), *addresses)
            return
        self._forward_to_fleet((update,), now_ms)
        self._flush(now_ms)

    def receive(
        self, message: PeerMessage, address: str, now_ms: float
    ) -> list[VmUpdate]:
        """Handle a message of another VM.

        :returns: the updates in it, without what this VM knew already
        """
        if message.number:
            self._send(PeerMessage(self._vm, confirmed=message.number), address)
        if message.confirmed:
            # Noted even if no longer expected: a VM that acknowledges late is alive.
            self._pending_acks.acknowledge(message.confirmed, address)
            self._selector.note_ack(address)
        if message.join:
            self._handle_join(message.join, message.vm, address, now_ms)
        new_updates = [
            self._store.merge(update, now_ms)
            for update in message.news
            if update.vm != self._vm
        ]
        if message.reach == "fleet":
            self._forward_to_fleet(new_updates, now_ms)
        elif message.reach == "members":
            self._queue_for_members(new_updates)
        self._flush(now_ms)
        return new_updates

    def send_current_loads(self, address: str, loads: Iterable[LoadUpdate]) -> None:
        """Send this VM's loads to a VM that has just started.

        Only in a small fleet; in a large one that VM joins a relay, which sends it the
        loads of all VMs.
        """
        if len(self._table) > self._bounds.n_peers_joining:
            return
        self._sequence += 1
        update = VmUpdate(self._vm, self._sequence, tuple(loads))
        for part in split_updates((update,), MAX_ENTRIES_PER_DATAGRAM):
            self._send(PeerMessage(self._vm, news=part), address)

    def note_fleet_changed(self) -> None:
        """Note that VMs were found or lost.

        A VM that has not joined a relay yet tries to at once: it does not know the load
        of any other VM.
        """
        if not self._has_joined:
            self._joined_ms = float("-inf")

    def advance(self, now_ms: float) -> None:
        """Do what is due: join relays, resend lost messages, flush queued updates."""
        if now_ms - self._expired_ms >= EXPIRE_INTERVAL_MS:
            self._expired_ms = now_ms
            self._store.expire(now_ms)
            self._subscribers.expire(now_ms)
        self._resend_unacked(now_ms)
        if now_ms - self._joined_ms >= self._bounds.join_ms:
            self._join(now_ms)
        self._flush(now_ms)

    def _handle_join(self, join: Join, vm: str, address: str, now_ms: float) -> None:
        if join == "leave":
            self._subscribers.leave(address)
            return
        is_relay = join == "relay"
        if not self._subscribers.join(address, vm, is_relay=is_relay, now_ms=now_ms):
            return
        # The VM may have members already, which joined before it had any updates.
        for part in split_updates(
            self._store.list_current(now_ms), MAX_ENTRIES_PER_DATAGRAM
        ):
            self._send(PeerMessage(self._vm, news=part, reach="members"), address)
        if is_relay and self._selector.parent is None:
            # The sender takes this VM for a relay, while this VM may not take the
            # sender for one. Unless this VM subscribes as well, updates flow in one
            # direction only.
            self._send_join("relay", address, now_ms)

    def _join(self, now_ms: float) -> None:
        """Subscribe to the updates of this VM's relay or, as a relay, of the others."""
        self._joined_ms = now_ms
        if len(self._table) <= self._bounds.n_peers_joining:
            return
        self._has_joined = True
        before = self._selector.parent
        self._selector.update(self._table.list_capacities(), now_ms)
        parent = self._selector.parent
        if before is not None and before != parent:
            self._send(PeerMessage(self._vm, join="leave"), before)
        if parent is not None:
            self._send_join("member", parent, now_ms)
            return
        for address in {*self._selector.peers, *self._subscribers.list_relays()}:
            self._send_join("relay", address, now_ms)

    def _send_join(self, join: Join, address: str, now_ms: float) -> None:
        message = PeerMessage(self._vm, join=join)
        self._send_with_ack(message, address, now_ms)

    def _forward_to_fleet(self, updates: Iterable[VmUpdate], now_ms: float) -> None:
        """Forward updates of this VM, or of a VM that uses it as its relay, to all."""
        updates = [update for update in updates if update.says_anything]
        self._queue_for_members(updates)
        if self._subscribers:
            for update in updates:
                self._relay_queue.add(update)
        parent = self._selector.parent or self._selector.fallback
        if parent is not None:
            for part in split_updates(updates, MAX_ENTRIES_PER_DATAGRAM):
                message = PeerMessage(self._vm, news=part, reach="fleet")
                self._send_with_ack(message, parent, now_ms)

    def _queue_for_members(self, updates: Iterable[VmUpdate]) -> None:
        # A VM that joins later is sent the updates of the store.
        if self._subscribers:
            for update in updates:
                self._member_queue.add(update)

    def _flush(self, now_ms: float) -> None:
        """Send the queued updates, unless the last flush was too recent."""
        if not (self._member_queue or self._relay_queue):
            return
        if now_ms - self._flushed_ms < self._flush_ms:
            return
        self._flushed_ms = now_ms
        for queue, addresses in (
            (self._member_queue, self._subscribers.list_members()),
            (self._relay_queue, self._subscribers.list_relays()),
        ):
            updates = queue.take()
            if addresses:
                for part in split_updates(updates, MAX_ENTRIES_PER_DATAGRAM):
                    message = PeerMessage(self._vm, news=part, reach="members")
                    self._send(message, *addresses)

    def _resend_unacked(self, now_ms: float) -> None:
        """Resend unacknowledged messages; after the last resend, use another VM."""
        for overdue in self._pending_acks.pop_overdue(now_ms):
            if overdue.n_sent < self._bounds.n_sends:
                self._send_with_ack(
                    overdue.message, overdue.address, now_ms, overdue.n_sent + 1
                )
                continue
            self._selector.note_missed_ack(overdue.address, now_ms)
            if overdue.address == self._selector.parent:
                self._join(now_ms)
            if overdue.message.news:
                self._forward_to_fleet(overdue.message.news, now_ms)

    def _send_with_ack(
        self, message: PeerMessage, address: str, now_ms: float, n_sent: int = 1
    ) -> None:
        number = self._pending_acks.next_number()
        numbered = PeerMessage(
            message.vm,
            news=message.news,
            reach=message.reach,
            join=message.join,
            number=number,
        )
        self._pending_acks.expect(number, address, numbered, now_ms, n_sent)
        self._send(numbered, address)

    def _send(self, message: PeerMessage, *addresses: str) -> None:
        if addresses:
            self._outgoing.append(Outgoing(message, addresses))


__all__ = ("MAX_ENTRIES_PER_DATAGRAM", "Outgoing", "PeerNode")
