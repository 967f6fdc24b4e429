"""Selects the VMs that relay updates to the others.

Load pattern: 195 VMs in front of 112 engines, with half a request per second each. If
every VM sends its updates to every other one, the cost grows with the square of the
fleet: 50,000 datagrams a second for a hundred requests, which is most of the work of
all VMs, and four fifths of them cross zones, where traffic is billed by the byte. The
VMs need these updates to place requests: without them, an engine to which another VM
has sent a long prompt looks idle.

Therefore a few VMs of each zone act as relays. The other VMs send their updates to one
relay, which batches them briefly and forwards them to its members and to the other
relays, which forward them to theirs. Every VM derives the relays from what the VMs
announce about themselves: in each zone those with the fastest processors, and among
equals those with the lowest hashes. A relay with a tenth of a core would fall seconds
behind in a burst, and its updates would arrive too late to be useful. VMs with
different views need not agree: a VM relays for all that ask it to, and a VM that is not
a relay in its own view has a relay itself. Each VM selects a relay that precedes it in
this order, so updates never travel in a cycle.

A VM that gets no acknowledgement from its relay switches to the next one. The relay may
be unreachable for that VM only. If that VM then becomes a relay itself, the others of
its zone still use the old relay, so it also sends its updates to one of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from quetzaldeck.decisions.relays.bounds import RelayBounds

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

_RANK_SEED = 1
"""Seed of the hash; it makes the order differ from the one that selects watchers."""


class _Suspicion(NamedTuple):
    until_ms: float
    n_misses: int


class RelaySelector:
    """Selects the relay of one VM, or the VMs that it relays to.

    :param own: this VM's address
    :param availability_zone: this VM's zone
    :param capacity: this VM's processor capacity, in cores
    """

    def __init__(
        self,
        own: str,
        availability_zone: str,
        *,
        capacity: float,
        bounds: RelayBounds | None = None,
    ) -> None:
        self._own = own
        self._capacity = capacity
        self._capacities: dict[str, float] = {}
        self._zone = availability_zone
        self._bounds = RelayBounds() if bounds is None else bounds
        self._suspicions: dict[str, _Suspicion] = {}
        self._ranks: dict[str, int] = {}
        self._parent: str | None = None
        self._peers: tuple[str, ...] = ()
        self._fallback: str | None = None

    @property
    def parent(self) -> str | None:
        """:returns: the relay of this VM; ``None``: this VM is a relay itself"""
        return self._parent

    @property
    def peers(self) -> tuple[str, ...]:
        """:returns: the other relays, if this VM is a relay"""
        return () if self._parent else self._peers

    @property
    def fallback(self) -> str | None:
        """:returns: a VM that may reach a relay of this zone that this VM cannot"""
        return self._fallback

    def update(self, zones: Mapping[str, Mapping[str, float]], now_ms: float) -> None:
        """Select again.

        :param zones: processor capacity of the other VMs in cores, by zone and address
        """
        self._capacities = {
            address: capacity
            for vms in zones.values()
            for address, capacity in vms.items()
        }
        self._capacities[self._own] = self._capacity
        known = self._capacities.keys()
        for table in (self._ranks, self._suspicions):
            for address in table.keys() - known:
                del table[address]
        own_zone = {self._own, *zones.get(self._zone, ())}
        relays = self._list_relays(own_zone, now_ms)
        self._parent = self._choose_parent(relays)
        self._fallback = self._choose_fallback(own_zone, now_ms)
        others = [
            address
            for zone, vms in zones.items()
            if zone and zone != self._zone
            for address in self._list_relays(vms, now_ms)
        ]
        self._peers = (*(r for r in relays if r != self._own), *others)

    def note_missed_ack(self, address: str, now_ms: float) -> None:
        """Record that a VM did not acknowledge a message in time."""
        n_misses = 1
        if address in self._suspicions:
            n_misses += self._suspicions[address].n_misses
        pause_ms = self._bounds.suspect_ms * 2 ** min(n_misses - 1, 8)
        until_ms = now_ms + min(self._bounds.max_suspect_ms, pause_ms)
        self._suspicions[address] = _Suspicion(until_ms, n_misses)

    def note_ack(self, address: str) -> None:
        """Record that a VM acknowledged a message."""
        self._suspicions.pop(address, None)

    def _list_relays(self, vms: Collection[str], now_ms: float) -> list[str]:
        trusted = [vm for vm in vms if not self._is_suspected(vm, now_ms)]
        trusted.sort(key=self._order)
        relays: list[str] = []
        n_members = 0.0
        for vm in trusted:
            if n_members >= len(trusted) - len(relays):
                break
            relays.append(vm)
            n_members += self._bounds.n_members_per_core * self._capacities[vm]
        return relays

    def _choose_parent(self, relays: list[str]) -> str | None:
        if self._own in relays:
            return None
        return relays[self._rank(self._own) % len(relays)]

    def _choose_fallback(self, own_zone: set[str], now_ms: float) -> str | None:
        """:returns: a trusted VM if this relay suspects a VM that precedes it"""
        if self._parent is not None:
            return None
        own_order = self._order(self._own)
        trusted = [
            vm for vm in own_zone - {self._own} if not self._is_suspected(vm, now_ms)
        ]
        suspected = own_zone - {self._own, *trusted}
        if not trusted or all(self._order(vm) > own_order for vm in suspected):
            return None
        return min(trusted, key=self._order)

    def _is_suspected(self, address: str, now_ms: float) -> bool:
        suspicion = self._suspicions.get(address)
        return suspicion is not None and suspicion.until_ms > now_ms

    def _order(self, address: str) -> tuple[float, int]:
        return (-self._capacities[address], self._rank(address))

    def _rank(self, address: str) -> int:
        rank = self._ranks.get(address)
        if rank is None:
            rank = xxhash.xxh3_64_intdigest(address.encode(), seed=_RANK_SEED)
            self._ranks[address] = rank
        return rank


__all__ = ("RelaySelector",)
