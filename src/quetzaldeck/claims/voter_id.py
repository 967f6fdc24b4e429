"""The identity of a voter."""

from __future__ import annotations

from typing import NamedTuple


class VoterId(NamedTuple):
    """Identity of a voter; a voter that lost its memory takes a new one.

    :param incarnation: id of the voter's incarnation; ``""`` in the first voter set of
        a fleet
    """

    vm: str
    incarnation: str = ""


__all__ = ("VoterId",)
