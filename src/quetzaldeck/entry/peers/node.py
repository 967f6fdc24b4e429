"""What one VM sends to which others; needs no socket.

How news travel is decided in :mod:`quetzaldeck.decisions.relays`. In a small fleet each
VM tells all others itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.relays import (
    PendingAcks,
    RelayBounds,
    RelaySelector,
    Subscribers,
)
from quetzaldeck.entry.peers.messages import PeerMessage, VmNews
from quetzaldeck.entry.peers.news_book import NewsBook, NewsQueue, split_news

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from quetzaldeck.entry.peers.messages import CrashNews, Join, LoadNews
    from quetzaldeck.entry.peers.table import PeerTable

N_LOADS = 20
"""Loads in one datagram, so that it fits into one packet, with ids of their VMs."""

EXPIRE_MS = 1_000.0


class Outgoing(NamedTuple):
    """A message and where it goes."""

    message: PeerMessage
    addresses: tuple[str, ...]


class PeerNode:
    """One VM among those that tell each other news.

    :param own: this VM's address
    :param vm: id of this run of this VM
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
        self._choice = RelaySelector(
            own, availability_zone, capacity=capacity, bounds=self._bounds
        )
        self._subscribers = Subscribers(self._bounds)
        self._pending_acks: PendingAcks[PeerMessage] = PendingAcks(self._bounds)
        self._book = NewsBook()
        self._to_members = NewsQueue()
        self._to_relays = NewsQueue()
        self._outgoing: list[Outgoing] = []
        self._sequence = 0
        self._has_joined = False
        self._joined_ms = float("-inf")
        self._flushed_ms = float("-inf")
        self._expired_ms = float("-inf")

    @property
    def is_relayed(self) -> bool:
        """:returns: whether this VM's news travel by way of relays"""
        return len(self._table) > self._bounds.n_peers_relayed

    @property
    def parent(self) -> str | None:
        """:returns: the relay of this VM; ``None``: it relays itself"""
        return self._choice.parent

    @property
    def n_members(self) -> int:
        """:returns: VMs that this one tells all news"""
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
        if self._to_members or self._to_relays:
            next_ms = min(next_ms, self._flushed_ms + self._flush_ms)
        return max(0.0, next_ms - now_ms)

    def tell(
        self,
        now_ms: float,
        *,
        loads: Iterable[LoadNews] = (),
        crashes: Iterable[CrashNews] = (),
        paces: Mapping[str, float] | None = None,
    ) -> None:
        """Tell all other VMs what this one has to say."""
        self._sequence += 1
        news = VmNews(
            self._vm, self._sequence, tuple(loads), tuple(crashes), dict(paces or {})
        )
        self._book.take(news, now_ms)
        if not self.is_relayed:
            addresses = self._table.addresses
            for part in split_news((news,), N_LOADS):
                self._send(PeerMessage(self._vm, news=part), *addresses)
            return
        self._pass_to_fleet((news,), now_ms)
        self._flush(now_ms)

    def receive(
        self, message: PeerMessage, address: str, now_ms: float
    ) -> list[VmNews]:
        """Take a message of another VM.

        :returns: what this VM did not know
        """
        if message.number:
            self._send(PeerMessage(self._vm, confirmed=message.number), address)
        if message.confirmed:
            # Also after it was given up: a VM that confirms late is not gone.
            self._pending_acks.acknowledge(message.confirmed, address)
            self._choice.note_ack(address)
        if message.join:
            self._take_join(message.join, message.vm, address, now_ms)
        fresh = [
            self._book.take(news, now_ms)
            for news in message.news
            if news.vm != self._vm
        ]
        if message.reach == "fleet":
            self._pass_to_fleet(fresh, now_ms)
        elif message.reach == "members":
            self._pass_to_members(fresh)
        self._flush(now_ms)
        return fresh

    def welcome(self, address: str, loads: Iterable[LoadNews]) -> None:
        """Tell a VM that has just started what this one has at upstreams.

        Only in a small fleet; in a large one it joins a relay, which tells it.
        """
        if len(self._table) > self._bounds.n_peers_joining:
            return
        self._sequence += 1
        news = VmNews(self._vm, self._sequence, tuple(loads))
        for part in split_news((news,), N_LOADS):
            self._send(PeerMessage(self._vm, news=part), address)

    def note_fleet_changed(self) -> None:
        """Note that VMs were found or lost.

        A VM that has no relay yet looks for one at once: it knows of no load.
        """
        if not self._has_joined:
            self._joined_ms = float("-inf")

    def advance(self, now_ms: float) -> None:
        """Do what is due: join relays, send again what was lost, pass news on."""
        if now_ms - self._expired_ms >= EXPIRE_MS:
            self._expired_ms = now_ms
            self._book.expire(now_ms)
            self._subscribers.expire(now_ms)
        self._send_again(now_ms)
        if now_ms - self._joined_ms >= self._bounds.join_ms:
            self._join(now_ms)
        self._flush(now_ms)

    def _take_join(self, join: Join, vm: str, address: str, now_ms: float) -> None:
        if join == "leave":
            self._subscribers.leave(address)
            return
        is_relay = join == "relay"
        if not self._subscribers.join(address, vm, is_relay=is_relay, now_ms=now_ms):
            return
        # It may have members already, which joined before it knew of anything.
        for part in split_news(self._book.list_current(now_ms), N_LOADS):
            self._send(PeerMessage(self._vm, news=part, reach="members"), address)
        if is_relay and self._choice.parent is None:
            # Its view of who relays has this VM in it, while this one's may not have
            # it: without an answer in kind, news would travel one way only.
            self._ask("relay", address, now_ms)

    def _join(self, now_ms: float) -> None:
        """Ask the relay, or the other relays, to be told news."""
        self._joined_ms = now_ms
        if len(self._table) <= self._bounds.n_peers_joining:
            return
        self._has_joined = True
        before = self._choice.parent
        self._choice.update(self._table.list_capacities(), now_ms)
        parent = self._choice.parent
        if before is not None and before != parent:
            self._send(PeerMessage(self._vm, join="leave"), before)
        if parent is not None:
            self._ask("member", parent, now_ms)
            return
        for address in {*self._choice.peers, *self._subscribers.list_relays()}:
            self._ask("relay", address, now_ms)

    def _ask(self, join: Join, address: str, now_ms: float) -> None:
        message = PeerMessage(self._vm, join=join)
        self._send_confirmed(message, address, now_ms)

    def _pass_to_fleet(self, news: Iterable[VmNews], now_ms: float) -> None:
        """Pass news of this VM, or of one that asked it to, on to all."""
        news = [one for one in news if one.says_anything]
        self._pass_to_members(news)
        if self._subscribers:
            for one in news:
                self._to_relays.add(one)
        parent = self._choice.parent or self._choice.fallback
        if parent is not None:
            for part in split_news(news, N_LOADS):
                message = PeerMessage(self._vm, news=part, reach="fleet")
                self._send_confirmed(message, parent, now_ms)

    def _pass_to_members(self, news: Iterable[VmNews]) -> None:
        # Whoever joins later is told from the book.
        if self._subscribers:
            for one in news:
                self._to_members.add(one)

    def _flush(self, now_ms: float) -> None:
        """Send what waits, unless something was sent a moment ago."""
        if not (self._to_members or self._to_relays):
            return
        if now_ms - self._flushed_ms < self._flush_ms:
            return
        self._flushed_ms = now_ms
        for queue, addresses in (
            (self._to_members, self._subscribers.list_members()),
            (self._to_relays, self._subscribers.list_relays()),
        ):
            news = queue.take()
            if addresses:
                for part in split_news(news, N_LOADS):
                    message = PeerMessage(self._vm, news=part, reach="members")
                    self._send(message, *addresses)

    def _send_again(self, now_ms: float) -> None:
        """Send again what was not confirmed, in the end to another VM."""
        for late in self._pending_acks.pop_overdue(now_ms):
            if late.n_sent < self._bounds.n_sends:
                self._send_confirmed(
                    late.message, late.address, now_ms, late.n_sent + 1
                )
                continue
            self._choice.note_missed_ack(late.address, now_ms)
            if late.address == self._choice.parent:
                self._join(now_ms)
            if late.message.news:
                self._pass_to_fleet(late.message.news, now_ms)

    def _send_confirmed(
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


__all__ = ("N_LOADS", "Outgoing", "PeerNode")
