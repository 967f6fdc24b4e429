"""The identity under which a voter votes."""

from __future__ import annotations

from typing import NamedTuple


class VoterId(NamedTuple):
    """One life of a voter: a voter that lost its memory takes another seat.

    :param start: id of the start; ``""`` in the first voter set of a fleet
    """

    vm: str
    incarnation: str = ""


__all__ = ("VoterId",)
