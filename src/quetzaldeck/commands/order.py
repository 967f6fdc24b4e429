"""Orders that commanders send to engines."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Action(StrEnum):
    """Kinds of commands to an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_MODEL = "unload_model"
    CHANGE_ROLE = "change_role"


LOAD_ACTIONS = (Action.LOAD_MODEL, Action.LOAD_ADAPTER)


class Change(NamedTuple):
    """Change to an engine, independent of who orders it and when.

    The fields that an action does not use are empty.
    """

    action: Action
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class Order(NamedTuple):
    """A change that a commander decided to send.

    :param incarnation: incarnation of the engine for which it was decided
    :param token: fencing token; tokens compare like tuples
    :param bundle_version: version of the bundle that requires the change
    :param decided_ms: monotonic time of the decision
    :param decided_wall_ms: wall clock at the decision
    """

    engine: str
    incarnation: str
    change: Change
    token: tuple[int, ...]
    bundle_version: int
    decided_ms: float
    decided_wall_ms: float


__all__ = ("LOAD_ACTIONS", "Action", "Change", "Order")
