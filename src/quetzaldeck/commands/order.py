"""One change of one engine, as a commander wants it."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Action(StrEnum):
    """What an engine is told to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_MODEL = "unload_model"
    CHANGE_ROLE = "change_role"


LOAD_ACTIONS = (Action.LOAD_MODEL, Action.LOAD_ADAPTER)


class Change(NamedTuple):
    """A change, without who orders it and when."""

    action: Action
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class Order(NamedTuple):
    """A change that was decided on at one moment.

    :param incarnation: start of the engine that the decision was about
    :param token: fencing token; tokens compare like tuples
    :param bundle_version: bundle that wants it
    :param decided_ms: monotonic time of the decision
    :param decided_wall_ms: wall clock of the decision
    """

    engine: str
    incarnation: str
    change: Change
    token: tuple[int, ...]
    bundle_version: int
    decided_ms: float
    decided_wall_ms: float


__all__ = ("LOAD_ACTIONS", "Action", "Change", "Order")
