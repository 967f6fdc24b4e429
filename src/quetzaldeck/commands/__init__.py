"""Commands to engines: which VM sends them, which ones and when.

:class:`Commander` does no I/O: the agent passes it the members, the bundle and the
engines' reports, sends the order that it decides on and reports the outcome back. See
docs/design/commands.md.

>>> from quetzaldeck.bundle import Bundle, ModelSpec, UpstreamSpec
>>> from quetzaldeck.clock import ManualClock
>>> from quetzaldeck.commands import (
...     Commander, CommandSettings, EngineStatus, FleetState, parse_loaded)
>>> from quetzaldeck.membership import Member, MembershipView, MemberState
>>> bundle = Bundle(
...     2,
...     valid_until_ms=1,
...     models=(ModelSpec("plan", "2"),),
...     upstreams=(UpstreamSpec("engine-1", "http://10.0.0.9", models=("plan",)),),
... )
>>> me = Member("a", "a.1", "", "", MemberState.LIVE, 0.0, is_listed=True)
>>> view = MembershipView("a", "a.1", (me,), list_read_ms=0.0)
>>> loaded = parse_loaded(("plan:1",))
>>> status = EngineStatus("engine-1", "e.1", loaded, role="", age_ms=0.0)
>>> state = FleetState(view, bundle, {"engine-1": status}, needing_slot=frozenset())
>>> clock = ManualClock()
>>> commander = Commander("a", clock, CommandSettings())
>>> clock.advance(500)  # the middle of a slot of the weight store
>>> order = commander.decide(state)
>>> order.change.action.value, order.change.version, order.token
('load_model', '2', (2, 500))
>>> clock.advance(60_000)  # a pause between the decision and the sending
>>> commander.find_refusal(order, state).value
'paused'
"""

from __future__ import annotations

from quetzaldeck.commands.authority import CommandAuthority, has_majority
from quetzaldeck.commands.commander import (
    Commander,
    FleetState,
    OrderOutcome,
    OrderRefusal,
    list_engines_to_read,
)
from quetzaldeck.commands.order import Action, Change, Order
from quetzaldeck.commands.plan import (
    find_unsafe_models,
    is_done,
    list_lost_models,
    plan_change,
)
from quetzaldeck.commands.settings import CommandSettings
from quetzaldeck.commands.slots import SlotPlan
from quetzaldeck.commands.state import (
    EngineGoal,
    EngineStatus,
    LoadedModel,
    derive_goals,
    parse_loaded,
)

__all__ = (
    "Action",
    "Change",
    "CommandAuthority",
    "CommandSettings",
    "Commander",
    "EngineGoal",
    "EngineStatus",
    "FleetState",
    "LoadedModel",
    "Order",
    "OrderOutcome",
    "OrderRefusal",
    "SlotPlan",
    "derive_goals",
    "find_unsafe_models",
    "has_majority",
    "is_done",
    "list_engines_to_read",
    "list_lost_models",
    "parse_loaded",
    "plan_change",
)
