"""Updates reach all VMs of a fleet, directly or through relays, despite faults."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from tests.entry.peers.peer_fleet import PeerFleet

from quetzaldeck.decisions.loads.load_changes import REFRESH_INTERVAL_MS
from quetzaldeck.decisions.loads.peer_load import PEER_LOAD_TTL_MS, VmLoad
from quetzaldeck.entry.peers.messages import CrashUpdate, LoadUpdate, VmUpdate
from quetzaldeck.entry.peers.update_store import UpdateQueue, split_updates

DISCOVERY_MS = 6_000.0
"""Time after which VMs that start together know each other."""

SETTLE_MS = PEER_LOAD_TTL_MS + 2 * REFRESH_INTERVAL_MS
"""Time after a fault until all totals are correct again: lost updates have been
repeated, and loads of dead VMs have expired."""

BUSY = VmLoad(2, 5_000, 6_000, 1)
MORE = VmLoad(3, 9_000, 9_000, 1)
IDLE = VmLoad()


def make_fleet(n_vms: int, **kwargs: float) -> PeerFleet:
    fleet = PeerFleet(n_vms, **kwargs)  # type: ignore[arg-type]
    fleet.run(DISCOVERY_MS)
    return fleet


def find_relays(fleet: PeerFleet) -> list[str]:
    return [address for address, vm in fleet.vms.items() if vm.node.n_members]


@pytest.mark.parametrize("n_vms", [2, 7, 22, 24, 25, 26, 60])
def test_every_vm_knows_the_total_load_of_the_others(n_vms: int) -> None:
    fleet = make_fleet(n_vms)
    for number, vm in enumerate(fleet.vms.values()):
        vm.own_loads = {"e0": BUSY, f"e{number % 5}": MORE}
    fleet.run(300.0)
    assert not fleet.list_mismatches()
    for vm in fleet.vms.values():
        vm.own_loads = dict.fromkeys(vm.own_loads, IDLE)
    fleet.run(600.0)
    assert not fleet.list_mismatches()


def test_update_reaches_all_vms_of_a_large_fleet_within_100_ms() -> None:
    """Guards against long prompts placed on an engine that has just received one."""
    fleet = make_fleet(60)
    next(iter(fleet.vms.values())).own_loads["e0"] = BUSY
    fleet.run(100.0)
    assert not fleet.list_mismatches()


def test_messages_do_not_grow_with_the_square_of_the_fleet() -> None:
    """Guards against 50,000 datagrams a second for a hundred requests with 195 VMs."""
    per_vm = {}
    direct = 0.0
    for n_vms in (30, 120):
        fleet = make_fleet(n_vms)
        fleet.take_counts()
        n_changes = 0
        for step in range(100):
            # Half a request a second at each VM: started, first token, ended.
            for number, vm in enumerate(fleet.vms.values()):
                if (step + number * 7) % 40 == 0:
                    n_changes += 1
                    load = (BUSY, MORE, IDLE)[n_changes % 3]
                    vm.own_loads[f"e{number % 20}"] = load
            fleet.run(20.0)
        counts = fleet.take_counts()
        per_vm[n_vms] = counts.n_datagrams / n_vms / 2.0
        direct = n_changes * (n_vms - 1) / n_vms / 2.0
    assert per_vm[120] <= 2 * per_vm[30]
    assert per_vm[120] <= 0.5 * direct


def test_killed_relay_is_replaced_and_loads_are_known_again() -> None:
    """Guards against a zone that receives no updates after its relay has died."""
    fleet = make_fleet(60)
    for vm in fleet.vms.values():
        vm.own_loads["e0"] = BUSY
    fleet.run(300.0)
    for relay in find_relays(fleet):
        fleet.stop(relay)
    survivors = list(fleet.vms.values())
    fleet.run(1_200.0)
    for vm in survivors:
        vm.own_loads["e1"] = MORE
    fleet.run(300.0)
    totals = [vm.total("e1", fleet.now_ms).n_requests for vm in survivors]
    assert totals == [3 * (len(survivors) - 1)] * len(survivors)
    fleet.run(SETTLE_MS)
    assert not fleet.list_mismatches()


def test_paused_relay_delays_updates_by_less_than_a_second() -> None:
    """Guards against VMs that wait for a paused relay until it resumes."""
    fleet = make_fleet(60)
    for relay in find_relays(fleet):
        fleet.vms[relay].paused_until_ms = fleet.now_ms + 4_000.0
    running = [vm for vm in fleet.vms.values() if not vm.paused_until_ms]
    fleet.run(900.0)
    running[0].own_loads["e0"] = BUSY
    fleet.run(300.0)
    assert all(vm.total("e0", fleet.now_ms) == BUSY for vm in running[1:])
    fleet.run(4_000.0 + SETTLE_MS)
    assert not fleet.list_mismatches()


def test_vm_that_joins_knows_the_loads_before_the_next_refresh() -> None:
    """Guards against a new VM that considers all engines idle."""
    fleet = make_fleet(60)
    for vm in fleet.vms.values():
        vm.own_loads["e0"] = BUSY
    fleet.run(300.0)
    started = [fleet.start(f"10.0.1.{number}") for number in range(10)]
    fleet.run(150.0)
    for vm in started:
        assert vm.total("e0", fleet.now_ms).n_requests == 2 * 60


def test_partitioned_zones_know_their_own_loads_and_reconnect_afterwards() -> None:
    fleet = make_fleet(60)
    partitioned = "z0"
    zones = fleet.zones
    fleet.is_partitioned = lambda a, b: (
        (zones[a] == partitioned) != (zones[b] == partitioned)
    )
    fleet.run(2_000.0)
    for vm in fleet.vms.values():
        vm.own_loads["e0"] = BUSY
    fleet.run(PEER_LOAD_TTL_MS)
    for vm in fleet.vms.values():
        n_reachable = sum(
            (other.zone == partitioned) == (vm.zone == partitioned)
            for other in fleet.vms.values()
        )
        assert vm.total("e0", fleet.now_ms).n_requests == 2 * (n_reachable - 1)
    fleet.is_partitioned = lambda a, b: False
    fleet.run(SETTLE_MS + 12_000.0)
    assert not fleet.list_mismatches()


def test_newer_update_stays_when_an_older_one_arrives_after_it() -> None:
    fleet = make_fleet(30)
    fleet.jitter_ms = 120.0
    fleet.duplication = 0.3
    vm = next(iter(fleet.vms.values()))
    for number in range(40):
        vm.own_loads["e0"] = VmLoad(number % 3 + 1, 10 * number, 1)
        fleet.run(20.0)
    vm.own_loads["e0"] = IDLE
    fleet.run(800.0)
    assert not fleet.list_mismatches()


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 70), st.integers(0, 3)), max_size=12
    )
)
def test_no_update_is_lost_between_the_queue_and_its_datagrams(
    entries: list[tuple[int, int, int]],
) -> None:
    queue = UpdateQueue()
    loads = {}
    crashes: list[CrashUpdate] = []
    for sequence, (vm, n_loads, n_crashes) in enumerate(entries):
        queued = tuple(LoadUpdate(f"e{i}", sequence, 1, 1) for i in range(n_loads))
        crashed = tuple(
            CrashUpdate(sequence, f"e{i}", "", 0.0) for i in range(n_crashes)
        )
        queue.add(VmUpdate(str(vm), sequence, queued, crashed))
        loads.update({(str(vm), load.upstream): load for load in queued})
        crashes += crashed
    parts = list(split_updates(queue.take(), 20))
    assert not queue
    sent = [update for part in parts for update in part]
    assert {(u.vm, x.upstream): x for u in sent for x in u.loads} == loads
    assert len([c for u in sent for c in u.crashes]) == len(crashes)
    for part in parts:
        assert sum(len(u.loads) + len(u.crashes) for u in part) <= 20


class FailingFleet(RuleBasedStateMachine):
    """Guards against loads that are counted twice, never expire, or are lost for good.

    VMs start, die, pause and become unreachable in any order while loads change; after
    a time without faults, each VM knows the sum of the others' loads.
    """

    @initialize(n_vms=st.sampled_from([5, 22, 26, 32]), seed=st.integers(0, 99))
    def begin(self, n_vms: int, seed: int) -> None:
        self.fleet = PeerFleet(n_vms, n_zones=3, seed=seed)
        self.fleet.run(2_000.0)
        self.n_started = 0

    def _pick(self, index: int) -> str:
        addresses = sorted(self.fleet.vms)
        return addresses[index % len(addresses)]

    @rule(index=st.integers(0, 99), upstream=st.sampled_from(["e0", "e1"]))
    def change(self, index: int, upstream: str) -> None:
        vm = self.fleet.vms[self._pick(index)]
        n_before = vm.own_loads.get(upstream, IDLE).n_requests
        vm.own_loads[upstream] = VmLoad((n_before + index) % 4, index, n_before)
        self.fleet.run(50.0)

    @rule(index=st.integers(0, 99))
    @precondition(lambda self: len(self.fleet.vms) > 2)
    def kill(self, index: int) -> None:
        self.fleet.stop(self._pick(index))
        self.fleet.run(20.0)

    @rule(index=st.integers(0, 99))
    def restart(self, index: int) -> None:
        self.fleet.start(self._pick(index))
        self.fleet.run(50.0)

    @rule()
    def add(self) -> None:
        self.n_started += 1
        self.fleet.start(f"10.0.9.{self.n_started}")
        self.fleet.run(200.0)

    @rule(index=st.integers(0, 99), pause_ms=st.sampled_from([300.0, 3_000.0]))
    def pause(self, index: int, pause_ms: float) -> None:
        vm = self.fleet.vms[self._pick(index)]
        vm.paused_until_ms = self.fleet.now_ms + pause_ms
        self.fleet.run(100.0)

    @rule(index=st.integers(0, 99), direction=st.sampled_from(["to", "from", "both"]))
    def partition(self, index: int, direction: str) -> None:
        address = self._pick(index)
        self.fleet.is_partitioned = lambda a, b: (
            (a == address and direction != "to")
            or (b == address and direction != "from")
        )
        self.fleet.run(700.0)

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]), jitter_ms=st.sampled_from([0.0, 90.0]))
    def degrade_network(self, loss: float, jitter_ms: float) -> None:
        self.fleet.loss = loss
        self.fleet.jitter_ms = jitter_ms
        self.fleet.duplication = 0.2
        self.fleet.run(200.0)

    @invariant()
    @precondition(lambda self: hasattr(self, "fleet"))
    def own_load_is_never_received_back(self) -> None:
        now_ms = self.fleet.now_ms
        for vm in self.fleet.vms.values():
            for load in vm.peer_loads.values():
                load.total(now_ms)
                assert vm.vm not in load._loads

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.is_partitioned = lambda a, b: False
        fleet.loss = fleet.jitter_ms = fleet.duplication = 0.0
        fleet.run(3_000.0 + 12_000.0 + SETTLE_MS)
        assert not fleet.list_mismatches()


TestFailingFleet = FailingFleet.TestCase
TestFailingFleet.settings = settings(
    max_examples=20,
    stateful_step_count=12,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
