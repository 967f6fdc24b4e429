"""One decision about what is believed, for the log."""

from __future__ import annotations

from typing import Any, NamedTuple


class BeliefEvent(NamedTuple):
    """What was decided on one piece of news.

    :param event: what happened, in snake case
    :param fields: what the decision rests on
    :param is_warning: whether somebody should look at it
    """

    event: str
    fields: dict[str, Any]
    is_warning: bool = False


__all__ = ("BeliefEvent",)
