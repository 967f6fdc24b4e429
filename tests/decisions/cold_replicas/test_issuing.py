"""Fleets of VMs that send to one cold replica, without a network.

Load pattern: 6, 64, 118 and 410 VMs with 300 requests a second between them, while VMs
restart, are suspended with a permit in hand, hold different views of the fleet or are
partitioned; each message between two VMs takes 1 to 60 ms.
"""

from __future__ import annotations

import heapq
import math
import random
from itertools import count

import pytest

from quetzaldeck.decisions.cold_replicas import (
    COLD_LATENESS_MS,
    ColdReplicas,
    ColdSource,
    compute_cold_rate,
)
from quetzaldeck.decisions.rate_limits import PermitIssuer
from quetzaldeck.entry.peers.permits import ISSUER_BOUNDS

REPLICA = "e0"
BEGIN_MS = 30_000.0
END_MS = 45_000.0
LIMITS = ((15.0, 1.5, 5.0), (2.0, 1.0, 1.0))
PERMIT_MS = 400.0
"""How long requests wait for their turn."""


class Vm:
    """One VM with its own view of the fleet and of the replica."""

    def __init__(self, name: str, peers: tuple[str, ...], now_ms: float) -> None:
        self.name = name
        self.peers = peers
        self.issuer = PermitIssuer(name, ISSUER_BOUNDS)
        self.issuer.note_fleet(len(peers), now_ms)
        self.cold = ColdReplicas(2_000.0)


class Fleet:
    """VMs that ask each other for permits; ``sent_ms`` is what the replica gets."""

    def __init__(self, n_vms: int, rate: float | None) -> None:
        self.random_state = random.Random(n_vms)
        self.rate = rate
        names = [f"10.0.{index // 250}.{index % 250}" for index in range(n_vms)]
        self.vms = {
            name: Vm(name, tuple(n for n in names if n != name), 0.0) for name in names
        }
        self.links: dict[str, int] = dict.fromkeys(names, 0)
        self.suspended: frozenset[str] = frozenset()
        self.sent_ms: list[float] = []
        self._numbers = count()
        self._pending: list[tuple[float, int, str, float]] = []

    def run(self, begin_ms: float, end_ms: float, per_s: float = 300.0) -> None:
        """Let requests arrive at random VMs, whose claims differ in age."""
        now_ms = begin_ms
        names = sorted(self.vms)
        while now_ms < end_ms:
            now_ms += self.random_state.expovariate(per_s / 1_000.0)
            self._request(self.vms[self.random_state.choice(names)], now_ms)
        self._use(math.inf)
        self.sent_ms.sort()

    def max_in_one_second(self) -> int:
        """:returns: most requests in any sliding second"""
        most = 0
        first = 0
        for last, at_ms in enumerate(self.sent_ms):
            while self.sent_ms[first] < at_ms - 1_000.0:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _request(self, vm: Vm, now_ms: float) -> None:
        self._use(now_ms)
        vm.cold.note(REPLICA, "", ColdSource.HEADER, 60_000.0, now_ms)
        for name in vm.issuer.rank(REPLICA, vm.peers):
            delay_ms = self.random_state.uniform(1.0, 60.0)
            asked = self.vms.get(name)
            if asked is None or self.links[name] != self.links[vm.name]:
                continue
            # The request names the cold time, in case the issuer has not heard.
            claim = vm.cold.find(REPLICA, now_ms)
            assert claim is not None
            cold_ms = claim.until_ms - now_ms
            asked.cold.note(REPLICA, "", ColdSource.PEER, cold_ms, now_ms)
            permit = asked.issuer.issue_cold(
                REPLICA, self.rate, PERMIT_MS, asked.peers, now_ms + delay_ms
            )
            if permit is None:
                continue
            if permit.is_granted:
                turn_ms = now_ms + permit.wait_ms
                heard_ms = turn_ms + 2 * delay_ms
                entry = (heard_ms, next(self._numbers), vm.name, turn_ms)
                heapq.heappush(self._pending, entry)
            return

    def _use(self, until_ms: float) -> None:
        """Send what is due; a VM that was suspended checks the age of its permit."""
        while self._pending and self._pending[0][0] <= until_ms:
            at_ms, _, name, turn_ms = heapq.heappop(self._pending)
            if name in self.suspended:
                at_ms += self.random_state.uniform(0.0, 2 * COLD_LATENESS_MS)
            if at_ms - turn_ms <= COLD_LATENESS_MS:
                self.sent_ms.append(at_ms)


@pytest.fixture(params=[6, 64, 118, 410])
def n_vms(request: pytest.FixtureRequest) -> int:
    """:returns: number of VMs"""
    return int(request.param)


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize(
    "fault", ["none", "two_views", "suspended", "no_issuer", "restarted", "halves"]
)
def test_cold_replica_gets_no_more_than_it_tolerates_in_any_second(
    n_vms: int, limit: tuple[float, float, float], fault: str
) -> None:
    """A cold replica crashes under what several VMs allow independently."""
    fleet = Fleet(n_vms, compute_cold_rate(*limit))
    middle_ms = (BEGIN_MS + END_MS) / 2
    fleet.run(BEGIN_MS, middle_ms)
    names = sorted(fleet.vms)
    issuer, deputy = fleet.vms[names[0]].issuer.rank(REPLICA, fleet.vms[names[0]].peers)
    match fault:
        case "two_views":  # Half of the VMs have not heard that the issuer is back.
            for name in names[::2]:
                vm = fleet.vms[name]
                vm.peers = tuple(peer for peer in vm.peers if peer != issuer)
        case "suspended":
            fleet.suspended = frozenset(names)
        case "no_issuer":
            fleet.links[issuer] = 1
        case "restarted":
            for name in (issuer, deputy):
                fleet.vms[name] = Vm(name, (), middle_ms)
        case "halves":
            for index, name in enumerate(names):
                fleet.links[name] = index % 2
    fleet.run(middle_ms, END_MS)
    requests_per_s, overshoot, slack = limit
    assert fleet.max_in_one_second() <= requests_per_s * overshoot + slack
    if fault in ("none", "two_views", "no_issuer"):
        assert sum(at_ms > middle_ms for at_ms in fleet.sent_ms) >= 2


@pytest.mark.parametrize("limit", LIMITS)
def test_parts_that_have_removed_each_other_do_not_add_up(
    n_vms: int, limit: tuple[float, float, float]
) -> None:
    """Each part of a partitioned fleet issues the full rate."""
    fleet = Fleet(n_vms, compute_cold_rate(*limit))
    names = sorted(fleet.vms)
    for index, name in enumerate(names):
        fleet.links[name] = index % 3
        vm = fleet.vms[name]
        vm.issuer.note_fleet(len(vm.peers), BEGIN_MS - 1.0)
        vm.peers = tuple(n for i, n in enumerate(names) if i % 3 == index % 3)
        vm.peers = tuple(peer for peer in vm.peers if peer != name)
        vm.issuer.note_fleet(len(vm.peers), BEGIN_MS)
    fleet.run(BEGIN_MS, END_MS)
    assert fleet.max_in_one_second() == 0


def test_vm_that_knows_no_other_issues_nothing() -> None:
    """A VM cut off from all others sends as if it were alone."""
    issuer = PermitIssuer("10.0.0.1", ISSUER_BOUNDS)
    issuer.note_fleet(0, 0.0)
    assert issuer.issue_cold(REPLICA, 5.0, 0.0, (), 60_000.0) is None
