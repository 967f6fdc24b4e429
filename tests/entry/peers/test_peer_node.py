"""News that reach all VMs of a fleet, by way of relays, while parts of it fail."""

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

from quetzaldeck.decisions.load_changes import REFRESH_INTERVAL_MS
from quetzaldeck.decisions.peer_load import PEER_LOAD_TTL_MS, VmLoad
from quetzaldeck.entry.peers.messages import CrashNews, LoadNews, VmNews
from quetzaldeck.entry.peers.news_book import NewsQueue, split_news

MEET_MS = 6_000.0
"""Time in which VMs that start together know each other."""

SETTLE_MS = PEER_LOAD_TTL_MS + 2 * REFRESH_INTERVAL_MS
"""Time after trouble in which what is believed is true again: what was lost is
repeated, and what a VM that died had is forgotten."""

BUSY = VmLoad(2, 5_000, 6_000, 1)
MORE = VmLoad(3, 9_000, 9_000, 1)
IDLE = VmLoad()


def make_fleet(n_vms: int, **kwargs: float) -> PeerFleet:
    fleet = PeerFleet(n_vms, **kwargs)  # type: ignore[arg-type]
    fleet.run(MEET_MS)
    return fleet


def find_relays(fleet: PeerFleet) -> list[str]:
    return [address for address, vm in fleet.vms.items() if vm.node.n_members]


@pytest.mark.parametrize("n_vms", [2, 7, 22, 24, 25, 26, 60])
def test_every_vm_knows_the_sum_of_the_others(n_vms: int) -> None:
    fleet = make_fleet(n_vms)
    for number, vm in enumerate(fleet.vms.values()):
        vm.shares = {"e0": BUSY, f"e{number % 5}": MORE}
    fleet.run(300.0)
    assert not fleet.list_wrong()
    for vm in fleet.vms.values():
        vm.shares = dict.fromkeys(vm.shares, IDLE)
    fleet.run(600.0)
    assert not fleet.list_wrong()


def test_news_of_one_vm_reach_all_of_a_large_fleet_within_a_tenth_of_a_second() -> None:
    """Guards against long prompts that are placed on an engine which just got one."""
    fleet = make_fleet(60)
    next(iter(fleet.vms.values())).shares["e0"] = BUSY
    fleet.run(100.0)
    assert not fleet.list_wrong()


def test_messages_do_not_grow_with_the_square_of_the_fleet() -> None:
    """Guards against 50,000 datagrams a second for a hundred requests at 195 VMs."""
    per_vm = {}
    direct = 0.0
    for n_vms in (30, 120):
        fleet = make_fleet(n_vms)
        fleet.take_counts()
        n_changes = 0
        for step in range(100):
            # Half a request a second at each VM: begun, first token, ended.
            for number, vm in enumerate(fleet.vms.values()):
                if (step + number * 7) % 40 == 0:
                    n_changes += 1
                    load = (BUSY, MORE, IDLE)[n_changes % 3]
                    vm.shares[f"e{number % 20}"] = load
            fleet.run(20.0)
        counts = fleet.take_counts()
        per_vm[n_vms] = counts.n_datagrams / n_vms / 2.0
        direct = n_changes * (n_vms - 1) / n_vms / 2.0
    assert per_vm[120] <= 2 * per_vm[30]
    assert per_vm[120] <= 0.5 * direct


def test_relay_that_is_killed_is_replaced_and_loads_are_known_again() -> None:
    """Guards against a zone that hears nothing after its relay has died."""
    fleet = make_fleet(60)
    for vm in fleet.vms.values():
        vm.shares["e0"] = BUSY
    fleet.run(300.0)
    for relay in find_relays(fleet):
        fleet.stop(relay)
    survivors = list(fleet.vms.values())
    fleet.run(1_200.0)
    for vm in survivors:
        vm.shares["e1"] = MORE
    fleet.run(300.0)
    told = [vm.total("e1", fleet.now_ms).n_requests for vm in survivors]
    assert told == [3 * (len(survivors) - 1)] * len(survivors)
    fleet.run(SETTLE_MS)
    assert not fleet.list_wrong()


def test_relay_that_stands_still_delays_news_by_less_than_a_second() -> None:
    """Guards against VMs that wait for a stopped relay for as long as it stands."""
    fleet = make_fleet(60)
    for relay in find_relays(fleet):
        fleet.vms[relay].frozen_until_ms = fleet.now_ms + 4_000.0
    awake = [vm for vm in fleet.vms.values() if not vm.frozen_until_ms]
    fleet.run(900.0)
    awake[0].shares["e0"] = BUSY
    fleet.run(300.0)
    assert all(vm.total("e0", fleet.now_ms) == BUSY for vm in awake[1:])
    fleet.run(4_000.0 + SETTLE_MS)
    assert not fleet.list_wrong()


def test_vm_that_joins_knows_the_loads_before_the_next_repeat() -> None:
    """Guards against a new VM that takes the engines of all others for idle."""
    fleet = make_fleet(60)
    for vm in fleet.vms.values():
        vm.shares["e0"] = BUSY
    fleet.run(300.0)
    started = [fleet.start(f"10.0.1.{number}") for number in range(10)]
    fleet.run(150.0)
    for vm in started:
        assert vm.total("e0", fleet.now_ms).n_requests == 2 * 60


def test_zones_that_lose_each_other_know_their_own_loads_and_meet_again() -> None:
    fleet = make_fleet(60)
    cut = "z0"
    zones = fleet.zones
    fleet.is_cut = lambda a, b: (zones[a] == cut) != (zones[b] == cut)
    fleet.run(2_000.0)
    for vm in fleet.vms.values():
        vm.shares["e0"] = BUSY
    fleet.run(PEER_LOAD_TTL_MS)
    for vm in fleet.vms.values():
        near = sum(
            (other.zone == cut) == (vm.zone == cut) for other in fleet.vms.values()
        )
        assert vm.total("e0", fleet.now_ms).n_requests == 2 * (near - 1)
    fleet.is_cut = lambda a, b: False
    fleet.run(SETTLE_MS + 12_000.0)
    assert not fleet.list_wrong()


def test_newer_news_hold_though_older_ones_arrive_after_them() -> None:
    fleet = make_fleet(30)
    fleet.jitter_ms = 120.0
    fleet.repeat = 0.3
    vm = next(iter(fleet.vms.values()))
    for number in range(40):
        vm.shares["e0"] = VmLoad(number % 3 + 1, 10 * number, 1)
        fleet.run(20.0)
    vm.shares["e0"] = IDLE
    fleet.run(800.0)
    assert not fleet.list_wrong()


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 70), st.integers(0, 3)), max_size=12
    )
)
def test_no_news_are_lost_between_the_queue_and_its_datagrams(
    entries: list[tuple[int, int, int]],
) -> None:
    queue = NewsQueue()
    loads = {}
    crashes: list[CrashNews] = []
    for sequence, (vm, n_loads, n_crashes) in enumerate(entries):
        told = tuple(LoadNews(f"e{i}", sequence, 1, 1) for i in range(n_loads))
        crashed = tuple(CrashNews(sequence, f"e{i}", "", 0.0) for i in range(n_crashes))
        queue.add(VmNews(str(vm), sequence, told, crashed))
        loads.update({(str(vm), load.upstream): load for load in told})
        crashes += crashed
    parts = list(split_news(queue.take(), 20))
    assert not queue
    sent = [news for part in parts for news in part]
    assert {(n.vm, x.upstream): x for n in sent for x in n.loads} == loads
    assert len([c for n in sent for c in n.crashes]) == len(crashes)
    for part in parts:
        assert sum(len(n.loads) + len(n.crashes) for n in part) <= 20


class FailingFleet(RuleBasedStateMachine):
    """Guards against loads that are counted twice, never forgotten, or lost for good.

    VMs start, die, stand still and lose each other in any order, while loads change;
    after a calm time each VM's view is the sum of what the others have.
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
        held = vm.shares.get(upstream, IDLE).n_requests
        vm.shares[upstream] = VmLoad((held + index) % 4, index, held)
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

    @rule(index=st.integers(0, 99), freeze_ms=st.sampled_from([300.0, 3_000.0]))
    def freeze(self, index: int, freeze_ms: float) -> None:
        vm = self.fleet.vms[self._pick(index)]
        vm.frozen_until_ms = self.fleet.now_ms + freeze_ms
        self.fleet.run(100.0)

    @rule(index=st.integers(0, 99), ways=st.sampled_from(["to", "from", "both"]))
    def cut(self, index: int, ways: str) -> None:
        cut = self._pick(index)
        self.fleet.is_cut = lambda a, b: (
            (a == cut and ways != "to") or (b == cut and ways != "from")
        )
        self.fleet.run(700.0)

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]), jitter_ms=st.sampled_from([0.0, 90.0]))
    def harm(self, loss: float, jitter_ms: float) -> None:
        self.fleet.loss = loss
        self.fleet.jitter_ms = jitter_ms
        self.fleet.repeat = 0.2
        self.fleet.run(200.0)

    @invariant()
    @precondition(lambda self: hasattr(self, "fleet"))
    def own_load_is_never_told_back(self) -> None:
        now_ms = self.fleet.now_ms
        for vm in self.fleet.vms.values():
            for load in vm.peers.values():
                load.total(now_ms)
                assert vm.vm not in load._loads

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.is_cut = lambda a, b: False
        fleet.loss = fleet.jitter_ms = fleet.repeat = 0.0
        fleet.run(3_000.0 + 12_000.0 + SETTLE_MS)
        assert not fleet.list_wrong()


TestFailingFleet = FailingFleet.TestCase
TestFailingFleet.settings = settings(
    max_examples=20,
    stateful_step_count=12,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
