"""VMs that tell each other their loads over a network that fails, without sockets."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.load_changes import LoadChanges
from quetzaldeck.decisions.peer_load import PeerLoad, VmLoad
from quetzaldeck.decisions.relays import RelayBounds
from quetzaldeck.entry.peers.messages import (
    LoadNews,
    PeerMessage,
    build_load_news,
    decode_message,
    encode_message,
    read_load_news,
)
from quetzaldeck.entry.peers.node import PeerNode
from quetzaldeck.entry.peers.table import PeerTable
from quetzaldeck.entry.peers.task import GREET_MS, N_GREETED, N_GREETED_CALM

if TYPE_CHECKING:
    from collections.abc import Callable

N_SEEDS = 3
LATENCY_MS = 1.4
STEP_MS = 10.0
SMALL = 0.12
LARGE = 0.5
LARGE_DIVISOR = 13
"""One VM in so many has a large processor; both are in cores."""


class Counts(NamedTuple):
    """What the network has carried."""

    n_datagrams: int
    n_bytes: int
    n_bytes_between_zones: int


class PeerVm:
    """One VM: what it has at upstreams, and what it was told of the others'."""

    def __init__(
        self,
        address: str,
        zone: str,
        seeds: tuple[str, ...],
        *,
        run: int,
        seed: int,
        bounds: RelayBounds,
        capacity: float,
    ) -> None:
        self.address = address
        self.zone = zone
        self.vm = f"{address}/{run}"
        random_state = random.Random(f"{seed} {self.vm}")
        self.table = PeerTable(address, seeds, random_state=random_state)
        self.node = PeerNode(
            address,
            self.table,
            vm=self.vm,
            availability_zone=zone,
            capacity=capacity,
            bounds=bounds,
        )
        self.capacity = capacity
        self.shares: dict[str, VmLoad] = {}
        self.peers: dict[str, PeerLoad] = {}
        self.frozen_until_ms = 0.0
        self.greeted_ms = float("-inf")
        self.runs: dict[str, str] = {}
        self.n_datagrams = 0
        self.heard: list[tuple[float, LoadNews]] = []
        self._changes = LoadChanges()

    def total(self, upstream: str, now_ms: float) -> VmLoad:
        """:returns: what it believes that the others have at an upstream"""
        load = self.peers.get(upstream)
        return VmLoad() if load is None else load.total(now_ms)

    def tell(self, now_ms: float) -> None:
        """Tell what has changed."""
        changed = self._changes.select_due(self.shares.items(), now_ms, len(self.table))
        if changed:
            self.node.tell(now_ms, loads=[build_load_news(*entry) for entry in changed])

    def take(
        self, message: PeerMessage, sender: str, now_ms: float
    ) -> PeerMessage | None:
        """:returns: a greeting, for a VM whose run it had not heard of"""
        n_known = len(self.table)
        zone, capacity = message.availability_zone, message.capacity
        self.table.note_heard(sender, now_ms, zone, capacity)
        self.table.note_told(message.known, now_ms)
        if len(self.table) != n_known:
            self.node.note_fleet_changed()
        is_new = self.runs.get(sender) != message.vm
        self.runs[sender] = message.vm
        if is_new:
            current = [e for e in self.shares.items() if e[1].says_anything]
            self.node.welcome(sender, [build_load_news(*entry) for entry in current])
        for news in self.node.receive(message, sender, now_ms):
            for load in news.loads:
                share = read_load_news(load)
                self.peers.setdefault(load.upstream, PeerLoad()).update(
                    news.vm, share, now_ms
                )
                self.heard.append((now_ms, load))
        return self.greet(now_ms) if is_new else None

    def greet(self, now_ms: float) -> PeerMessage:
        """:returns: a greeting"""
        told = self.table.list_told(now_ms)
        return PeerMessage(self.vm, self.zone, self.capacity, told)


class PeerFleet:
    """Steps VMs and a network.

    :param loss: share of datagrams that are lost
    :param jitter_ms: by how much they may overtake each other
    """

    def __init__(
        self,
        n_vms: int,
        *,
        n_zones: int = 5,
        loss: float = 0.0,
        seed: int = 0,
        bounds: RelayBounds | None = None,
    ) -> None:
        self._bounds = RelayBounds() if bounds is None else bounds
        self.random_state = random.Random(seed)
        self.loss = loss
        self.jitter_ms = 0.0
        self.repeat = 0.0
        self.now_ms = 0.0
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self._seed = seed
        self._runs = itertools.count()
        self._order = itertools.count()
        self._under_way: list[tuple[float, int, str, str, bytes]] = []
        self._counts = Counts(0, 0, 0)
        places = [(f"10.{i % n_zones}.0.{i}", f"z{i % n_zones}") for i in range(n_vms)]
        self.zones = dict(places)
        self._seeds = tuple(address for address, _ in places[:N_SEEDS])
        self.vms: dict[str, PeerVm] = {}
        for address, _ in places:
            self.start(address)

    def start(self, address: str) -> PeerVm:
        """Start a VM, for the first time or again."""
        zone = self.zones.setdefault(address, "z0")
        number = list(self.zones).index(address)
        vm = PeerVm(
            address,
            zone,
            self._seeds,
            run=next(self._runs),
            seed=self._seed,
            bounds=self._bounds,
            capacity=LARGE if number % LARGE_DIVISOR == 0 else SMALL,
        )
        self.vms[address] = vm
        return vm

    def stop(self, address: str) -> None:
        """Kill a VM."""
        del self.vms[address]

    def run(self, duration_ms: float) -> None:
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._deliver()
            for vm in tuple(self.vms.values()):
                if vm.frozen_until_ms <= self.now_ms:
                    self._step(vm)

    def take_counts(self) -> Counts:
        """:returns: what was carried since the last call"""
        counts, self._counts = self._counts, Counts(0, 0, 0)
        return counts

    def expected(self, address: str, upstream: str) -> VmLoad:
        """:returns: what the other VMs have at an upstream"""
        shares = [
            vm.shares.get(upstream, VmLoad())
            for vm in self.vms.values()
            if vm.address != address
        ]
        return VmLoad(
            sum(share.n_requests for share in shares),
            sum(share.n_prefill_tokens for share in shares),
            sum(share.n_kv_tokens for share in shares),
            sum(share.n_parts for share in shares),
        )

    def list_wrong(self) -> list[tuple[str, str]]:
        """:returns: VMs and upstreams of which they believe what is not so"""
        upstreams = {u for vm in self.vms.values() for u in vm.shares}
        upstreams |= {u for vm in self.vms.values() for u in vm.peers}
        return [
            (address, upstream)
            for address, vm in self.vms.items()
            for upstream in sorted(upstreams)
            if vm.total(upstream, self.now_ms) != self.expected(address, upstream)
        ]

    def _step(self, vm: PeerVm) -> None:
        if self.now_ms - vm.greeted_ms >= GREET_MS:
            vm.greeted_ms = self.now_ms
            if vm.table.expire(self.now_ms):
                vm.node.note_fleet_changed()
            is_calm = vm.table.is_calm(self.now_ms)
            for address in vm.table.choose(N_GREETED_CALM if is_calm else N_GREETED):
                self._send(vm, vm.greet(self.now_ms), address)
        vm.tell(self.now_ms)
        vm.node.advance(self.now_ms)
        self._send_outgoing(vm)

    def _deliver(self) -> None:
        waiting = []
        while self._under_way and self._under_way[0][0] <= self.now_ms:
            entry = heapq.heappop(self._under_way)
            _, _, sender, receiver, data = entry
            vm = self.vms.get(receiver)
            if vm is None:
                continue
            if vm.frozen_until_ms > self.now_ms:
                waiting.append((vm.frozen_until_ms, *entry[1:]))
                continue
            greeting = vm.take(decode_message(data), sender, self.now_ms)
            if greeting is not None:
                self._send(vm, greeting, sender)
            self._send_outgoing(vm)
        for entry in waiting:
            heapq.heappush(self._under_way, entry)

    def _send_outgoing(self, vm: PeerVm) -> None:
        for message, addresses in vm.node.take_outgoing():
            for address in addresses:
                self._send(vm, message, address)

    def _send(self, vm: PeerVm, message: PeerMessage, address: str) -> None:
        data = encode_message(message)
        vm.n_datagrams += 1
        is_between = vm.zone != self.zones.get(address)
        n_datagrams, n_bytes, n_between = self._counts
        self._counts = Counts(
            n_datagrams + 1, n_bytes + len(data), n_between + is_between * len(data)
        )
        if self.is_cut(vm.address, address):
            return
        n_copies = 1 + (self.random_state.random() < self.repeat)
        for _ in range(n_copies):
            if self.random_state.random() < self.loss:
                continue
            delay_ms = LATENCY_MS + self.random_state.uniform(0.0, self.jitter_ms)
            at_ms = self.now_ms + delay_ms
            order = next(self._order)
            heapq.heappush(self._under_way, (at_ms, order, vm.address, address, data))


__all__ = ("Counts", "PeerFleet", "PeerVm")
