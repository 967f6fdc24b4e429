"""Which VMs pass news on to the others.

Load pattern: 195 VMs before 112 engines, each with half a request a second. What one VM
tells each of the others costs the fleet the square of its size: 50,000 datagrams a
second for a hundred requests, most of what all VMs do, and four fifths of them cross
zones, where bytes are paid for. The VMs tell each other so much because placement rests
on it: an engine that another VM has sent a long prompt looks idle without it.

So a few VMs of each zone relay: the others tell one of them, which gathers what it is
told for a moment and passes it on, to its own and to the other relays, who pass it to
theirs. Who relays follows from what all VMs tell of themselves: those of each zone with
the fastest processors, and the lowest hashes among equals. A relay on a tenth of a core
falls seconds behind in a burst, and what it passes on is worth nothing by then. VMs
whose views differ need no agreement, since a VM passes on whatever it is asked to, and
one that is no relay by its own view has a relay itself. A VM chooses one that goes
before it in this order, so that news travel in no circle.

A relay that does not confirm what it was told is left for the next one. It may be out
of reach for one VM only. If that VM is next in its zone and relays itself, the others
of the zone still listen to the first; so it tells its news to one of them as well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from quetzaldeck.decisions.relays.bounds import RelayBounds

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

_RANK_SEED = 1
"""Sets the order apart from the one in which VMs watch the source for others."""


class _Suspicion(NamedTuple):
    until_ms: float
    n_times: int


class RelaySelector:
    """Decides for one VM.

    :param own: this VM's address
    :param availability_zone: this VM's zone
    :param capacity: this VM's processor, in cores
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
        """:returns: the VM that is told this one's news; ``None``: this one relays"""
        return self._parent

    @property
    def peers(self) -> tuple[str, ...]:
        """:returns: the other relays, if this VM relays"""
        return () if self._parent else self._peers

    @property
    def fallback(self) -> str | None:
        """:returns: a VM that may reach the relay of this zone, if this one does not"""
        return self._fallback

    def update(self, zones: Mapping[str, Mapping[str, float]], now_ms: float) -> None:
        """Choose again.

        :param zones: processors of the other VMs in cores, by zone and address
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
        """Note that a VM did not confirm what it was told."""
        n_times = 1
        if address in self._suspicions:
            n_times += self._suspicions[address].n_times
        pause_ms = self._bounds.suspect_ms * 2 ** min(n_times - 1, 8)
        until_ms = now_ms + min(self._bounds.max_suspect_ms, pause_ms)
        self._suspicions[address] = _Suspicion(until_ms, n_times)

    def note_ack(self, address: str) -> None:
        """Note that a VM confirmed what it was told."""
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
