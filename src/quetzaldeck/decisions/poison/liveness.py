"""What a check says of the replica at an address."""

from __future__ import annotations

from enum import StrEnum


class Liveness(StrEnum):
    """Whether the incarnation of a replica that was asked for lives."""

    ALIVE = "alive"
    ENDED = "ended"
    UNKNOWN = "unknown"


__all__ = ("Liveness",)
