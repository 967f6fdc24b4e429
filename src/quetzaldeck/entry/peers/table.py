"""The other entry VMs that this one knows of."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

FORGET_MS = 20_000.0
"""A VM that was not heard of for this long is gone. Telling a dead one costs a few
bytes; a VM that stood still or was cut off should be known when it comes back."""

N_TOLD = 48
"""Addresses told in one message: with messages to a few VMs each second, all of a fleet
of a hundred know each other within ten seconds; they fit into one packet."""

UNKNOWN_CAPACITY = 0.1
"""Processor in cores of a VM that did not tell it: none to choose for others' work."""

CALM_MS = 10_000.0
"""Time without a VM found or lost after which less is told."""

N_SEED_GREETERS = 8
"""VMs that greet a seed at a time, on average, however many there are."""

MIN_TOLD = 16
CALM_TOLD_DIVISOR = 8
"""Part of a calm fleet that one message tells of. With four messages a second each
VM is told of each other one every two seconds, a tenth of the time that it is kept."""


class PeerTable:
    """Addresses of other VMs, learned from seeds and from what they tell.

    :param own: this VM's address, which is never a peer
    :param seeds: addresses to begin with; they may be gone
    """

    def __init__(
        self, own: str, seeds: tuple[str, ...], *, random_state: random.Random
    ) -> None:
        self._own = own
        self._seeds = tuple(seed for seed in seeds if seed != own)
        self._random_state = random_state
        self._heard_ms: dict[str, float] = {}
        self._told_ms: dict[str, float] = {}
        self._zones: dict[str, str] = {}
        self._capacities: dict[str, float] = {}
        self._addresses: tuple[str, ...] | None = None
        self._changed_ms = float("-inf")

    def __len__(self) -> int:
        return len(self.addresses)

    @property
    def addresses(self) -> tuple[str, ...]:
        """:returns: VMs that were heard or heard of lately"""
        if self._addresses is None:
            self._addresses = tuple(self._heard_ms.keys() | self._told_ms.keys())
        return self._addresses

    @property
    def unheard_seeds(self) -> tuple[str, ...]:
        """:returns: seeds that nobody has told of lately; they may be gone"""
        return tuple(set(self._seeds).difference(self.addresses))

    def list_by_zone(self) -> dict[str, list[str]]:
        """:returns: the VMs by availability zone, ``""`` for those of an unknown one"""
        zones: dict[str, list[str]] = {}
        for address in self.addresses:
            zones.setdefault(self._zones.get(address, ""), []).append(address)
        return zones

    def list_capacities(self) -> dict[str, dict[str, float]]:
        """:returns: processors of the VMs in cores, by availability zone and address"""
        zones: dict[str, dict[str, float]] = {}
        for address in self.addresses:
            zone = zones.setdefault(self._zones.get(address, ""), {})
            zone[address] = self.find_capacity(address)
        return zones

    def find_capacity(self, address: str) -> float:
        """:returns: the processor of a VM in cores"""
        return self._capacities.get(address, UNKNOWN_CAPACITY)

    def list_zone(self, availability_zone: str) -> tuple[str, ...]:
        """:returns: the VMs of one availability zone"""
        return tuple(
            address
            for address in self.addresses
            if self._zones.get(address) == availability_zone
        )

    def list_others(self, availability_zone: str) -> tuple[str, ...]:
        """:returns: the VMs of other zones, and those of an unknown one"""
        return tuple(
            address
            for address in self.addresses
            if self._zones.get(address) != availability_zone
        )

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other addresses to begin with."""
        self._seeds = tuple(seed for seed in seeds if seed != self._own)

    def note_heard(
        self,
        address: str,
        now_ms: float,
        availability_zone: str = "",
        capacity: float = 0.0,
    ) -> bool:
        """:returns: whether a VM that sent something is new

        :param availability_zone: the VM's, if it said so
        :param capacity: the VM's processor in cores, if it said so
        """
        if address == self._own:
            return False
        if availability_zone:
            self._zones[address] = availability_zone
        if capacity > 0:
            self._capacities[address] = capacity
        is_new = address not in self._heard_ms and address not in self._told_ms
        self._heard_ms[address] = now_ms
        if is_new:
            self._note_change(now_ms)
        return is_new

    def note_told(
        self, known: Mapping[str, Mapping[str, float]], now_ms: float
    ) -> None:
        """Take VMs that another VM has heard.

        :param known: processors in cores, 0 if unknown, by zone and address
        """
        for availability_zone, vms in known.items():
            for address, capacity in vms.items():
                if address == self._own:
                    continue
                if address not in self._told_ms and address not in self._heard_ms:
                    if not _is_address(address):
                        continue
                    self._note_change(now_ms)
                self._told_ms[address] = now_ms
                if availability_zone:
                    self._zones[address] = availability_zone
                if capacity > 0:
                    self._capacities[address] = capacity

    def expire(self, now_ms: float) -> tuple[str, ...]:
        """:returns: VMs that were not heard of for too long; they are forgotten"""
        before = self.addresses
        self._addresses = None
        for times in (self._heard_ms, self._told_ms):
            for address, at_ms in tuple(times.items()):
                if now_ms - at_ms > FORGET_MS:
                    del times[address]
        gone = set(before) - set(self.addresses)
        for address in gone:
            self._zones.pop(address, None)
            self._capacities.pop(address, None)
        if gone:
            self._note_change(now_ms)
        return tuple(gone)

    def is_calm(self, now_ms: float) -> bool:
        """:returns: whether no VM was found or lost for a while"""
        return now_ms - self._changed_ms > CALM_MS

    def choose(self, n_peers: int) -> tuple[str, ...]:
        """:returns: some peers to greet, among them a seed now and then

        Seeds are greeted for ever: two halves of a fleet that lost each other find
        together again there. The more VMs there are, the more rarely each does so.
        """
        known = sorted(self.addresses)
        chosen = set(self._random_state.sample(known, min(n_peers, len(known))))
        seed_share = N_SEED_GREETERS / max(1, len(known))
        if self._seeds and self._random_state.random() < seed_share:
            chosen.add(self._random_state.choice(self._seeds))
        return tuple(sorted(chosen))

    def _note_change(self, now_ms: float) -> None:
        self._addresses = None
        self._changed_ms = now_ms

    def list_told(self, now_ms: float) -> dict[str, dict[str, float]]:
        """:returns: some of the addresses heard, for another VM, by availability zone

        What was only told is not told on: VMs that tell each other of one that is gone
        would keep it for ever.
        """
        known = [*self._heard_ms]
        told: dict[str, dict[str, float]] = {}
        n_told = N_TOLD
        if self.is_calm(now_ms):
            n_told = max(MIN_TOLD, min(N_TOLD, len(self) // CALM_TOLD_DIVISOR))
        for address in self._random_state.sample(known, min(n_told, len(known))):
            zone = told.setdefault(self._zones.get(address, ""), {})
            zone[address] = self._capacities.get(address, 0.0)
        return told


def _is_address(text: str) -> bool:
    """:returns: whether datagrams can be sent there; names are not looked up"""
    try:
        IPv4Address(text)
    except AddressValueError:
        return False
    return True


__all__ = ("FORGET_MS", "N_TOLD", "PeerTable")
