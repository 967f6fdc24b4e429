"""Commanders and simulated engines in virtual time."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import pytest

from quetzaldeck.bundle import Bundle, ModelSpec, UpstreamSpec
from quetzaldeck.commands import (
    Action,
    Change,
    Commander,
    CommandSettings,
    EngineGoal,
    EngineStatus,
    FleetState,
    LoadedModel,
    OrderOutcome,
    OrderRefusal,
    SlotPlan,
    is_done,
    plan_change,
)
from quetzaldeck.membership import Member, MembershipView, MemberState, choose_owner

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzaldeck.clock import ManualClock
    from quetzaldeck.commands import Order

SETTINGS = CommandSettings()
VMS = tuple(f"entry-{index}" for index in range(1, 8))
LIVE, SUSPECTED = MemberState.LIVE, MemberState.SUSPECTED
OLD, NEW = LoadedModel("plan", "1"), LoadedModel("plan", "2")
STEP_MS = 250.0


def make_view(vm: str, live: Iterable[str] = VMS) -> MembershipView:
    in_contact = set(live)
    members = tuple(
        Member(
            name,
            name,
            "",
            "",
            LIVE if name in in_contact else SUSPECTED,
            last_message_ms=0.0,
            is_listed=True,
        )
        for name in VMS
    )
    return MembershipView(vm, vm, members, 0.0)


def make_bundle(
    version: int, engines: Iterable[str], *, checks_fencing: bool = True
) -> Bundle:
    upstreams = tuple(
        UpstreamSpec(name, "", models=("plan",), checks_fencing=checks_fencing)
        for name in engines
    )
    models = (ModelSpec("plan", str(version)),)
    return Bundle(version, 1, models, upstreams=upstreams)


class SimulatedEngine:
    """Engine that completes each load immediately.

    :param max_models: number of models that fit into its memory
    """

    def __init__(self, *, checks_fencing: bool = True, max_models: int = 9) -> None:
        self.loaded = {OLD}
        self.checks_fencing = checks_fencing
        self.max_models = max_models
        self.token: tuple[int, ...] = ()
        self.changes: list[Change] = []
        self.states = [{OLD}]

    def handle(self, order: Order) -> OrderOutcome:
        if order.token < self.token and self.checks_fencing:
            return OrderOutcome.FENCED
        change = order.change
        loaded = LoadedModel(change.model, change.version, change.adapter)
        if change.action is Action.LOAD_MODEL and len(self.loaded) >= self.max_models:
            return OrderOutcome.NO_ROOM
        self.token = max(self.token, order.token)
        if change.action is Action.UNLOAD_MODEL:
            self.loaded.discard(loaded)
        else:
            self.loaded.add(loaded)
        self.changes.append(change)
        if self.loaded != self.states[-1]:
            self.states.append(set(self.loaded))
        return OrderOutcome.ACCEPTED


class Node(NamedTuple):
    """A commanding VM with its own view of the members and its own bundle."""

    commander: Commander
    view: MembershipView
    bundle: Bundle


class SimulatedFleet:
    """Commanders and engines; each VM decides once per step."""

    def __init__(self, clock: ManualClock, engines: dict[str, SimulatedEngine]) -> None:
        self.clock = clock
        self.engines = engines
        self.nodes: dict[str, Node] = {}
        self.load_times_ms: list[float] = []
        self.min_serving = len(engines)
        self.n_fenced = 0

    def add(self, vm: str, bundle: Bundle, live: Iterable[str] = VMS) -> Node:
        commander = Commander(vm, self.clock, SETTINGS)
        self.nodes[vm] = Node(commander, make_view(vm, live), bundle)
        return self.nodes[vm]

    def state_of(self, node: Node) -> FleetState:
        statuses = {
            name: EngineStatus(name, "1", frozenset(engine.loaded), "", 0.0)
            for name, engine in self.engines.items()
        }
        needing_slot = frozenset(
            vm for vm, other in self.nodes.items() if other.commander.needs_slot
        )
        return FleetState(node.view, node.bundle, statuses, needing_slot)

    def run(self, duration_ms: float) -> None:
        for _ in range(round(duration_ms / STEP_MS)):
            self.clock.advance(STEP_MS)
            # All VMs decide before any order is sent, so none sees the others' effects.
            decided = [
                (node, order)
                for node in self.nodes.values()
                if (order := node.commander.decide(self.state_of(node))) is not None
            ]
            for node, order in decided:
                self._act(node, order)

    def _act(self, node: Node, order: Order) -> None:
        outcome = self.engines[order.engine].handle(order)
        self.n_fenced += outcome is OrderOutcome.FENCED
        node.commander.note_outcome(order, outcome)
        if order.change.action is Action.LOAD_MODEL:
            self.load_times_ms.append(self.clock.now_ms())
        n_serving = sum(bool(engine.loaded) for engine in self.engines.values())
        self.min_serving = min(self.min_serving, n_serving)


def find_contested(one: str, other: str) -> str:
    """:returns: an engine that each VM commands if it does not see the other one"""
    for number in range(1_000):
        name = f"contested-{number}"
        owners = {
            choose_owner(name, [vm for vm in VMS if vm != unseen])
            for unseen in (one, other)
        }
        if owners == {one, other}:
            return name
    raise AssertionError(one)


def list_without(vm: str) -> list[str]:
    return [name for name in VMS if name != vm]


def make_engines(n_engines: int, **kwargs: int | bool) -> dict[str, SimulatedEngine]:
    return {f"engine-{n}": SimulatedEngine(**kwargs) for n in range(n_engines)}  # type: ignore[arg-type]


def find_first_order(fleet: SimulatedFleet, vm: str) -> Order:
    """:returns: the first order that a VM decides on, without sending it"""
    node = fleet.nodes[vm]
    for _ in range(400):
        order = node.commander.decide(fleet.state_of(node))
        if order is not None:
            return order
        fleet.clock.advance(STEP_MS)
    raise AssertionError(vm)


def test_plan_loads_the_new_version_before_it_unloads_the_old_one() -> None:
    goal = EngineGoal(
        "e", frozenset({NEW, NEW._replace(adapter="x")}), "", checks_fencing=True
    )
    loaded = {OLD}
    actions = []
    while (
        change := plan_change(goal, EngineStatus("e", "1", frozenset(loaded), "", 0))
    ) is not None:
        actions.append(change.action)
        weights = LoadedModel(change.model, change.version, change.adapter)
        if change.action is Action.UNLOAD_MODEL:
            loaded.discard(weights)
        else:
            loaded.add(weights)
    assert actions == [Action.LOAD_MODEL, Action.LOAD_ADAPTER, Action.UNLOAD_MODEL]
    assert loaded == goal.loaded


def test_plan_changes_the_role_last() -> None:
    goal = EngineGoal("e", frozenset({OLD}), "prefill", checks_fencing=True)
    status = EngineStatus("e", "1", frozenset({OLD}), "decode", 0)
    assert plan_change(goal, status) == Change(Action.CHANGE_ROLE, role="prefill")
    assert plan_change(goal, status._replace(role="prefill")) is None


@pytest.mark.parametrize(
    ("change", "loaded", "role", "expected"),
    [
        (Change(Action.LOAD_MODEL, "plan", "2"), {NEW}, "", True),
        (Change(Action.LOAD_MODEL, "plan", "2"), {OLD}, "", False),
        (Change(Action.UNLOAD_MODEL, "plan", "1"), {NEW}, "", True),
        (Change(Action.UNLOAD_MODEL, "plan", "1"), {OLD, NEW}, "", False),
        (Change(Action.CHANGE_ROLE, role="prefill"), set(), "prefill", True),
        (Change(Action.CHANGE_ROLE, role="prefill"), set(), "", False),
    ],
)
def test_is_done_checks_the_reported_effect(
    change: Change, loaded: set[LoadedModel], role: str, *, expected: bool
) -> None:
    status = EngineStatus("e", "1", frozenset(loaded), role, 0.0)
    assert is_done(change, status) is expected


def test_a_roll_out_reaches_every_engine_within_the_stores_limit(
    clock: ManualClock,
) -> None:
    """Seven commanders roll out to 17 engines; the store allows 60 loads a minute."""
    fleet = SimulatedFleet(clock, make_engines(17))
    for vm in VMS:
        fleet.add(vm, make_bundle(2, fleet.engines))
    fleet.run(120_000)
    assert all(engine.loaded == {NEW} for engine in fleet.engines.values())
    per_minute = Counter(int(at_ms // 60_000) for at_ms in fleet.load_times_ms)
    assert len(fleet.load_times_ms) == 17
    assert max(per_minute.values()) <= 60


@pytest.mark.parametrize("n_engines", [1, 2, 5])
def test_the_last_replica_is_never_unloaded(clock: ManualClock, n_engines: int) -> None:
    """Engines have memory for one version only, so the old one is unloaded first.

    Guards against two commanders that unload the last two replicas at the same time,
    each seeing the other one serve: the model is then unavailable until a load ends.
    """
    fleet = SimulatedFleet(clock, make_engines(n_engines, max_models=1))
    for vm in VMS:
        fleet.add(vm, make_bundle(2, fleet.engines))
    fleet.run(300_000)
    assert fleet.min_serving >= 1
    expected = {OLD} if n_engines == 1 else {NEW}
    assert all(engine.loaded == expected for engine in fleet.engines.values())


@pytest.mark.parametrize("seed", range(12))
def test_the_last_replica_is_never_unloaded_with_differing_views(
    clock: ManualClock, seed: int
) -> None:
    """Each VM has its own view of the members, and all views change every second.

    So slots have several owners and engines have several commanders, which all decide
    on the same reports and act at the same time.
    """
    random_state = random.Random(seed)
    fleet = SimulatedFleet(clock, make_engines(2 + seed % 3, max_models=1))
    for vm in VMS:
        fleet.add(vm, make_bundle(2, fleet.engines))
    for _ in range(120):
        for vm, node in fleet.nodes.items():
            unseen = set(random_state.sample(VMS, random_state.randint(0, 3))) - {vm}
            view = make_view(vm, [name for name in VMS if name not in unseen])
            fleet.nodes[vm] = node._replace(view=view)
        fleet.run(1_000)
        assert fleet.min_serving >= 1
    assert all(engine.loaded == {NEW} for engine in fleet.engines.values())


def test_two_commanders_with_one_bundle_change_an_engine_once(
    clock: ManualClock,
) -> None:
    """Two VMs do not see each other and both act as the engine's commander."""
    fleet = SimulatedFleet(
        clock, {find_contested("entry-1", "entry-2"): SimulatedEngine()}
    )
    for vm, unseen in (("entry-1", "entry-2"), ("entry-2", "entry-1")):
        fleet.add(vm, make_bundle(2, fleet.engines), list_without(unseen))
    fleet.run(300_000)
    (engine,) = fleet.engines.values()
    assert engine.states == [{OLD}, {OLD, NEW}, {NEW}]


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_a_minority_with_an_old_bundle_sends_no_orders(
    clock: ManualClock, *, checks_fencing: bool
) -> None:
    """Three of seven VMs are cut off with bundle 2 while the others roll out bundle 3.

    Both sides reach the engines. If both sent orders, each engine would alternate
    between the versions for as long as the partition lasts.
    """
    fleet = SimulatedFleet(clock, make_engines(4, checks_fencing=checks_fencing))
    sides = ((VMS[:3], 2), (VMS[3:], 3))
    for side, version in sides:
        for vm in side:
            bundle = make_bundle(version, fleet.engines, checks_fencing=checks_fencing)
            fleet.add(vm, bundle, side)
    fleet.run(300_000)
    for engine in fleet.engines.values():
        assert len(engine.changes) == 2
        assert engine.loaded == {LoadedModel("plan", "3")}


def add_conflicting_commanders(fleet: SimulatedFleet, *, checks_fencing: bool) -> None:
    commanders = (("entry-1", "entry-2", 3), ("entry-2", "entry-1", 2))
    for vm, unseen, version in commanders:
        bundle = make_bundle(version, fleet.engines, checks_fencing=checks_fencing)
        fleet.add(vm, bundle, list_without(unseen))


def test_orders_of_an_old_bundle_in_the_majority_are_fenced(clock: ManualClock) -> None:
    """A VM that missed a bundle is in contact with a majority and sends orders."""
    engine = SimulatedEngine()
    fleet = SimulatedFleet(clock, {find_contested("entry-1", "entry-2"): engine})
    add_conflicting_commanders(fleet, checks_fencing=True)
    fleet.run(3_600_000)
    assert fleet.n_fenced
    assert engine.loaded == {LoadedModel("plan", "3")}
    assert len(engine.changes) <= 4


def test_backoff_limits_the_loads_of_an_engine_that_ignores_tokens(
    clock: ManualClock,
) -> None:
    """Two commanders with different bundles, and an engine that accepts any token.

    The outdated commander never learns of the newer bundle. As each repetition doubles
    the backoff, an hour of this costs the engine few loads; one order per second would
    cost it hundreds.
    """
    engine = SimulatedEngine(checks_fencing=False)
    fleet = SimulatedFleet(clock, {find_contested("entry-1", "entry-2"): engine})
    add_conflicting_commanders(fleet, checks_fencing=False)
    fleet.run(3_600_000)
    assert 4 < len(engine.changes) <= 60


def test_a_paused_commander_does_not_send_its_outdated_order(
    clock: ManualClock,
) -> None:
    """A commander is paused for a minute between its decision and the sending.

    Meanwhile another VM may have taken over and rolled out a newer bundle. If the old
    order were sent after the pause, it would undo the new version.
    """
    fleet = SimulatedFleet(clock, make_engines(1))
    for vm in VMS:
        fleet.add(vm, make_bundle(2, fleet.engines))
    owner = choose_owner("engine-0", VMS)
    order = find_first_order(fleet, owner)
    node = fleet.nodes[owner]
    clock.advance(60_000)
    refusal = node.commander.find_refusal(order, fleet.state_of(node))
    assert refusal is OrderRefusal.PAUSED
    node.commander.note_pause()
    until_ms = clock.now_ms() + SETTINGS.takeover_ms
    while clock.now_ms() < until_ms:
        assert node.commander.decide(fleet.state_of(node)) is None
        clock.advance(STEP_MS)


def test_an_order_is_dropped_when_the_bundle_or_the_commander_changed(
    clock: ManualClock,
) -> None:
    fleet = SimulatedFleet(clock, make_engines(1))
    owner = choose_owner("engine-0", VMS)
    node = fleet.add(owner, make_bundle(2, fleet.engines))
    order = find_first_order(fleet, owner)
    state = fleet.state_of(node)
    newer = state._replace(bundle=make_bundle(3, fleet.engines))
    assert node.commander.find_refusal(order, newer) is OrderRefusal.BUNDLE_CHANGED
    cut_off = state._replace(view=make_view(owner, [owner]))
    refusal = node.commander.find_refusal(order, cut_off)
    assert refusal is OrderRefusal.NOT_COMMANDER


def test_a_new_commander_waits_if_the_engine_ignores_tokens(
    clock: ManualClock,
) -> None:
    fleet = SimulatedFleet(clock, make_engines(1, checks_fencing=False))
    for vm in VMS:
        fleet.add(vm, make_bundle(2, fleet.engines, checks_fencing=False))
    fleet.run(SETTINGS.takeover_ms - STEP_MS)
    assert not fleet.engines["engine-0"].changes
    fleet.run(60_000)
    assert fleet.engines["engine-0"].loaded == {NEW}


def test_a_commander_whose_clock_is_behind_is_accepted_eventually(
    clock: ManualClock,
) -> None:
    """The former commander's clock was two minutes ahead, and so was its token.

    Without a new term after each refusal the engine would refuse all orders until the
    clocks have caught up.
    """
    fleet = SimulatedFleet(clock, make_engines(1))
    ahead = (2, round(clock.wall_ms()) + 120_000)
    fleet.engines["engine-0"].token = ahead
    for vm in VMS:
        fleet.add(vm, make_bundle(2, fleet.engines))
    fleet.run(600_000)
    assert fleet.engines["engine-0"].loaded == {NEW}
    assert fleet.engines["engine-0"].token > ahead


def test_a_slot_has_one_owner_even_in_a_partition() -> None:
    plan = SlotPlan(60)
    sides = (VMS[:3], VMS[3:])
    owned = Counter[str]()
    for number in range(2_000):
        together = [vm for vm in VMS if plan.is_owner(number, make_view(vm), VMS)]
        apart = [
            vm
            for side in sides
            for vm in side
            if plan.is_owner(number, make_view(vm, side), VMS)
        ]
        assert len(together) == 1
        assert len(apart) == 1
        owned.update(apart)
    assert set(owned) == set(VMS)


def test_a_slot_goes_to_a_vm_that_needs_it() -> None:
    plan = SlotPlan(60)
    view = make_view("entry-3")
    assert all(plan.is_owner(number, view, {"entry-3"}) for number in range(100))


def test_slots_are_not_used_near_their_start_and_end() -> None:
    """Clocks that differ by a fifth of a slot must not put two orders into one slot."""
    plan = SlotPlan(60)
    used = [plan.find_usable_slot(ms) for ms in range(0, 1_000, 50)]
    assert used == [None] * 5 + [0] * 10 + [None] * 5
