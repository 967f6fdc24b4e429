"""What one source says of the time for which a replica stays cold."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class ColdSource(StrEnum):
    """Where a claim comes from. Claims of different sources do not end each other."""

    ENTRY = "entry"
    HEADER = "header"
    PEER = "peer"
    PRESUMED = "presumed"


class ColdClaim(NamedTuple):
    """One source says that a replica is cold.

    :param incarnation: incarnation of the replica; ``""``: unknown
    :param heard_ms: uptime of this VM when it learned of it
    :param until_ms: uptime of this VM when the replica will be warm
    """

    upstream: str
    incarnation: str
    source: ColdSource
    heard_ms: float
    until_ms: float


__all__ = ("ColdClaim", "ColdSource")
