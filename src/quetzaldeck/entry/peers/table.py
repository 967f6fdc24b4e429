"""The other entry VMs that this one knows of."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

PEER_TTL_MS = 20_000.0
"""A VM that neither sent a message nor was reported for this long is removed. Sending
to a dead VM costs a few bytes; one that was paused or unreachable should still be known
when it comes back."""

MAX_SHARED_ADDRESSES = 48
"""Addresses in one greeting: with greetings to a few VMs each second, all VMs of a
fleet of a hundred know each other within ten seconds. It fits into one packet."""

UNKNOWN_CAPACITY = 0.1
"""Processor, in cores, assumed for a VM that did not report it: too small for the VM to
be chosen for work on behalf of others."""

STABLE_AFTER_MS = 10_000.0
"""Time without a VM found or lost after which greetings list fewer addresses."""

N_SEED_GREETERS = 8
"""VMs that greet a seed in each interval, on average, for any size of the fleet."""

MIN_SHARED_ADDRESSES = 16
STABLE_FLEET_DIVISOR = 8
"""A greeting in a stable fleet lists the fleet's size divided by this. With four
greetings a second, a VM is reported to each other VM every two seconds, a tenth of
``PEER_TTL_MS``."""


class PeerTable:
    """Addresses of other VMs, learned from the seeds and from messages.

    A VM counts as heard if it sent a message to this one, and as reported if another VM
    listed it.

    :param own: this VM's address, which is never a peer
    :param seeds: addresses to contact first; they may be gone
    """

    def __init__(
        self, own: str, seeds: tuple[str, ...], *, random_state: random.Random
    ) -> None:
        self._own = own
        self._seeds = tuple(seed for seed in seeds if seed != own)
        self._random_state = random_state
        self._heard_ms: dict[str, float] = {}
        self._reported_ms: dict[str, float] = {}
        self._zones: dict[str, str] = {}
        self._capacities: dict[str, float] = {}
        self._addresses: tuple[str, ...] | None = None
        self._changed_ms = float("-inf")

    def __len__(self) -> int:
        return len(self.addresses)

    @property
    def addresses(self) -> tuple[str, ...]:
        """:returns: VMs that were heard or reported recently"""
        if self._addresses is None:
            self._addresses = tuple(self._heard_ms.keys() | self._reported_ms.keys())
        return self._addresses

    @property
    def unknown_seeds(self) -> tuple[str, ...]:
        """:returns: seeds that were not heard or reported recently; they may be gone"""
        return tuple(set(self._seeds).difference(self.addresses))

    def list_by_zone(self) -> dict[str, list[str]]:
        """:returns: the VMs by availability zone; ``""`` if the zone is not known"""
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
        """:returns: the processor of a VM, in cores"""
        return self._capacities.get(address, UNKNOWN_CAPACITY)

    def list_zone(self, availability_zone: str) -> tuple[str, ...]:
        """:returns: the VMs of one availability zone"""
        return tuple(
            address
            for address in self.addresses
            if self._zones.get(address) == availability_zone
        )

    def list_others(self, availability_zone: str) -> tuple[str, ...]:
        """:returns: the VMs of other zones, and those whose zone is not known"""
        return tuple(
            address
            for address in self.addresses
            if self._zones.get(address) != availability_zone
        )

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds."""
        self._seeds = tuple(seed for seed in seeds if seed != self._own)

    def note_heard(
        self,
        address: str,
        now_ms: float,
        availability_zone: str = "",
        capacity: float = 0.0,
    ) -> bool:
        """Note a VM that has sent a message.

        :param availability_zone: the VM's, if the message states it
        :param capacity: the VM's processor in cores, if the message states it
        :returns: whether the VM was not known before
        """
        if address == self._own:
            return False
        if availability_zone:
            self._zones[address] = availability_zone
        if capacity > 0:
            self._capacities[address] = capacity
        is_new = address not in self._heard_ms and address not in self._reported_ms
        self._heard_ms[address] = now_ms
        if is_new:
            self._note_change(now_ms)
        return is_new

    def note_reported(
        self, known: Mapping[str, Mapping[str, float]], now_ms: float
    ) -> None:
        """Note the VMs that another VM has heard.

        :param known: processors in cores, 0 if unknown, by zone and address
        """
        for availability_zone, vms in known.items():
            for address, capacity in vms.items():
                if address == self._own:
                    continue
                if address not in self._reported_ms and address not in self._heard_ms:
                    if not _is_address(address):
                        continue
                    self._note_change(now_ms)
                self._reported_ms[address] = now_ms
                if availability_zone:
                    self._zones[address] = availability_zone
                if capacity > 0:
                    self._capacities[address] = capacity

    def expire(self, now_ms: float) -> tuple[str, ...]:
        """Remove VMs whose ``PEER_TTL_MS`` has passed.

        :returns: the removed VMs
        """
        before = self.addresses
        self._addresses = None
        for times in (self._heard_ms, self._reported_ms):
            for address, at_ms in tuple(times.items()):
                if now_ms - at_ms > PEER_TTL_MS:
                    del times[address]
        removed = set(before) - set(self.addresses)
        for address in removed:
            self._zones.pop(address, None)
            self._capacities.pop(address, None)
        if removed:
            self._note_change(now_ms)
        return tuple(removed)

    def is_stable(self, now_ms: float) -> bool:
        """:returns: whether no VM was found or lost for ``STABLE_AFTER_MS``"""
        return now_ms - self._changed_ms > STABLE_AFTER_MS

    def choose_greeted(self, n_peers: int) -> tuple[str, ...]:
        """:returns: a random choice of peers to greet, sometimes with a seed

        Seeds are greeted for as long as the VM runs: two halves of a partitioned fleet
        find each other again by way of the seeds. The probability falls with the size
        of the fleet, so that the load on the seeds does not grow with it.
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

    def sample_heard(self, now_ms: float) -> dict[str, dict[str, float]]:
        """:returns: a random sample of the VMs heard, to be listed in a greeting

        VMs that were only reported are left out: otherwise VMs would go on reporting a
        dead one to each other and never remove it.
        """
        known = [*self._heard_ms]
        sample: dict[str, dict[str, float]] = {}
        n_addresses = MAX_SHARED_ADDRESSES
        if self.is_stable(now_ms):
            n_addresses = max(
                MIN_SHARED_ADDRESSES,
                min(MAX_SHARED_ADDRESSES, len(self) // STABLE_FLEET_DIVISOR),
            )
        for address in self._random_state.sample(known, min(n_addresses, len(known))):
            zone = sample.setdefault(self._zones.get(address, ""), {})
            zone[address] = self._capacities.get(address, 0.0)
        return sample


def _is_address(text: str) -> bool:
    """:returns: whether ``text`` is an IPv4 address; host names are not resolved"""
    try:
        IPv4Address(text)
    except AddressValueError:
        return False
    return True


__all__ = ("MAX_SHARED_ADDRESSES", "PEER_TTL_MS", "STABLE_AFTER_MS", "PeerTable")
