"""A change of the fleet state, for the log."""

from __future__ import annotations

from typing import Any, NamedTuple


class BeliefEvent(NamedTuple):
    """What a change from the source did to the fleet state.

    :param event: name of the log event, in snake case
    :param fields: fields of the log event, which explain the decision
    :param is_warning: whether an operator should look at it
    """

    event: str
    fields: dict[str, Any]
    is_warning: bool = False


__all__ = ("BeliefEvent",)
