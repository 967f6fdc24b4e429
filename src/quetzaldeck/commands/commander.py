"""Decides which orders one VM sends to the engines that it commands. No I/O.

The agent passes it the members, the bundle and the engines' reports. Before it sends
an order it reads the affected engines once more; then it reports the outcome back.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.bundle.document import Bundle
from quetzaldeck.commands.authority import CommandAuthority
from quetzaldeck.commands.order import LOAD_ACTIONS, Order
from quetzaldeck.commands.plan import find_unsafe_models, list_lost_models, plan_change
from quetzaldeck.commands.retries import OrderRetries
from quetzaldeck.commands.slots import SlotPlan
from quetzaldeck.commands.state import EngineGoal, EngineStatus, derive_goals
from quetzaldeck.membership import MembershipView

if TYPE_CHECKING:
    from collections.abc import Collection

    from quetzaldeck.clock import Clock
    from quetzaldeck.commands.settings import CommandSettings


class OrderOutcome(StrEnum):
    """Outcome of an order that was sent, as reported in metrics."""

    ACCEPTED = "accepted"
    NOT_FOLLOWED = "not_followed"
    FENCED = "fenced"
    NO_ROOM = "no_room"
    BUSY = "busy"
    FAILED = "failed"


class OrderRefusal(StrEnum):
    """Why an order is withheld after its decision, as reported in metrics."""

    PAUSED = "paused"
    BUNDLE_CHANGED = "bundle_changed"
    NOT_COMMANDER = "not_commander"
    SLOT_OVER = "slot_over"
    CHANGED_MEANWHILE = "changed_meanwhile"
    LAST_REPLICA = "last_replica"


class FleetState(NamedTuple):
    """State on which a decision is based.

    :param needing_slot: VMs that have announced that they need a slot
    :param leaving: upstreams that are leaving: they get no orders and do not count
        as replicas
    """

    view: MembershipView
    bundle: Bundle
    statuses: Mapping[str, EngineStatus]
    needing_slot: frozenset[str]
    leaving: frozenset[str] = frozenset()


class Commander:
    """Decides the orders of one VM.

    Combines authority, goals, slots and retries; see their modules for the reasons.
    """

    def __init__(self, vm: str, clock: Clock, settings: CommandSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._authority = CommandAuthority(vm, clock, settings)
        self._retries = OrderRetries(clock, settings)
        self._without_capacity: set[tuple[str, int]] = set()
        self._needs_slot = False
        self._goals_version = 0
        self._goals: dict[str, EngineGoal] = {}

    @property
    def needs_slot(self) -> bool:
        """:returns: whether this VM has orders to send, to be announced to peers"""
        return self._needs_slot

    @property
    def n_repeated(self) -> int:
        """:returns: number of orders that had to be sent again"""
        return self._retries.n_repeated

    def decide(self, state: FleetState) -> Order | None:
        """:returns: the next order to send, ``None`` if none can be sent now"""
        bundle = state.bundle
        self._retries.reset_for_bundle(bundle.version)
        goals = self._find_goals(bundle)
        self._authority.update(frozenset(goals), state.view)
        orders = [
            order
            for name in sorted(goals)
            if (order := self._plan_order(name, state)) is not None
        ]
        self._needs_slot = bool(orders)
        for order in orders:
            if self.find_refusal(order, state) is None:
                return order
        return None

    def _plan_order(self, engine: str, state: FleetState) -> Order | None:
        bundle = state.bundle
        goal = self._find_goals(bundle)[engine]
        status = state.statuses.get(engine)
        token = self._authority.find_token(goal, bundle.version)
        if token is None or status is None or engine in state.leaving:
            return None
        if status.age_ms > self._settings.status_ms:
            return None
        has_capacity = (engine, bundle.version) not in self._without_capacity
        change = plan_change(goal, status, has_capacity=has_capacity)
        if change is None:
            return None
        if not self._retries.may_send(engine, status.incarnation, change):
            return None
        return Order(
            engine,
            status.incarnation,
            change,
            token,
            bundle.version,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )

    def find_refusal(self, order: Order, state: FleetState) -> OrderRefusal | None:
        """Check an order against the current state, immediately before it is sent.

        The process may be paused between any two steps, so that a decision is an hour
        old when it resumes. Both clocks are compared, since on some hosts the
        monotonic one stops while they are suspended.

        :returns: why the order must not be sent, ``None`` if it may be
        """
        if self._is_stale(order):
            return OrderRefusal.PAUSED
        if order.bundle_version != state.bundle.version:
            return OrderRefusal.BUNDLE_CHANGED
        goals = self._find_goals(state.bundle)
        self._authority.update(frozenset(goals), state.view)
        goal = goals[order.engine]
        if self._authority.find_token(goal, order.bundle_version) != order.token:
            return OrderRefusal.NOT_COMMANDER
        if not self._owns_slot(state):
            return OrderRefusal.SLOT_OVER
        return self._check_engines(order, state)

    def _check_engines(self, order: Order, state: FleetState) -> OrderRefusal | None:
        goal = self._find_goals(state.bundle)[order.engine]
        status = state.statuses.get(order.engine)
        has_capacity = (
            order.engine,
            order.bundle_version,
        ) not in self._without_capacity
        if status is None or plan_change(goal, status, has_capacity=has_capacity) != (
            order.change
        ):
            return OrderRefusal.CHANGED_MEANWHILE
        recent = [
            other
            for other in state.statuses.values()
            if other.age_ms <= self._settings.status_ms
            and other.engine not in state.leaving
        ]
        lost_models = list_lost_models(order.change, goal, status)
        served = {model.name for model in state.bundle.models}
        goals = self._find_goals(state.bundle)
        if find_unsafe_models(
            served.intersection(lost_models), order.engine, goals, recent
        ):
            return OrderRefusal.LAST_REPLICA
        return None

    def _find_goals(self, bundle: Bundle) -> dict[str, EngineGoal]:
        if bundle.version != self._goals_version:
            self._goals_version = bundle.version
            self._goals = derive_goals(bundle)
        return self._goals

    def _is_stale(self, order: Order) -> bool:
        elapsed_ms = max(
            self._clock.now_ms() - order.decided_ms,
            self._clock.wall_ms() - order.decided_wall_ms,
        )
        return elapsed_ms > self._settings.authority_ms

    def _owns_slot(self, state: FleetState) -> bool:
        plan = SlotPlan(state.bundle.weight_loads_per_minute)
        number = plan.find_usable_slot(self._clock.wall_ms())
        if number is None:
            return False
        return plan.is_owner(number, state.view, state.needing_slot)

    def note_outcome(self, order: Order, outcome: OrderOutcome) -> None:
        """Record the outcome of an order that was sent."""
        if outcome is OrderOutcome.FENCED:
            self._authority.start_new_term(order.engine)
        elif outcome is OrderOutcome.NO_ROOM:
            self._without_capacity.add((order.engine, order.bundle_version))
        is_load = (
            outcome is OrderOutcome.ACCEPTED and order.change.action in LOAD_ACTIONS
        )
        wait_ms = self._settings.load_timeout_ms if is_load else 0.0
        self._retries.note_sent(order, wait_ms=wait_ms)

    def note_pause(self) -> None:
        """Record that this process was paused: other VMs may have taken over."""
        self._authority.note_pause()


def list_engines_to_read(order: Order, bundle: Bundle) -> Collection[str]:
    """:returns: engines to read once more before the order is sent

    These are the engine itself and, unless the order is a load, all engines that
    should serve its models: their reports arrived by gossip and may be seconds old.
    """
    if order.change.action in LOAD_ACTIONS:
        return (order.engine,)
    models = {
        model
        for spec in bundle.upstreams
        if spec.name == order.engine
        for model in (*spec.models, order.change.model)
    }
    return [
        spec.name
        for spec in bundle.upstreams
        if spec.kind == "engine" and models.intersection(spec.models)
    ]


__all__ = (
    "Commander",
    "FleetState",
    "OrderOutcome",
    "OrderRefusal",
    "list_engines_to_read",
)
