"""Agents converge on the same members after crashes, restarts and partitions."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest

from quetzaldeck.clock import ManualClock
from quetzaldeck.directory import VmEntry
from quetzaldeck.membership import (
    Membership,
    MembershipSettings,
    MemberState,
    MemberUpdate,
)

SETTINGS = MembershipSettings(forget_ms=60_000)
N_VMS = 12
STEP_MS = 1_000.0
N_EVENTS = 40
SETTLING_STEPS = 180
LOSS_RATE = 0.1
# Seeds that once ended with a suspicion that the suspected VM could not refute.
REGRESSION_SEEDS = (24, 69, 97, 98, 129)
EVENTS = ("crash", "restart", "cut", "heal", "replace", "leave")
SKEW_MS = 3_600_000


class Node(NamedTuple):
    """One incarnation of an agent."""

    vm: str
    incarnation: str
    membership: Membership


class SimulatedFleet:
    """A fleet of agents in virtual time; each probes one peer per second."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock(wall_offset_ms=1.7e12)
        self.nodes: dict[str, Node] = {}
        self.listed: dict[str, None] = {}
        self.cut_off: set[str] = set()
        self.loss_rate = LOSS_RATE
        self.n_started = 0
        for index in range(N_VMS):
            self.start(f"entry-{index}")

    def start(self, vm: str) -> None:
        """Start an agent on a host whose wall clock is off by up to an hour."""
        self.n_started += 1
        incarnation = f"{vm}.{self.n_started}"
        skew_ms = self.random.randint(-SKEW_MS, SKEW_MS)
        generation = round(self.clock.wall_ms()) + skew_ms
        own_update = MemberUpdate(
            vm, incarnation, generation, 0, MemberState.LIVE, f"http://{vm}", "z"
        )
        membership = Membership(
            own_update, clock=self.clock, random_state=self.random, settings=SETTINGS
        )
        self.nodes[vm] = Node(vm, incarnation, membership)
        self.listed[vm] = None

    def inject_event(self) -> None:
        vm = self.random.choice(sorted(self.nodes))
        kind = self.random.choice(
            ["crash", "restart", "cut", "heal", "replace", "leave"]
        )
        if kind == "restart":
            self.start(vm)
        elif kind == "cut":
            self.cut_off = set(self.random.sample(sorted(self.nodes), 3))
        elif kind == "heal":
            self.cut_off = set()
        elif len(self.nodes) > N_VMS // 2:
            if kind == "leave":
                self._leave(self.nodes[vm])
            del self.nodes[vm]
            del self.listed[vm]
            if kind == "replace":
                self.start(f"entry-{N_VMS + self.n_started}")

    def _leave(self, node: Node) -> None:
        node.membership.leave()
        for member in node.membership.choose_live(16):
            self._exchange(node, member.vm)

    def step(self) -> None:
        self.clock.advance(STEP_MS)
        entries = [VmEntry(vm, "entry", f"http://{vm}") for vm in self.listed]
        for node in list(self.nodes.values()):
            node.membership.apply_list(entries)
            node.membership.tick()
            probed = node.membership.choose_probe()
            if probed is None or self._exchange(node, probed.vm):
                continue
            relays = node.membership.choose_live(SETTINGS.n_relays, exclude=probed.vm)
            if not any(self._relay(node, relay.vm, probed.vm) for relay in relays):
                node.membership.note_probe_failure(probed.vm)

    def _relay(self, node: Node, relay: str, vm: str) -> bool:
        return self._can_talk(node.vm, relay) and self._exchange(self.nodes[relay], vm)

    def _can_talk(self, one: str, other: str) -> bool:
        if other not in self.nodes or self.random.random() < self.loss_rate:
            return False
        return (one in self.cut_off) == (other in self.cut_off)

    def _exchange(self, node: Node, vm: str) -> bool:
        if not self._can_talk(node.vm, vm):
            return False
        peer = self.nodes[vm]
        request = (node.membership.own_update, *node.membership.take_updates(vm))
        peer.membership.note_message(node.vm, node.incarnation)
        peer.membership.merge(request)
        answer = (peer.membership.own_update, *peer.membership.take_updates(node.vm))
        node.membership.note_message(vm, peer.incarnation, is_answer=True)
        node.membership.merge(answer)
        return True

    def list_incarnations(self, node: Node) -> dict[str, str]:
        return {m.vm: m.incarnation for m in node.membership.view.list_live()}


@pytest.mark.parametrize("seed", [*range(8), *REGRESSION_SEEDS])
def test_all_live_agents_agree_after_the_last_event(seed: int) -> None:
    """VMs crash, restart, leave and are cut off while a tenth of all messages is lost.

    An agent that kept a dead VM, lost a live one or kept a former incarnation would
    permanently choose another commander, voter or engine reader than its peers.
    """
    fleet = SimulatedFleet(seed)
    for _ in range(N_EVENTS):
        for _ in range(fleet.random.randint(0, 10)):
            fleet.step()
        fleet.inject_event()
    fleet.cut_off = set()
    fleet.loss_rate = 0.0
    for _ in range(SETTLING_STEPS):
        fleet.step()
    actual = {node.vm: node.incarnation for node in fleet.nodes.values()}
    for node in fleet.nodes.values():
        assert fleet.list_incarnations(node) == actual


@pytest.mark.parametrize("seed", range(4))
def test_a_partition_confirms_no_listed_vm_dead(seed: int) -> None:
    fleet = SimulatedFleet(seed)
    for _ in range(30):
        fleet.step()
    fleet.cut_off = {"entry-0", "entry-1", "entry-2", "entry-3"}
    for _ in range(900):
        fleet.step()
    for node in fleet.nodes.values():
        states = {member.state for member in node.membership.view.members}
        assert MemberState.DEAD not in states
