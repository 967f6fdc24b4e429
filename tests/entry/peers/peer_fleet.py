"""Simulates VMs that exchange loads over a faulty network, without sockets."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.loads.load_changes import LoadChanges
from quetzaldeck.decisions.loads.peer_load import PeerLoad, VmLoad
from quetzaldeck.decisions.poison import (
    CrashSighting,
    PoisonBounds,
    PoisonRegistry,
    RunSighting,
)
from quetzaldeck.decisions.relays import RelayBounds
from quetzaldeck.entry.peers.crash_exchange import CrashExchange
from quetzaldeck.entry.peers.greetings import (
    GREETING_INTERVAL_MS,
    N_GREETED,
    N_GREETED_STABLE,
)
from quetzaldeck.entry.peers.messages import (
    LoadUpdate,
    PeerMessage,
    build_load_update,
    decode_message,
    encode_message,
    read_load_update,
)
from quetzaldeck.entry.peers.node import PeerNode
from quetzaldeck.entry.peers.table import PeerTable

if TYPE_CHECKING:
    from collections.abc import Callable

N_SEEDS = 3
LATENCY_MS = 1.4
STEP_MS = 10.0
SMALL = 0.12
LARGE = 0.5
N_UPSTREAMS = 117
NEEDS_PROOF = PoisonBounds(needs_proof=True)
LARGE_DIVISOR = 13
"""One VM in this many has a processor of ``LARGE`` cores, the others of ``SMALL``."""


class Counts(NamedTuple):
    """Traffic that the network has carried."""

    n_datagrams: int
    n_bytes: int
    n_bytes_between_zones: int


class RegistryKnowledge:
    """A registry as the exchange between VMs uses it.

    :param read_now_ms: returns the simulated time
    """

    def __init__(
        self, registry: PoisonRegistry, read_now_ms: Callable[[], float]
    ) -> None:
        self._registry = registry
        self._read_now_ms = read_now_ms

    def pop_crash_sightings(self) -> list[tuple[CrashSighting, ...]]:
        """:returns: sightings to announce"""
        return self._registry.pop_changed_sightings(self._read_now_ms())

    def list_crash_state(
        self, max_sightings: int, *, random_state: random.Random
    ) -> list[CrashSighting]:
        """:returns: sightings to repeat"""
        return self._registry.list_state(
            max_sightings, self._read_now_ms(), random_state=random_state
        )

    def observe_crashes(self, sightings: tuple[CrashSighting, ...]) -> None:
        """Apply what another VM knows."""
        self._registry.observe(sightings, self._read_now_ms())

    def pop_run_sightings(self) -> list[RunSighting]:
        """:returns: runs to announce"""
        return self._registry.ends.pop_changed_runs()

    def list_run_state(self, max_runs: int) -> list[RunSighting]:
        """:returns: runs to repeat"""
        return self._registry.ends.list_runs(max_runs, self._read_now_ms())

    def observe_runs(self, sightings: tuple[RunSighting, ...]) -> None:
        """Apply what another VM knows of runs."""
        self._registry.ends.observe_runs(sightings, self._read_now_ms())


class PeerVm:
    """One VM, with its own loads at upstreams and those that the others announced."""

    def __init__(
        self,
        address: str,
        zone: str,
        seeds: tuple[str, ...],
        *,
        incarnation: int,
        seed: int,
        bounds: RelayBounds,
        capacity: float,
    ) -> None:
        self.address = address
        self.zone = zone
        self.vm = f"{address}/{incarnation}"
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
        self.own_loads: dict[str, VmLoad] = {}
        self.peer_loads: dict[str, PeerLoad] = {}
        self.paused_until_ms = 0.0
        self.greeted_ms = float("-inf")
        self.incarnations: dict[str, str] = {}
        self.n_datagrams = 0
        self.received: list[tuple[float, LoadUpdate]] = []
        self.registry = PoisonRegistry(NEEDS_PROOF, count_upstreams=lambda: N_UPSTREAMS)
        self._crashes = CrashExchange(
            RegistryKnowledge(self.registry, lambda: self.now_ms), self.vm, random_state
        )
        self.now_ms = 0.0
        self._changes = LoadChanges()

    def total(self, upstream: str, now_ms: float) -> VmLoad:
        """:returns: the load of all other VMs at an upstream, as this VM knows it"""
        load = self.peer_loads.get(upstream)
        return VmLoad() if load is None else load.total(now_ms)

    def announce(self, now_ms: float) -> None:
        """Announce the loads that have changed, and crashes."""
        self.now_ms = now_ms
        changed = self._changes.select_due(
            self.own_loads.items(), now_ms, len(self.table)
        )
        crashes = self._crashes.take_announcements()
        runs = self._crashes.take_run_announcements()
        if changed or crashes or runs:
            loads = [build_load_update(*entry) for entry in changed]
            self.node.announce(now_ms, loads=loads, crashes=crashes, runs=runs)

    def receive(
        self, message: PeerMessage, sender: str, now_ms: float
    ) -> list[PeerMessage]:
        """Handle a message.

        :returns: what the sender is told at once, if its incarnation is new
        """
        self.now_ms = now_ms
        self._crashes.observe(message.crashes)
        self._crashes.observe_runs(message.runs)
        n_known = len(self.table)
        zone, capacity = message.availability_zone, message.capacity
        self.table.note_heard(sender, now_ms, zone, capacity)
        self.table.note_reported(message.known, now_ms)
        if len(self.table) != n_known:
            self.node.note_fleet_changed()
        is_new = self.incarnations.get(sender) != message.vm
        self.incarnations[sender] = message.vm
        if is_new:
            current = [e for e in self.own_loads.items() if e[1].says_anything]
            self.node.send_current_loads(
                sender, [build_load_update(*entry) for entry in current]
            )
        for update in self.node.receive(message, sender, now_ms):
            self._crashes.observe(update.crashes)
            self._crashes.observe_runs(update.runs)
            for load_update in update.loads:
                load = read_load_update(load_update)
                self.peer_loads.setdefault(load_update.upstream, PeerLoad()).update(
                    update.vm, load, now_ms
                )
                self.received.append((now_ms, load_update))
        if not is_new:
            return []
        greeting = self.build_greeting(now_ms)
        return [greeting, *self._crashes.build_messages_for_new_vm()]

    def build_greeting(self, now_ms: float) -> PeerMessage:
        """:returns: a greeting"""
        known = self.table.sample_heard(now_ms)
        return PeerMessage(
            self.vm,
            self.zone,
            self.capacity,
            known,
            crashes=self._crashes.list_updates(),
            runs=self._crashes.list_run_updates(),
        )


class PeerFleet:
    """Steps the VMs and the network between them.

    :param loss: share of datagrams that are lost
    :param jitter_ms: largest extra delay of a datagram, so that datagrams arrive out of
        order
    :param duplication: share of datagrams that arrive twice
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
        self.duplication = 0.0
        self.now_ms = 0.0
        self.is_partitioned: Callable[[str, str], bool] = lambda sender, receiver: False
        self._seed = seed
        self._incarnations = itertools.count()
        self._order = itertools.count()
        self._in_flight: list[tuple[float, int, str, str, bytes]] = []
        self._counts = Counts(0, 0, 0)
        self.max_bytes = 0
        places = [(f"10.{i % n_zones}.0.{i}", f"z{i % n_zones}") for i in range(n_vms)]
        self.zones = dict(places)
        self._seeds = tuple(address for address, _ in places[:N_SEEDS])
        self.vms: dict[str, PeerVm] = {}
        for address, _ in places:
            self.start(address)

    def start(self, address: str) -> PeerVm:
        """Start or restart a VM."""
        zone = self.zones.setdefault(address, "z0")
        number = list(self.zones).index(address)
        vm = PeerVm(
            address,
            zone,
            self._seeds,
            incarnation=next(self._incarnations),
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
        """Advance the simulated time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._deliver()
            for vm in tuple(self.vms.values()):
                if vm.paused_until_ms <= self.now_ms:
                    self._step(vm)

    def take_counts(self) -> Counts:
        """:returns: the traffic since the last call"""
        counts, self._counts = self._counts, Counts(0, 0, 0)
        return counts

    def expected(self, address: str, upstream: str) -> VmLoad:
        """:returns: the sum of the other VMs' loads at an upstream"""
        loads = [
            vm.own_loads.get(upstream, VmLoad())
            for vm in self.vms.values()
            if vm.address != address
        ]
        return VmLoad(
            sum(load.n_requests for load in loads),
            sum(load.n_prefill_tokens for load in loads),
            sum(load.n_kv_tokens for load in loads),
            sum(load.n_parts for load in loads),
        )

    def list_mismatches(self) -> list[tuple[str, str]]:
        """:returns: pairs of VM and upstream for which the VM knows a wrong total"""
        upstreams = {u for vm in self.vms.values() for u in vm.own_loads}
        upstreams |= {u for vm in self.vms.values() for u in vm.peer_loads}
        return [
            (address, upstream)
            for address, vm in self.vms.items()
            for upstream in sorted(upstreams)
            if vm.total(upstream, self.now_ms) != self.expected(address, upstream)
        ]

    def _step(self, vm: PeerVm) -> None:
        if self.now_ms - vm.greeted_ms >= GREETING_INTERVAL_MS:
            vm.greeted_ms = self.now_ms
            if vm.table.expire(self.now_ms):
                vm.node.note_fleet_changed()
            is_stable = vm.table.is_stable(self.now_ms)
            for address in vm.table.choose_greeted(
                N_GREETED_STABLE if is_stable else N_GREETED
            ):
                self._send(vm, vm.build_greeting(self.now_ms), address)
        vm.announce(self.now_ms)
        vm.node.advance(self.now_ms)
        self._send_outgoing(vm)

    def _deliver(self) -> None:
        waiting = []
        while self._in_flight and self._in_flight[0][0] <= self.now_ms:
            entry = heapq.heappop(self._in_flight)
            _, _, sender, receiver, data = entry
            vm = self.vms.get(receiver)
            if vm is None:
                continue
            if vm.paused_until_ms > self.now_ms:
                waiting.append((vm.paused_until_ms, *entry[1:]))
                continue
            for message in vm.receive(decode_message(data), sender, self.now_ms):
                self._send(vm, message, sender)
            self._send_outgoing(vm)
        for entry in waiting:
            heapq.heappush(self._in_flight, entry)

    def _send_outgoing(self, vm: PeerVm) -> None:
        for message, addresses in vm.node.take_outgoing():
            for address in addresses:
                self._send(vm, message, address)

    def _send(self, vm: PeerVm, message: PeerMessage, address: str) -> None:
        data = encode_message(message)
        vm.n_datagrams += 1
        self.max_bytes = max(self.max_bytes, len(data))
        is_between = vm.zone != self.zones.get(address)
        n_datagrams, n_bytes, n_between = self._counts
        self._counts = Counts(
            n_datagrams + 1, n_bytes + len(data), n_between + is_between * len(data)
        )
        if self.is_partitioned(vm.address, address):
            return
        n_copies = 1 + (self.random_state.random() < self.duplication)
        for _ in range(n_copies):
            if self.random_state.random() < self.loss:
                continue
            delay_ms = LATENCY_MS + self.random_state.uniform(0.0, self.jitter_ms)
            at_ms = self.now_ms + delay_ms
            order = next(self._order)
            heapq.heappush(self._in_flight, (at_ms, order, vm.address, address, data))


__all__ = ("Counts", "PeerFleet", "PeerVm")
