"""Whether something new may be sent to an upstream, why not, and until when."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from quetzaldeck.decisions.availability.statements import Statement


class ClosureCause(StrEnum):
    """Why nothing new may be sent to an upstream."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    RESTING = "resting"


class Closure(NamedTuple):
    """Nothing new may be sent to an upstream.

    :param until_ms: monotonic time; infinity: not known
    """

    cause: ClosureCause
    until_ms: float = math.inf


def find_closure(
    statement: Statement | None,
    now_ms: float,
    *,
    is_listed_leaving: bool,
    is_evacuated: bool,
) -> Closure | None:
    """Combine what is known of an upstream.

    :param statement: what it has said of itself, if anything
    :param is_listed_leaving: whether the list of upstreams says that it leaves
    :returns: ``None`` if something new may be sent to it
    """
    if is_listed_leaving or (statement is not None and statement.is_leaving):
        return Closure(ClosureCause.LEAVING)
    if is_evacuated:
        return Closure(ClosureCause.EVACUATED)
    if statement is not None and statement.rest_until_ms > now_ms:
        return Closure(ClosureCause.RESTING, statement.rest_until_ms)
    return None


__all__ = ("Closure", "ClosureCause", "find_closure")
