"""Commanders, engines and their clocks, all moved by the tests."""

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


class Engine:
    """An engine that loads at once.

    :param max_models: models that it has room for
    """

    def __init__(self, *, checks_fencing: bool = True, max_models: int = 9) -> None:
        self.loaded = {OLD}
        self.checks_fencing = checks_fencing
        self.max_models = max_models
        self.token: tuple[int, ...] = ()
        self.changes: list[Change] = []
        self.states = [{OLD}]

    def take(self, order: Order) -> OrderOutcome:
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
    """A VM that commands, with what it believes."""

    commander: Commander
    view: MembershipView
    bundle: Bundle


class World:
    """Commanders in front of engines; one look of each VM every step."""

    def __init__(self, clock: ManualClock, engines: dict[str, Engine]) -> None:
        self.clock = clock
        self.engines = engines
        self.nodes: dict[str, Node] = {}
        self.load_times_ms: list[float] = []
        self.least_serving = len(engines)
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
            # All decide before any of them acts: nobody sees the others' orders.
            decided = [
                (node, order)
                for node in self.nodes.values()
                if (order := node.commander.decide(self.state_of(node))) is not None
            ]
            for node, order in decided:
                self._act(node, order)

    def _act(self, node: Node, order: Order) -> None:
        outcome = self.engines[order.engine].take(order)
        self.n_fenced += outcome is OrderOutcome.FENCED
        node.commander.note_outcome(order, outcome)
        if order.change.action is Action.LOAD_MODEL:
            self.load_times_ms.append(self.clock.now_ms())
        n_serving = sum(bool(engine.loaded) for engine in self.engines.values())
        self.least_serving = min(self.least_serving, n_serving)


def find_contested(one: str, other: str) -> str:
    """:returns: an engine that each takes for its own if it misses the other"""
    for number in range(1_000):
        name = f"contested-{number}"
        owners = {
            choose_owner(name, [vm for vm in VMS if vm != away])
            for away in (one, other)
        }
        if owners == {one, other}:
            return name
    raise AssertionError(one)


def list_without(vm: str) -> list[str]:
    return [name for name in VMS if name != vm]


def make_engines(n_engines: int, **kwargs: int | bool) -> dict[str, Engine]:
    return {f"engine-{n}": Engine(**kwargs) for n in range(n_engines)}  # type: ignore[arg-type]


def first_order(world: World, vm: str) -> Order:
    """:returns: the first order of a VM, not carried out"""
    node = world.nodes[vm]
    for _ in range(400):
        order = node.commander.decide(world.state_of(node))
        if order is not None:
            return order
        world.clock.advance(STEP_MS)
    raise AssertionError(vm)


def test_plan_loads_the_new_version_before_it_unloads_the_old_one() -> None:
    goal = EngineGoal(
        "e", frozenset({NEW, NEW._replace(adapter="x")}), "", checks_fencing=True
    )
    loaded = {OLD}
    done = []
    while (
        change := plan_change(goal, EngineStatus("e", "1", frozenset(loaded), "", 0))
    ) is not None:
        done.append(change.action)
        weights = LoadedModel(change.model, change.version, change.adapter)
        if change.action is Action.UNLOAD_MODEL:
            loaded.discard(weights)
        else:
            loaded.add(weights)
    assert done == [Action.LOAD_MODEL, Action.LOAD_ADAPTER, Action.UNLOAD_MODEL]
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
def test_is_done_reads_the_effect_back(
    change: Change, loaded: set[LoadedModel], role: str, *, expected: bool
) -> None:
    status = EngineStatus("e", "1", frozenset(loaded), role, 0.0)
    assert is_done(change, status) is expected


def test_a_roll_out_reaches_every_engine_within_the_stores_limit(
    clock: ManualClock,
) -> None:
    """Seven commanders roll a version to 17 engines; the store allows 60 a minute."""
    world = World(clock, make_engines(17))
    for vm in VMS:
        world.add(vm, make_bundle(2, world.engines))
    world.run(120_000)
    assert all(engine.loaded == {NEW} for engine in world.engines.values())
    per_minute = Counter(int(at_ms // 60_000) for at_ms in world.load_times_ms)
    assert len(world.load_times_ms) == 17
    assert max(per_minute.values()) <= 60


@pytest.mark.parametrize("n_engines", [1, 2, 5])
def test_the_last_replica_is_never_taken(clock: ManualClock, n_engines: int) -> None:
    """Engines have room for one version only, so the old one must go first.

    Two commanders unload the last two replicas at the same moment, each seeing the
    other one serve: callers of the model find no engine until a load has ended.
    """
    world = World(clock, make_engines(n_engines, max_models=1))
    for vm in VMS:
        world.add(vm, make_bundle(2, world.engines))
    world.run(300_000)
    assert world.least_serving >= 1
    expected = {OLD} if n_engines == 1 else {NEW}
    assert all(engine.loaded == expected for engine in world.engines.values())


@pytest.mark.parametrize("seed", range(12))
def test_the_last_replica_is_never_taken_whatever_is_believed(
    clock: ManualClock, seed: int
) -> None:
    """Each VM believes in other members than its peers, and they change all the time.

    So slots have several owners and engines several commanders, which all decide on
    the same reports and act at once.
    """
    random_state = random.Random(seed)
    world = World(clock, make_engines(2 + seed % 3, max_models=1))
    for vm in VMS:
        world.add(vm, make_bundle(2, world.engines))
    for _ in range(120):
        for vm, node in world.nodes.items():
            away = set(random_state.sample(VMS, random_state.randint(0, 3))) - {vm}
            view = make_view(vm, [name for name in VMS if name not in away])
            world.nodes[vm] = node._replace(view=view)
        world.run(1_000)
        assert world.least_serving >= 1
    assert all(engine.loaded == {NEW} for engine in world.engines.values())


def test_two_commanders_of_one_bundle_do_not_flap_an_engine(
    clock: ManualClock,
) -> None:
    """Two VMs miss each other and both take themselves for the engine's commander."""
    world = World(clock, {find_contested("entry-1", "entry-2"): Engine()})
    for vm, missed in (("entry-1", "entry-2"), ("entry-2", "entry-1")):
        world.add(vm, make_bundle(2, world.engines), list_without(missed))
    world.run(300_000)
    (engine,) = world.engines.values()
    assert engine.states == [{OLD}, {OLD, NEW}, {NEW}]


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_a_minority_with_an_old_bundle_commands_nothing(
    clock: ManualClock, *, checks_fencing: bool
) -> None:
    """Three of seven VMs are cut off with bundle 2 while the others roll bundle 3.

    Both sides reach the engines. Were both to command, each engine would be turned
    over between the versions for as long as the cut lasts.
    """
    world = World(clock, make_engines(4, checks_fencing=checks_fencing))
    sides = ((VMS[:3], 2), (VMS[3:], 3))
    for side, version in sides:
        for vm in side:
            bundle = make_bundle(version, world.engines, checks_fencing=checks_fencing)
            world.add(vm, bundle, side)
    world.run(300_000)
    for engine in world.engines.values():
        assert len(engine.changes) == 2
        assert engine.loaded == {LoadedModel("plan", "3")}


def add_rivals(world: World, *, checks_fencing: bool) -> None:
    rivals = (("entry-1", "entry-2", 3), ("entry-2", "entry-1", 2))
    for vm, missed, version in rivals:
        bundle = make_bundle(version, world.engines, checks_fencing=checks_fencing)
        world.add(vm, bundle, list_without(missed))


def test_an_old_bundle_in_the_majority_is_fenced(clock: ManualClock) -> None:
    """A VM that missed a bundle takes itself for a commander in a full fleet."""
    engine = Engine()
    world = World(clock, {find_contested("entry-1", "entry-2"): engine})
    add_rivals(world, checks_fencing=True)
    world.run(3_600_000)
    assert world.n_fenced
    assert engine.loaded == {LoadedModel("plan", "3")}
    assert len(engine.changes) <= 4


def test_an_engine_that_ignores_tokens_is_not_turned_over_for_ever(
    clock: ManualClock,
) -> None:
    """The same, and the engine takes any token; the stale VM is never told.

    Each repetition doubles the pause, so an hour of it costs the engine few loads
    where one look a second would cost it hundreds.
    """
    engine = Engine(checks_fencing=False)
    world = World(clock, {find_contested("entry-1", "entry-2"): engine})
    add_rivals(world, checks_fencing=False)
    world.run(3_600_000)
    assert 4 < len(engine.changes) <= 60


def test_a_commander_that_paused_sends_nothing_stale(clock: ManualClock) -> None:
    """A commander stops between its decision and the sending, for a minute.

    Meanwhile another VM took over and a newer bundle was rolled. On waking it goes
    on where it stopped: the old order would undo the new version.
    """
    world = World(clock, make_engines(1))
    for vm in VMS:
        world.add(vm, make_bundle(2, world.engines))
    owner = choose_owner("engine-0", VMS)
    order = first_order(world, owner)
    node = world.nodes[owner]
    clock.advance(60_000)
    refusal = node.commander.find_refusal(order, world.state_of(node))
    assert refusal is OrderRefusal.PAUSED
    node.commander.note_pause()
    until_ms = clock.now_ms() + SETTINGS.takeover_ms
    while clock.now_ms() < until_ms:
        assert node.commander.decide(world.state_of(node)) is None
        clock.advance(STEP_MS)


def test_an_order_is_dropped_when_the_bundle_or_the_commander_changed(
    clock: ManualClock,
) -> None:
    world = World(clock, make_engines(1))
    owner = choose_owner("engine-0", VMS)
    node = world.add(owner, make_bundle(2, world.engines))
    order = first_order(world, owner)
    state = world.state_of(node)
    newer = state._replace(bundle=make_bundle(3, world.engines))
    assert node.commander.find_refusal(order, newer) is OrderRefusal.BUNDLE_CHANGED
    cut_off = state._replace(view=make_view(owner, [owner]))
    refusal = node.commander.find_refusal(order, cut_off)
    assert refusal is OrderRefusal.NOT_COMMANDER


def test_an_engine_that_ignores_tokens_waits_out_the_last_commander(
    clock: ManualClock,
) -> None:
    world = World(clock, make_engines(1, checks_fencing=False))
    for vm in VMS:
        world.add(vm, make_bundle(2, world.engines, checks_fencing=False))
    world.run(SETTINGS.takeover_ms - STEP_MS)
    assert not world.engines["engine-0"].changes
    world.run(60_000)
    assert world.engines["engine-0"].loaded == {NEW}


def test_a_commander_whose_clock_is_behind_is_obeyed_in_the_end(
    clock: ManualClock,
) -> None:
    """The last commander's clock was two minutes ahead, so its token is as well.

    Without a new term after each refusal the engine would not be commanded until
    the clocks have caught up.
    """
    world = World(clock, make_engines(1))
    ahead = (2, round(clock.wall_ms()) + 120_000)
    world.engines["engine-0"].token = ahead
    for vm in VMS:
        world.add(vm, make_bundle(2, world.engines))
    world.run(600_000)
    assert world.engines["engine-0"].loaded == {NEW}
    assert world.engines["engine-0"].token > ahead


def test_a_slot_has_one_owner_also_in_a_partition() -> None:
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


def test_slots_are_not_used_near_their_edges() -> None:
    """Two clocks differ by a fifth of a slot: they must not meet in one slot."""
    plan = SlotPlan(60)
    used = [plan.find_usable_slot(ms) for ms in range(0, 1_000, 50)]
    assert used == [None] * 5 + [0] * 10 + [None] * 5
