"""How a request is treated."""

from __future__ import annotations

from enum import StrEnum


class Verdict(StrEnum):
    """How a request is treated, by the crashes that count against it."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


__all__ = ("Verdict",)
